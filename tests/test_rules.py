"""The five rules, one by one and over random histories from seeds."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reedmount import interface as i
from tests.support import MS, SETTINGS, T0, Bench, S, entry, pool, with_pool


def test_held_call_is_refused_before_its_time_is_up() -> None:
    bench = Bench()
    call = bench.call(left_us=2 * S)
    bench.run_for(2 * S)
    assert isinstance(bench.final_answers[call], i.RefuseCall)
    assert max(now for now, action in bench.log if isinstance(action, i.RefuseCall)) <= T0 + 2 * S


def test_redial_with_less_than_a_tick_left_is_answered() -> None:
    """Without an immediate check its time was over before the next tick, and it got no answer."""
    bench = Bench()
    call = bench.call(left_us=5 * MS, redialled=True)
    assert call in bench.final_answers


def test_timeout_at_the_deadline_gets_a_final_answer() -> None:
    bench = with_pool("a")
    call = bench.call(left_us=2 * S)
    bench.now += 2 * S
    bench.end_attempt(call, i.Outcome.TIMED_OUT)
    assert call in bench.final_answers


def test_call_that_may_not_run_twice_is_failed_not_resent() -> None:
    bench = with_pool("a", "b")
    call = bench.call(kind="once")
    bench.end_attempt(call, i.Outcome.TIMED_OUT)
    assert isinstance(bench.final_answers[call], i.FailCall)


@pytest.mark.parametrize("outcome", [i.Outcome.TIMED_OUT, i.Outcome.RESET, i.Outcome.CANCELLED])
def test_no_new_attempt_before_the_release_wait_is_over(outcome: i.Outcome) -> None:
    bench = with_pool("a", "b")
    call = bench.call(first=1)
    bench.end_attempt(call, outcome)
    bench.run_for(SETTINGS.release_wait_us - 1)
    assert len(bench.sends[call]) == 1
    bench.run_for(200 * MS)
    assert len(bench.sends[call]) == 2


def test_call_refused_by_a_full_server_is_tried_elsewhere_at_once() -> None:
    bench = with_pool("a", "b")
    call = bench.call(first=1)
    bench.end_attempt(call, i.Outcome.FULL, i.Cause.PROCESSOR_FULL)
    assert bench.where(call) == "b"


@pytest.mark.parametrize("state", [i.ServerState.DRAINING, i.ServerState.REMOVED])
def test_no_set_up_to_a_draining_or_removed_server(state: i.ServerState) -> None:
    bench = with_pool("a", "b")
    bench.feed(pool(entry("a", state), version=2, kind=i.ListKind.CHANGES))
    assert bench.where(bench.call(first=1)) == "b"


def test_server_missing_from_a_full_list_is_removed() -> None:
    bench = with_pool("a", "b")
    bench.feed(pool(entry("b"), version=2))
    assert bench.where(bench.call(first=1)) == "b"


def test_older_list_does_not_undo_a_drain() -> None:
    bench = with_pool("a", "b")
    bench.feed(pool(entry("a", i.ServerState.DRAINING), version=5, kind=i.ListKind.CHANGES))
    bench.feed(pool(entry("a"), entry("b"), version=4))
    assert bench.where(bench.call(first=1)) == "b"


def test_failed_list_is_ignored_and_empty_list_removes_all_servers() -> None:
    bench = with_pool("a")
    bench.feed(i.ServerList(2, i.ListKind.FAILED, ()))
    assert bench.where(bench.call(first=1)) == "a"
    bench.feed(i.ServerList(3, i.ListKind.WHOLE, ()))
    assert bench.where(bench.call(first=1)) is None


def test_subscribes_once_and_again_after_a_failure() -> None:
    bench = Bench(replace(SETTINGS, subscribe=True))
    assert i.Subscribe() in bench.feed(pool(entry("a")))
    assert i.Subscribe() not in bench.feed(pool(entry("a"), version=2))
    assert i.Subscribe() in bench.feed(i.ServerList(2, i.ListKind.FAILED, ()))


def cold_sends(fleet: list[Bench], server: str, span_us: int) -> int:
    """The maximum number of set-ups that all instances sent to a server within any span of this length."""
    times = [
        now
        for bench in fleet
        for now, action in bench.log
        if isinstance(action, i.SendSetup) and action.server == server
    ]
    return max((sum(start <= t < start + span_us for t in times) for start in times), default=0)


@pytest.mark.parametrize("replaced", [True, False])
def test_cold_server_is_paced_over_any_span(replaced: bool) -> None:
    """A restart under the same id and a replacement with a new id are paced alike."""
    bench = with_pool("a", "b")
    bench.answer_call(bench.call(first=2), delay_us=50 * MS)
    cold_server = "c" if replaced else "a"
    bench.feed(pool(entry(cold_server, started_us=T0), version=2, kind=i.ListKind.CHANGES))
    for _ in range(100):
        call = bench.call(first=3 if replaced else 1)
        if bench.where(call) == cold_server:
            bench.answer_call(call, delay_us=20 * MS)
        elif bench.where(call) is not None:
            bench.answer_call(call)
        bench.run_for(50 * MS)
    overload_setups = SETTINGS.fall_multiple * SETTINGS.cold_start_share * SETTINGS.fall_span_us / (20 * MS)
    assert (
        1 <= cold_sends([bench], cold_server, SETTINGS.fall_span_us) <= overload_setups / SETTINGS.instances
    )


def fleet_cold_sends(fleet_size: int, servers: int, rate: float) -> tuple[int, float]:
    """Set-ups that a whole fleet sends to one cold server in its worst span, and the number to overload it.

    Every instance learns of the start at the same moment and always has calls for the server.
    """
    site = replace(SETTINGS, instances=fleet_size)
    names = [f"w{n}" for n in range(servers - 1)]
    warm = tuple(i.ServerEntry(name, n, i.ServerState.SERVING, 0) for n, name in enumerate(names))
    fleet = [Bench(site, seed) for seed in range(fleet_size)]
    per_instance_us = round(S * fleet_size / rate)
    for number, bench in enumerate(fleet):
        bench.feed(pool(*warm))
        bench.now += number * per_instance_us // fleet_size
        for turn in range(12 * S // per_instance_us):
            bench.answer_call(bench.call(first=turn % len(names)), 20 * MS)
            bench.run_for(per_instance_us)
        bench.now = T0 + 12 * S
        bench.feed(
            pool(
                i.ServerEntry("cold", 99, i.ServerState.SERVING, bench.now),
                version=2,
                kind=i.ListKind.CHANGES,
            )
        )
        for _ in range(3 * S // per_instance_us):
            for _ in range(3):
                call = bench.call(first=99)
                if bench.where(call) == "cold":
                    bench.answer_call(call, 20 * MS)
            bench.run_for(per_instance_us)
    overload = site.fall_multiple * site.cold_start_share * rate / servers * site.fall_span_us / S
    return cold_sends(fleet, "cold", site.fall_span_us), overload


@pytest.mark.parametrize("fleet_size", [40, 280])
def test_a_fleet_does_not_overload_a_cold_server(fleet_size: int) -> None:
    """One set-up per instance and span was 280 at once, where a hundred overload the server."""
    max_sent, overload = fleet_cold_sends(fleet_size, servers=10, rate=2.5 * fleet_size)
    assert 0 < max_sent < overload


def test_unknown_and_ended_calls_are_ignored() -> None:
    bench = with_pool("a")
    bench.feed(i.CallEstablished(99, 0, "a", 10))
    bench.feed(i.CallEstablished(99, 0, "nowhere", 10))
    bench.feed(i.CallerAbandoned(99))
    bench.feed(i.TimerFired("stale"))
    bench.feed(i.PeerNote(3, b"noise"))
    bench.feed(i.LoadReports((("nowhere", i.LoadReport()),)))
    report = i.LoadReport(wait_us=1)
    bench.feed(i.AttemptEnded(99, 0, "nowhere", i.Outcome.RESET, True, 1, i.Cause.NONE, report))
    assert not [action for _, action in bench.log if not isinstance(action, i.SetTimer)]


STEPS = st.lists(
    st.tuples(st.sampled_from("cccccssrftuxnlegw"), st.integers(0, 40)), min_size=10, max_size=120
)


@settings(max_examples=80, deadline=None, derandomize=True)
@given(STEPS, st.integers(0, 5))
def test_rules_hold_over_random_histories(steps: list[tuple[str, int]], seed: int) -> None:
    """Bench checks each rule at every action; here it is checked that every call gets its final answer."""
    bench = with_pool("a", "b", seed=seed)
    version = 1
    for step, number in steps:
        out = sorted(bench.out)
        pick = out[number % len(out)] if out else None
        if step == "c":
            bench.call(("small", "great", "once")[number % 3], number % 4, (5 + 80 * number) * MS)
        elif step == "s" and pick is not None:
            bench.answer_call(pick, number * 40 * MS)
        elif step in "rftux" and pick is not None:
            outcome = {
                "r": i.Outcome.RESET,
                "f": i.Outcome.FULL,
                "t": i.Outcome.FAILED,
                "u": i.Outcome.UNREACHABLE,
                "x": i.Outcome.NOT_SENT,
            }[step]
            bench.end_attempt(pick, outcome, i.Cause.PROCESSOR_FULL if step == "f" else i.Cause.NONE)
        elif step in "nl":
            version += 1
            state = tuple(i.ServerState)[number % 3]
            started = bench.now if number % 2 else 0
            kind = i.ListKind.CHANGES if step == "n" else i.ListKind.WHOLE
            bench.feed(pool(entry("abc"[number % 3], state, started), version=version, kind=kind))
            if kind is i.ListKind.WHOLE:
                bench.not_serving |= set("abc") - {"abc"[number % 3]}
        elif step == "e":
            bench.report("abc"[number % 3], wait_us=number * 50 * MS, free=float(number % 5))
        elif step == "g" and bench.awaiting_answer:
            abandoned = sorted(bench.awaiting_answer)[number % len(bench.awaiting_answer)]
            del bench.awaiting_answer[abandoned]
            bench.out.pop(abandoned, None)
            bench.feed(i.CallerAbandoned(abandoned))
        else:
            bench.run_for(number * 10 * MS)
        assert not bench.overdue()
    bench.run_for(10 * S)
    assert not bench.awaiting_answer


def test_only_changes_of_state_are_logged() -> None:
    bench = with_pool("a", "b")
    bench.feed(pool(entry("a", i.ServerState.DRAINING), version=2, kind=i.ListKind.CHANGES))
    bench.feed(pool(entry("a", i.ServerState.DRAINING), version=3, kind=i.ListKind.CHANGES))
    bench.feed(pool(entry("b", started_us=T0), version=4, kind=i.ListKind.CHANGES))
    bench.feed(pool(entry("b", started_us=T0), version=5, kind=i.ListKind.CHANGES))
    logged = [action.text for _, action in bench.log if isinstance(action, i.Log)]
    assert logged == ["a is draining", "b started: paced while cold"]
