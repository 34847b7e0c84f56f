"""What schedules work: timers, work that is ready, and actors, generators that wait for their mailbox."""

from __future__ import annotations

import heapq
import traceback
from collections import deque
from collections.abc import Callable, Generator
from datetime import datetime, timedelta
from typing import Any, Generic, TypeVar

from reedmount.core.checks import COUNTERS, log
from reedmount.core.clock import Clock
from reedmount.core.trace import Trace

T = TypeVar("T")


def _nothing() -> None:
    """What a timer does that was cancelled."""


class Timer:
    """Something to be done at an instant, unless it is cancelled before."""

    __slots__ = ("at", "cancelled", "order", "work")

    def __init__(self, at: datetime, order: int, work: Callable[[], None]) -> None:
        self.at, self.order, self.work, self.cancelled = at, order, work, False

    def __lt__(self, other: Timer) -> bool:
        """The earlier first; of one instant, the one set first."""
        return (self.at, self.order) < (other.at, other.order)

    def cancel(self) -> None:
        """Don't do it, and let go of what it would have been done with."""
        self.cancelled, self.work = True, _nothing


class Scheduler:
    """One process, one thread: timers and work that is ready. Whoever waits for descriptors turns it."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.stopped = False
        self._timers: list[Timer] = []
        self._ready: deque[Callable[[], None]] = deque()
        self.trace = Trace(clock, self.call_soon)
        self._order = 0
        self.retained: object = None  # what must live as long as the loop

    def call_soon(self, work: Callable[[], None]) -> None:
        """Do it in this turn, after what is ready already."""
        self._ready.append(work)

    def call_at(self, instant: datetime, work: Callable[[], None]) -> Timer:
        """Do it at an instant."""
        self._order += 1
        timer = Timer(instant, self._order, work)
        heapq.heappush(self._timers, timer)
        return timer

    def call_later(self, span: timedelta, work: Callable[[], None]) -> Timer:
        """Do it after a span."""
        return self.call_at(self.clock.now() + span, work)

    def _run_timers(self) -> bool:
        """Do what is due; whether there was anything."""
        busy = False
        now = self.clock.now()
        while self._timers and self._timers[0].at <= now:
            timer = heapq.heappop(self._timers)
            if not timer.cancelled:
                self.run_safely(timer.work)
                busy = True
        return busy

    @staticmethod
    def run_safely(work: Callable[..., None], *on: object) -> None:
        """An error in one piece of work is counted and told; a debug build stops there."""
        try:
            work(*on)
        except Exception:  # noqa: BLE001 - a fault must cost one call, not the node
            if __debug__:
                raise
            COUNTERS.add("faults")
            log(traceback.format_exc(), "fault")


class Mailbox(Generic[T]):
    """What an actor has been sent and has not looked at yet."""

    def __init__(self, loop: Scheduler) -> None:
        self._loop = loop
        self._items: deque[T] = deque()
        self._waiter: Callable[[T], None] | None = None

    def __len__(self) -> int:
        """How many items wait."""
        return len(self._items)

    def post(self, item: T) -> None:
        """Send the actor something; it looks at it in this turn of the loop."""
        self._items.append(item)
        if len(self._items) == 1:
            self._loop.call_soon(self._wake)

    def take(self) -> Generator[Mailbox[Any], Any, T]:
        """Wait for the next item: ``item = yield from mailbox.take()``."""
        item: T = yield self
        return item

    def await_item(self, waiter: Callable[[T], None]) -> None:
        """Have the next item handed over."""
        self._waiter = waiter
        if self._items:
            self._loop.call_soon(self._wake)

    def close(self) -> None:
        """Nobody looks at it any more."""
        self._waiter = None
        self._items.clear()

    def _wake(self) -> None:
        if self._items and self._waiter is not None:
            waiter, self._waiter = self._waiter, None
            waiter(self._items.popleft())


def _passed_over(_: object) -> None:
    """What becomes of an item that comes after the end."""


Script = Generator[Mailbox[Any], Any, None]


class Actor(Generic[T]):
    """A mailbox and a generator that lives on what comes into it."""

    def __init__(self, loop: Scheduler, handle: Callable[[T], None]) -> None:
        self._loop = loop
        self.mailbox: Mailbox[T] = Mailbox(loop)
        self._handle = handle
        self._script = self._live()
        self._step(None)

    def post(self, item: T) -> None:
        """Send it something."""
        self.mailbox.post(item)

    @property
    def pending(self) -> bool:
        """Whether there is something it has not looked at yet."""
        return bool(self.mailbox)

    def stop(self) -> None:
        """It has nothing more to do; what it is amid it finishes."""
        self._loop.call_soon(self._end)

    def _end(self) -> None:
        self.mailbox.close()
        self._script.close()
        self._handle = _passed_over

    def _live(self) -> Script:
        while True:
            item = yield from self.mailbox.take()
            Scheduler.run_safely(self._handle, item)

    def _step(self, item: T | None) -> None:
        waiting = self._script.send(item)
        waiting.await_item(self._step)
