"""What is due when, inside a state machine without I/O: a heap that its owner asks for the next instant."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from datetime import datetime

Callback = Callable[[datetime], None]


class ScheduledTask:
    """One piece of work at an instant, unless it is cancelled before."""

    __slots__ = ("at", "cancelled", "order", "callback")

    def __init__(self, at: datetime, order: int, callback: Callback) -> None:
        self.at, self.order, self.callback, self.cancelled = at, order, callback, False

    def __lt__(self, other: ScheduledTask) -> bool:
        """The earlier first; of one instant, the one set first."""
        return (self.at, self.order) < (other.at, other.order)

    def cancel(self) -> None:
        """Don't do it."""
        self.cancelled = True


class TimerQueue:
    """All that is due. Work that is due sets new work; ``run`` does what has come by then."""

    def __init__(self) -> None:
        self._heap: list[ScheduledTask] = []
        self._order = 0

    def schedule(self, instant: datetime, callback: Callback) -> ScheduledTask:
        """Do it then."""
        self._order += 1
        task = ScheduledTask(instant, self._order, callback)
        heapq.heappush(self._heap, task)
        return task

    @property
    def next_at(self) -> datetime | None:
        """When the first is due; None where there is none."""
        while self._heap and self._heap[0].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0].at if self._heap else None

    def run(self, now: datetime) -> None:
        """Do what is due."""
        while (at := self.next_at) is not None and at <= now:
            heapq.heappop(self._heap).callback(now)
