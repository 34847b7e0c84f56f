"""Scenarios of the SIP front: clients and call servers over UDP and TCP."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from typing import Any

import pytest

from reedmount import interface as i
from reedmount.core.checks import COUNTERS, LOGGED_COUNTS, invariant
from reedmount.core.fault_isolation import run_isolated
from reedmount.core.ports import ListedServer, Setup
from reedmount.core.switch import Switch
from reedmount.fronts.sip import SipFront, SipSettings
from reedmount.fronts.sip_server_leg import MAX_PROGRESS
from reedmount.fronts.sip_servers import SipServers
from reedmount.sip.message import Message, parameter, response
from reedmount.sip.transaction import Timers
from tests.scenario import HOST, Stage
from tests.support import MS, SETTINGS

WAIT = timedelta(seconds=2)
INVITE_REACHES_SERVER = """phone send INVITE c1
        phone expect 100 c1
        server expect INVITE"""


class SipStage(Stage):
    """A border controller with the SIP front, a UDP client, a TCP client and servers of one transport."""

    def __init__(self, *servers: str, kind: str = "udp", **changes: object) -> None:
        super().__init__()
        settings = replace(SETTINGS, release_wait_us=200 * MS, redials_marked=False, **changes)  # type: ignore[arg-type]
        self.switch = Switch(self.loop, settings, 1)
        self.front = SipFront(
            self.loop,
            self.switch,
            SipSettings((HOST, 0), "small", (("0800", "great"),), {"small": WAIT, "great": WAIT}, Timers(),
                        timedelta(milliseconds=500)),
            seed=7,
        )  # fmt: skip
        self.switch.attach(SipServers(self.front))
        self.peer("phone", "udp", self.front.endpoint.address)
        self.peer("desk", "tcp", self.front.endpoint.address)
        for name in servers:
            self.peer(name, kind)
        self.kind = kind
        self.publish_servers(*servers)

    def publish_servers(self, *names: str, serving: bool = True, version: int = 1) -> None:
        entries = [
            ListedServer(name, (HOST, self.peers[name].port), number, serving, False, None, self.kind)
            for number, name in enumerate(names, 1)
        ]
        self.switch.pool_changed(version, i.ListKind.CHANGES, entries)
        self.settle()


def call(client: str, server: str, name: str = "c1") -> str:
    return f"""
        {client} send INVITE {name} | offer
        {client} expect 100 {name}
        {server} expect INVITE body=offer
        {server} send 180 INVITE
        {client} expect 180 {name}
        {server} send 200 INVITE | answer
        {server} expect ACK
        {client} expect 200 {name} body=answer
    """


@pytest.mark.parametrize("kind", ["udp", "tcp"])
@pytest.mark.parametrize("client", ["phone", "desk"])
def test_a_call_is_set_up_and_released_from_either_side(client: str, kind: str) -> None:
    stage = SipStage("server", kind=kind)
    stage.play(
        call(client, "server")
        + f"""
        {client} send BYE c1
        {client} expect 200 c1
        server expect BYE
        server send 200 BYE
    """
        + call(client, "server", "c2")
        + f"""
        server send BYE @ reason=Q.850;cause=16
        server expect 200
        {client} expect BYE c2 reason=Q.850;cause=16
        {client} send 200 BYE
    """
    )
    assert stage.switch.is_idle and not stage.front.legs_by_dialog and not stage.front.server_legs


def test_a_refusal_has_retry_after_and_a_retransmitted_invite_gets_the_same_response() -> None:
    """A retransmission over UDP after the refusal: the response is sent again, and no new call is started."""
    stage = SipStage()
    taken = COUNTERS["calls.taken"]
    stage.play("""
        phone send INVITE c1
        phone expect 100 c1
        wait 1600
        phone expect 503 c1 retry-after=2
        wait 100
        phone send INVITE c1
        phone expect 503 c1 retry-after=2
        wait 3000
        phone expect nothing
    """)
    assert COUNTERS["calls.taken"] == taken + 1


def test_a_refusal_is_retransmitted_until_its_ack() -> None:
    stage = SipStage()
    phone = stage.peers["phone"]
    take, phone.take = phone.take, phone.inbox.append  # type: ignore[method-assign, assignment]
    stage.play("""
        phone send INVITE c1
        phone expect 100 c1
        wait 1600
        phone expect 503 c1
        wait 520
        phone expect 503 c1
    """)
    phone.take = take  # type: ignore[method-assign]
    stage.play("""
        wait 1000
        phone expect 503 c1
        wait 8000
        phone expect nothing
    """)


def test_a_retransmitted_invite_starts_no_second_call() -> None:
    stage = SipStage("server")
    stage.play(f"""
        phone send INVITE c1
        phone expect 100 c1
        {INVITE_REACHES_SERVER}
        server expect nothing
    """)


def test_the_same_call_over_both_transports_is_one_call() -> None:
    """A client that changed to TCP when UDP seemed slow had its call set up twice."""
    stage = SipStage("server")
    stage.play(f"""
        {INVITE_REACHES_SERVER}
        desk send INVITE c1 branch=other
        desk expect 482 c1
        server expect nothing
    """)


def test_our_invite_is_retransmitted_over_udp_in_the_same_transaction() -> None:
    stage = SipStage("server")
    stage.play(f"""
        {INVITE_REACHES_SERVER}
        wait 520
        server expect INVITE
    """)
    first, second = stage.peers["server"].requests
    assert first.encode() == second.encode()


def test_a_tcp_reset_during_an_invite_leads_to_one_retry_and_one_final_response() -> None:
    """The first attempt is cancelled on a new connection; a second one waits for its end and the pause."""
    stage = SipStage("server", "second", kind="tcp")
    stage.play("""
        desk send INVITE c1
        desk expect 100 c1
    """)
    stage.settle()
    first = "server" if stage.peers["server"].inbox else "second"
    other = "second" if first == "server" else "server"
    stage.play(f"""
        {first} expect INVITE
        {first} send 100 INVITE
        {first} close reset
        wait 150
        {first} expect CANCEL
        wait 500
        {first} send 200 CANCEL
        {first} send 487 INVITE
        {first} expect ACK
        wait 190
        {other} expect nothing
        {first} expect nothing
        wait 150
        {other} expect INVITE
        {other} send 200 INVITE | answer
        {other} expect ACK
        desk expect 200 c1 body=answer
        wait 3000
        desk expect nothing
    """)


def test_cancel_gets_200_and_the_invite_487() -> None:
    stage = SipStage("server")
    stage.play(f"""
        {INVITE_REACHES_SERVER}
        server send 180 INVITE
        phone expect 180 c1
        phone send CANCEL c1
        phone expect 200 c1
        phone expect 487 c1
        server expect CANCEL
        server send 200 CANCEL
        server send 487 INVITE
        server expect ACK
        wait 3000
        phone expect nothing
    """)
    assert stage.switch.is_idle


def test_no_cancel_is_sent_before_a_provisional_response() -> None:
    """RFC 3261, 9.1: CANCEL waits for a provisional response; the INVITE is not retransmitted meanwhile."""
    stage = SipStage("server")
    stage.play(f"""
        {INVITE_REACHES_SERVER}
        phone send CANCEL c1
        phone expect 200 c1
        phone expect 487 c1
        wait 1000
        server expect nothing
        server send 180 INVITE
        server expect CANCEL
    """)


def test_a_200_that_crosses_the_cancel_is_acknowledged_and_released() -> None:
    stage = SipStage("server")
    stage.play(f"""
        {INVITE_REACHES_SERVER}
        server send 180 INVITE
        phone expect 180 c1
        phone send CANCEL c1
        phone expect 200 c1
        phone expect 487 c1
        server expect CANCEL
        server send 200 INVITE
        server expect ACK
        server expect BYE
        phone expect nothing
    """)


def test_the_final_response_is_sent_by_the_deadline() -> None:
    stage = SipStage("server", kind="tcp")
    stage.play("""
        desk send INVITE c1 expires=1
        desk expect 100 c1
        server expect INVITE
        server send 180 INVITE
        desk expect 180 c1
        wait 940
        desk expect nothing
        wait 30
        desk expect 503 c1 retry-after=*
        server expect CANCEL
    """)


def test_a_server_error_leads_to_one_refusal() -> None:
    stage = SipStage("server", max_attempts=1)
    stage.play(f"""
        {INVITE_REACHES_SERVER}
        server send 503 INVITE
        server expect ACK
        phone expect 503 c1 retry-after=*
        phone expect nothing
    """)


def test_a_draining_server_gets_no_new_calls_and_keeps_established_ones() -> None:
    stage = SipStage("server")
    stage.play(call("phone", "server"))
    stage.publish_servers("server", serving=False, version=2)
    stage.play("""
        desk send INVITE c2
        desk expect 100 c2
        wait 300
        server expect nothing
        server send BYE @
        server expect 200
        phone expect BYE c1
    """)


def test_requests_that_are_not_accepted_are_answered_with_their_status() -> None:
    stage = SipStage("server")
    stage.play("""
        phone send OPTIONS o1
        phone expect 200 o1 allow=*
        phone send REGISTER r1
        phone expect 405 r1 allow=*
        phone send FROBNICATE f1
        phone expect 501 f1
        phone send BYE b1 to=<sip:x@net>;tag=none
        phone expect 481 b1
        phone send CANCEL x1
        phone expect 481 x1
        phone send INVITE i1 max-forwards=0
        phone expect 483 i1
        phone send INVITE i2 require=100rel
        phone expect 420 i2 unsupported=100rel
        phone send INVITE i3 to=<sip:x@net>;tag=none
        phone expect 481 i3
        phone send INVITE i4 uri=tel:4711
        phone expect 400 i4
        phone send INVITE i5 expires=soon
        phone expect 400 i5
        server expect nothing
    """)


def test_malformed_messages_are_counted_or_answered_and_do_not_affect_others() -> None:
    stage = SipStage("server")
    dropped, phone = COUNTERS["sip.in.dropped"], stage.peers["phone"]
    phone.write(b"\x00\xff not SIP at all\r\n\r\n")
    phone.write(phone.request("OPTIONS", "long", {}, b"x" * 20_000).encode())
    stage.play("phone expect 513 long")
    phone.write(phone.request("OPTIONS", "cut", {}, b"x" * 50).encode()[:-20])
    stage.play("phone expect 400 cut\n phone send OPTIONS o1\n phone expect 200 o1")
    assert COUNTERS["sip.in.dropped"] > dropped
    desk = stage.peers["desk"]
    desk.write(desk.request("OPTIONS", "long", {}, b"x" * 20_000).encode())
    stage.play("desk expect 513 long\n desk expect CLOSED")


def test_a_200_is_retransmitted_and_a_call_without_ack_is_released() -> None:
    stage = SipStage("server")
    phone = stage.peers["phone"]
    phone.take = phone.inbox.append  # type: ignore[method-assign, assignment]
    stage.play(call("phone", "server") + "\nwait 520\nphone expect 200 c1\nwait 33000\nserver expect BYE")
    assert phone.inbox[-1].method == "BYE"


def test_a_bye_to_a_client_whose_connection_has_closed_uses_a_new_connection() -> None:
    """The BYE was written to the closed connection and lost."""
    stage = SipStage("server")
    stage.play(call("desk", "server"))
    desk = stage.peers["desk"]
    dialog = next(iter(stage.front.legs_by_dialog.values())).dialog
    home = stage.peer("home", "tcp")
    assert dialog is not None and desk.sock is not None
    dialog.target = f"sip:c1@{HOST}:{home.port}"
    stage.play("""
        desk close
        wait 10
        server send BYE @
        server expect 200
        home expect BYE c1
    """)


def test_a_lost_client_connection_abandons_the_call_being_set_up() -> None:
    stage = SipStage("server")
    stage.play("""
        desk send INVITE c1
        desk expect 100 c1
        server expect INVITE
        server send 180 INVITE
        desk expect 180 c1
        wait 10
        desk close reset
        server expect CANCEL
    """)
    assert not stage.switch.unanswered


@pytest.mark.parametrize("kind", ["udp", "tcp"])
def test_mixed_traffic_has_no_duplicate_attempt_and_no_call_without_a_final_response(kind: str) -> None:
    """120 calls over UDP and TCP; servers answer, refuse or stay silent, and clients retransmit."""
    stage = SipStage("one", "two", kind=kind, max_attempts=4)
    servers = [stage.peers["one"], stage.peers["two"]]
    clients = [stage.peers["phone"], stage.peers["desk"]]
    finals: dict[str, list[int]] = {}
    open_attempts: dict[str, set[str]] = {}  # by session description, which names the call: its open attempts
    seen: set[str] = set()
    max_open = 0
    for turn in range(120 + 60):
        if turn < 120:
            client = clients[turn % 2]
            setup = client.request("INVITE", f"m{turn}", {}, f"m{turn}".encode()).encode()
            client.write(setup)
            if turn % 10 == 0:
                client.write(setup)  # a retransmission over UDP; over TCP it must be absorbed as well
        stage.wait(timedelta(milliseconds=50))
        for server in servers:
            for message in server.inbox:
                name, attempt = message.body.decode(), message.call_id
                if message.method == "CANCEL":
                    for group in open_attempts.values():
                        group.discard(attempt)
                if message.method != "INVITE" or attempt in seen:
                    continue
                seen.add(attempt)
                group = open_attempts.setdefault(name, set())
                group.add(attempt)
                max_open = max(max_open, len(group))
                server.write(server.answer(180, "INVITE", attempt, {}, b"").encode())
                if len(seen) % 4 != 3:
                    status = (200, 200, 503)[len(seen) % 3]
                    server.write(server.answer(status, "INVITE", attempt, {}, b"").encode())
                    group.discard(attempt)
            server.inbox.clear()
        for client in clients:
            for message in client.inbox:
                if not message.is_request and message.status >= 200 and message.cseq[1] == "INVITE":
                    finals.setdefault(message.call_id, []).append(message.status)
            client.inbox.clear()
    stage.wait(timedelta(seconds=1))
    assert max_open == 1
    assert len(seen) > 20
    assert {200, 503} <= {answers[0] for answers in finals.values()}
    assert sorted(finals) == sorted(f"m{turn}" for turn in range(120))
    assert all(len(set(answers)) == 1 for answers in finals.values())
    assert not stage.switch.unanswered


def test_a_drain_refuses_new_calls_and_keeps_dialogs() -> None:
    """New INVITEs were accepted during a drain and never completed."""
    stage = SipStage("server")
    stage.play(call("phone", "server") + INVITE_REACHES_SERVER.replace("phone", "desk").replace("c1", "c2"))
    stage.switch.lifecycle.quiesce()
    stage.play("""
        phone send INVITE c3
        phone expect 503 c3 retry-after=5
        server send 200 INVITE | there
        server expect ACK
        desk expect 200 c2 body=there
        phone send BYE c1
        phone expect 200 c1
        server expect BYE
        server send 200 BYE
        phone send OPTIONS o
        phone expect 200 o
    """)
    stage.switch.lifecycle.resume()
    stage.play("phone send INVITE c4\n phone expect 100 c4\n server expect INVITE")


def test_a_pending_call_keeps_its_class_when_new_settings_drop_it() -> None:
    stage = SipStage("server")
    stage.play(INVITE_REACHES_SERVER)
    great = [kind for kind in stage.switch.settings.classes if kind.name == "great"]
    stage.switch.apply_settings(replace(stage.switch.settings, classes=tuple(great)))
    stage.front.settings = replace(stage.front.settings, default_class="great", waits={"great": WAIT})
    stage.play("server send 200 INVITE | there\n server expect ACK\n phone expect 200 c1 body=there")
    stage.play("desk send INVITE c2 x-cos=small\n desk expect 100 c2\n server expect INVITE")
    assert list(stage.switch.classes) == ["great"]


def options(name: str, via: str) -> bytes:
    return (
        f"OPTIONS sip:a@b SIP/2.0\r\nVia: {via}\r\nFrom: <sip:a@b>;tag=1\r\nTo: <sip:a@b>\r\n"
        f"Call-ID: {name}\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
    ).encode()


@pytest.mark.parametrize("via", [",", ", SIP/2.0/UDP 127.0.0.1:5", " , ,", ";branch=z9hG4bKa", "\x0b,"])
def test_a_datagram_with_an_empty_topmost_via_is_rejected_and_the_program_continues(via: str) -> None:
    """One function skipped the empty item before the comma and another did not, which ended the program."""
    stage = SipStage("server")
    phone = stage.peers["phone"]
    phone.write(options("v1", via))
    stage.play("phone expect 400 v1\n phone send OPTIONS o1\n phone expect 200 o1")


def test_a_comma_within_quotes_does_not_end_the_topmost_via() -> None:
    stage = SipStage("server")
    phone = stage.peers["phone"]
    phone.write(options("v1", f'SIP/2.0/UDP {HOST}:{phone.port};branch=z9hG4bKq;x="a,b";rport'))
    stage.play("phone expect 200 v1")
    phone.write(options("v2", f"SIP/2.0/UDP {HOST}:{phone.port};branch=z9hG4bKr;rport , SIP/2.0/UDP far"))
    stage.play(f"phone expect 200 v2 via=SIP/2.0/UDP~{HOST}:{phone.port};branch=z9hG4bKr;rport={phone.port}"
               f";received={HOST}~,~SIP/2.0/UDP~far")  # fmt: skip


def test_malformed_datagrams_do_not_fill_the_log(capsys: pytest.CaptureFixture[str]) -> None:
    """Each datagram added a log line: 460 KB in 12 s from one sender."""
    LOGGED_COUNTS.clear()
    stage = SipStage("server")
    phone = stage.peers["phone"]
    for number in range(500):
        phone.write(b"no SIP %d\r\n\r\n" % number)
        phone.write(options(f"v{number}", "SIP/2.0/UDP"))
        if number % 50 == 0:
            stage.settle()
    stage.settle()
    lines = [line for line in capsys.readouterr().err.splitlines() if line.startswith("sip:")]
    assert 0 < len(lines) < 40
    LOGGED_COUNTS.clear()


def raise_planted_fault(*_: object, **__: object) -> None:
    raise KeyError("planted")


def test_a_fault_in_handling_a_request_is_answered_with_500_and_affects_nothing_else(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It ended a debug build; in a release build the transaction leaked and the client got no response."""
    stage = SipStage("server")
    stage.play(call("phone", "server"))
    before = COUNTERS["faults.sip.request"]
    with monkeypatch.context() as patch:
        patch.setattr(stage.switch, "offer", raise_planted_fault)
        stage.play("phone send INVITE c2\n phone expect 100 c2\n phone expect 500 c2\n phone send OPTIONS o1")
        stage.play("phone expect 200 o1")
    assert COUNTERS["faults.sip.request"] == before + 1
    stage.play(call("phone", "server", "c3") + "phone send BYE c1\n phone expect 200 c1\n server expect BYE")
    stage.wait(timedelta(seconds=40))
    assert len(stage.front.legs_by_name) <= 1 and not stage.switch.unanswered


