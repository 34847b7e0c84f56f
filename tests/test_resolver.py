"""The resolver against name servers with scripted faults."""

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
from reedmount.dns.answers import Answer, Fault, interpret
from reedmount.dns.cache import Cache, CacheLimits
from reedmount.dns.health import JITTER, MAX_BACKOFF_ALONE, MAX_BACKOFF_WITH_OTHERS, NameServers
from reedmount.dns.query import LookupFailed, QueryTimeouts
from reedmount.dns.reader import MAX_RECORDS, Question, ReadError, read_head, read_reply
from reedmount.dns.resolver import MAX_IN_FLIGHT, Resolver, ResolverSettings
from standins.nameserver import FAULTS, NameServer
from standins.world import World

S, MS = timedelta(seconds=1), timedelta(milliseconds=1)
SRV = Question("_sip._tcp.calls.example.", dns.rdatatype.SRV)
ZURICH = Question("zurich.calls.example.", dns.rdatatype.A)


class Net(World):
    """A resolver with some name servers."""

    def __init__(self, servers: int = 1, **cache_limits: object) -> None:
        super().__init__()
        self.servers = [NameServer(seed=number) for number in range(servers)]
        for server in self.servers:
            server.srv(SRV.name, (10, 60, 5070, "zurich"), (20, 40, 5071, "geneva"))
            server.host("zurich", "127.0.0.2", "::1")
            server.host("geneva", "127.0.0.3")
        self.stand_ins += self.servers
        self.resolver = Resolver(
            self.loop,
            ResolverSettings(tuple(s.address for s in self.servers), limits=CacheLimits(**cache_limits)),  # type: ignore[arg-type]
            random.Random(3),
        )

    def plan(self, name: str, **options: float) -> None:
        for server in self.servers:
            server.plan(name, **options)  # type: ignore[arg-type]

    def lookup(self, question: Question = SRV, fresh: bool = False) -> Answer | LookupFailed:
        results: list[Answer | LookupFailed] = []
        self.resolver.resolve(question, results.append, fresh)
        assert self.run_until(lambda: bool(results), 20 * S), "the question did not end"
        assert len(results) == 1
        return results[0]

    def lookup_good(self, question: Question = SRV, fresh: bool = False) -> Answer:
        answer = self.lookup(question, fresh=fresh)
        assert isinstance(answer, Answer)
        return answer

    def lookup_failure(self, question: Question = SRV) -> str:
        answer = self.lookup(question)
        assert isinstance(answer, LookupFailed)
        assert self.seconds <= 5.01, "exceeds the deadline of the question"
        return answer.why


@pytest.fixture
def net() -> Iterator[Net]:
    made = Net()
    yield made
    made.resolver.close()
    assert made.loop.watched_count == 0, "a socket was not closed"


@pytest.fixture
def pair() -> Iterator[Net]:
    made = Net(2)
    yield made
    made.resolver.close()
    assert made.loop.watched_count == 0


def test_an_answer_has_targets_addresses_and_a_ttl(net: Net) -> None:
    answer = net.lookup_good()
    assert [(t.priority, t.weight, t.port, t.host) for t in answer.targets] == [
        (10, 60, 5070, "zurich.calls.example."), (20, 40, 5071, "geneva.calls.example.")]  # fmt: skip
    assert answer.ttl == 30 and answer.extra[ZURICH].addresses == ("127.0.0.2",)
    assert net.servers[0].queries[0].size == 1232
    assert net.lookup_good(ZURICH).addresses == ("127.0.0.2",), (
        "cached from the additional section, not queried"
    )
    assert net.servers[0].counts["udp"] == 1 and not net.servers[0].counts["tcp"]


def test_requests_share_a_query_and_the_cache_answers_until_expiry() -> None:
    net = Net()
    results: list[object] = []
    for _ in range(50):
        net.resolver.resolve(SRV, results.append)
    net.run_until(lambda: len(results) == 50, S)
    assert len(results) == 50 and net.servers[0].counts["SRV"] == 1
    net.run(29 * S, S)
    net.lookup_good()
    assert net.servers[0].counts["SRV"] == 1
    net.run(2 * S, S)
    net.lookup_good()
    assert net.servers[0].counts["SRV"] == 2


