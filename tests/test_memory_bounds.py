"""What clients can make the process keep in memory: heads of many fields, large set-ups, many calls."""

from __future__ import annotations

import pytest

from reedmount.core import switch as core
from reedmount.core.checks import COUNTERS
from reedmount.sip.message import MAX_HEADER_LINES, RESPONSE_HEADERS, SipError, parse_head
from tests.scenario import digits
from tests.test_platform import ESTABLISH, SETUP, Platform
from tests.test_sip import INVITE_REACHES_SERVER, SipStage

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
    fields = {"x-cos": "small", "x-timer-ms": "2000"}
    for name in ("c1", "c2"):
        caller.write(with_fields(caller.request("INVITE", name, dict(fields), b"").encode(), 2000, field))
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
    monkeypatch.setattr(core, "MAX_CALL_MEMORY", 4 * core.CALL_OVERHEAD)
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
    monkeypatch.setattr(core, "MAX_CALL_MEMORY", core.CALL_OVERHEAD)
    stage.play("desk send INVITE c2\n desk expect 503 c2 retry-after=2\n server expect nothing")
    stage.play("server send 503 INVITE\n server expect ACK\n wait 2000\n phone expect 503 c1")
    assert stage.switch._call_memory == 0
