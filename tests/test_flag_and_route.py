"""The overload flag of a server, its marks and hold-off, and the choice of a server for a call."""

from __future__ import annotations

from dataclasses import replace

import pytest

from reedmount import interface as i
from tests.support import MS, NO_REPORT, SETTINGS, S, pool, with_pool


def report_long_waits(bench: object, server: str) -> None:
    for _ in range(4):
        bench.report(server, wait_us=2 * S)  # type: ignore[attr-defined]


def test_first_choice_is_used_while_unflagged() -> None:
    bench = with_pool("a", "b", "c")
    assert bench.where(bench.call(first=2)) == "b"


def test_first_choice_not_on_the_list_goes_elsewhere() -> None:
    bench = with_pool("a", "b")
    assert bench.where(bench.call(first=77)) in ("a", "b")


def test_reports_above_the_high_mark_raise_the_flag() -> None:
    bench = with_pool("a", "b")
    report_long_waits(bench, "a")
    assert bench.where(bench.call(first=1)) == "b"


def test_one_noisy_report_below_the_marks_raises_nothing() -> None:
    bench = with_pool("a", "b")
    bench.report("a", wait_us=150 * MS)
    assert bench.where(bench.call(first=1)) == "a"


@pytest.mark.parametrize("report", [i.LoadReport(), i.LoadReport(free_lines=5.0)])
def test_report_without_a_load_value_is_no_reading(report: i.LoadReport) -> None:
    bench = with_pool("a", "b")
    call = bench.call(first=1)
    bench.end_attempt(call, i.Outcome.FAILED, report=report)
    bench.run_for(5 * S)
    assert bench.where(bench.call(first=1)) == "a"


def test_one_processor_full_bars_the_server_for_at_least_the_floor() -> None:
    bench = with_pool("a")
    call = bench.call(first=1)
    bench.end_attempt(call, i.Outcome.FULL, i.Cause.PROCESSOR_FULL)
    assert bench.where(call) is None
    bench.run_for(199 * MS)
    assert bench.where(call) is None
    bench.run_for(1_500 * MS)
    assert bench.where(call) == "a"


def test_fresh_reading_between_the_marks_keeps_the_flag_up() -> None:
    bench = with_pool("a", "b")
    report_long_waits(bench, "a")
    for _ in range(30):
        bench.run_for(100 * MS)
        bench.report("a", wait_us=300 * MS)
    assert bench.where(bench.call(first=1)) == "b"


def test_reading_below_the_low_mark_lets_the_flag_drop_after_the_hold_off() -> None:
    bench = with_pool("a", "b")
    report_long_waits(bench, "a")
    bench.report("a", wait_us=0)
    assert bench.where(bench.call(first=1)) == "b"
    bench.run_for(1_500 * MS)
    bench.report("a", wait_us=0)
    assert bench.where(bench.call(first=1)) == "a"


def test_answers_slower_than_the_high_mark_raise_the_flag_without_reports() -> None:
    bench = with_pool("a", "b")
    for _ in range(3):
        call = bench.call(first=1)
        bench.answer_call(call, delay_us=900 * MS if bench.where(call) == "a" else 50 * MS)
    assert bench.where(bench.call(first=1)) == "b"


def test_unanswered_set_up_raises_the_flag() -> None:
    """A server that never answers gives no late answer or refusal that could count as a reading."""
    bench = with_pool("a", "b")
    assert bench.where(bench.call(first=1)) == "a"
    bench.run_for(600 * MS)
    assert bench.where(bench.call(first=1)) == "b"


def test_server_without_free_lines_is_skipped_until_it_reports_some() -> None:
    bench = with_pool("a", "b")
    bench.report("a", free=0)
    assert bench.where(bench.call(first=1)) == "b"
    bench.feed(i.LoadReports((("a", i.LoadReport(free_lines=3.0)),)))
    assert bench.where(bench.call(first=1)) == "a"


def test_last_successful_server_is_used_for_second_choices() -> None:
    bench = with_pool("a", "b", "c")
    bench.answer_call(bench.call(first=3))
    report_long_waits(bench, "a")
    for _ in range(5):
        call = bench.call(first=1)
        assert bench.where(call) == "c"
        bench.answer_call(call)


def test_random_draw_depends_on_the_seed_alone() -> None:
    def draws(seed: int) -> list[str | None]:
        bench = with_pool("a", "b", "c", seed=seed)
        return [bench.where(bench.call(first=77)) for _ in range(6)]

    assert draws(3) == draws(3)
    assert len({tuple(draws(seed)) for seed in range(12)}) > 1


def test_faults_in_a_row_raise_the_flag_and_a_rare_one_does_not() -> None:
    """A server with one fault in twenty answers is worth using; flagging it each time halved its capacity."""
    bench = with_pool("a", "b")
    for _ in range(8):
        bench.end_attempt(bench.call("once", first=1), i.Outcome.FAILED)
        call = bench.call(first=1)
        assert bench.where(call) == "a"
        bench.answer_call(call)
    for _ in range(4):
        bench.end_attempt(bench.call("once", first=1), i.Outcome.FAILED)
    assert bench.where(bench.call(first=1)) == "b"


