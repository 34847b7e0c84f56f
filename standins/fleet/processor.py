"""Model of a call server: a queue of work, a connection limit, and a cold start that fails under overload."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import simpy

from reedmount import interface as i
from standins.fleet.settings import Server

SetUpCallback = Callable[[i.Outcome | None, i.Cause], None]  # outcome None: established


@dataclass(slots=True, eq=False)
class Job:
    """A queued piece of work."""

    work_s: float
    on_done: Callable[[], None]
    dropped: bool = False
    begun: bool = False


@dataclass(slots=True)
class Tally:
    """Counters of one call server."""

    set_ups: int = 0
    retransmits: int = 0
    refused: int = 0
    no_line: int = 0
    established: int = 0
    spent_s: float = 0.0  # work done, in seconds of a warm server of size 1
    wasted_s: float = 0.0
    peak: int = 0  # connections
    turned_off: int = 0  # connections refused at the limit
    collapsed: bool = False


class Processor:
    """The processor of a call server with its connections and lines."""

    def __init__(
        self, env: simpy.Environment, name: str, number: int, zone: int, settings: Server, lines: int,
        speed: float = 1.0, started_s: float = 0.0,
    ) -> None:  # fmt: skip
        self.env, self.name, self.number, self.zone, self.settings = env, name, number, zone, settings
        self.speed, self.started_s, self.lines = speed, started_s, lines
        self.lines_in_use = 0
        self.tally = Tally()
        self.connections = 0
        self.down = self.failing = False
        self.cut: set[int] = set()  # zones that it is cut off from
        self._queue: deque[Job] = deque()
        self._backlog_s = 0.0
        self._working = False
        self._recent_set_ups: deque[float] = deque()  # set-ups of the last fall span, while cold

    @property
    def report(self) -> i.LoadReport:
        """The load report: free lines and all lines, without figures of the processor."""
        return i.LoadReport(free_lines=float(self.lines - self.lines_in_use), lines=float(self.lines))

    @property
    def capacity(self) -> float:
        """The current capacity; a warm server of size 1 has 1."""
        if self.started_s <= 0:
            return self.speed
        warmed = min(1.0, max(0.0, (self.env.now - self.started_s) / self.settings.cold_s))
        return self.speed * (self.settings.cold_start + (1 - self.settings.cold_start) * warmed)

    @property
    def cold(self) -> bool:
        """Whether it is within the cold period after its start."""
        return self.started_s > 0 and self.env.now - self.started_s < self.settings.cold_s

    @property
    def wait_s(self) -> float:
        """The waiting time of work that arrives now."""
        return self._backlog_s / self.capacity

    def connect(self) -> bool:
        """Accept a connection; False if the limit is reached."""
        if self.connections >= self.settings.connections:
            self.tally.turned_off += 1
            return False
        self.connections += 1
        self.tally.peak = max(self.tally.peak, self.connections)
        return True

    def disconnect(self, count: int) -> None:
        """Close a number of connections."""
        self.connections = max(0, self.connections - count)

    def set_up(self, done: SetUpCallback) -> SetUp:
        """Accept a set-up; ``done`` is called with the outcome when it leaves the processor."""
        self.tally.set_ups += 1
        if self.cold:
            self._recent_set_ups.append(self.env.now)
            while self._recent_set_ups and self._recent_set_ups[0] < self.env.now - self.settings.fall_span_s:
                self._recent_set_ups.popleft()
            budget = (
                self.settings.fall_multiple
                * self.capacity
                / self.settings.per_call_s
                * self.settings.fall_span_s
            )
            if len(self._recent_set_ups) > max(4.0, budget):
                self.tally.collapsed = self.down = True
                self._queue.clear()
        return SetUp(self, done)

    def enqueue(self, work_s: float, on_done: Callable[[], None]) -> Job:
        """Append a piece of work to the queue."""
        job = Job(work_s, on_done)
        self._queue.append(job)
        self._backlog_s += work_s
        if not self._working:
            self._start_next()
        return job

    def cancel(self, job: Job) -> None:
        """Cancel a piece of work that has not begun."""
        if not job.begun and not job.dropped:
            job.dropped = True
            self._backlog_s -= job.work_s

    def release(self) -> None:
        """End an established call."""
        self.lines_in_use -= 1
        if not self.down:
            self.enqueue(self.settings.set_up_s * self.settings.answer_share, lambda: None)

    def stop(self) -> None:
        """Stop the server; queued work is lost."""
        self.down = True
        self._queue.clear()
        self._backlog_s = 0.0

    def _start_next(self) -> None:
        while self._queue:
            job = self._queue.popleft()
            if job.dropped:
                continue
            job.begun = self._working = True
            self.tally.spent_s += job.work_s
            self._call_later(job.work_s / self.capacity, lambda job=job: self._finish(job))  # type: ignore[misc]
            return
        self._working = False

    def _finish(self, job: Job) -> None:
        self._backlog_s = max(0.0, self._backlog_s - job.work_s)
        if not self.down:
            job.on_done()
        self._start_next()

    def _call_later(self, delay_s: float, work: Callable[[], None]) -> None:
        self.env.timeout(delay_s).callbacks.append(lambda _: work())


class SetUp:
    """One set-up at a call server, with its retransmissions."""

    def __init__(self, server: Processor, done: SetUpCallback) -> None:
        self._server, self._done = server, done
        self._job: Job | None = None
        self.finished = False
        settings = server.settings
        if server.down:
            return
        full, no_line = server.wait_s > settings.max_wait_s, server.lines_in_use >= server.lines
        if full or no_line:
            server.tally.refused += full
            server.tally.no_line += not full
            server.tally.wasted_s += settings.set_up_s * settings.refusal_share
            cause = i.Cause.PROCESSOR_FULL if full else i.Cause.NO_LINE
            server.enqueue(
                settings.set_up_s * settings.refusal_share, lambda: self._end(i.Outcome.FULL, cause)
            )
            return
        server.lines_in_use += 1
        self._job = server.enqueue(settings.set_up_s, self._processed)
        self._schedule_retransmit(settings.resend_gap_s)

    def _schedule_retransmit(self, gap_s: float) -> None:
        """Schedule retransmissions at doubling gaps while the set-up waits; each costs work for nothing."""

        def retransmit() -> None:
            server, job = self._server, self._job
            if self.finished or server.down or job is None or job.begun or job.dropped:
                return
            work = server.settings.set_up_s * server.settings.retransmit_share
            server.tally.retransmits += 1
            server.tally.wasted_s += work
            server.enqueue(work, lambda: None)
            self._schedule_retransmit(2 * gap_s)

        self._server._call_later(gap_s, retransmit)

    def _processed(self) -> None:
        server = self._server
        if server.failing:
            server.tally.wasted_s += server.settings.set_up_s
            server.lines_in_use -= 1
            self._end(i.Outcome.FAILED, i.Cause.OTHER)
        else:
            self._job = server.enqueue(
                server.settings.set_up_s * server.settings.answer_share, lambda: self._end(None)
            )

    def _end(self, outcome: i.Outcome | None, cause: i.Cause = i.Cause.NONE) -> None:
        if not self.finished:
            self.finished = True
            self._server.tally.established += outcome is None
            self._done(outcome, cause)

    def give_up(self) -> None:
        """Cancel the set-up; work that has not begun is dropped."""
        if not self.finished:
            self.finished = True
            if self._job is not None:
                self._server.lines_in_use -= 1
                if self._job.begun:
                    self._server.tally.wasted_s += self._job.work_s
                self._server.cancel(self._job)
