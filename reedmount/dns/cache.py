"""Cache of DNS answers with a lifetime, bounded in entries and in memory. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import datetime, timedelta

from reedmount.core.checks import COUNTERS
from reedmount.dns.answers import Answer
from reedmount.dns.reader import Question

ENTRY_BYTES, RECORD_BYTES = 700, 300  # estimates, compared with real sizes in docs/MEASURED-SOURCES.md


@dataclass(frozen=True, slots=True)
class CacheLimits:
    """Limits of lifetimes and size.

    The floor spares name servers whose TTL is 0; the ceiling caps absurdly long TTLs.
    """

    floor: timedelta = timedelta(seconds=1)
    ceiling: timedelta = timedelta(seconds=300)
    entries: int = 8192
    memory: int = 8 << 20  # bytes, as estimated

    def lifetime(self, ttl: int) -> timedelta:
        """Return the lifetime of an answer with this TTL (s)."""
        return min(max(timedelta(seconds=min(ttl, 1 << 31)), self.floor), self.ceiling)


@dataclass(slots=True)
class CachedAnswer:
    """An answer, its expiry and its estimated size in bytes."""

    answer: Answer
    expires_at: datetime
    cost: int


class Cache:
    """Answers by question; the least recently used one is evicted when the cache is full."""

    def __init__(self, limits: CacheLimits) -> None:
        self.limits = limits
        self._entries: OrderedDict[Question, CachedAnswer] = OrderedDict()
        self.memory = 0

    def __len__(self) -> int:
        """The number of entries."""
        return len(self._entries)

    def get(self, now: datetime, question: Question) -> CachedAnswer | None:
        """Return an entry that has not expired."""
        entry = self._entries.get(question)
        if entry is None:
            return None
        if now >= entry.expires_at:
            self._drop(question)
            return None
        self._entries.move_to_end(question)
        return entry

    def put(self, now: datetime, question: Question, answer: Answer) -> CachedAnswer:
        """Store an answer; one that is larger than the whole cache is returned without being stored."""
        cost = ENTRY_BYTES + RECORD_BYTES * answer.records
        entry = CachedAnswer(answer, now + self.limits.lifetime(answer.ttl), cost)
        if question in self._entries:
            self._drop(question)
        if entry.cost > self.limits.memory or not self.limits.entries:
            COUNTERS.add("dns.cache.too_large")
            return entry
        while len(self._entries) >= self.limits.entries or self.memory + entry.cost > self.limits.memory:
            self._drop(next(iter(self._entries)))
            COUNTERS.add("dns.cache.pushed_out")
        self._entries[question] = entry
        self.memory += entry.cost
        return entry

    def _drop(self, question: Question) -> None:
        self.memory -= self._entries.pop(question).cost
