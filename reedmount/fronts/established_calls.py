"""The calls established at one call server, and the liveness of the server and of its connections.

A call server reports the end of a call by a release. One that has vanished reports nothing, and its
connections stay open. While calls are established, silent connections are therefore probed, and the calls of
a dead server or connection are dropped in time to notify their callers.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from reedmount import interface as i
from reedmount.core.liveness import CONNECTION_PROBE_TIMEOUT, DEAD_AFTER, Liveness
from reedmount.fronts.server_connection import ServerConnection
from reedmount.net.loop import Loop

CHECK_INTERVAL = timedelta(milliseconds=250)
OWN_STALL_AFTER = 3 * CHECK_INTERVAL  # between checks: this process was stalled, so silence proves nothing
RECONNECT_INTERVAL = timedelta(seconds=1)
REPORT_DELAY = timedelta(seconds=2)  # after this, a call is among the lines in use of any report
CONTRADICTION_PERIOD = timedelta(milliseconds=700)  # releases in transit may explain a low report for so long
CLEAR_SHARE = 0.5  # of the calls that a report has to include

SILENT = "nothing was received from its server"
CONNECTION_SILENT = "its connection fell silent"
TOO_FEW_LINES = "its server has fewer lines in use than established calls"


@dataclass(slots=True)
class EstablishedCall:
    """One established call."""

    established_at: datetime
    dialled_at: datetime  # when the connection on which it was answered was dialled
    connection: ServerConnection | None  # on which it was answered, or another since that one ended
    lost_at: datetime | None = None  # when it counts as lost, after its connection fell silent


@dataclass(frozen=True, slots=True)
class Contradiction:
    """A load report with fewer lines in use than there were established calls."""

    at: datetime
    lines_in_use: float
    counted: list[str]  # calls that the report had to include, unless their release was in transit
    earlier: list[str]  # all calls from before a connection broke

    @property
    def is_clear(self) -> bool:
        """Whether releases in transit can't make up for it, nor calls that others set up since then."""
        return self.lines_in_use <= len(self.counted) * CLEAR_SHARE


class CallServerPort(Protocol):
    """What EstablishedCalls needs of the call server's actor."""

    loop: Loop

    def open_connections(self) -> Sequence[ServerConnection]:
        """The connections that are up."""

    def send_probe(self, connection: ServerConnection) -> None:
        """Send a probe."""

    def close_silent(self, connection: ServerConnection) -> None:
        """Close a connection that is silent while others are not."""

    def reconnect(self) -> None:
        """No connection receives anything: replace them by a new one."""

    def calls_lost(self, calls: Iterable[tuple[str, ServerConnection | None]], reason: str) -> None:
        """Report these calls as lost."""


