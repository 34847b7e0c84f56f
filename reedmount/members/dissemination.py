"""What is still to be passed on: each record a bounded number of times, those sent least often first."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar


class Named(Protocol):
    """What can be passed on: a newer one of a name takes the older one's place."""

    @property
    def name(self) -> str:
        """Whose it is."""


T = TypeVar("T", bound=Named)


class DisseminationQueue(Generic[T]):
    """The queue of updates that ride on datagrams. A newer record of a name takes the older one's place.

    Kept in tiers by how often each was sent, so that a datagram costs what it carries.
    """

    def __init__(self, times: int) -> None:
        self._times = times  # lambda: each is sent ``times * ceil(log10(n + 1))`` times
        self._tiers: list[dict[str, T]] = [{}]
        self._tier_of: dict[str, int] = {}

    def __len__(self) -> int:
        """How many records wait."""
        return len(self._tier_of)

    def limit(self, members: int) -> int:
        """How often one member sends a record in a group of so many."""
        return self._times * math.ceil(math.log10(members + 1))

    def put(self, record: T) -> None:
        """Pass this on, in place of what was passed on of that member."""
        self.drop(record.name)
        self._tiers[0][record.name] = record
        self._tier_of[record.name] = 0

    def drop(self, name: str) -> None:
        """Say nothing more of this member."""
        tier = self._tier_of.pop(name, None)
        if tier is not None:
            del self._tiers[tier][name]

    def pending(self) -> Iterator[T]:
        """In the order in which they should go."""
        for tier in self._tiers:
            yield from tier.values()

    def sent(self, records: list[T], members: int) -> None:
        """These have gone out once more; what went out often enough is dropped."""
        limit = self.limit(members)
        for record in records:
            tier = self._tier_of.get(record.name)
            if tier is None or self._tiers[tier].get(record.name) is not record:
                continue  # one that was sent for another reason
            del self._tiers[tier][record.name]
            if tier + 1 >= limit:
                del self._tier_of[record.name]
                continue
            if tier + 1 == len(self._tiers):
                self._tiers.append({})
            self._tiers[tier + 1][record.name] = record
            self._tier_of[record.name] = tier + 1