def test_a_fault_in_handling_a_response_counts_as_an_attempt_without_an_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    stage = SipStage("server", max_attempts=1)
    stage.play(INVITE_REACHES_SERVER)
    with monkeypatch.context() as patch:
        patch.setattr(stage.switch, "established", raise_planted_fault)
        stage.play("server send 200 INVITE\n server expect ACK\n server expect BYE\n server send 200 BYE")
        stage.play("phone expect 503 c1 retry-after=*")
    stage.wait(timedelta(seconds=40))
    assert stage.switch.is_idle, "one final response, and no call is left"


def test_a_fault_in_reading_a_stream_closes_only_that_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    stage = SipStage("server")
    other = stage.peer("other", "tcp", stage.front.endpoint.address)
    stage.play("desk send OPTIONS o1\n desk expect 200 o1\n other send OPTIONS o2\n other expect 200 o2")
    with monkeypatch.context() as patch:
        patch.setattr("reedmount.sip.endpoint.next_message", raise_planted_fault)
        stage.play("desk send OPTIONS o3\n desk expect CLOSED")
    stage.play("other send OPTIONS o4\n other expect 200 o4\n phone send OPTIONS o5\n phone expect 200 o5")
    assert other.rings


def test_a_broken_invariant_is_not_contained_in_a_debug_build() -> None:
    def breaks() -> None:
        invariant(False, "planted")

    with pytest.raises(AssertionError):
        run_isolated("test", breaks)
    assert not run_isolated("test", raise_planted_fault, raise_planted_fault), (
        "a fault in the cleanup is contained as well"
    )
    assert COUNTERS["faults.test.ending"] >= 1


