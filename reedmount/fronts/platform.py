"""The platform's client connections: accepts, evicts and drains them, and delivers releases on them."""

from __future__ import annotations

import heapq
import socket
from collections.abc import Sequence
from datetime import timedelta

from reedmount.core.background import Slices, Urgency
from reedmount.core.bounded import BoundedDict
from reedmount.core.checks import COUNTERS
from reedmount.core.lifecycle import Need
from reedmount.core.switch import Switch
from reedmount.fronts.client_connection import DRAIN_QUIET_PERIOD, ClientConnection, RetentionPriority
from reedmount.fronts.handover import REPORT_INTERVAL, HandoverMessage, HandoverPeer
from reedmount.net.connection import Address, Listener, bind
from reedmount.net.loop import Loop

SWEEP_INTERVAL = timedelta(milliseconds=100)  # between two searches for expired connections
SWEEP_BATCH = 64  # connections checked in one slice of background work
MAX_EVICTED = 8  # silent or stalled connections closed at once to make room
FINISH_TIMEOUT = timedelta(milliseconds=3600)  # after SIGTERM, for messages that are still being transferred
CLOSE_ALL_INTERVAL = timedelta(milliseconds=5)  # between two checks, once all connections are to be closed
RECONNECT_WAIT = timedelta(milliseconds=120)  # a set-up that crossed a close comes again on a new connection
MAX_WAITING_RELEASES = 4096
CONFIRM_TIMEOUT = timedelta(milliseconds=300)  # for a release, which must be delivered within a second
MAX_RELEASE_TRIES = 3  # connections that a release is sent on
MAX_RELAYED = 16  # releases of unknown calls passed on to all servers in one RELAY_INTERVAL
RELAY_INTERVAL = timedelta(milliseconds=250)
UNWATCHED_DESCRIPTORS = 6  # descriptors of a process that its event loop does not watch
SPARE_DESCRIPTORS = 8  # kept free for the next connections that are dialled or accepted
NAMES_PER_MESSAGE = 128  # of calls, to the other process of an upgrade; a message has 4 KiB
MAX_NAMES_ELSEWHERE = 16384  # names of calls of the other process
MIN_CONNECTIONS = 8  # allowed however many descriptors the other process of an upgrade holds


def _release_of(message: HandoverMessage) -> tuple[str, int]:
    return str(message["name"]), int(message["cause"])


