"""The program with several sources of call servers, under load and with faulty name servers."""

from __future__ import annotations

import json
import socket
from datetime import timedelta
from pathlib import Path

import pytest

from reedmount.core.checks import COUNTERS, LOGGED_COUNTS
from reedmount.core.lifecycle import Phase
from reedmount.core.ports import Offer, Progress
from reedmount.dns.health import JITTER, MAX_BACKOFF_ALONE
from reedmount.net.connection import format_address
from reedmount.pool.claims import Claim, ClaimState
from reedmount.pool.rule import Rule
from standins.callserver import CallServer
from standins.nameserver import FAULTS
from standins.site import SRV, Site

S, MS = timedelta(seconds=1), timedelta(milliseconds=1)


def campaign(folder: Path, faults: list[str], rate: float) -> tuple[Site, float]:
    """For each fault, drain one server by the list and omit another from SRV, then restore both."""
    more = "ttl_floor_s = 0.5\nttl_ceiling_s = 1.0\ndeadline_ms = 1000"
    site = Site(folder, servers=6, work=100 * MS, ttl=1, more=more)
    callers = site.callers(rate)
    site.run(S)
    started = site.now
    for turn, fault in enumerate(faults):
        callers.start(site.now, 5 * S)
        site.plan(fault)
        drained, omitted = site.servers[turn % 6], site.servers[(turn + 3) % 6]
        site.drain(drained)
        site.publish_srv(omitted)
        site.run(2 * S)
        site.plan("good")
        site.publish_srv()
        site.undrain(drained)
        site.run(3 * S)
        while site.host.pool.sources["srv"].parts[SRV].failures:
            callers.start(site.now, S)  # until a name server is known to be back
            site.run(S)
    until = site.now
    site.run(5 * S)
    assert callers.counts["calls"] > 0 and callers.faults() == []
    assert site.drain_checker.late_setups(site.servers) == []
    return site, callers.established_share(started, until)


def test_drains_and_service_hold_under_load_with_every_fault(tmp_path: Path) -> None:
    """Runs 36 calls/s, 90% of what four of six servers can take; each call gets one final answer."""
    faults = [name for name in FAULTS if name != "good"]
    site, share = campaign(tmp_path, faults, 36.0)
    seen_faults = {fault for fault in faults if any(name.counts[f"did {fault}"] for name in site.dns_servers)}
    assert seen_faults == set(faults)
    assert not site.node.switch.unanswered
    _, undisturbed = campaign(tmp_path, ["good"] * len(faults), 36.0)
    assert abs(undisturbed - share) < 0.01, (
        f"{share} of the calls were established, {undisturbed} without faults"
    )


def test_a_server_removed_by_the_list_gets_no_calls_while_srv_names_it(tmp_path: Path) -> None:
    site = Site(tmp_path)
    callers = site.callers(20)
    callers.start(site.now, 8 * S)
    site.run(2 * S)
    site.drain(site.servers[0], "DELETED")
    site.run(8 * S)
    assert site.drain_checker.late_setups(site.servers) == [] and callers.faults() == []
    entry = site.host.pool.entries[site.servers[0].address]
    assert entry.rule is Rule.GONE
    assert site.host.pool.claim_states(site.now, entry.endpoint)["srv"] is ClaimState.SERVING


def test_srv_drains_a_server_while_the_list_is_silent(tmp_path: Path) -> None:
    site = Site(tmp_path)
    site.run(S)
    site.board.silent = True
    callers = site.callers(20)
    callers.start(site.now, 10 * S)
    site.publish_srv(site.servers[1])
    site.run(12 * S)
    assert (
        site.drain_checker.leaving_spans
        and site.drain_checker.late_setups(site.servers) == []
        and callers.faults() == []
    )
    assert callers.established_share(site.now - 12 * S, site.now) > 0.98


@pytest.mark.parametrize("outage_s", [3, 30])
def test_a_drain_by_srv_takes_effect_soon_after_an_outage_of_a_name_server_without_tcp(
    tmp_path: Path, outage_s: int
) -> None:
    """After 3 s of silence, a name server reachable only over UDP was once not queried for a long time."""
    site = Site(tmp_path, board=False, name_servers=1)
    site.dns_servers[0].refuse_tcp()
    site.run(S)
    assert len(site.serving()) == 3
    site.plan("silence")
    site.publish_srv(site.servers[0])
    site.run(outage_s * S, 50 * MS)
    site.plan("good")
    restored_at = site.seconds
    while site.servers[0].address in site.serving() and site.seconds < restored_at + 60:
        site.run(50 * MS, 50 * MS)
    # The longest lookup back-off in the site's settings (2 s) and the resolver's, each with jitter.
    assert site.seconds - restored_at <= 2 * JITTER[1] + MAX_BACKOFF_ALONE.total_seconds() * JITTER[1] + 0.5


