"""Work that may wait: what goes first, how much of a turn it gets, and that it is never forgotten."""

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
    made = Loop(time.clock)
    yield made
    made.close()


def long(time: VirtualTime, done: list[str], name: str, slices: int, each_ms: float = 1.0) -> Slices:
    for _ in range(slices):
        time.seconds += each_ms / 1000
        done.append(name)
        yield


def test_the_most_urgent_goes_first_within_the_budget_of_a_turn(time: VirtualTime, loop: Loop) -> None:
    done: list[str] = []
    for name, urgency in (("sweep", Urgency.SWEEP), ("probe", Urgency.PROBE), ("news", Urgency.UPDATE)):
        loop.background.add(name, lambda name=name: long(time, done, name, 2), urgency, LATER)  # type: ignore[misc]
    turns = []
    while loop.background.waiting:
        before = time.seconds
        loop.turn(timedelta(0))
        turns.append(time.seconds - before)
    assert done == ["probe", "probe", "news", "news", "sweep", "sweep"]
    assert max(turns) <= BUDGET.total_seconds() + 0.001, "a budget, and the slice that is under way"


def test_in_a_turn_with_calls_it_gets_one_slice_and_calls_go_first(time: VirtualTime, loop: Loop) -> None:
    done: list[str] = []
    loop.background.add("sweep", lambda: long(time, done, "sweep", 8), Urgency.SWEEP, LATER)
    for _ in range(4):
        loop.call_soon(lambda: done.append("call"))
        loop.turn(timedelta(0))
    assert done == ["call", "sweep"] * 4


def test_what_has_waited_too_long_goes_before_what_is_urgent(time: VirtualTime, loop: Loop) -> None:
    done: list[str] = []
    late = COUNTERS["background.sweep.late"]
    loop.background.add("sweep", lambda: long(time, done, "sweep", 1), Urgency.SWEEP, 10 * MS)
    time.seconds += 0.02
    loop.background.add("probe", lambda: long(time, done, "probe", 1), Urgency.PROBE, LATER)
    while loop.background.waiting:
        loop.turn(timedelta(0))
    assert done == ["sweep", "probe"]
    assert COUNTERS["background.sweep.late"] == late + 1


def test_a_fault_ends_its_own_job_and_a_cancelled_one_is_let_go(time: VirtualTime, loop: Loop) -> None:
    done: list[str] = []

    def bad() -> Slices:
        yield
        raise RuntimeError("bad")

    loop.background.add("bad", bad, Urgency.PROBE, LATER)
    cancelled = loop.background.add("gone", lambda: long(time, done, "gone", 1), Urgency.UPDATE, LATER)
    loop.background.add("good", lambda: long(time, done, "good", 1), Urgency.SWEEP, LATER)
    assert cancelled is not None
    cancelled.cancel()
    cancelled.cancel()
    with pytest.raises(RuntimeError):  # a debug build stops there
        loop.background.run(False)
    while loop.background.waiting:
        loop.background.run(False)
    assert done == ["good"] and not loop.background.waiting


def test_repeated_work_comes_again_after_its_span_and_stops(time: VirtualTime, loop: Loop) -> None:
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


def test_repeated_work_goes_on_after_a_fault_and_after_a_time_without_room(
    time: VirtualTime, loop: Loop
) -> None:
    begun: list[float] = []

    def work() -> Slices:
        begun.append(time.seconds)
        if len(begun) == 1:
            raise RuntimeError("bad")
        yield

    loop.background.every("again", 100 * MS, work, Urgency.SWEEP)
    time.seconds += 0.11
    with pytest.raises(RuntimeError):  # a debug build stops there; a release build goes on
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


def test_too_much_is_refused_and_counted(loop: Loop) -> None:
    background: Background = loop.background
    jobs = [background.add("many", lambda: None, Urgency.SWEEP, LATER) for _ in range(MAX_JOBS + 1)]
    assert jobs[-1] is None and jobs[-2] is not None
    while background.waiting:
        background.run(False)
    assert background.add("one", lambda: None, Urgency.SWEEP, LATER) is not None
