"""The dissemination queue: each record is sent a bounded number of times, the least often sent first."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar


class Named(Protocol):
    """An item of the queue; a newer one replaces an older one of the same name."""

    @property
    def name(self) -> str:
        """The name that identifies it."""


T = TypeVar("T", bound=Named)


class DisseminationQueue(Generic[T]):
    """Updates that are piggybacked on datagrams. A newer record replaces an older one of the same name.

    Records are kept in tiers by the number of transmissions, so that the cost of a datagram depends only on
    the records that it carries.
    """

    def __init__(self, times: int) -> None:
        self._times = times  # lambda: each is sent ``times * ceil(log10(n + 1))`` times
        self._tiers: list[dict[str, T]] = [{}]
        self._tier_of: dict[str, int] = {}

    def __len__(self) -> int:
        """The number of queued records."""
        return len(self._tier_of)

    def limit(self, members: int) -> int:
        """How often one member sends a record in a group of this size."""
        return self._times * math.ceil(math.log10(members + 1))

    def put(self, record: T) -> None:
        """Queue a record, replacing the one of the same name."""
        self.drop(record.name)
        self._tiers[0][record.name] = record
        self._tier_of[record.name] = 0

    def drop(self, name: str) -> None:
        """Remove the record of this name."""
        tier = self._tier_of.pop(name, None)
        if tier is not None:
            del self._tiers[tier][name]

    def pending(self) -> Iterator[T]:
        """The queued records in sending order."""
        for tier in self._tiers:
            yield from tier.values()

    def sent(self, records: list[T], members: int) -> None:
        """Count one more transmission of these; removes those that have reached the limit."""
        limit = self.limit(members)
        for record in records:
            tier = self._tier_of.get(record.name)
            if tier is None or self._tiers[tier].get(record.name) is not record:
                continue  # sent for another reason, or replaced since
            del self._tiers[tier][record.name]
            if tier + 1 >= limit:
                del self._tier_of[record.name]
                continue
            if tier + 1 == len(self._tiers):
                self._tiers.append({})
            self._tiers[tier + 1][record.name] = record
            self._tier_of[record.name] = tier + 1