@pytest.mark.parametrize(
    "plan", ["truncates", "silent-udp", "no-edns", "forged-first", "ttl-zero", "ttl-68-years"]
)
def test_faults_that_do_not_prevent_an_answer(net: Net, plan: str) -> None:
    net.plan(plan)
    answer = net.lookup_good()
    assert len(answer.targets) == 2
    if plan == "silent-udp":
        assert net.servers[0].counts["tcp"] == 1 and net.servers[0].counts["udp"] == 2
    cached = net.resolver.cache.get(net.now, SRV)
    assert cached is not None and S <= cached.expires_at - net.now <= 300 * S


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
def test_faults_that_end_without_an_answer_and_never_with_a_wrong_one(
    net: Net, plan: str, counter: str
) -> None:
    before = COUNTERS[counter]
    net.plan(plan)
    net.lookup_failure()
    assert COUNTERS[counter] > before
    net.plan("good")
    net.run(5 * S)
    assert len(net.lookup_good().targets) == 2, "and it recovers"


@pytest.mark.parametrize("plan", sorted(FAULTS))
def test_a_second_working_name_server_makes_up_for_every_fault(pair: Net, plan: str) -> None:
    if plan in ("cname-loop", "cname-endless"):
        return  # a fault of the zone, which any server answers alike
    pair.servers[0].plan(plan)
    for _ in range(3):
        answer = pair.lookup_good(fresh=True)
        names = {target.host for target in answer.targets}
        assert {"zurich.calls.example.", "geneva.calls.example."} <= names
        pair.run(S)


def test_two_name_servers_that_lose_datagrams_are_queried_over_tcp_in_the_second_round(
    pair: Net,
) -> None:
    """Guards against counting losses per name server: two on each took longer than a short deadline."""
    pair.plan("silent-udp")
    assert len(pair.lookup_good().targets) == 2 and pair.seconds < 1.6
    assert sum(server.counts["udp"] for server in pair.servers) == 2
    for _ in range(30):
        pair.run(2 * S)
        pair.lookup_good(fresh=True)
    assert sum(server.counts["udp"] for server in pair.servers) < 20, "both are known to lose datagrams"
    pair.plan("good")
    for _ in range(90):
        pair.run(2 * S, 50 * MS)
        pair.lookup_good(fresh=True)
    assert min(server.udp_failures for server in pair.resolver.health.all.values()) == 0


def test_a_dead_name_server_gets_one_trial_per_backoff_and_transport_and_recovers(pair: Net) -> None:
    """While another works, its back-off is some seconds, and a trial delays its question little."""
    pair.lookup_good()
    dead, alive = sorted(pair.servers, key=lambda server: -server.counts["udp"])
    dead.plan("silence")
    started = pair.seconds
    for _ in range(300):
        pair.lookup_good(fresh=True)
        pair.run(S, 50 * MS)
    backoffs = (pair.seconds - started) / (MAX_BACKOFF_WITH_OTHERS.total_seconds() * JITTER[0])
    assert len(dead.queries) <= 2 * backoffs + 4 and len(alive.queries) >= 300
    dead.plan("good")
    before = len(dead.queries)
    for _ in range(90):
        pair.lookup_good(fresh=True)
        pair.run(S, 50 * MS)
    assert len(dead.queries) > before and not pair.resolver.health.all[dead.address].is_dead


def test_all_name_servers_dead_fails_early_and_the_first_to_recover_is_found(pair: Net) -> None:
    for server in pair.servers:
        server.kill()
    assert "reachable" in pair.lookup_failure()
    pair.servers[1].revive()
    for _ in range(80):
        answer = pair.lookup(fresh=True)
        if isinstance(answer, Answer):
            break
        pair.run(S, 50 * MS)
    assert isinstance(answer, Answer)


def test_a_late_answer_to_an_abandoned_question_is_ignored(net: Net) -> None:
    net.plan("slow", seconds=30)
    net.lookup_failure()
    net.servers[0].srv(SRV.name)
    net.run(60 * S, 50 * MS)
    assert net.resolver.cache.get(net.now, SRV) is None and not net.resolver.in_flight


