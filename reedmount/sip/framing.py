"""Messages out of a stream: split, joined, or with empty lines between them."""

from __future__ import annotations

import re

from reedmount.net.ring import Ring
from reedmount.sip.message import LONGEST, Message, SipError, content_length, parse_head

BLANK = b"\r\n\r\n"
LENGTHS = re.compile(rb"\r\n(?:content-length|l)[ \t]*:", re.IGNORECASE)
LENGTH = re.compile(rb"\r\n(?:content-length|l)[ \t]*:[ \t]*([0-9]{1,9})[ \t]*(?=\r\n)", re.IGNORECASE)


def next_frame(ring: Ring) -> tuple[bytes, bytes] | None:
    """Take the next whole message as its head and its body, unread, or None while there is none.

    A SipError leaves the stream out of step: its reader closes the connection after telling why. Each call
    drops what it has taken, so that a ring of two messages always has room for the rest of one. Where there
    is none it notes on the ring how far it has looked: a message in small pieces is not gone through again.
    """
    if len(ring) < ring.needed or not len(ring):
        return None
    while ring.peek(1) in (b"\r", b"\n"):
        start = ring.peek(LONGEST)
        ring.drop(len(start) - len(start.lstrip(b"\r\n")))
    end = ring.find(BLANK, ring.scanned)
    if end < 0:
        if len(ring) > LONGEST:
            raise SipError(513, "longer than 16 KiB")
        ring.scanned = max(0, len(ring) - len(BLANK) + 1)
        return None
    held = ring.peek(end + len(BLANK))
    found = LENGTH.search(held, 0, end + 2)
    if found is None or len(LENGTHS.findall(held, 0, end + 2)) > 1:
        # No plain length: say what is wrong with it.
        length = content_length(parse_head(held[:end]))
        if length is None:
            raise SipError(400, "no Content-Length on a stream")
    else:
        length = int(found[1])
    begun = end + len(BLANK)
    if begun + length > LONGEST:
        raise SipError(513, "longer than 16 KiB")
    ring.scanned, ring.needed = end, begun + length
    if len(ring) < begun + length:
        return None
    body = ring.peek(begun + length)[begun:]
    ring.drop(begun + length)
    return held[:end], body


def next_message(ring: Ring) -> Message | None:
    """Take and read the next whole message, or None while there is none."""
    frame = next_frame(ring)
    if frame is None:
        return None
    message = parse_head(frame[0])
    message.body = frame[1]
    return message
