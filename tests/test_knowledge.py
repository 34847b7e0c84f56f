"""What members tell each other of call servers: it only ages, one alone carries nothing, the safer wins."""

from __future__ import annotations

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from reedmount.members.knowledge import (
    HALF_LIFE,
    HELD_BACK,
    MAX_OBSERVERS,
    MAX_SERVERS,
    OLDEST,
    Belief,
    Fact,
    Knowledge,
    ListState,
)  # fmt: skip
from reedmount.members.observation_gossip import Rumours
from standins.gossip.net import START

MS, S = timedelta(milliseconds=1), timedelta(seconds=1)


def fact(by: str, window: int = 400, **changes: object) -> Fact:
    fields = {"age_ms": 0, "state": ListState.SERVING, "window": window, "delay_us": 20_000, **changes}
    return Fact("s1", by, **fields)  # type: ignore[arg-type]


def joined(*facts: Fact, others: int = 7, after: timedelta = 0 * S) -> Belief:
    knowledge = Knowledge("me")
    knowledge.told(START, facts)
    (belief,) = knowledge.beliefs(START + after, others)
    return belief


@given(st.lists(st.tuples(st.integers(0, 4000), st.integers(0, 50)), min_size=1, max_size=8))
def test_hearsay_never_gets_younger_however_it_travels(hands: list[tuple[int, int]]) -> None:
    """Kept so long and so long on the way, hand after hand, by clocks that do not know each other."""
    now = true_ms = 0
    said = [fact("n1")]
    for number, (kept_ms, way_ms) in enumerate(hands):
        here = START + number * timedelta(days=number) + now * MS  # each by a clock of its own
        knowledge = Rumours(f"hand{number}", 6)
        true_ms += way_ms
        knowledge.told(here, said)
        true_ms += kept_ms
        said = knowledge.all_facts(here + kept_ms * MS)
        if true_ms > OLDEST / MS:
            assert not said
        if not said:
            return
        assert said[0].age_ms >= true_ms


def test_one_member_alone_carries_nothing_whether_it_lies_or_is_stale() -> None:
    assert joined(fact("liar", 1_000_000, delay_us=0)).window is None
    assert joined(fact("liar", 1_000_000), fact("n1")).window is None, "two of seven are too few"
    for lie in (0, 1, 1_000_000):
        belief = joined(fact("liar", lie or 1, delay_us=lie), fact("n1", 300), fact("n2", 500))
        assert belief.window is not None and 3 <= belief.window <= 5 or lie == 0
        assert belief.delay_us == 20_000
    stale = fact("old", 9000, age_ms=9000)
    assert joined(stale, fact("n1"), fact("n2"), after=2 * HALF_LIFE - 8 * S).window is None
    assert joined(fact("n1"), others=1).window == 4, "where there is one other, it is all there is"


def test_a_flag_holds_as_long_as_half_of_those_who_know_say() -> None:
    one = joined(fact("n1", rest_ms=3000), fact("n2"), fact("n3"))
    two = joined(fact("n1", rest_ms=3000), fact("n2", rest_ms=1000), fact("n3"))
    assert one.flagged_until is None
    assert two.flagged_until is not None and two.flagged_until <= START + S


def test_a_drain_a_removal_or_a_start_that_anyone_saw_wins_for_a_bounded_time() -> None:
    well = [fact(f"n{n}") for n in range(5)]
    for state in (ListState.DRAINING, ListState.REMOVED):
        seen = fact("n9", state=state)
        assert joined(*well, seen).held_back_until is not None
        assert joined(*well, seen, after=HELD_BACK).held_back_until is None
    cold = joined(*well, fact("n9", cold_ms=1500))
    assert cold.cold_since is not None and START - cold.cold_since < 2 * S
    assert joined(*well).cold_since is None and joined(*well).held_back_until is None


def test_of_an_observer_what_was_seen_later_counts_and_of_ourselves_nothing() -> None:
    knowledge = Knowledge("me")
    assert knowledge.told(START, [fact("n1", 100, age_ms=500), fact("me", 900)]) == 1
    assert knowledge.told(START, [fact("n1", 300, age_ms=2000)]) == 0
    assert knowledge.told(START + S, [fact("n1", 200, age_ms=100)]) == 1
    (belief,) = knowledge.beliefs(START + S, others=1)
    assert belief.window == 2 and belief.observers == 1
    knowledge.saw(START, fact("me", 700))
    assert {heard.fact.by for _, kept in knowledge for heard in kept} == {"n1", "me"}


def test_what_is_kept_and_told_is_bounded_and_each_server_has_its_turn() -> None:
    knowledge = Knowledge("me")
    servers = [Fact(f"s{n}", "n1", 0, ListState.SERVING) for n in range(MAX_SERVERS + 5)]
    assert knowledge.told(START, servers) == MAX_SERVERS == len(knowledge)
    rumours, told = Rumours("me", 1), []
    rumours.told(START, servers)
    while len(rumours):
        waiting, facts = rumours.next_facts(START)
        told += [item.server for item in facts]
        rumours.sent(waiting, 7)
    assert len(told) == len(set(told)) == MAX_SERVERS
    many = Knowledge("me")
    many.told(START, [fact(f"n{n}", age_ms=n * 10) for n in range(MAX_OBSERVERS + 9)])
    (belief,) = many.beliefs(START, 99)
    assert belief.observers == MAX_OBSERVERS
    many.forget(START + OLDEST + S)
    assert not len(many)
