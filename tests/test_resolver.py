"""The resolver against a name server that does all that is in its plan of faults."""

from __future__ import annotations

import random
from collections.abc import Iterator
from datetime import timedelta

import dns.message
import dns.rdatatype
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reedmount.core.checks import COUNTERS
from reedmount.dns.answers import Answer, Fault, meaning
from reedmount.dns.cache import Cache, CacheLimits
from reedmount.dns.health import ALONE_REST, BESIDE_REST, JITTER, NameServers
from reedmount.dns.query import LookupFailed, QueryTimeouts
from reedmount.dns.reader import MAX_RECORDS, Question, ReadError, read_head, read_reply
from reedmount.dns.resolver import MAX_FLIGHTS, Resolver, ResolverSettings
from standins.nameserver import FAULTS, NameServer
from standins.world import World

S, MS = timedelta(seconds=1), timedelta(milliseconds=1)
SRV = Question("_sip._tcp.calls.example.", dns.rdatatype.SRV)
ZURICH = Question("zurich.calls.example.", dns.rdatatype.A)


class Net(World):
    """A resolver with some name servers."""

    def __init__(self, servers: int = 1, **bounds: object) -> None:
        super().__init__()
        self.servers = [NameServer(seed=number) for number in range(servers)]
        for server in self.servers:
            server.srv(SRV.name, (10, 60, 5070, "zurich"), (20, 40, 5071, "geneva"))
            server.host("zurich", "127.0.0.2", "::1")
            server.host("geneva", "127.0.0.3")
        self.stands += self.servers
        self.resolver = Resolver(
            self.loop,
            ResolverSettings(tuple(s.address for s in self.servers), limits=CacheLimits(**bounds)),  # type: ignore[arg-type]
            random.Random(3),
        )

    def plan(self, name: str, **words: float) -> None:
        for server in self.servers:
            server.plan(name, **words)  # type: ignore[arg-type]

    def ask(self, question: Question = SRV, fresh: bool = False) -> Answer | LookupFailed:
        got: list[Answer | LookupFailed] = []
        self.resolver.resolve(question, got.append, fresh)
        assert self.until(lambda: bool(got), 20 * S), "no end"
        assert len(got) == 1
        return got[0]

    def good(self, question: Question = SRV, fresh: bool = False) -> Answer:
        answer = self.ask(question, fresh=fresh)
        assert isinstance(answer, Answer)
        return answer

    def given_up(self, question: Question = SRV) -> str:
        answer = self.ask(question)
        assert isinstance(answer, LookupFailed)
        assert self.seconds <= 5.01, "within the deadline of the question"
        return answer.why


@pytest.fixture
def net() -> Iterator[Net]:
    made = Net()
    yield made
    made.resolver.close()
    assert made.loop.watched_count == 0, "a socket was left"


@pytest.fixture
def pair() -> Iterator[Net]:
    made = Net(2)
    yield made
    made.resolver.close()
    assert made.loop.watched_count == 0


def test_a_good_answer_has_targets_addresses_and_a_lifetime(net: Net) -> None:
    answer = net.good()
    assert [(t.priority, t.weight, t.port, t.host) for t in answer.targets] == [
        (10, 60, 5070, "zurich.calls.example."), (20, 40, 5071, "geneva.calls.example.")]  # fmt: skip
    assert answer.ttl == 30 and answer.extra[ZURICH].addresses == ("127.0.0.2",)
    assert net.servers[0].asked[0].size == 1232
    assert net.good(ZURICH).addresses == ("127.0.0.2",), "it came along: it is not asked for"
    assert net.servers[0].counts["udp"] == 1 and not net.servers[0].counts["tcp"]


def test_one_question_is_in_flight_however_many_ask_and_the_cache_answers_for_its_lifetime() -> None:
    net = Net()
    got: list[object] = []
    for _ in range(50):
        net.resolver.resolve(SRV, got.append)
    net.until(lambda: len(got) == 50, S)
    assert len(got) == 50 and net.servers[0].counts["SRV"] == 1
    net.run(29 * S, S)
    net.good()
    assert net.servers[0].counts["SRV"] == 1
    net.run(2 * S, S)
    net.good()
    assert net.servers[0].counts["SRV"] == 2


