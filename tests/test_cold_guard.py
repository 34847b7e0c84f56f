"""Pacing of cold servers: the total of all instances in any span against what overloads the server.

Each instance runs by itself, as in service; the tests add up what all sent. The warm capacity of the server
is taken from the calls set up there before its restart.
"""

from __future__ import annotations

import sys
from bisect import bisect_left
from dataclasses import replace

import pytest

from reedmount import interface as i
from tests.support import MS, SETTINGS, T0, Bench, S, pool

TRAINED_US = 8 * S
START = T0 + TRAINED_US  # three of the servers restart, and every instance learns of it at once
IDLE_US = 6 * S  # time without calls for them
REPEAT_WORK = 0.6  # upper bound of the work of a repeat, in set-ups
COLD = (0, 1, 2)
COLD_NAMES = {f"s{number}" for number in COLD}
# Instances, servers, calls per second of each instance.
FLEETS = [(5, 4, 4.0), (80, 8, 3.0), (270, 10, 2.8), (800, 12, 1.0)]
CASES = ["burst", "others removed", "instances restarted", "set-ups hang"]


def server(number: int, started_us: int = 0, removed: bool = False) -> i.ServerEntry:
    state = i.ServerState.REMOVED if removed else i.ServerState.SERVING
    return i.ServerEntry(f"s{number}", number, state, started_us)


def answer_all(bench: Bench, hung: bool) -> None:
    for call in list(bench.out):
        if not (hung and bench.where(call) in COLD_NAMES):
            bench.answer_call(call, 60 * MS)


def offer(bench: Bench, until: int, gap_us: int, numbers: list[int], turn: int) -> None:
    """Offer calls at an even pace, with first choices in turn, and answer each at once."""
    while bench.now + gap_us <= until:
        bench.now += gap_us
        turn += 1
        bench.call(first=numbers[turn % len(numbers)])
        answer_all(bench, hung=False)
    bench.now = until


def run_instance(setup: i.Settings, servers: int, rate: float, number: int, case: str) -> tuple[Bench, int]:
    """Run one instance: calls, restart, idle time, a burst. Also returns its set-ups at server s0 before."""
    bench, gap_us, hung = Bench(setup, seed=number), round(S / rate), case == "set-ups hang"
    bench.feed(pool(*(server(n) for n in range(servers))))
    bench.now += gap_us * number // setup.instances
    offer(bench, START, gap_us, list(range(servers)), number)
    established = sum(sent.server == "s0" for sends in bench.sends.values() for sent in sends)
    restarted = tuple(server(n, START) for n in COLD)
    bench.feed(pool(*restarted, version=2, kind=i.ListKind.CHANGES))
    offer(bench, START + IDLE_US, gap_us, list(range(len(COLD), servers)), number)
    if case == "instances restarted":
        again = Bench(setup, seed=number + setup.instances)
        again.now, again.log = bench.now, list(bench.log)
        again.feed(pool(*restarted, *(server(n) for n in range(len(COLD), servers)), kind=i.ListKind.SAVED))
        bench = again
    if case != "burst":
        bench.feed(
            pool(
                *(server(n, removed=True) for n in range(len(COLD), servers)),
                version=3,
                kind=i.ListKind.CHANGES,
            )
        )
    for step in range(9):
        for turn in range(4 if step == 0 else 1):
            bench.call(first=COLD[(number + turn) % len(COLD)], left_us=1_500 * MS)
        answer_all(bench, hung)
        bench.run_for(200 * MS)
        answer_all(bench, hung)
    return bench, established


def setups_received(bench: Bench, name: str, hung: bool) -> list[tuple[int, float]]:
    """Arrival times and work of the set-ups sent to the server; hung ones repeat at doubling gaps."""
    times = []
    for now, action in bench.log:
        if isinstance(action, i.SendSetup) and action.server == name and now >= START:
            times.append((now, 1.0))
            after = bench.settings.resend_gap_us
            while hung and after < action.give_up_us:
                times.append((now + after, REPEAT_WORK))
                after = 2 * after + bench.settings.resend_gap_us
    return times


def overload_threshold(setup: i.Settings, now: int, warm_per_s: float) -> float:
    """The work that overloads the server within a span that begins now, with a linear warm-up."""
    present = setup.cold_start_share + (1 - setup.cold_start_share) * (now - START) / setup.cold_us
    return setup.fall_multiple * present * warm_per_s * setup.fall_span_us / S


