"""Holding, the order in which held calls go, and what is shed."""

from __future__ import annotations

from dataclasses import replace

from reedmount import interface as i
from tests.support import MS, SETTINGS, Bench, S, entry, pool, with_pool


def test_window_limits_set_ups_unanswered_at_a_server() -> None:
    bench = with_pool("a")
    calls = [bench.call() for _ in range(10)]
    out = [call for call in calls if bench.where(call)]
    assert 1 <= len(out) < 10
    bench.stands(out[0])
    assert len(bench.out) >= len(out)


def test_the_most_valuable_held_call_goes_first() -> None:
    bench = Bench()
    small = bench.call("small")
    great = bench.call("great")
    bench.feed(pool(entry("a")))
    assert [call for call in bench.sends][:2] == [great, small]


def test_a_call_past_its_aim_gives_way_to_a_fresh_one() -> None:
    bench = Bench()
    bench.call("great", left_us=8 * S)
    bench.run_for(1_400 * MS)
    fresh = bench.call("small")
    bench.feed(pool(entry("a")))
    assert next(iter(bench.sends)) == fresh


def test_the_delay_a_call_would_meet_counts_against_its_aim() -> None:
    """Calls sent just before their aim stood late in the place of fresh ones."""
    bench = with_pool("a")
    bench.report("a", wait_us=350 * MS)
    held = [bench.call("great") for _ in range(6)]
    for call in [call for call in held if bench.where(call)]:
        bench.stands(call, 350 * MS)
        break
    bench.run_for(100 * MS)
    waiting = [call for call in held if call not in bench.sends]
    assert waiting
    bench.now += 1_250 * MS
    fresh = bench.call("small")
    for call in list(bench.out):
        bench.stands(call, 350 * MS)
        break
    assert fresh in bench.sends or not set(waiting) & set(bench.sends)


def test_a_redial_is_aimed_from_its_first_try() -> None:
    bench = Bench()
    bench.call("great", left_us=S, number="42")
    bench.run_for(2 * S)
    bench.call("great", left_us=2 * S, number="42", redialled=True)
    fresh = bench.call("small", left_us=2 * S)
    bench.feed(pool(entry("a")))
    assert next(iter(bench.sends)) == fresh


def test_a_flood_sheds_the_least_valuable_at_once() -> None:
    bench = Bench()
    great = [bench.call("great") for _ in range(60)]
    small = [bench.call("small") for _ in range(80)]
    assert bench.finals and set(bench.finals) <= set(small)
    assert not set(great) & set(bench.finals)
    assert all(isinstance(answer, i.RefuseCall) for answer in bench.finals.values())


def test_a_call_past_its_aim_takes_only_what_would_lie_idle() -> None:
    """Late calls earn a quarter and lengthen the wait of those that come in time a moment later."""
    bench = Bench()
    late = [bench.call("small", left_us=8 * S) for _ in range(3)]
    bench.run_for(1_400 * MS)
    bench.feed(pool(entry("a")))
    assert len(bench.out) == 1
    assert set(bench.out) <= set(late)


def test_a_call_given_up_is_refused_at_once_with_a_time_to_come_back() -> None:
    """It was kept until two ticks before its caller's time was up, and then refused with no time told."""
    bench = Bench()
    call = bench.call("small", left_us=8 * S)
    bench.run_for(1_400 * MS)
    assert call not in bench.finals
    bench.run_for(200 * MS)
    answer = bench.finals[call]
    assert isinstance(answer, i.RefuseCall) and S <= answer.retry_after_us <= 2 * S


def test_a_redial_past_its_aim_is_held_for_a_moment_only() -> None:
    """Its aim runs from the first try: it may find a server idle, but is not kept until its time is up."""
    bench = Bench()
    bench.call("small", left_us=S, number="42")
    bench.run_for(2 * S)
    again = bench.call("small", left_us=6 * S, number="42", redialled=True)
    bench.run_for(400 * MS)
    assert again not in bench.finals
    bench.run_for(200 * MS)
    assert isinstance(bench.finals[again], i.RefuseCall)


def test_a_call_whose_attempts_are_spent_is_refused_at_once() -> None:
    bench = with_pool("a", max_attempts=1)
    call = bench.call(left_us=8 * S)
    bench.ended(call, i.Outcome.FULL, i.Cause.PROCESSOR_FULL)
    answer = bench.finals[call]
    assert isinstance(answer, i.RefuseCall) and answer.retry_after_us > 0


