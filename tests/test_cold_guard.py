"""Fleets at a cold server: the sum of what all proxies send in any span against what the settings allow.

Each proxy runs by itself, as in service; the tests add up what all sent. What the cold place can do warm is
what stood there before its restart.
"""

from __future__ import annotations

import sys
from bisect import bisect_left
from dataclasses import replace

import pytest

from reedmount import interface as i
from tests.support import MS, SETTINGS, T0, Bench, S, pool

TRAINED_US = 8 * S
START = T0 + TRAINED_US  # three of the servers restart, and every proxy is told at once
IDLE_US = 6 * S  # no call wants them for so long
REPEAT = 0.6  # the most that a repeat costs, in set-ups
COLD = (0, 1, 2)
COLD_NAMES = {f"s{number}" for number in COLD}
FLEETS = [(5, 4, 4.0), (80, 8, 3.0), (270, 10, 2.8), (800, 12, 1.0)]  # proxies, servers, calls a second each
CASES = ["burst", "others gone", "proxies restarted", "set-ups hang"]


def server(number: int, started_us: int = 0, gone: bool = False) -> i.ServerEntry:
    state = i.ServerState.REMOVED if gone else i.ServerState.SERVING
    return i.ServerEntry(f"s{number}", number, state, started_us)


def answer_all(bench: Bench, hanging: bool) -> None:
    for call in list(bench.out):
        if not (hanging and bench.where(call) in COLD_NAMES):
            bench.stands(call, 60 * MS)


def offer(bench: Bench, until: int, gap_us: int, numbers: list[int], turn: int) -> None:
    """Calls at an even pace, first choices in turn, each set up at once."""
    while bench.now + gap_us <= until:
        bench.now += gap_us
        turn += 1
        bench.call(first=numbers[turn % len(numbers)])
        answer_all(bench, hanging=False)
    bench.now = until


def proxy_day(setup: i.Settings, servers: int, rate: float, number: int, case: str) -> tuple[Bench, int]:
    """One proxy: its own calls, the restart, idle time, then a burst. Also what stood at one cold server."""
    bench, gap_us, hanging = Bench(setup, seed=number), round(S / rate), case == "set-ups hang"
    bench.feed(pool(*(server(n) for n in range(servers))))
    bench.now += gap_us * number // setup.instances
    offer(bench, START, gap_us, list(range(servers)), number)
    stood = sum(sent.server == "s0" for sends in bench.sends.values() for sent in sends)
    restarted = tuple(server(n, START) for n in COLD)
    bench.feed(pool(*restarted, version=2, kind=i.ListKind.CHANGES))
    offer(bench, START + IDLE_US, gap_us, list(range(len(COLD), servers)), number)
    if case == "proxies restarted":
        again = Bench(setup, seed=number + setup.instances)
        again.now, again.log = bench.now, list(bench.log)
        again.feed(pool(*restarted, *(server(n) for n in range(len(COLD), servers)), kind=i.ListKind.SAVED))
        bench = again
    if case != "burst":
        bench.feed(
            pool(
                *(server(n, gone=True) for n in range(len(COLD), servers)), version=3, kind=i.ListKind.CHANGES
            )
        )
    for step in range(9):
        for turn in range(4 if step == 0 else 1):
            bench.call(first=COLD[(number + turn) % len(COLD)], left_us=1_500 * MS)
        answer_all(bench, hanging)
        bench.run_for(200 * MS)
        answer_all(bench, hanging)
    return bench, stood


def messages(bench: Bench, name: str, hanging: bool) -> list[tuple[int, float]]:
    """When set-ups reached the server, and their work; hanging ones are repeated at doubling gaps."""
    times = []
    for now, action in bench.log:
        if isinstance(action, i.SendSetup) and action.server == name and now >= START:
            times.append((now, 1.0))
            after = bench.settings.resend_gap_us
            while hanging and after < action.give_up_us:
                times.append((now + after, REPEAT))
                after = 2 * after + bench.settings.resend_gap_us
    return times


def tips(setup: i.Settings, now: int, warm_per_s: float) -> float:
    """What tips the server within a span that begins now, if it warms evenly."""
    present = setup.cold_start_share + (1 - setup.cold_start_share) * (now - START) / setup.cold_us
    return setup.fall_multiple * present * warm_per_s * setup.fall_span_us / S


