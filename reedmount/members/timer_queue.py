"""Timers of a state machine without I/O: a heap whose owner asks for the next instant."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from datetime import datetime

Callback = Callable[[datetime], None]


class ScheduledTask:
    """A callback scheduled for an instant, unless it is cancelled before."""

    __slots__ = ("at", "cancelled", "order", "callback")

    def __init__(self, at: datetime, order: int, callback: Callback) -> None:
        self.at, self.order, self.callback, self.cancelled = at, order, callback, False

    def __lt__(self, other: ScheduledTask) -> bool:
        """Orders by instant, then by the order of scheduling."""
        return (self.at, self.order) < (other.at, other.order)

    def cancel(self) -> None:
        """Prevent the callback from running."""
        self.cancelled = True


class TimerQueue:
    """Scheduled tasks, run by ``run``; callbacks may schedule further ones."""

    def __init__(self) -> None:
        self._heap: list[ScheduledTask] = []
        self._order = 0

    def schedule(self, instant: datetime, callback: Callback) -> ScheduledTask:
        """Schedule a callback for an instant."""
        self._order += 1
        task = ScheduledTask(instant, self._order, callback)
        heapq.heappush(self._heap, task)
        return task

    @property
    def next_at(self) -> datetime | None:
        """The instant of the first task; None without tasks."""
        while self._heap and self._heap[0].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0].at if self._heap else None

    def run(self, now: datetime) -> None:
        """Run all tasks that are due."""
        while (at := self.next_at) is not None and at <= now:
            heapq.heappop(self._heap).callback(now)
