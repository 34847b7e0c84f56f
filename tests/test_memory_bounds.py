"""What clients can make the process keep in memory: heads of many fields, large set-ups, many calls."""

from __future__ import annotations

from datetime import timedelta

import pytest

from reedmount.core import switch as core
from reedmount.core.checks import COUNTERS
from reedmount.core.ports import CALL_OVERHEAD
from reedmount.fronts.sip_server_leg import ServerLeg
from reedmount.sip import finished_transactions
from reedmount.sip.datagram_queue import MAX_SOURCE_BYTES, DatagramQueue
from reedmount.sip.endpoint import MAX_DATAGRAMS_PER_TURN
from reedmount.sip.message import MAX_HEADER_LINES, RESPONSE_HEADERS, SipError, parse_head
from tests.scenario import digits
from tests.test_platform import ESTABLISH, SETUP, Platform
from tests.test_sip import INVITE_REACHES_SERVER, SipStage, call

MANY = MAX_HEADER_LINES + 1


def with_fields(request: bytes, count: int, field: bytes = b"a:\r\n") -> bytes:
    """The request with further header fields."""
    start, _, rest = request.partition(b"\r\n")
    return start + b"\r\n" + field * count + rest


@pytest.mark.parametrize("field", [b"a:\r\n", b"c:x\r\n", b"Via: x\r\n"])
def test_a_set_up_with_very_many_fields_is_rejected_and_not_kept(field: bytes) -> None:
    """Hundreds of clients with such heads took more memory than the process may have."""
    stage = Platform("server")
    caller = stage.peers["caller"]
    given = {"x-cos": "small", "x-timer-ms": "2000"}
    for name in ("c1", "c2"):
        caller.write(with_fields(caller.request("INVITE", name, dict(given), b"").encode(), 2000, field))
    stage.play("caller expect 400 c1\n caller expect 400 c2\n server expect nothing\n" + ESTABLISH)


@pytest.mark.parametrize("client", ["phone", "desk"])
def test_the_sip_front_rejects_a_request_with_very_many_fields(client: str) -> None:
    stage = SipStage("server")
    peer = stage.peers[client]
    peer.write(with_fields(peer.request("INVITE", "c1", {}, b"").encode(), MANY))
    stage.play(
        f"{client} expect 400 c1\n server expect nothing\n {client} send OPTIONS o1\n {client} expect 200"
    )
    assert not stage.front.legs_by_name


def test_only_what_a_response_needs_is_parsed_of_a_head_with_very_many_fields() -> None:
    head = b"BYE sip:a@b SIP/2.0\r\nv: x\r\n" + b"a:\r\n" * MANY + b"i: 7\r\nCSeq: 1 BYE\r\nX-Cos: y"
    message = parse_head(head)
    assert message.headers == [("via", "x"), ("call-id", "7"), ("CSeq", "1 BYE")] and message.fault
    with pytest.raises(SipError):
        parse_head(head.replace(b"BYE sip:a@b SIP/2.0", b"SIP/2.0 200 OK"))


def test_of_an_open_set_up_only_what_its_response_needs_is_kept() -> None:
    """All of its headers and its body were kept until the answer."""
    stage = Platform("server")
    caller = stage.peers["caller"]
    request = caller.request("INVITE", "c1", {"x-cos": "small", "x-timer-ms": "2000"}, b"hello\r\n").encode()
    caller.write(with_fields(request, 200))
    stage.play("server expect INVITE c1 body=hello")
    (client,) = [client for client in stage.callers._clients if client.open]
    kept = client.open[digits("c1")]
    assert {key.lower() for key, _ in kept.headers} <= RESPONSE_HEADERS and not kept.body


def test_a_finished_transaction_keeps_no_request() -> None:
    stage = SipStage()
    stage.play("phone send OPTIONS o1 | body\n phone expect 200 o1")
    (transaction,) = stage.front.endpoint.transactions._server_transactions.values()
    assert not transaction.request.headers and not transaction.request.body
    stage.play("phone send OPTIONS o1 | body\n phone expect 200 o1")


