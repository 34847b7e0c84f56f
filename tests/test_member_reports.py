"""Other members' reports hold back and pace call servers within bounds, and never add or keep a server."""

from __future__ import annotations

from datetime import datetime, timedelta

from hypothesis import given
from hypothesis import strategies as st

from reedmount.members.knowledge import HOLD_TIME, MAX_HOP_DELAY, Knowledge, ListState, Observation
from reedmount.members.observation_gossip import ObservationGossip
from reedmount.members.record import State
from reedmount.members.server_reports import Evaluation, ReportEvaluator
from reedmount.net.connection import format_address
from reedmount.pool.claims import Claim, ClaimState
from reedmount.pool.pool import Change, Pool
from reedmount.pool.rule import Rule
from standins.gossip.net import START, Group, Link

S, MS = timedelta(seconds=1), timedelta(milliseconds=1)
SERVERS = [f"192.0.2.{number}:5060" for number in range(6)]
COLD = 14 * S


def leaving(server: str, by: str, state: ListState = ListState.REMOVED, age_ms: int = 0) -> Observation:
    return Observation(server, by, age_ms, state)


class Receiver:
    """One member that receives reports of six call servers, all serving in its own sources at first."""

    def __init__(self) -> None:
        self.knowledge = Knowledge("me")
        self.evaluator = ReportEvaluator(self.knowledge, COLD)
        self.ours = set(SERVERS)

    def deliver(self, now: datetime, *observations: Observation) -> Evaluation:
        self.knowledge.receive(now, observations)
        return self.evaluate(now)

    def evaluate(self, now: datetime) -> Evaluation:
        return self.evaluator.evaluate(now, self.ours.__contains__, len(self.ours))


def test_a_server_reported_as_leaving_is_held_back_for_a_bounded_time() -> None:
    receiver = Receiver()
    evaluation = receiver.deliver(START, leaving(SERVERS[0], "n1", age_ms=1000))
    assert evaluation.held[SERVERS[0]].by == ("n1",)
    assert evaluation.reevaluate_at == START + HOLD_TIME - S - MAX_HOP_DELAY, (
        "from when it was seen, not from when it was received"
    )
    assert not receiver.evaluate(evaluation.reevaluate_at).held and not receiver.evaluator.doubted.names
    again = receiver.deliver(START + 20 * S, leaving(SERVERS[0], "n1"))
    assert list(again.held) == SERVERS[:1]
    back = receiver.deliver(START + 21 * S, Observation(SERVERS[0], "n1", 0, ListState.SERVING))
    assert not back.held, "the observer of its removal saw it come back"


def test_no_member_can_hold_back_more_than_half_of_the_servers() -> None:
    receiver = Receiver()
    evaluation = receiver.deliver(START, *(leaving(server, "liar") for server in SERVERS))
    assert len(evaluation.held) == 3
    both = receiver.deliver(START + S, *(leaving(server, "n2") for server in SERVERS[-2:]))
    assert len(both.held) == 3 and set(SERVERS[-2:]) <= set(both.held), "servers with two observers go first"
    receiver.ours = {SERVERS[0]}
    assert not receiver.evaluate(START + 2 * S).held, "the last serving one is never held back"


def test_a_member_whose_reports_stay_unconfirmed_is_ignored_for_a_while() -> None:
    receiver, now = Receiver(), START
    for _ in range(4):
        assert receiver.deliver(now, leaving(SERVERS[0], "liar")).held
        now += HOLD_TIME
        receiver.evaluate(now)
    assert receiver.evaluator.doubted.names == ["liar"]
    assert not receiver.deliver(now, leaving(SERVERS[0], "liar")).held
    assert receiver.deliver(now, leaving(SERVERS[1], "n2")).held, "others are believed as before"
    later = now + timedelta(minutes=3)
    assert receiver.deliver(later, leaving(SERVERS[0], "liar")).held


def test_confirmed_reports_do_not_penalize_their_observer() -> None:
    receiver, now = Receiver(), START
    for server in SERVERS[:4]:
        assert server in receiver.deliver(now, leaving(server, "n1")).held
        receiver.ours.remove(server)
        now += HOLD_TIME
        assert server not in receiver.evaluate(now).held
    assert not receiver.evaluator.doubted.names


def test_late_reports_of_one_start_are_one_start() -> None:
    """Guards against restarting the server in the controller, which discards what it measured of it."""
    receiver = Receiver()
    first = receiver.deliver(START, Observation(SERVERS[0], "n1", 0, ListState.SERVING, cold_ms=500)).starts
    for number in range(2, 6):
        late = Observation(SERVERS[0], f"n{number}", 0, ListState.SERVING, cold_ms=0)
        assert receiver.deliver(START + number * S, late).starts == first
    again = Observation(SERVERS[0], "n2", 0, ListState.SERVING, cold_ms=0)
    assert receiver.deliver(START + 12 * S, again).starts[SERVERS[0]] > first[SERVERS[0]] + 10 * S
    assert not receiver.evaluate(START + 27 * S).starts, "warm by now"


