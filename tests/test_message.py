"""SIP messages: parsing, framing, and the keys of transactions and dialogs."""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reedmount.net.ring import Ring
from reedmount.sip.dialog import dialog_key, uac_dialog
from reedmount.sip.endpoint import mark_source
from reedmount.sip.framing import next_message
from reedmount.sip.message import (
    Message,
    SipError,
    header_values,
    host_port,
    parse_datagram,
    parse_head,
    request,
    response,
    user_of,
)
from reedmount.sip.transaction import server_transaction_key

RFC2543_INVITE = (
    "INVITE sip:0800@net SIP/2.0\r\nv: SIP/2.0/UDP old:5060\r\nf: <sip:a@b>;tag=1\r\nt: <sip:c@d>\r\n"
    "i: x1\r\nCSeq: 7 INVITE\r\nSubject: one\r\n two\r\n\tthree\r\nl: 2\r\n\r\nab"
)


def test_compact_and_folded_headers_are_found_by_their_long_names() -> None:
    message = parse_datagram(RFC2543_INVITE.encode())
    assert (message.call_id, message.cseq, message.body) == ("x1", (7, "INVITE"), b"ab")
    assert message.get("subject") == "one two three" and message.get("Via") == "SIP/2.0/UDP old:5060"


def test_requests_without_a_branch_are_matched_by_their_other_headers() -> None:
    """RFC 2543 clients send no branch in Via: matched by it, all their calls would be one transaction."""
    first = parse_datagram(RFC2543_INVITE.encode())
    again = parse_datagram(RFC2543_INVITE.encode())
    other = parse_datagram(RFC2543_INVITE.replace("x1", "x2").encode())
    ack = parse_datagram(
        RFC2543_INVITE.replace("INVITE sip", "ACK sip").replace("7 INVITE", "7 ACK").encode()
    )
    assert (
        server_transaction_key(first)
        == server_transaction_key(again)
        == server_transaction_key(ack)
        != server_transaction_key(other)
    )


@pytest.mark.parametrize(
    ("old", "new", "status"),
    [
        ("SIP/2.0\r\nv", "SIP/3.0\r\nv", 505),
        ("INVITE sip", "INV@TE sip", 400),
        ("l: 2", "l: -2", 400),
        ("l: 2", "l: 3", 400),
        ("l: 2", "no colon", 400),
        ("\r\n\r\nab", "\r\n", 400),
    ],
)
def test_malformed_messages_are_rejected_with_their_status(old: str, new: str, status: int) -> None:
    with pytest.raises(SipError) as caught:
        parse_datagram(RFC2543_INVITE.replace(old, new, 1).encode())
    assert caught.value.status == status


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=300), st.integers(0, 250), st.integers(0, 40))
def test_any_datagram_is_either_parsed_or_rejected_with_a_status(noise: bytes, at: int, cut: int) -> None:
    data = RFC2543_INVITE.encode()
    for wire in (noise, data[:at] + noise + data[at + cut :]):
        try:
            message = parse_datagram(wire)
            assert message.is_request or message.status
        except SipError as error:
            assert 400 <= error.status < 600


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.integers(1, 90), min_size=1, max_size=40), st.lists(st.binary(max_size=60), max_size=5))
def test_a_stream_is_framed_into_messages_however_it_is_segmented(
    cuts: list[int], bodies: list[bytes]
) -> None:
    requests = [request("OPTIONS", "sip:a@b", [("Call-ID", "x")], body).encode() for body in bodies]
    wire = b"".join(b"\r\n" + message for message in requests)
    ring, found = Ring(32768), []
    turn = 0
    while wire:
        size = cuts[turn % len(cuts)]
        ring.write(wire[:size])
        wire, turn = wire[size:], turn + 1
        while (message := next_message(ring)) is not None:
            found.append(message.body)
    assert found == bodies


def test_a_stream_message_without_a_length_or_above_the_maximum_size_is_rejected() -> None:
    for data, status in (
        (b"OPTIONS sip:a@b SIP/2.0\r\nCall-ID: x\r\n\r\n", 400),
        (b"OPTIONS sip:a@b SIP/2.0\r\nContent-Length: 16384\r\n\r\n", 513),
        (b"x" * 16400, 513),
    ):
        ring = Ring(32768)
        ring.write(data)
        with pytest.raises(SipError) as caught:
            next_message(ring)
        assert caught.value.status == status


