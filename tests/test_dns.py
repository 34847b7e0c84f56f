"""Zone files, dynamic updates, and the pool fed from them."""

from __future__ import annotations

import socket
from datetime import timedelta
from pathlib import Path

import dns.message
import dns.rcode
import dns.rdatatype
import dns.tsig
import dns.tsigkeyring
import dns.update
import pytest

from reedmount.core.clock import ZERO
from reedmount.dns.server import MAX_READS_PER_TURN, UpdateServer
from reedmount.dns.update import Master, Policy
from reedmount.dns.zone import ZoneError, load_zone, zone_servers
from reedmount.sources.lists import ZoneSource
from reedmount.sources.pool_host import PoolHost, PoolSettings
from tests.scenario import HOST
from tests.test_sip import SipStage

ZONE = """$ORIGIN calls.example.
$TTL 60
@ IN SOA ns operator 7 3600 600 86400 60
@ IN NS ns
ns IN A 127.0.0.1
_sip._udp IN SRV 10 1 {port} one
one IN A 127.0.0.1
two IN A 127.0.0.1
"""
ORIGIN = "calls.example."
SECRET = {"operator.": "c2VjcmV0IHNlY3JldCBzZWNyZXQ="}


def zone_file(folder: Path, text: str = ZONE, port: int = 5070) -> Path:
    path = folder / "zone"
    path.write_text(text.replace("{port}", str(port)))
    return path


def master(folder: Path, **policy: object) -> Master:
    access = Policy(frozenset({"127.0.0.1"}), **policy)  # type: ignore[arg-type]
    return Master(load_zone(zone_file(folder), ORIGIN), access, lambda _: None)


def send(primary: Master, update: dns.message.Message, source: str = "127.0.0.1") -> str:
    reply = primary.answer(update.to_wire(), source)
    assert reply is not None and reply[:2] == update.to_wire()[:2]
    return dns.rcode.to_text(dns.rcode.Rcode(reply[3] & 15))


def serial(primary: Master) -> int:
    soa = primary.zone.get_rdataset(ORIGIN, "SOA")
    assert soa is not None
    return int(soa[0].serial)


def update() -> dns.update.UpdateMessage:
    return dns.update.UpdateMessage(ORIGIN)


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        (ZONE.replace("one IN A 127.0.0.1", "one IN A 127.0.0"), ":7:"),
        (ZONE.replace("IN SRV 10 1", "IN SRV ten 1"), ":6:"),
        (ZONE.replace("@ IN SOA ns operator 7 3600 600 86400 60\n", ""), "SOA"),
        ("", "SOA"),
    ],
)
def test_a_zone_error_names_file_and_line(tmp_path: Path, text: str, fault: str) -> None:
    path = zone_file(tmp_path, text)
    with pytest.raises(ZoneError) as caught:
        load_zone(path, ORIGIN)
    assert fault in str(caught.value) and str(path) in str(caught.value)


def test_servers_come_from_srv_and_a_records_with_the_preferred_transport(tmp_path: Path) -> None:
    text = ZONE + "_sip._tcp IN SRV 5 3 5070 two\n IN SRV 5 1 {port} one\n IN SRV 9 1 1 lost\n"
    found = zone_servers(load_zone(zone_file(tmp_path, text), ORIGIN), ["tcp", "udp"])
    assert {name: item.transport for name, item in found.items()} == {
        "one.calls.example:5070": "tcp", "two.calls.example:5070": "tcp"
    }  # fmt: skip


def test_an_update_adds_and_deletes_records_and_increments_the_serial(tmp_path: Path) -> None:
    primary = master(tmp_path)
    change = update()
    change.add("_sip._udp", 60, "SRV", "10 1 5071 two")
    assert send(primary, change) == "NOERROR" and serial(primary) == 8
    assert len(zone_servers(primary.zone, ["udp"])) == 2
    assert send(primary, change) == "NOERROR" and serial(primary) == 8, "nothing changed the second time"
    change = update()
    change.delete("_sip._udp", "SRV", "10 1 5070 one")
    assert send(primary, change) == "NOERROR" and serial(primary) == 9
    assert list(zone_servers(primary.zone, ["udp"])) == ["two.calls.example:5071"]


def test_each_unmet_prerequisite_has_its_rcode(tmp_path: Path) -> None:
    primary = master(tmp_path)
    cases = []
    for rcode in ("YXDOMAIN", "NXDOMAIN", "YXRRSET", "NXRRSET", "NXRRSET", "NOERROR"):
        cases.append((rcode, update()))
    cases[0][1].absent("one")
    cases[1][1].present("three")
    cases[2][1].absent("one", "A")
    cases[3][1].present("one", "SRV")
    cases[4][1].present("one", "A", "127.0.0.9")
    cases[5][1].present("one", "A", "127.0.0.1")
    for rcode, change in cases:
        change.add("three", 60, "A", "127.0.0.3")
        assert send(primary, change) == rcode
        assert (primary.zone.get_rdataset("three.calls.example.", "A") is not None) == (rcode == "NOERROR")


