"""The table of members: the greatest claim of each name, digests of the whole, bounds and forgetting."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta

from reedmount.members.record import BUCKETS, Record, State, bucket_of

MAX_RECORDS = 4096
MAX_INCARNATION_JUMP = 1 << 20  # of an incarnation over what is known: a lie that leaves no room to refute it


@dataclass(frozen=True, slots=True)
class Change:
    """What has become of one member; None: it was not known, or it is not known any more."""

    old: Record | None
    new: Record | None

    @property
    def name(self) -> str:
        """Whose."""
        found = self.new or self.old
        return found.name if found is not None else ""


class NameSet:
    """A set of names with a random draw in constant time."""

    def __init__(self) -> None:
        self._list: list[str] = []
        self._positions: dict[str, int] = {}

    def __len__(self) -> int:
        """How many."""
        return len(self._list)

    def __contains__(self, name: object) -> bool:
        """Whether this one is among them."""
        return name in self._positions

    def __iter__(self) -> Iterator[str]:
        """In no order that means anything."""
        return iter(self._list)

    def add(self, name: str) -> None:
        """Take it in."""
        if name not in self._positions:
            self._positions[name] = len(self._list)
            self._list.append(name)

    def discard(self, name: str) -> None:
        """Let it go; the last one takes its place."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        last = self._list.pop()
        if last != name:
            self._list[position], self._positions[last] = last, position

    def draw(self, rng: random.Random, count: int, exclude: str = "") -> list[str]:
        """So many different ones, or all that there are, in random order."""
        drawn = rng.sample(self._list, min(len(self._list), count + 1))
        return [name for name in drawn if name != exclude][:count]


class View:
    """What is known of all members, ourselves among them.

    ``version`` rises with each change, here alone; ``digest`` says whether two tables are equal, wherever.
    """

    def __init__(self, me: str, voter_names: frozenset[str], retention: timedelta) -> None:
        self._me = me
        self.voter_names = voter_names  # of the roster: never forgotten
        self.version = 0
        self.digest = 0
        self.buckets = [0] * BUCKETS
        self.present = NameSet()  # alive or suspected
        self.dead = NameSet()  # called dead, which may be a cut
        self._retention = retention
        self._records: dict[str, Record] = {}
        self._names: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._ended_at: dict[str, datetime] = {}  # dead or left, the oldest first

    def __len__(self) -> int:
        """How many records."""
        return len(self._records)

    def __iter__(self) -> Iterator[Record]:
        """All records."""
        return iter(self._records.values())

    def get(self, name: str) -> Record | None:
        """The greatest claim."""
        return self._records.get(name)

    def is_plausible(self, record: Record) -> bool:
        """Whether its incarnation leaves the member room to refute it."""
        known = self._records.get(record.name)
        return record.incarnation <= (known.incarnation if known is not None else 0) + MAX_INCARNATION_JUMP

    def merge(self, now: datetime, record: Record) -> Change | None:
        """Merge one claim; what it changed, if it won. None too where the table is full of others."""
        old = self._records.get(record.name)
        if old is not None and record.rank <= old.rank:
            return None
        if old is None and len(self._records) >= MAX_RECORDS and not self._evict_ended():
            return None
        self._toggle_digest(old)
        self._toggle_digest(record)
        self._records[record.name] = record
        self._names[bucket_of(record.name)].add(record.name)
        self._classify(now, record)
        self.version += 1
        return Change(old, record)

    def expire(self, now: datetime) -> list[Change]:
        """Let go of those that are gone for long; looks at no more than it lets go of."""
        changes = []
        while self._ended_at:
            name, since = next(iter(self._ended_at.items()))
            if now - since < self._retention:
                break
            changes.append(self._remove(name))
        return changes

    def differing_buckets(self, buckets: list[int]) -> list[int]:
        """Which buckets are others than these."""
        digests = [bucket & 0xFFFFFFFF for bucket in self.buckets]
        return [
            position
            for position, (ours, theirs) in enumerate(zip(digests, buckets, strict=True))
            if ours != theirs
        ]

    def bucket_records(self, bucket: int) -> list[Record]:
        """The records of a bucket, those that are gone as well."""
        return [self._records[name] for name in sorted(self._names[bucket])]

    def _toggle_digest(self, record: Record | None) -> None:
        if record is not None:
            contribution = record.digest
            self.digest ^= contribution
            self.buckets[bucket_of(record.name)] ^= contribution

    def _classify(self, now: datetime, record: Record) -> None:
        name = record.name
        self.present.discard(name)
        self.dead.discard(name)
        self._ended_at.pop(name, None)
        if name == self._me:
            return  # we neither probe nor forget ourselves
        if record.present:
            self.present.add(name)
            return
        if record.state is State.DEAD:
            self.dead.add(name)
        if name not in self.voter_names:
            self._ended_at[name] = now

    def _remove(self, name: str) -> Change:
        old = self._records.pop(name)
        self._toggle_digest(old)
        self._names[bucket_of(name)].discard(name)
        self.present.discard(name)
        self.dead.discard(name)
        self._ended_at.pop(name, None)
        self.version += 1
        return Change(old, None)

    def _evict_ended(self) -> bool:
        if not self._ended_at:
            return False
        self._remove(next(iter(self._ended_at)))
        return True
