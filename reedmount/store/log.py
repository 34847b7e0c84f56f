"""The log of a store: segments, sequence numbers, the index of live records, and records not yet durable.

It reads the disk but does not write records: its owner takes batches (``next_batch``), has them written and
synced off the main thread, and reports the result (``done``, ``failed``). It has no thread and no clock.
"""

from __future__ import annotations

import os
import re
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

import msgspec

from reedmount.core.checks import COUNTERS, invariant
from reedmount.store.disk import Disk
from reedmount.store.frame import (
    MARKER,
    MAX_KEY,
    MAX_VALUE,
    RECORD_HEADER,
    SEGMENT_HEADER,
    Kind,
    Record,
    SegmentHeader,
    StoreError,
    decode,
    decode_header,
    encode,
    encode_header,
)  # fmt: skip
from reedmount.store.recovery import Gap, SegmentScan, scan_segment

MAX_SEGMENT = 16 << 20  # bytes, after which a new segment is begun
MAX_BATCH = 1 << 20  # bytes
MAX_PENDING = 64 << 20  # bytes not yet durable; puts beyond that are refused
COMPACTION_CHUNK = 256 << 10  # bytes compacted before control returns to the event loop
READ_AHEAD = RECORD_HEADER.size + MAX_KEY + MAX_VALUE + len(MARKER)  # the longest record, for a chunk's last
SEGMENT_NAME = re.compile(r"(\d{12})-([0-9a-f]{16})\.log", re.ASCII)
MIN_LIVE_SHARE = 0.5  # of all bytes: below that the oldest segment is compacted


class CorruptRecord(Exception):
    """A stored record cannot be read or is not what was written. It is not returned; replicas may have it."""


class RecordLocation(msgspec.Struct, frozen=True, gc=False):
    """The location of a record; ``segment`` is the serial of its file.

    There is one for each key: ``gc=False`` keeps them out of the garbage collector's work.
    """

    number: int
    segment: int
    offset: int
    size: int


@dataclass(slots=True)
class Segment:
    """One segment file."""

    serial: int  # never reused, even if the creation of the file failed
    store: bytes
    size: int
    live: int = 0  # bytes of live records
    removable_after: int | None = None  # removable once this sequence number is durable

    @property
    def name(self) -> str:
        """The file name; names sort in the order of the serials."""
        return f"{self.serial:012d}-{self.store.hex()}.log"


@dataclass(frozen=True, slots=True)
class Batch:
    """Data to write and sync, in this order; then files to remove."""

    segment: str  # file name; "" if there is nothing to write
    header: bytes | None  # header of a segment to create first
    data: bytes
    last: int  # sequence number of its last record
    remove: tuple[str, ...] = ()


@dataclass(slots=True)
class RecoveryResult:
    """The result of recovery when the store was opened."""

    fresh: bool = True  # the disk was empty: a new store, or a lost disk
    records: int = 0
    torn: int = 0  # bytes of the torn tail
    gaps: list[Gap] = field(default_factory=list)

    @property
    def whole(self) -> bool:
        """Whether no sequence number is missing; data lost at the end by a false sync is not detected."""
        return not self.gaps


