"""Scheduling: timers, callbacks that are ready, and actors, which are generators reading from a mailbox."""

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


def _no_operation() -> None:
    """The work of a cancelled timer."""


class Timer:
    """Work to be done at an instant unless it is cancelled first."""

    __slots__ = ("at", "cancelled", "order", "work")

    def __init__(self, at: datetime, order: int, work: Callable[[], None]) -> None:
        self.at, self.order, self.work, self.cancelled = at, order, work, False

    def __lt__(self, other: Timer) -> bool:
        """Order by instant, then by the order in which the timers were set."""
        return (self.at, self.order) < (other.at, other.order)

    def cancel(self) -> None:
        """Cancel the timer and drop the reference to its work."""
        self.cancelled, self.work = True, _no_operation


class Scheduler:
    """Timers and ready callbacks of a single-threaded event loop; the subclass waits for descriptors."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.stopped = False
        self._timers: list[Timer] = []
        self._ready: deque[Callable[[], None]] = deque()
        self.trace = Trace(clock, self.call_soon)
        self._last_order = 0
        self.retained: object = None  # keeps an object alive as long as the loop

    def call_soon(self, work: Callable[[], None]) -> None:
        """Run the callback in this turn of the loop, after those already queued."""
        self._ready.append(work)

    def call_at(self, instant: datetime, work: Callable[[], None]) -> Timer:
        """Run the callback at an instant."""
        self._last_order += 1
        timer = Timer(instant, self._last_order, work)
        heapq.heappush(self._timers, timer)
        return timer

    def call_later(self, delay: timedelta, work: Callable[[], None]) -> Timer:
        """Run the callback after a delay."""
        return self.call_at(self.clock.now() + delay, work)

    def _run_timers(self) -> bool:
        """Run all timers that are due; returns whether there were any."""
        busy = False
        now = self.clock.now()
        while self._timers and self._timers[0].at <= now:
            timer = heapq.heappop(self._timers)
            if not timer.cancelled:
                self.run_safely(timer.work)
                busy = True
        return busy

    @staticmethod
    def run_safely(work: Callable[..., None], *args: object) -> None:
        """Run a callback; an error is counted and logged, and raised in a debug build."""
        try:
            work(*args)
        except Exception:  # noqa: BLE001 - a fault may cost one call, but not the process
            if __debug__:
                raise
            COUNTERS.add("faults")
            log(traceback.format_exc(), "fault")


class Mailbox(Generic[T]):
    """A queue of items for an actor."""

    def __init__(self, loop: Scheduler) -> None:
        self._loop = loop
        self._items: deque[T] = deque()
        self._waiter: Callable[[T], None] | None = None

    def __len__(self) -> int:
        """The number of queued items."""
        return len(self._items)

    def post(self, item: T) -> None:
        """Queue an item; the actor processes it in this turn of the loop."""
        self._items.append(item)
        if len(self._items) == 1:
            self._loop.call_soon(self._wake)

    def take(self) -> Generator[Mailbox[Any], Any, T]:
        """Wait for the next item: ``item = yield from mailbox.take()``."""
        item: T = yield self
        return item

    def await_item(self, waiter: Callable[[T], None]) -> None:
        """Pass the next item to a callback."""
        self._waiter = waiter
        if self._items:
            self._loop.call_soon(self._wake)

    def close(self) -> None:
        """Drop the queued items and accept no reader any more."""
        self._waiter = None
        self._items.clear()

    def _wake(self) -> None:
        if self._items and self._waiter is not None:
            waiter, self._waiter = self._waiter, None
            waiter(self._items.popleft())


def _ignore(_: object) -> None:
    """The handler of a stopped actor: it ignores late items."""


Script = Generator[Mailbox[Any], Any, None]


class Actor(Generic[T]):
    """A mailbox and a generator that processes its items one by one."""

    def __init__(self, loop: Scheduler, handle: Callable[[T], None]) -> None:
        self._loop = loop
        self.mailbox: Mailbox[T] = Mailbox(loop)
        self._handle = handle
        self._script = self._process_items()
        self._step(None)

    def post(self, item: T) -> None:
        """Queue an item for this actor."""
        self.mailbox.post(item)

    @property
    def pending(self) -> bool:
        """Whether items are queued."""
        return bool(self.mailbox)

    def stop(self) -> None:
        """Stop the actor after the item that it is processing."""
        self._loop.call_soon(self._end)

    def _end(self) -> None:
        self.mailbox.close()
        self._script.close()
        self._handle = _ignore

    def _process_items(self) -> Script:
        while True:
            item = yield from self.mailbox.take()
            Scheduler.run_safely(self._handle, item)

    def _step(self, item: T | None) -> None:
        waiting = self._script.send(item)
        waiting.await_item(self._step)
