"""Deferred work: probes, gossip, sweeps, catching up. It never delays a call and is never starved.

A turn of the loop first handles descriptors, timers and mailboxes, and only then runs jobs: by urgency and
within a time budget, which is smaller if the turn had other work. Jobs past their maximum delay go first;
one slice runs in every turn, however busy. Long work is a generator that yields between slices.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Generator
from datetime import datetime, timedelta
from enum import IntEnum

from reedmount.core.actors import Scheduler, Timer
from reedmount.core.checks import COUNTERS, invariant

BUDGET = timedelta(milliseconds=2)  # in a turn with no other work
BUSY_BUDGET = timedelta(microseconds=300)  # in a turn that processed calls
MAX_JOBS = 4096  # waiting at once, of all kinds together

Slices = Generator[None, None, None]
Work = Callable[[], Slices | None]


class Urgency(IntEnum):
    """Order of jobs when there is not enough time for all."""

    PROBE = 0  # peers judge this instance by the time that it takes to answer
    UPDATE = 1
    SWEEP = 2
    CATCH_UP = 3


class Job:
    """A job that is waiting or in progress."""

    __slots__ = ("_end", "latest", "name", "over", "running", "slices", "urgency", "work")

    def __init__(
        self, name: str, urgency: Urgency, latest: datetime, work: Work, end: Callable[[], None]
    ) -> None:
        self.name, self.urgency, self.work = name, urgency, work
        self.latest = latest  # from this instant on it gets a slice in every turn
        self.slices: Slices | None = None
        self.over = self.running = False
        self._end = end

    def cancel(self) -> None:
        """Cancel the job before or between its slices; no effect if it has ended."""
        if not self.over:
            self.over = True  # both heaps drop it when it reaches their top
            self._end()
            if self.slices is not None and not self.running:
                self.slices.close()


class Repeated:
    """Work repeated at a fixed interval after each end."""

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
        """Cancel the current round and all further ones."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._job is not None:
            self._job.cancel()

    def _wait(self) -> None:
        self._timer = self._background.loop.call_later(self.span, self._due)

    def _due(self) -> None:
        self._job = self._background.add(self._name, self._run_once, self._urgency, self.span)
        if self._job is None:
            self._wait()

    def _run_once(self) -> Slices:
        try:
            slices = self._work()
            if slices is not None:
                yield from slices
        finally:  # a fault costs one round, not the following ones
            if not self._stopped:
                self._wait()


class Background:
    """The waiting jobs of one loop. A job that has ended, failed or been cancelled is dropped."""

    def __init__(self, loop: Scheduler) -> None:
        self.loop = loop
        self._heap: list[tuple[Urgency, int, Job]] = []
        self._overdue: list[tuple[datetime, int, Job]] = []  # the same jobs, by their latest instant
        self._last_order = 0
        self._count = 0

    @property
    def waiting(self) -> bool:
        """Whether any job is waiting."""
        return self._count > 0

    def add(self, name: str, work: Work, urgency: Urgency, max_delay: timedelta) -> Job | None:
        """Add a job to run when there is time, or after ``max_delay`` at the latest.

        ``name`` is the part of the counters' names that tells jobs apart (``background.NAME.*``). Returns
        None and counts it if too many jobs are waiting; the caller must do without.
        """
        if self._count >= MAX_JOBS:
            COUNTERS.add("background.no_room")
            return None
        now = self.loop.clock.now()
        job = Job(name, urgency, now + max_delay, work, self._job_ended)
        self._count += 1
        self._last_order += 1
        heapq.heappush(self._heap, (job.urgency, self._last_order, job))
        heapq.heappush(self._overdue, (job.latest, self._last_order, job))
        return job

    def every(self, name: str, span: timedelta, work: Work, urgency: Urgency) -> Repeated:
        """Repeat work, each time ``span`` after the previous round ended."""
        return Repeated(self, name, span, work, urgency)

    def run(self, busy: bool) -> bool:
        """Run the jobs that fit into this turn; returns whether there were any."""
        if not self._count:
            return False
        clock = self.loop.clock
        began = clock.now()
        end = began + (BUSY_BUDGET if busy else BUDGET)
        ran_any = False
        while (job := self._next(began)) is not None:
            before = clock.now()
            if job.slices is None and before > job.latest:
                COUNTERS.add(f"background.{job.name}.late")
            self._slice(job)
            ran_any = True
            now = clock.now()
            COUNTERS.add(f"background.{job.name}.us", (now - before) // timedelta(microseconds=1))
            if now - before > BUDGET:
                COUNTERS.add(f"background.{job.name}.long_slices")
            if now >= end:
                break
        return ran_any

    def _next(self, now: datetime) -> Job | None:
        """The longest waiting job past its latest instant, else the most urgent one."""
        while self._overdue and self._overdue[0][2].over:
            heapq.heappop(self._overdue)
        while self._heap and self._heap[0][2].over:
            heapq.heappop(self._heap)
        if self._overdue and self._overdue[0][0] <= now:
            return self._overdue[0][2]
        return self._heap[0][2] if self._heap else None

    def _slice(self, job: Job) -> None:
        """Run the next slice of a job; an error ends the job and is reported like any other."""
        unfinished = False

        def step() -> None:
            nonlocal unfinished
            if job.slices is None:
                COUNTERS.add(f"background.{job.name}.runs")
                job.slices = job.work()
            if job.slices is not None:
                unfinished = next(job.slices, self) is None

        job.running = True
        try:
            self.loop.run_safely(step)
        finally:
            job.running = False
            if not unfinished:
                job.cancel()

    def _job_ended(self) -> None:
        self._count -= 1
        invariant(self._count >= 0, "background_jobs_counted")
