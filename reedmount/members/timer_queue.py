"""What is due when, inside a state machine without I/O: a heap that its owner asks for the next instant."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from datetime import datetime

Work = Callable[[datetime], None]


class Due:
    """One piece of work at an instant, unless it is cancelled before."""

    __slots__ = ("at", "cancelled", "order", "work")

    def __init__(self, at: datetime, order: int, work: Work) -> None:
        self.at, self.order, self.work, self.cancelled = at, order, work, False

    def __lt__(self, other: Due) -> bool:
        """The earlier first; of one instant, the one set first."""
        return (self.at, self.order) < (other.at, other.order)

    def cancel(self) -> None:
        """Don't do it."""
        self.cancelled = True


class Dues:
    """All that is due. Work that is due sets new work; ``run`` does what has come by then."""

    def __init__(self) -> None:
        self._heap: list[Due] = []
        self._order = 0

    def at(self, instant: datetime, work: Work) -> Due:
        """Do it then."""
        self._order += 1
        due = Due(instant, self._order, work)
        heapq.heappush(self._heap, due)
        return due

    @property
    def next_at(self) -> datetime | None:
        """When the first is due; None where there is none."""
        while self._heap and self._heap[0].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0].at if self._heap else None

    def run(self, now: datetime) -> None:
        """Do what is due."""
        while (at := self.next_at) is not None and at <= now:
            heapq.heappop(self._heap).work(now)
