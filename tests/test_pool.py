"""Claims of sources, the rule that merges them, and the resulting changes for the core."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from itertools import permutations, product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reedmount.net.connection import format_address
from reedmount.pool.claims import Claim, ClaimState, Endpoint
from reedmount.pool.pool import MAX_SERVERS, MAX_TOMBSTONES, Change, ExpiryPolicy, Pool
from reedmount.pool.rule import Rule, decide

T0 = datetime(2026, 12, 1, tzinfo=UTC)
S = timedelta(seconds=1)
A, B, C = ("192.0.2.1", 5060), ("192.0.2.2", 5060), ("2001:db8::3", 5060)
GONE, DRAINING = ClaimState.GONE, ClaimState.DRAINING

# The rule for each pair of states of two sources, in either order: written out, not computed.
PAIRS = {
    "unnamed unnamed": "UNNAMED", "unnamed serving": "SERVING", "unnamed stale": "KEPT",
    "unnamed expired": "EXPIRED", "unnamed draining": "DRAINING", "unnamed gone": "GONE",
    "serving serving": "SERVING", "serving stale": "SERVING", "serving expired": "SERVING",
    "serving draining": "DRAINING", "serving gone": "GONE", "stale stale": "KEPT", "stale expired": "KEPT",
    "stale draining": "DRAINING", "stale gone": "GONE", "expired expired": "EXPIRED",
    "expired draining": "DRAINING", "expired gone": "GONE", "draining draining": "DRAINING",
    "draining gone": "GONE", "gone gone": "GONE",
}  # fmt: skip
# Combinations of three, in which the third changes the result of two: the safest of all three decides.
TRIPLES = {
    "serving serving gone": "GONE", "serving stale draining": "DRAINING",
    "expired expired serving": "SERVING",
    "stale expired unnamed": "KEPT", "serving draining gone": "GONE", "expired unnamed gone": "GONE",
    "stale serving expired": "SERVING", "draining serving unnamed": "DRAINING",
}  # fmt: skip


def claim(
    endpoint: Endpoint,
    state: ClaimState = ClaimState.SERVING,
    started: datetime | None = None,
    **more: object,
) -> Claim:
    return Claim(endpoint, str(more.pop("name", format_address(endpoint))), state, started=started, **more)  # type: ignore[arg-type]


class World:
    """A pool of three sources, and the latest change that it has reported for each server."""

    def __init__(self, expiry_policy: ExpiryPolicy = ExpiryPolicy.DRAIN, *sources: str) -> None:
        self.now = T0
        self.pool = Pool(T0, sources or ("list", "zone", "srv"), expiry_policy)
        self.latest: dict[Endpoint, Change] = {}

    def full(self, source: str, *claims: Claim, fresh: timedelta | None = None, **more: object) -> None:
        for part in self.pool.full_update(self.now, source, claims, fresh_for=fresh, **more):  # type: ignore[arg-type]
            self.take(part.changes)

    def partial(self, source: str, *claims: Claim) -> None:
        self.take(self.pool.partial_update(self.now, source, claims))

    def wait(self, span: timedelta) -> None:
        self.now += span
        for part in self.pool.apply_expiry(self.now):
            self.take(part.changes)

    def take(self, changes: list[Change]) -> None:
        for change in changes:
            if change.removed:
                del self.latest[change.entry.endpoint]
            else:
                self.latest[change.entry.endpoint] = change

    def serving(self) -> set[Endpoint]:
        return {endpoint for endpoint, change in self.latest.items() if change.entry.serves}

    def started(self, endpoint: Endpoint) -> datetime | None:
        return self.latest[endpoint].entry.started


@pytest.mark.parametrize(("pair", "rule"), PAIRS.items())
def test_each_pair_of_states_gives_the_tabled_rule(pair: str, rule: str) -> None:
    states = [ClaimState(state) for state in pair.split()]
    assert decide(states) is decide(states[::-1]) is Rule[rule]


def test_the_table_has_all_pairs_of_states() -> None:
    written = {frozenset(pair.split()) for pair in PAIRS}
    assert written == {frozenset((a.value, b.value)) for a, b in product(ClaimState, ClaimState)}


@pytest.mark.parametrize(("three", "rule"), TRIPLES.items())
def test_three_states_give_the_tabled_rule_in_any_order(three: str, rule: str) -> None:
    for states in permutations(ClaimState(state) for state in three.split()):
        assert decide(states) is Rule[rule]


def test_a_server_removed_by_the_list_stays_out_while_srv_names_it() -> None:
    world = World()
    world.full("list", claim(A), claim(B))
    world.full("srv", claim(A), claim(B))
    world.partial("list", claim(A, GONE))
    assert world.serving() == {B} and world.latest[A].entry.rule is Rule.GONE
    world.full("srv", claim(A), claim(B))
    world.wait(timedelta(days=2))
    assert world.serving() == {B}, "another source's claim does not undo the removal"
    world.partial("list", claim(A, started=T0 - 60 * S))
    assert world.serving() == {A, B}, "the same source undoes its removal"


def test_a_removal_holds_against_a_source_that_names_the_server_later() -> None:
    """The list removes a server, and the first answer of a slow resolver still names it."""
    world = World()
    world.full("list", claim(A), claim(B))
    world.partial("list", claim(A, GONE))
    assert A not in world.latest
    world.now += S
    world.full("srv", claim(A), claim(B))
    assert world.serving() == {B}
    world.full("srv", claim(B))
    world.now += timedelta(minutes=11)
    world.full("srv", claim(A), claim(B))
    assert world.serving() == {A, B} and world.started(A) == world.now, (
        "the tombstone has expired; the server is cold"
    )


def test_a_server_missing_from_the_list_stays_out_while_srv_names_it() -> None:
    world = World()
    world.full("list", claim(A), claim(B))
    world.full("srv", claim(A), claim(B))
    world.full("list", claim(B))
    assert world.serving() == {B}
    world.full("srv", claim(B))
    assert A not in world.latest, "no source names it: removed"


def test_failed_answers_drain_no_server_until_the_stale_limit() -> None:
    world = World()
    world.full("list", claim(A))
    world.full("srv", claim(A), claim(B), fresh=30 * S, keep_for=60 * S)
    for _ in range(5):
        world.pool.source_failed("srv", "timeout")
    world.wait(31 * S)
    assert world.serving() == {A, B} and world.latest[B].entry.rule is Rule.KEPT
    assert world.pool.sources["srv"].parts[""].failures == 5
    world.wait(60 * S)
    assert world.serving() == {A} and world.latest[B].entry.rule is Rule.EXPIRED
    world.full("srv", claim(A), claim(B), fresh=30 * S, keep_for=60 * S)
    assert world.serving() == {A, B} and world.started(B) == world.now, "it returns and counts as cold"
    assert world.started(A) is None


def test_last_resorts_serve_only_while_no_other_server_does() -> None:
    world = World(ExpiryPolicy.LAST_RESORT)
    world.full("srv", claim(A), claim(B), fresh=30 * S, keep_for=60 * S)
    world.wait(91 * S)
    assert world.serving() == {A, B} and world.latest[A].entry.rule is Rule.LAST_RESORT
    assert world.started(A) is None, "it never stopped serving"
    world.partial("list", claim(C))
    assert world.serving() == {C}
    world.partial("list", claim(C, GONE))
    assert world.serving() == {A, B}


def test_an_empty_answer_drains_only_the_servers_of_its_own_source() -> None:
    world = World()
    world.full("list", claim(A))
    world.full("srv", claim(B))
    world.full("srv")
    assert world.serving() == {A}


def test_servers_are_cold_that_are_added_after_startup_or_return() -> None:
    world = World()
    world.full("list", claim(A))
    world.now += S
    world.full("srv", claim(A), claim(B))
    assert world.started(A) is None and world.started(B) is None, (
        "the first answer of each source, at startup"
    )
    world.now += 2 * S
    world.full("srv", claim(A), claim(B), claim(C))
    assert world.started(C) == world.now
    world.full("srv", claim(A), claim(C))
    world.now += S
    world.full("srv", claim(A), claim(B), claim(C))
    assert B not in world.latest or world.started(B) == world.now
    assert world.started(A) is None


def test_servers_of_a_first_answer_long_after_startup_are_cold() -> None:
    """With all name servers dead at startup, servers that they name an hour later may have started since."""
    world = World()
    world.full("list", claim(A))
    world.now += timedelta(hours=1)
    world.full("srv", claim(A), claim(B))
    assert world.started(A) is None and world.started(B) == world.now


def test_a_cold_server_named_by_two_sources_at_different_times_starts_once() -> None:
    world = World()
    world.full("list", claim(A))
    world.full("srv", claim(A))
    world.now += 20 * S
    world.full("srv", claim(A), claim(B))
    first = world.now
    world.now += 5 * S
    world.partial("list", claim(B, started=first - 2 * S))
    assert world.started(B) == first, "an earlier start time is not a second start"
    world.now += 5 * S
    world.partial("list", claim(B, started=first + 8 * S))
    assert world.started(B) == first + 8 * S, "a later start time is another process"


def test_a_start_time_from_a_second_source_makes_a_server_cold() -> None:
    world = World()
    world.full("srv", claim(A))
    world.full("list", claim(A, started=T0 - 2 * S))
    assert world.started(A) == T0 - 2 * S


def test_the_removal_of_an_older_process_spares_its_successor_at_the_address() -> None:
    world = World()
    world.full("list", claim(A, name="c-1"))
    world.now += S
    world.partial("list", claim(A, name="c-2", started=world.now))
    world.partial("list", claim(A, GONE, name="c-1"))
    assert world.serving() == {A} and world.latest[A].entry.name == "c-2"


def test_a_revoked_drain_keeps_the_known_start_time() -> None:
    world = World()
    world.full("list", claim(A, started=T0 - 5 * S))
    world.partial("list", claim(A, DRAINING, started=T0 - 5 * S))
    assert not world.serving()
    world.now += 5 * S
    world.partial("list", claim(A, started=T0 - 5 * S))
    assert world.serving() == {A} and world.started(A) == T0 - 5 * S


def test_parts_of_one_source_are_updated_independently() -> None:
    """With SRV names for TCP and UDP, a server that leaves one of them is still named by the other."""
    world = World()
    world.full("srv", claim(A, transport="tcp"), claim(B, transport="tcp"), part="tcp")
    world.full("srv", claim(A, transport="udp"), part="udp")
    world.full("srv", claim(B, transport="tcp"), part="tcp")
    assert world.serving() == {A, B} and world.latest[A].entry.transport == "udp"
    world.full("srv", part="udp")
    assert world.serving() == {B}


def test_a_dropped_part_no_longer_counts() -> None:
    world = World()
    world.full("list", claim(A), claim(B))
    world.full("srv", claim(A), claim(C))
    world.full("srv", claim(C))
    assert world.serving() == {B, C}
    world.take(world.pool.drop_part(world.now, "srv", ""))
    assert world.serving() == {A, B} and world.started(A) == world.now


def test_rank_and_transport_come_from_the_first_source_that_gives_them() -> None:
    world = World()
    world.full("list", claim(A, transport="udp"))
    world.full("srv", claim(A, transport="tcp", priority=20, weight=7))
    entry = world.latest[A].entry
    assert (entry.transport, entry.priority, entry.weight) == ("udp", 20, 7)


def test_entries_and_tombstones_are_bounded_and_numbers_unique() -> None:
    world = World()
    endpoints = [(f"10.{n // 65536}.{n // 256 % 256}.{n % 256}", 5060) for n in range(MAX_SERVERS + 50)]
    world.full("srv", *(claim(endpoint) for endpoint in endpoints))
    assert len(world.pool.entries) == MAX_SERVERS
    assert len({entry.number for entry in world.pool.entries.values()}) == MAX_SERVERS
    world.full("srv", claim(A))
    for turn in range(3):
        world.partial("list", *(claim((f"10.9.{turn}.{n}", n + 1), GONE) for n in range(2000)))
    assert list(world.latest) == [A]
    assert len(world.pool._tombstones) <= MAX_TOMBSTONES
    world.now += timedelta(minutes=11)
    world.partial("list", claim(B))
    assert len(world.pool._tombstones) == 0 and set(world.pool.sources["list"].statements) == {B}


def test_leaving_servers_come_first_and_slices_are_bounded() -> None:
    world = World()
    endpoints = [("10.0.0.1", port) for port in range(1, 1001)]
    world.full("srv", *(claim(endpoint) for endpoint in endpoints))
    slices = list(
        world.pool.full_update(world.now, "srv", [claim(("10.0.0.2", port)) for port in range(1, 1001)])
    )
    leaving = [any(change.removed for change in part.changes) for part in slices if part.changes]
    assert leaving == sorted(leaving, reverse=True) == [part.urgent for part in slices if part.changes]
    assert max(len(part.changes) for part in slices if not part.urgent) <= 16
    assert max(len(part.changes) for part in slices) <= 128


def test_a_draining_server_is_in_the_first_slice_of_a_long_list() -> None:
    world = World()
    addresses = [("10.0.0.1", port) for port in range(1, 201)]
    world.full("list", *(claim(address) for address in addresses))
    claims = [*(claim(address) for address in addresses[:-1]), claim(addresses[-1], DRAINING)]
    first = next(part for part in world.pool.full_update(world.now, "list", claims) if part.changes)
    assert [change.entry.endpoint for change in first.changes] == [addresses[-1]] and first.urgent


def test_a_newer_update_takes_precedence_over_one_still_being_applied() -> None:
    world = World()
    endpoints = [("10.0.0.1", port) for port in range(1, 201)]
    world.full("list", *(claim(endpoint) for endpoint in endpoints))
    update = world.pool.full_update(world.now, "list", [claim(endpoint) for endpoint in endpoints])
    next(update)
    world.partial("list", claim(endpoints[-1], DRAINING))
    for part in update:
        world.take(part.changes)
    assert world.latest[endpoints[-1]].entry.rule is Rule.DRAINING
    superseded = world.pool.full_update(world.now, "list", [claim(endpoint) for endpoint in (*endpoints, A)])
    next(superseded)
    world.full("list", *(claim(endpoint) for endpoint in endpoints[:100]))
    for part in superseded:
        world.take(part.changes)
    assert world.serving() == set(endpoints[:100]), "a newer full update ends the one before"
    interrupted = world.pool.full_update(world.now, "list", [claim(endpoint) for endpoint in endpoints])
    next(interrupted)
    world.take(world.pool.drop_part(world.now, "list", ""))
    assert not [part for part in interrupted if part.changes] and not world.latest


states = st.sampled_from((ClaimState.SERVING, ClaimState.DRAINING, ClaimState.GONE))
reports = st.tuples(st.sampled_from(("list", "srv")), st.sampled_from((A, B, C)), states, st.booleans())


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(reports, st.integers(0, 40)), max_size=25))
def test_no_server_serves_that_a_source_reports_as_leaving(
    events: list[tuple[tuple[str, Endpoint, ClaimState, bool], int]],
) -> None:
    """Checked against a model of the last state from each source and of the answers' lifetimes."""
    world = World()
    last_states: dict[tuple[str, Endpoint], ClaimState] = {}
    known_starts: dict[Endpoint, datetime] = {}
    for (source, address, state, full), pause in events:
        world.now += pause * S
        serving = world.serving()
        if full and state is ClaimState.SERVING:
            world.full(source, claim(address), fresh=10 * S, keep_for=1000 * S)
            for other in (A, B, C):
                if last_states.get((source, other)) is not None and other != address:
                    last_states[source, other] = ClaimState.GONE
        else:
            world.partial(source, claim(address, state))
        last_states[source, address] = state
        for other in world.serving():
            assert ClaimState.SERVING in (last_states.get(("list", other)), last_states.get(("srv", other)))
            assert not {last_states.get(("list", other)), last_states.get(("srv", other))} & {
                ClaimState.DRAINING,
                ClaimState.GONE,
            }
            started = world.started(other)
            if other not in serving and other in known_starts:
                assert started == world.now, "a server that returns is cold"
            known_starts[other] = started or T0
        assert all(entry.endpoint == address for address, entry in world.pool.entries.items())
