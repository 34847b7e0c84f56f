"""What members know of call servers, told to each other with its age; what a newcomer believes of it. Pure.

A fact is what one member saw of one server itself, and how long ago. On its way it only grows older: whoever
passes it on adds the time that it kept it, and ``MAX_WAY`` for the way, which nobody measures. No clock is
compared with another.

Facts of one server are joined by their medians over different observers, so that of three no one carries the
others: neither one that lies nor one whose view is stale. With fewer than ``MIN_OBSERVERS`` nothing is
believed that would have us send more than we do without it. Where facts disagree on whether a server may be
used, the safer view wins, for a bounded time: a drain, a removal or a start that anyone saw lately holds back
new work until our own list has had time to say so or not.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from reedmount.members.record import MAX_NAME

MIN_OBSERVERS = 3  # or all that there are, where these are fewer
MAX_WAY = timedelta(milliseconds=50)  # added to the age at each hand, for the way
OLDEST = timedelta(seconds=60)  # what is older is neither told nor believed
SAME = timedelta(milliseconds=500)  # two hands more or less on the way make at most some 0.3 s of an age
HALF_LIFE = timedelta(seconds=5)  # in which a fact loses half of its weight
HELD_BACK = timedelta(seconds=8)  # how long a drain by hearsay holds: lists are up to 7 s late
MAX_SERVER = 48  # bytes of a server's name: an IPv6 address and its port
MAX_SERVERS, MAX_OBSERVERS = 4096, 16  # facts that are kept: of so many servers, of each by so many members
MILLI = timedelta(milliseconds=1)
MAX_AGE = 2**22  # ms in a datagram: beyond any age that is believed


class ListState(IntEnum):
    """What the observer's list said of the server; the greater is the safer."""

    SERVING = 0
    DRAINING = 1
    REMOVED = 2


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """What one member saw of one server itself, as it travels. Fields are only ever added at the end."""

    server: Annotated[str, Meta(min_length=1, max_length=MAX_SERVER)]
    by: Annotated[str, Meta(min_length=1, max_length=MAX_NAME)]
    age_ms: Annotated[int, Meta(ge=0, le=MAX_AGE)]  # when it was sent
    state: ListState
    cold_ms: Annotated[int, Meta(ge=-1, le=MAX_AGE)] = -1  # since its start was seen; -1: it is warm
    window: Annotated[int, Meta(ge=0, le=1_000_000)] = 0  # set-ups unanswered there, in hundredths
    delay_us: Annotated[int, Meta(ge=0, le=60_000_000)] = 0  # smoothed
    rest_ms: Annotated[int, Meta(ge=0, le=MAX_AGE)] = 0  # of the hold-off of its flag; 0: no flag

    def same_as(self, other: Fact) -> bool:
        """Whether it says the same, whenever that was."""
        return msgspec.structs.replace(self, age_ms=0) == msgspec.structs.replace(other, age_ms=0)


