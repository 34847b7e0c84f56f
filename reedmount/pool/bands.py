"""Priority bands (RFC 2782): which are open, and the first choice of a number by weight. Pure.

The lowest priority is open always. The next one opens when no member of the open ones is up, or when a call
has waited unsent; the uppermost closes when it was not needed for a while.
"""

from __future__ import annotations

import hashlib
from bisect import bisect_right, insort
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from itertools import accumulate

from reedmount.core.checks import COUNTERS

WHOLE = 100  # a weight's share; a weight of 0 beside others has one of these
FAILURES_DOWN = 3  # in a row that never reached it or went unanswered, with nothing that stood between


@dataclass(frozen=True, slots=True)
class BandSettings:
    """When bands open and close."""

    pressure_time: timedelta = timedelta(milliseconds=50)  # a call has waited unsent for so long
    step_time: timedelta = timedelta(milliseconds=200)  # between two openings by pressure
    close_time: timedelta = timedelta(seconds=10)  # unneeded for so long
    down_time: timedelta = timedelta(seconds=5)  # so long a member that failed in a row counts as not up


@dataclass(slots=True)
class Member:
    """One server that serves, as far as bands go."""

    priority: int
    weight: int
    number: int
    failures: int = 0
    down_until: datetime | None = None

    def up(self, now: datetime) -> bool:
        """Whether it may be counted on."""
        return self.down_until is None or now >= self.down_until


@dataclass(slots=True)
class Band:
    """The members of one priority, and the line of their weights."""

    names: list[str] = field(default_factory=list)  # in order, so that the line is the same at each start
    points: list[int] | None = None  # where each one's part of the line ends; made when it is asked for
    needed_at: datetime | None = None  # when a call was last sent there

    def changed(self) -> None:
        """A member or a weight is another."""
        self.points = None


class Bands:
    """All bands; only the lowest ones up to a ceiling are open."""

    def __init__(self, settings: BandSettings) -> None:
        self.settings = settings
        self.members: dict[str, Member] = {}
        self._bands: dict[int, Band] = {}
        self._order: list[int] = []  # priorities that have members
        self._open = 1  # how many of them, from the lowest
        self._opened_at: datetime | None = None
        self._pressed_at: datetime | None = None
        self._down: dict[str, None] = {}

    # --- what is told ---

    def put(self, server: str, number: int, priority: int, weight: int) -> None:
        """A server serves, or its record is another; what was seen of it stays."""
        member = self.members.get(server)
        if member is None:
            self.members[server] = Member(priority, weight, number)
            self._join(server, priority)
        elif (member.priority, member.weight) != (priority, weight):
            self._leave(server, member.priority)
            member.priority, member.weight = priority, weight
            self._join(server, priority)

    def take(self, server: str) -> None:
        """It serves no more."""
        member = self.members.pop(server, None)
        if member is not None:
            self._down.pop(server, None)
            self._leave(server, member.priority)

    def sent(self, now: datetime, server: str) -> None:
        """A call was sent there."""
        member = self.members.get(server)
        if member is not None:
            self._bands[member.priority].needed_at = now

    def stood(self, server: str) -> None:
        """A call stands there."""
        member = self.members.get(server)
        if member is not None:
            member.failures, member.down_until = 0, None
            self._down.pop(server, None)

    def failed(self, now: datetime, server: str) -> None:
        """An attempt there never arrived or went unanswered."""
        member = self.members.get(server)
        if member is None:
            return
        member.failures += 1
        if member.failures >= FAILURES_DOWN:
            member.down_until = now + self.settings.down_time
            self._down[server] = None

    # --- what is decided ---

    def look(self, now: datetime, waiting: timedelta) -> bool:
        """Open or close; ``waiting`` is the age of the oldest call not sent yet. Whether anything changed."""
        before = self._open
        pressed = waiting >= self.settings.pressure_time
        if pressed:
            self._pressed_at = now
        while self._open < len(self._order) and not self._any_up(now):
            self._widen(now, "down")
        if pressed and self._open < len(self._order):
            since = self._opened_at
            if self._open == before and (since is None or now - since >= self.settings.step_time):
                self._widen(now, "pressed")
        if self._open == before and self._open > 1 and not pressed and self._unneeded(now):
            self._open -= 1
            COUNTERS.add("bands.closed")
        return self._open != before

    def is_open(self, server: str) -> bool:
        """Whether calls may go to a member now."""
        member = self.members.get(server)
        return member is not None and member.priority <= self._order[self._open - 1]

    @property
    def open(self) -> list[int]:
        """The open priorities, the lowest first."""
        return self._order[: self._open]

    @property
    def several(self) -> bool:
        """Whether there is more than one band at all."""
        return len(self._order) > 1

    def first_choice(self, number: str) -> int | None:
        """The number of the server of first choice: in the lowest band, shared out by weight.

        The same number called goes to the same server as long as the band stays as it is. The cost is that
        of a hash and of a binary search in the line of weights, made once for each change of the band.
        """
        if not self._order:
            return None
        band = self._bands[self._order[0]]
        if band.points is None:
            weights = [self.members[name].weight for name in band.names]
            shares = [weight * WHOLE or 1 for weight in weights] if any(weights) else [1] * len(weights)
            band.points = list(accumulate(shares))
        digest = hashlib.blake2b(number.encode(), digest_size=8).digest()
        point = int.from_bytes(digest, "big") % band.points[-1]
        return self.members[band.names[bisect_right(band.points, point)]].number

    # --- the bands ---

    def _any_up(self, now: datetime) -> bool:
        if not self._down:
            return True
        return any(
            self.members[name].up(now) for priority in self.open for name in self._bands[priority].names
        )

    def _unneeded(self, now: datetime) -> bool:
        """Nothing waited and nothing was sent to the uppermost, and those below it can do without it."""
        long_ago = now - self.settings.close_time
        top = self._bands[self._order[self._open - 1]]
        marks = (self._pressed_at, self._opened_at, top.needed_at)
        if any(mark is not None and mark > long_ago for mark in marks):
            return False
        return any(
            self.members[name].up(now)
            for priority in self._order[: self._open - 1]
            for name in self._bands[priority].names
        )

    def _widen(self, now: datetime, why: str) -> None:
        self._open += 1
        self._opened_at = now
        COUNTERS.add(f"bands.opened.{why}")

    def _join(self, server: str, priority: int) -> None:
        band = self._bands.get(priority)
        if band is None:
            band = self._bands[priority] = Band()
            ceiling = self._ceiling
            insort(self._order, priority)
            self._reopen(ceiling)
        insort(band.names, server)
        band.changed()

    def _leave(self, server: str, priority: int) -> None:
        band = self._bands[priority]
        band.names.remove(server)
        band.changed()
        if not band.names:
            ceiling = self._ceiling
            del self._bands[priority]
            self._order.remove(priority)
            self._reopen(ceiling)

    @property
    def _ceiling(self) -> int | None:
        return self._order[self._open - 1] if self._order else None

    def _reopen(self, ceiling: int | None) -> None:
        """Keep the same priorities open when one has come or gone; the lowest, and none not called on."""
        within = 0 if ceiling is None else sum(priority <= ceiling for priority in self._order)
        self._open = min(max(1, within), max(1, len(self._order)))
        while self._open > 1 and self._opened_at is None and self._bands[self.open[-1]].needed_at is None:
            self._open -= 1
