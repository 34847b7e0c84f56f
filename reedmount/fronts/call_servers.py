"""The platform's call servers: the collection of their actors."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from reedmount import interface as i
from reedmount.core.bounded import BoundedDict
from reedmount.core.checks import COUNTERS
from reedmount.core.ports import CancelSetup, ListedServer, Release, Setup
from reedmount.core.switch import Switch
from reedmount.fronts.call_server import MAX_CONNECTIONS_PER_SERVER, CallServer
from reedmount.fronts.server_connection import ConnectionLimits
from reedmount.net.loop import Loop

MAX_SUCCESSORS = 256  # releases that wait for their call's end are rare, and come within its deadline
MAX_REPLACED = 32  # call servers whose calls may not be proven yet; that takes under a second


class CallServers:
    """The server side on the platform, with an actor for each listed call server."""

    def __init__(
        self,
        loop: Loop,
        switch: Switch,
        limits: ConnectionLimits,
        sockets: int = MAX_CONNECTIONS_PER_SERVER * MAX_CONNECTIONS_PER_SERVER,
    ) -> None:
        self._loop, self._switch = loop, switch
        self.limits, self.sockets = limits, sockets
        # A release that waits for its caller is not confirmed: the server resends it if this process ends.
        self.has_unsent_release: Callable[[str], bool] = lambda name: False
        self._peers: dict[str, CallServer] = {}
        self._replaced: deque[CallServer] = deque(maxlen=MAX_REPLACED)  # latest last
        self._successors = BoundedDict[str, str](
            MAX_SUCCESSORS
        )  # of replaced servers, the name of the next one at the address

    def servers_changed(self, entries: list[ListedServer]) -> None:
        """Update the actors; that of a server which left the list remains until its calls have ended."""
        for entry in sorted(entries, key=lambda entry: entry.removed):  # additions first: one may succeed
            peer = self._peers.get(entry.server)
            if peer is not None and entry.removed:
                self._move_calls(peer, entry)
            if peer is not None:
                peer.post(entry)
            elif not entry.removed:
                max_connections = max(
                    1, min(MAX_CONNECTIONS_PER_SERVER, self.sockets // (len(self._peers) + 2))
                )
                self._peers[entry.server] = CallServer(self._loop, self._switch, entry, self, max_connections)
            if entry.removed:
                self._peers.pop(entry.server, None)

    def _move_calls(self, peer: CallServer, entry: ListedServer) -> None:
        """Move the calls of a removed server that another process at its address has to that one."""
        for other in self._peers.values():
            if other is not peer and other.address == entry.address:
                peer.hand_over_calls(other)
                self._replaced.append(peer)
                self._successors[peer.name] = other.name

    def probe_servers(self) -> None:
        """Probe all call servers with established calls."""
        for peer in self._peers.values():
            peer.probe_if_calls_established()

    def drop_silent_servers(self) -> None:
        """Drop the established calls of servers that have not answered a probe."""
        for peer in (*self._replaced, *self._peers.values()):
            peer.drop_if_silent()

    def may_open_connection(self) -> bool:
        """Whether a call server that has a connection may open another."""
        limit = self.limits.max_connections
        if limit is None or sum(peer.connection_count for peer in self._peers.values()) < limit:
            return True
        COUNTERS.add("server.no_room")
        return False

    def send(self, setup: Setup) -> None:
        """Send a set-up; one to a server that is not listed is reported as not sent."""
        peer = self._peers.get(setup.server)
        if peer is None:
            self._switch.attempt_ended(setup.name, setup.attempt, i.Outcome.NOT_SENT)
        else:
            peer.post(setup)

    def cancel(self, name: str, attempt: int) -> None:
        """Cancel an attempt; only the server that has it acts on this."""
        for peer in self._peers.values():
            peer.post(CancelSetup(name, attempt))

    def release(self, server: str | None, name: str, cause: int) -> None:
        """Release a call at its server, or at all of them if it dates from before a restart.

        A replaced server's releases go to the process that has its address.
        """
        if server is not None and server not in self._peers:
            server = self._successors.get(server, server)
        for known, peer in self._peers.items():
            if server in (None, known):
                peer.post(Release(name, cause))
