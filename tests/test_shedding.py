"""Holding calls, the order in which held calls are sent, and shedding."""

from __future__ import annotations

from dataclasses import replace

from reedmount import interface as i
from tests.support import MS, SETTINGS, Bench, S, entry, pool, with_pool


def test_window_limits_set_ups_unanswered_at_a_server() -> None:
    bench = with_pool("a")
    calls = [bench.call() for _ in range(10)]
    out = [call for call in calls if bench.where(call)]
    assert 1 <= len(out) < 10
    bench.answer_call(out[0])
    assert len(bench.out) >= len(out)


def test_the_most_valuable_held_call_goes_first() -> None:
    bench = Bench()
    small = bench.call("small")
    great = bench.call("great")
    bench.feed(pool(entry("a")))
    assert [call for call in bench.sends][:2] == [great, small]


def test_a_call_past_its_target_time_yields_to_a_newer_one() -> None:
    bench = Bench()
    bench.call("great", left_us=8 * S)
    bench.run_for(1_400 * MS)
    newer = bench.call("small")
    bench.feed(pool(entry("a")))
    assert next(iter(bench.sends)) == newer


def test_the_expected_delay_counts_against_the_target_time() -> None:
    """Calls sent just before their target time were set up late, in the place of newer ones."""
    bench = with_pool("a")
    bench.report("a", wait_us=350 * MS)
    held = [bench.call("great") for _ in range(6)]
    for call in [call for call in held if bench.where(call)]:
        bench.answer_call(call, 350 * MS)
        break
    bench.run_for(100 * MS)
    waiting = [call for call in held if call not in bench.sends]
    assert waiting
    bench.now += 1_250 * MS
    newer = bench.call("small")
    for call in list(bench.out):
        bench.answer_call(call, 350 * MS)
        break
    assert newer in bench.sends or not set(waiting) & set(bench.sends)


def test_the_target_time_of_a_redial_runs_from_its_first_try() -> None:
    bench = Bench()
    bench.call("great", left_us=S, number="42")
    bench.run_for(2 * S)
    bench.call("great", left_us=2 * S, number="42", redialled=True)
    newer = bench.call("small", left_us=2 * S)
    bench.feed(pool(entry("a")))
    assert next(iter(bench.sends)) == newer


def test_a_flood_sheds_the_least_valuable_at_once() -> None:
    bench = Bench()
    great = [bench.call("great") for _ in range(60)]
    small = [bench.call("small") for _ in range(80)]
    assert bench.final_answers and set(bench.final_answers) <= set(small)
    assert not set(great) & set(bench.final_answers)
    assert all(isinstance(answer, i.RefuseCall) for answer in bench.final_answers.values())


def test_a_call_past_its_target_time_takes_only_idle_capacity() -> None:
    """Late calls are worth a quarter and delay those that arrive a moment later and are still in time."""
    bench = Bench()
    late = [bench.call("small", left_us=8 * S) for _ in range(3)]
    bench.run_for(1_400 * MS)
    bench.feed(pool(entry("a")))
    assert len(bench.out) == 1
    assert set(bench.out) <= set(late)


def test_a_call_given_up_is_refused_at_once_with_a_retry_time() -> None:
    """Calls were kept until two ticks before the end of their time, then refused without retry time."""
    bench = Bench()
    call = bench.call("small", left_us=8 * S)
    bench.run_for(1_400 * MS)
    assert call not in bench.final_answers
    bench.run_for(200 * MS)
    answer = bench.final_answers[call]
    assert isinstance(answer, i.RefuseCall) and S <= answer.retry_after_us <= 2 * S


def test_a_redial_past_its_target_time_is_held_briefly() -> None:
    """Its target time runs from the first try: it may use an idle server, but is not held until its end."""
    bench = Bench()
    bench.call("small", left_us=S, number="42")
    bench.run_for(2 * S)
    again = bench.call("small", left_us=6 * S, number="42", redialled=True)
    bench.run_for(400 * MS)
    assert again not in bench.final_answers
    bench.run_for(200 * MS)
    assert isinstance(bench.final_answers[again], i.RefuseCall)


