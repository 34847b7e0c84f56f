"""Capacity kept for first-choice calls, and the overflow that many instances send to one server."""

from __future__ import annotations

from dataclasses import replace

from reedmount import interface as i
from tests.support import MS, SETTINGS, Bench, S, entry, pool


def instance_of_fleet(fleet_size: int, seed: int = 1) -> Bench:
    """One instance of a fleet, with two servers of which the first reports no free line."""
    bench = Bench(replace(SETTINGS, instances=fleet_size), seed)
    bench.feed(pool(entry("a"), entry("b")))
    report_free_lines(bench, "a", 0)
    return bench


def report_free_lines(bench: Bench, server: str, lines: float) -> None:
    bench.feed(i.LoadReports(((server, i.LoadReport(free_lines=lines, lines=200.0)),)))


def count_overflow(bench: Bench, calls: int, first: int = 1) -> int:
    """How many of so many calls, each answered at once, go to the second server."""
    count = 0
    for _ in range(calls):
        call = bench.call(first=first)
        if bench.where(call) is not None:
            count += 1
            bench.answer_call(call, 20 * MS)
    return count


def test_overflow_of_a_fleet_takes_the_free_lines_once() -> None:
    """Each of 200 instances gets the same report of 50 free lines; together they may use about 50."""
    taken = 0
    for seed in range(200):
        bench = instance_of_fleet(200, seed)
        report_free_lines(bench, "b", 50)
        taken += count_overflow(bench, 3)
    assert 30 <= taken <= 70


def test_a_single_instance_takes_all_free_lines() -> None:
    bench = instance_of_fleet(1)
    report_free_lines(bench, "b", 50)
    assert count_overflow(bench, 20) == 20


def test_each_report_renews_the_share() -> None:
    bench = instance_of_fleet(10)
    report_free_lines(bench, "b", 10)
    first = count_overflow(bench, 5)  # the others are held
    assert 1 <= first <= 2
    report_free_lines(bench, "b", 10)
    assert sum(isinstance(action, i.SendSetup) for _, action in bench.log) > first


def test_first_choice_calls_are_not_limited_to_a_share() -> None:
    bench = instance_of_fleet(200)
    report_free_lines(bench, "b", 1)
    assert count_overflow(bench, 10, first=2) == 10


def test_a_server_without_reports_takes_overflow() -> None:
    bench = instance_of_fleet(200)
    assert count_overflow(bench, 10) == 10


def test_no_overflow_goes_to_a_server_with_a_queue() -> None:
    """Overflow to it would displace its own calls in turn; first-choice calls still go there."""
    bench = instance_of_fleet(4)
    report_free_lines(bench, "b", 200)
    bench.answer_call(bench.call(first=2), 300 * MS)
    assert count_overflow(bench, 1) == 0
    assert bench.where(bench.call(first=2)) == "b"


def test_an_old_reading_of_a_queue_does_not_stop_overflow() -> None:
    """Where calls are few there may never be a newer reading."""
    bench = instance_of_fleet(4)
    bench.answer_call(bench.call(first=2), 300 * MS)
    bench.run_for(60 * S)
    report_free_lines(bench, "b", 200)
    assert count_overflow(bench, 1) == 1


def test_calls_whose_first_choice_has_left_are_not_limited_to_a_share() -> None:
    """Limited to a share behind first-choice calls, they would get nothing in a long overload."""
    bench = instance_of_fleet(200)
    report_free_lines(bench, "b", 1)
    bench.feed(pool(entry("a", i.ServerState.DRAINING), version=2, kind=i.ListKind.CHANGES))
    assert count_overflow(bench, 10) == 10