@pytest.mark.parametrize("outage", [30, 600])
def test_answers_delayed_by_30_s_are_ignored_and_the_last_ones_kept(tmp_path: Path, outage: int) -> None:
    """For 30 s and 10 min the last answers stay in use, and late ones are ignored."""
    site = Site(tmp_path, board=False)
    site.run(S)
    known = site.serving()
    assert len(known) == 3
    site.plan("slow", seconds=30)
    site.publish_srv(site.servers[0])
    callers = site.callers(5)
    for _ in range(outage // 30):
        callers.start(site.now, 2 * S)
        site.run(5 * S)
        site.run(25 * S, 50 * MS)
    assert site.serving() == known
    assert {entry.rule for entry in site.host.pool.entries.values()} == {Rule.KEPT}
    assert callers.faults() == [] and all(call.final == 200 for call in callers.calls.values())
    assert not [asked for name in site.dns_servers for asked in name.queries[-1:] if asked.over_tcp is None]
    site.plan("good")
    site.run(60 * S, 50 * MS)
    assert site.serving() == known - {site.servers[0].address}


def test_it_starts_from_the_list_with_all_name_servers_dead(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """It logs the failure and serves from the list; servers new in SRV an hour later are cold."""
    LOGGED_COUNTS.clear()  # earlier tests may have used up the limit for this kind of line
    site = Site(tmp_path, dead=True, cold_s=14.0)
    site.run(8 * S)
    assert "going on with 3 call servers" in capsys.readouterr().err
    assert site.node.switch.lifecycle.phase is Phase.READY
    callers = site.callers(10)
    callers.start(site.now, 3 * S)
    site.run(6 * S)
    assert callers.faults() == [] and callers.established_share(site.now - 6 * S, site.now) == 1.0
    new_server = CallServer()
    site.servers.append(new_server)
    site.stand_ins.append(new_server)
    site.ranks[new_server.address] = (10, 10)
    site.run(3600 * S, S)
    site.publish_srv()
    for name in site.dns_servers:
        name.revive()
    assert site.run_until(lambda: len(site.serving()) == 4, 120 * S)
    entries = site.host.pool.entries
    assert [entries[server.address].started is None for server in site.servers] == [True] * 3 + [False]


def test_without_another_source_calls_are_refused_at_once_until_a_name_server_answers(
    tmp_path: Path,
) -> None:
    site = Site(tmp_path, dead=True, board=False)
    callers = site.callers(10)
    callers.start(site.now, 2 * S)
    site.run(6 * S)
    assert {call.final for call in callers.calls.values()} == {503} and callers.faults() == []
    assert not site.node.switch.lifecycle.ready
    for name in site.dns_servers:
        name.revive()
    assert site.run_until(lambda: len(site.serving()) == 3, 30 * S)
    assert site.node.switch.lifecycle.phase is Phase.READY


def test_a_record_set_that_changes_with_every_answer_loses_no_call(tmp_path: Path) -> None:
    """Every third answer omits a server: it drains and returns cold, and no call is lost."""
    site = Site(tmp_path, board=False, cold_s=0.5, more="ttl_floor_s = 0.5")
    callers = site.callers(10)
    callers.start(site.now, 20 * S)
    for turn in range(40):
        site.publish_srv(site.servers[turn % 3])
        site.run(500 * MS)
    site.run(5 * S)
    assert site.drain_checker.late_setups(site.servers) == [] and callers.faults() == []
    assert (
        len(site.drain_checker.leaving_spans) == 3
        and callers.established_share(site.now - 25 * S, site.now) > 0.95
    )
    assert len(site.host.pool.entries) <= 3 and len(site.host.pool._tombstones) <= 3


def test_a_server_that_moves_between_bands_keeps_its_established_calls(tmp_path: Path) -> None:
    site = Site(tmp_path, board=False)
    site.ranks[site.servers[2].address] = (20, 10)
    site.publish_srv()
    site.run(3 * S)
    former, spare = site.servers[0], site.servers[2]
    callers = site.callers(20)
    callers.hold = 12 * S
    callers.start(site.now, 2 * S)
    site.run(2 * S)
    assert former.established and not spare.invites, "the higher band is closed"
    site.ranks[former.address], site.ranks[spare.address] = (30, 10), (10, 10)
    site.publish_srv()
    site.run(3 * S)
    before = len(former.invites)
    established = set(former.established)
    callers.start(site.now, 3 * S)
    site.run(4 * S)
    assert spare.invites and len(former.invites) == before
    assert established and established <= former.established, "its calls continue"
    site.run(16 * S)
    assert callers.faults() == [] and not former.established, "released by their callers"


def test_the_next_band_opens_under_pressure_and_closes_again(tmp_path: Path) -> None:
    site = Site(tmp_path, board=False, pool="close_s = 3.0")
    for server in site.servers[1:]:
        site.ranks[server.address] = (20, 10)
    site.publish_srv()
    site.run(3 * S)
    callers = site.callers(5)
    callers.start(site.now, 3 * S)
    site.run(3 * S)
    assert site.host.bands.open == [10] and not site.servers[1].invites, "it can take 20 calls/s"
    callers.rate = 15
    site.servers[0].state = "silent"
    callers.start(site.now, 6 * S)
    site.run(7 * S)
    assert site.host.bands.open == [10, 20] and site.servers[1].invites
    site.servers[0].state = "serving"
    callers.rate = 2
    callers.start(site.now, 10 * S)
    site.run(12 * S)
    assert site.host.bands.open == [10]
    assert callers.faults() == []


class RecordingCaller:
    """A caller of the core that records the final results."""

    def __init__(self) -> None:
        self.finals: list[str] = []

    def progressed(self, name: str, progress: Progress, description: bytes) -> None:
        pass

    def answered(self, name: str, description: bytes) -> None:
        self.finals.append("established")

    def refused(self, name: str, pause: timedelta) -> None:
        self.finals.append("refused")

    def failed(self, name: str) -> None:
        self.finals.append("failed")

    def released(self, name: str, cause: int) -> None:
        pass


def test_a_drain_by_srv_stops_a_call_that_was_routed_but_not_sent(tmp_path: Path) -> None:
    """The call comes 1 ms before the drain: routing still chose the server, but nothing is sent to it."""
    site = Site(tmp_path, servers=2, board=False)
    site.run(S)
    leaving, other = site.servers
    entry = site.host.pool.entries[leaving.address]
    caller = RecordingCaller()
    offer = Offer("c1", "plain", "100", entry.number, site.now + 3 * S, b"c1")
    assert site.node.switch.offer(offer, caller)
    site.seconds += 0.001
    claim = Claim(other.address, "c1.calls.example", transport="udp", priority=10, weight=10)
    site.host.full_update("srv", [claim], SRV, S, S)
    assert site.host.pool.entries.get(leaving.address) is None, "removed before the call was sent"
    site.run(2 * S)
    assert not leaving.invites and other.invites and caller.finals == ["established"]


def test_a_drain_by_srv_among_200_calls_a_second(tmp_path: Path) -> None:
    site = Site(tmp_path, servers=2, board=False, work=5 * MS)
    site.run(S)
    leaving, other = site.servers
    callers = site.callers(200)
    callers.start(site.now, 4 * S)
    site.publish_srv(leaving)
    assert site.run_until(lambda: leaving.address not in site.serving(), 4 * S)
    told_at = site.now
    site.run(6 * S)
    assert leaving.invites and not [sent_at for sent_at in leaving.invites if sent_at > told_at + 5 * MS]
    assert callers.faults() == [] and [sent_at for sent_at in other.invites if sent_at > told_at]
    assert callers.established_share(told_at, site.now) > 0.99


def test_a_cold_server_named_by_two_sources_at_different_times_is_paced_once(tmp_path: Path) -> None:
    site = Site(tmp_path, servers=2, cold_s=10.0)
    site.run(12 * S)
    new_server = CallServer()
    site.servers.append(new_server)
    site.stand_ins.append(new_server)
    site.ranks[new_server.address] = (10, 10)
    site.publish_srv()
    assert site.run_until(lambda: new_server.address in site.serving(), 5 * S)
    started = site.host.pool.entries[new_server.address].started
    site.run(4 * S)
    site.board.publish(new_server.address, "SERVING")
    site.run(2 * S)
    assert site.host.pool.entries[new_server.address].started == started is not None


def test_a_reload_applies_names_and_servers_completely_or_not_at_all(tmp_path: Path) -> None:
    site = Site(tmp_path, servers=2, board=False)
    site.run(S)
    text = site.file.read_text()
    refused = COUNTERS["reload.refused"]
    site.file.write_text(text.replace("_sip._udp", "_sip._sctp").replace("cold_s = 0.0", "cold_s = 9.0"))
    site.node.reload()
    site.run(S)
    assert COUNTERS["reload.refused"] == refused + 1 and len(site.serving()) == 2
    assert site.node.switch.settings.cold_us == 0
    site.file.write_text(text.replace("[pool]", '[pool]\nservers = ["udp:127.0.0.1:9"]'))
    site.node.reload()
    site.run(S)
    assert len(site.serving()) == 3
    site.file.write_text(text[: text.index("[srv]")].replace(
        "[pool]", '[pool]\nservers = ["udp:127.0.0.1:9"]') + text[text.index("[[class]]") :])  # fmt: skip
    site.node.reload()
    site.run(S)
    assert site.serving() == {("127.0.0.1", 9)}


def test_the_admin_interface_shows_claims_and_the_deciding_rule(tmp_path: Path) -> None:
    site = Site(tmp_path, servers=2, start=False)
    site.file.write_text(site.file.read_text() + '\n[door]\ncontrol = "127.0.0.1:0"\n')
    site.start()
    site.run(2 * S)
    site.drain(site.servers[0])
    site.run(S)
    admin_server = site.node.admin_server
    assert admin_server is not None
    with socket.create_connection(admin_server.address, 5) as operator:
        operator.sendall(b"GET /admin/pool HTTP/1.1\r\nHost: x\r\n\r\n")
        operator.settimeout(0.05)
        response = b""
        for _ in range(40):
            site.run_until_idle()
            try:
                response += operator.recv(65536)
            except TimeoutError:
                break
    shown = json.loads(response.partition(b"\r\n\r\n")[2])
    by_state = {row["state"]: row for row in shown["servers"]}
    leaving = by_state["leaving"]
    assert leaving["rule"] == "draining" and leaving["decided_by"] == ["list"]
    assert leaving["sources"]["list"]["says"] == "draining" and leaving["sources"]["srv"]["says"] == "serving"
    assert 0.8 <= leaving["sources"]["list"]["age_s"] <= 1.2
    assert by_state["serving"]["rule"] == "serving" and shown["count"] == 2
    assert shown["sources"]["srv"][0]["failures"] == 0


def test_ipv6_call_servers_are_reached_if_the_front_listens_on_ipv6(tmp_path: Path) -> None:
    site = Site(tmp_path, servers=0, board=False, more="ipv6 = true", start=False)
    site.file.write_text(site.file.read_text().replace("[sip]", '[sip]\nlisten6 = "[::1]:0"'))
    server = CallServer(("::1", 0))
    site.servers.append(server)
    site.stand_ins.append(server)
    site.ranks[server.address] = (10, 10)
    site.publish_srv()
    site.start()
    callers = site.callers(10)
    site.run(S)
    callers.start(site.now, S)
    site.run(4 * S)
    assert server.counts["answered 200"] == callers.counts["calls"] > 0 and callers.faults() == []
    assert server.counts["ACK"] == server.counts["BYE"] == callers.counts["calls"]


def test_a_drain_does_not_wait_for_a_long_answer_of_another_source(tmp_path: Path) -> None:
    """While 2,000 SRV targets are added in slices, an update of the zone drains a server."""
    site = Site(tmp_path, servers=2, board=False)
    site.run(S)
    leaving = site.servers[0].address
    many = [Claim(("127.0.0.9", port), "x", transport="udp", priority=99) for port in range(1, 2001)]
    named = [Claim(server.address, "c", transport="udp", priority=10) for server in site.servers]
    site.host.full_update("zone", named)
    site.run(50 * MS)
    site.host.full_update("srv", [*many, *named], "other", 60 * S)
    assert len(site.host.pool.entries) < 100, "only the first slices are added"
    site.host.full_update("zone", named[1:])
    assert not site.host.pool.entries[leaving].serves
    withdrawn = [entry for entry, serving in site.host._core_state.items() if not serving]
    assert format_address(leaving) in withdrawn, "the core has been notified"
    site.run(S)
    site.host.full_update("srv", named, "other", 60 * S)
    site.run(100 * MS)
    assert len(site.host.pool.entries) == 2, "2,000 leaving servers are announced within 250 ms"


def test_two_thousand_targets_are_added_in_slices_within_a_second(tmp_path: Path) -> None:
    site = Site(tmp_path, servers=1, board=False)
    site.run(S)
    host = site.servers[0].address[0]
    for name in site.dns_servers:
        name.srv("_sip._udp.calls.example.", *((10, 1, port, "c0") for port in range(10_000, 12_000)), ttl=60)
        name.host("c0", host)
    started = site.now
    assert site.run_until(lambda: len(site.serving()) >= 2000, 5 * S)
    answered_at = site.host.pool.sources["srv"].parts["_sip._udp.calls.example."].last_answer_at
    assert answered_at is not None and site.now - answered_at < S and answered_at - started < 3 * S
