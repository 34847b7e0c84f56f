"""Simulated fleets of the real control module: effects that are harmless in one instance but not in many."""

from __future__ import annotations

from dataclasses import asdict, replace

import pytest

from reedmount import interface as i
from reedmount.control import Controller
from standins.fleet.figures import Result
from standins.fleet.fleet import Fleet
from standins.fleet.settings import Callers, Day, Net, days, module_settings


def run_day(name: str, seed: int = 1, **changes: object) -> Result:
    day = replace(days()[name], instances=40, servers=8, length_s=24.0)
    return Fleet(replace(day, **changes), seed).run()  # type: ignore[arg-type]


@pytest.fixture(scope="module")
def calm() -> Result:
    return run_day("calm")


def test_a_run_is_reproducible_from_its_seed() -> None:
    short = {"length_s": 4.0, "instances": 12}
    first, again, other = (run_day("calm", seed, **short) for seed in (3, 3, 4))
    assert asdict(first) == asdict(again)
    assert asdict(first) != asdict(other)


def test_overflow_does_not_cascade_to_second_choices(calm: Result) -> None:
    """Without lines reserved for first choices, 0.38 of the calls were established at a second choice, and
    0.056 found no free line."""
    assert calm.second < 0.25
    assert calm.no_line < 0.05


def test_every_caller_is_answered_before_it_gives_up(calm: Result) -> None:
    assert calm.unanswered == 0


def test_no_cold_server_is_overloaded_when_60_percent_are_replaced() -> None:
    joined = run_day("join")
    assert joined.fell == 0 and joined.unanswered == 0


def test_restart_of_70_percent_of_instances_overloads_no_server() -> None:
    """They restart with their last list, without windows or delays, and connect to every server."""
    herd = run_day("herd")
    assert herd.fell == 0 and herd.service > 0.5
    assert herd.most_connections < 40 * 8


def test_a_cut_off_zone_affects_only_its_own_calls() -> None:
    assert run_day("cut").service > 0.6


def test_very_uneven_load_of_instances_is_served() -> None:
    uneven = run_day("calm", callers=Callers(variation=3.0, load=0.8))
    assert uneven.unanswered == 0 and uneven.service > 0.85


def test_flags_raised_at_the_same_time_are_lowered_at_different_times() -> None:
    """One full server refuses 200 instances at once, each of which has a call waiting for it."""
    settings, lowered_at = module_settings(Day(instances=200)), []
    gap_us = settings.resend_gap_us
    for seed in range(200):
        module = Controller(settings, seed)
        only = (i.ServerEntry("s", 0, i.ServerState.SERVING, 0),)
        module.handle(0, i.ServerList(1, i.ListKind.WHOLE, only))
        until = 20 * gap_us
        assert i.SendSetup(1, "s", until) in module.handle(
            0, i.NewCall(1, "quote-call", None, "1", 0, until, False, False)
        )
        report = i.LoadReport()
        full = i.AttemptEnded(1, 0, "s", i.Outcome.FULL, False, 9000, i.Cause.PROCESSOR_FULL, report)
        assert not [a for a in module.handle(9000, full) if isinstance(a, i.SendSetup)]
        # One call per tick, so that one is held at whatever time the flag is lowered.
        for now in range(9000, until, 10_000):
            call = i.NewCall(now, "quote-call", None, "1", 0, now + until, False, False)
            if any(isinstance(a, i.SendSetup) for a in module.handle(now, call)):
                lowered_at.append(now)
                break
    assert len(lowered_at) == 200
    within_50_ms = max(sum(at <= other < at + 50_000 for other in lowered_at) for at in lowered_at)
    assert within_50_ms < 200 / 4, "more than a quarter of the flags were lowered within 50 ms"


def test_instances_that_first_use_a_server_while_it_is_cold_do_not_overload_it() -> None:
    """60 % of the servers are replaced, and 70 % of the instances restart while these are cold."""
    outcome = run_day("join", faults=(("replace", 8.0, 0.6), ("deaths", 15.0, 0.7)))
    assert outcome.fell == 0 and outcome.service > 0.4


def test_a_list_update_delayed_at_half_of_the_instances_overloads_no_server() -> None:
    """Half of the instances get the new servers 3 s after the others and use the old ones until then."""
    late = run_day("join", net=Net(half_extra_delay_s=3.0))
    assert late.fell == 0 and late.unanswered == 0 and late.service > 0.5


def test_counters_of_instances_and_servers_agree() -> None:
    """The sends of all instances equal the set-ups of all servers, except for any in transit."""
    fleet = Fleet(Day(instances=10, servers=4, length_s=3.0), 1)
    outcome = fleet.run()
    assert fleet.figures.sends == sum(server.tally.set_ups for server in fleet.all_servers)
    assert sum(server.tally.established for server in fleet.all_servers) >= fleet.figures.outcomes["stands"]
    assert outcome.calls == fleet.figures.offered > 0
    # Only calls established at the end of the day still hold a line.
    assert all(0 <= server.lines_in_use <= server.tally.established for server in fleet.all_servers)


def test_restarted_half_reaches_the_service_of_the_others_within_ten_seconds() -> None:
    """With and without an exchange: 4 of 8 instances are killed at 15 s, with 4 servers at a load of 0.9."""
    for exchange in (False, True):
        changes = {
            "instances": 8,
            "servers": 4,
            "length_s": 32.0,
            "callers": Callers(load=0.9, variation=0.3),
        }
        gaps = []
        for seed in range(1, 5):
            faults = (("restart", 15.0, 0.5),)
            fleet = Fleet(replace(days()["calm"], **changes, faults=faults, exchange=exchange), seed)  # type: ignore[arg-type]
            result = fleet.run()
            assert result.fell == 0
            others, down = (fleet.figures.service_of(part, 26, 32) for part in (range(4, 8), range(4)))
            gaps.append(others - down)
        assert sum(gaps) / len(gaps) < 0.1
