"""Recovery scan of a segment: its valid records, corrupt ranges and torn tail. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from reedmount.store.frame import MARKER, DecodeFault, Record, decode


@dataclass(frozen=True, slots=True)
class LocatedRecord:
    """A valid record and its location."""

    record: Record
    offset: int
    size: int


@dataclass(frozen=True, slots=True)
class Gap:
    """A range without a valid record, with the sequence numbers that are missing because of it."""

    offset: int
    size: int  # bytes; 0: no corrupt bytes, but sequence numbers are missing
    fault: DecodeFault | None  # None: only sequence numbers are missing
    first: int
    last: int | None  # None: cannot be determined from this segment alone


@dataclass(slots=True)
class SegmentScan:
    """The result of scanning a segment."""

    records: list[LocatedRecord] = field(default_factory=list)
    gaps: list[Gap] = field(default_factory=list)
    end: int = 0  # offset after the last valid record
    torn: int = 0  # bytes after that, if a crash explains them


def scan_segment(data: bytes | memoryview, begin: int, first: int, newest: bool) -> SegmentScan:
    """Scans a segment from the offset ``begin`` on. ``first``: the first sequence number, from its header.

    Invalid data with no valid record after it is a torn write in the newest segment, which was in use when
    the process died; in an older one it is corruption, as that segment was once complete.
    """
    scan = SegmentScan(end=begin)
    offset, expected = begin, first
    while offset < len(data):
        decoded = decode(data, offset)
        if isinstance(decoded, DecodeFault):
            following = _next_valid(data, offset, expected)
            if following is None:
                if newest:
                    scan.torn = len(data) - offset
                else:
                    scan.gaps.append(Gap(offset, len(data) - offset, decoded, expected, None))
                return scan
            valid, position = following
            scan.gaps.append(Gap(offset, position - offset, decoded, expected, valid.number - 1))
            offset, expected = position, valid.number
            continue
        record, end = decoded
        if record.number < expected:
            # A record older than expected: a misdirected or repeated write.
            scan.gaps.append(Gap(offset, end - offset, None, expected, expected - 1))
        else:
            if record.number > expected:
                scan.gaps.append(Gap(offset, 0, None, expected, record.number - 1))
            scan.records.append(LocatedRecord(record, offset, end - offset))
            expected = record.number + 1
        offset = scan.end = end
    return scan


def _next_valid(data: bytes | memoryview, offset: int, expected: int) -> tuple[Record, int] | None:
    """The next valid record that is not older than expected, and its offset."""
    raw = bytes(data[offset + 1 :])
    position = raw.find(MARKER)
    while position >= 0:
        decoded = decode(raw, position)
        if not isinstance(decoded, DecodeFault) and decoded[0].number >= expected:
            return decoded[0], offset + 1 + position
        position = raw.find(MARKER, position + 1)
    return None
