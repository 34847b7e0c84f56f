"""The thin protocol as the soak's clients and call servers speak it: messages in and out of a byte stream."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from reedmount.net.ring import Ring
from reedmount.sip.framing import next_message
from reedmount.sip.message import Message, request, response

ROOM = 1 << 18
CALL_ENDED, CALL_CUT = 16, 41  # Q.850 causes


def setup(name: str, call_class: str, number: str, wait_ms: int, body: bytes) -> bytes:
    """An INVITE as a client sends it."""
    headers = [("Via", "SIP/2.0/TCP client"), ("Call-ID", name), ("CSeq", "1 INVITE"), ("X-Cos", call_class),
               ("X-Timer-Ms", str(wait_ms)), ("X-Legs", "dest:-1;width:1;via:-1")]  # fmt: skip
    return request("INVITE", f"sip:{number}@net", headers, body).encode()


def simple(method: str, name: str) -> bytes:
    """An ACK, a CANCEL or an OPTIONS."""
    uri = "sip:ping@net" if method == "OPTIONS" else f"sip:{name}@net"
    headers = [("Via", "SIP/2.0/TCP peer"), ("Call-ID", name), ("CSeq", f"1 {method}")]
    return request(method, uri, headers).encode()


def release(name: str, cause: int) -> bytes:
    """A BYE with its cause."""
    reason = f"Q.850;cause={cause}"
    headers = [("Via", "SIP/2.0/TCP peer"), ("Call-ID", name), ("CSeq", "2 BYE"), ("Reason", reason)]
    return request("BYE", f"sip:{name}@net", headers).encode()


def state_of_lines(free: int, size: int) -> bytes:
    """A NOTIFY with the free lines of a call server."""
    headers = [("Via", "SIP/2.0/TCP server"), ("Call-ID", "state"), ("CSeq", "1 NOTIFY"),
               ("X-Occupancy", f"x0:{free};x1:{size}")]  # fmt: skip
    return request("NOTIFY", "sip:state@net", headers).encode()


def answer(to: Message, status: int, body: bytes = b"", note: str = "") -> bytes:
    """The response to a request."""
    return response(to, status, [("X-Diagnosis", note)] if note else [], body).encode()


class MessageStream(asyncio.Protocol):
    """One connection: whole messages come out of what arrives; SipError or ValueError mean it was spoilt."""

    def __init__(self) -> None:
        self._ring = Ring(ROOM)
        self._transport: asyncio.Transport | None = None
        self.writing = False  # a message has begun and not ended: what else is sent waits
        self._queued = bytearray()

    @property
    def transport(self) -> asyncio.Transport:
        """The connection underneath."""
        assert self._transport is not None
        return self._transport

    @property
    def open(self) -> bool:
        """Whether it can still be written to."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def messages(self, data: bytes) -> Iterator[Message]:
        """What has become whole with these bytes."""
        if not self._ring.write(data):
            raise ValueError("more than a stream may hold")
        while (message := next_message(self._ring)) is not None:
            yield message

    def send(self, data: bytes) -> None:
        """Write, where the connection is still there, after a message that is written in pieces."""
        if self.writing:
            self._queued += data
        elif self.open:
            self.transport.write(data)

    def piece(self, data: bytes) -> None:
        """Write a piece of a message that is not its last."""
        self.writing = True
        if self.open:
            self.transport.write(data)

    def finish(self, data: bytes) -> None:
        """Write the last piece of it, and what has waited for that."""
        self.writing = False
        self.send(data + self._queued)
        self._queued.clear()

    def reset(self) -> None:
        """End it with a reset."""
        if self.open:
            self.transport.abort()