class EstablishedCalls:
    """All calls established at one call server."""

    def __init__(self, call_server: CallServerPort) -> None:
        self._call_server, self._clock = call_server, call_server.loop.clock
        self._calls: dict[str, EstablishedCall] = {}
        self.server = Liveness(self._clock.now())
        self._check_scheduled = False
        self._checked_at = self._reconnected_at = self._clock.now()
        self._broken_at: datetime | None = None  # when a connection last ended
        self._contradiction: Contradiction | None = None

    def __bool__(self) -> bool:
        """Whether there is any established call."""
        return bool(self._calls)

    def __contains__(self, name: str) -> bool:
        """Whether the call is established here."""
        return name in self._calls

    def __len__(self) -> int:
        """How many calls are established."""
        return len(self._calls)

    def names(self) -> list[str]:
        """The names of all calls."""
        return list(self._calls)

    def dial_times(self) -> dict[str, datetime]:
        """When the connection on which each call was answered was dialled."""
        return {name: call.dialled_at for name, call in self._calls.items()}

    def add(self, name: str, connection: ServerConnection) -> None:
        """Add a call that was answered on a connection."""
        self._calls[name] = EstablishedCall(self._clock.now(), connection.dialled_at, connection)
        self._schedule_check()

    def move_to(self, other: EstablishedCalls, names: Iterable[str]) -> None:
        """Move calls to another call server, and attach them to its first connection that is up."""
        connection = next(iter(other._call_server.open_connections()), None)
        for name in names:
            call = other._calls[name] = self._calls.pop(name)
            call.connection, call.lost_at = connection, None
        other._schedule_check()

    def _schedule_check(self) -> None:
        """Start the periodic check if it does not run."""
        if not self._check_scheduled:
            self._check_scheduled, self._checked_at = True, self._clock.now()
            self._call_server.loop.call_later(CHECK_INTERVAL, self._check)

    def pop(self, name: str) -> ServerConnection | None:
        """Remove a call that has ended; its connection, if it has one."""
        call = self._calls.pop(name, None)
        return call.connection if call is not None else None

    def uses(self, connection: ServerConnection) -> bool:
        """Whether established calls are attached to the connection."""
        return any(call.connection is connection for call in self._calls.values())

    def clear(self) -> None:
        """Forget all calls."""
        self._calls.clear()

    def connection_lost(self, connection: ServerConnection) -> None:
        """A connection has ended: attach its calls to the one that received something last."""
        self._broken_at = self._clock.now()
        connections = [other for other in self._call_server.open_connections() if other is not connection]
        latest = max(connections, key=lambda other: other.liveness.last_received_at, default=None)
        for call in self._calls.values():
            if call.connection is connection:
                call.connection = latest

    def connection_opened(self, connection: ServerConnection) -> None:
        """A connection is up: attach the calls that have none to it."""
        for call in self._calls.values():
            if call.connection is None:
                call.connection = connection

    def received(self, connection: ServerConnection) -> None:
        """Bytes were received."""
        now = self._clock.now()
        self.server.record_received(now)
        connection.liveness.record_received(now)

    def check_report(self, report: i.LoadReport) -> None:
        """Note a report that, after a broken connection, has fewer lines in use than established calls.

        It is one of a new process then. Later ones prove nothing against a clear one, since others set up
        calls there as well.
        """
        if report.lines is None or report.free_lines is None:
            return
        in_use, now = report.lines - report.free_lines, self._clock.now()
        counted = self._calls_before_break(now - REPORT_DELAY)
        if self._contradiction is not None and self._contradiction.is_clear:
            return
        if in_use >= len(counted):
            self._contradiction = None
        elif self._contradiction is None:
            self._contradiction = Contradiction(now, in_use, counted, self._calls_before_break(now))

    def _calls_before_break(self, latest: datetime) -> list[str]:
        """Calls established before a connection broke, and no later than an instant."""
        if self._broken_at is None:
            return []
        latest = min(self._broken_at, latest)
        return [name for name, call in self._calls.items() if call.established_at <= latest]

    def probe_now(self) -> None:
        """Probe all connections that are up; if there is none, the probe counts as unanswered."""
        now = self._clock.now()
        self.server.record_probe(now)
        for connection in self._call_server.open_connections():
            self._send_probe(now, connection)

    def probe_suspect(self, connection: ServerConnection) -> None:
        """An expected answer never came on a connection: probe it now if calls are attached to it."""
        if (
            connection.transport.connected
            and connection.liveness.first_probe_at is None
            and self.uses(connection)
        ):
            self._send_probe(self._clock.now(), connection)

    def _send_probe(self, now: datetime, connection: ServerConnection) -> None:
        connection.liveness.record_probe(now)
        self._call_server.send_probe(connection)

    def drop_all(self, reason: str) -> None:
        """Count all calls as lost."""
        self.drop(list(self._calls), reason)

    def drop(self, names: Iterable[str], reason: str) -> None:
        """Count calls as lost, those that are still established."""
        lost = [(name, self.pop(name)) for name in names if name in self._calls]
        if lost:
            self._call_server.calls_lost(lost, reason)

    # --- periodic check ---

    def _check(self) -> None:
        if not self._calls:
            self._check_scheduled = False
            return
        self._call_server.loop.call_later(CHECK_INTERVAL, self._check)
        now = self._clock.now()
        stalled, self._checked_at = now - self._checked_at > OWN_STALL_AFTER, now
        if not stalled:
            self._drop_lost_calls(now)
        if self._calls:
            self._probe_connections(now)

    def _drop_lost_calls(self, now: datetime) -> None:
        if self.server.is_dead(now):
            self.drop_all(SILENT)
            return
        calls = self._calls.items()
        lost = [name for name, call in calls if call.lost_at is not None and call.lost_at <= now]
        self.drop(lost, CONNECTION_SILENT)
        if self._contradiction is not None and now - self._contradiction.at >= CONTRADICTION_PERIOD:
            contradiction, self._contradiction = self._contradiction, None
            if sum(name in self._calls for name in contradiction.counted) > contradiction.lines_in_use:
                self.drop(contradiction.earlier, TOO_FEW_LINES)

    def _probe_connections(self, now: datetime) -> None:
        connections = self._call_server.open_connections()
        used = {id(call.connection) for call in self._calls.values()}
        for connection in [connection for connection in connections if id(connection) in used] or connections:
            self._probe_connection(now, connection)
        if not connections:
            self.server.record_probe(now)  # the attempt to connect is the probe
        if self.server.is_suspect(now) and now - self._reconnected_at >= RECONNECT_INTERVAL:
            self._reconnected_at = now
            self._call_server.reconnect()

    def _probe_connection(self, now: datetime, connection: ServerConnection) -> None:
        probed_at = connection.liveness.first_probe_at
        if (
            probed_at is not None
            and connection.liveness.is_suspect(now, CONNECTION_PROBE_TIMEOUT)
            and self.server.last_received_at > probed_at
        ):
            for call in self._calls.values():
                if call.connection is connection and call.lost_at is None:
                    call.lost_at = connection.liveness.last_received_at + DEAD_AFTER
            self._call_server.close_silent(connection)
        elif connection.liveness.probe_due(now):
            self.server.record_probe(now)
            self._send_probe(now, connection)
