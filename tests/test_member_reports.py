"""Call servers by hearsay: it holds back and paces, within bounds, and never adds a server or keeps one."""

from __future__ import annotations

from datetime import datetime, timedelta

from hypothesis import given
from hypothesis import strategies as st

from reedmount.members.knowledge import HELD_BACK, MAX_WAY, Fact, Knowledge, ListState
from reedmount.members.observation_gossip import Rumours
from reedmount.members.record import State
from reedmount.members.server_reports import Hearsay, Verdict
from reedmount.net.connection import format_address
from reedmount.pool.claims import Claim, ClaimState
from reedmount.pool.pool import Change, Pool
from reedmount.pool.rule import Rule
from standins.gossip.net import START, Group, Link

S, MS = timedelta(seconds=1), timedelta(milliseconds=1)
SERVERS = [f"192.0.2.{number}:5060" for number in range(6)]
COLD = 14 * S


def leaving(server: str, by: str, state: ListState = ListState.REMOVED, age_ms: int = 0) -> Fact:
    return Fact(server, by, age_ms, state)


class Ear:
    """One member's hearsay of six call servers, all of them served by its own sources at first."""

    def __init__(self) -> None:
        self.knowledge = Knowledge("me")
        self.hearsay = Hearsay(self.knowledge, COLD)
        self.ours = set(SERVERS)

    def hear(self, now: datetime, *facts: Fact) -> Verdict:
        self.knowledge.told(now, facts)
        return self.look(now)

    def look(self, now: datetime) -> Verdict:
        return self.hearsay.look(now, self.ours.__contains__, len(self.ours))


def test_a_server_that_another_saw_leave_is_held_back_until_our_sources_have_had_their_time() -> None:
    ear = Ear()
    verdict = ear.hear(START, leaving(SERVERS[0], "n1", age_ms=1000))
    assert verdict.held[SERVERS[0]].by == ("n1",)
    assert verdict.due == START + HELD_BACK - S - MAX_WAY, "from when it was seen, not from when it was told"
    assert not ear.look(verdict.due).held and not ear.hearsay.doubted.names
    again = ear.hear(START + 20 * S, leaving(SERVERS[0], "n1"))
    assert list(again.held) == SERVERS[:1]
    back = ear.hear(START + 21 * S, Fact(SERVERS[0], "n1", 0, ListState.SERVING))
    assert not back.held, "who saw it leave saw it come back"


def test_no_member_takes_more_than_half_of_the_servers_away_whatever_it_says() -> None:
    ear = Ear()
    verdict = ear.hear(START, *(leaving(server, "liar") for server in SERVERS))
    assert len(verdict.held) == 3
    both = ear.hear(START + S, *(leaving(server, "n2") for server in SERVERS[-2:]))
    assert len(both.held) == 3 and set(SERVERS[-2:]) <= set(both.held), "what two have seen goes first"
    ear.ours = {SERVERS[0]}
    assert not ear.look(START + 2 * S).held, "the last one serves"


def test_whose_word_is_not_borne_out_again_and_again_is_not_taken_for_a_while() -> None:
    ear, now = Ear(), START
    for _ in range(4):
        assert ear.hear(now, leaving(SERVERS[0], "liar")).held
        now += HELD_BACK
        ear.look(now)
    assert ear.hearsay.doubted.names == ["liar"]
    assert not ear.hear(now, leaving(SERVERS[0], "liar")).held
    assert ear.hear(now, leaving(SERVERS[1], "n2")).held, "others are believed as before"
    later = now + timedelta(minutes=3)
    assert ear.hear(later, leaving(SERVERS[0], "liar")).held


def test_word_that_our_sources_bear_out_costs_its_teller_nothing() -> None:
    ear, now = Ear(), START
    for server in SERVERS[:4]:
        assert server in ear.hear(now, leaving(server, "n1")).held
        ear.ours.remove(server)
        now += HELD_BACK
        assert server not in ear.look(now).held
    assert not ear.hearsay.doubted.names


def test_one_start_seen_late_by_some_is_one_start() -> None:
    """Each later start would begin the server anew in the module, and forget what it learnt of it."""
    ear = Ear()
    first = ear.hear(START, Fact(SERVERS[0], "n1", 0, ListState.SERVING, cold_ms=500)).starts
    for number in range(2, 6):
        late = Fact(SERVERS[0], f"n{number}", 0, ListState.SERVING, cold_ms=0)
        assert ear.hear(START + number * S, late).starts == first
    again = Fact(SERVERS[0], "n2", 0, ListState.SERVING, cold_ms=0)
    assert ear.hear(START + 12 * S, again).starts[SERVERS[0]] > first[SERVERS[0]] + 10 * S
    assert not ear.look(START + 27 * S).starts, "warm by now"


