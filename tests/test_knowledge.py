"""What members tell each other of call servers: it only ages, one alone carries nothing, the safer wins."""

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


def observation(by: str, window: int = 400, **changes: object) -> Observation:
    fields = {"age_ms": 0, "state": ListState.SERVING, "window": window, "delay_us": 20_000, **changes}
    return Observation("s1", by, **fields)  # type: ignore[arg-type]


def joined(*observations: Observation, others: int = 7, after: timedelta = 0 * S) -> Belief:
    knowledge = Knowledge("me")
    knowledge.receive(START, observations)
    (belief,) = knowledge.beliefs(START + after, others)
    return belief


@given(st.lists(st.tuples(st.integers(0, 4000), st.integers(0, 50)), min_size=1, max_size=8))
def test_hearsay_never_gets_younger_however_it_travels(hands: list[tuple[int, int]]) -> None:
    """Kept so long and so long on the way, hand after hand, by clocks that do not know each other."""
    now = true_ms = 0
    reported = [observation("n1")]
    for number, (kept_ms, way_ms) in enumerate(hands):
        here = START + number * timedelta(days=number) + now * MS  # each by a clock of its own
        knowledge = ObservationGossip(f"hand{number}", 6)
        true_ms += way_ms
        knowledge.receive(here, reported)
        true_ms += kept_ms
        reported = knowledge.all_observations(here + kept_ms * MS)
        if true_ms > MAX_OBSERVATION_AGE / MS:
            assert not reported
        if not reported:
            return
        assert reported[0].age_ms >= true_ms


def test_one_member_alone_carries_nothing_whether_it_lies_or_is_stale() -> None:
    assert joined(observation("liar", 1_000_000, delay_us=0)).window is None
    assert joined(observation("liar", 1_000_000), observation("n1")).window is None, (
        "two of seven are too few"
    )
    for lie in (0, 1, 1_000_000):
        belief = joined(
            observation("liar", lie or 1, delay_us=lie), observation("n1", 300), observation("n2", 500)
        )
        assert belief.window is not None and 3 <= belief.window <= 5 or lie == 0
        assert belief.delay_us == 20_000
    stale = observation("old", 9000, age_ms=9000)
    assert joined(stale, observation("n1"), observation("n2"), after=2 * HALF_LIFE - 8 * S).window is None
    assert joined(observation("n1"), others=1).window == 4, "where there is one other, it is all there is"


def test_a_flag_holds_as_long_as_half_of_those_who_know_say() -> None:
    one = joined(observation("n1", hold_off_ms=3000), observation("n2"), observation("n3"))
    two = joined(observation("n1", hold_off_ms=3000), observation("n2", hold_off_ms=1000), observation("n3"))
    assert one.flagged_until is None
    assert two.flagged_until is not None and two.flagged_until <= START + S


def test_a_drain_a_removal_or_a_start_that_anyone_saw_wins_for_a_bounded_time() -> None:
    well = [observation(f"n{n}") for n in range(5)]
    for state in (ListState.DRAINING, ListState.REMOVED):
        seen = observation("n9", state=state)
        assert joined(*well, seen).held_back_until is not None
        assert joined(*well, seen, after=HOLD_TIME).held_back_until is None
    cold = joined(*well, observation("n9", cold_ms=1500))
    assert cold.cold_since is not None and START - cold.cold_since < 2 * S
    assert joined(*well).cold_since is None and joined(*well).held_back_until is None


def test_of_an_observer_what_was_seen_later_counts_and_of_ourselves_nothing() -> None:
    knowledge = Knowledge("me")
    assert knowledge.receive(START, [observation("n1", 100, age_ms=500), observation("me", 900)]) == 1
    assert knowledge.receive(START, [observation("n1", 300, age_ms=2000)]) == 0
    assert knowledge.receive(START + S, [observation("n1", 200, age_ms=100)]) == 1
    (belief,) = knowledge.beliefs(START + S, others=1)
    assert belief.window == 2 and belief.observers == 1
    knowledge.observe(START, observation("me", 700))
    assert {stored.observation.by for _, by_observer in knowledge for stored in by_observer} == {"n1", "me"}


def test_what_is_kept_and_told_is_bounded_and_each_server_has_its_turn() -> None:
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
    many.receive(START, [observation(f"n{n}", age_ms=n * 10) for n in range(MAX_OBSERVERS + 9)])
    (belief,) = many.beliefs(START, 99)
    assert belief.observers == MAX_OBSERVERS
    many.forget(START + MAX_OBSERVATION_AGE + S)
    assert not len(many)
