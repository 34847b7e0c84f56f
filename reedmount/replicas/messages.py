"""Messages between members for replication: shards, terms, entries; checked and bounded when they are read.

    length 4 | CRC-32C 4 | message in MessagePack

Messages are arrays with their type first. Later versions may append fields; a reader ignores those it does
not know. An unreadable message ends the connection with a reason that is counted, because nothing after it
can be trusted.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import Annotated

import crc32c
import msgspec
from msgspec import Meta

from reedmount.members.record import MAX_NAME, Uint32

MAX_KEY = 120  # bytes of a call's key
MAX_DATA = 16_384  # bytes of data per call
MAX_ENTRIES = 128  # per message
MAX_FRAME = 32_000  # bytes of a message; a connection reads no more at once
MAX_BODY = 12_288  # bytes of entries, after which the next message begins
FRAME = struct.Struct(">II")
MAX_SEQ = 2**53
ENTRY_OVERHEAD = MAX_KEY + 2 * MAX_NAME + 40  # upper bound of the bytes of an entry besides its data

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME)]
Seq = Annotated[int, Meta(ge=0, le=MAX_SEQ)]


class Phase(IntEnum):
    """The phase of a call; of two entries of a call the one with the later phase is retained."""

    ACCEPTED = 0
    ESTABLISHED = 1
    COMPLETED = 2  # its record is complete
    DROPPED = 3  # exported: nothing is retained


class ShardId(msgspec.Struct, frozen=True, array_like=True, order=True, gc=False):
    """The calls of one process of a member. A new epoch begins when another member has taken over the
    previous one."""

    owner: Name
    boot_id: Uint32
    epoch: Annotated[int, Meta(ge=0, le=2**31)] = 0


class Term(msgspec.Struct, frozen=True, array_like=True, order=True, gc=False):
    """The right to write to a shard; the greater term wins. The shard's creator has the first term. A
    term is bound to a boot id, because a promise a process made to itself is lost when it ends."""

    number: Annotated[int, Meta(ge=1, le=2**31)]
    member: Name
    boot_id: Uint32


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One step of one call. ``seq`` numbers the steps of a shard without gaps. Very many are held, none
    of them in a reference cycle: ``gc=False`` spares the garbage collector, whose pauses would delay
    calls."""

    seq: Seq
    key: Annotated[str, Meta(min_length=1, max_length=MAX_KEY)]
    phase: Phase
    data: Annotated[bytes, Meta(max_length=MAX_DATA)]
    term: Term  # under which it was written

    @property
    def rank(self) -> tuple[Phase, Term]:
        """Of two entries of a call the one with the greater rank is retained."""
        return self.phase, self.term


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Identifies the sender; the first message in each direction."""

    name: Name
    boot_id: Uint32
    group: Uint32


class Append(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The steps after ``after``. Without entries it asks for the holder's position. Every replica has all
    steps up to ``settled``, so that calls dropped before that can be pruned."""

    shard: ShardId
    term: Term
    after: Seq
    entries: Annotated[list[Entry], Meta(max_length=MAX_ENTRIES)]
    settled: Seq = 0


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """One page, counted from 0, of all entries up to ``end_seq``; once complete, it replaces the holder's
    entries."""

    shard: ShardId
    term: Term
    end_seq: Seq
    page: Annotated[int, Meta(ge=0, le=2**31)]
    last: bool
    entries: Annotated[list[Entry], Meta(max_length=MAX_ENTRIES)]


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """All steps up to ``seq`` are persisted by the holder. With ``complete`` False it needs a snapshot,
    and has received ``pages`` pages of the one that ends at ``seq``."""

    shard: ShardId
    term: Term
    seq: Seq
    complete: bool
    pages: Annotated[int, Meta(ge=0, le=2**31)] = 0


class StaleTerm(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The request was rejected, as a higher term has been promised."""

    shard: ShardId
    promised: Term


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Asks for a promise of this term and for the entries held."""

    shard: ShardId
    term: Term


class Promise(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The term is promised; carries one page of the entries held."""

    shard: ShardId
    term: Term
    complete: bool
    seq: Seq
    last: bool
    entries: Annotated[list[Entry], Meta(max_length=MAX_ENTRIES)]


class Close(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The shard is empty and can be deleted."""

    shard: ShardId
    term: Term


Message = Hello | Append | Snapshot | Ack | StaleTerm | Prepare | Promise | Close


class FrameError(Exception):
    """Bytes that are not a valid message; ``reason`` is the suffix of the counter."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Message)


def frame(message: Message) -> bytes:
    """Encodes a message with its frame header."""
    body = _encode(message)
    return FRAME.pack(len(body), crc32c.crc32c(body)) + body


def frame_length(head: bytes) -> int:
    """The length of the whole frame, header included, from its header. Raises FrameError."""
    length, _ = FRAME.unpack_from(head)
    if length > MAX_FRAME:
        raise FrameError("long")
    return int(length) + FRAME.size


def unframe(data: bytes) -> Message:
    """Decodes the message of a complete frame. Raises FrameError: ``damaged`` or ``malformed``."""
    length, check = FRAME.unpack_from(data)
    body = data[FRAME.size :]
    if len(body) != length or crc32c.crc32c(body) != check:
        raise FrameError("damaged")
    try:
        message: Message = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError):
        raise FrameError("malformed") from None
    return message


def split_entries(entries: list[Entry]) -> list[list[Entry]]:
    """Splits entries into batches that fit into one message each; one empty batch if there are none."""
    batches: list[list[Entry]] = [[]]
    size = 0
    for entry in entries:
        length = len(entry.data) + ENTRY_OVERHEAD
        if batches[-1] and (size + length > MAX_BODY or len(batches[-1]) == MAX_ENTRIES):
            batches.append([])
            size = 0
        batches[-1].append(entry)
        size += length
    return batches
