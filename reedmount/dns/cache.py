"""Answers kept for their lifetime, bounded in number and in memory. Pure."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import datetime, timedelta

from reedmount.core.checks import COUNTERS
from reedmount.dns.answers import Answer
from reedmount.dns.reader import Question

ENTRY_BYTES, RECORD_BYTES = 700, 300  # estimates; docs/MEASURED-SOURCES.md has them beside the real size


@dataclass(frozen=True, slots=True)
class CacheLimits:
    """Lifetimes and room. The floor spares name servers whose TTL is 0, the ceiling forgets absurd ones."""

    floor: timedelta = timedelta(seconds=1)
    ceiling: timedelta = timedelta(seconds=300)
    entries: int = 8192
    memory: int = 8 << 20  # bytes, by the estimates above

    def lifetime(self, ttl: int) -> timedelta:
        """How long an answer with this TTL (s) holds."""
        return min(max(timedelta(seconds=min(ttl, 1 << 31)), self.floor), self.ceiling)


@dataclass(slots=True)
class CachedAnswer:
    """An answer, when its lifetime ends, and its bytes as estimated."""

    answer: Answer
    until: datetime
    cost: int


class Cache:
    """By question; what was not asked for longest goes first when room runs out."""

    def __init__(self, limits: CacheLimits) -> None:
        self.limits = limits
        self._kept: OrderedDict[Question, CachedAnswer] = OrderedDict()
        self.memory = 0

    def __len__(self) -> int:
        """How many answers are kept."""
        return len(self._kept)

    def get(self, now: datetime, question: Question) -> CachedAnswer | None:
        """An answer whose lifetime still runs."""
        kept = self._kept.get(question)
        if kept is None:
            return None
        if now >= kept.until:
            self._drop(question)
            return None
        self._kept.move_to_end(question)
        return kept

    def put(self, now: datetime, question: Question, answer: Answer) -> CachedAnswer:
        """Keep an answer; one that is larger than all the room there is goes by without being kept."""
        cost = ENTRY_BYTES + RECORD_BYTES * answer.records
        kept = CachedAnswer(answer, now + self.limits.lifetime(answer.ttl), cost)
        if question in self._kept:
            self._drop(question)
        if kept.cost > self.limits.memory or not self.limits.entries:
            COUNTERS.add("dns.cache.too_large")
            return kept
        while len(self._kept) >= self.limits.entries or self.memory + kept.cost > self.limits.memory:
            self._drop(next(iter(self._kept)))
            COUNTERS.add("dns.cache.pushed_out")
        self._kept[question] = kept
        self.memory += kept.cost
        return kept

    def _drop(self, question: Question) -> None:
        self.memory -= self._kept.pop(question).cost
