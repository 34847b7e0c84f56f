"""One connection to a call server, and the set-ups that are queued for it or open on it."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from reedmount.core.actors import Timer
from reedmount.core.checks import COUNTERS
from reedmount.core.liveness import Liveness
from reedmount.core.ports import Setup
from reedmount.net.connection import Address, Connection, EndReason
from reedmount.net.loop import Loop
from reedmount.sip.message import Message

UNCONFIRMED = 64  # releases remembered on a connection
READ_WITHIN = timedelta(seconds=1)  # a release that was sent longer ago has been read
NUMBERS = itertools.count(1)
FRESH = 0.75  # of the time after which a call server closes an idle connection: until then it is used


@dataclass(slots=True, eq=False)
class Attempt:
    """A set-up at a call server: queued, then sent, then perhaps being called off."""

    setup: Setup
    timer: Timer
    uri: str
    lane: Lane | None = None
    sent_at: datetime | None = None
    ending: bool = False
    moves: int = 0

    @property
    def via(self) -> str:
        """What tells the attempts of one call apart, where the server gives it back.

        The number in CSeq does not: call servers answer every set-up as number 1, and the answers to second
        attempts were passed over for it.
        """
        return f"SIP/2.0/TCP reedmount;branch=z9hG4bK{self.setup.name}.{self.setup.attempt}"

    def answered_by(self, message: Message, lane: Lane) -> bool:
        """Whether this is its answer, and not one to an earlier attempt of the same call."""
        given = message.get("Via")
        ours = given is None or "branch=" not in given or given == self.via
        return ours and self.lane is lane and self.sent_at is not None and not self.ending


@dataclass(slots=True, eq=False)
class Outgoing:
    """A message that has not begun to be written."""

    data: bytes
    counter: str
    written: Callable[[], None] | None = None
    attempt: Attempt | None = None  # a set-up, which a drain takes back
    release: str = ""  # the call that it releases: sent again where the connection ends unconfirmed
    test: bool = False  # it is no use of the connection, and needs no other where this one ends


@dataclass(frozen=True, slots=True)
class Up:
    """The connection is up, or has written all it had."""

    lane: Lane


@dataclass(frozen=True, slots=True)
class Data:
    """Bytes have come."""

    lane: Lane


@dataclass(frozen=True, slots=True)
class Down:
    """A connection has ended."""

    lane: Lane
    how: EndReason


@dataclass(slots=True)
class ConnectionLimits:
    """What holds for all connections to call servers; a reload changes it in place."""

    connect_wait: timedelta  # for one to come up
    idle_wait: timedelta | None = None  # a call server closes one that was not used for so long
    max_connections: int | None = None  # connections in all, beyond one to each call server


class Owner(Protocol):
    """The actor whose lane it is."""

    loop: Loop
    limits: ConnectionLimits

    @property
    def address(self) -> Address:
        """Where its call server listens."""

    def post(self, word: Up | Data | Down, /) -> None:
        """Hear of the lane."""


class Lane:
    """One connection to a call server. A set-up has one to itself while there is room.

    What spoils one answer, noise, a wrong length, an end amid it, spoils all that is open on its connection.
    """

    def __init__(self, server: Owner) -> None:
        self.number = next(NUMBERS)  # for the log
        self.outbox: deque[Outgoing] = deque()
        self.attempts: dict[str, Attempt] = {}  # queued or sent here
        self.answered: deque[str] = deque(maxlen=16)  # a second copy may follow
        self.partial = False  # a message has begun and not ended, and is looked after
        self.releases: dict[str, tuple[datetime, Outgoing]] = {}  # sent and not confirmed, the oldest first
        self.writing: Callable[[], None] | None = None
        self._clock, self._limits = server.loop.clock, server.limits
        self._used_at = self._clock.now()  # when a message other than unasked news went here or came
        self.liveness = Liveness(self._used_at)
        self.connection = Connection.dial(
            server.loop, server.address, server.limits.connect_wait,
            lambda _: server.post(Data(self)),
            lambda _, how: server.post(Down(self, how)),
            lambda _: server.post(Up(self)),
        )  # fmt: skip

    @property
    def free(self) -> bool:
        """Whether it is up and nothing is open or waits on it."""
        return self.connection.connected and not self.attempts and not self.outbox

    @property
    def stale(self) -> bool:
        """Whether its call server may close it before what would be sent now is there: that would be lost."""
        idle = self._limits.idle_wait
        return idle is not None and self.free and self._clock.now() - self._used_at > idle * FRESH

    def used(self) -> None:
        """A message of a call has come."""
        self._used_at = self._clock.now()

    @property
    def open(self) -> bool:
        """Whether something can still be queued here."""
        return not self.connection.ended

    def queue(self, item: Outgoing, first: bool = False) -> None:
        """Put it in line; a message begins to be written only once those before it are wholly out."""
        if first:
            self.outbox.appendleft(item)
        else:
            self.outbox.append(item)
        self.pump()

    def pump(self) -> None:
        """Write what can be written."""
        while self.outbox and self.connection.idle and self.writing is None:
            item = self.outbox.popleft()
            COUNTERS.add(item.counter)
            self.writing = item.written or (lambda: None)
            if not item.test:
                self.used()
            if item.release:
                self.releases[item.release] = (self._clock.now(), item)
                if len(self.releases) > UNCONFIRMED:
                    del self.releases[next(iter(self.releases))]
            if item.attempt is not None:
                item.attempt.sent_at = self._clock.now()
            self.connection.send(item.data)
            if self.connection.idle:
                self.finish_write()

    def lost_releases(self) -> list[Outgoing]:
        """Those that were sent so shortly before its end that they may not have been read."""
        since = self._clock.now() - READ_WITHIN
        return [item for at, item in self.releases.values() if at >= since]

    def finish_write(self) -> None:
        """What was being written is out."""
        done, self.writing = self.writing, None
        if done is not None:
            done()

    def unsent(self, attempt: Attempt) -> Outgoing | None:
        """Take back a set-up that has not begun to be written."""
        item = next((item for item in self.outbox if item.attempt is attempt), None)
        if item is not None:
            self.outbox.remove(item)
            self.attempts.pop(attempt.setup.name, None)
        return item
