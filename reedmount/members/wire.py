"""Datagrams between members: at most 256 bytes, versioned, with a checksum; each fault has a counted reason.

    magic 2 | version 1 | oldest version that can read it 1 | group 4 | CRC-32 4 | message in MessagePack

Messages and records are arrays that later versions extend at the end, and readers ignore unknown elements. So
a member reads earlier versions and those later ones that declare it. The checksum detects truncated or
corrupted datagrams; it is not a signature.
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
from reedmount.members.record import BUCKETS, MAX_NAME, UINT32_MAX, Record, Uint32

MAX_DATAGRAM = 256  # bytes; a longer datagram invalidates a run on the platform
MAGIC = b"RM"
VERSION = 1  # of datagrams that we write
OLDEST_READER = 1  # the oldest version that can read what we write
HEADER = struct.Struct(">2sBBII")
BUCKET_BYTES = 4
MAX_RECORDS = 32  # in one datagram, whatever fits
MAX_OBSERVATIONS = 16


class WireError(Exception):
    """A datagram that is rejected; ``reason`` names the counter."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Kind(IntEnum):
    """The kind of a datagram."""

    PING = 0  # requests an ACK
    ACK = 1  # ``target`` has answered
    RELAY = 2  # requests a probe of ``target``
    NACK = 3  # a relay got no answer
    GOSSIP = 4  # updates only
    JOIN = 5  # from a newcomer: requests the view
    STATE = 6  # records that the receiver lacks
    BUCKETS = 7  # digests of the sender's view; ``seq`` 1 requests the receiver's
    OBSERVATIONS = 8  # of call servers
    UNKNOWN = 255


class Message(msgspec.Struct, frozen=True, array_like=True):
    """The contents of one datagram."""

    kind: Annotated[int, Meta(ge=0, le=255)]
    seq: Uint32
    sender: Record
    digest: Annotated[bytes, Meta(min_length=8, max_length=8)]  # of the sender's view
    target: Annotated[str, Meta(max_length=MAX_NAME)] = ""
    buckets: Annotated[bytes, Meta(max_length=BUCKETS * BUCKET_BYTES)] = b""
    records: Annotated[list[Record], Meta(max_length=MAX_RECORDS)] = []
    observations: Annotated[list[Observation], Meta(max_length=MAX_OBSERVATIONS)] = []


class _EncodableMessage(msgspec.Struct, array_like=True):
    """A message whose records and observations are already encoded."""

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
    """The id of a group: datagrams of other groups are rejected."""
    return zlib.crc32(name.encode()) & UINT32_MAX


def _seal(group: int, body: bytes) -> bytes:
    check = zlib.crc32(body, zlib.crc32(bytes((VERSION, OLDEST_READER)) + group.to_bytes(4, "big")))
    return HEADER.pack(MAGIC, VERSION, OLDEST_READER, group, check) + body


def write(group: int, message: Message, records: Iterable[Record] = ()) -> tuple[bytes, int]:
    """Encode a datagram with as many of these records, in order, as fit; returns it and their number."""
    out = _encodable(message)
    out.records = _fill(out, records, MAX_RECORDS)
    return _seal(group, _encode(out)), len(out.records)


def write_observations(
    group: int, message: Message, observations: Iterable[Observation]
) -> tuple[bytes, int]:
    """The same with observations."""
    out = _encodable(message)
    out.observations = _fill(out, observations, MAX_OBSERVATIONS)
    return _seal(group, _encode(out)), len(out.observations)


def _encodable(message: Message) -> _EncodableMessage:
    sender, digest, target, buckets = message.sender, message.digest, message.target, message.buckets
    return _EncodableMessage(message.kind, message.seq, sender, digest, target, buckets, [])


def _fill(out: _EncodableMessage, items: Iterable[Record | Observation], max_items: int) -> list[msgspec.Raw]:
    remaining = MAX_DATAGRAM - HEADER.size - len(_encode(out)) - 2  # the array's header may grow by that
    encoded: list[msgspec.Raw] = []
    for item in items:
        raw = _encode(item)
        if len(raw) > remaining or len(encoded) == max_items:
            break
        remaining -= len(raw)
        encoded.append(msgspec.Raw(raw))
    return encoded


def read(group: int, data: bytes) -> Message:
    """Decode a datagram. Raises WireError with the reason: ``long``, ``short``, ``foreign`` (not of this
    protocol), ``newer``, ``group``, ``damaged`` or ``malformed``."""
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
    """Encode the digests of a view's buckets."""
    return b"".join((bucket & UINT32_MAX).to_bytes(BUCKET_BYTES, "big") for bucket in buckets)


def unpack_buckets(data: bytes) -> list[int]:
    """Decode the digests; empty if their number differs from ours."""
    if len(data) != BUCKETS * BUCKET_BYTES:
        return []
    return [
        int.from_bytes(data[offset : offset + BUCKET_BYTES], "big")
        for offset in range(0, len(data), BUCKET_BYTES)
    ]