def test_many_resets_at_once_count_as_one_failure() -> None:
    """A crash cuts dozens of calls; counted one by one they gave a hold-off of ten seconds."""
    bench = with_pool("a")
    for number in range(1000, 1040):
        bench.feed(i.AttemptEnded(number, 0, "a", i.Outcome.RESET, True, S, i.Cause.NONE, NO_REPORT))
    bench.run_for(1_100 * MS)
    assert bench.where(bench.call(first=1)) == "a"


@pytest.mark.parametrize(("outcome", "times"), [(i.Outcome.UNREACHABLE, 1), (i.Outcome.RESET, 3)])
def test_quick_failures_do_not_attract_calls(outcome: i.Outcome, times: int) -> None:
    bench = with_pool("a", "b")
    for _ in range(times):
        call = bench.call(first=1)
        assert bench.where(call) == "a"
        bench.end_attempt(call, outcome)
    assert bench.where(bench.call(first=1)) == "b"


def test_occasional_resets_do_not_raise_the_flag() -> None:
    """If each garbled answer raised the flag, half of all calls were refused."""
    bench = with_pool("a", "b")
    for _ in range(6):
        bench.end_attempt(bench.call(first=1), i.Outcome.RESET)
        call = bench.call(first=1)
        assert bench.where(call) == "a"
        bench.answer_call(call)


def test_a_fault_counts_against_the_server_once_the_call_is_set_up_elsewhere() -> None:
    bench = with_pool("a", "b")
    for turn in range(4):
        call = bench.call(first=1)
        assert bench.where(call) == "a", turn
        bench.end_attempt(call, i.Outcome.FAILED)
        assert bench.where(call) == "b", "not the same server again while there is another"
        bench.answer_call(call)
    assert bench.where(bench.call(first=1)) == "b"


def test_a_call_that_fails_everywhere_is_given_up_and_raises_no_flag() -> None:
    """Calls that no server can take were sent four times and flagged each server for all other calls."""
    bench = with_pool("a", "b")
    for _ in range(8):
        call = bench.call(first=1)
        bench.end_attempt(call, i.Outcome.FAILED)
        bench.end_attempt(call, i.Outcome.FAILED)
        assert call in bench.final_answers and len(bench.sends[call]) == 2
    assert bench.where(bench.call(first=1)) == "a"


def test_state_of_removed_servers_is_deleted() -> None:
    """With replacements under new ids all day, each event processed every server there had ever been."""
    bench = with_pool("a")
    for number in range(300):
        started = i.ServerEntry(f"s{number}", 100 + number, i.ServerState.SERVING, 0)
        removed = i.ServerEntry(f"s{number}", 100 + number, i.ServerState.REMOVED, 0)
        for version, item in ((2 * number + 2, started), (2 * number + 3, removed)):
            bench.feed(pool(item, version=version, kind=i.ListKind.CHANGES))
    assert len(bench.controller._servers) == 1 and len(bench.controller._throughput) <= 66
    assert bench.where(bench.call(first=1)) == "a"


def test_new_settings_apply_at_once() -> None:
    bench = with_pool("a")
    bench.controller.apply_settings(replace(SETTINGS, max_attempts=1))
    call = bench.call(first=1)
    bench.end_attempt(call, i.Outcome.NOT_SENT)
    assert call in bench.final_answers


def hold_off_us(failures: int, seed: int) -> int:
    """The hold-off of the only server after so many failures in a row."""
    bench = with_pool("a", seed=seed)
    for turn in range(failures):
        call = bench.call(first=1, left_us=60 * S)
        while bench.where(call) is None:
            bench.run_for(20 * MS)
            if call in bench.final_answers:
                call = bench.call(first=1, left_us=60 * S)
        start = bench.now
        bench.end_attempt(call, i.Outcome.UNREACHABLE)
        if turn < failures - 1:
            bench.feed(i.CallerAbandoned(call))
            bench.awaiting_answer.pop(call)
    while bench.where(call) is None:
        bench.run_for(20 * MS)
        if call in bench.final_answers:
            call = bench.call(first=1, left_us=60 * S)
    return bench.now - start


def test_failures_in_a_row_lengthen_the_hold_off() -> None:
    once, thrice = (sum(hold_off_us(failures, seed) for seed in range(8)) for failures in (1, 3))
    assert thrice > 1.5 * once