@pytest.mark.parametrize(
    "plan", ["truncates", "silent-udp", "no-edns", "forged-first", "ttl-zero", "ttl-68-years"]
)
def test_faults_that_a_resolver_sees_through(net: Net, plan: str) -> None:
    net.plan(plan)
    answer = net.good()
    assert len(answer.targets) == 2
    if plan == "silent-udp":
        assert net.servers[0].counts["tcp"] == 1 and net.servers[0].counts["udp"] == 2
    kept = net.resolver.cache.get(net.now, SRV)
    assert kept is not None and S <= kept.until - net.now <= 300 * S


@pytest.mark.parametrize(
    ("plan", "counter"),
    [
        ("truncates-always", "dns.fault.cut"), ("servfail", "dns.fault.servfail"),
        ("refused", "dns.fault.refused"), ("silence", "dns.fault.lost"), ("wrong-id", "dns.dropped.id"),
        ("wrong-question", "dns.dropped.question"), ("wrong-source", "dns.fault.lost"),
        ("garbage", "dns.dropped.unreadable"), ("half-tcp", "dns.fault.half"),
        ("slow", "dns.fault.lost"), ("cname-loop", "dns.fault.chain"), ("cname-endless", "dns.fault.chain"),
        ("lame", "dns.fault.lame"), ("no-such-name-without-soa", "dns.fault.lame"),
    ],
)  # fmt: skip
def test_faults_that_end_in_no_answer_and_never_in_a_wrong_one(net: Net, plan: str, counter: str) -> None:
    before = COUNTERS[counter]
    net.plan(plan)
    net.given_up()
    assert COUNTERS[counter] > before
    net.plan("good")
    net.run(5 * S)
    assert len(net.good().targets) == 2, "and it recovers"


@pytest.mark.parametrize("plan", sorted(FAULTS))
def test_with_a_good_name_server_beside_it_every_fault_is_got_over(pair: Net, plan: str) -> None:
    if plan in ("cname-loop", "cname-endless"):
        return  # these are answers: the zone is wrong, not the server
    pair.servers[0].plan(plan)
    for _ in range(3):
        answer = pair.good(fresh=True)
        names = {target.host for target in answer.targets}
        assert {"zurich.calls.example.", "geneva.calls.example."} <= names
        pair.run(S)


def test_where_no_datagram_gets_through_two_name_servers_are_asked_over_tcp_in_the_second_round(
    pair: Net,
) -> None:
    """Each had to lose two, which took longer than the question's deadline where that is short."""
    pair.plan("silent-udp")
    assert len(pair.good().targets) == 2 and pair.seconds < 1.6
    assert sum(server.counts["udp"] for server in pair.servers) == 2
    for _ in range(30):
        pair.run(2 * S)
        pair.good(fresh=True)
    assert sum(server.counts["udp"] for server in pair.servers) < 20, "both are known to lose datagrams"
    pair.plan("good")
    for _ in range(90):
        pair.run(2 * S, 50 * MS)
        pair.good(fresh=True)
    assert min(server.datagrams_lost for server in pair.resolver.health.all.values()) == 0


def test_a_dead_name_server_is_asked_once_a_rest_over_each_way_and_recovers(pair: Net) -> None:
    """Beside a good one its rest is some seconds, and a trial costs its question little."""
    pair.good()
    dead, alive = sorted(pair.servers, key=lambda server: -server.counts["udp"])
    dead.plan("silence")
    began = pair.seconds
    for _ in range(300):
        pair.good(fresh=True)
        pair.run(S, 50 * MS)
    rests = (pair.seconds - began) / (BESIDE_REST.total_seconds() * JITTER[0])
    assert len(dead.asked) <= 2 * rests + 4 and len(alive.asked) >= 300
    dead.plan("good")
    before = len(dead.asked)
    for _ in range(90):
        pair.good(fresh=True)
        pair.run(S, 50 * MS)
    assert len(dead.asked) > before and not pair.resolver.health.all[dead.address].dead


def test_all_dead_is_soon_known_and_the_first_that_is_back_is_found(pair: Net) -> None:
    for server in pair.servers:
        server.kill()
    assert "reachable" in pair.given_up()
    pair.servers[1].revive()
    for _ in range(80):
        answer = pair.ask(fresh=True)
        if isinstance(answer, Answer):
            break
        pair.run(S, 50 * MS)
    assert isinstance(answer, Answer)


def test_an_answer_that_comes_after_its_question_was_given_up_changes_nothing(net: Net) -> None:
    net.plan("slow", seconds=30)
    net.given_up()
    net.servers[0].srv(SRV.name)
    net.run(60 * S, 50 * MS)
    assert net.resolver.cache.get(net.now, SRV) is None and not net.resolver.flying


