"""Records and segment heads as bytes, each under a checksum of its own (CRC-32C, RFC 3720 appendix B.4).

    marker 4 | CRC-32C 4 | length of key and value 4 | number 8 | kind 1 | length of key 2 | key | value

The checksum is over all that follows it, the head's figures as well: a turned bit in a length must not lead
the reader into the next record. The marker is for finding a sound record behind an unsound one.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import Enum, IntEnum

import crc32c

MARKER = b"\xc5Rm\x1e"
HEAD = struct.Struct("<4sIIQBH")
MAX_KEY = 255  # bytes
MAX_VALUE = 1 << 18
SEGMENT_HEAD = struct.Struct("<8sI8sQQI")  # magic, version, store, first number, term, CRC-32C
MAGIC = b"RMstore\x1a"
VERSION = 1


class Kind(IntEnum):
    """What a record says of its key."""

    PUT = 1
    DELETE = 2


class Fault(Enum):
    """Why no record could be read at a place; the text goes into counters."""

    SHORT = "short"  # the bytes end before it does
    MARKER = "marker"
    LENGTH = "length"  # beyond any that is written
    CHECKSUM = "checksum"
    KIND = "kind"


class StoreError(Exception):
    """A store that cannot be used as it lies there; the text is for the staff."""


@dataclass(frozen=True, slots=True)
class Record:
    """One record: the numbers of a store run without gaps from its first to its last."""

    number: int
    kind: Kind
    key: bytes
    value: bytes = b""


@dataclass(frozen=True, slots=True)
class SegmentHead:
    """The head of a file of the store."""

    store: bytes  # 8 random bytes, drawn when the store was made: another disk is another store
    first: int  # number of its first record
    term: int  # raised at each opening of the store


def encode(record: Record) -> bytes:
    """The bytes of a record. Raises ValueError where the key or the value is longer than allowed."""
    if not 0 < len(record.key) <= MAX_KEY or len(record.value) > MAX_VALUE:
        raise ValueError(f"a key of {len(record.key)} and a value of {len(record.value)} bytes")
    body = record.key + record.value
    head = HEAD.pack(MARKER, 0, len(body), record.number, record.kind, len(record.key))
    rest = head[8:] + body
    return MARKER + crc32c.crc32c(rest).to_bytes(4, "little") + rest


def decode(data: bytes | memoryview, at: int = 0) -> tuple[Record, int] | Fault:
    """The record at a place and where it ends, or why there is none."""
    if at + HEAD.size > len(data):
        return Fault.SHORT
    marker, check, length, number, kind, key_length = HEAD.unpack_from(data, at)
    if marker != MARKER:
        return Fault.MARKER
    if not 0 < key_length <= MAX_KEY or not key_length <= length <= key_length + MAX_VALUE:
        return Fault.LENGTH
    end = at + HEAD.size + length
    if end > len(data):
        return Fault.SHORT
    if crc32c.crc32c(data[at + 8 : end]) != check:
        return Fault.CHECKSUM
    if kind not in (Kind.PUT, Kind.DELETE):
        return Fault.KIND  # of a later version
    key_end = at + HEAD.size + key_length
    key, value = bytes(data[at + HEAD.size : key_end]), bytes(data[key_end:end])
    return Record(number, Kind(kind), key, value), end


def encode_head(head: SegmentHead) -> bytes:
    """The first bytes of a segment."""
    plain = SEGMENT_HEAD.pack(MAGIC, VERSION, head.store, head.first, head.term, 0)[:-4]
    return plain + crc32c.crc32c(plain).to_bytes(4, "little")


def decode_head(data: bytes | memoryview) -> SegmentHead | None:
    """The head of a segment, None where it cannot be read. Raises StoreError where its version is later."""
    if len(data) < SEGMENT_HEAD.size:
        return None
    magic, version, store, first, term, check = SEGMENT_HEAD.unpack_from(data)
    if magic != MAGIC or crc32c.crc32c(data[: SEGMENT_HEAD.size - 4]) != check:
        return None
    if version > VERSION:
        raise StoreError(f"a segment of version {version}, known are those up to {VERSION}")
    return SegmentHead(store, first, term)
