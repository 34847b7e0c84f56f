"""Room that is kept for calls that name a server first: what many proxies do to each other by overflow."""

from __future__ import annotations

from dataclasses import replace

from reedmount import interface as i
from tests.support import MS, SETTINGS, Bench, S, entry, pool


def fleet_of(proxies: int, seed: int = 1) -> Bench:
    """One of so many proxies, before two servers of which the first is told to have no line."""
    bench = Bench(replace(SETTINGS, instances=proxies), seed)
    bench.feed(pool(entry("a"), entry("b")))
    free(bench, "a", 0)
    return bench


def free(bench: Bench, server: str, lines: float) -> None:
    bench.feed(i.LoadReports(((server, i.LoadReport(free_lines=lines, lines=200.0)),)))


def placed(bench: Bench, calls: int, first: int = 1) -> int:
    """How many of so many calls, each answered at once, go to the second server."""
    count = 0
    for _ in range(calls):
        call = bench.call(first=first)
        if bench.where(call) is not None:
            count += 1
            bench.stands(call, 20 * MS)
    return count


def test_overflow_of_all_proxies_takes_the_free_lines_once() -> None:
    """Each of 200 hears of the same 50 free lines: together they take about 50 until the next report."""
    taken = 0
    for seed in range(200):
        bench = fleet_of(200, seed)
        free(bench, "b", 50)
        taken += placed(bench, 3)
    assert 30 <= taken <= 70


def test_a_proxy_alone_takes_all_that_is_free() -> None:
    bench = fleet_of(1)
    free(bench, "b", 50)
    assert placed(bench, 20) == 20


def test_the_next_report_brings_the_next_share() -> None:
    bench = fleet_of(10)
    free(bench, "b", 10)
    first = placed(bench, 5)  # the others are held
    assert 1 <= first <= 2
    free(bench, "b", 10)
    assert sum(isinstance(action, i.SendSetup) for _, action in bench.log) > first


def test_calls_that_name_a_server_first_need_no_share_of_it() -> None:
    bench = fleet_of(200)
    free(bench, "b", 1)
    assert placed(bench, 10, first=2) == 10


def test_a_server_that_tells_no_lines_takes_overflow() -> None:
    bench = fleet_of(200)
    assert placed(bench, 10) == 10


def test_overflow_keeps_off_a_server_with_a_line_of_work() -> None:
    """Sent there, it would send that server's own calls elsewhere in turn. They still go there."""
    bench = fleet_of(4)
    free(bench, "b", 200)
    bench.stands(bench.call(first=2), 300 * MS)
    assert placed(bench, 1) == 0
    assert bench.where(bench.call(first=2)) == "b"


def test_a_line_of_work_that_was_seen_long_ago_bars_no_overflow() -> None:
    """Where calls are few nothing newer would ever be heard."""
    bench = fleet_of(4)
    bench.stands(bench.call(first=2), 300 * MS)
    bench.run_for(60 * S)
    free(bench, "b", 200)
    assert placed(bench, 1) == 1


def test_calls_whose_first_choice_has_left_have_the_rights_of_all_others() -> None:
    """Kept back behind those who still have theirs, they would get nothing at all in a long overload."""
    bench = fleet_of(200)
    free(bench, "b", 1)
    bench.feed(pool(entry("a", i.ServerState.DRAINING), version=2, kind=i.ListKind.CHANGES))
    assert placed(bench, 10) == 10
