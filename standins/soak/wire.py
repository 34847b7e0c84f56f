"""The thin protocol of the simulated clients and call servers: messages to and from a byte stream."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from reedmount.net.ring import Ring
from reedmount.sip.framing import next_message
from reedmount.sip.message import Message, request, response

BUFFER_SIZE = 1 << 18
CALL_ENDED, CALL_CUT = 16, 41  # Q.850 causes


def setup(name: str, call_class: str, number: str, wait_ms: int, body: bytes) -> bytes:
    """Encode a client's INVITE."""
    headers = [("Via", "SIP/2.0/TCP client"), ("Call-ID", name), ("CSeq", "1 INVITE"), ("X-Cos", call_class),
               ("X-Timer-Ms", str(wait_ms)), ("X-Legs", "dest:-1;width:1;via:-1")]  # fmt: skip
    return request("INVITE", f"sip:{number}@net", headers, body).encode()


def bare_request(method: str, name: str) -> bytes:
    """Encode an ACK, a CANCEL or an OPTIONS."""
    uri = "sip:ping@net" if method == "OPTIONS" else f"sip:{name}@net"
    headers = [("Via", "SIP/2.0/TCP peer"), ("Call-ID", name), ("CSeq", f"1 {method}")]
    return request(method, uri, headers).encode()


def release(name: str, cause: int) -> bytes:
    """Encode a BYE with its cause."""
    reason = f"Q.850;cause={cause}"
    headers = [("Via", "SIP/2.0/TCP peer"), ("Call-ID", name), ("CSeq", "2 BYE"), ("Reason", reason)]
    return request("BYE", f"sip:{name}@net", headers).encode()


def line_state(free: int, size: int) -> bytes:
    """Encode a NOTIFY with the free lines of a call server."""
    headers = [("Via", "SIP/2.0/TCP server"), ("Call-ID", "state"), ("CSeq", "1 NOTIFY"),
               ("X-Occupancy", f"x0:{free};x1:{size}")]  # fmt: skip
    return request("NOTIFY", "sip:state@net", headers).encode()


def answer(to: Message, status: int, body: bytes = b"", note: str = "") -> bytes:
    """Encode the response to a request."""
    return response(to, status, [("X-Diagnosis", note)] if note else [], body).encode()


class MessageStream(asyncio.Protocol):
    """One connection that parses messages; SipError or ValueError mean that its input is invalid."""

    def __init__(self) -> None:
        self._ring = Ring(BUFFER_SIZE)
        self._transport: asyncio.Transport | None = None
        self.writing = False  # a message has been written in part: further ones are queued
        self._queued = bytearray()

    @property
    def transport(self) -> asyncio.Transport:
        """The transport of the connection."""
        assert self._transport is not None
        return self._transport

    @property
    def open(self) -> bool:
        """Whether the connection can still be written to."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def messages(self, data: bytes) -> Iterator[Message]:
        """Yield the messages completed by this data."""
        if not self._ring.write(data):
            raise ValueError("receive buffer overflow")
        while (message := next_message(self._ring)) is not None:
            yield message

    def send(self, data: bytes) -> None:
        """Write if the connection is open, after any message that is written in parts."""
        if self.writing:
            self._queued += data
        elif self.open:
            self.transport.write(data)

    def write_part(self, data: bytes) -> None:
        """Write a part of a message, except its last."""
        self.writing = True
        if self.open:
            self.transport.write(data)

    def write_last_part(self, data: bytes) -> None:
        """Write the last part of a message, and the queued ones."""
        self.writing = False
        self.send(data + self._queued)
        self._queued.clear()

    def reset(self) -> None:
        """Close the connection with a reset."""
        if self.open:
            self.transport.abort()