@pytest.mark.parametrize("kind", ["udp", "tcp"])
def test_a_cancel_is_posted_to_one_server_and_removed_servers_are_forgotten(kind: str) -> None:
    """A cancel was posted to every server that had ever been listed."""
    names = [f"s{number}" for number in range(6)]
    stage = SipStage(*names, kind=kind)
    sip_servers = stage.switch._servers
    assert isinstance(sip_servers, SipServers)
    posted: list[str] = []
    for name, peer in sip_servers._by_name.items():

        def post(item: object, name: str = name, original: Callable[[Any], None] = peer.post) -> None:
            posted.append(f"{name} {type(item).__name__}")
            original(item)

        peer.post = post
    stage.play("phone send INVITE c1\n phone expect 100 c1")
    stage.settle()
    (target,) = [name for name in names if stage.peers[name].inbox]
    stage.play(f"{target} expect INVITE\n {target} send 180 INVITE\n phone expect 180 c1")
    stage.play(f"phone send CANCEL c1\n phone expect 200 c1\n phone expect 487 c1\n {target} expect CANCEL")
    stage.play(f"{target} send 487 INVITE")
    assert [entry for entry in posted if "CancelSetup" in entry] == [f"{target} CancelSetup"]
    stage.play(f"{target} expect ACK")
    assert not sip_servers._open_attempts
    removed = [ListedServer(name, (HOST, stage.peers[name].port), number, False, True, None, kind)
            for number, name in enumerate(names, 1)]  # fmt: skip
    stage.switch.pool_changed(9, i.ListKind.CHANGES, removed)
    stage.wait(timedelta(seconds=40))
    assert not sip_servers._by_name