@pytest.mark.parametrize("fleet_size", [7, 280])
def test_trials_of_a_fleet_do_not_exceed_the_capacity_of_a_server(fleet_size: int) -> None:
    """When each instance tried an overloaded server twice a second, 280 of them kept its queue full.

    A third of all calls have it as first choice; at most half as many may be sent to it as trials.
    """
    sent = 0
    for seed in range(fleet_size):
        bench = with_pool("a", "b", "c", seed=seed, instances=fleet_size)
        bench.report("a", free=90.0, lines=100.0)
        for server in ("b", "c"):
            bench.report(server, free=300.0, lines=400.0)
        rate_us = S * fleet_size // 280
        for turn in range(20 * S // rate_us):
            call = bench.call(first=1 + turn % 3)
            if bench.where(call) == "a":
                sent += 1
                bench.end_attempt(call, i.Outcome.FULL, i.Cause.PROCESSOR_FULL)
            if bench.where(call) is not None:
                bench.answer_call(call)
            bench.run_for(rate_us)
    assert sent < 20 * 280 / 3 / 2


def test_a_server_without_free_lines_is_not_retried_at_once() -> None:
    """Outdated reports of free lines made calls use up all their attempts within milliseconds."""
    bench = with_pool("a")
    call = bench.call(first=1)
    bench.end_attempt(call, i.Outcome.FULL, i.Cause.NO_LINE, i.LoadReport(free_lines=2.0))
    assert bench.where(call) is None
    bench.run_for(2 * S)
    assert bench.where(call) == "a"


def test_calls_to_a_busy_number_wait_and_raise_no_flag() -> None:
    """A crowd dialling one number made every server look faulty, and its redials used up the processors."""
    bench = with_pool("a", "b")
    for number in ("hot", "warm", "full"):
        busy = bench.call(first=1, number=number, left_us=400 * MS)
        bench.end_attempt(busy, i.Outcome.FAILED, i.Cause.NUMBER_BUSY)
    assert bench.where(bench.call(first=1, number="other")) == "a"
    again = bench.call(first=1, number="hot")
    assert bench.where(again) is None
    bench.answer_call(bench.next_call - 2)
    bench.run_for(2_100 * MS)
    assert bench.where(again) == "a"


def test_an_overtaken_set_up_is_cancelled_and_tried_elsewhere() -> None:
    """A server with a single queue answers in order, so the first of these set-ups is lost."""
    bench = with_pool("a", "b")
    lost, later = bench.call(first=1), bench.call(first=1)
    bench.run_for(20 * MS)
    after = bench.call(first=1)
    for call in (later, after):
        if bench.where(call) == "a":
            bench.answer_call(call)
    newest = bench.call(first=1)
    assert bench.where(newest) == "a"
    bench.answer_call(newest)
    bench.run_for(500 * MS)
    assert i.CancelAttempt(lost, 0) in [action for _, action in bench.log]
    assert bench.where(bench.call(first=1)) == "a"
    bench.end_attempt(lost, i.Outcome.CANCELLED)
    bench.run_for(400 * MS)
    assert len(bench.sends[lost]) == 2


def test_one_lost_answer_does_not_keep_the_flag_up() -> None:
    """The oldest unanswered set-up kept the flag up for nine seconds (incident i3346e4)."""
    bench = with_pool("a", "b")
    lost = bench.call(first=1, left_us=9 * S)
    bench.run_for(5 * S)
    assert bench.where(lost) == "a"
    assert bench.where(bench.call(first=1)) == "a"


def test_trials_do_not_accumulate_at_a_server_whose_answers_take_seconds() -> None:
    """Trials of ten instances kept a queue of 3.5 s at each slow server (incident i621aa6)."""
    bench = with_pool("a")
    bench.answer_call(bench.call(left_us=9 * S), delay_us=3 * S)
    bench.run_for(S)
    out = [bench.call(left_us=9 * S) for _ in range(3)]
    for _ in range(50):
        bench.run_for(100 * MS)
        assert sum(bench.where(call) is not None for call in out) <= 1
    assert any(bench.where(call) for call in out)


def test_the_hold_off_is_long_enough_to_drain_a_long_queue() -> None:
    bench = with_pool("a", "b")
    bench.answer_call(bench.call(first=1, left_us=9 * S), delay_us=4 * S)
    bench.run_for(1_500 * MS)
    assert bench.where(bench.call(first=1)) == "b"


def test_the_window_opens_for_a_distant_server_without_a_queue() -> None:
    """With a window of two and a long round trip, calls waited while the server idled."""
    bench = with_pool("a")
    due: list[tuple[int, int]] = []
    for turn in range(400):
        bench.run_for(20 * MS)
        for at, call in [item for item in due if item[0] <= bench.now]:
            due.remove((at, call))
            bench.answer_call(call, 250 * MS)
        if turn % 3 == 0:
            bench.call(first=1)
        due += [(bench.now + 250 * MS, call) for call in bench.out if all(call != known for _, known in due)]
    held = [call for call in bench.awaiting_answer if call not in bench.out]
    assert len(held) <= 1 and not bench.final_answers
    for _ in range(6):
        bench.call(first=1)
    bench.run_for(100 * MS)
    before = bench.controller._servers["a"].window
    for call in list(bench.out)[:4]:
        bench.answer_call(call, 600 * MS)
    assert bench.controller._servers["a"].window < before, "a queue shrinks the window"