def assert_never_tips(setup: i.Settings, times: list[tuple[int, float]], warm_per_s: float) -> None:
    """Every span that begins with a message."""
    for first, (at, _) in enumerate(times):
        last = bisect_left(times, (at + setup.fall_span_us, 0.0))
        sent = sum(work for _, work in times[first:last])
        assert sent <= tips(setup, at, warm_per_s), ((at - START) / S, sent)


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize(("proxies", "servers", "rate"), FLEETS)
def test_no_fleet_tips_a_cold_server(proxies: int, servers: int, rate: float, case: str) -> None:
    """Idle credit of one in each proxy was spent at once by a burst, above all with the others gone."""
    setup = replace(SETTINGS, instances=proxies)
    days = [proxy_day(setup, servers, rate, number, case) for number in range(proxies)]
    warm_per_s = sum(stood for _, stood in days) / (TRAINED_US / S)
    for name in sorted(COLD_NAMES):
        times = sorted(at for bench, _ in days for at in messages(bench, name, case == "set-ups hang"))
        assert_never_tips(setup, times, warm_per_s)


@pytest.mark.parametrize("told_lines", [10.0, 1_000.0])
def test_lines_told_do_not_raise_the_pace(told_lines: float) -> None:
    """A server with many lines and a slow processor was sent eight times its share."""
    setup = replace(SETTINGS, instances=1)
    bench = Bench(setup)
    bench.feed(pool(*(server(n) for n in range(10))))
    bench.report("s0", lines=told_lines)
    bench.report("s1", lines=10.0)
    offer(bench, START, 20 * MS, list(range(10)), 0)
    bench.feed(pool(server(0, START), version=2, kind=i.ListKind.CHANGES))
    offer(bench, START + 3 * S, 20 * MS, [0], 0)
    times = messages(bench, "s0", hanging=False)
    assert len(times) >= 3, "a warming server must not idle"
    assert_never_tips(setup, times, 5.0)


def test_a_warming_server_that_is_wanted_gets_calls_from_a_fleet() -> None:
    """With calls held for it, the fleet sends at least a third of what it can do just after its start."""
    setup = replace(SETTINGS, instances=80)
    days = [proxy_day(setup, 8, 3.0, number, "others gone") for number in range(80)]
    warm_per_s = sum(stood for _, stood in days) / (TRAINED_US / S)
    sent = sum(len(messages(bench, "s0", hanging=False)) for bench, _ in days)
    assert sent >= warm_per_s * setup.cold_start_share * 1.8 / 3


@pytest.mark.parametrize("proxies", [0, 1, 5_000])
def test_a_pool_in_which_all_is_cold_and_nothing_known_is_used(proxies: int) -> None:
    """A fleet that knows nothing still finds its way; a lone proxy may not wait for ever."""
    setup = replace(SETTINGS, instances=proxies)
    bench = Bench(setup)
    bench.now = START
    bench.feed(pool(*(server(n, START) for n in COLD)))
    for _ in range(40):
        bench.call(first=0)
        bench.run_for(250 * MS)
        answer_all(bench, hanging=False)
    sent = len(messages(bench, "s0", hanging=False))
    assert sent >= 1 if proxies < 2 else sent <= 1


def test_a_cold_server_that_does_what_it_is_sent_is_sent_more() -> None:
    """One that warmed early, or was little used before, stayed two thirds idle for all of the cold time."""
    setup = replace(SETTINGS, instances=1)
    bench = Bench(setup)
    bench.feed(pool(server(0), server(1)))
    offer(bench, START, 40 * MS, [0, 1], 0)  # 12.5 a second each
    bench.feed(pool(server(0, START), server(1, gone=True), version=2, kind=i.ListKind.CHANGES))
    offer(bench, START + 8 * S, 20 * MS, [0], 0)
    last = [at for at, _ in messages(bench, "s0", hanging=False) if at > START + 7 * S]
    assert len(last) > 20, "the pace alone lets a dozen through"


def test_calls_that_wait_for_cold_servers_cost_little_at_each_event() -> None:
    """Half a pool replaced at once, the rest full: each held call asked every cold server anew, by comparing
    whole servers. An event took 18 ms, so that a border controller with 50 held calls fell seconds behind."""
    servers, replaced, held = 24, 14, 50
    bench = Bench(replace(SETTINGS, instances=30))
    bench.feed(pool(*(server(n) for n in range(servers))))
    offer(bench, START, 20 * MS, list(range(servers)), 0)
    for number in range(replaced, servers):
        bench.report(f"s{number}", free=0, lines=100)
    fresh = [i.ServerEntry(f"r{n}", n, i.ServerState.SERVING, START) for n in range(replaced)]
    gone = [server(n, gone=True) for n in range(replaced)]
    bench.feed(pool(*fresh, *gone, version=2, kind=i.ListKind.CHANGES))
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
    assert 0 < steps < 120 * held, "calls and returns of functions, for one event"