@dataclass(frozen=True, slots=True)
class Heard:
    """A fact that is kept, with the instant at which it was observed by our own clock, at the latest."""

    fact: Fact
    observed: datetime

    def aged(self, now: datetime) -> Fact:
        """The fact as it is told now: its age by our clock, so that it never gets younger on its way."""
        age = min(MAX_AGE, -((self.observed - now) // MILLI))
        return msgspec.structs.replace(self.fact, age_ms=max(self.fact.age_ms, age))

    def repeats(self, known: Heard) -> bool:
        """Whether it is the same observation by another way, on which it has aged less."""
        return self.fact.same_as(known.fact) and self.observed - known.observed < SAME

    @property
    def unsafe(self) -> bool:
        """Whether it says that the server drains, or is gone."""
        return self.fact.state is not ListState.SERVING

    @property
    def started(self) -> datetime | None:
        """The start that it tells of."""
        return self.observed - self.fact.cold_ms * MILLI if self.fact.cold_ms >= 0 else None


@dataclass(frozen=True, slots=True)
class Belief:
    """What a newcomer takes to be so of one server."""

    server: str
    observers: int
    held_back_until: datetime | None  # no new work before: somebody saw a drain, a removal or a start
    cold_since: datetime | None  # the latest start that anyone saw
    window: float | None  # None: too few observers, or too old
    delay_us: int | None
    flagged_until: datetime | None


class Knowledge:
    """What we saw ourselves and what we were told, bounded; it owns both."""

    def __init__(self, me: str) -> None:
        self._me = me
        self._heard: dict[str, dict[str, Heard]] = {}  # by server and observer

    def __len__(self) -> int:
        """Of how many servers there is anything."""
        return len(self._heard)

    def saw(self, now: datetime, fact: Fact) -> None:
        """We observed this ourselves, just now."""
        self._keep(Heard(fact, now))

    def told(self, now: datetime, facts: Iterable[Fact]) -> int:
        """Others say so. How many were news."""
        return sum(self.take(now, fact) for fact in facts)

    def take(self, now: datetime, fact: Fact) -> bool:
        """Somebody says so. Whether that is news: of an observer only what was seen later than what is known.

        What is said to come from ourselves is not taken: it is from a life before this one.
        """
        observed = now - fact.age_ms * MILLI - MAX_WAY
        if fact.by == self._me or now - observed > OLDEST:
            return False
        heard, known = Heard(fact, observed), self.get(fact.server, fact.by)
        if known is not None and (observed <= known.observed or heard.repeats(known)):
            return False
        return self._keep(heard)

    def get(self, server: str, by: str) -> Heard | None:
        """What one observer said last of a server."""
        return self._heard.get(server, {}).get(by)

    def __iter__(self) -> Iterator[tuple[str, list[Heard]]]:
        """All servers of which there is anything, with what each observer said."""
        for server, kept in self._heard.items():
            yield server, list(kept.values())

    def beliefs(self, now: datetime, others: int) -> list[Belief]:
        """What to take to be so, as a newcomer among so many others."""
        self.forget(now)
        wanted = max(1, min(MIN_OBSERVERS, others))
        return [self._belief(now, name, list(kept.values()), wanted) for name, kept in self._heard.items()]

    def forget(self, now: datetime) -> None:
        """Let go of what is too old."""
        for server, kept in list(self._heard.items()):
            for by, heard in list(kept.items()):
                if now - heard.observed > OLDEST:
                    del kept[by]
            if not kept:
                del self._heard[server]

    def _keep(self, heard: Heard) -> bool:
        kept = self._heard.get(heard.fact.server)
        if kept is None:
            if len(self._heard) >= MAX_SERVERS:
                return False
            kept = self._heard[heard.fact.server] = {}
        kept[heard.fact.by] = heard
        if len(kept) > MAX_OBSERVERS:
            del kept[min(kept, key=lambda by: kept[by].observed)]
        return True

    @staticmethod
    def _belief(now: datetime, server: str, kept: list[Heard], wanted: int) -> Belief:
        unsafe = [heard for heard in kept if heard.unsafe]
        starts = [heard.started for heard in kept if heard.started is not None]
        back = max((heard.observed + HELD_BACK for heard in unsafe), default=None)
        enough = len(kept) >= wanted
        flags = sorted(heard.observed + heard.fact.rest_ms * MILLI for heard in kept)
        flagged = flags[(len(flags) - 1) // 2] if enough else None  # as long as half of them say
        fresh = [heard for heard in kept if now - heard.observed <= 2 * HALF_LIFE]
        known = [heard for heard in fresh if heard.fact.window]
        sure = len(known) >= wanted
        return Belief(
            server=server,
            observers=len(kept),
            held_back_until=back if back is not None and back > now else None,
            cold_since=max(starts, default=None),
            window=statistics.median_low(heard.fact.window for heard in known) / 100 if sure else None,
            delay_us=statistics.median_high(heard.fact.delay_us for heard in known) if sure else None,
            flagged_until=flagged if flagged is not None and flagged > now else None,
        )