def test_no_such_name_and_no_such_records_are_answers_where_the_zone_says_so(net: Net) -> None:
    assert net.good(Question("none.calls.example.", dns.rdatatype.A)).records == 0
    answer = net.good(Question("geneva.calls.example.", dns.rdatatype.AAAA))
    assert answer.records == 0 and answer.ttl == 5


def test_a_chain_of_aliases_is_followed_within_one_deadline_and_a_bound(net: Net) -> None:
    server = net.servers[0]
    for step in range(5):
        server.put(f"alias{step}", 30 - step, "CNAME", f"alias{step + 1}.calls.example.")
    server.put("alias5", 60, "CNAME", "zurich.calls.example.")
    answer = net.good(Question("alias0.calls.example.", dns.rdatatype.A))
    assert answer.addresses == ("127.0.0.2",) and answer.ttl == 26


def test_ids_and_ports_do_not_follow_from_one_another(net: Net) -> None:
    for _ in range(60):
        net.good(fresh=True)
    ids = [asked.message.id for asked in net.servers[0].asked]
    steps = {(b - a) % 65536 for a, b in zip(ids, ids[1:], strict=False)}
    assert len(set(ids)) > 55 and len(steps) > 55


def test_questions_beyond_the_bound_wait_their_turn(net: Net) -> None:
    got: list[object] = []
    for number in range(3 * MAX_FLIGHTS):
        net.resolver.resolve(Question(f"h{number}.calls.example.", dns.rdatatype.A), got.append)
    assert net.resolver.flying == MAX_FLIGHTS
    assert net.until(lambda: len(got) == 3 * MAX_FLIGHTS, 10 * S)


def test_two_thousand_targets_come_in_slices(net: Net) -> None:
    """One turn reads 48 records at most; the whole answer, over TCP, is there in a fraction of a second."""
    net.servers[0].srv(SRV.name, *((10, 1, port, "zurich") for port in range(1, 2001)))
    answer = net.good()
    assert len(answer.targets) == 2000 and net.seconds < 0.5


def test_an_answer_beyond_the_bound_of_records_is_no_answer(net: Net) -> None:
    net.servers[0].host("crowd", *(f"10.0.{n // 250}.{n % 250}" for n in range(MAX_RECORDS + 1)))
    before = COUNTERS["dns.fault.unreadable"]
    net.given_up(Question("crowd.calls.example.", dns.rdatatype.A))
    assert COUNTERS["dns.fault.unreadable"] > before


def test_the_cache_is_bounded_in_number_and_memory_and_lets_the_longest_unused_go() -> None:
    world = World()
    cache = Cache(CacheLimits(entries=100, memory=100_000))
    names = [Question(f"h{n}.", dns.rdatatype.A) for n in range(300)]
    for question in names:
        cache.put(world.now, question, Answer(60, addresses=("192.0.2.1",)))
        cache.get(world.now, names[0])
    assert len(cache) <= 100 and 0 < cache.memory <= 100_000
    assert cache.get(world.now, names[0]) is not None and cache.get(world.now, names[1]) is None
    cache.put(world.now, names[5], Answer(60, addresses=("192.0.2.1",) * 1000))
    assert cache.memory <= 100_000 and cache.get(world.now, names[5]) is None
    world.seconds += 61
    for question in names:
        cache.get(world.now, question)
    assert len(cache) == 0 and cache.memory == 0


def test_a_name_server_that_was_taken_from_the_settings_is_not_asked(pair: Net) -> None:
    gone, kept = pair.servers
    pair.resolver.apply_settings(ResolverSettings((kept.address,)))
    for _ in range(5):
        pair.good(fresh=True)
    assert not gone.asked and len(kept.asked) == 5


def test_health_prefers_the_quick_and_gives_each_dead_one_a_single_trial() -> None:
    world, one, two = World(), ("127.0.0.1", 1), ("127.0.0.1", 2)
    health = NameServers((one, two), random.Random(1))
    health.answered(one, 200 * MS)
    health.answered(two, 10 * MS)
    assert health.pick(world.now, ()) == (two, False)
    for _ in range(3):
        health.failed(world.now, two)
    assert health.pick(world.now, ()) == (one, False)
    world.seconds += 6
    assert [health.pick(world.now, ()) for _ in range(3)] == [(two, True), (one, False), (one, False)]


