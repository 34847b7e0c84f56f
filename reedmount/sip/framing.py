"""Framing of SIP messages on a stream (RFC 3261, 18.3), with empty lines allowed between them."""

from __future__ import annotations

import re

from reedmount.net.ring import Ring
from reedmount.sip.message import MAX_MESSAGE_SIZE, Message, SipError, content_length, parse_head

HEAD_END = b"\r\n\r\n"
CONTENT_LENGTH_NAME = re.compile(rb"\r\n(?:content-length|l)[ \t]*:", re.IGNORECASE)
CONTENT_LENGTH = re.compile(
    rb"\r\n(?:content-length|l)[ \t]*:[ \t]*([0-9]{1,9})[ \t]*(?=\r\n)", re.IGNORECASE
)


def next_frame(ring: Ring) -> tuple[bytes, bytes] | None:
    """Take the next complete message as its unparsed head and body; None if it is still incomplete.

    After a SipError the stream is no longer in sync: the reader reports the error and closes the connection.
    A complete message is removed from the ring, so a ring of two messages always has room for the rest of
    one. For an incomplete one, the ring records how far it was searched, so that a message that arrives in
    small pieces is not scanned again from its start.
    """
    if len(ring) < ring.needed or not len(ring):
        return None
    while ring.peek(1) in (b"\r", b"\n"):
        start = ring.peek(MAX_MESSAGE_SIZE)
        ring.drop(len(start) - len(start.lstrip(b"\r\n")))
    end = ring.find(HEAD_END, ring.scanned)
    if end < 0:
        if len(ring) > MAX_MESSAGE_SIZE:
            raise SipError(513, "message larger than 16 KiB")
        ring.scanned = max(0, len(ring) - len(HEAD_END) + 1)
        return None
    head = ring.peek(end + len(HEAD_END))
    found = CONTENT_LENGTH.search(head, 0, end + 2)
    if found is None or len(CONTENT_LENGTH_NAME.findall(head, 0, end + 2)) > 1:
        # Not exactly one plain Content-Length: parse the head to find out what is wrong with it.
        length = content_length(parse_head(head[:end]))
        if length is None:
            raise SipError(400, "no Content-Length on a stream")
    else:
        length = int(found[1])
    body_start = end + len(HEAD_END)
    if body_start + length > MAX_MESSAGE_SIZE:
        raise SipError(513, "message larger than 16 KiB")
    ring.scanned, ring.needed = end, body_start + length
    if len(ring) < body_start + length:
        return None
    body = ring.peek(body_start + length)[body_start:]
    ring.drop(body_start + length)
    return head[:end], body


def next_message(ring: Ring) -> Message | None:
    """Take and parse the next complete message; None if it is still incomplete."""
    frame = next_frame(ring)
    if frame is None:
        return None
    message = parse_head(frame[0])
    message.body = frame[1]
    return message
