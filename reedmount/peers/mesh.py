"""One TCP connection between each two members: messages about copies, in order while it lasts. No decision.

Of two members the one with the smaller name dials, at the address at which the other is heard as a member,
from the address that it listens at itself. What was on its way when a connection breaks is lost, and both are
told.
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
from reedmount.replicas.messages import FRAME, FrameError, Hello, Message, frame, length_of, unframe

LOOK_EVERY = timedelta(milliseconds=250)
DIAL_AGAIN = timedelta(milliseconds=500)
DIAL_WAIT = timedelta(seconds=2)
GREET_WAIT = timedelta(seconds=2)  # for the first message of whoever connects
BEAT_EVERY = timedelta(milliseconds=500)  # where nothing else is said
SILENT = timedelta(seconds=2)  # a way that brings nothing for so long is as good as cut
MAX_QUEUE = 32 << 20  # bytes that wait for one member: one that reads so little is parted from
MAX_GREETING = 64  # connections of which nobody knows yet who is there


class Link:
    """One connection, from its beginning to its end."""

    def __init__(self, mesh: Mesh, connection: Connection, dialled: str = "") -> None:
        self._mesh, self.connection, self.dialled = mesh, connection, dialled
        self.name = ""  # once the other has said who it is
        self.began: datetime = mesh.clock.now()
        self.sent_at = self.began
        self._waiting: deque[bytes] = deque()
        self._size = 0

    def send(self, message: Message) -> None:
        """As soon as the connection takes it."""
        data = frame(message)
        self._waiting.append(data)
        self._size += len(data)
        if self._size > MAX_QUEUE:
            COUNTERS.add("mesh.stuck")
            self.close()
        else:
            self.pump()

    def pump(self) -> None:
        """Give the connection what it takes: one message lies there at most that the system did not take."""
        while self._waiting and self.connection.idle and not self.connection.ended:
            data = self._waiting.popleft()
            self._size -= len(data)
            COUNTERS.add("mesh.sent")
            COUNTERS.add("mesh.sent_bytes", len(data))
            self.sent_at = self._mesh.clock.now()
            self.connection.send(data)

    def ready(self, connection: Connection) -> None:
        """Bytes have come."""
        ring = connection.incoming
        while not connection.ended and len(ring) >= FRAME.size:
            try:
                length = length_of(ring.peek(FRAME.size))
                if len(ring) < length:
                    return
                message = unframe(ring.peek(length))
                ring.drop(length)
            except FrameError as fault:
                COUNTERS.add(f"mesh.dropped.{fault.reason}")
                self.close()
                return
            self._mesh.heard(self, message)

    def close(self) -> None:
        """Part."""
        if not self.connection.ended:
            self.connection.close()
            self._mesh.ended(self)


class Mesh:
    """All connections to other members. It owns the links and the timers of dialling."""

    def __init__(
        self,
        loop: Loop,
        me: Hello,
        address: Address,
        names: Collection[str],
        address_of: Callable[[str], Address | None],
        on_message: Callable[[str, Message], None],
        on_way: Callable[[str, bool], None],
    ) -> None:
        """``names``: the others that count. ``address_of``: where one is, None where nobody should dial it.
        ``on_way`` hears of each way that is there or is not any more. Raises OSError of the listener."""
        self._loop, self.me, self._own = loop, me, address
        self._names = frozenset(names) - {me.name}
        self._address_of, self._on_message, self._on_way = address_of, on_message, on_way
        self._links: dict[str, Link] = {}  # of those that have said who they are
        self._greeting: dict[Link, None] = {}  # connected, or about to be
        self._dial_at: dict[str, datetime] = {}
        self._listener = listen(loop, address, self._accepted)
        self._closed = False
        self._look()

    @property
    def clock(self) -> Clock:
        """The loop's."""
        return self._loop.clock

    @property
    def address(self) -> Address:
        """Where it listens."""
        host, port = self._listener.getsockname()[:2]
        return host, port

    @property
    def ways(self) -> list[str]:
        """To whom there is one."""
        return sorted(self._links)

    def send(self, to: str, message: Message) -> None:
        """To a member, or nowhere: whoever sends hears of the way's end and begins anew after that."""
        link = self._links.get(to)
        if link is None:
            COUNTERS.add("mesh.no_way")
        else:
            link.send(message)

    def close(self) -> None:
        """Be gone."""
        self._closed = True
        self._loop.unwatch(self._listener.fileno())
        self._listener.close()
        for link in [*self._links.values(), *self._greeting]:
            link.connection.close()
        self._links.clear()
        self._greeting.clear()

    # --- links ---

    def heard(self, link: Link, message: Message) -> None:
        """A message of one link."""
        COUNTERS.add("mesh.heard")
        if isinstance(message, Hello):
            if not link.name:
                self._greeted(link, message)
        elif link.name:
            self._on_message(link.name, message)
        else:
            COUNTERS.add("mesh.dropped.unknown")
            link.close()

    def ended(self, link: Link) -> None:
        """A link is no more."""
        self._greeting.pop(link, None)
        if link.dialled:
            self._dial_at[link.dialled] = self.clock.now() + DIAL_AGAIN
        if link.name and self._links.get(link.name) is link:
            del self._links[link.name]
            COUNTERS.add("mesh.ways_lost")
            self._on_way(link.name, False)

    def _greeted(self, link: Link, hello: Hello) -> None:
        known = hello.name in self._names and hello.group == self.me.group
        if not known or link.dialled not in ("", hello.name):
            COUNTERS.add("mesh.dropped.stranger")
            log(f"mesh: {hello.name!r} is no member that counts, or not the one dialled", "mesh.stranger")
            link.close()
            return
        before = self._links.pop(hello.name, None)
        self._greeting.pop(link, None)
        link.name = hello.name
        if before is not None:  # the same member by another connection: it knows that the old one is gone
            before.connection.close()
            self._on_way(hello.name, False)
        self._links[hello.name] = link
        if not link.dialled:
            link.send(self.me)
        COUNTERS.add("mesh.ways")
        self._on_way(hello.name, True)

    def _accepted(self, sock: socket.socket) -> None:
        if len(self._greeting) >= MAX_GREETING:
            COUNTERS.add("mesh.no_room")
            sock.close()
            return
        made: list[Link] = []
        connection = Connection(
            self._loop, sock, lambda _: made[0].ready(connection),
            lambda *_: self.ended(made[0]), lambda _: made[0].pump(),
        )  # fmt: skip
        made.append(Link(self, connection))
        self._greeting[made[0]] = None

    def _dial(self, name: str, address: Address) -> None:
        made: list[Link] = []

        def over(_: Connection, end: EndReason) -> None:
            COUNTERS.add(f"mesh.{end.name.lower()}")
            self.ended(made[0])

        connection = Connection.dial(
            self._loop, address, DIAL_WAIT, lambda it: made[0].ready(it), over, lambda _: made[0].pump(),
            source=self._own[0],
        )  # fmt: skip
        made.append(Link(self, connection, name))
        self._greeting[made[0]] = None
        made[0].send(self.me)

    # --- time ---

    def _look(self) -> None:
        if self._closed:
            return
        now = self.clock.now()
        for link in [*self._greeting, *self._links.values()]:
            since = link.connection.last_received_at if link.name else link.began
            if now - since > (SILENT if link.name else GREET_WAIT):
                COUNTERS.add("mesh.silent")
                link.close()
            elif link.name and now - link.sent_at >= BEAT_EVERY:
                link.send(self.me)
        dialling = {link.dialled for link in self._greeting}
        for name in sorted(self._names - self._links.keys() - dialling):
            address = self._address_of(name)
            if self.me.name < name and address is not None and now >= self._dial_at.get(name, now):
                self._dial(name, address)
        self._loop.call_later(LOOK_EVERY, self._look)
