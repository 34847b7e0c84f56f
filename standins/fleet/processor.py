"""A call server: one line of work, a bound on connections, a cold start that can be pushed over."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import simpy

from reedmount import interface as i
from standins.fleet.settings import Server

Done = Callable[[i.Outcome | None, i.Cause], None]  # None: it stands


@dataclass(slots=True, eq=False)
class Job:
    """A piece of work in the line."""

    work_s: float
    then: Callable[[], None]
    dropped: bool = False
    begun: bool = False


@dataclass(slots=True)
class Tally:
    """What one call server saw."""

    set_ups: int = 0
    repeats: int = 0
    refused: int = 0
    no_line: int = 0
    stood: int = 0
    spent_s: float = 0.0  # of work, warm
    wasted_s: float = 0.0
    peak: int = 0  # connections
    turned_off: int = 0  # connections that were refused
    fell: bool = False


class Processor:
    """The processor of a call server, and its door."""

    def __init__(
        self, env: simpy.Environment, name: str, number: int, zone: int, kind: Server, lines: int,
        speed: float = 1.0, started_s: float = 0.0,
    ) -> None:  # fmt: skip
        self.env, self.name, self.number, self.zone, self.kind = env, name, number, zone, kind
        self.speed, self.started_s, self.lines = speed, started_s, lines
        self.in_use = 0  # lines
        self.tally = Tally()
        self.connections = 0
        self.down = self.failing = False
        self.cut: set[int] = set()  # zones that it is cut off from
        self._line: deque[Job] = deque()
        self._backlog_s = 0.0
        self._working = False
        self._arrived: deque[float] = deque()  # set-ups of the last fall span, while cold

    @property
    def report(self) -> i.LoadReport:
        """What it tells of itself: its free lines and how many it has, and nothing of its processor."""
        return i.LoadReport(free_lines=float(self.lines - self.in_use), lines=float(self.lines))

    @property
    def power(self) -> float:
        """What it can do now, of the work that a warm one of size 1 does in a second."""
        if self.started_s <= 0:
            return self.speed
        warmed = min(1.0, max(0.0, (self.env.now - self.started_s) / self.kind.cold_s))
        return self.speed * (self.kind.cold_start + (1 - self.kind.cold_start) * warmed)

    @property
    def cold(self) -> bool:
        """Whether it started a short time ago."""
        return self.started_s > 0 and self.env.now - self.started_s < self.kind.cold_s

    @property
    def wait_s(self) -> float:
        """How long what comes now waits."""
        return self._backlog_s / self.power

    def connect(self) -> bool:
        """Hold one connection more; False where there is no room."""
        if self.connections >= self.kind.connections:
            self.tally.turned_off += 1
            return False
        self.connections += 1
        self.tally.peak = max(self.tally.peak, self.connections)
        return True

    def leave(self, count: int) -> None:
        """So many connections are gone."""
        self.connections = max(0, self.connections - count)

    def set_up(self, done: Done) -> SetUp:
        """Take a set-up; ``done`` hears what came of it, at the instant at which it leaves the processor."""
        self.tally.set_ups += 1
        if self.cold:
            self._arrived.append(self.env.now)
            while self._arrived and self._arrived[0] < self.env.now - self.kind.fall_span_s:
                self._arrived.popleft()
            budget = self.kind.fall_multiple * self.power / self.kind.per_call_s * self.kind.fall_span_s
            if len(self._arrived) > max(4.0, budget):
                self.tally.fell = self.down = True
                self._line.clear()
        return SetUp(self, done)

    def put(self, work_s: float, then: Callable[[], None]) -> Job:
        """A piece of work at the end of the line."""
        job = Job(work_s, then)
        self._line.append(job)
        self._backlog_s += work_s
        if not self._working:
            self._next()
        return job

    def drop(self, job: Job) -> None:
        """Work that nobody wants any more, where it has not begun."""
        if not job.begun and not job.dropped:
            job.dropped = True
            self._backlog_s -= job.work_s

    def release(self) -> None:
        """A call that stood is over."""
        self.in_use -= 1
        if not self.down:
            self.put(self.kind.set_up_s * self.kind.answer, lambda: None)

    def stop(self) -> None:
        """Its process is gone, with all that waited."""
        self.down = True
        self._line.clear()
        self._backlog_s = 0.0

    def _next(self) -> None:
        while self._line:
            job = self._line.popleft()
            if job.dropped:
                continue
            job.begun = self._working = True
            self.tally.spent_s += job.work_s
            self._after(job.work_s / self.power, lambda job=job: self._finish(job))  # type: ignore[misc]
            return
        self._working = False

    def _finish(self, job: Job) -> None:
        self._backlog_s = max(0.0, self._backlog_s - job.work_s)
        if not self.down:
            job.then()
        self._next()

    def _after(self, span_s: float, work: Callable[[], None]) -> None:
        self.env.timeout(span_s).callbacks.append(lambda _: work())


class SetUp:
    """One set-up at a call server, with its repeats."""

    def __init__(self, server: Processor, done: Done) -> None:
        self._server, self._done = server, done
        self._job: Job | None = None
        self.over = False
        kind = server.kind
        if server.down:
            return
        full, no_line = server.wait_s > kind.full_s, server.in_use >= server.lines
        if full or no_line:
            server.tally.refused += full
            server.tally.no_line += not full
            server.tally.wasted_s += kind.set_up_s * kind.refusal
            cause = i.Cause.PROCESSOR_FULL if full else i.Cause.NO_LINE
            server.put(kind.set_up_s * kind.refusal, lambda: self._end(i.Outcome.FULL, cause))
            return
        server.in_use += 1
        self._job = server.put(kind.set_up_s, self._worked)
        self._repeat(kind.resend_gap_s)

    def _repeat(self, gap_s: float) -> None:
        """It is sent again while it waits, at doubling gaps; each is work and comes to nothing."""

        def again() -> None:
            server, job = self._server, self._job
            if self.over or server.down or job is None or job.begun or job.dropped:
                return
            work = server.kind.set_up_s * server.kind.repeat
            server.tally.repeats += 1
            server.tally.wasted_s += work
            server.put(work, lambda: None)
            self._repeat(2 * gap_s)

        self._server._after(gap_s, again)

    def _worked(self) -> None:
        server = self._server
        if server.failing:
            server.tally.wasted_s += server.kind.set_up_s
            server.in_use -= 1
            self._end(i.Outcome.FAILED, i.Cause.OTHER)
        else:
            self._job = server.put(server.kind.set_up_s * server.kind.answer, lambda: self._end(None))

    def _end(self, outcome: i.Outcome | None, cause: i.Cause = i.Cause.NONE) -> None:
        if not self.over:
            self.over = True
            self._server.tally.stood += outcome is None
            self._done(outcome, cause)

    def give_up(self) -> None:
        """Its sender waits no more: what has not begun is dropped."""
        if not self.over:
            self.over = True
            if self._job is not None:
                self._server.in_use -= 1
                if self._job.begun:
                    self._server.tally.wasted_s += self._job.work_s
                self._server.drop(self._job)