def test_negative_answers_are_valid_with_an_soa(net: Net) -> None:
    assert net.lookup_good(Question("none.calls.example.", dns.rdatatype.A)).records == 0
    answer = net.lookup_good(Question("geneva.calls.example.", dns.rdatatype.AAAA))
    assert answer.records == 0 and answer.ttl == 5


def test_a_cname_chain_is_followed_and_has_the_lowest_ttl(net: Net) -> None:
    server = net.servers[0]
    for step in range(5):
        server.set_records(f"alias{step}", 30 - step, "CNAME", f"alias{step + 1}.calls.example.")
    server.set_records("alias5", 60, "CNAME", "zurich.calls.example.")
    answer = net.lookup_good(Question("alias0.calls.example.", dns.rdatatype.A))
    assert answer.addresses == ("127.0.0.2",) and answer.ttl == 26


def test_query_ids_are_not_predictable(net: Net) -> None:
    for _ in range(60):
        net.lookup_good(fresh=True)
    ids = [asked.message.id for asked in net.servers[0].queries]
    steps = {(b - a) % 65536 for a, b in zip(ids, ids[1:], strict=False)}
    assert len(set(ids)) > 55 and len(steps) > 55


def test_questions_beyond_the_limit_are_queued(net: Net) -> None:
    results: list[object] = []
    for number in range(3 * MAX_IN_FLIGHT):
        net.resolver.resolve(Question(f"h{number}.calls.example.", dns.rdatatype.A), results.append)
    assert net.resolver.in_flight == MAX_IN_FLIGHT
    assert net.run_until(lambda: len(results) == 3 * MAX_IN_FLIGHT, 10 * S)


def test_two_thousand_targets_are_read_in_slices(net: Net) -> None:
    """A turn reads at most 48 records; the whole answer over TCP is complete in a fraction of a second."""
    net.servers[0].srv(SRV.name, *((10, 1, port, "zurich") for port in range(1, 2001)))
    answer = net.lookup_good()
    assert len(answer.targets) == 2000 and net.seconds < 0.5


def test_an_answer_with_too_many_records_is_rejected(net: Net) -> None:
    net.servers[0].host("crowd", *(f"10.0.{n // 250}.{n % 250}" for n in range(MAX_RECORDS + 1)))
    before = COUNTERS["dns.fault.unreadable"]
    net.lookup_failure(Question("crowd.calls.example.", dns.rdatatype.A))
    assert COUNTERS["dns.fault.unreadable"] > before


def test_the_cache_is_bounded_and_evicts_the_least_recently_used() -> None:
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


def test_a_name_server_removed_from_the_settings_is_not_queried(pair: Net) -> None:
    removed, remaining = pair.servers
    pair.resolver.apply_settings(ResolverSettings((remaining.address,)))
    for _ in range(5):
        pair.lookup_good(fresh=True)
    assert not removed.queries and len(remaining.queries) == 5


def test_the_quickest_name_server_is_picked_and_a_dead_one_gets_a_single_trial() -> None:
    world, one, two = World(), ("127.0.0.1", 1), ("127.0.0.1", 2)
    health = NameServers((one, two), random.Random(1))
    health.record_answer(one, 200 * MS)
    health.record_answer(two, 10 * MS)
    assert health.pick(world.now, ()) == (two, False)
    for _ in range(3):
        health.record_failure(world.now, two)
    assert health.pick(world.now, ()) == (one, False)
    world.seconds += 6
    assert [health.pick(world.now, ()) for _ in range(3)] == [(two, True), (one, False), (one, False)]


def test_a_backoff_is_shortened_when_the_other_name_servers_die() -> None:
    world, one, two = World(), ("127.0.0.1", 1), ("127.0.0.1", 2)
    health = NameServers((one, two), random.Random(1))
    for _ in range(8):
        health.record_failure(world.now, one)
    assert health.due_at(health.all[one]) == world.now + MAX_BACKOFF_WITH_OTHERS * health.all[one].jitter
    for _ in range(3):
        health.record_failure(world.now, two)
    assert health.due_at(health.all[one]) == world.now + MAX_BACKOFF_ALONE * health.all[one].jitter