def test_copies_of_one_observation_are_new_only_once() -> None:
    gossip = ObservationGossip("me", 6)
    assert len(gossip.receive(START, [leaving(SERVERS[0], "n1", age_ms=300)])) == 1
    for age_ms in (250, 150, 400):
        assert not gossip.receive(START, [leaving(SERVERS[0], "n1", age_ms=age_ms)])
    assert gossip.receive(START + S, [Observation(SERVERS[0], "n1", 0, ListState.SERVING)])
    sent_count = 0
    while len(gossip):
        sent_count += 1
        gossip.sent(gossip.next_observations(START + S)[0], 7)
    assert sent_count == 6, "times ceil(log10(8)), one observation of one server"


claim_states = st.sampled_from([ClaimState.SERVING, ClaimState.DRAINING, ClaimState.GONE])


@given(st.lists(st.tuples(st.integers(0, 2), claim_states | st.booleans()), max_size=20))
def test_reports_neither_add_nor_keep_a_server_and_their_end_is_no_start(
    steps: list[tuple[int, ClaimState | bool]],
) -> None:
    """Compared with a pool without reports, the same servers serve except those held back."""
    pools = [Pool(START, ["list"]) for _ in range(2)]
    held: set[str] = set()
    now = START + timedelta(minutes=1)
    for number, step in steps:
        now += S
        endpoint = ("192.0.2.1", 5060 + number)
        if isinstance(step, ClaimState):
            for pool in pools:
                pool.partial_update(now, "list", [Claim(endpoint, format_address(endpoint), step)])
        else:
            (held.add if step else held.discard)(format_address(endpoint))
            pools[1].apply_member_reports(now, held, {})
        plain, informed = ({entry.server: entry for entry in pool.entries.values()} for pool in pools)
        assert plain.keys() == informed.keys() and pools[0].vouched_count == pools[1].vouched_count
        for server, entry in informed.items():
            assert entry.serves == (plain[server].serves and server not in held)
            assert entry.ours == plain[server].serves and entry.seen == plain[server].seen
            assert entry.rule is Rule.HEARSAY or entry.rule is plain[server].rule


def test_a_reported_start_is_passed_on_and_its_end_is_no_new_start() -> None:
    pool = Pool(START, ["list"])
    endpoint = ("192.0.2.1", 5060)
    for _ in pool.full_update(START, "list", [Claim(endpoint, "a")]):
        pass
    server, entry = format_address(endpoint), pool.entries[endpoint]
    assert entry.started is None
    assert (
        pool.apply_member_reports(START + S, set(), {server: START}) == [Change(entry)]
        and entry.started == START
    )
    assert pool.apply_member_reports(START + 2 * S, set(), {server: START}) == []
    assert pool.apply_member_reports(START + 3 * S, set(), {"192.0.2.9:5060": START}) == [Change(entry)]
    assert entry.started is None and entry.seen is None


def test_a_drain_reaches_all_and_a_start_reaches_a_newcomer_despite_loss() -> None:
    group = Group(16, 5, link=Link(loss=0.2, delay_s=(0.004, 0.024)))
    group.start()
    group.run(8, group.agreed)
    group.run(2)
    first = group.nodes["n0"]
    assert first.protocol is not None
    group.carry_out(first, first.protocol.observe(group.clock(first), leaving(SERVERS[0], "n0")))
    began = group.now_s

    def knowing(server: str) -> int:
        return sum(
            node.protocol is not None
            and node.protocol.observation_gossip.knowledge.get(server, "n0") is not None
            for node in group.running()
        )

    assert group.run(2, lambda: knowing(SERVERS[0]) == 16), knowing(SERVERS[0])
    assert group.now_s - began < 1.0
    group.run(3)
    assert not any(len(node.protocol.observation_gossip) for node in group.running() if node.protocol), (
        "gossip of it has ended"
    )
    started = Observation(SERVERS[1], "n0", 0, ListState.SERVING, cold_ms=0)
    group.carry_out(first, first.protocol.observe(group.clock(first), started))
    group.run(1)
    group.kill("n9")
    group.run(0.5)
    group.start(["n9"])
    assert group.run(3, lambda: knowing(SERVERS[1]) == 16), (
        "a newcomer learns of the start while the server is cold"
    )
    assert group.state("n0", "n9") is not State.DEAD


def test_a_nonvoter_s_observations_are_rejected() -> None:
    group = Group(3, 1)
    nonvoter = group.add("stranger", ("10.9.9.9", 7946))
    group.start()
    group.run(3)
    assert nonvoter.protocol is not None
    group.carry_out(
        nonvoter, nonvoter.protocol.observe(group.clock(nonvoter), leaving(SERVERS[0], "stranger"))
    )
    group.run(3)
    for node in group.nodes.values():
        assert node.protocol is not None
        knows = node.protocol.observation_gossip.knowledge.get(SERVERS[0], "stranger")
        assert (knows is None) == (node is not nonvoter)
