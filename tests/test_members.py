"""Membership as state machines in virtual time: what each member comes to think, and what it never may."""

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
from reedmount.members.dissemination import Spread
from reedmount.members.health import WORST, LocalHealth
from reedmount.members.outbox import Outbox, Send
from reedmount.members.prober import Round
from reedmount.members.quorum import Count, Standing, VoterSet
from reedmount.members.record import Record, State, record_of
from reedmount.members.settings import Timing
from reedmount.members.suspects import Suspects
from reedmount.members.suspicion import Suspicion
from reedmount.members.timer_queue import Dues
from reedmount.members.view import MAX_RECORDS, View
from reedmount.members.wire import HEAD, MAX_DATAGRAM, Kind, Message, WireError, group_of, read, write
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
def test_datagrams_are_read_as_written_and_never_longer_than_allowed(
    kind: Kind, sender: Record, news: list[Record], buckets: bytes
) -> None:
    buckets = buckets[: len(buckets) // 4 * 4]
    data, sent = write(GROUP, Message(kind, 3, sender, b"12345678", "n9", buckets), news)
    assert len(data) <= MAX_DATAGRAM
    got = read(GROUP, data)
    assert (got.kind, got.sender, got.records, got.buckets) == (kind, sender, news[:sent], buckets)


@given(st.binary(max_size=300), st.integers(0, 255), st.integers(1, 255))
def test_what_is_cut_changed_or_nonsense_is_refused(noise: bytes, at: int, flip: int) -> None:
    data, _ = write(GROUP, Message(Kind.PING, 1, ME, b"12345678"), [other()])
    spoilt = bytearray(data)
    spoilt[at % len(data)] ^= flip
    for bad in (noise, data[: at % len(data)], bytes(spoilt), data + b"\0"):
        with pytest.raises(WireError):
            read(GROUP, bad)


def test_a_later_version_is_read_where_it_says_so_and_counted_where_not() -> None:
    data, _ = write(GROUP, Message(Kind.PING, 1, ME, b"12345678"))
    body = data[12:]
    assert body[0] & 0xF0 == 0x90, "an array of less than 16"
    longer = bytes([body[0] + 1]) + body[1:] + b"\xc3"  # a field more, as a later version has it

    def sealed(version: int, read_from: int, body: bytes) -> bytes:
        check = zlib.crc32(body, zlib.crc32(bytes((version, read_from)) + GROUP.to_bytes(4, "big")))
        return HEAD.pack(b"RM", version, read_from, GROUP, check) + body

    assert read(GROUP, sealed(2, 1, longer)).sender == ME
    with pytest.raises(WireError, match="newer"):
        read(GROUP, sealed(9, 2, longer))
    with pytest.raises(WireError, match="group"):
        read(group_of("another"), data)


# --- the parts ---


claims = st.tuples(st.integers(0, 3), st.sampled_from(State), st.integers(0, 2))


@given(st.lists(claims, max_size=12), st.randoms())
def test_tables_that_saw_the_same_are_equal_whatever_the_order(
    claims: list[tuple[int, State, int]], rng: random.Random
) -> None:
    made = [other(f"n{life}", incarnation=inc, state=state, boot_id=life) for inc, state, life in claims]
    views = []
    for _ in range(2):
        view = View("me", frozenset(f"n{n}" for n in range(3)), 600 * S)
        for record in made + made[:3]:  # some come twice
            view.take(START, record)
        views.append(view)
        rng.shuffle(made)
    one, two = views
    assert one.digest == two.digest and one.buckets == two.buckets
    assert sorted(r.rank for r in one) == sorted(r.rank for r in two)
    assert {r.name for r in one if r.there} == set(one.there) == set(two.there)


def test_a_table_is_bounded_and_forgets_guests_that_are_gone_but_no_one_of_the_roster() -> None:
    view = View("me", frozenset({"n0"}), 600 * S)
    view.take(START, other("n0", state=State.DEAD))
    for number in range(1, MAX_RECORDS):
        view.take(START, other(f"n{number}", state=State.LEFT if number == 5 else State.ALIVE))
    assert len(view) == MAX_RECORDS
    assert view.take(START, other("late")) is not None, "in place of the one that left"
    assert view.get("n5") is None and view.take(START, other("later")) is None
    view.take(START, other("n7", state=State.DEAD))
    assert not view.forgotten(START + 599 * S)
    assert [change.name for change in view.forgotten(START + 601 * S)] == ["n7"]
    assert view.get("n0") is not None


def test_suspicion_is_shorter_the_more_members_share_it() -> None:
    def ends(*others: str, group: int = 7) -> float:
        made = Suspicion(START, 2 * S, 12 * S, 3, "n0", group)
        for by in others:
            made.confirmed(by)
        return (made.ends_at - START).total_seconds()

    spans = [ends(), ends("n1"), ends("n1", "n2"), ends("n1", "n2", "n3")]
    assert spans[0] == 12 and spans[-1] == pytest.approx(2) and spans == sorted(spans, reverse=True)
    assert ends("n0", "n0") == 12, "the same member twice is no second one"
    assert ends(group=1) == 2, "nobody else could confirm"


def test_whoever_calls_another_dead_has_asked_it_just_before() -> None:
    """A refutation that is lost on all ways to one member made that one call a live member dead."""

    def suspected() -> tuple[Suspects, Dues, Outbox, list[datetime]]:
        view, dues, died = View("n0", frozenset(), 600 * S), Dues(), list[datetime]()
        for name in ("n1", "n2", "n3"):
            view.take(START, other(name))
        box = Outbox(GROUP, ME, view, Spread(6))
        suspects = Suspects(Timing(), view, dues, box, lambda now, _: died.append(now))
        view.take(START, other(state=State.SUSPECT, by="n2"))
        suspects.begin(START, other(state=State.SUSPECT, by="n2"))
        suspects.confirmed(START, other(state=State.SUSPECT, by="n3"))
        return suspects, dues, box, died

    def asked(dues: Dues, box: Outbox, until: datetime) -> list[datetime]:
        asked = []
        while (at := dues.next_at) is not None and at <= until:
            dues.run(at)
            asked += [at for sent in box.taken() if isinstance(sent, Send) and b"n1" in sent.data]
        return asked

    _, dues, box, died = suspected()
    pings = asked(dues, box, START + 60 * S)
    assert len(died) == 1 and len(pings) == 6 and died[0] - pings[0] == Timing().last_asking
    suspects, dues, box, died = suspected()
    assert len(asked(dues, box, pings[2])) == 3
    suspects.extend(30 * S)  # we were away: whatever it answered meanwhile, we did not hear
    assert len(asked(dues, box, pings[-1] + 25 * S)) == 0 and not died
    suspects.clear("n1")
    assert asked(dues, box, START + 600 * S) == [] and not died


def test_few_suspect_each_other_where_a_third_of_the_datagrams_is_lost() -> None:
    """At 30% loss a probe that is asked once more fails in one of nine cases, twice more in one of forty."""
    group = Group(24, 3, link=Link(loss=0.3, delay_s=(0.004, 0.024)))
    group.start()
    group.run(10)
    before = COUNTERS["members.suspected"]
    group.run(30)
    assert 0 < COUNTERS["members.suspected"] - before < 900, "1,965 by all of them when each asked once more"
    assert not [seen for seen in group.history if seen.state is State.DEAD]


def test_local_health_is_bounded_and_scales_spans() -> None:
    health = LocalHealth()
    health.worse(50)
    assert health.scaled(S) == (WORST + 1) * S
    for _ in range(20):
        health.better()
    assert health.scaled(S) == S


def test_each_record_is_passed_on_a_bounded_number_of_times_the_least_often_sent_first() -> None:
    spread: Spread[Record] = Spread(3)
    sent: list[str] = []
    for number in range(4):
        spread.put(other(f"n{number}"))
    while len(spread):
        batch = [record for record, _ in zip(spread.waiting(), range(3), strict=False)]
        sent += [record.name for record in batch]
        spread.sent(batch, 7)
    assert {name: sent.count(name) for name in set(sent)} == dict.fromkeys(["n0", "n1", "n2", "n3"], 3)
    assert sent[3] == "n3", "the one that had no room went first the next time"


def test_a_round_stays_bounded_where_members_come_faster_than_they_are_probed() -> None:
    view = View("me", frozenset(), 600 * S)
    turn = Round(view, random.Random(1))
    for number in range(1000):
        name = f"n{number % 10}"
        view.there.add(name)
        turn.joined(name)
    assert len(turn._left) <= 2 * 10 + 1
    assert {turn.next() for _ in range(40)} == {f"n{number}" for number in range(10)}


def test_who_flaps_is_damped_and_let_go_once_it_is_steady() -> None:
    damping = Damping()
    assert [damping.came_back(START + n * S, "n1") for n in range(4)] == [False, False, False, True]
    assert damping.damped("n1")
    assert not damping.sweep(START + HALF_LIFE)
    assert damping.sweep(START + 3 * HALF_LIFE) == ["n1"]
    damping.sweep(START + 20 * HALF_LIFE)
    assert not len(damping)


@pytest.mark.parametrize(
    ("alive", "suspect", "standing"),
    [
        (4, 0, Standing.MAJORITY),
        (3, 1, Standing.UNSURE),
        (3, 0, Standing.MINORITY),
        (7, 0, Standing.MAJORITY),
    ],
)
def test_standing_counts_the_roster_and_ourselves(alive: int, suspect: int, standing: Standing) -> None:
    count = Count("n0", (VoterSet(1, frozenset(f"n{n}" for n in range(8))),))
    for number in range(1, 8):
        state = State.ALIVE if number <= alive else State.SUSPECT if number <= alive + suspect else State.DEAD
        count.changed(f"n{number}", None, other(f"n{number}", state=state))
    for number in range(10, 30):  # guests, whatever they go by
        count.changed(f"n{number}", None, other(f"n{number}", voters_id=99))
    assert count.standing(True) is standing
    assert count.standing(False) is Standing.JOINING
    out_of_touch = Standing.UNSURE if alive >= 4 else Standing.MINORITY
    assert count.standing(True, in_touch=False) is out_of_touch
    count.damp("n1", True, State.ALIVE)
    assert count.standing(True) is (standing if alive == 7 or not standing.has_quorum else Standing.UNSURE)


def test_while_two_rosters_are_in_use_both_majorities_are_needed() -> None:
    old, new = (VoterSet(v, frozenset(f"n{n}" for n in r)) for v, r in ((1, range(3)), (2, range(2, 9))))
    count = Count("n3", (new, old))
    for number in range(4, 9):
        count.changed(f"n{number}", None, other(f"n{number}", voters_id=new.id))
    assert count.standing(True) is Standing.MAJORITY
    count.changed("n2", None, other("n2", voters_id=old.id))
    assert count.standing(True) is Standing.MINORITY, "one of three of the old one"
    count.changed("n1", None, other("n1", voters_id=old.id))
    assert count.standing(True) is Standing.MAJORITY
    count.changed("n0", None, other("n0", voters_id=12345))
    assert count.standing(True) is Standing.UNSURE, "a roster that we do not know"


def test_settings_out_of_bounds_are_refused_by_name() -> None:
    for key, value in (("interval", 0 * S), ("timeout", 9 * S), ("relays", 99), ("forget", S), ("beta", 0.0)):
        with pytest.raises(ValueError, match=rf"members\.{key} "):
            Timing(**{key: value})  # type: ignore[arg-type]


# --- a group ---


def started(count: int = 8, seed: int = 1, **link: object) -> Group:
    group = Group(count, seed, link=Link(**link))  # type: ignore[arg-type]
    group.start()
    assert group.run(30, group.agreed)
    group.run(10)
    assert group.standings() == {Standing.MAJORITY}
    return group


def deaths(group: Group, since: float, about: str | None = None) -> list[float]:
    return [
        seen.at_s - since for seen in group.history
        if seen.at_s > since and seen.state is State.DEAD and about in (None, seen.about)
    ]  # fmt: skip


def test_a_dead_member_is_found_by_all_and_no_one_else_is_suspected() -> None:
    group = started()
    at = group.now_s
    group.kill("n3")
    assert group.run(15, lambda: all(group.state(n.name, "n3") is State.DEAD for n in group.running()))
    assert {seen.about for seen in group.history if seen.state is State.DEAD} == {"n3"}
    assert max(deaths(group, at)) < 8


def test_a_member_that_leaves_is_not_suspected_and_not_mourned() -> None:
    group = started()
    group.leave("n3")
    group.run(1)
    group.kill("n3")
    assert all(group.state(node.name, "n3") is State.LEFT for node in group.running())
    group.run(20)
    assert not deaths(group, 0)


def test_a_stopped_member_refutes_on_its_way_back_and_accuses_nobody() -> None:
    """3 s of SIGSTOP: it may be called dead meanwhile; no flap storm follows, and it calls nobody dead.

    Its socket's buffer holds what came, or ran over: then the answers to its own probes are lost.
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
        assert {seen.about for seen in about} <= {"n3"}, "nobody else changed in any view"
        assert max(sum(seen.by == node.name for seen in about) for node in group.running()) <= 4
        assert group.agreed() and group.standings() == {Standing.MAJORITY}


def test_a_cut_of_three_from_five_leaves_one_side_that_may_decide_and_one_view_after() -> None:
    group = started()
    few, many = ["n0", "n1", "n2"], [f"n{n}" for n in range(3, 8)]
    group.cut(few, many)
    group.run(20)
    assert group.standings(few) == {Standing.MINORITY} and group.standings(many) == {Standing.MAJORITY}
    group.heal()
    assert group.run(10, group.agreed)
    group.run(1)
    assert group.standings() == {Standing.MAJORITY}
    assert all(len(node.protocol.view) == 8 for node in group.running() if node.protocol)


def test_one_that_is_cut_off_alone_is_unsure_within_ten_intervals() -> None:
    """Its own probes slow down as they fail; four failed ones, which its table needs, took over 10 s."""
    for seed in range(3):
        group = started(seed=seed)
        group.cut(["n0"], [f"n{n}" for n in range(1, 8)])
        group.run(10 * group.timing.interval.total_seconds() + 0.6)
        assert Standing.MAJORITY not in group.standings(["n0"])
        group.heal()
        assert group.run(20, group.agreed)
        group.run(2)
        assert group.standings() == {Standing.MAJORITY}


def test_newcomers_in_a_minority_do_not_make_it_a_majority() -> None:
    group = started()
    few, many = ["n0", "n1", "n2"], [f"n{n}" for n in range(3, 8)]
    guests = [group.add(f"g{n}", (f"10.9.0.{n + 1}", 7946)).name for n in range(6)]
    group.cut([*few, *guests], many)
    group.start(guests)
    group.run(20)
    assert group.state("n0", "g1") is State.ALIVE
    assert group.standings(few) == {Standing.MINORITY}
    assert Standing.MAJORITY not in group.standings(guests)


def test_a_one_way_cut_is_bridged_by_relays_or_known_and_heals() -> None:
    """A hears B, B does not hear A: relays carry the probes, and nobody is called dead for good."""
    group = started()
    group.cut(["n0"], ["n1"], both=False)
    group.run(30)
    assert not [seen for seen in group.history if seen.state is State.SUSPECT]
    group.cut(["n0"], [f"n{n}" for n in range(1, 8)], both=False)  # it hears all, and none hears it
    assert group.run(20, lambda: all(group.state(f"n{n}", "n0") is State.DEAD for n in range(1, 8)))
    group.run(20)
    assert group.standings(["n0"]) <= {Standing.MINORITY, Standing.UNSURE}, "it hears of its own death"
    group.heal()
    assert group.run(10, group.agreed)


def test_half_killed_and_back_within_a_second_is_one_group_again() -> None:
    group = started()
    half = [f"n{n}" for n in range(4)]
    group.kill(*half)
    group.run(0.8)
    group.start(half)
    assert group.run(5, group.agreed)
    group.run(2)
    assert group.standings() == {Standing.MAJORITY}
    group.run(30)
    assert group.agreed() and all(len(n.protocol.view) == 8 for n in group.running() if n.protocol)


def test_two_restarts_within_the_time_of_a_suspicion_are_one_member() -> None:
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


def test_clocks_thirty_seconds_apart_change_nothing() -> None:
    plain, skewed = Group(8, 5), Group(8, 5)
    for number, node in enumerate(skewed.nodes.values()):
        node.skew = timedelta(seconds=30 * (number % 3 - 1))
    for group in (plain, skewed):
        group.start()
        group.run(15)
        group.kill("n3")
        group.run(15)
    assert plain.history == skewed.history


def test_a_datagram_of_a_retired_member_a_minute_later_brings_nobody_back() -> None:
    group = started()
    guest = group.add("g1", ("10.9.0.1", 7946))
    group.start(["g1"])
    group.run(5)
    assert group.state("n0", "g1") is State.ALIVE and guest.protocol is not None
    late, _ = write(GROUP, Message(Kind.PING, 1, guest.protocol.me, b"12345678"))
    group.leave("g1")
    group.run(1)
    group.kill("g1")
    group.run(60)
    group._deliver(group.nodes["n0"], guest.address, late)
    group.run(5)
    assert {group.state(f"n{n}", "g1") for n in range(8)} == {State.LEFT}


def test_strangers_and_forged_senders_are_counted_and_change_nothing() -> None:
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
        assert not node.protocol.heard(group.clock(node), source, data)
        assert COUNTERS[f"members.dropped.{reason}"] == count + 1
    assert node.protocol.view.version == before


@pytest.mark.parametrize("loss", [0.1, 0.3])
def test_loss_on_every_link_kills_nobody(loss: float) -> None:
    group = Group(8, 3, link=Link(loss=loss, duplicate=0.1, delay_s=(0.004, 0.032)))
    group.start()
    group.run(180)
    assert not deaths(group, 0)
    group.kill("n3")
    assert group.run(60, lambda: all(group.state(n.name, "n3") is State.DEAD for n in group.running()))


def test_what_gossip_missed_is_mended_by_digests() -> None:
    """A guest left while n0 was cut off. Nobody speaks of it any more, and it does not answer."""
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


def test_who_is_suspected_hears_of_it_first_of_all() -> None:
    """The buddy system: whatever else is new, a probe of a suspected member begins with the suspicion."""
    group = started()
    node = group.nodes["n0"].protocol
    assert node is not None
    known = node.view.get("n1")
    assert known is not None
    group.cut(["n0"], ["n1"])
    node._learn(group.clock(group.nodes["n0"]), known.as_state(State.SUSPECT, "n2"))
    node._spread.drop("n1")  # it was passed on often enough
    for number in range(90, 130):
        node._spread.put(other(f"n{number}"))
    node._probe(group.clock(group.nodes["n0"]), "n1")
    sent = [output for output in node._done() if isinstance(output, Send) and output.to == known.address]
    first = read(GROUP, sent[-1].data).records[0]
    assert (first.name, first.state) == ("n1", State.SUSPECT)


def test_a_member_that_hears_nothing_slows_down_and_the_others_do_not() -> None:
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
    """Kills, restarts, stops, cuts and time, in any order."""

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
    def nobody_decides_whose_own_table_shows_no_majority(self) -> None:
        for node in getattr(self, "group", Group(0, 0)).running():
            assert node.protocol is not None
            if node.protocol.standing.has_quorum:
                alive = sum(record.state is State.ALIVE for record in node.protocol.view)
                assert alive >= self.group.voters.majority

    def teardown(self) -> None:
        group = getattr(self, "group", None)
        if group is None:
            return
        # Whatever came before: once ways are whole and nobody is stopped, all come to one view of who runs.
        group.heal()
        assert group.run(120, lambda: group.agreed() or not group.running()) or not group.running()


Chaos.TestCase.settings = settings(max_examples=25, stateful_step_count=12, deadline=None, derandomize=True)
TestChaos = Chaos.TestCase


@given(st.integers(1, 2000), st.integers(0, 2000), st.integers(0, 2000))
def test_however_many_are_cut_off_all_together_take_no_more_than_a_cold_server_bears(
    configured: int, alive: int, guests: int
) -> None:
    """The alive ones go by the view, those cut off by the settings: the module leaves 13/16 of what tips."""
    alive = min(alive, configured)
    if alive * 2 <= configured:
        assert sharing_instances(configured, max(1, alive), sure=False) >= configured
        return
    ours = alive / sharing_instances(configured, alive, sure=True)
    theirs = (configured - alive) / sharing_instances(configured, configured - alive, sure=False)
    assert 13 / 16 * (ours + theirs) < 1
    assert sharing_instances(configured, configured + guests, sure=False) == configured + guests