def test_set_ups_are_refused_while_calls_take_all_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client without calls may take half, so that others still get theirs."""
    monkeypatch.setattr(core, "MAX_CALL_MEMORY", 4 * CALL_OVERHEAD)
    stage = Platform("server")
    stage.play(ESTABLISH + f"caller send {SETUP.replace('c1', 'c2')}\n server expect INVITE c2")
    stage.play("other send INVITE t x-cos=small x-timer-ms=2000\n other expect 503 t")
    stage.play("caller send CANCEL c2\n server expect CANCEL\n caller send BYE c1\n caller expect 200 c1")
    stage.play(
        "server expect BYE c1\n other send INVITE t x-cos=small x-timer-ms=2000\n server expect INVITE t"
    )
    assert COUNTERS["calls.no_memory"] >= 1


def test_the_sip_front_refuses_calls_while_others_take_all_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    stage = SipStage("server")
    stage.play(INVITE_REACHES_SERVER)
    monkeypatch.setattr(core, "MAX_CALL_MEMORY", CALL_OVERHEAD)
    stage.play("desk send INVITE c2\n desk expect 503 c2 retry-after=2\n server expect nothing")
    stage.play("server send 503 INVITE\n server expect ACK\n wait 2000\n phone expect 503 c1")
    assert stage.switch._call_memory == 0


def test_an_established_call_keeps_no_description() -> None:
    """The set-up's body was kept three times: by the core, the server leg and its transaction."""
    stage = SipStage("server")
    stage.play(call("phone", "server"))
    (leg,) = stage.front.server_legs.values()
    (transaction,) = stage.front.endpoint.transactions._client_transactions.values()
    (kept,) = stage.switch._by_number.values()
    assert isinstance(leg, ServerLeg)
    assert not (leg.setup.description or transaction.request.body or kept.offer.description)


def test_finished_transactions_take_a_bounded_memory_and_a_source_only_its_share(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They were kept for 32 s each: one client's requests under ever new names filled the memory."""
    budget = 8 * (finished_transactions.TRANSACTION_OVERHEAD + 1024)
    monkeypatch.setattr(finished_transactions, "MAX_MEMORY", budget)
    stage = SipStage()
    finished = stage.front.endpoint.transactions.finished
    stage.play("desk send INVITE d1\n wait 1700\n desk expect 100 d1\n desk expect 503 d1")
    for number in range(40):
        stage.play(f"phone send OPTIONS o{number}\n phone expect 200 o{number}")
    assert finished._source_bytes[next(iter(finished._by_source))] <= budget
    assert 1 <= len(finished) <= 8 and finished._bytes <= budget / 2
    stage.play("phone send OPTIONS o39\n phone expect 200 o39")
    for number in range(30):
        other = stage.peer(f"p{number}", "udp", stage.front.endpoint.address)
        other.write(other.request("OPTIONS", f"p{number}", {}, b"").encode())
        stage.play(f"p{number} expect 200 p{number}")
    assert finished._bytes <= budget
    stage.wait(timedelta(seconds=40))
    assert not len(finished) and not finished._by_source and finished._bytes == 0


def test_a_source_that_floods_loses_its_own_datagrams_and_delays_no_other() -> None:
    """All datagrams waited in one queue without an end: 1.5 GB after 8 s, and others were not answered."""
    queue = DatagramQueue()
    flood, usual = ("127.0.0.1", 1), ("127.0.0.1", 2)
    taken = [queue.add(b"x" * 1000, flood) for _ in range(1000)]
    assert 0 < sum(taken) * 1256 <= MAX_SOURCE_BYTES and not taken[-1]
    assert queue.add(b"a", usual) and queue.add(b"b", usual)
    assert [queue.pop()[1] for _ in range(4)] == [flood, usual, flood, usual]
    while queue:
        queue.pop()
    assert not queue._source_bytes and queue._bytes == 0
    with pytest.raises(IndexError):
        queue.pop()


def test_datagrams_are_handled_a_few_in_a_turn() -> None:
    """One client's datagrams were read and handled without end before anything else was served."""
    stage = SipStage()
    phone, handled = stage.peers["phone"], 0
    for number in range(3 * MAX_DATAGRAMS_PER_TURN):
        phone.write(phone.request("OPTIONS", f"o{number}", {}, b"").encode())
    endpoint = stage.front.endpoint
    endpoint._on_readable(endpoint._udp)
    while endpoint._datagrams:
        before = COUNTERS["sip.in.request"]
        endpoint._handle_datagrams()
        handled += 1
        assert COUNTERS["sip.in.request"] - before <= MAX_DATAGRAMS_PER_TURN
    assert handled == 3