def test_one_observation_that_comes_by_several_ways_is_news_once() -> None:
    rumours = Rumours("me", 6)
    assert len(rumours.told(START, [leaving(SERVERS[0], "n1", age_ms=300)])) == 1
    for age_ms in (250, 150, 400):
        assert not rumours.told(START, [leaving(SERVERS[0], "n1", age_ms=age_ms)])
    assert rumours.told(START + S, [Fact(SERVERS[0], "n1", 0, ListState.SERVING)])
    told = 0
    while len(rumours):
        told += 1
        rumours.sent(rumours.next_facts(START + S)[0], 7)
    assert told == 6, "times ceil(log10(8)), one word of one server"


words = st.sampled_from([ClaimState.SERVING, ClaimState.DRAINING, ClaimState.GONE])


@given(st.lists(st.tuples(st.integers(0, 2), words | st.booleans()), max_size=20))
def test_hearsay_neither_adds_a_server_nor_keeps_one_and_its_end_is_no_start(
    steps: list[tuple[int, ClaimState | bool]],
) -> None:
    """Beside a pool that hears nothing: what serves is the same but for those held back."""
    pools = [Pool(START, ["list"]) for _ in range(2)]
    held: set[str] = set()
    now = START + timedelta(minutes=1)
    for number, step in steps:
        now += S
        place = ("192.0.2.1", 5060 + number)
        if isinstance(step, ClaimState):
            for pool in pools:
                pool.partial_update(now, "list", [Claim(place, format_address(place), step)])
        else:
            (held.add if step else held.discard)(format_address(place))
            pools[1].apply_member_reports(now, held, {})
        deaf, hearing = ({entry.server: entry for entry in pool.entries.values()} for pool in pools)
        assert deaf.keys() == hearing.keys() and pools[0].vouched_count == pools[1].vouched_count
        for server, entry in hearing.items():
            assert entry.serves == (deaf[server].serves and server not in held)
            assert entry.ours == deaf[server].serves and entry.seen == deaf[server].seen
            assert entry.rule is Rule.HEARSAY or entry.rule is deaf[server].rule


def test_a_start_that_others_saw_is_told_to_the_core_and_its_end_is_not() -> None:
    pool = Pool(START, ["list"])
    place = ("192.0.2.1", 5060)
    for _ in pool.full_update(START, "list", [Claim(place, "a")]):
        pass
    server, entry = format_address(place), pool.entries[place]
    assert entry.started is None
    assert (
        pool.apply_member_reports(START + S, set(), {server: START}) == [Change(entry)]
        and entry.started == START
    )
    assert pool.apply_member_reports(START + 2 * S, set(), {server: START}) == []
    assert pool.apply_member_reports(START + 3 * S, set(), {"192.0.2.9:5060": START}) == [Change(entry)]
    assert entry.started is None and entry.seen is None


def test_a_group_tells_all_of_a_drain_and_a_newcomer_of_a_start_while_datagrams_get_lost() -> None:
    group = Group(16, 5, link=Link(loss=0.2, delay_s=(0.004, 0.024)))
    group.start()
    group.run(8, group.agreed)
    group.run(2)
    first = group.nodes["n0"]
    assert first.protocol is not None
    group.carry_out(first, first.protocol.saw(group.clock(first), leaving(SERVERS[0], "n0")))
    began = group.now_s

    def know(server: str) -> int:
        return sum(
            node.protocol is not None and node.protocol.rumours.knowledge.get(server, "n0") is not None
            for node in group.running()
        )

    assert group.run(2, lambda: know(SERVERS[0]) == 16), know(SERVERS[0])
    assert group.now_s - began < 1.0
    group.run(3)
    assert not any(len(node.protocol.rumours) for node in group.running() if node.protocol), "told and done"
    started = Fact(SERVERS[1], "n0", 0, ListState.SERVING, cold_ms=0)
    group.carry_out(first, first.protocol.saw(group.clock(first), started))
    group.run(1)
    group.kill("n9")
    group.run(0.5)
    group.start(["n9"])
    assert group.run(3, lambda: know(SERVERS[1]) == 16), "a newcomer meets a server while it is cold"
    assert group.state("n0", "n9") is not State.DEAD


def test_a_guest_s_word_of_call_servers_is_not_taken() -> None:
    group = Group(3, 1)
    guest = group.add("stranger", ("10.9.9.9", 7946))
    group.start()
    group.run(3)
    assert guest.protocol is not None
    group.carry_out(guest, guest.protocol.saw(group.clock(guest), leaving(SERVERS[0], "stranger")))
    group.run(3)
    for node in group.nodes.values():
        assert node.protocol is not None
        knows = node.protocol.rumours.knowledge.get(SERVERS[0], "stranger")
        assert (knows is None) == (node is not guest)
