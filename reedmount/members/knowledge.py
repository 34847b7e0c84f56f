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
MAX_HOP_DELAY = timedelta(milliseconds=50)  # added to the age at each hand, for the way
MAX_OBSERVATION_AGE = timedelta(seconds=60)  # what is older is neither told nor believed
DUPLICATE_WINDOW = timedelta(
    milliseconds=500
)  # two hands more or less on the way make at most some 0.3 s of an age
HALF_LIFE = timedelta(seconds=5)  # in which a fact loses half of its weight
HOLD_TIME = timedelta(seconds=8)  # how long a drain by hearsay holds: lists are up to 7 s late
MAX_SERVER_NAME = 48  # bytes of a server's name: an IPv6 address and its port
MAX_SERVERS, MAX_OBSERVERS = 4096, 16  # facts that are kept: of so many servers, of each by so many members
MILLI = timedelta(milliseconds=1)
MAX_AGE_MS = 2**22  # ms in a datagram: beyond any age that is believed


class ListState(IntEnum):
    """What the observer's list said of the server; the greater is the safer."""

    SERVING = 0
    DRAINING = 1
    REMOVED = 2


class Observation(msgspec.Struct, frozen=True, array_like=True):
    """What one member saw of one server itself, as it travels. Fields are only ever added at the end."""

    server: Annotated[str, Meta(min_length=1, max_length=MAX_SERVER_NAME)]
    by: Annotated[str, Meta(min_length=1, max_length=MAX_NAME)]
    age_ms: Annotated[int, Meta(ge=0, le=MAX_AGE_MS)]  # when it was sent
    state: ListState
    cold_ms: Annotated[int, Meta(ge=-1, le=MAX_AGE_MS)] = -1  # since its start was seen; -1: it is warm
    window: Annotated[int, Meta(ge=0, le=1_000_000)] = 0  # set-ups unanswered there, in hundredths
    delay_us: Annotated[int, Meta(ge=0, le=60_000_000)] = 0  # smoothed
    hold_off_ms: Annotated[int, Meta(ge=0, le=MAX_AGE_MS)] = 0  # of the hold-off of its flag; 0: no flag

    def same_content(self, other: Observation) -> bool:
        """Whether it says the same, whenever that was."""
        return msgspec.structs.replace(self, age_ms=0) == msgspec.structs.replace(other, age_ms=0)


@dataclass(frozen=True, slots=True)
class StoredObservation:
    """A fact that is kept, with the instant at which it was observed by our own clock, at the latest."""

    observation: Observation
    observed_at: datetime

    def aged(self, now: datetime) -> Observation:
        """The fact as it is told now: its age by our clock, so that it never gets younger on its way."""
        age = min(MAX_AGE_MS, -((self.observed_at - now) // MILLI))
        return msgspec.structs.replace(self.observation, age_ms=max(self.observation.age_ms, age))

    def is_duplicate_of(self, known: StoredObservation) -> bool:
        """Whether it is the same observation by another way, on which it has aged less."""
        return (
            self.observation.same_content(known.observation)
            and self.observed_at - known.observed_at < DUPLICATE_WINDOW
        )

    @property
    def unsafe(self) -> bool:
        """Whether it says that the server drains, or is gone."""
        return self.observation.state is not ListState.SERVING

    @property
    def started(self) -> datetime | None:
        """The start that it tells of."""
        return self.observed_at - self.observation.cold_ms * MILLI if self.observation.cold_ms >= 0 else None


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
        self._stored: dict[str, dict[str, StoredObservation]] = {}  # by server and observer

    def __len__(self) -> int:
        """Of how many servers there is anything."""
        return len(self._stored)

    def observe(self, now: datetime, observation: Observation) -> None:
        """We observed this ourselves, just now."""
        self._store(StoredObservation(observation, now))

    def receive(self, now: datetime, observations: Iterable[Observation]) -> int:
        """Others say so. How many were news."""
        return sum(self.merge(now, observation) for observation in observations)

    def merge(self, now: datetime, observation: Observation) -> bool:
        """Somebody says so. Whether that is news: of an observer only what was seen later than what is known.

        What is said to come from ourselves is not taken: it is from a life before this one.
        """
        observed_at = now - observation.age_ms * MILLI - MAX_HOP_DELAY
        if observation.by == self._me or now - observed_at > MAX_OBSERVATION_AGE:
            return False
        stored, known = (
            StoredObservation(observation, observed_at),
            self.get(observation.server, observation.by),
        )
        if known is not None and (observed_at <= known.observed_at or stored.is_duplicate_of(known)):
            return False
        return self._store(stored)

    def get(self, server: str, by: str) -> StoredObservation | None:
        """What one observer said last of a server."""
        return self._stored.get(server, {}).get(by)

    def __iter__(self) -> Iterator[tuple[str, list[StoredObservation]]]:
        """All servers of which there is anything, with what each observer said."""
        for server, by_observer in self._stored.items():
            yield server, list(by_observer.values())

    def beliefs(self, now: datetime, others: int) -> list[Belief]:
        """What to take to be so, as a newcomer among so many others."""
        self.forget(now)
        min_observers = max(1, min(MIN_OBSERVERS, others))
        return [
            self._belief(now, name, list(by_observer.values()), min_observers)
            for name, by_observer in self._stored.items()
        ]

    def forget(self, now: datetime) -> None:
        """Let go of what is too old."""
        for server, by_observer in list(self._stored.items()):
            for by, stored in list(by_observer.items()):
                if now - stored.observed_at > MAX_OBSERVATION_AGE:
                    del by_observer[by]
            if not by_observer:
                del self._stored[server]

    def _store(self, stored: StoredObservation) -> bool:
        by_observer = self._stored.get(stored.observation.server)
        if by_observer is None:
            if len(self._stored) >= MAX_SERVERS:
                return False
            by_observer = self._stored[stored.observation.server] = {}
        by_observer[stored.observation.by] = stored
        if len(by_observer) > MAX_OBSERVERS:
            del by_observer[min(by_observer, key=lambda by: by_observer[by].observed_at)]
        return True

    @staticmethod
    def _belief(
        now: datetime, server: str, observations: list[StoredObservation], min_observers: int
    ) -> Belief:
        unsafe = [stored for stored in observations if stored.unsafe]
        starts = [stored.started for stored in observations if stored.started is not None]
        hold_until = max((stored.observed_at + HOLD_TIME for stored in unsafe), default=None)
        enough = len(observations) >= min_observers
        flags = sorted(stored.observed_at + stored.observation.hold_off_ms * MILLI for stored in observations)
        flagged = flags[(len(flags) - 1) // 2] if enough else None  # as long as half of them say
        recent = [stored for stored in observations if now - stored.observed_at <= 2 * HALF_LIFE]
        known = [stored for stored in recent if stored.observation.window]
        enough_recent = len(known) >= min_observers
        return Belief(
            server=server,
            observers=len(observations),
            held_back_until=hold_until if hold_until is not None and hold_until > now else None,
            cold_since=max(starts, default=None),
            window=statistics.median_low(stored.observation.window for stored in known) / 100
            if enough_recent
            else None,
            delay_us=statistics.median_high(stored.observation.delay_us for stored in known)
            if enough_recent
            else None,
            flagged_until=flagged if flagged is not None and flagged > now else None,
        )
