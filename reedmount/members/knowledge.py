"""Observations of call servers that members exchange with their age, and what a newcomer derives from them.

An observation is what one member saw of one server itself, and how long ago. In transit it only ages: each
member that forwards it adds the time that it stored it, and ``MAX_HOP_DELAY`` for the network delay, which is
not measured. Clocks of different members are never compared.

Observations of one server are combined by their medians over different observers, so that of three no single
one decides: neither one that lies nor one whose view is stale. With fewer than ``MIN_OBSERVERS``, nothing is
derived that would send more load to a server. If observations disagree on whether a server may be used, the
safer one wins for a bounded time: a drain or a removal that any member saw recently holds back new work until
our own list has had time to confirm it or not. A start holds back no work; the
latest start that any member saw counts as the server's.
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

MIN_OBSERVERS = 3  # or all other members if there are fewer
MAX_HOP_DELAY = timedelta(milliseconds=50)  # added to the age at each hop, for the network delay
MAX_OBSERVATION_AGE = timedelta(seconds=60)  # older ones are neither sent nor used
# Copies of one observation that took two hops more or less differ by at most some 0.3 s in age.
DUPLICATE_WINDOW = timedelta(milliseconds=500)
HALF_LIFE = timedelta(seconds=5)  # in which an observation loses half of its weight
HOLD_TIME = timedelta(seconds=8)  # of a reported drain or removal: lists are up to 7 s late
MAX_SERVER_NAME = 48  # bytes of a server's name: an IPv6 address and its port
MAX_SERVERS, MAX_OBSERVERS = 4096, 16  # bounds of what is stored: servers, and observers of each
MILLI = timedelta(milliseconds=1)
MAX_AGE_MS = 2**22  # in a datagram; beyond any age that is used


class ListState(IntEnum):
    """The state of the server in the observer's list; the greater is the safer."""

    SERVING = 0
    DRAINING = 1
    REMOVED = 2


class Observation(msgspec.Struct, frozen=True, array_like=True):
    """One member's own observation of one server, as sent. New fields may only be added at the end."""

    server: Annotated[str, Meta(min_length=1, max_length=MAX_SERVER_NAME)]
    by: Annotated[str, Meta(min_length=1, max_length=MAX_NAME)]
    age_ms: Annotated[int, Meta(ge=0, le=MAX_AGE_MS)]  # when this was sent
    state: ListState
    cold_ms: Annotated[int, Meta(ge=-1, le=MAX_AGE_MS)] = -1  # since its start was seen; -1: warm
    window: Annotated[int, Meta(ge=0, le=1_000_000)] = 0  # set-ups unanswered there, in hundredths
    delay_us: Annotated[int, Meta(ge=0, le=60_000_000)] = 0  # smoothed answer delay
    hold_off_ms: Annotated[int, Meta(ge=0, le=MAX_AGE_MS)] = 0  # remaining hold-off of its flag; 0: no flag

    def same_content(self, other: Observation) -> bool:
        """Whether both are equal apart from their age."""
        return msgspec.structs.replace(self, age_ms=0) == msgspec.structs.replace(other, age_ms=0)


@dataclass(frozen=True, slots=True)
class StoredObservation:
    """An observation with the latest instant, by our own clock, at which it can have been made."""

    observation: Observation
    observed_at: datetime

    def aged(self, now: datetime) -> Observation:
        """The observation as sent now, its age by our clock: it never gets younger in transit."""
        age = min(MAX_AGE_MS, -((self.observed_at - now) // MILLI))
        return msgspec.structs.replace(self.observation, age_ms=max(self.observation.age_ms, age))

    def is_duplicate_of(self, known: StoredObservation) -> bool:
        """Whether it is a copy of the same observation that aged less on another path."""
        return (
            self.observation.same_content(known.observation)
            and self.observed_at - known.observed_at < DUPLICATE_WINDOW
        )

    @property
    def unsafe(self) -> bool:
        """Whether the server was seen draining or removed."""
        return self.observation.state is not ListState.SERVING

    @property
    def started(self) -> datetime | None:
        """When the server started; None if it was warm."""
        return self.observed_at - self.observation.cold_ms * MILLI if self.observation.cold_ms >= 0 else None


@dataclass(frozen=True, slots=True)
class Belief:
    """What a newcomer derives for one server."""

    server: str
    observers: int
    held_back_until: datetime | None  # no new work before: someone saw a drain or a removal
    cold_since: datetime | None  # the latest start that any member saw
    window: float | None  # None: too few observers, or too old
    delay_us: int | None
    flagged_until: datetime | None


class Knowledge:
    """Stores our own and received observations, within bounds."""

    def __init__(self, me: str) -> None:
        self._me = me
        self._stored: dict[str, dict[str, StoredObservation]] = {}  # by server and observer

    def __len__(self) -> int:
        """The number of servers with observations."""
        return len(self._stored)

    def observe(self, now: datetime, observation: Observation) -> None:
        """Store an observation that this member just made."""
        self._store(StoredObservation(observation, now))

    def receive(self, now: datetime, observations: Iterable[Observation]) -> int:
        """Merge observations of other members; returns how many were new."""
        return sum(self.merge(now, observation) for observation in observations)

    def merge(self, now: datetime, observation: Observation) -> bool:
        """Merge one observation; returns whether it is new: later than the stored one of its observer.

        Observations under our own name are rejected: they come from a previous process of this member.
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
        """The latest observation of a server by one observer."""
        return self._stored.get(server, {}).get(by)

    def __iter__(self) -> Iterator[tuple[str, list[StoredObservation]]]:
        """All servers with observations, each with the latest one per observer."""
        for server, by_observer in self._stored.items():
            yield server, list(by_observer.values())

    def beliefs(self, now: datetime, others: int) -> list[Belief]:
        """Derive a belief per server, as a newcomer among this many other members."""
        self.forget(now)
        min_observers = max(1, min(MIN_OBSERVERS, others))
        return [
            self._belief(now, name, list(by_observer.values()), min_observers)
            for name, by_observer in self._stored.items()
        ]

    def forget(self, now: datetime) -> None:
        """Remove observations that are too old."""
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
        flagged = flags[(len(flags) - 1) // 2] if enough else None  # the median of the reported ends
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
