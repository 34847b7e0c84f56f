"""Priority bands (RFC 2782): which are open, and the first choice for a called number by weight. No I/O.

The lowest priority is always open. The next one opens when no member of the open ones is up, or when a call
has waited unsent for too long; the highest open one closes when it has not been needed for a while.
"""

from __future__ import annotations

import hashlib
from bisect import bisect_right, insort
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from itertools import accumulate

from reedmount.core.checks import COUNTERS

WEIGHT_SCALE = 100  # units per weight; a weight of 0 beside others gets a single unit
DOWN_AFTER_FAILURES = 3  # attempts unreachable or unanswered, with no call established in between


@dataclass(frozen=True, slots=True)
class BandSettings:
    """When bands open and close."""

    pressure_time: timedelta = timedelta(milliseconds=50)  # a call has waited unsent this long
    step_time: timedelta = timedelta(milliseconds=200)  # minimum time between two openings by waiting calls
    close_time: timedelta = timedelta(seconds=10)  # time without need before a band closes
    down_time: timedelta = timedelta(seconds=5)  # how long a member is down after consecutive failures


@dataclass(slots=True)
class Member:
    """A serving server as a member of its band."""

    priority: int
    weight: int
    number: int
    failures: int = 0
    down_until: datetime | None = None

    def is_up(self, now: datetime) -> bool:
        """Whether it is not marked down."""
        return self.down_until is None or now >= self.down_until


@dataclass(slots=True)
class Band:
    """The members of one priority, and their cumulative weights."""

    names: list[str] = field(default_factory=list)  # sorted: first choices survive a restart
    cumulative_weights: list[int] | None = None  # one per name, computed on demand
    last_used_at: datetime | None = None  # when a call was last sent to it

    def invalidate(self) -> None:
        """Discard the cumulative weights after a change of members or weights."""
        self.cumulative_weights = None


