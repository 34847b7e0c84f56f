"""The membership protocol as state machines in virtual time: detection, refutation, quorum and bounds."""

from __future__ import annotations

import random
import zlib
from datetime import datetime, timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from reedmount.core.checks import COUNTERS
from reedmount.members.capacity_sharing import sharing_instances
from reedmount.members.damping import HALF_LIFE, Damping
from reedmount.members.dissemination import DisseminationQueue
from reedmount.members.health import MAX_SCORE, LocalHealth
from reedmount.members.outbox import Outbox, Send
from reedmount.members.prober import ProbeRound
from reedmount.members.quorum import QuorumState, QuorumTracker, VoterSet
from reedmount.members.record import Record, State, record_of
from reedmount.members.settings import Timing
from reedmount.members.suspects import Suspects
from reedmount.members.suspicion import Suspicion
from reedmount.members.timer_queue import TimerQueue
from reedmount.members.view import MAX_RECORDS, View
from reedmount.members.wire import HEADER, MAX_DATAGRAM, Kind, Message, WireError, group_of, read, write
from standins.gossip.net import START, Group, Link

GROUP = group_of("fleet")
S = timedelta(seconds=1)
ME = record_of("n0", ("10.0.0.1", 7946), 7)


def other(name: str = "n1", **changes: object) -> Record:
    fields = {"incarnation": 0, "boot_id": 1, "state": State.ALIVE, **changes}
    return Record(name, b"\x0a\0\0\2", 7946, **fields)  # type: ignore[arg-type]


# --- datagrams ---

records = st.builds(
    Record,
    st.text("abn0123456789-", min_size=1, max_size=24), st.binary(min_size=4, max_size=4),
    st.integers(1, 65535), st.integers(0, 2**32 - 1), st.integers(0, 2**32 - 1), st.sampled_from(State),
)  # fmt: skip