def test_a_call_without_attempts_left_is_refused_at_once() -> None:
    bench = with_pool("a", max_attempts=1)
    call = bench.call(left_us=8 * S)
    bench.end_attempt(call, i.Outcome.FULL, i.Cause.PROCESSOR_FULL)
    answer = bench.final_answers[call]
    assert isinstance(answer, i.RefuseCall) and answer.retry_after_us > 0


def test_the_retry_time_is_within_the_limit_of_callers() -> None:
    """With a retry time of over 1 s where callers wait 0.2 s at most, all redialled together."""
    bench = Bench(replace(SETTINGS, max_retry_after_us=200 * MS))
    calls = [bench.call("small", left_us=8 * S) for _ in range(5)]
    bench.run_for(2 * S)
    answers = [bench.final_answers[call] for call in calls]
    pauses = {answer.retry_after_us for answer in answers if isinstance(answer, i.RefuseCall)}
    assert len(pauses) == 5 and min(pauses) >= 100 * MS and max(pauses) <= 200 * MS


def test_calls_refused_together_get_different_retry_times() -> None:
    bench = Bench()
    calls = [bench.call("small", left_us=8 * S) for _ in range(5)]
    bench.run_for(2 * S)
    answers = [bench.final_answers[call] for call in calls]
    assert len({answer.retry_after_us for answer in answers if isinstance(answer, i.RefuseCall)}) == 5


def test_the_window_grows_only_when_it_was_full() -> None:
    """A window that grew while calls were few let a sudden load queue up at the servers."""
    bench = with_pool("a", instances=1)
    for _ in range(40):
        bench.answer_call(bench.call(), 20 * MS)
    quiet = [bench.where(bench.call()) for _ in range(12)]
    busy_bench = with_pool("a", instances=1)
    for _ in range(12):
        for _ in range(6):
            busy_bench.call()
        for call in sorted(busy_bench.out):
            busy_bench.answer_call(call, 20 * MS)
    for _ in range(12):
        busy_bench.call()
    assert quiet.count("a") < len(busy_bench.out)


def test_unmarked_redials_are_recognised_by_the_number() -> None:
    """Where redials look like new calls, late ones displaced calls still in time (incident ieddfb6)."""
    bench = Bench(replace(SETTINGS, redials_marked=False))
    bench.call("great", left_us=S, number="42")
    bench.run_for(2 * S)
    bench.call("great", left_us=2 * S, number="42")
    newer = bench.call("small", left_us=2 * S, number="43")
    bench.feed(pool(entry("a")))
    assert next(iter(bench.sends)) == newer


def test_a_call_to_a_number_already_reached_is_no_redial() -> None:
    bench = with_pool("a", redials_marked=False)
    bench.answer_call(bench.call("great", number="42"))
    bench.feed(pool(entry("a", i.ServerState.DRAINING), version=2, kind=i.ListKind.CHANGES))
    bench.run_for(2 * S)
    again = bench.call("great", number="42")
    bench.call("small", number="43")
    bench.feed(pool(entry("a"), version=3, kind=i.ListKind.CHANGES))
    assert list(bench.sends)[1] == again


def test_calls_of_a_tenant_over_its_quota_go_last() -> None:
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


def test_the_round_trip_time_is_not_taken_for_a_queue() -> None:
    """At 400 calls/s and a round trip of 30 ms, a window of two sent 40% of the calls (real day, seed 3)."""
    bench = with_pool("a", instances=3)
    for _ in range(300):
        for _ in range(8):
            bench.call()
        bench.run_for(30 * MS)
        for call in sorted(bench.out):
            bench.answer_call(call, 30 * MS)
    assert len(bench.sends) > 0.9 * 2_400


def test_the_window_is_the_instances_share_of_a_short_queue() -> None:
    """Many instances with four set-ups out each make a queue longer than the resend gap."""
    out = []
    for fleet_size in (1, 8):
        bench = with_pool("a", instances=fleet_size)
        for _ in range(60):
            bench.call()
            for call in sorted(bench.out):
                bench.answer_call(call, 20 * MS)
            bench.run_for(20 * fleet_size * MS)  # so that all instances together use the server's capacity
        for _ in range(40):
            bench.call()
            bench.call()
            bench.answer_call(min(bench.out), 20 * MS)
        out.append(len(bench.out))
    assert out[0] > out[1] == 2