class Bands:
    """All bands, of which the lowest ones are open."""

    def __init__(self, settings: BandSettings) -> None:
        self.settings = settings
        self.members: dict[str, Member] = {}
        self._bands: dict[int, Band] = {}
        self._order: list[int] = []  # priorities that have members, ascending
        self._open_count = 1  # number of open bands, counted from the lowest
        self._opened_at: datetime | None = None
        self._pressure_at: datetime | None = None
        self._down: dict[str, None] = {}

    # --- input ---

    def put(self, server: str, number: int, priority: int, weight: int) -> None:
        """Add a server or update its record; its failure count is kept."""
        member = self.members.get(server)
        if member is None:
            self.members[server] = Member(priority, weight, number)
            self._add_to_band(server, priority)
        elif (member.priority, member.weight) != (priority, weight):
            self._remove_from_band(server, member.priority)
            member.priority, member.weight = priority, weight
            self._add_to_band(server, priority)

    def remove(self, server: str) -> None:
        """Remove a server that no longer serves."""
        member = self.members.pop(server, None)
        if member is not None:
            self._down.pop(server, None)
            self._remove_from_band(server, member.priority)

    def record_sent(self, now: datetime, server: str) -> None:
        """Record that a call was sent to a server."""
        member = self.members.get(server)
        if member is not None:
            self._bands[member.priority].last_used_at = now

    def record_established(self, server: str) -> None:
        """Record that a call was established on a server."""
        member = self.members.get(server)
        if member is not None:
            member.failures, member.down_until = 0, None
            self._down.pop(server, None)

    def record_failure(self, now: datetime, server: str) -> None:
        """Record an attempt that did not reach a server or went unanswered."""
        member = self.members.get(server)
        if member is None:
            return
        member.failures += 1
        if member.failures >= DOWN_AFTER_FAILURES:
            member.down_until = now + self.settings.down_time
            self._down[server] = None

    # --- decisions ---

    def update(self, now: datetime, waiting: timedelta) -> bool:
        """Open or close bands; ``waiting`` is the age of the oldest unsent call. Return whether any did."""
        before = self._open_count
        under_pressure = waiting >= self.settings.pressure_time
        if under_pressure:
            self._pressure_at = now
        while self._open_count < len(self._order) and not self._any_up(now):
            self._open_next(now, "down")
        if under_pressure and self._open_count < len(self._order):
            opened_at = self._opened_at
            if self._open_count == before and (
                opened_at is None or now - opened_at >= self.settings.step_time
            ):
                self._open_next(now, "pressed")
        if (
            self._open_count == before
            and self._open_count > 1
            and not under_pressure
            and self._is_unneeded(now)
        ):
            self._open_count -= 1
            COUNTERS.add("bands.closed")
        return self._open_count != before

    def is_open(self, server: str) -> bool:
        """Whether the band of a server is open."""
        member = self.members.get(server)
        return member is not None and member.priority <= self._order[self._open_count - 1]

    @property
    def open(self) -> list[int]:
        """The open priorities, lowest first."""
        return self._order[: self._open_count]

    @property
    def has_multiple(self) -> bool:
        """Whether there is more than one band."""
        return len(self._order) > 1

    def first_choice(self, number: str) -> int | None:
        """Return the number of the first-choice server for a called number: in the lowest band, by weight.

        The same called number gets the same server as long as the band doesn't change. A call costs a hash
        and a binary search; the cumulative weights are computed once for each change of the band.
        """
        if not self._order:
            return None
        band = self._bands[self._order[0]]
        if band.cumulative_weights is None:
            weights = [self.members[name].weight for name in band.names]
            shares = (
                [weight * WEIGHT_SCALE or 1 for weight in weights] if any(weights) else [1] * len(weights)
            )
            band.cumulative_weights = list(accumulate(shares))
        digest = hashlib.blake2b(number.encode(), digest_size=8).digest()
        point = int.from_bytes(digest, "big") % band.cumulative_weights[-1]
        return self.members[band.names[bisect_right(band.cumulative_weights, point)]].number

    # --- the bands ---

    def _any_up(self, now: datetime) -> bool:
        if not self._down:
            return True
        return any(
            self.members[name].is_up(now) for priority in self.open for name in self._bands[priority].names
        )

    def _is_unneeded(self, now: datetime) -> bool:
        """Whether no call waited, none was sent to the highest open band, and a lower one has a member up."""
        cutoff = now - self.settings.close_time
        top = self._bands[self._order[self._open_count - 1]]
        instants = (self._pressure_at, self._opened_at, top.last_used_at)
        if any(instant is not None and instant > cutoff for instant in instants):
            return False
        return any(
            self.members[name].is_up(now)
            for priority in self._order[: self._open_count - 1]
            for name in self._bands[priority].names
        )

    def _open_next(self, now: datetime, why: str) -> None:
        self._open_count += 1
        self._opened_at = now
        COUNTERS.add(f"bands.opened.{why}")

    def _add_to_band(self, server: str, priority: int) -> None:
        band = self._bands.get(priority)
        if band is None:
            band = self._bands[priority] = Band()
            highest_open = self._highest_open
            insort(self._order, priority)
            self._restore_open(highest_open)
        insort(band.names, server)
        band.invalidate()

    def _remove_from_band(self, server: str, priority: int) -> None:
        band = self._bands[priority]
        band.names.remove(server)
        band.invalidate()
        if not band.names:
            highest_open = self._highest_open
            del self._bands[priority]
            self._order.remove(priority)
            self._restore_open(highest_open)

    @property
    def _highest_open(self) -> int | None:
        return self._order[self._open_count - 1] if self._order else None

    def _restore_open(self, highest_open: int | None) -> None:
        """Keep the same priorities open after one was added or removed; at least the lowest."""
        within = 0 if highest_open is None else sum(priority <= highest_open for priority in self._order)
        self._open_count = min(max(1, within), max(1, len(self._order)))
        while (
            self._open_count > 1
            and self._opened_at is None
            and self._bands[self.open[-1]].last_used_at is None
        ):
            self._open_count -= 1
