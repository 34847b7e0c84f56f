"""Call server observations: they only age, a single observer decides nothing, and the safer state wins."""

from __future__ import annotations

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from reedmount.members.knowledge import (
    HALF_LIFE,
    HOLD_TIME,
    MAX_OBSERVATION_AGE,
    MAX_OBSERVERS,
    MAX_SERVERS,
    Belief,
    Knowledge,
    ListState,
    Observation,
)  # fmt: skip
from reedmount.members.observation_gossip import ObservationGossip
from standins.gossip.net import START

MS, S = timedelta(milliseconds=1), timedelta(seconds=1)


def observed(by: str, window: int = 400, **changes: object) -> Observation:
    fields = {"age_ms": 0, "state": ListState.SERVING, "window": window, "delay_us": 20_000, **changes}
    return Observation("s1", by, **fields)  # type: ignore[arg-type]


def derive(*observations: Observation, others: int = 7, after: timedelta = 0 * S) -> Belief:
    knowledge = Knowledge("me")
    knowledge.receive(START, observations)
    (belief,) = knowledge.beliefs(START + after, others)
    return belief


@given(st.lists(st.tuples(st.integers(0, 4000), st.integers(0, 50)), min_size=1, max_size=8))
def test_an_observation_never_gets_younger_in_transit(hops: list[tuple[int, int]]) -> None:
    """Stored and delayed at each hop by members with unrelated clocks."""
    now = true_ms = 0
    reported = [observed("n1")]
    for number, (stored_ms, delay_ms) in enumerate(hops):
        here = START + number * timedelta(days=number) + now * MS  # each with a clock of its own
        knowledge = ObservationGossip(f"hand{number}", 6)
        true_ms += delay_ms
        knowledge.receive(here, reported)
        true_ms += stored_ms
        reported = knowledge.all_observations(here + stored_ms * MS)
        if true_ms > MAX_OBSERVATION_AGE / MS:
            assert not reported
        if not reported:
            return
        assert reported[0].age_ms >= true_ms


def test_a_single_observer_decides_nothing_whether_wrong_or_stale() -> None:
    assert derive(observed("liar", 1_000_000, delay_us=0)).window is None
    assert derive(observed("liar", 1_000_000), observed("n1")).window is None, "two of seven are too few"
    for wrong in (0, 1, 1_000_000):
        belief = derive(
            observed("liar", wrong or 1, delay_us=wrong), observed("n1", 300), observed("n2", 500)
        )
        assert belief.window is not None and 3 <= belief.window <= 5 or wrong == 0
        assert belief.delay_us == 20_000
    stale = observed("old", 9000, age_ms=9000)
    assert derive(stale, observed("n1"), observed("n2"), after=2 * HALF_LIFE - 8 * S).window is None
    assert derive(observed("n1"), others=1).window == 4, "with one other member, its observation is used"


def test_a_flag_holds_for_the_median_reported_hold_off() -> None:
    one = derive(observed("n1", hold_off_ms=3000), observed("n2"), observed("n3"))
    two = derive(observed("n1", hold_off_ms=3000), observed("n2", hold_off_ms=1000), observed("n3"))
    assert one.flagged_until is None
    assert two.flagged_until is not None and two.flagged_until <= START + S


def test_a_drain_removal_or_start_by_any_observer_wins_for_a_bounded_time() -> None:
    well = [observed(f"n{n}") for n in range(5)]
    for state in (ListState.DRAINING, ListState.REMOVED):
        seen = observed("n9", state=state)
        assert derive(*well, seen).held_back_until is not None
        assert derive(*well, seen, after=HOLD_TIME).held_back_until is None
    cold = derive(*well, observed("n9", cold_ms=1500))
    assert cold.cold_since is not None and START - cold.cold_since < 2 * S
    assert derive(*well).cold_since is None and derive(*well).held_back_until is None


def test_the_latest_observation_per_observer_counts_and_our_own_name_is_rejected() -> None:
    knowledge = Knowledge("me")
    assert knowledge.receive(START, [observed("n1", 100, age_ms=500), observed("me", 900)]) == 1
    assert knowledge.receive(START, [observed("n1", 300, age_ms=2000)]) == 0
    assert knowledge.receive(START + S, [observed("n1", 200, age_ms=100)]) == 1
    (belief,) = knowledge.beliefs(START + S, others=1)
    assert belief.window == 2 and belief.observers == 1
    knowledge.observe(START, observed("me", 700))
    assert {stored.observation.by for _, by_observer in knowledge for stored in by_observer} == {"n1", "me"}


def test_storage_and_gossip_are_bounded_and_each_server_is_sent_once() -> None:
    knowledge = Knowledge("me")
    servers = [Observation(f"s{n}", "n1", 0, ListState.SERVING) for n in range(MAX_SERVERS + 5)]
    assert knowledge.receive(START, servers) == MAX_SERVERS == len(knowledge)
    gossip, sent = ObservationGossip("me", 1), []
    gossip.receive(START, servers)
    while len(gossip):
        waiting, observations = gossip.next_observations(START)
        sent += [item.server for item in observations]
        gossip.sent(waiting, 7)
    assert len(sent) == len(set(sent)) == MAX_SERVERS
    many = Knowledge("me")
    many.receive(START, [observed(f"n{n}", age_ms=n * 10) for n in range(MAX_OBSERVERS + 9)])
    (belief,) = many.beliefs(START, 99)
    assert belief.observers == MAX_OBSERVERS
    many.forget(START + MAX_OBSERVATION_AGE + S)
    assert not len(many)
