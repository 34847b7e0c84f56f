"""What members say to each other of copies: shards, terms, entries and the messages, checked and bounded.

    length 4 | CRC-32C 4 | message in MessagePack

Messages are arrays with their kind first, to which later versions add at the end; a reader skips what it does
not know. What cannot be read ends the connection with a reason to count: behind it nothing can be trusted.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import Annotated

import crc32c
import msgspec
from msgspec import Meta

from reedmount.members.record import MAX_NAME, Word

MAX_KEY = 120  # bytes of a call's name
MAX_DATA = 16_384  # of what is kept of a call
MAX_ENTRIES = 128  # in one message
MAX_FRAME = 32_000  # bytes of a message: a connection reads no more at once
BODY = 12_288  # of entries, after which the next message begins
FRAME = struct.Struct(">II")
MAX_SEQ = 2**53
ENTRY_HEAD = MAX_KEY + 2 * MAX_NAME + 40  # bytes at most beside its data

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME)]
Seq = Annotated[int, Meta(ge=0, le=MAX_SEQ)]


class Phase(IntEnum):
    """How far a call has come; of two words of it the later phase holds."""

    TAKEN = 0
    STANDS = 1
    OVER = 2  # its record is complete
    DROPPED = 3  # exported: nothing is kept any more


class ShardId(msgspec.Struct, frozen=True, array_like=True, order=True, gc=False):
    """What one life of a member holds. A new epoch begins where somebody else has taken the one before."""

    owner: Name
    boot_id: Word
    epoch: Annotated[int, Meta(ge=0, le=2**31)] = 0


class Term(msgspec.Struct, frozen=True, array_like=True, order=True, gc=False):
    """Who may write to a shard: the greater one. The owner's is the first, by birth. A term is of one life:
    what a process promised itself dies with it."""

    number: Annotated[int, Meta(ge=1, le=2**31)]
    by: Name
    boot_id: Word


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One step of one call. ``seq`` counts the steps of its shard without gaps. Many are kept, and none in a
    ring: the collector, which would stop the calls for it, is spared them."""

    seq: Seq
    key: Annotated[str, Meta(min_length=1, max_length=MAX_KEY)]
    phase: Phase
    data: Annotated[bytes, Meta(max_length=MAX_DATA)]
    term: Term  # under which it was written

    @property
    def rank(self) -> tuple[Phase, Term]:
        """Of two words of one call the greater holds."""
        return self.phase, self.term


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Who is at the other end; the first message each way."""

    name: Name
    boot_id: Word
    group: Word


class Append(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """What comes behind ``after`` in a shard. Without entries: where are you? Up to ``settled`` every copy
    has all: what is dropped before that may be forgotten."""

    shard: ShardId
    term: Term
    after: Seq
    entries: Annotated[list[Entry], Meta(max_length=MAX_ENTRIES)]
    settled: Seq = 0


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """All that holds up to ``upto``, in pages from 0 on; whole, it takes the place of what was there."""

    shard: ShardId
    term: Term
    upto: Seq
    page: Annotated[int, Meta(ge=0, le=2**31)]
    last: bool
    entries: Annotated[list[Entry], Meta(max_length=MAX_ENTRIES)]


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Everything up to ``seq`` is kept here. ``complete`` False: it wants a snapshot, and has so many
    ``pages`` of the one that ends at ``seq``."""

    shard: ShardId
    term: Term
    seq: Seq
    complete: bool
    pages: Annotated[int, Meta(ge=0, le=2**31)] = 0


class Old(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A higher term is promised here."""

    shard: ShardId
    promised: Term


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Promise me this term, and tell me what you have."""

    shard: ShardId
    term: Term


class Promise(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Promised. What is kept here, in parts."""

    shard: ShardId
    term: Term
    complete: bool
    seq: Seq
    last: bool
    entries: Annotated[list[Entry], Meta(max_length=MAX_ENTRIES)]


class Close(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Nothing is left in this shard: forget it."""

    shard: ShardId
    term: Term


Message = Hello | Append | Snapshot | Ack | Old | Prepare | Promise | Close


class FrameError(Exception):
    """Bytes that are no message; ``reason`` names the counter."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Message)


def frame(message: Message) -> bytes:
    """A message as it travels."""
    body = _encode(message)
    return FRAME.pack(len(body), crc32c.crc32c(body)) + body


def length_of(head: bytes) -> int:
    """How long the message is that this head announces, the head included. Raises FrameError."""
    length, _ = FRAME.unpack_from(head)
    if length > MAX_FRAME:
        raise FrameError("long")
    return int(length) + FRAME.size


def unframe(data: bytes) -> Message:
    """The message of a whole frame. Raises FrameError: ``damaged`` or ``malformed``."""
    length, check = FRAME.unpack_from(data)
    body = data[FRAME.size :]
    if len(body) != length or crc32c.crc32c(body) != check:
        raise FrameError("damaged")
    try:
        message: Message = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError):
        raise FrameError("malformed") from None
    return message


def parts(entries: list[Entry]) -> list[list[Entry]]:
    """Entries as they fit into messages; one empty part where there are none."""
    made: list[list[Entry]] = [[]]
    size = 0
    for entry in entries:
        length = len(entry.data) + ENTRY_HEAD
        if made[-1] and (size + length > BODY or len(made[-1]) == MAX_ENTRIES):
            made.append([])
            size = 0
        made[-1].append(entry)
        size += length
    return made
