"""The established calls of a call server's process that another one has replaced at its address."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import datetime
from typing import Protocol

from reedmount.core.checks import COUNTERS
from reedmount.core.liveness import CONNECTION_PROBE_TIMEOUT
from reedmount.fronts.established_calls import EstablishedCalls
from reedmount.fronts.server_connection import ServerConnection
from reedmount.fronts.takeover import Takeover
from reedmount.net.loop import Loop

UNPROVEN = "another process took over its server's address"


class ProbedServer(Protocol):
    """What ReplacedProcess needs of the call server's actor."""

    loop: Loop
    established_calls: EstablishedCalls

    def open_connections(self) -> Sequence[ServerConnection]:
        """The connections that are up."""

    def send_probe(self, connection: ServerConnection) -> None:
        """Send a probe."""

    def takeover_finished(self, connections: Sequence[ServerConnection]) -> None:
        """These connections are not needed as a proof any more."""


class ReplacedProcess:
    """Finds out by probes which calls the new process has, and ends those that nothing proves in time."""

    def __init__(self, server: ProbedServer) -> None:
        self._server = server
        self._takeover: Takeover[ServerConnection] | None = None
        self._calls = server.established_calls  # the table that has the calls to be proven

    def begin(self, started: datetime) -> list[str]:
        """Probe the connections dialled since the new process's start; returns the calls to be proven."""
        connections = [
            connection
            for connection in self._server.open_connections()
            if connection.dialled_at >= started and connection.may_prove_process
        ]
        takeover = self._takeover = Takeover(connections, self._server.established_calls.dial_times())
        for connection in connections:
            self._server.send_probe(connection)
        loop = self._server.loop
        # After a stall of this process, answers that have arrived are read first.
        loop.call_later(CONNECTION_PROBE_TIMEOUT, lambda: loop.call_soon(lambda: self.expire(takeover)))
        return list(takeover.unproven)

    def move_calls(self, names: Sequence[str], successor: EstablishedCalls) -> None:
        """Move the calls to be proven to the table of the new process's call server."""
        self._server.established_calls.move_to(successor, names)
        self._calls = successor

    def awaits(self, connection: ServerConnection) -> bool:
        """Whether the answer of a connection to its probe is still awaited."""
        return self._takeover is not None and connection in self._takeover.connections

    def probe_answered(self, connection: ServerConnection) -> None:
        """A connection has answered a probe."""
        if self._takeover is not None and self._takeover.answered(connection):
            self._server.takeover_finished([connection])

    def connection_ended(self, connection: ServerConnection) -> None:
        """A connection has ended: end the calls that no other one can prove."""
        if self._takeover is not None:
            self._end(self._takeover.ended(connection))

    def expire(self, takeover: Takeover[ServerConnection] | None = None) -> None:
        """End the calls that are not proven, of one takeover or of any."""
        current = self._takeover
        if current is not None and takeover in (None, current):
            self._takeover = None
            self._server.takeover_finished(current.connections)
            self._end(current.expire())

    def _end(self, names: list[str]) -> None:
        if names:
            COUNTERS.add("calls.unproven", len(names))
            self._calls.drop(names, UNPROVEN)
