"""Mutation fuzzing, seeded and bounded, of all listeners and parsers: no input may end the program."""

from __future__ import annotations

import contextlib
import json
import random
import socket
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path

import dns.message
import dns.update
import pytest

from reedmount.config import ConfigError, read_platform
from reedmount.core import fault_isolation
from reedmount.core.checks import COUNTERS, LOGGED_COUNTS
from reedmount.core.clock import ZERO
from reedmount.core.lifecycle import Lifecycle
from reedmount.dns.update import Master, Policy
from reedmount.dns.zone import ZoneError, load_zone
from reedmount.fronts.admin import AdminServer, View
from reedmount.fronts.board import Board, BoardError, BoardList, read_notices
from reedmount.fronts.handover import HandoverMessage
from reedmount.operator_file import read_operator
from reedmount.sip.message import SipError, parse_datagram
from standins.mutate import mutated
from tests.scenario import HOST, Peer, digits
from tests.test_board import host, notice
from tests.test_config import platform
from tests.test_dns import ORIGIN, ZONE, zone_file
from tests.test_platform import Platform
from tests.test_sip import SipStage

METHODS = ("INVITE", "ACK", "BYE", "CANCEL", "OPTIONS", "REGISTER")
ROOT = Path(__file__).resolve().parent.parent


@pytest.fixture(autouse=True)
def strict() -> Iterator[None]:
    """Let faults fail the test here instead of being contained by run_isolated."""
    fault_isolation.STRICT = True
    yield
    fault_isolation.STRICT = False
    LOGGED_COUNTS.clear()


def sip_seeds(peer: Peer, kind: str) -> list[bytes]:
    """Requests and responses as clients and servers send them."""
    headers = {"expires": "2", "require": ""}
    requests = [peer.request(method, f"f{number}", dict(headers), b"v=0\r\n").encode()
                for number, method in enumerate(METHODS)]  # fmt: skip
    via = f"SIP/2.0/{kind.upper()} {HOST}:{peer.port};branch=z9hG4bKx;rport, SIP/2.0/UDP [::1]:5;branch=z9"
    response = (
        f'SIP/2.0 200 OK\r\nv: {via}\r\nf: <sip:a@b>;tag=1\r\nt: "x, y" <sip:a@b>;tag=2\r\ni: f1\r\n'
        f"CSeq: 1 INVITE\r\nm: <sip:s@{HOST}:{peer.port}>\r\nRecord-Route: <sip:p;lr>\r\nl: 0\r\n\r\n"
    )
    return [*requests, response.encode()]


@pytest.mark.parametrize("seed", range(3))
def test_sip_over_udp(seed: int) -> None:
    stage = SipStage("server")
    phone = stage.peers["phone"]
    phone.pump = lambda: False  # type: ignore[method-assign]
    stage.peers["server"].pump = lambda: False  # type: ignore[method-assign]
    assert phone.sock is not None and phone.to is not None
    before = COUNTERS["sip.in.malformed"] + COUNTERS["sip.in.dropped"]
    for turn, wire in enumerate(mutated(random.Random(seed), sip_seeds(phone, "udp"), 1500)):
        phone.sock.sendto(wire[:60_000], phone.to)
        if turn % 20 == 0:
            stage.loop.turn(ZERO)
            stage.time.seconds += 0.05
    stage.wait(stage.front.settings.timers.timeout)
    assert COUNTERS["sip.in.malformed"] + COUNTERS["sip.in.dropped"] > before + 100
    phone.sock.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while True:
            phone.sock.recv(65536)  # responses that repeat malformed headers
    phone.sock.setblocking(True)
    del phone.pump
    stage.play("phone send OPTIONS alive\n phone expect 200 alive")


