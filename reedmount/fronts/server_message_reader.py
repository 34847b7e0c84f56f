"""Reads the messages that call servers send, and finds those that are cut short or have a wrong length."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from reedmount.core.clock import ZERO
from reedmount.fronts.server_connection import ServerConnection
from reedmount.net.loop import Loop
from reedmount.sip.framing import next_message
from reedmount.sip.message import Message, SipError

PARTIAL_MESSAGE_TIMEOUT = timedelta(milliseconds=250)  # without further bytes of a partly received message
START_LINES = (b"SIP/2.0 ", b"INVITE ", b"ACK ", b"BYE ", b"CANCEL ", b"OPTIONS ", b"NOTIFY ")


class ServerMessageReader:
    """Passes on complete messages, and reports connections whose input cannot be parsed any more."""

    def __init__(
        self,
        loop: Loop,
        on_message: Callable[[ServerConnection, Message], None],
        on_malformed: Callable[[ServerConnection, str], None],
    ) -> None:
        """``on_message`` may raise SipError for a message that it cannot accept."""
        self._loop, self._on_message, self._on_malformed = loop, on_message, on_malformed

    def read(self, connection: ServerConnection) -> None:
        """Handle what a connection has received."""
        ring = connection.transport.incoming
        while not connection.transport.ended:
            try:
                message = next_message(ring)
                if message is None:
                    break
                if message.body and len(ring) and not _may_begin(ring.peek(16)):
                    # A wrong Content-Length: the rest belongs to this message, or part of it to the next.
                    raise SipError(400, "the message is longer than its Content-Length")
                self._on_message(connection, message)
            except SipError as error:
                self._on_malformed(connection, str(error))
                return
        if len(ring) and not connection.partial:
            connection.partial = True
            self._loop.call_later(PARTIAL_MESSAGE_TIMEOUT, lambda: self._check_partial(connection))

    def _check_partial(self, connection: ServerConnection) -> None:
        """Check whether a partly received message has grown; one timer serves any number of segments."""
        connection.partial = False
        if connection.transport.ended or not len(connection.transport.incoming):
            return
        left = connection.transport.last_received_at + PARTIAL_MESSAGE_TIMEOUT - self._loop.clock.now()
        if left <= ZERO:
            self._on_malformed(connection, "a message was cut short")
        else:
            connection.partial = True
            self._loop.call_later(left, lambda: self._check_partial(connection))


def _may_begin(data: bytes) -> bool:
    """Whether bytes may be the start of a message."""
    data = data.lstrip(b"\r\n")
    return any(line.startswith(data[: len(line)]) for line in START_LINES)
