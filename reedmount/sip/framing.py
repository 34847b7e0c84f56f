"""Messages out of a stream: split, joined, or with empty lines between them."""

from __future__ import annotations

from reedmount.net.ring import Ring
from reedmount.sip.message import LONGEST, Message, SipError, content_length, parse_head

BLANK = b"\r\n\r\n"


def next_message(ring: Ring) -> Message | None:
    """Take the next whole message, or None while there is none.

    A SipError leaves the stream out of step: its reader closes the connection after telling why. Each call
    drops what it has read, so that a ring of two messages always has room for the rest of one.
    """
    held = ring.peek(LONGEST + 1)
    start = len(held) - len(held.lstrip(b"\r\n"))
    if start:
        ring.drop(start)
        held = held[start:]
    end = held.find(BLANK)
    if end < 0:
        if len(held) > LONGEST:
            raise SipError(513, "longer than 16 KiB")
        return None
    message = parse_head(held[:end])
    length = content_length(message)
    if length is None:
        raise SipError(400, "no Content-Length on a stream")
    whole = end + len(BLANK) + length
    if whole > LONGEST:
        raise SipError(513, "longer than 16 KiB")
    if len(ring) < whole:
        return None
    message.body = ring.peek(whole)[end + len(BLANK) :]
    ring.drop(whole)
    return message