def test_a_removed_server_is_kept_while_it_has_an_established_call() -> None:
    stage = SipStage("server")
    sip_servers = stage.switch._servers
    assert isinstance(sip_servers, SipServers)
    stage.play(call("phone", "server"))
    removed = ListedServer("server", (HOST, stage.peers["server"].port), 1, False, True, None, "udp")
    stage.switch.pool_changed(9, i.ListKind.CHANGES, [removed])
    stage.wait(timedelta(seconds=1))
    assert list(sip_servers._by_name) == ["server"]
    stage.play("phone send BYE c1\n phone expect 200 c1\n server expect BYE\n server send 200 BYE")
    stage.wait(timedelta(seconds=1))
    assert not sip_servers._by_name


def test_a_closed_connection_leaves_no_transaction_behind() -> None:
    stage = SipStage("server")
    stage.play("desk send INVITE c1\n desk expect 100 c1\n server expect INVITE\n desk send OPTIONS o1")
    stage.play("desk expect 200 o1\n desk close\n wait 100")
    assert not stage.front.endpoint.transactions._by_hop and not stage.front._by_transaction


def test_a_set_up_that_crosses_the_removal_of_its_server_is_reported_as_not_sent() -> None:
    """The set-up was left in the mailbox of the server's actor when the server was forgotten."""
    stage = SipStage("server", "other", max_attempts=2)
    sip_servers = stage.switch._servers
    assert isinstance(sip_servers, SipServers)
    peer = sip_servers._by_name["server"]
    removed = ListedServer("server", (HOST, stage.peers["server"].port), 1, False, True, None, "udp")
    ended: list[tuple[str, i.Outcome]] = []
    stage.switch.attempt_ended = lambda name, attempt, outcome, *_: ended.append((name, outcome))  # type: ignore[method-assign]
    peer.post(removed)
    sip_servers.send(Setup("late", 0, "server", "small", "100", WAIT, b""))
    stage.wait(timedelta(milliseconds=50))
    assert ended == [("late", i.Outcome.NOT_SENT)] and list(sip_servers._by_name) == ["other"]