def outage(net: Net, transports: str, seconds: float = 3.0) -> float:
    """Works over these transports, is silent, works again: seconds until the resolver has noticed."""
    working = {"both": "good", "udp": "good", "tcp": "silent-udp"}[transports]
    net.plan(working)
    if transports == "udp":
        for server in net.servers:
            server.refuse_tcp()
    net.lookup_good()
    net.plan("silence")
    end = net.seconds + seconds
    while net.seconds < end:
        net.resolver.resolve(SRV, lambda _: None, fresh=True)
        net.run(500 * MS, 10 * MS)
    net.plan(working)
    back = net.seconds
    health = net.resolver.health.all
    while any(server.failures for server in health.values()) and net.seconds < back + 60:
        if not net.resolver.in_flight:
            net.resolver.resolve(SRV, lambda _: None, fresh=True)
        net.run(10 * MS)
    return net.seconds - back


# At most a back-off of MAX_BACKOFF_ALONE with jitter; the trial of a failed one times out after 100 ms, and
# there is a question every 0.5 s.
ALONE_RECOVERY_S = MAX_BACKOFF_ALONE.total_seconds() * JITTER[1] + 0.5


@pytest.mark.parametrize("transports", ["udp", "tcp", "both"])
def test_a_single_name_server_recovers_in_time_after_a_short_outage(net: Net, transports: str) -> None:
    """A server reachable only over UDP was once still unused 60 s after an outage of 3 s."""
    assert outage(net, transports) <= ALONE_RECOVERY_S


def test_either_of_two_dead_name_servers_is_found_in_time_when_back(pair: Net) -> None:
    for back in pair.servers:
        for server in pair.servers:
            server.kill()
        pair.run(8 * S, 100 * MS)
        back.revive()
        started = pair.seconds
        while isinstance(pair.lookup(fresh=True), LookupFailed):
            pair.run(10 * MS)
        assert pair.seconds - started <= ALONE_RECOVERY_S + QueryTimeouts().deadline.total_seconds() / 5
        for server in pair.servers:
            server.revive()
        pair.run(S)


def test_one_of_two_name_servers_recovers_in_time_after_an_outage(pair: Net) -> None:
    pair.lookup_good()
    failing = max(pair.servers, key=lambda server: len(server.queries))  # the one that is queried first
    failing.plan("silence")
    for _ in range(10):
        pair.lookup_good(fresh=True)
        pair.run(500 * MS, 10 * MS)
    assert pair.resolver.health.all[failing.address].failures, "the outage was noticed"
    failing.plan("good")
    back = pair.seconds
    while pair.resolver.health.all[failing.address].failures:
        if not pair.resolver.in_flight:
            pair.resolver.resolve(SRV, lambda _: None, fresh=True)
        pair.run(10 * MS)
    assert pair.seconds - back <= MAX_BACKOFF_WITH_OTHERS.total_seconds() * JITTER[1] + 0.5


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=300), st.integers(0, 3))
def test_arbitrary_bytes_raise_at_most_a_read_error(noise: bytes, where: int) -> None:
    query = dns.message.make_query(SRV.name, "SRV")
    wire = dns.message.make_response(query).to_wire()
    data = (noise, wire + noise, wire[:7] + noise + wire[7:], noise[:8] + b"\0\x09" * 2 + noise)[where]
    try:
        read_head(data)
        for _ in (reader := read_reply(data)):
            pass
        reader.close()
    except ReadError:
        pass


def test_a_truncated_reply_is_never_an_answer() -> None:
    query = dns.message.make_query(SRV.name, "SRV")
    reader = read_reply(dns.message.make_response(query).to_wire())
    with pytest.raises(StopIteration) as end:
        while True:
            next(reader)
    reply = end.value.value
    assert interpret(reply, SRV) is Fault.LAME
    reply.flags |= 0x0200
    assert interpret(reply, SRV) is Fault.CUT


def test_the_default_timeouts_are_ordered() -> None:
    assert QueryTimeouts().first < QueryTimeouts().longest < QueryTimeouts().deadline
