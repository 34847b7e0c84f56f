"""One TCP connection between each pair of members, for replication messages, in order while it lasts. No
decisions.

Of two members the one with the smaller name dials, from its own listening address, to the address at which
the membership knows the other. Messages in flight when a connection breaks are lost, and both members are
notified.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable, Collection
from datetime import datetime, timedelta

from reedmount.core.checks import COUNTERS, log
from reedmount.core.clock import Clock
from reedmount.net.connection import Address, Connection, EndReason, listen
from reedmount.net.loop import Loop
from reedmount.replicas.messages import FRAME, FrameError, Hello, Message, frame, frame_length, unframe

CHECK_INTERVAL = timedelta(milliseconds=250)
DIAL_RETRY_INTERVAL = timedelta(milliseconds=500)
DIAL_TIMEOUT = timedelta(seconds=2)
HELLO_TIMEOUT = timedelta(seconds=2)  # for the first message on a new connection
HEARTBEAT_INTERVAL = timedelta(milliseconds=500)  # when nothing else is sent
SILENCE_TIMEOUT = timedelta(seconds=2)  # a connection silent for this long is treated as broken
MAX_QUEUE = 32 << 20  # bytes queued for one member, beyond which the connection is closed
MAX_UNIDENTIFIED = 64  # connections whose member is not known yet


class MeshConnection:
    """One connection, from opening to end."""

    def __init__(self, mesh: Mesh, connection: Connection, dialled: str = "") -> None:
        self._mesh, self.connection, self.dialled = mesh, connection, dialled
        self.name = ""  # set by the peer's hello
        self.opened_at: datetime = mesh.clock.now()
        self.sent_at = self.opened_at
        self._unsent: deque[bytes] = deque()
        self._unsent_bytes = 0

    def send(self, message: Message) -> None:
        """Queues a message until the connection can take it."""
        data = frame(message)
        self._unsent.append(data)
        self._unsent_bytes += len(data)
        if self._unsent_bytes > MAX_QUEUE:
            COUNTERS.add("mesh.stuck")
            self.close()
        else:
            self.pump()

    def pump(self) -> None:
        """Passes queued messages to the connection, which holds at most one that the kernel has not yet
        taken."""
        while self._unsent and self.connection.idle and not self.connection.ended:
            data = self._unsent.popleft()
            self._unsent_bytes -= len(data)
            COUNTERS.add("mesh.sent")
            COUNTERS.add("mesh.sent_bytes", len(data))
            self.sent_at = self._mesh.clock.now()
            self.connection.send(data)

    def ready(self, connection: Connection) -> None:
        """Reads the complete messages that have been received."""
        ring = connection.incoming
        while not connection.ended and len(ring) >= FRAME.size:
            try:
                length = frame_length(ring.peek(FRAME.size))
                if len(ring) < length:
                    return
                message = unframe(ring.peek(length))
                ring.drop(length)
            except FrameError as fault:
                COUNTERS.add(f"mesh.dropped.{fault.reason}")
                self.close()
                return
            self._mesh.receive(self, message)

    def close(self) -> None:
        """Closes the connection and reports its end to the mesh."""
        if not self.connection.ended:
            self.connection.close()
            self._mesh.ended(self)


class Mesh:
    """All connections to other members. It owns them and the timers for dialling."""

    def __init__(
        self,
        loop: Loop,
        me: Hello,
        address: Address,
        members: Collection[str],
        address_of: Callable[[str], Address | None],
        on_message: Callable[[str, Message], None],
        on_reachability: Callable[[str, bool], None],
    ) -> None:
        """``members``: the voters. ``address_of``: a member's address, None if it should not be dialled.
        ``on_reachability`` is called when a member becomes reachable or unreachable. Raises OSError if
        the listener cannot be opened."""
        self._loop, self.me, self._own_address = loop, me, address
        self._members = frozenset(members) - {me.name}
        self._address_of, self._on_message, self._on_reachability = address_of, on_message, on_reachability
        self._peers: dict[str, MeshConnection] = {}  # identified by their hello
        self._unidentified: dict[MeshConnection, None] = {}  # connected or dialling
        self._dial_at: dict[str, datetime] = {}
        self._listener = listen(loop, address, self._accepted)
        self._closed = False
        self._check_connections()

    @property
    def clock(self) -> Clock:
        """The loop's clock."""
        return self._loop.clock

    @property
    def address(self) -> Address:
        """The address of the listener."""
        host, port = self._listener.getsockname()[:2]
        return host, port

    @property
    def connected_members(self) -> list[str]:
        """The names of the members that are connected."""
        return sorted(self._peers)

    def send(self, to: str, message: Message) -> None:
        """Sends a message to a member. It is dropped if there is no connection: the sender learns from
        ``on_reachability`` when to start anew."""
        peer = self._peers.get(to)
        if peer is None:
            COUNTERS.add("mesh.no_way")
        else:
            peer.send(message)

    def close(self) -> None:
        """Closes the listener and all connections."""
        self._closed = True
        self._loop.unwatch(self._listener.fileno())
        self._listener.close()
        for peer in [*self._peers.values(), *self._unidentified]:
            peer.connection.close()
        self._peers.clear()
        self._unidentified.clear()

    # --- connections ---

    def receive(self, peer: MeshConnection, message: Message) -> None:
        """Handles a message of one connection."""
        COUNTERS.add("mesh.heard")
        if isinstance(message, Hello):
            if not peer.name:
                self._identified(peer, message)
        elif peer.name:
            self._on_message(peer.name, message)
        else:
            COUNTERS.add("mesh.dropped.unknown")
            peer.close()

    def ended(self, peer: MeshConnection) -> None:
        """A connection has ended."""
        self._unidentified.pop(peer, None)
        if peer.dialled:
            self._dial_at[peer.dialled] = self.clock.now() + DIAL_RETRY_INTERVAL
        if peer.name and self._peers.get(peer.name) is peer:
            del self._peers[peer.name]
            COUNTERS.add("mesh.ways_lost")
            self._on_reachability(peer.name, False)

    def _identified(self, peer: MeshConnection, hello: Hello) -> None:
        is_member = hello.name in self._members and hello.group == self.me.group
        if not is_member or peer.dialled not in ("", hello.name):
            COUNTERS.add("mesh.dropped.stranger")
            log(f"mesh: {hello.name!r} is not a voting member, or not the one dialled", "mesh.stranger")
            peer.close()
            return
        previous = self._peers.pop(hello.name, None)
        self._unidentified.pop(peer, None)
        peer.name = hello.name
        if previous is not None:  # the same member on a new connection: it has given up the old one
            previous.connection.close()
            self._on_reachability(hello.name, False)
        self._peers[hello.name] = peer
        if not peer.dialled:
            peer.send(self.me)
        COUNTERS.add("mesh.ways")
        self._on_reachability(hello.name, True)

    def _accepted(self, sock: socket.socket) -> None:
        if len(self._unidentified) >= MAX_UNIDENTIFIED:
            COUNTERS.add("mesh.no_room")
            sock.close()
            return
        created: list[MeshConnection] = []
        connection = Connection(
            self._loop, sock, lambda _: created[0].ready(connection),
            lambda *_: self.ended(created[0]), lambda _: created[0].pump(),
        )  # fmt: skip
        created.append(MeshConnection(self, connection))
        self._unidentified[created[0]] = None

    def _dial(self, name: str, address: Address) -> None:
        created: list[MeshConnection] = []

        def on_ended(_: Connection, end: EndReason) -> None:
            COUNTERS.add(f"mesh.{end.name.lower()}")
            self.ended(created[0])

        connection = Connection.dial(
            self._loop, address, DIAL_TIMEOUT, lambda it: created[0].ready(it), on_ended,
            lambda _: created[0].pump(), source=self._own_address[0],
        )  # fmt: skip
        created.append(MeshConnection(self, connection, name))
        self._unidentified[created[0]] = None
        created[0].send(self.me)

    # --- timers ---

    def _check_connections(self) -> None:
        if self._closed:
            return
        now = self.clock.now()
        for peer in [*self._unidentified, *self._peers.values()]:
            since = peer.connection.last_received_at if peer.name else peer.opened_at
            if now - since > (SILENCE_TIMEOUT if peer.name else HELLO_TIMEOUT):
                COUNTERS.add("mesh.silent")
                peer.close()
            elif peer.name and now - peer.sent_at >= HEARTBEAT_INTERVAL:
                peer.send(self.me)
        dialling = {peer.dialled for peer in self._unidentified}
        for name in sorted(self._members - self._peers.keys() - dialling):
            address = self._address_of(name)
            if self.me.name < name and address is not None and now >= self._dial_at.get(name, now):
                self._dial(name, address)
        self._loop.call_later(CHECK_INTERVAL, self._check_connections)
