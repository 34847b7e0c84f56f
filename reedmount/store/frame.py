"""Encoding of records and segment headers, each with its own checksum (CRC-32C, RFC 3720 appendix B.4).

    marker 4 | CRC-32C 4 | key and value length 4 | sequence number 8 | kind 1 | key length 2 | key | value

The checksum covers everything after it, including the header fields: a flipped bit in a length must not make
the reader run into the next record. The marker serves to find the next valid record after a corrupt one.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import Enum, IntEnum

import crc32c

MARKER = b"\xc5Rm\x1e"
RECORD_HEADER = struct.Struct("<4sIIQBH")
MAX_KEY = 255  # bytes
MAX_VALUE = 1 << 18
SEGMENT_HEADER = struct.Struct("<8sI8sQQI")  # magic, version, store id, first sequence number, term, CRC-32C
MAGIC = b"RMstore\x1a"
VERSION = 1


class Kind(IntEnum):
    """The operation of a record; DELETE is a tombstone."""

    PUT = 1
    DELETE = 2


class DecodeFault(Enum):
    """Why no record could be decoded at an offset; the value is part of a counter's name."""

    SHORT = "short"  # the data ends before the record does
    MARKER = "marker"
    LENGTH = "length"  # beyond the allowed lengths
    CHECKSUM = "checksum"
    KIND = "kind"


class StoreError(Exception):
    """A store that cannot be used as found; the text is for the operator."""


@dataclass(frozen=True, slots=True)
class Record:
    """One record; ``number`` is its sequence number. The sequence numbers of a store have no gaps."""

    number: int
    kind: Kind
    key: bytes
    value: bytes = b""


@dataclass(frozen=True, slots=True)
class SegmentHeader:
    """The header of a segment file."""

    store: bytes  # 8 random bytes drawn when the store was created, to tell it from other stores
    first: int  # sequence number of its first record
    term: int  # incremented at each opening of the store


def encode(record: Record) -> bytes:
    """Encodes a record. Raises ValueError if the key is empty or the key or value exceeds its limit."""
    if not 0 < len(record.key) <= MAX_KEY or len(record.value) > MAX_VALUE:
        raise ValueError(f"a key of {len(record.key)} and a value of {len(record.value)} bytes")
    body = record.key + record.value
    header = RECORD_HEADER.pack(MARKER, 0, len(body), record.number, record.kind, len(record.key))
    rest = header[8:] + body
    return MARKER + crc32c.crc32c(rest).to_bytes(4, "little") + rest


def decode(data: bytes | memoryview, offset: int = 0) -> tuple[Record, int] | DecodeFault:
    """Decodes the record at an offset: the record and its end offset, or why there is none."""
    if offset + RECORD_HEADER.size > len(data):
        return DecodeFault.SHORT
    marker, checksum, length, number, kind, key_length = RECORD_HEADER.unpack_from(data, offset)
    if marker != MARKER:
        return DecodeFault.MARKER
    if not 0 < key_length <= MAX_KEY or not key_length <= length <= key_length + MAX_VALUE:
        return DecodeFault.LENGTH
    end = offset + RECORD_HEADER.size + length
    if end > len(data):
        return DecodeFault.SHORT
    if crc32c.crc32c(data[offset + 8 : end]) != checksum:
        return DecodeFault.CHECKSUM
    if kind not in (Kind.PUT, Kind.DELETE):
        return DecodeFault.KIND  # of a later version
    key_end = offset + RECORD_HEADER.size + key_length
    key, value = bytes(data[offset + RECORD_HEADER.size : key_end]), bytes(data[key_end:end])
    return Record(number, Kind(kind), key, value), end


def encode_header(header: SegmentHeader) -> bytes:
    """Encodes a segment header."""
    unsealed = SEGMENT_HEADER.pack(MAGIC, VERSION, header.store, header.first, header.term, 0)[:-4]
    return unsealed + crc32c.crc32c(unsealed).to_bytes(4, "little")


def decode_header(data: bytes | memoryview) -> SegmentHeader | None:
    """Decodes a segment header; None if it is corrupt. Raises StoreError if its version is not supported."""
    if len(data) < SEGMENT_HEADER.size:
        return None
    magic, version, store, first, term, checksum = SEGMENT_HEADER.unpack_from(data)
    if magic != MAGIC or crc32c.crc32c(data[: SEGMENT_HEADER.size - 4]) != checksum:
        return None
    if version > VERSION:
        raise StoreError(f"a segment of version {version}, the latest supported is {VERSION}")
    return SegmentHeader(store, first, term)
