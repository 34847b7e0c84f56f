"""What sources say of call servers, the rule where they disagree, and the difference for the core."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from itertools import permutations, product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reedmount.net.connection import format_address
from reedmount.pool.claims import Claim, ClaimState, Endpoint
from reedmount.pool.pool import MAX_MARKS, MAX_SERVERS, Change, ExpiryPolicy, Pool
from reedmount.pool.rule import Rule, decide

T0 = datetime(2026, 12, 1, tzinfo=UTC)
S = timedelta(seconds=1)
A, B, C = ("192.0.2.1", 5060), ("192.0.2.2", 5060), ("2001:db8::3", 5060)
GONE, DRAINING = ClaimState.GONE, ClaimState.DRAINING

# Every pair of words of two sources, once in each order, and what holds: written down, not computed.
PAIRS = {
    "unnamed unnamed": "UNNAMED", "unnamed serving": "SERVING", "unnamed stale": "KEPT",
    "unnamed expired": "EXPIRED", "unnamed draining": "DRAINING", "unnamed gone": "GONE",
    "serving serving": "SERVING", "serving stale": "SERVING", "serving expired": "SERVING",
    "serving draining": "DRAINING", "serving gone": "GONE", "stale stale": "KEPT", "stale expired": "KEPT",
    "stale draining": "DRAINING", "stale gone": "GONE", "expired expired": "EXPIRED",
    "expired draining": "DRAINING", "expired gone": "GONE", "draining draining": "DRAINING",
    "draining gone": "GONE", "gone gone": "GONE",
}  # fmt: skip
# Three where the third changes what two had: the safer of all three holds.
TRIPLES = {
    "serving serving gone": "GONE", "serving stale draining": "DRAINING",
    "expired expired serving": "SERVING",
    "stale expired unnamed": "KEPT", "serving draining gone": "GONE", "expired unnamed gone": "GONE",
    "stale serving expired": "SERVING", "draining serving unnamed": "DRAINING",
}  # fmt: skip


def claim(
    place: Endpoint, word: ClaimState = ClaimState.SERVING, started: datetime | None = None, **more: object
) -> Claim:
    return Claim(place, str(more.pop("name", format_address(place))), word, started=started, **more)  # type: ignore[arg-type]


class World:
    """A pool of three sources and what it has told so far."""

    def __init__(self, past: ExpiryPolicy = ExpiryPolicy.DRAIN, *sources: str) -> None:
        self.now = T0
        self.pool = Pool(T0, sources or ("list", "zone", "srv"), past)
        self.told: dict[Endpoint, Change] = {}

    def whole(self, source: str, *claims: Claim, fresh: timedelta | None = None, **more: object) -> None:
        for part in self.pool.full_update(self.now, source, claims, fresh_for=fresh, **more):  # type: ignore[arg-type]
            self.take(part.changes)

    def news(self, source: str, *claims: Claim) -> None:
        self.take(self.pool.partial_update(self.now, source, claims))

    def wait(self, span: timedelta) -> None:
        self.now += span
        for part in self.pool.lapse(self.now):
            self.take(part.changes)

    def take(self, changes: list[Change]) -> None:
        for change in changes:
            if change.removed:
                del self.told[change.entry.endpoint]
            else:
                self.told[change.entry.endpoint] = change

    def serving(self) -> set[Endpoint]:
        return {place for place, change in self.told.items() if change.entry.serves}

    def started(self, place: Endpoint) -> datetime | None:
        return self.told[place].entry.started


@pytest.mark.parametrize(("pair", "rule"), PAIRS.items())
def test_every_pair_of_words_has_its_stated_rule(pair: str, rule: str) -> None:
    words = [ClaimState(word) for word in pair.split()]
    assert decide(words) is decide(words[::-1]) is Rule[rule]


def test_the_pairs_are_all_there_are() -> None:
    written = {frozenset(pair.split()) for pair in PAIRS}
    assert written == {frozenset((a.value, b.value)) for a, b in product(ClaimState, ClaimState)}


@pytest.mark.parametrize(("three", "rule"), TRIPLES.items())
def test_three_words_in_any_order(three: str, rule: str) -> None:
    for words in permutations(ClaimState(word) for word in three.split()):
        assert decide(words) is Rule[rule]


def test_srv_lists_a_server_that_the_list_calls_gone() -> None:
    world = World()
    world.whole("list", claim(A), claim(B))
    world.whole("srv", claim(A), claim(B))
    world.news("list", claim(A, GONE))
    assert world.serving() == {B} and world.told[A].entry.rule is Rule.GONE
    world.whole("srv", claim(A), claim(B))
    world.wait(timedelta(days=2))
    assert world.serving() == {B}, "another source's naming takes nothing back"
    world.news("list", claim(A, started=T0 - 60 * S))
    assert world.serving() == {A, B}, "the same source has taken it back"


def test_word_that_a_server_is_gone_holds_against_one_that_names_it_only_later() -> None:
    """The list removes a server; the first answer of a slow resolver names it still."""
    world = World()
    world.whole("list", claim(A), claim(B))
    world.news("list", claim(A, GONE))
    assert A not in world.told
    world.now += S
    world.whole("srv", claim(A), claim(B))
    assert world.serving() == {B}
    world.whole("srv", claim(B))
    world.now += timedelta(minutes=11)
    world.whole("srv", claim(A), claim(B))
    assert world.serving() == {A, B} and world.started(A) == world.now, "the mark has a bound; it is cold"


def test_the_list_forgets_a_server_that_srv_still_names() -> None:
    world = World()
    world.whole("list", claim(A), claim(B))
    world.whole("srv", claim(A), claim(B))
    world.whole("list", claim(B))
    assert world.serving() == {B}
    world.whole("srv", claim(B))
    assert A not in world.told, "named by nobody: removed"


def test_a_failed_answer_never_drains_and_an_outage_ends_at_its_bound() -> None:
    world = World()
    world.whole("list", claim(A))
    world.whole("srv", claim(A), claim(B), fresh=30 * S, keep_for=60 * S)
    for _ in range(5):
        world.pool.source_failed("srv", "timeout")
    world.wait(31 * S)
    assert world.serving() == {A, B} and world.told[B].entry.rule is Rule.KEPT
    assert world.pool.sources["srv"].parts[""].failures == 5
    world.wait(60 * S)
    assert world.serving() == {A} and world.told[B].entry.rule is Rule.EXPIRED
    world.whole("srv", claim(A), claim(B), fresh=30 * S, keep_for=60 * S)
    assert world.serving() == {A, B} and world.started(B) == world.now, "it comes back: it counts as cold"
    assert world.started(A) is None


def test_as_a_last_resort_expired_servers_serve_only_while_there_is_no_other() -> None:
    world = World(ExpiryPolicy.LAST_RESORT)
    world.whole("srv", claim(A), claim(B), fresh=30 * S, keep_for=60 * S)
    world.wait(91 * S)
    assert world.serving() == {A, B} and world.told[A].entry.rule is Rule.LAST_RESORT
    assert world.started(A) is None, "nothing has started: it went on serving"
    world.news("list", claim(C))
    assert world.serving() == {C}
    world.news("list", claim(C, GONE))
    assert world.serving() == {A, B}


def test_a_complete_answer_that_names_nobody_is_a_drain_of_its_own_servers_alone() -> None:
    world = World()
    world.whole("list", claim(A))
    world.whole("srv", claim(B))
    world.whole("srv")
    assert world.serving() == {A}


def test_what_comes_after_the_start_or_comes_back_is_cold_and_what_was_there_is_not() -> None:
    world = World()
    world.whole("list", claim(A))
    world.now += S
    world.whole("srv", claim(A), claim(B))
    assert world.started(A) is None and world.started(B) is None, "the first word of each, at the start"
    world.now += 2 * S
    world.whole("srv", claim(A), claim(B), claim(C))
    assert world.started(C) == world.now
    world.whole("srv", claim(A), claim(C))
    world.now += S
    world.whole("srv", claim(A), claim(B), claim(C))
    assert B not in world.told or world.started(B) == world.now
    assert world.started(A) is None


def test_a_first_answer_long_after_the_start_names_cold_servers() -> None:
    """All name servers were dead at the start: what they know an hour later may have started since."""
    world = World()
    world.whole("list", claim(A))
    world.now += timedelta(hours=1)
    world.whole("srv", claim(A), claim(B))
    assert world.started(A) is None and world.started(B) == world.now


def test_a_cold_server_named_by_two_sources_at_different_moments_starts_once() -> None:
    world = World()
    world.whole("list", claim(A))
    world.whole("srv", claim(A))
    world.now += 20 * S
    world.whole("srv", claim(A), claim(B))
    first = world.now
    world.now += 5 * S
    world.news("list", claim(B, started=first - 2 * S))
    assert world.started(B) == first, "the earlier start changes nothing; it is no second one"
    world.now += 5 * S
    world.news("list", claim(B, started=first + 8 * S))
    assert world.started(B) == first + 8 * S, "a later start is another process"


def test_a_start_known_to_a_second_source_makes_a_server_cold_that_dns_took_for_warm() -> None:
    world = World()
    world.whole("srv", claim(A))
    world.whole("list", claim(A, started=T0 - 2 * S))
    assert world.started(A) == T0 - 2 * S


def test_word_of_an_older_process_does_not_end_the_one_that_has_its_address_now() -> None:
    world = World()
    world.whole("list", claim(A, name="c-1"))
    world.now += S
    world.news("list", claim(A, name="c-2", started=world.now))
    world.news("list", claim(A, GONE, name="c-1"))
    assert world.serving() == {A} and world.told[A].entry.name == "c-2"


def test_a_drain_that_is_undone_by_its_own_source_keeps_the_start_that_it_knows() -> None:
    world = World()
    world.whole("list", claim(A, started=T0 - 5 * S))
    world.news("list", claim(A, DRAINING, started=T0 - 5 * S))
    assert not world.serving()
    world.now += 5 * S
    world.news("list", claim(A, started=T0 - 5 * S))
    assert world.serving() == {A} and world.started(A) == T0 - 5 * S


def test_parts_of_one_source_are_whole_by_themselves() -> None:
    """Two SRV names, over TCP and UDP: a server that leaves one of them is still named by the other."""
    world = World()
    world.whole("srv", claim(A, transport="tcp"), claim(B, transport="tcp"), part="tcp")
    world.whole("srv", claim(A, transport="udp"), part="udp")
    world.whole("srv", claim(B, transport="tcp"), part="tcp")
    assert world.serving() == {A, B} and world.told[A].entry.transport == "udp"
    world.whole("srv", part="udp")
    assert world.serving() == {B}


def test_a_part_that_the_operator_takes_away_counts_no_more() -> None:
    world = World()
    world.whole("list", claim(A), claim(B))
    world.whole("srv", claim(A), claim(C))
    world.whole("srv", claim(C))
    assert world.serving() == {B, C}
    world.take(world.pool.drop_part(world.now, "srv", ""))
    assert world.serving() == {A, B} and world.started(A) == world.now


def test_rank_and_transport_come_from_the_first_source_that_knows_them() -> None:
    world = World()
    world.whole("list", claim(A, transport="udp"))
    world.whole("srv", claim(A, transport="tcp", priority=20, weight=7))
    entry = world.told[A].entry
    assert (entry.transport, entry.priority, entry.weight) == ("udp", 20, 7)


def test_servers_marks_and_numbers_are_bounded() -> None:
    world = World()
    places = [(f"10.{n // 65536}.{n // 256 % 256}.{n % 256}", 5060) for n in range(MAX_SERVERS + 50)]
    world.whole("srv", *(claim(place) for place in places))
    assert len(world.pool.entries) == MAX_SERVERS
    assert len({entry.number for entry in world.pool.entries.values()}) == MAX_SERVERS
    world.whole("srv", claim(A))
    for turn in range(3):
        world.news("list", *(claim((f"10.9.{turn}.{n}", n + 1), GONE) for n in range(2000)))
    assert list(world.told) == [A]
    assert len(world.pool._marks) <= MAX_MARKS
    world.now += timedelta(minutes=11)
    world.news("list", claim(B))
    assert len(world.pool._marks) == 0 and set(world.pool.sources["list"].sayings) == {B}


def test_leaving_ones_come_first_and_no_slice_is_long() -> None:
    world = World()
    places = [("10.0.0.1", port) for port in range(1, 1001)]
    world.whole("srv", *(claim(place) for place in places))
    slices = list(
        world.pool.full_update(world.now, "srv", [claim(("10.0.0.2", port)) for port in range(1, 1001)])
    )
    leaving = [any(change.removed for change in part.changes) for part in slices if part.changes]
    assert leaving == sorted(leaving, reverse=True) == [part.urgent for part in slices if part.changes]
    assert max(len(part.changes) for part in slices if not part.urgent) <= 16
    assert max(len(part.changes) for part in slices) <= 128


def test_a_server_that_a_long_list_says_drains_is_in_its_first_slice() -> None:
    world = World()
    places = [("10.0.0.1", port) for port in range(1, 201)]
    world.whole("list", *(claim(place) for place in places))
    said = [*(claim(place) for place in places[:-1]), claim(places[-1], DRAINING)]
    first = next(part for part in world.pool.full_update(world.now, "list", said) if part.changes)
    assert [change.entry.endpoint for change in first.changes] == [places[-1]] and first.urgent


def test_a_newer_word_holds_against_a_long_answer_that_is_still_being_taken() -> None:
    world = World()
    places = [("10.0.0.1", port) for port in range(1, 201)]
    world.whole("list", *(claim(place) for place in places))
    taking = world.pool.full_update(world.now, "list", [claim(place) for place in places])
    next(taking)
    world.news("list", claim(places[-1], DRAINING))
    for part in taking:
        world.take(part.changes)
    assert world.told[places[-1]].entry.rule is Rule.DRAINING
    older = world.pool.full_update(world.now, "list", [claim(place) for place in (*places, A)])
    next(older)
    world.whole("list", *(claim(place) for place in places[:100]))
    for part in older:
        world.take(part.changes)
    assert world.serving() == set(places[:100]), "a newer complete answer ends the one before"
    dropped = world.pool.full_update(world.now, "list", [claim(place) for place in places])
    next(dropped)
    world.take(world.pool.drop_part(world.now, "list", ""))
    assert not [part for part in dropped if part.changes] and not world.told


words = st.sampled_from((ClaimState.SERVING, ClaimState.DRAINING, ClaimState.GONE))
says = st.tuples(st.sampled_from(("list", "srv")), st.sampled_from((A, B, C)), words, st.booleans())


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(says, st.integers(0, 40)), max_size=25))
def test_whatever_is_said_in_whatever_order_no_server_serves_that_a_source_calls_leaving(
    events: list[tuple[tuple[str, Endpoint, ClaimState, bool], int]],
) -> None:
    """A referee that only remembers the last word of each source, and the answers' lifetimes."""
    world = World()
    last: dict[tuple[str, Endpoint], ClaimState] = {}
    starts: dict[Endpoint, datetime] = {}
    for (source, place, word, whole), pause in events:
        world.now += pause * S
        serving = world.serving()
        if whole and word is ClaimState.SERVING:
            world.whole(source, claim(place), fresh=10 * S, keep_for=1000 * S)
            for other in (A, B, C):
                if last.get((source, other)) is not None and other != place:
                    last[source, other] = ClaimState.GONE
        else:
            world.news(source, claim(place, word))
        last[source, place] = word
        for other in world.serving():
            assert ClaimState.SERVING in (last.get(("list", other)), last.get(("srv", other)))
            assert not {last.get(("list", other)), last.get(("srv", other))} & {
                ClaimState.DRAINING,
                ClaimState.GONE,
            }
            started = world.started(other)
            if other not in serving and other in starts:
                assert started == world.now, "what comes back is cold"
            starts[other] = started or T0
        assert all(entry.endpoint == place for place, entry in world.pool.entries.items())