def test_a_rejected_update_changes_nothing(tmp_path: Path) -> None:
    primary = master(tmp_path)
    before = primary.zone
    outside = update()
    outside.delete("one")
    outside.add("far.example.", 60, "A", "127.0.0.3")
    assert send(primary, outside) == "NOTZONE"
    other = dns.update.UpdateMessage("other.example.")
    other.add("x", 60, "A", "127.0.0.3")
    assert send(primary, other) == "NOTAUTH"
    change = update()
    change.delete("one")
    assert send(primary, change, "127.0.0.2") == "REFUSED"
    assert send(primary, dns.message.make_query(ORIGIN, "SOA")) == "NOTIMP"
    broken = change.to_wire()
    assert primary.answer(broken[:-1], "127.0.0.1") == broken[:2] + b"\xa8\x01" + bytes(8)
    assert primary.answer(b"short", "127.0.0.1") is None
    assert primary.zone is before


def test_the_apex_keeps_its_soa_and_its_last_ns(tmp_path: Path) -> None:
    primary = master(tmp_path)
    change = update()
    change.delete(ORIGIN)
    change.delete(ORIGIN, "NS", "ns.calls.example.")
    change.delete(ORIGIN, "SOA")
    change.add(ORIGIN, 60, "SOA", "ns operator 3 1 1 1 1")
    assert send(primary, change) == "NOERROR" and serial(primary) == 7
    assert primary.zone.get_rdataset(ORIGIN, "NS") is not None


def test_with_a_key_only_signed_updates_are_accepted(tmp_path: Path) -> None:
    ring = dns.tsigkeyring.from_text(SECRET)
    primary = master(tmp_path, keys=ring)
    signed = dns.update.UpdateMessage(ORIGIN, keyring=ring)
    signed.add("three", 60, "A", "127.0.0.3")
    assert send(primary, signed) == "NOERROR"
    plain = update()
    plain.delete("three")
    assert send(primary, plain) == "REFUSED"
    forged = dns.update.UpdateMessage(ORIGIN, keyring=dns.tsigkeyring.from_text({"operator.": "Zm9yZ2Vk"}))
    forged.delete("three")
    assert send(primary, forged) == "NOTAUTH"


@pytest.mark.parametrize("over_tcp", [False, True])
def test_an_update_over_the_network_drains_a_server_at_once(tmp_path: Path, over_tcp: bool) -> None:
    stage = SipStage(cold_us=0)
    stage.peer("server", "udp")
    stage.peer("fresh", "udp")
    path = zone_file(tmp_path, port=stage.peers["server"].port)
    zone = load_zone(path, ORIGIN)
    host = PoolHost(stage.loop, stage.switch, PoolSettings(), ("zone",))
    pool = ZoneSource(host, zone, ["udp"], path)
    pool.start()
    stage.front.first_choice = host.first_choice
    primary = Master(zone, Policy(frozenset({HOST})), pool.changed)
    listener = UpdateServer(stage.loop, (HOST, 0), primary)
    operator = stage.peer("operator", "tcp" if over_tcp else "udp", listener.address)
    stage.play("phone send INVITE c1\n phone expect 100 c1\n server expect INVITE")
    change = update()
    change.delete("_sip._udp")
    change.add("_sip._udp", 60, "SRV", f"10 1 {stage.peers['fresh'].port} two")
    wire = change.to_wire()
    operator.write(len(wire).to_bytes(2, "big") + wire if over_tcp else wire)
    operator.pump = lambda: False  # type: ignore[method-assign]
    stage.settle()
    assert operator.sock is not None
    operator.sock.settimeout(5)
    reply = operator.sock.recv(4096)[2 if over_tcp else 0 :]
    assert dns.message.from_wire(reply).rcode() == dns.rcode.NOERROR
    stage.play("phone send INVITE c2\n phone expect 100 c2")
    stage.wait(timedelta(seconds=1))
    assert not [
        m for m in stage.peers["server"].requests if m.call_id != stage.peers["server"].requests[0].call_id
    ]
    assert stage.peers["fresh"].requests
    assert f"{stage.peers['fresh'].port} two" in path.read_text()


def test_a_flood_of_updates_is_read_a_few_in_a_turn(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """All of them were read and handled before anything else, as long as a client went on sending."""
    stage = SipStage()
    handled: list[bytes] = []
    primary = master(tmp_path)
    monkeypatch.setattr(primary, "answer", lambda wire, source: handled.append(wire))
    listener = UpdateServer(stage.loop, (HOST, 0), primary)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client:
        for _ in range(3 * MAX_READS_PER_TURN):
            client.sendto(b"x", listener.address)
    counts = []
    for _ in range(3):
        stage.loop.turn(ZERO)
        counts.append(len(handled))
    assert counts == [MAX_READS_PER_TURN, 2 * MAX_READS_PER_TURN, 3 * MAX_READS_PER_TURN]
