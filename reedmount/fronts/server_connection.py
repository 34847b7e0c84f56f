"""One connection to a call server, and the set-ups that are queued for it or open on it."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from reedmount.core.actors import Timer
from reedmount.core.bounded import BoundedDict
from reedmount.core.checks import COUNTERS
from reedmount.core.liveness import Liveness
from reedmount.core.ports import Setup
from reedmount.net.connection import Address, Connection, EndReason
from reedmount.net.loop import Loop
from reedmount.sip.message import Message

MAX_UNCONFIRMED_RELEASES = 64  # for each connection
RELEASE_LOSS_WINDOW = timedelta(seconds=1)  # a release sent longer ago counts as read
CONNECTION_NUMBERS = itertools.count(1)
REUSE_FRACTION = 0.75  # of a call server's idle timeout, up to which an idle connection is reused


@dataclass(slots=True, eq=False)
class Attempt:
    """A set-up at a call server: queued, then sent, then possibly being cancelled."""

    setup: Setup
    timer: Timer
    uri: str
    connection: ServerConnection | None = None
    sent_at: datetime | None = None
    ending: bool = False
    reassignments: int = 0

    @property
    def via(self) -> str:
        """The Via header, whose branch tells the attempts of one call apart if the server returns it.

        CSeq cannot do so: call servers answer every set-up with number 1, and answers to second attempts
        were ignored because of it.
        """
        return f"SIP/2.0/TCP reedmount;branch=z9hG4bK{self.setup.name}.{self.setup.attempt}"

    def answered_by(self, message: Message, connection: ServerConnection) -> bool:
        """Whether a message answers this attempt and not an earlier one of the same call."""
        given = message.get("Via")
        ours = given is None or "branch=" not in given or given == self.via
        return ours and self.connection is connection and self.sent_at is not None and not self.ending


@dataclass(slots=True, eq=False)
class Outgoing:
    """A queued message of which nothing has been written yet."""

    data: bytes
    counter: str
    on_written: Callable[[], None] | None = None
    attempt: Attempt | None = None  # of a set-up, which is withdrawn when the server drains
    release: str = ""  # the call it releases: sent again if the connection ends before a confirmation
    is_probe: bool = False  # a probe does not count as use, and is dropped when the connection ends


@dataclass(frozen=True, slots=True)
class Connected:
    """The connection is up, or has written all its pending data."""

    connection: ServerConnection


@dataclass(frozen=True, slots=True)
class DataReceived:
    """Bytes were received."""

    connection: ServerConnection


@dataclass(frozen=True, slots=True)
class Disconnected:
    """A connection has ended."""

    connection: ServerConnection
    how: EndReason


@dataclass(slots=True)
class ConnectionLimits:
    """Limits of all connections to call servers; a reload changes them in place."""

    connect_wait: timedelta  # for a connection to come up
    idle_wait: timedelta | None = None  # after which a call server closes an idle connection
    max_connections: int | None = None  # in all; each call server may have one beyond it


class ConnectionOwner(Protocol):
    """The actor that owns the connection."""

    loop: Loop
    limits: ConnectionLimits

    @property
    def address(self) -> Address:
        """The address at which the call server listens."""

    def post(self, event: Connected | DataReceived | Disconnected, /) -> None:
        """Receive an event of the connection."""


class ServerConnection:
    """One connection to a call server. A set-up has one to itself while the limits allow it.

    A corrupt answer (noise, a wrong length, truncation) fails all attempts that are open on its connection.
    """

    def __init__(self, server: ConnectionOwner) -> None:
        self.number = next(CONNECTION_NUMBERS)  # for the log
        self.outbox: deque[Outgoing] = deque()
        self.attempts: dict[str, Attempt] = {}  # queued or sent here, by call name
        self.answered: deque[str] = deque(maxlen=16)  # latest calls answered here; duplicates may follow
        self.partial = False  # a message is partly received, and its timer runs
        # Sent and unconfirmed.
        self.releases = BoundedDict[str, tuple[datetime, Outgoing]](MAX_UNCONFIRMED_RELEASES)
        self.writing: Callable[[], None] | None = None
        self._clock, self._limits = server.loop.clock, server.limits
        # When a message other than a probe was last sent, or an answer received.
        self._used_at = self._clock.now()
        self.announced = False  # the log has a line that it is up
        self.liveness = Liveness(self._used_at)
        self.transport = Connection.dial(
            server.loop, server.address, server.limits.connect_wait,
            lambda _: server.post(DataReceived(self)),
            lambda _, how: server.post(Disconnected(self, how)),
            lambda _: server.post(Connected(self)),
        )  # fmt: skip

    @property
    def dialled_at(self) -> datetime:
        """When connecting began."""
        return self.transport.created_at

    @property
    def free(self) -> bool:
        """Whether it is up, with no attempt open and nothing queued."""
        return self.transport.connected and not self.attempts and not self.outbox

    @property
    def may_prove_process(self) -> bool:
        """Whether the next answer to a probe can only be to one that is sent now."""
        return self.transport.idle and not self.outbox and self.liveness.first_probe_at is None

    @property
    def stale(self) -> bool:
        """Whether the call server may close it as idle before a message sent now arrives and is read."""
        idle = self._limits.idle_wait
        return idle is not None and self.free and self._clock.now() - self._used_at > idle * REUSE_FRACTION

    def mark_used(self) -> None:
        """Record that a message was sent or an answer received."""
        self._used_at = self._clock.now()

    @property
    def open(self) -> bool:
        """Whether messages can still be queued here."""
        return not self.transport.ended

    def queue(self, item: Outgoing, at_front: bool = False) -> None:
        """Queue a message; writing it starts only once those before it are completely written."""
        if at_front:
            self.outbox.appendleft(item)
        else:
            self.outbox.append(item)
        self.pump()

    def pump(self) -> None:
        """Write queued messages as far as the transport takes them."""
        while self.outbox and self.transport.idle and self.writing is None:
            item = self.outbox.popleft()
            COUNTERS.add(item.counter)
            self.writing = item.on_written or (lambda: None)
            if not item.is_probe:
                self.mark_used()
            if item.release:
                self.releases[item.release] = (self._clock.now(), item)
            if item.attempt is not None:
                item.attempt.sent_at = self._clock.now()
            self.transport.send(item.data)
            if self.transport.idle:
                self.finish_write()

    def releases_at_risk(self) -> list[Outgoing]:
        """Unconfirmed releases sent so shortly before the connection ended that they may be lost."""
        since = self._clock.now() - RELEASE_LOSS_WINDOW
        return [item for at, item in self.releases.values() if at >= since]

    def finish_write(self) -> None:
        """The message being written is complete: call its callback."""
        on_written, self.writing = self.writing, None
        if on_written is not None:
            on_written()

    def withdraw(self, attempt: Attempt) -> Outgoing | None:
        """Remove a set-up from the queue if nothing of it has been written."""
        item = next((item for item in self.outbox if item.attempt is attempt), None)
        if item is not None:
            self.outbox.remove(item)
            self.attempts.pop(attempt.setup.name, None)
        return item