@given(st.sampled_from(Kind), records, st.lists(records, max_size=20), st.binary(max_size=128))
def test_datagrams_round_trip_and_respect_the_size_limit(
    kind: Kind, sender: Record, updates: list[Record], buckets: bytes
) -> None:
    buckets = buckets[: len(buckets) // 4 * 4]
    data, sent = write(GROUP, Message(kind, 3, sender, b"12345678", "n9", buckets), updates)
    assert len(data) <= MAX_DATAGRAM
    got = read(GROUP, data)
    assert (got.kind, got.sender, got.records, got.buckets) == (kind, sender, updates[:sent], buckets)


@given(st.binary(max_size=300), st.integers(0, 255), st.integers(1, 255))
def test_truncated_corrupted_and_random_datagrams_are_rejected(noise: bytes, at: int, flip: int) -> None:
    data, _ = write(GROUP, Message(Kind.PING, 1, ME, b"12345678"), [other()])
    spoilt = bytearray(data)
    spoilt[at % len(data)] ^= flip
    for bad in (noise, data[: at % len(data)], bytes(spoilt), data + b"\0"):
        with pytest.raises(WireError):
            read(GROUP, bad)


def test_a_later_version_is_read_only_if_it_declares_compatibility() -> None:
    data, _ = write(GROUP, Message(Kind.PING, 1, ME, b"12345678"))
    body = data[12:]
    assert body[0] & 0xF0 == 0x90, "an array of fewer than 16 elements"
    longer = bytes([body[0] + 1]) + body[1:] + b"\xc3"  # one more field, as a later version has

    def sealed(version: int, read_from: int, body: bytes) -> bytes:
        check = zlib.crc32(body, zlib.crc32(bytes((version, read_from)) + GROUP.to_bytes(4, "big")))
        return HEADER.pack(b"RM", version, read_from, GROUP, check) + body

    assert read(GROUP, sealed(2, 1, longer)).sender == ME
    with pytest.raises(WireError, match="newer"):
        read(GROUP, sealed(9, 2, longer))
    with pytest.raises(WireError, match="group"):
        read(group_of("another"), data)


# --- the parts ---


claims = st.tuples(st.integers(0, 3), st.sampled_from(State), st.integers(0, 2))


@given(st.lists(claims, max_size=12), st.randoms())
def test_views_with_the_same_claims_are_equal_in_any_order(
    claims: list[tuple[int, State, int]], rng: random.Random
) -> None:
    made = [
        other(f"n{number}", incarnation=inc, state=state, boot_id=number) for inc, state, number in claims
    ]
    views = []
    for _ in range(2):
        view = View("me", frozenset(f"n{n}" for n in range(3)), 600 * S)
        for record in made + made[:3]:  # some arrive twice
            view.merge(START, record)
        views.append(view)
        rng.shuffle(made)
    one, two = views
    assert one.digest == two.digest and one.buckets == two.buckets
    assert sorted(r.rank for r in one) == sorted(r.rank for r in two)
    assert {r.name for r in one if r.present} == set(one.present) == set(two.present)


def test_the_view_is_bounded_and_expires_ended_nonvoters_but_no_voter() -> None:
    view = View("me", frozenset({"n0"}), 600 * S)
    view.merge(START, other("n0", state=State.DEAD))
    for number in range(1, MAX_RECORDS):
        view.merge(START, other(f"n{number}", state=State.LEFT if number == 5 else State.ALIVE))
    assert len(view) == MAX_RECORDS
    assert view.merge(START, other("late")) is not None, "replaces the member that left"
    assert view.get("n5") is None and view.merge(START, other("later")) is None
    view.merge(START, other("n7", state=State.DEAD))
    assert not view.expire(START + 599 * S)
    assert [change.name for change in view.expire(START + 601 * S)] == ["n7"]
    assert view.get("n0") is not None


def test_a_suspicion_shrinks_with_the_number_of_confirmations() -> None:
    def ends(*others: str, group: int = 7) -> float:
        made = Suspicion(START, 2 * S, 12 * S, 3, "n0", group)
        for by in others:
            made.confirm(by)
        return (made.ends_at - START).total_seconds()

    spans = [ends(), ends("n1"), ends("n1", "n2"), ends("n1", "n2", "n3")]
    assert spans[0] == 12 and spans[-1] == pytest.approx(2) and spans == sorted(spans, reverse=True)
    assert ends("n0", "n0") == 12, "the same accuser twice is no confirmation"
    assert ends(group=1) == 2, "no other member could confirm"


def test_a_member_is_pinged_directly_before_it_is_declared_dead() -> None:
    """Guards against declaring a live member dead when its refutation is lost on every path to one member."""

    def suspected() -> tuple[Suspects, TimerQueue, Outbox, list[datetime]]:
        view, timers, died = View("n0", frozenset(), 600 * S), TimerQueue(), list[datetime]()
        for name in ("n1", "n2", "n3"):
            view.merge(START, other(name))
        outbox = Outbox(GROUP, ME, view, DisseminationQueue(6))
        suspects = Suspects(Timing(), view, timers, outbox, lambda now, _: died.append(now))
        view.merge(START, other(state=State.SUSPECT, by="n2"))
        suspects.begin(START, other(state=State.SUSPECT, by="n2"))
        suspects.confirm(START, other(state=State.SUSPECT, by="n3"))
        return suspects, timers, outbox, died

    def asked(timers: TimerQueue, outbox: Outbox, until: datetime) -> list[datetime]:
        asked = []
        while (at := timers.next_at) is not None and at <= until:
            timers.run(at)
            asked += [at for sent in outbox.collect() if isinstance(sent, Send) and b"n1" in sent.data]
        return asked

    _, timers, outbox, died = suspected()
    pings = asked(timers, outbox, START + 60 * S)
    assert len(died) == 1 and len(pings) == 6 and died[0] - pings[0] == Timing().final_check_span
    suspects, timers, outbox, died = suspected()
    assert len(asked(timers, outbox, pings[2])) == 3
    suspects.extend(30 * S)  # after a stall, in which answers were missed
    assert len(asked(timers, outbox, pings[-1] + 25 * S)) == 0 and not died
    suspects.clear("n1")
    assert asked(timers, outbox, START + 600 * S) == [] and not died


def test_probe_retries_keep_false_suspicions_rare_at_30_percent_loss() -> None:
    """At 30% loss, a probe with one retry fails in one of nine cases, with two retries in one of forty."""
    group = Group(24, 3, link=Link(loss=0.3, delay_s=(0.004, 0.024)))
    group.start()
    group.run(10)
    before = COUNTERS["members.suspected"]
    group.run(30)
    assert 0 < COUNTERS["members.suspected"] - before < 900, "1,965 in total with a single retry"
    assert not [seen for seen in group.history if seen.state is State.DEAD]


def test_local_health_is_bounded_and_scales_timeouts() -> None:
    health = LocalHealth()
    health.degrade(50)
    assert health.scaled(S) == (MAX_SCORE + 1) * S
    for _ in range(20):
        health.improve()
    assert health.scaled(S) == S


def test_each_record_is_sent_a_bounded_number_of_times_the_least_often_sent_first() -> None:
    queue: DisseminationQueue[Record] = DisseminationQueue(3)
    sent: list[str] = []
    for number in range(4):
        queue.put(other(f"n{number}"))
    while len(queue):
        batch = [record for record, _ in zip(queue.pending(), range(3), strict=False)]
        sent += [record.name for record in batch]
        queue.sent(batch, 7)
    assert {name: sent.count(name) for name in set(sent)} == dict.fromkeys(["n0", "n1", "n2", "n3"], 3)
    assert sent[3] == "n3", "the record that did not fit is sent first the next time"


def test_a_probe_round_stays_bounded_when_members_join_faster_than_they_are_probed() -> None:
    view = View("me", frozenset(), 600 * S)
    probe_round = ProbeRound(view, random.Random(1))
    for number in range(1000):
        name = f"n{number % 10}"
        view.present.add(name)
        probe_round.include(name)
    assert len(probe_round._remaining) <= 2 * 10 + 1
    assert {probe_round.next() for _ in range(40)} == {f"n{number}" for number in range(10)}


def test_a_flapping_member_is_damped_and_released_once_it_is_stable() -> None:
    damping = Damping()
    assert [damping.penalize(START + n * S, "n1") for n in range(4)] == [False, False, False, True]
    assert damping.is_damped("n1")
    assert not damping.sweep(START + HALF_LIFE)
    assert damping.sweep(START + 3 * HALF_LIFE) == ["n1"]
    damping.sweep(START + 20 * HALF_LIFE)
    assert not len(damping)


@pytest.mark.parametrize(
    ("alive", "suspect", "quorum_state"),
    [
        (4, 0, QuorumState.MAJORITY),
        (3, 1, QuorumState.UNSURE),
        (3, 0, QuorumState.MINORITY),
        (7, 0, QuorumState.MAJORITY),
    ],
)
def test_the_quorum_counts_voters_including_this_member(
    alive: int, suspect: int, quorum_state: QuorumState
) -> None:
    tracker = QuorumTracker("n0", (VoterSet(1, frozenset(f"n{n}" for n in range(8))),))
    for number in range(1, 8):
        state = State.ALIVE if number <= alive else State.SUSPECT if number <= alive + suspect else State.DEAD
        tracker.member_changed(f"n{number}", None, other(f"n{number}", state=state))
    for number in range(10, 30):  # nonvoters, whichever voter set they use
        tracker.member_changed(f"n{number}", None, other(f"n{number}", voters_id=99))
    assert tracker.quorum_state(True) is quorum_state
    assert tracker.quorum_state(False) is QuorumState.JOINING
    without_contact = QuorumState.UNSURE if alive >= 4 else QuorumState.MINORITY
    assert tracker.quorum_state(True, has_contact=False) is without_contact
    tracker.set_damped("n1", True, State.ALIVE)
    assert tracker.quorum_state(True) is (
        quorum_state if alive == 7 or not quorum_state.has_quorum else QuorumState.UNSURE
    )


def test_two_voter_sets_in_use_require_both_majorities() -> None:
    old, new = (VoterSet(v, frozenset(f"n{n}" for n in r)) for v, r in ((1, range(3)), (2, range(2, 9))))
    tracker = QuorumTracker("n3", (new, old))
    for number in range(4, 9):
        tracker.member_changed(f"n{number}", None, other(f"n{number}", voters_id=new.id))
    assert tracker.quorum_state(True) is QuorumState.MAJORITY
    tracker.member_changed("n2", None, other("n2", voters_id=old.id))
    assert tracker.quorum_state(True) is QuorumState.MINORITY, "one of three voters of the old set"
    tracker.member_changed("n1", None, other("n1", voters_id=old.id))
    assert tracker.quorum_state(True) is QuorumState.MAJORITY
    tracker.member_changed("n0", None, other("n0", voters_id=12345))
    assert tracker.quorum_state(True) is QuorumState.UNSURE, "an unknown voter set"


def test_settings_out_of_range_are_rejected_by_name() -> None:
    for key, value in (("interval", 0 * S), ("timeout", 9 * S), ("relays", 99), ("forget", S), ("beta", 0.0)):
        with pytest.raises(ValueError, match=rf"members\.{key} "):
            Timing(**{key: value})  # type: ignore[arg-type]


# --- a group ---


def started(count: int = 8, seed: int = 1, **link: object) -> Group:
    group = Group(count, seed, link=Link(**link))  # type: ignore[arg-type]
    group.start()
    assert group.run(30, group.agreed)
    group.run(10)
    assert group.quorum_states() == {QuorumState.MAJORITY}
    return group


def deaths(group: Group, since: float, about: str | None = None) -> list[float]:
    return [
        seen.at_s - since for seen in group.history
        if seen.at_s > since and seen.state is State.DEAD and about in (None, seen.about)
    ]  # fmt: skip


def test_a_dead_member_is_detected_by_all_and_no_other_is_declared_dead() -> None:
    group = started()
    at = group.now_s
    group.kill("n3")
    assert group.run(15, lambda: all(group.state(n.name, "n3") is State.DEAD for n in group.running()))
    assert {seen.about for seen in group.history if seen.state is State.DEAD} == {"n3"}
    assert max(deaths(group, at)) < 8


def test_a_member_that_leaves_is_never_declared_dead() -> None:
    group = started()
    group.leave("n3")
    group.run(1)
    group.kill("n3")
    assert all(group.state(node.name, "n3") is State.LEFT for node in group.running())
    group.run(20)
    assert not deaths(group, 0)


def test_a_stopped_member_refutes_after_resuming_and_accuses_no_one() -> None:
    """During 3 s of SIGSTOP it may be declared dead; afterwards it must neither flap nor declare others dead.

    Its socket buffer holds the datagrams received meanwhile, or has overflowed: then answers to its probes
    are lost.
    """
    for seed in range(8):
        group = started(seed=seed)
        node = group.nodes["n3"].protocol
        assert node is not None and group.run(2, lambda: bool(node._probes))  # noqa: B023
        at = group.now_s
        group.stop("n3")
        group.run(3)
        if seed % 2:
            group.nodes["n3"].queue.clear()
        group.resume("n3")
        assert group.run(5, group.agreed)
        group.run(20)
        about = [seen for seen in group.history if seen.at_s > at and seen.about != seen.by]
        assert {seen.about for seen in about} <= {"n3"}, "no other member changed in any view"
        assert max(sum(seen.by == node.name for seen in about) for node in group.running()) <= 4
        assert group.agreed() and group.quorum_states() == {QuorumState.MAJORITY}


def test_a_partition_of_three_from_five_leaves_one_quorum_and_heals_to_one_view() -> None:
    group = started()
    few, many = ["n0", "n1", "n2"], [f"n{n}" for n in range(3, 8)]
    group.cut(few, many)
    group.run(20)
    assert group.quorum_states(few) == {QuorumState.MINORITY} and group.quorum_states(many) == {
        QuorumState.MAJORITY
    }
    group.heal()
    assert group.run(10, group.agreed)
    group.run(1)
    assert group.quorum_states() == {QuorumState.MAJORITY}
    assert all(len(node.protocol.view) == 8 for node in group.running() if node.protocol)


def test_an_isolated_member_loses_its_quorum_within_ten_intervals() -> None:
    """Its own probes slow down as they fail: detection by four failed ones took over 10 s."""
    for seed in range(3):
        group = started(seed=seed)
        group.cut(["n0"], [f"n{n}" for n in range(1, 8)])
        group.run(10 * group.timing.interval.total_seconds() + 0.6)
        assert QuorumState.MAJORITY not in group.quorum_states(["n0"])
        group.heal()
        assert group.run(20, group.agreed)
        group.run(2)
        assert group.quorum_states() == {QuorumState.MAJORITY}


def test_nonvoters_do_not_turn_a_minority_into_a_majority() -> None:
    group = started()
    few, many = ["n0", "n1", "n2"], [f"n{n}" for n in range(3, 8)]
    nonvoters = [group.add(f"g{n}", (f"10.9.0.{n + 1}", 7946)).name for n in range(6)]
    group.cut([*few, *nonvoters], many)
    group.start(nonvoters)
    group.run(20)
    assert group.state("n0", "g1") is State.ALIVE
    assert group.quorum_states(few) == {QuorumState.MINORITY}
    assert QuorumState.MAJORITY not in group.quorum_states(nonvoters)


def test_a_one_way_cut_is_bridged_by_relays_or_detected_and_heals() -> None:
    """A receives from B but not B from A: relays carry the probes, and no one is declared dead for good."""
    group = started()
    group.cut(["n0"], ["n1"], both=False)
    group.run(30)
    assert not [seen for seen in group.history if seen.state is State.SUSPECT]
    group.cut(
        ["n0"], [f"n{n}" for n in range(1, 8)], both=False
    )  # it receives from all, and none receives from it
    assert group.run(20, lambda: all(group.state(f"n{n}", "n0") is State.DEAD for n in range(1, 8)))
    group.run(20)
    assert group.quorum_states(["n0"]) <= {QuorumState.MINORITY, QuorumState.UNSURE}, (
        "it learns of its own death"
    )
    group.heal()
    assert group.run(10, group.agreed)


def test_half_of_the_group_restarting_within_a_second_rejoins() -> None:
    group = started()
    half = [f"n{n}" for n in range(4)]
    group.kill(*half)
    group.run(0.8)
    group.start(half)
    assert group.run(5, group.agreed)
    group.run(2)
    assert group.quorum_states() == {QuorumState.MAJORITY}
    group.run(30)
    assert group.agreed() and all(len(n.protocol.view) == 8 for n in group.running() if n.protocol)


def test_two_restarts_within_one_suspicion_remain_one_member() -> None:
    group = started()
    for _ in range(2):
        group.kill("n3")
        group.run(1)
        group.start(["n3"])
        group.run(0.3)
    assert group.run(10, group.agreed)
    assert {len(node.protocol.view) for node in group.running() if node.protocol} == {8}
    node = group.nodes["n3"].protocol
    assert node is not None and node.me.incarnation >= 1


def test_clock_differences_of_thirty_seconds_have_no_effect() -> None:
    plain, skewed = Group(8, 5), Group(8, 5)
    for number, node in enumerate(skewed.nodes.values()):
        node.skew = timedelta(seconds=30 * (number % 3 - 1))
    for group in (plain, skewed):
        group.start()
        group.run(15)
        group.kill("n3")
        group.run(15)
    assert plain.history == skewed.history


def test_a_late_datagram_does_not_revive_a_member_that_left() -> None:
    group = started()
    nonvoter = group.add("g1", ("10.9.0.1", 7946))
    group.start(["g1"])
    group.run(5)
    assert group.state("n0", "g1") is State.ALIVE and nonvoter.protocol is not None
    late, _ = write(GROUP, Message(Kind.PING, 1, nonvoter.protocol.me, b"12345678"))
    group.leave("g1")
    group.run(1)
    group.kill("g1")
    group.run(60)
    group._deliver(group.nodes["n0"], nonvoter.address, late)
    group.run(5)
    assert {group.state(f"n{n}", "g1") for n in range(8)} == {State.LEFT}


def test_forged_senders_are_counted_and_do_not_change_the_view() -> None:
    group = started()
    node = group.nodes["n0"]
    assert node.protocol is not None
    before = node.protocol.view.version
    lies = {
        "source": (("10.7.7.7", 1), other("n1", incarnation=9)),
        "jump": (("10.0.0.1", 7946), Record("n1", b"\x0a\0\0\1", 7946, 2**31, 1, State.ALIVE)),
        "own_name": (node.address, node.protocol.me),
    }
    for reason, (source, sender) in lies.items():
        count = COUNTERS[f"members.dropped.{reason}"]
        data, _ = write(GROUP, Message(Kind.PING, 1, sender, b"12345678"))
        assert not node.protocol.datagram_received(group.clock(node), source, data)
        assert COUNTERS[f"members.dropped.{reason}"] == count + 1
    assert node.protocol.view.version == before


@pytest.mark.parametrize("loss", [0.1, 0.3])
def test_packet_loss_on_every_link_causes_no_deaths(loss: float) -> None:
    group = Group(8, 3, link=Link(loss=loss, duplicate=0.1, delay_s=(0.004, 0.032)))
    group.start()
    group.run(180)
    assert not deaths(group, 0)
    group.kill("n3")
    assert group.run(60, lambda: all(group.state(n.name, "n3") is State.DEAD for n in group.running()))


def test_anti_entropy_repairs_what_gossip_missed() -> None:
    """A nonvoter leaves while n0 is cut off; its record is no longer gossiped, and it does not answer."""
    group = started()
    group.add("g1", ("10.9.0.1", 7946))
    group.start(["g1"])
    group.run(5)
    group.cut(["n0"], [name for name in group.nodes if name != "n0"])
    group.leave("g1")
    group.run(0.2)
    group.kill("g1")
    group.run(1)
    group.heal()
    assert group.run(5, lambda: group.state("n0", "g1") is State.LEFT)
    assert not deaths(group, 0, "g1")


def test_a_suspected_member_is_notified_first() -> None:
    """The buddy system: a probe of a suspected member starts with the suspicion, before all updates."""
    group = started()
    node = group.nodes["n0"].protocol
    assert node is not None
    known = node.view.get("n1")
    assert known is not None
    group.cut(["n0"], ["n1"])
    node._merge(group.clock(group.nodes["n0"]), known.with_state(State.SUSPECT, "n2"))
    node._dissemination.drop("n1")  # sent often enough
    for number in range(90, 130):
        node._dissemination.put(other(f"n{number}"))
    node._probe(group.clock(group.nodes["n0"]), "n1")
    sent = [
        output
        for output in node._collect_outputs()
        if isinstance(output, Send) and output.to == known.address
    ]
    first = read(GROUP, sent[-1].data).records[0]
    assert (first.name, first.state) == ("n1", State.SUSPECT)


def test_a_member_that_receives_nothing_slows_down_and_the_others_do_not() -> None:
    group = started()
    group.cut([f"n{n}" for n in range(1, 8)], ["n0"], both=False)
    group.run(6)
    scores = [node.protocol.health.score for node in group.running() if node.protocol]
    assert scores[0] >= 3 and max(scores[1:]) <= 1
    group.heal()
    assert group.run(30, group.agreed)
    group.run(30)
    assert {node.protocol.health.score for node in group.running() if node.protocol} == {0}


def test_the_load_of_a_member_does_not_grow_with_the_group() -> None:
    loads = []
    for count in (8, 48):
        group = Group(count, 1)
        group.start()
        group.run(25)
        before = sum(group.bytes.values())
        group.run(10)
        loads.append((sum(group.bytes.values()) - before) / count / 10)
        assert group.max_length <= MAX_DATAGRAM
    assert loads[1] < 1.2 * loads[0] < 400


class Chaos(RuleBasedStateMachine):
    """Kills, restarts, stops, partitions and waits, in any order."""

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed: int) -> None:
        self.group = Group(5, seed)
        self.group.start()
        self.incarnations: dict[tuple[str, str, int], int] = {}

    @rule(number=st.integers(0, 4))
    def kill(self, number: int) -> None:
        self.group.kill(f"n{number}")

    @rule(number=st.integers(0, 4))
    def restart(self, number: int) -> None:
        if self.group.nodes[f"n{number}"].protocol is None:
            self.group.start([f"n{number}"])

    @rule(number=st.integers(0, 4), seconds=st.floats(0.1, 8))
    def stall(self, number: int, seconds: float) -> None:
        self.group.stop(f"n{number}")
        self.group.run(seconds)
        self.group.resume(f"n{number}")

    @rule(few=st.sets(st.integers(0, 4), min_size=1, max_size=2), both=st.booleans())
    def cut(self, few: set[int], both: bool) -> None:
        names = {f"n{n}" for n in few}
        self.group.cut(names, set(self.group.nodes) - names, both)

    @rule()
    def heal(self) -> None:
        self.group.heal()

    @rule(seconds=st.floats(0.05, 12))
    def wait(self, seconds: float) -> None:
        self.group.run(seconds)

    @invariant()
    def incarnations_only_rise(self) -> None:
        for node in getattr(self, "group", Group(0, 0)).running():
            assert node.protocol is not None
            for record in node.protocol.view:
                key = (node.name, record.name, node.runs)
                assert record.incarnation >= self.incarnations.get(key, 0)
                self.incarnations[key] = record.incarnation

    @invariant()
    def no_member_has_a_quorum_without_a_majority_in_its_view(self) -> None:
        for node in getattr(self, "group", Group(0, 0)).running():
            assert node.protocol is not None
            if node.protocol.quorum_state.has_quorum:
                alive = sum(record.state is State.ALIVE for record in node.protocol.view)
                assert alive >= self.group.voters.majority

    def teardown(self) -> None:
        group = getattr(self, "group", None)
        if group is None:
            return
        # Once links are healed and no member is stopped, all views converge, whatever happened before.
        group.heal()
        assert group.run(120, lambda: group.agreed() or not group.running()) or not group.running()


Chaos.TestCase.settings = settings(max_examples=25, stateful_step_count=12, deadline=None, derandomize=True)
TestChaos = Chaos.TestCase


@given(st.integers(1, 2000), st.integers(0, 2000), st.integers(0, 2000))
def test_partitioned_instances_together_do_not_overload_a_cold_server(
    configured: int, alive: int, nonvoters: int
) -> None:
    """Alive instances use the view, others the settings; the controller admits 13/16 of an overload."""
    alive = min(alive, configured)
    if alive * 2 <= configured:
        assert sharing_instances(configured, max(1, alive), has_quorum=False) >= configured
        return
    ours = alive / sharing_instances(configured, alive, has_quorum=True)
    theirs = (configured - alive) / sharing_instances(configured, configured - alive, has_quorum=False)
    assert 13 / 16 * (ours + theirs) < 1
    assert sharing_instances(configured, configured + nonvoters, has_quorum=False) == configured + nonvoters