class Callers:
    """All client connections of the platform."""

    def __init__(
        self, loop: Loop, switch: Switch, address: Address, max_connections: int,
        given: socket.socket | None = None, descriptors: int = 1024,
    ) -> None:  # fmt: skip
        self.loop, self.switch = loop, switch
        self.handover_peer = HandoverPeer(loop)
        self._peer_descriptors = 0  # held by the other process of an upgrade
        self.reserve = 0  # descriptors that a successor needs before it is ready
        self._relayed, self._relayed_since = 0, loop.clock.now()
        self.max_connections = max_connections
        self.descriptors = descriptors  # of the process
        self._clients: dict[ClientConnection, None] = {}
        self._changed_at = loop.clock.now()  # when a connection was last accepted or ended
        self.clients_by_call: dict[str, ClientConnection] = {}  # where established calls were answered
        self._waiting: dict[str, int] = {}  # releases for which no connection is open
        self._taken_elsewhere = BoundedDict[str, None](
            MAX_NAMES_ELSEWHERE
        )  # names of calls of the other process of an upgrade
        self.listener = Listener(loop, given or bind(address, shared=True), self._accept)
        self._unconfirmed = BoundedDict[str, list[ClientConnection]](
            MAX_WAITING_RELEASES
        )  # releases, and where each was sent
        self._confirming = False  # whether clients confirm releases, which is optional
        self._draining = False
        switch.lifecycle.on_change(self._start_drain)
        if given is None:
            self.listener.start()
        switch.lifecycle.satisfy(Need.LISTENING)
        switch.on_unknown_release(self._release_unknown)
        self.handover_peer.on("bye", self._on_bye)
        self.handover_peer.on("cancel", self._on_cancel)
        self.handover_peer.on("server_bye", self._on_server_bye)
        self.handover_peer.on("release", self._on_release)
        self.handover_peer.on("held", self._on_descriptors)
        self.handover_peer.on("taken", self._on_taken)
        loop.background.every("links", SWEEP_INTERVAL, self._sweep, Urgency.SWEEP)

    @property
    def address(self) -> Address:
        """Where clients connect."""
        return self.listener.address

    @property
    def handed_over(self) -> bool:
        """Whether new connections go to another process that is still connected."""
        return self.switch.lifecycle.superseded and self.handover_peer.connected

    def hand_over(self) -> None:
        """Let another process accept from now on; the connections here are drained."""
        self.listener.stop()
        self.switch.lifecycle.supersede(True)
        self._start_drain()  # also where the shutdown had begun before
        self._report_descriptors()

    def take_back(self) -> None:
        """The other process has died: accept again, also what waits at the listener."""
        self._peer_descriptors = self.reserve = 0
        if self.switch.lifecycle.superseded:
            self.switch.lifecycle.supersede(False)
            self.listener.start()

    def _report_descriptors(self) -> None:
        if self.handed_over and self.handover_peer.notify(
            "held", count=self.loop.watched_count + UNWATCHED_DESCRIPTORS
        ):
            self.loop.call_later(REPORT_INTERVAL, self._report_descriptors)

    def _on_descriptors(self, message: HandoverMessage) -> None:
        self._peer_descriptors = int(message["count"])

    def may_have_run(self, name: str) -> bool:
        """Whether a call of this name that is over may have run here or in the other process."""
        return name in self._taken_elsewhere or self.switch.may_have_run(name)

    def join(self, successor: socket.socket) -> None:
        """Connect to a successor, and name the calls that it must not take a second time."""
        self.handover_peer.join(successor)
        self.notify_taken(self.switch.names_taken())

    def notify_taken(self, names: Sequence[str]) -> None:
        """Name calls that this process has taken to the other one, if there is one."""
        if self.handover_peer.connected:
            for begin in range(0, len(names), NAMES_PER_MESSAGE):
                self.handover_peer.notify("taken", names=names[begin : begin + NAMES_PER_MESSAGE])

    def _on_taken(self, message: HandoverMessage) -> None:
        """The other process has taken calls: they must not run here as well."""
        for name in message["names"]:
            self._taken_elsewhere[str(name)] = None

    def _on_bye(self, message: HandoverMessage) -> None:
        """A caller released a call that the other process does not know."""
        name, cause = _release_of(message)
        if self.switch.has_call(name) or self.may_relay():
            self.switch.caller_released(name, cause)

    def _on_cancel(self, message: HandoverMessage) -> None:
        """A caller cancelled a set-up that the other process does not know."""
        any(client.cancel(str(message["name"])) for client in list(self._clients))

    def _on_release(self, message: HandoverMessage) -> None:
        """A call of the other process is over, and it has no connection to deliver the release on."""
        self.release(*_release_of(message), None, here=True)

    def _on_server_bye(self, message: HandoverMessage) -> None:
        """A server released a call that the other process does not know."""
        name, cause = _release_of(message)
        if self.switch.has_call(name):
            self.switch.server_released(name, cause)
        else:
            self.release(name, cause, None)

    @property
    def room(self) -> int:
        """How many connections there may be, with the descriptors of another process taken into account.

        Other descriptors of this process (for example many connections to call servers that broke) are
        subtracted first: otherwise none would be left for polling the notice board.
        """
        others = self.loop.watched_count - len(self._clients) + UNWATCHED_DESCRIPTORS + SPARE_DESCRIPTORS
        limit = min(self.max_connections, self.descriptors - others)
        return max(min(MIN_CONNECTIONS, self.max_connections), limit - self._peer_descriptors - self.reserve)

    def _release_unknown(self, name: str, cause: int) -> None:
        """A server released a call that is not known here: the other process may know it."""
        if not self.handover_peer.notify("server_bye", name=name, cause=cause):
            self.release(name, cause, None)

    @property
    def is_idle(self) -> bool:
        """Whether nothing is in transit from or to a client, and none uses what another should serve."""
        used = self.handed_over and any(client.received_message for client in self._clients)
        return not self._waiting and not used and not self._unfinished

    @property
    def _unfinished(self) -> bool:
        """Whether to wait for a message or an answer; limited by the time that the shutdown may take."""
        now, shutdown = self.loop.clock.now(), self.switch.lifecycle.shutdown
        expired = shutdown is not None and now - shutdown.since > FINISH_TIMEOUT
        return not expired and any(client.has_unfinished(now) for client in self._clients)

    def release(self, name: str, cause: int, client: ClientConnection | None, here: bool = False) -> None:
        """Send a release on the call's connection, on another that has set up calls, or on the next one.

        Connections that never set up a call are left out: clients that probe once and keep the connection
        receive a release there and do not process it.
        """
        if client is None or client.connection.ended:
            host = client.host if client is not None else ""
            able = [other for other in self._clients if other.setup_count and not other.connection.ended]
            client = max(able, key=lambda other: other.fitness(host), default=None)
        if client is not None:
            client.send_release(name, cause)
            self._await_confirmation(name, cause, client)
        elif not here and self.handed_over and self.handover_peer.notify("release", name=name, cause=cause):
            return  # no new connection will come to this process
        elif len(self._waiting) < MAX_WAITING_RELEASES:
            self._waiting[name] = cause
        else:
            COUNTERS.add("released.untold")
            self.loop.trace("release.untold", call=name)

    def _await_confirmation(self, name: str, cause: int, client: ClientConnection) -> None:
        """Send a release on another connection if it is not confirmed in time: this one may be dead."""
        self._unconfirmed.setdefault(name, []).append(client)
        self.loop.call_later(CONFIRM_TIMEOUT, lambda: self._check_confirmation(name, cause))

    def _check_confirmation(self, name: str, cause: int) -> None:
        tried = self._unconfirmed.get(name, [])
        waiting = any(client.awaits_confirmation(name) for client in tried)
        able = [client for client in self._clients if client.setup_count and client not in tried]
        if not waiting or not self._confirming or len(tried) >= MAX_RELEASE_TRIES or not able:
            self._unconfirmed.pop(name, None)  # confirmed, or sent again when one of its connections ends
            return
        COUNTERS.add("released.unconfirmed")
        client = max(able, key=lambda other: other.connection.last_received_at)
        client.send_release(name, cause)
        self._await_confirmation(name, cause, client)

    def release_confirmed(self, name: str) -> None:
        """A client has confirmed a release."""
        self._confirming = True
        for client in self._unconfirmed.pop(name, ()):
            client.release_confirmed(name)

    def has_unsent_release(self, name: str) -> bool:
        """Whether a release waits for its caller to connect: it would be lost if this process ended now."""
        return name in self._waiting

    def send_waiting_releases(self, client: ClientConnection) -> None:
        """Send the waiting releases on a connection that has brought a set-up."""
        if self._waiting:
            waiting, self._waiting = self._waiting, {}
            for name, cause in waiting.items():
                client.send_release(name, cause)

    def call_over(self, name: str) -> None:
        """An established call is over."""
        client = self.clients_by_call.pop(name, None)
        if client is not None:
            client.call_over(name)

    def remove(self, client: ClientConnection) -> None:
        """A connection has ended."""
        self._changed_at = self.loop.clock.now()
        self._clients.pop(client, None)

    def may_relay(self) -> bool:
        """Whether the release of an unknown call is relayed to all servers.

        The call may be from before a restart. The rate is limited so that a client that invents call
        names cannot keep the servers busy.
        """
        self._relayed += 1
        return self._relayed <= MAX_RELAYED

    def no_open_setups(self, client: ClientConnection) -> None:
        """Late in a drain a connection is closed at the first moment without an open set-up."""
        if self._draining:
            self.loop.call_soon(lambda: self._close_drainable([client]))

    def _start_drain(self) -> None:
        """Check the connections repeatedly until the drain is over."""
        if not self._draining:
            self._drain()

    def _drain(self) -> None:
        shutdown = self.switch.lifecycle.shutdown
        self._draining = shutdown is not None
        if shutdown is not None:
            self._close_drainable(list(self._clients))
            last = shutdown.closes_all_connections(self.loop.clock.now())
            self.loop.call_later(CLOSE_ALL_INTERVAL if last else DRAIN_QUIET_PERIOD, self._drain)

    @property
    def all_clients_disconnected(self) -> bool:
        """Whether no client is connected and none can be about to connect."""
        return not self._clients and self.loop.clock.now() - self._changed_at >= RECONNECT_WAIT

    def _close_drainable(self, clients: list[ClientConnection]) -> None:
        now, shutdown = self.loop.clock.now(), self.switch.lifecycle.shutdown
        for client in clients:
            if shutdown is not None and not client.connection.ended and client.is_drainable(now, shutdown):
                COUNTERS.add("in.drained")
                client.close("drained", gracefully=True)

    def _sweep(self) -> Slices:
        """Close expired connections, checking some of them in each slice."""
        now = self.loop.clock.now()
        if now - self._relayed_since >= RELAY_INTERVAL:
            self._relayed, self._relayed_since = 0, now
        for position, client in enumerate(list(self._clients), 1):
            if client in self._clients and client.is_expired(now):
                COUNTERS.add("in.closed")
                client.close("silent, stuck or idle for too long", gracefully=True)
            if not position % SWEEP_BATCH:
                yield

    def _make_room(self) -> bool:
        """Evict the connection of the lowest priority; several if silent or stalled, as ranking is costly."""
        now = self.loop.clock.now()
        ranked = heapq.nsmallest(MAX_EVICTED, self._clients, key=lambda client: client.priority(now))
        for position, client in enumerate(ranked):
            priority = client.priority(now)[0]
            if priority is RetentionPriority.IN_USE or (position and priority > RetentionPriority.STALLED):
                return position > 0
            COUNTERS.add("in.pushed_out")
            client.close(f"evicted to make room, {priority.name.lower()}")
        return bool(ranked)

    def _accept(self, sock: socket.socket) -> None:
        COUNTERS.add("in.connections")
        while len(self._clients) >= self.room:  # the limit may have become lower
            if not self._make_room():
                COUNTERS.add("in.no_room")
                sock.close()
                return
        self._changed_at = self.loop.clock.now()
        self._clients[ClientConnection(self, sock)] = None
