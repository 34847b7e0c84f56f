"""The view: the greatest claim about each member, with digests, bounds and expiry."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta

from reedmount.members.record import BUCKETS, Record, State, bucket_of

MAX_RECORDS = 4096
MAX_INCARNATION_JUMP = 1 << 20  # over the known incarnation: a greater one would leave no room to refute it


@dataclass(frozen=True, slots=True)
class Change:
    """A change of one member's record; None means that it was not known, or was removed."""

    old: Record | None
    new: Record | None

    @property
    def name(self) -> str:
        """The member's name."""
        found = self.new or self.old
        return found.name if found is not None else ""


class NameSet:
    """A set of names with a random draw in constant time."""

    def __init__(self) -> None:
        self._list: list[str] = []
        self._positions: dict[str, int] = {}

    def __len__(self) -> int:
        """The number of names."""
        return len(self._list)

    def __contains__(self, name: object) -> bool:
        """Whether the set contains this name."""
        return name in self._positions

    def __iter__(self) -> Iterator[str]:
        """Iterates in arbitrary order."""
        return iter(self._list)

    def add(self, name: str) -> None:
        """Add a name."""
        if name not in self._positions:
            self._positions[name] = len(self._list)
            self._list.append(name)

    def discard(self, name: str) -> None:
        """Remove a name; the last one moves to its position."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        last = self._list.pop()
        if last != name:
            self._list[position], self._positions[last] = last, position

    def draw(self, rng: random.Random, count: int, exclude: str = "") -> list[str]:
        """Up to ``count`` distinct names other than ``exclude``, in random order."""
        drawn = rng.sample(self._list, min(len(self._list), count + 1))
        return [name for name in drawn if name != exclude][:count]


class View:
    """The known records of all members, including our own.

    ``version`` is local and rises with each change; ``digest`` is equal for equal views on any member.
    """

    def __init__(self, me: str, voter_names: frozenset[str], retention: timedelta) -> None:
        self._me = me
        self.voter_names = voter_names  # never expired
        self.version = 0
        self.digest = 0
        self.buckets = [0] * BUCKETS
        self.present = NameSet()  # alive or suspected
        self.dead = NameSet()  # declared dead, possibly because of a partition
        self._retention = retention
        self._records: dict[str, Record] = {}
        self._names: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._ended_at: dict[str, datetime] = {}  # when nonvoters became dead or left, the oldest first

    def __len__(self) -> int:
        """The number of records."""
        return len(self._records)

    def __iter__(self) -> Iterator[Record]:
        """Iterates over all records."""
        return iter(self._records.values())

    def get(self, name: str) -> Record | None:
        """The greatest claim about a member."""
        return self._records.get(name)

    def is_plausible(self, record: Record) -> bool:
        """Whether the incarnation is small enough for the member to refute the claim."""
        known = self._records.get(record.name)
        return record.incarnation <= (known.incarnation if known is not None else 0) + MAX_INCARNATION_JUMP

    def merge(self, now: datetime, record: Record) -> Change | None:
        """Merge one claim; returns the change, or None if it lost or the view is full."""
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
        """Remove records whose retention has ended; takes time only for those removed."""
        changes = []
        while self._ended_at:
            name, since = next(iter(self._ended_at.items()))
            if now - since < self._retention:
                break
            changes.append(self._remove(name))
        return changes

    def differing_buckets(self, buckets: list[int]) -> list[int]:
        """The indexes of the buckets whose digests differ from these."""
        digests = [bucket & 0xFFFFFFFF for bucket in self.buckets]
        return [
            position
            for position, (ours, theirs) in enumerate(zip(digests, buckets, strict=True))
            if ours != theirs
        ]

    def bucket_records(self, bucket: int) -> list[Record]:
        """All records of a bucket, including dead and left members."""
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
            return  # our own record is neither probed nor expired
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
