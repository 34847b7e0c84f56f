"""Work that may wait: probes, gossip, sweeps, catching up. It never delays a call, and is never forgotten.

A turn of the loop does what descriptors, timers and mailboxes bring, and only then what is here: by urgency,
within a budget that is smaller in a turn in which there was other work. What has waited for longer than it
may goes first; one slice is done in every turn, however busy. Long work is a generator: it yields between
slices.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Generator
from datetime import datetime, timedelta
from enum import IntEnum

from reedmount.core.actors import Scheduler, Timer
from reedmount.core.checks import COUNTERS, invariant

BUDGET = timedelta(milliseconds=2)  # a turn with nothing else to do
BUSY_BUDGET = timedelta(microseconds=300)  # a turn in which calls had something to do
MAX_JOBS = 4096  # that wait at once, all kinds together

Slices = Generator[None, None, None]
Work = Callable[[], Slices | None]


class Urgency(IntEnum):
    """What goes first where there is not time for all."""

    PROBE = 0  # others judge us by how soon we answer
    UPDATE = 1
    SWEEP = 2
    CATCH_UP = 3


class Job:
    """One piece of work that waits or is under way."""

    __slots__ = ("_end", "latest", "name", "over", "running", "slices", "urgency", "work")

    def __init__(
        self, name: str, urgency: Urgency, latest: datetime, work: Work, end: Callable[[], None]
    ) -> None:
        self.name, self.urgency, self.work = name, urgency, work
        self.latest = latest  # from then on it gets a slice in every turn
        self.slices: Slices | None = None
        self.over = self.running = False
        self._end = end

    def cancel(self) -> None:
        """Don't begin it, or don't go on with it; what is over stays so."""
        if not self.over:
            self.over = True  # both heaps let it go where it comes up
            self._end()
            if self.slices is not None and not self.running:
                self.slices.close()


class Repeated:
    """Work that is done again and again, each time so long after it was finished."""

    def __init__(
        self, background: Background, name: str, span: timedelta, work: Work, urgency: Urgency
    ) -> None:
        self._background, self._name, self._urgency = background, name, urgency
        self.span, self._work = span, work
        self._job: Job | None = None
        self._timer: Timer | None = None
        self._stopped = False
        self._wait()

    def stop(self) -> None:
        """Not again."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._job is not None:
            self._job.cancel()

    def _wait(self) -> None:
        self._timer = self._background.loop.call_later(self.span, self._due)

    def _due(self) -> None:
        self._job = self._background.add(self._name, self._whole, self._urgency, self.span)
        if self._job is None:
            self._wait()

    def _whole(self) -> Slices:
        try:
            slices = self._work()
            if slices is not None:
                yield from slices
        finally:  # a fault costs one round, not all that were to come
            if not self._stopped:
                self._wait()


class Background:
    """The jobs of one loop. It owns those that wait; one that is over, cancelled or failed is let go of."""

    def __init__(self, loop: Scheduler) -> None:
        self.loop = loop
        self._heap: list[tuple[Urgency, int, Job]] = []
        self._overdue: list[tuple[datetime, int, Job]] = []  # the same jobs, by their latest instant
        self._order = 0
        self._count = 0

    @property
    def waiting(self) -> bool:
        """Whether there is something to do."""
        return self._count > 0

    def add(self, name: str, work: Work, urgency: Urgency, max_delay: timedelta) -> Job | None:
        """Do it when there is time, and after ``max_delay`` whether there is or not.

        ``name`` is what it is counted by (``background.NAME.*``). None where too much waits already: the
        caller does without, and it is counted.
        """
        if self._count >= MAX_JOBS:
            COUNTERS.add("background.no_room")
            return None
        now = self.loop.clock.now()
        job = Job(name, urgency, now + max_delay, work, self._let_go)
        self._count += 1
        self._order += 1
        heapq.heappush(self._heap, (job.urgency, self._order, job))
        heapq.heappush(self._overdue, (job.latest, self._order, job))
        return job

    def every(self, name: str, span: timedelta, work: Work, urgency: Urgency) -> Repeated:
        """Do it again and again, ``span`` after each end."""
        return Repeated(self, name, span, work, urgency)

    def run(self, busy: bool) -> bool:
        """Do what fits into this turn; whether there was anything."""
        if not self._count:
            return False
        clock = self.loop.clock
        began = clock.now()
        end = began + (BUSY_BUDGET if busy else BUDGET)
        did = False
        while (job := self._next(began)) is not None:
            before = clock.now()
            if job.slices is None and before > job.latest:
                COUNTERS.add(f"background.{job.name}.late")
            self._slice(job)
            did = True
            now = clock.now()
            COUNTERS.add(f"background.{job.name}.us", (now - before) // timedelta(microseconds=1))
            if now - before > BUDGET:
                COUNTERS.add(f"background.{job.name}.long_slices")
            if now >= end:
                break
        return did

    def _next(self, now: datetime) -> Job | None:
        """One that has waited too long, the oldest first; else the most urgent one."""
        while self._overdue and self._overdue[0][2].over:
            heapq.heappop(self._overdue)
        while self._heap and self._heap[0][2].over:
            heapq.heappop(self._heap)
        if self._overdue and self._overdue[0][0] <= now:
            return self._overdue[0][2]
        return self._heap[0][2] if self._heap else None

    def _slice(self, job: Job) -> None:
        """Begin it, or go on with it by one slice; a fault ends it, and is told as any other."""
        goes_on = False

        def step() -> None:
            nonlocal goes_on
            if job.slices is None:
                COUNTERS.add(f"background.{job.name}.runs")
                job.slices = job.work()
            if job.slices is not None:
                goes_on = next(job.slices, self) is None

        job.running = True
        try:
            self.loop.run_safely(step)
        finally:
            job.running = False
            if not goes_on:
                job.cancel()

    def _let_go(self) -> None:
        self._count -= 1
        invariant(self._count >= 0, "background_jobs_counted")