def test_a_rest_begun_beside_others_is_cut_short_when_they_die_too() -> None:
    world, one, two = World(), ("127.0.0.1", 1), ("127.0.0.1", 2)
    health = NameServers((one, two), random.Random(1))
    for _ in range(8):
        health.failed(world.now, one)
    assert health.rested_at(health.all[one]) == world.now + BESIDE_REST * health.all[one].jitter
    for _ in range(3):
        health.failed(world.now, two)
    assert health.rested_at(health.all[one]) == world.now + ALONE_REST * health.all[one].jitter


def outage(net: Net, ways: str, seconds: float = 3.0) -> float:
    """Well over these ways, silent for so long, then well again: seconds until the resolver knows."""
    well = {"both": "good", "udp": "good", "tcp": "silent-udp"}[ways]
    net.plan(well)
    if ways == "udp":
        for server in net.servers:
            server.refuse_tcp()
    net.good()
    net.plan("silence")
    end = net.seconds + seconds
    while net.seconds < end:
        net.resolver.resolve(SRV, lambda _: None, fresh=True)
        net.run(500 * MS, 10 * MS)
    net.plan(well)
    back = net.seconds
    health = net.resolver.health.all
    while any(server.failures for server in health.values()) and net.seconds < back + 60:
        if not net.resolver.flying:
            net.resolver.resolve(SRV, lambda _: None, fresh=True)
        net.run(10 * MS)
    return net.seconds - back


# The bound: a rest of ALONE_REST times the jitter at most, a try of one that failed waits 100 ms; a question
# every 0.5 s.
ALONE_BOUND_S = ALONE_REST.total_seconds() * JITTER[1] + 0.5


@pytest.mark.parametrize("ways", ["udp", "tcp", "both"])
def test_one_name_server_alone_is_found_again_within_its_bound_after_a_short_outage(
    net: Net, ways: str
) -> None:
    """Found by a probe: one that answers over UDP only was silent for 3 s; after 60 s nothing was learnt."""
    assert outage(net, ways) <= ALONE_BOUND_S


def test_two_dead_then_either_back_is_found_within_the_bound_alone(pair: Net) -> None:
    for back in pair.servers:
        for server in pair.servers:
            server.kill()
        pair.run(8 * S, 100 * MS)
        back.revive()
        began = pair.seconds
        while isinstance(pair.ask(fresh=True), LookupFailed):
            pair.run(10 * MS)
        assert pair.seconds - began <= ALONE_BOUND_S + QueryTimeouts().deadline.total_seconds() / 5
        for server in pair.servers:
            server.revive()
        pair.run(S)


def test_one_of_two_after_an_outage_is_known_well_within_the_bound_beside_others(pair: Net) -> None:
    pair.good()
    out = max(pair.servers, key=lambda server: len(server.asked))  # the one that is asked first
    out.plan("silence")
    for _ in range(10):
        pair.good(fresh=True)
        pair.run(500 * MS, 10 * MS)
    assert pair.resolver.health.all[out.address].failures, "the outage was noticed"
    out.plan("good")
    back = pair.seconds
    while pair.resolver.health.all[out.address].failures:
        if not pair.resolver.flying:
            pair.resolver.resolve(SRV, lambda _: None, fresh=True)
        pair.run(10 * MS)
    assert pair.seconds - back <= BESIDE_REST.total_seconds() * JITTER[1] + 0.5


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=300), st.integers(0, 3))
def test_no_bytes_from_the_net_do_more_than_be_unreadable(noise: bytes, where: int) -> None:
    query = dns.message.make_query(SRV.name, "SRV")
    wire = dns.message.make_response(query).to_wire()
    data = (noise, wire + noise, wire[:7] + noise + wire[7:], noise[:8] + b"\0\x09" * 2 + noise)[where]
    try:
        read_head(data)
        for _ in (reading := read_reply(data)):
            pass
        reading.close()
    except ReadError:
        pass


def test_tc_is_never_taken_for_an_answer() -> None:
    query = dns.message.make_query(SRV.name, "SRV")
    reading = read_reply(dns.message.make_response(query).to_wire())
    with pytest.raises(StopIteration) as end:
        while True:
            next(reading)
    reply = end.value.value
    assert meaning(reply, SRV) is Fault.LAME
    reply.flags |= 0x0200
    assert meaning(reply, SRV) is Fault.CUT


def test_a_question_is_patient_but_not_for_ever() -> None:
    assert QueryTimeouts().first < QueryTimeouts().longest < QueryTimeouts().deadline