def test_every_provisional_response_except_100_is_passed_to_the_caller() -> None:
    stage = SipStage("server")
    stage.play(f"""
        {INVITE_REACHES_SERVER}
        server send 100 INVITE
        phone expect nothing
        server send 180 INVITE
        phone expect 180 c1 contact=*
        server send 183 INVITE | early
        phone expect 183 c1 body=early content-type=application/sdp
        server send 180 INVITE
        phone expect 180 c1
        server send 200 INVITE | answer
        server expect ACK
        phone expect 200 c1 body=answer
        server send 180 INVITE
        phone expect nothing
    """)


def test_the_number_of_provisional_responses_passed_on_is_bounded() -> None:
    stage = SipStage("server")
    stage.play(INVITE_REACHES_SERVER)
    for _ in range(100):
        stage.play("server send 180 INVITE")
    stage.settle()
    assert len(stage.peers["phone"].inbox) == MAX_PROGRESS


def test_a_failed_attempt_and_the_next_one_have_different_early_dialogs() -> None:
    stage = SipStage("server", "second", max_attempts=2)
    stage.play("phone send INVITE c1\n phone expect 100 c1")
    stage.settle()
    first = "server" if stage.peers["server"].inbox else "second"
    other = "second" if first == "server" else "server"
    received = stage.peers["phone"].received_tags = []  # type: ignore[attr-defined]
    original = stage.peers["phone"].take

    def take(message: Message) -> None:
        received.append((message.status, parameter(message.need("To"), "tag")))
        original(message)

    stage.peers["phone"].take = take  # type: ignore[method-assign]
    stage.play(f"""
        {first} expect INVITE
        {first} send 180 INVITE
        phone expect 180 c1
        {first} send 503 INVITE
        {first} expect ACK
        wait 600
        {other} expect INVITE
        {other} send 180 INVITE
        phone expect 180 c1
        {other} send 200 INVITE | answer
        phone expect 200 c1 body=answer
    """)
    (_, one), (_, two), (_, final) = received
    assert one and two and one != two == final