def assert_no_overload(setup: i.Settings, times: list[tuple[int, float]], warm_per_s: float) -> None:
    """Check every span that begins with an arrival."""
    for first, (at, _) in enumerate(times):
        last = bisect_left(times, (at + setup.fall_span_us, 0.0))
        sent = sum(work for _, work in times[first:last])
        assert sent <= overload_threshold(setup, at, warm_per_s), ((at - START) / S, sent)


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize(("fleet_size", "servers", "rate"), FLEETS)
def test_no_fleet_overloads_a_cold_server(fleet_size: int, servers: int, rate: float, case: str) -> None:
    """With an idle credit of one per instance a burst spent it at once, most with others removed."""
    setup = replace(SETTINGS, instances=fleet_size)
    runs = [run_instance(setup, servers, rate, number, case) for number in range(fleet_size)]
    warm_per_s = sum(established for _, established in runs) / (TRAINED_US / S)
    for name in sorted(COLD_NAMES):
        times = sorted(at for bench, _ in runs for at in setups_received(bench, name, case == "set-ups hang"))
        assert_no_overload(setup, times, warm_per_s)


@pytest.mark.parametrize("reported_lines", [10.0, 1_000.0])
def test_reported_lines_do_not_raise_the_cold_rate(reported_lines: float) -> None:
    """A server with many lines and a slow processor was sent eight times its share."""
    setup = replace(SETTINGS, instances=1)
    bench = Bench(setup)
    bench.feed(pool(*(server(n) for n in range(10))))
    bench.report("s0", lines=reported_lines)
    bench.report("s1", lines=10.0)
    offer(bench, START, 20 * MS, list(range(10)), 0)
    bench.feed(pool(server(0, START), version=2, kind=i.ListKind.CHANGES))
    offer(bench, START + 3 * S, 20 * MS, [0], 0)
    times = setups_received(bench, "s0", hung=False)
    assert len(times) >= 3, "a warming server must not idle"
    assert_no_overload(setup, times, 5.0)


def test_a_warming_server_in_demand_gets_calls_from_a_fleet() -> None:
    """With calls held for it, the fleet sends at least a third of the server's capacity at its start."""
    setup = replace(SETTINGS, instances=80)
    runs = [run_instance(setup, 8, 3.0, number, "others removed") for number in range(80)]
    warm_per_s = sum(established for _, established in runs) / (TRAINED_US / S)
    sent = sum(len(setups_received(bench, "s0", hung=False)) for bench, _ in runs)
    assert sent >= warm_per_s * setup.cold_start_share * 1.8 / 3


@pytest.mark.parametrize("fleet_size", [0, 1, 5_000])
def test_a_pool_of_cold_servers_without_history_is_used(fleet_size: int) -> None:
    """A fleet without any history still uses the pool, and a single instance does not wait for ever."""
    setup = replace(SETTINGS, instances=fleet_size)
    bench = Bench(setup)
    bench.now = START
    bench.feed(pool(*(server(n, START) for n in COLD)))
    for _ in range(40):
        bench.call(first=0)
        bench.run_for(250 * MS)
        answer_all(bench, hung=False)
    sent = len(setups_received(bench, "s0", hung=False))
    assert sent >= 1 if fleet_size < 2 else sent <= 1


def test_a_cold_server_that_keeps_up_gets_more() -> None:
    """A server that warmed early, or was little used before, stayed two thirds idle while cold."""
    setup = replace(SETTINGS, instances=1)
    bench = Bench(setup)
    bench.feed(pool(server(0), server(1)))
    offer(bench, START, 40 * MS, [0, 1], 0)  # 12.5 a second each
    bench.feed(pool(server(0, START), server(1, removed=True), version=2, kind=i.ListKind.CHANGES))
    offer(bench, START + 8 * S, 20 * MS, [0], 0)
    last = [at for at, _ in setups_received(bench, "s0", hung=False) if at > START + 7 * S]
    assert len(last) > 20, "COLD_RATE_SHARE alone admits a dozen"


def test_held_calls_cost_little_per_event_with_many_cold_servers() -> None:
    """With half a pool replaced and the rest full, each held call compared whole servers to skip cold ones:
    an event took 18 ms, and a border controller with 50 held calls fell seconds behind."""
    servers, replaced, held = 24, 14, 50
    bench = Bench(replace(SETTINGS, instances=30))
    bench.feed(pool(*(server(n) for n in range(servers))))
    offer(bench, START, 20 * MS, list(range(servers)), 0)
    for number in range(replaced, servers):
        bench.report(f"s{number}", free=0, lines=100)
    replacements = [i.ServerEntry(f"r{n}", n, i.ServerState.SERVING, START) for n in range(replaced)]
    removed = [server(n, removed=True) for n in range(replaced)]
    bench.feed(pool(*replacements, *removed, version=2, kind=i.ListKind.CHANGES))
    while len(bench.sends) + held > bench.next_call - 1:
        bench.call(first=bench.next_call % servers, left_us=9 * S)
    steps = 0

    def count(*_: object) -> None:
        nonlocal steps
        steps += 1

    bench.now += MS
    sys.setprofile(count)
    bench.feed(i.LoadReports(()))
    sys.setprofile(None)
    assert 0 < steps < 120 * held, "function calls and returns for one event"