@pytest.mark.parametrize("seed", range(3))
def test_sip_over_tcp(seed: int) -> None:
    stage = SipStage("server")
    rng = random.Random(seed)
    seeds = sip_seeds(stage.peers["desk"], "tcp")
    for wire in mutated(rng, seeds, 300):
        with socket.create_connection(stage.front.endpoint.address) as sock:
            for begin in range(0, len(wire), max(1, len(wire) // 3)):
                with contextlib.suppress(ConnectionError):  # closed by the server: the rest is not read
                    sock.sendall(wire[begin : begin + max(1, len(wire) // 3)])
                while stage.loop.turn(ZERO):
                    pass
        stage.time.seconds += 0.01
    stage.play("desk send OPTIONS alive\n desk expect 200 alive")


def test_the_sip_parser_raises_only_sip_errors_and_parsed_messages_survive_a_round_trip() -> None:
    stage = SipStage("server")
    parsed = 0
    for wire in mutated(random.Random(7), sip_seeds(stage.peers["phone"], "udp"), 5000):
        try:
            message = parse_datagram(wire)
        except SipError:
            continue
        parsed += 1
        message.headers = [item for item in message.headers if item[0].lower() != "content-length"]
        again = parse_datagram(message.encode())
        assert (again.method, again.uri, again.status, again.body) == (
            message.method, message.uri, message.status, message.body
        )  # fmt: skip
        assert again.headers[:-1] == message.headers
    assert 1500 < parsed < 4000


def test_dns_updates(tmp_path: Path) -> None:
    change = dns.update.UpdateMessage(ORIGIN)
    change.add("three", 60, "A", "127.0.0.3")
    change.delete("_sip._udp", "SRV", "10 1 5070 one")
    change.present("one", "A")
    seeds = [change.to_wire(), dns.message.make_query(ORIGIN, "SOA").to_wire()]
    primary = Master(load_zone(zone_file(tmp_path), ORIGIN), Policy(frozenset({HOST})), lambda _: None)
    replies = 0
    for wire in mutated(random.Random(1), seeds, 4000):
        replies += primary.answer(wire, HOST) is not None
    assert replies > 500


def test_the_admin_server() -> None:
    stage = SipStage()
    views: dict[str, View] = {"/v": lambda query: dict(query)}
    admin_server = AdminServer(stage.loop, (HOST, 0), Lifecycle(stage.time.clock), lambda: {}, views)
    seeds = [
        b"GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n",
        b"GET /v?after=3&b=%ff HTTP/1.1\r\nHost: x\r\n\r\n",
        b"POST /admin/resume HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\nHost: x\r\n\r\nab",
    ]
    for wire in mutated(random.Random(2), seeds, 1000):
        with socket.create_connection(admin_server.address) as sock:
            sock.sendall(wire)
            while stage.loop.turn(ZERO):
                pass
    stage.time.seconds += 10
    with socket.create_connection(admin_server.address, 5) as sock:
        sock.sendall(seeds[1])
        stage.settle()
        assert sock.recv(100).startswith(b"HTTP/1.1 200")


def test_notice_board_answers() -> None:
    raw = {"rev": 3, "notices": [notice(1, host("a"), whole=True), notice(2, host("a", "DRAINING")),
                                 {"rev": 3, "other": {}}]}  # fmt: skip
    accepted = 0
    for wire in mutated(random.Random(3), [json.dumps(raw).encode()], 4000):
        try:
            read_notices(json.loads(wire))
            accepted += 1
        except (BoardError, ValueError):
            pass
    assert accepted > 50


DEEPLY_NESTED = b"[" * 4000


@pytest.mark.parametrize(
    "answer", [b'{"rev": Infinity, "notices": []}', DEEPLY_NESTED], ids=["infinity", "deep"]
)
def test_a_board_that_answers_with_infinity_or_deep_nesting_is_polled_again(answer: bytes) -> None:
    """An OverflowError or RecursionError was not caught and ended a debug build."""
    stage = Platform("a")
    with socket.create_server((HOST, 0)) as listener:
        listener.setblocking(False)
        board = Board(stage.loop, listener.getsockname(), BoardList(stage.switch))
        polls = 0
        for _ in range(60):
            stage.wait(timedelta(milliseconds=20))
            with contextlib.suppress(BlockingIOError):
                sock, _ = listener.accept()
                with sock:
                    polls += 1
                    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)
                    stage.wait(timedelta(milliseconds=20))
        board.close()
    assert polls >= 3


def test_a_deeply_nested_config_file_and_handover_message_are_rejected(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_bytes(DEEPLY_NESTED * 30)
    with pytest.raises(ConfigError, match="not JSON"):
        read_platform({"GW_CONFIG": str(tmp_path / "config.json")})
    stage = Platform("a")
    near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    stage.callers.handover_peer.join(near)
    received: list[HandoverMessage] = []
    stage.callers.handover_peer.on("held", received.append)
    seeds = [json.dumps({"what": "held", "count": 3}).encode(), DEEPLY_NESTED]
    with far:
        far.send(DEEPLY_NESTED)
        for wire in mutated(random.Random(8), seeds, 300):
            if wire:  # an empty message would mean the end of the stream
                far.send(wire[:4096])
                stage.loop.turn(ZERO)
        far.send(seeds[0])
        stage.settle()
        assert (
            received
            and received[-1] == {"what": "held", "count": 3}
            and stage.callers.handover_peer.connected
        )


def test_the_thin_front() -> None:
    stage = Platform("server")
    seeds = [
        stage.peers["caller"].request("INVITE", digits("c1"), headers, b"hello\r\n").encode()
        for headers in ({"x-cos": "small", "x-timer-ms": "1500", "x-legs": "dest:1"}, {"x-cos": "great"})
    ]
    seeds += [stage.peers["caller"].request(method, digits("c1"), {}, b"").encode() for method in METHODS]
    for wire in mutated(random.Random(9), seeds, 400):
        with socket.create_connection(stage.callers.address) as sock, contextlib.suppress(ConnectionError):
            sock.sendall(wire)
            while stage.loop.turn(ZERO):
                pass
        stage.time.seconds += 0.05
    stage.wait(timedelta(seconds=10))
    assert not stage.switch.unanswered
    calls_taken = COUNTERS["calls.taken"]
    stage.play("other send INVITE c9 x-cos=small x-timer-ms=2000 x-legs=dest:1 | hi\n wait 10")
    assert COUNTERS["calls.taken"] == calls_taken + 1


@pytest.mark.parametrize("name", ["sip.toml", "srv.toml"])
def test_operator_files(tmp_path: Path, name: str) -> None:
    seed = (ROOT / "deploy" / name).read_bytes()
    path = tmp_path / name
    accepted = 0
    for wire in mutated(random.Random(4), [seed], 600):
        path.write_bytes(wire)
        try:
            read_operator(path)
            accepted += 1
        except ConfigError:
            pass
    assert accepted < 500


def test_platform_config_file(tmp_path: Path) -> None:
    platform(tmp_path)
    seed = (tmp_path / "config.json").read_bytes()
    for wire in mutated(random.Random(5), [seed], 1500):
        (tmp_path / "config.json").write_bytes(wire)
        with contextlib.suppress(ConfigError):
            read_platform({"GW_CONFIG": str(tmp_path / "config.json")})


def test_zone_files(tmp_path: Path) -> None:
    seeds = [ZONE.replace("{port}", "5070").encode(), (ROOT / "deploy" / "srv.zone").read_bytes()]
    path = tmp_path / "zone"
    for wire in mutated(random.Random(6), seeds, 800):
        path.write_bytes(wire)
        with contextlib.suppress(ZoneError):
            load_zone(path, ORIGIN)