class Log:
    """One store. Keys are bytes; the last record of each key is the valid one."""

    def __init__(self, disk: Disk, max_segment: int = MAX_SEGMENT) -> None:
        self._disk, self._max_segment = disk, max_segment
        self.store = os.urandom(8)
        self.term = 1
        self.opened = RecoveryResult()
        self.durable = 0  # sequence number up to which all records are on the disk
        self._number = self._serial = 1  # of the next record and the next segment
        self._index: dict[bytes, RecordLocation] = {}
        self._segments: dict[int, Segment] = {}  # oldest first
        self._active: Segment | None = None
        self._queue: deque[tuple[Record, bytes]] = deque()  # not yet in a batch
        self._in_batch: list[tuple[Record, bytes]] = []  # in the current batch
        self._batch: Batch | None = None
        self._unwritten: dict[bytes, tuple[int, bytes]] = {}  # sequence number and value of puts in either
        self._pending = 0  # bytes in both

    # --- opening ---

    def open(self) -> RecoveryResult:
        """Recovers all segments. Raises OSError, StoreError."""
        for _ in self.opening():
            pass
        return self.opened

    def opening(self) -> Iterator[None]:
        """The same as ``open``, one segment per step."""
        names = [name for name in self._disk.names() if name.endswith(".log")]
        for name in names:
            self._recover_segment(name, name == names[-1])
            yield
        self.durable = self._number - 1

    def _recover_segment(self, name: str, newest: bool) -> None:
        match = SEGMENT_NAME.fullmatch(name)
        if match is None:
            raise StoreError(f"{name} is no segment file")
        # The store id is taken from the file name, which corruption inside the file does not affect.
        store = bytes.fromhex(match[2])
        if not self.opened.fresh and store != self.store:
            raise StoreError(f"{name} is of another store")
        self.store, self.opened.fresh = store, False
        data = memoryview(self._disk.read(name))
        header = decode_header(data)
        if header is not None and header.store == store:
            self.term = max(self.term, header.term + 1)
        elif not newest:
            self._add_gap(Gap(0, SEGMENT_HEADER.size, None, self._number, self._number - 1))
        segment = Segment(int(match[1]), store, len(data))
        self._serial = segment.serial + 1
        first = header.first if header is not None else self._number
        self._continue_from(first)
        found = scan_segment(data, min(len(data), SEGMENT_HEADER.size), first, newest)
        data.release()
        self._index_records(segment, found)
        if newest and (found.torn or not found.records):
            self._truncate_tail(segment, found)

    def _continue_from(self, first: int) -> None:
        """Checks that a segment beginning with this sequence number continues the one before it.

        The earlier one may end in invalid data: after a failed write or sync, its records were written again
        to the next segment, so nothing is lost.
        """
        last = self.opened.gaps[-1] if self.opened.gaps else None
        if last is not None and last.last is None:
            del self.opened.gaps[-1]
            if first > last.first:
                self.opened.gaps.append(replace(last, last=first - 1))
                self._number = first
        if first > self._number and self.opened.records:
            self._add_gap(Gap(0, 0, None, self._number, first - 1))
        self._number = max(self._number, first)

    def _index_records(self, segment: Segment, found: SegmentScan) -> None:
        for gap in found.gaps:
            self._add_gap(gap)
        if not found.records:
            return  # a file left without records does no harm
        self._segments[segment.serial] = segment
        for located in found.records:
            record = located.record
            self._unindex(record.key)
            if record.kind is Kind.PUT:
                self._index[record.key] = RecordLocation(
                    record.number, segment.serial, located.offset, located.size
                )
                segment.live += located.size
        self.opened.records += len(found.records)
        self._number = max(self._number, found.records[-1].record.number + 1)

    def _truncate_tail(self, segment: Segment, found: SegmentScan) -> None:
        """Removes the torn tail, which would be taken for corruption at the next opening."""
        self.opened.torn += found.torn
        COUNTERS.add("store.torn_bytes", found.torn)
        try:
            if found.records:
                self._disk.truncate(segment.name, found.end)
                segment.size = found.end
            else:
                self._disk.remove(segment.name)
        except OSError:
            COUNTERS.add("store.not_cut")  # e.g. a read-only disk: the next opening tries again

    def _add_gap(self, gap: Gap) -> None:
        self.opened.gaps.append(gap)
        COUNTERS.add(f"store.corrupt.{gap.fault.value if gap.fault is not None else 'missing'}")

    # --- reading ---

    @property
    def newest(self) -> int:
        """The sequence number of the last record, durable or not."""
        return self._number - 1

    def __len__(self) -> int:
        """The number of keys."""
        return len(self._index) + sum(key not in self._index for key in self._unwritten)

    def __contains__(self, key: bytes) -> bool:
        """Whether the key has a value."""
        return key in self._unwritten or key in self._index

    def __iter__(self) -> Iterator[bytes]:
        """All keys, in no particular order; the log must not be changed during the iteration."""
        yield from self._index
        yield from (key for key in self._unwritten if key not in self._index)

    def get(self, key: bytes) -> bytes | None:
        """The value of a key, or None.

        Raises CorruptRecord if the record cannot be read, or is not what was written: then it leaves the
        index, so that it is not taken for the latest again.
        """
        unwritten = self._unwritten.get(key)
        if unwritten is not None:
            return unwritten[1]
        location = self._index.get(key)
        if location is None:
            return None
        try:
            decoded = decode(
                self._disk.read_at(self._segments[location.segment].name, location.offset, location.size)
            )
        except OSError as error:
            COUNTERS.add("store.unreadable")
            raise CorruptRecord(f"{error.strerror}") from error  # may succeed the next time
        if isinstance(decoded, tuple) and (decoded[0].number, decoded[0].key) == (location.number, key):
            return decoded[0].value
        COUNTERS.add("store.corrupt.read")
        self._unindex(key)
        raise CorruptRecord(f"record {location.number}")

    # --- writing ---

    def put(self, key: bytes, value: bytes) -> int | None:
        """Sets the value of a key; returns the sequence number, None if too much is waiting for the disk."""
        return self._add(Kind.PUT, key, value) if self._has_room() else None

    def delete(self, key: bytes) -> int | None:
        """Deletes a key; returns None if it has no value, or too much is waiting for the disk."""
        return self._add(Kind.DELETE, key, b"") if key in self and self._has_room() else None

    def _has_room(self) -> bool:
        if self._pending < MAX_PENDING:
            return True
        COUNTERS.add("store.not_taken")
        return False

    def _add(self, kind: Kind, key: bytes, value: bytes) -> int:
        record = Record(self._number, kind, key, value)
        data = encode(record)
        self._number += 1
        self._pending += len(data)
        self._queue.append((record, data))
        self._unindex(key)
        if kind is Kind.PUT:
            self._unwritten[key] = (record.number, value)
        else:
            self._unwritten.pop(key, None)
        return record.number

    def _unindex(self, key: bytes) -> None:
        location = self._index.pop(key, None)
        if location is not None and location.segment in self._segments:
            self._segments[location.segment].live -= location.size

    def next_batch(self) -> Batch | None:
        """The next batch to write; None while one is in progress or nothing is waiting."""
        removable = tuple(segment.name for segment in self._segments.values() if self._is_removable(segment))
        if self._batch is not None or not self._queue and not removable:
            return None
        name, header = "", None
        if self._queue:
            if self._active is None or self._active.size >= self._max_segment:
                self._active = Segment(self._serial, self.store, SEGMENT_HEADER.size)
                self._segments[self._serial] = self._active
                self._serial += 1
                header = encode_header(SegmentHeader(self.store, self._queue[0][0].number, self.term))
            name = self._active.name
        parts, size = [], 0
        while self._queue and size < MAX_BATCH:
            record, data = self._queue.popleft()
            self._in_batch.append((record, data))
            parts.append(data)
            size += len(data)
        last = self._in_batch[-1][0].number if self._in_batch else self.durable
        self._batch = Batch(name, header, b"".join(parts), last, removable)
        return self._batch

    def _is_removable(self, segment: Segment) -> bool:
        return segment.removable_after is not None and segment.removable_after <= self.durable

    def done(self, batch: Batch) -> None:
        """The batch is on the disk."""
        if not invariant(batch is self._batch, "store_batch"):
            return
        self._batch = None
        for record, data in self._in_batch:
            segment, unwritten = self._active, self._unwritten.get(record.key)
            if segment is not None:
                if unwritten is not None and unwritten[0] == record.number:
                    del self._unwritten[record.key]
                    location = RecordLocation(record.number, segment.serial, segment.size, len(data))
                    self._index[record.key] = location
                    segment.live += len(data)
                segment.size += len(data)
            self._pending -= len(data)
        self._in_batch.clear()
        self.durable = max(self.durable, batch.last)
        for name in batch.remove:
            self._segments.pop(int(name.partition("-")[0]), None)

    def failed(self, batch: Batch) -> None:
        """The batch may be on the disk in part, in full or not at all. Its file is not written again: the
        contents after a failed sync are unknown. The whole batch is written again, to a new segment."""
        if not invariant(batch is self._batch, "store_batch"):
            return
        self._batch = None
        self._queue.extendleft(reversed(self._in_batch))
        self._in_batch.clear()
        if self._active is not None and batch.header is not None:
            self._active.removable_after = 0  # holds no valid record: removable at once
        self._active = None

    # --- compaction ---

    @property
    def size(self) -> int:
        """The bytes of all segments."""
        return sum(segment.size for segment in self._segments.values())

    @property
    def live(self) -> int:
        """The bytes of live records."""
        return sum(segment.live for segment in self._segments.values())

    @property
    def needs_compaction(self) -> bool:
        """Whether the oldest segment should be compacted: more than half of all bytes are dead, and the disk
        keeps up with the writes."""
        worthwhile = self.live < MIN_LIVE_SHARE * self.size and self._pending < MAX_PENDING // 2
        return worthwhile and self._oldest() is not None

    def _oldest(self) -> Segment | None:
        for segment in self._segments.values():
            if segment.removable_after is None:
                return None if segment is self._active else segment
        return None

    def compact(self) -> Iterator[None]:
        """Rewrites the live records of the oldest segment, one chunk per step; its file is removed once they
        are durable. Corrupt records in it leave the index and are counted.

        It is always the oldest segment: its tombstones have nothing older left to delete and are dropped.
        Raises OSError if it cannot be read: then it stays.
        """
        segment = self._oldest()
        if segment is None:
            return
        offset = SEGMENT_HEADER.size
        while segment.live > 0 and offset < segment.size:
            offset += self._rewrite(
                segment, self._disk.read_at(segment.name, offset, COMPACTION_CHUNK + READ_AHEAD), offset
            )
            yield
        if segment.live > 0:
            lost = [key for key, location in self._index.items() if location.segment == segment.serial]
            for key in lost:
                COUNTERS.add("store.corrupt.rewritten")
                self._unindex(key)
        segment.removable_after = self._number - 1
        COUNTERS.add("store.compacted")

    def _rewrite(self, segment: Segment, data: bytes, begin: int) -> int:
        """Rewrites the live records of a chunk; returns the number of bytes processed."""
        offset = 0
        while offset < COMPACTION_CHUNK and offset < len(data):
            decoded = decode(data, offset)
            if not isinstance(decoded, tuple):
                following = data.find(MARKER, offset + 1)
                offset = following if following >= 0 else len(data)
                continue
            record, end = decoded
            location = self._index.get(record.key)
            if location is not None and (location.segment, location.offset) == (
                segment.serial,
                begin + offset,
            ):
                self._add(Kind.PUT, record.key, record.value)
            offset = end
        return max(offset, 1)