def test_a_pause_is_no_longer_than_callers_heed() -> None:
    """Told a second and more where they heed a fifth of one, callers came back at the bound all at once."""
    bench = Bench(replace(SETTINGS, max_retry_after_us=200 * MS))
    calls = [bench.call("small", left_us=8 * S) for _ in range(5)]
    bench.run_for(2 * S)
    answers = [bench.finals[call] for call in calls]
    pauses = {answer.retry_after_us for answer in answers if isinstance(answer, i.RefuseCall)}
    assert len(pauses) == 5 and min(pauses) >= 100 * MS and max(pauses) <= 200 * MS


def test_those_refused_together_are_not_told_to_come_back_together() -> None:
    bench = Bench()
    calls = [bench.call("small", left_us=8 * S) for _ in range(5)]
    bench.run_for(2 * S)
    answers = [bench.finals[call] for call in calls]
    assert len({answer.retry_after_us for answer in answers if isinstance(answer, i.RefuseCall)}) == 5


def test_the_window_grows_only_when_it_was_full() -> None:
    """Grown on idle days it let a jump in calls pile up at the servers."""
    bench = with_pool("a", instances=1)
    for _ in range(40):
        bench.stands(bench.call(), 20 * MS)
    quiet = [bench.where(bench.call()) for _ in range(12)]
    busy_bench = with_pool("a", instances=1)
    for _ in range(12):
        for _ in range(6):
            busy_bench.call()
        for call in sorted(busy_bench.out):
            busy_bench.stands(call, 20 * MS)
    for _ in range(12):
        busy_bench.call()
    assert quiet.count("a") < len(busy_bench.out)


def test_unmarked_redials_are_told_by_the_number() -> None:
    """Where redials look like new calls, late ones took the room of those in time (incident ieddfb6)."""
    bench = Bench(replace(SETTINGS, redials_marked=False))
    bench.call("great", left_us=S, number="42")
    bench.run_for(2 * S)
    bench.call("great", left_us=2 * S, number="42")
    fresh = bench.call("small", left_us=2 * S, number="43")
    bench.feed(pool(entry("a")))
    assert next(iter(bench.sends)) == fresh


def test_a_number_that_was_reached_is_fresh_again() -> None:
    bench = with_pool("a", redials_marked=False)
    bench.stands(bench.call("great", number="42"))
    bench.feed(pool(entry("a", i.ServerState.DRAINING), version=2, kind=i.ListKind.CHANGES))
    bench.run_for(2 * S)
    again = bench.call("great", number="42")
    bench.call("small", number="43")
    bench.feed(pool(entry("a"), version=3, kind=i.ListKind.CHANGES))
    assert list(bench.sends)[1] == again


def test_a_tenant_over_its_quota_goes_last() -> None:
    bench = Bench()
    for _ in range(60):
        bench.call("small", tenant="north", left_us=400 * MS)
        bench.run_for(50 * MS)
    over = bench.call("small", tenant="north")
    inside = bench.call("small", tenant="south")
    bench.run_for(100 * MS)
    bench.feed(pool(entry("a")))
    order = [call for call in bench.sends if call in (over, inside)]
    assert order[:1] == [inside]


def test_a_tenant_within_its_quota_is_not_held_back() -> None:
    bench = Bench()
    for _ in range(10):
        bench.call("small", tenant="north", left_us=400 * MS)
        bench.run_for(S)
    first = bench.call("great", tenant="north")
    bench.call("small", tenant="south")
    bench.feed(pool(entry("a")))
    assert next(iter(bench.sends)) == first


def test_the_way_there_and_back_is_not_taken_for_a_line() -> None:
    """At 400 calls a second and 30 ms of way, a window of two sent 40% of them (real day, seed 3)."""
    bench = with_pool("a", instances=3)
    for _ in range(300):
        for _ in range(8):
            bench.call()
        bench.run_for(30 * MS)
        for call in sorted(bench.out):
            bench.stands(call, 30 * MS)
    assert len(bench.sends) > 0.9 * 2_400


def test_the_window_is_our_share_of_a_short_line() -> None:
    """Many proxies that each have four set-ups out make a line past the resend gap."""
    out = []
    for proxies in (1, 8):
        bench = with_pool("a", instances=proxies)
        for _ in range(60):
            bench.call()
            for call in sorted(bench.out):
                bench.stands(call, 20 * MS)
            bench.run_for(20 * proxies * MS)  # all of them together: what such a server can do
        for _ in range(40):
            bench.call()
            bench.call()
            bench.stands(min(bench.out), 20 * MS)
        out.append(len(bench.out))
    assert out[0] > out[1] == 2