def test_of_several_forked_answers_one_is_kept_and_the_others_are_released() -> None:
    stage = SipStage("server")
    stage.play(INVITE_REACHES_SERVER)
    server = stage.peers["server"]
    invite = server.requests[-1]
    for tag in ("a", "b"):
        contact = ("Contact", f"<sip:{tag}@{HOST}:{server.port}>")
        server.write(response(invite, 200, [contact], tag.encode(), tag=tag).encode())
    stage.play("phone expect 200 c1 body=a")
    stage.settle()
    received = [(message.method, parameter(message.need("To"), "tag")) for message in server.inbox]
    assert sorted(received) == [("ACK", "a"), ("ACK", "b"), ("BYE", "b")]
    server.inbox.clear()
    server.write(response(invite, 200, [contact], b"b", tag="b").encode())
    stage.play("server expect ACK\n server expect nothing\n phone expect nothing")
    stage.play("phone send BYE c1\n phone expect 200 c1\n server expect BYE")


@pytest.mark.parametrize(
    "pieces", [[b"\r\n\r\n"], [b"\r\n", b"\r\n"], [b"\r", b"\n\r", b"\n"], [b"\r\n\r\n" * 500]],
    ids=["whole", "halves", "thirds", "many"],
)  # fmt: skip
def test_a_keep_alive_on_a_connection_is_answered_however_it_is_segmented(pieces: list[bytes]) -> None:
    """RFC 5626, 4.4.1: a client that gets no pong within 10 s considers its connection dead."""
    stage = SipStage("server")
    desk = stage.peers["desk"]
    stage.play("desk send OPTIONS o1\n desk expect 200 o1")
    assert desk.sock is not None
    desk.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    desk.pump = lambda: False  # type: ignore[method-assign]
    for piece in pieces:
        desk.sock.sendall(piece)
        stage.settle()
    desk.sock.settimeout(2)
    assert desk.sock.recv(100) == b"\r\n"
    del desk.pump
    stage.play("desk send OPTIONS o2\n desk expect 200 o2")
    desk.sock.sendall(b"\r\n" + desk.request("OPTIONS", "o3", {}, b"").encode())
    stage.play("desk expect 200 o3")
