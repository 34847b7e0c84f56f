"""Background jobs: their order, their time budget in a turn, and that none is starved."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta

import pytest

from reedmount.core.background import BUDGET, MAX_JOBS, Background, Slices, Urgency
from reedmount.core.checks import COUNTERS
from reedmount.net.loop import Loop
from tests.scenario import VirtualTime

MS = timedelta(milliseconds=1)
LATER = timedelta(seconds=60)


@pytest.fixture
def time() -> VirtualTime:
    return VirtualTime()


@pytest.fixture
def loop(time: VirtualTime) -> Iterator[Loop]:
    new_loop = Loop(time.clock)
    yield new_loop
    new_loop.close()


def job_slices(time: VirtualTime, ran: list[str], name: str, slices: int, each_ms: float = 1.0) -> Slices:
    for _ in range(slices):
        time.seconds += each_ms / 1000
        ran.append(name)
        yield


def test_the_most_urgent_job_goes_first_within_the_budget_of_a_turn(time: VirtualTime, loop: Loop) -> None:
    ran: list[str] = []
    for name, urgency in (("sweep", Urgency.SWEEP), ("probe", Urgency.PROBE), ("news", Urgency.UPDATE)):
        loop.background.add(name, lambda name=name: job_slices(time, ran, name, 2), urgency, LATER)  # type: ignore[misc]
    turns = []
    while loop.background.waiting:
        before = time.seconds
        loop.turn(timedelta(0))
        turns.append(time.seconds - before)
    assert ran == ["probe", "probe", "news", "news", "sweep", "sweep"]
    assert max(turns) <= BUDGET.total_seconds() + 0.001, "the budget plus one slice"


def test_a_turn_with_calls_runs_one_slice_after_them(time: VirtualTime, loop: Loop) -> None:
    ran: list[str] = []
    loop.background.add("sweep", lambda: job_slices(time, ran, "sweep", 8), Urgency.SWEEP, LATER)
    for _ in range(4):
        loop.call_soon(lambda: ran.append("call"))
        loop.turn(timedelta(0))
    assert ran == ["call", "sweep"] * 4


def test_a_job_past_its_maximum_delay_goes_before_urgent_ones(time: VirtualTime, loop: Loop) -> None:
    ran: list[str] = []
    late = COUNTERS["background.sweep.late"]
    loop.background.add("sweep", lambda: job_slices(time, ran, "sweep", 1), Urgency.SWEEP, 10 * MS)
    time.seconds += 0.02
    loop.background.add("probe", lambda: job_slices(time, ran, "probe", 1), Urgency.PROBE, LATER)
    while loop.background.waiting:
        loop.turn(timedelta(0))
    assert ran == ["sweep", "probe"]
    assert COUNTERS["background.sweep.late"] == late + 1


def test_a_fault_ends_only_its_own_job_and_a_cancelled_one_is_dropped(time: VirtualTime, loop: Loop) -> None:
    ran: list[str] = []

    def bad() -> Slices:
        yield
        raise RuntimeError("bad")

    loop.background.add("bad", bad, Urgency.PROBE, LATER)
    cancelled = loop.background.add("gone", lambda: job_slices(time, ran, "gone", 1), Urgency.UPDATE, LATER)
    loop.background.add("good", lambda: job_slices(time, ran, "good", 1), Urgency.SWEEP, LATER)
    assert cancelled is not None
    cancelled.cancel()
    cancelled.cancel()
    with pytest.raises(RuntimeError):  # raised in a debug build only
        loop.background.run(False)
    while loop.background.waiting:
        loop.background.run(False)
    assert ran == ["good"] and not loop.background.waiting


def test_repeated_work_runs_after_each_span_until_stopped(time: VirtualTime, loop: Loop) -> None:
    at: list[float] = []

    def work() -> Slices:
        yield
        at.append(round(time.seconds, 3))

    again = loop.background.every("again", 100 * MS, work, Urgency.SWEEP)
    for _ in range(320):
        time.seconds += 0.001
        loop.turn(timedelta(0))
    assert len(at) == 3 and at[0] == pytest.approx(0.1, abs=0.005)
    again.stop()
    time.seconds += 1
    for _ in range(5):
        loop.turn(timedelta(0))
    assert len(at) == 3 and not loop.background.waiting


def test_repeated_work_continues_after_a_fault_and_after_a_full_queue(time: VirtualTime, loop: Loop) -> None:
    begun: list[float] = []

    def work() -> Slices:
        begun.append(time.seconds)
        if len(begun) == 1:
            raise RuntimeError("bad")
        yield

    loop.background.every("again", 100 * MS, work, Urgency.SWEEP)
    time.seconds += 0.11
    with pytest.raises(RuntimeError):  # raised in a debug build only; a release build goes on
        loop.turn(timedelta(0))
    filled = [loop.background.add("many", lambda: None, Urgency.SWEEP, LATER) for _ in range(MAX_JOBS)]
    time.seconds += 0.11
    loop._run_timers()  # due while there is no room
    for job in filled:
        assert job is not None
        job.cancel()
    time.seconds += 0.11
    loop.turn(timedelta(0))
    assert len(begun) == 2


def test_jobs_over_the_limit_are_refused(loop: Loop) -> None:
    background: Background = loop.background
    jobs = [background.add("many", lambda: None, Urgency.SWEEP, LATER) for _ in range(MAX_JOBS + 1)]
    assert jobs[-1] is None and jobs[-2] is not None
    while background.waiting:
        background.run(False)
    assert background.add("one", lambda: None, Urgency.SWEEP, LATER) is not None