def test_header_values_are_split_at_commas_outside_quotes_and_brackets_and_uris_are_parsed() -> None:
    assert header_values('"a, b" <sip:c,d@e>, <sip:f>;x=1') == ['"a, b" <sip:c,d@e>', "<sip:f>;x=1"]
    assert user_of("sip:0800;x=1@net") == "0800" and user_of("sips:net") == ""
    assert host_port("sip:a@b;transport=tcp") == ("b", 5060) and host_port("sip:b:70") == ("b", 70)
    for uri in ("tel:1", "sip:", "sip:a@b:x"):
        with pytest.raises(SipError):
            host_port(uri)


def test_the_uac_reverses_the_route_set_and_its_dialog_key_matches_the_peer_s_requests() -> None:
    headers = [("From", "<sip:us@a>;tag=1"), ("To", "<sip:them@b>"), ("Call-ID", "x"), ("CSeq", "1 INVITE")]
    invite = request("INVITE", "sip:them@b", headers)
    extra = [("Record-Route", "<sip:p1>, <sip:p2>"), ("Contact", "<sip:them@c:9>")]
    answer = response(invite, 200, extra, tag="2")
    dialog = uac_dialog(invite, answer)
    bye = dialog.request("BYE", "SIP/2.0/UDP us;branch=z9hG4bK1")
    assert bye.uri == "sip:them@c:9" and bye.all("Route") == ["<sip:p2>", "<sip:p1>"]
    assert bye.cseq == (2, "BYE")
    peer_bye = parse_head(
        b"BYE sip:us@a SIP/2.0\r\nCall-ID: x\r\nFrom: <sip:them@b>;tag=2\r\n"
        b"To: <sip:us@a>;tag=1\r\nCSeq: 5 BYE"
    )
    assert dialog_key(peer_bye) == dialog.key
    assert dialog.in_order(peer_bye) and not dialog.in_order(peer_bye)
    assert isinstance(peer_bye, Message)


def test_a_header_folded_right_after_its_colon_has_no_space_before_its_value() -> None:
    """Found by mutation: `CSeq:` with its value on the next line (RFC 3261, 7.3.1) was answered with 400."""
    lines = ["OPTIONS sip:a@b SIP/2.0", "CSeq:", " 1 OPTIONS", "Subject: one", "\ttwo", "", ""]
    message = parse_datagram("\r\n".join(lines).encode())
    assert message.cseq == (1, "OPTIONS") and message.get("Subject") == "one two"


def steps_of(work: Callable[[], object]) -> int:
    """The number of lines of Python that a call executes, also in the functions that it calls."""
    steps = 0

    def count(_frame: FrameType, event: str, _argument: object) -> Any:
        nonlocal steps
        steps += event == "line"
        return count

    previous = sys.gettrace()
    sys.settrace(count)
    try:
        work()
    finally:
        sys.settrace(previous)
    return steps


@pytest.mark.parametrize("lines", [("a:", " "), ("a:", " b"), ("a: b", "\tc", " ")], ids=repr)
def test_the_cost_of_a_head_with_folded_lines_is_proportional_to_its_size(lines: tuple[str, ...]) -> None:
    """Each folded line went through all headers before it: 16 KiB held the whole process for a second."""

    def cost(count: int) -> int:
        first, *folded = lines
        head = "\n".join(["OPTIONS sip:a@b SIP/2.0", *[first] * count, *folded * count]).encode()
        return steps_of(lambda: parse_head(head))

    assert cost(400) < 2.5 * cost(200)


def test_the_first_value_of_a_header_that_stands_twice_keeps_its_folded_lines() -> None:
    message = parse_head(b"OPTIONS sip:a@b SIP/2.0\nVia: one\n  more\n \nVia:\n two\n\n\tthree")
    assert message.get("Via") == "one more" and message.all("Via") == ["one more", "two three"]
    with pytest.raises(SipError):
        parse_head(b"OPTIONS sip:a@b SIP/2.0\n\n x: y\nVia: one")


def test_a_marked_via_is_found_without_a_search_through_all_headers() -> None:
    """Each look at a header of a request over UDP went through all of them, as its index was dropped."""
    message = parse_head(b"OPTIONS sip:a@b SIP/2.0\nVia: SIP/2.0/UDP a;rport, SIP/2.0/UDP b\nTo: c")
    mark_source(message, ";received=192.0.2.1", ";rport=5070")
    marked = "SIP/2.0/UDP a;rport=5070;received=192.0.2.1, SIP/2.0/UDP b"
    assert message.index == {"via": marked, "to": "c"} and message.all("Via") == [marked]
