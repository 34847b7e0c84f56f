"""Datagrams between members: 256 bytes at most, versioned, checked; each fault has a reason to count.

    magic 2 | version 1 | oldest version that reads it 1 | group 4 | CRC-32 4 | message in MessagePack

Messages and records are arrays to which later versions add at the end: a reader skips what it does not know,
so a member reads versions before its own, and later ones that say so. The checksum tells a datagram that was
cut or changed from a sound one; it is no signature.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable
from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from reedmount.members.knowledge import Observation
from reedmount.members.record import BUCKETS, MAX_NAME, UINT32_MAX, Record, Word

MAX_DATAGRAM = 256  # bytes; a longer one voids a run on the platform
MAGIC = b"RM"
VERSION = 1  # what we write
OLDEST_READER = 1  # the oldest version that can read what we write
HEADER = struct.Struct(">2sBBII")
BUCKET_BYTES = 4
MAX_RECORDS = 32  # in one datagram, whatever its length says
MAX_OBSERVATIONS = 16


class WireError(Exception):
    """A datagram that is not taken; ``reason`` names the counter."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Kind(IntEnum):
    """What a datagram is for."""

    PING = 0  # answer me
    ACK = 1  # ``target`` has answered
    RELAY = 2  # ping ``target`` for me
    NACK = 3  # I had no answer either
    GOSSIP = 4  # news alone
    JOIN = 5  # I am new: tell me who is there
    STATE = 6  # records of what you lack
    BUCKETS = 7  # digests of my table; ``seq`` 1 asks for yours
    OBSERVATIONS = 8  # what was seen of call servers
    UNKNOWN = 255


class Message(msgspec.Struct, frozen=True, array_like=True):
    """One datagram's contents."""

    kind: Annotated[int, Meta(ge=0, le=255)]
    seq: Word
    sender: Record
    digest: Annotated[bytes, Meta(min_length=8, max_length=8)]  # of the sender's table
    target: Annotated[str, Meta(max_length=MAX_NAME)] = ""
    buckets: Annotated[bytes, Meta(max_length=BUCKETS * BUCKET_BYTES)] = b""
    records: Annotated[list[Record], Meta(max_length=MAX_RECORDS)] = []
    observations: Annotated[list[Observation], Meta(max_length=MAX_OBSERVATIONS)] = []


class _EncodableMessage(msgspec.Struct, array_like=True):
    """A message whose records and facts are encoded already."""

    kind: int
    seq: int
    sender: Record
    digest: bytes
    target: str
    buckets: bytes
    records: list[msgspec.Raw]
    observations: list[msgspec.Raw] = []


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Message)


def group_of(name: str) -> int:
    """The id of a fleet: datagrams of another are not taken."""
    return zlib.crc32(name.encode()) & UINT32_MAX


def _seal(group: int, body: bytes) -> bytes:
    check = zlib.crc32(body, zlib.crc32(bytes((VERSION, OLDEST_READER)) + group.to_bytes(4, "big")))
    return HEADER.pack(MAGIC, VERSION, OLDEST_READER, group, check) + body


def write(group: int, message: Message, records: Iterable[Record] = ()) -> tuple[bytes, int]:
    """A datagram with as many of these records, in their order, as have room; how many these were."""
    out = _encodable(message)
    out.records = _fill(out, records, MAX_RECORDS)
    return _seal(group, _encode(out)), len(out.records)


def write_observations(
    group: int, message: Message, observations: Iterable[Observation]
) -> tuple[bytes, int]:
    """The same with facts."""
    out = _encodable(message)
    out.observations = _fill(out, observations, MAX_OBSERVATIONS)
    return _seal(group, _encode(out)), len(out.observations)


def _encodable(message: Message) -> _EncodableMessage:
    sender, digest, target, buckets = message.sender, message.digest, message.target, message.buckets
    return _EncodableMessage(message.kind, message.seq, sender, digest, target, buckets, [])


def _fill(out: _EncodableMessage, items: Iterable[Record | Observation], max_items: int) -> list[msgspec.Raw]:
    remaining = MAX_DATAGRAM - HEADER.size - len(_encode(out)) - 2  # the array's head may grow by that
    encoded: list[msgspec.Raw] = []
    for item in items:
        raw = _encode(item)
        if len(raw) > remaining or len(encoded) == max_items:
            break
        remaining -= len(raw)
        encoded.append(msgspec.Raw(raw))
    return encoded


def read(group: int, data: bytes) -> Message:
    """The message in a datagram. Raises WireError with the reason: ``long``, ``short``, ``foreign`` (not of
    members at all), ``newer``, ``group``, ``damaged`` or ``malformed``."""
    if len(data) > MAX_DATAGRAM:
        raise WireError("long")
    if len(data) < HEADER.size:
        raise WireError("short")
    magic, version, read_from, their_group, check = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise WireError("foreign")
    if read_from > VERSION:
        raise WireError("newer")
    body = data[HEADER.size :]
    if zlib.crc32(body, zlib.crc32(data[2:8])) != check:
        raise WireError("damaged")
    if their_group != group:
        raise WireError("group")
    try:
        message = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError):
        raise WireError("malformed") from None
    records = (message.sender, *message.records)
    if any(len(record.host) not in (4, 16) for record in records):
        raise WireError("malformed")
    if len(message.buckets) % BUCKET_BYTES:
        raise WireError("malformed")
    return message


def pack_buckets(buckets: Iterable[int]) -> bytes:
    """The digests of a table's buckets."""
    return b"".join((bucket & UINT32_MAX).to_bytes(BUCKET_BYTES, "big") for bucket in buckets)


def unpack_buckets(data: bytes) -> list[int]:
    """The digests again; empty where there are not as many as ours."""
    if len(data) != BUCKETS * BUCKET_BYTES:
        return []
    return [
        int.from_bytes(data[offset : offset + BUCKET_BYTES], "big")
        for offset in range(0, len(data), BUCKET_BYTES)
    ]
