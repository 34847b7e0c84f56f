"""The log of a store: segments, numbers, where each key's last record lies, and what is not on the disk yet.

It reads by itself and writes nothing: whoever owns it takes batches (``next_batch``), has them written and
synced where that keeps nobody waiting, and says how that went (``done``, ``failed``). No thread, no clock.
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
    HEAD,
    MARKER,
    MAX_KEY,
    MAX_VALUE,
    SEGMENT_HEAD,
    Kind,
    Record,
    SegmentHead,
    StoreError,
    decode,
    decode_head,
    encode,
    encode_head,
)  # fmt: skip
from reedmount.store.recovery import Examined, Gap, examine

MAX_SEGMENT = 16 << 20  # bytes: the next record goes into another one
MAX_BATCH = 1 << 20
MAX_PENDING = 64 << 20  # bytes that are not on the disk: more is not taken
CHUNK = 256 << 10  # of a segment that is written anew, between two looks at the rest of the program
AHEAD = HEAD.size + MAX_KEY + MAX_VALUE + len(MARKER)  # the longest record that may begin in it
NAME = re.compile(r"(\d{12})-([0-9a-f]{16})\.log", re.ASCII)
MIN_LIVE = 0.5  # of all bytes: below that the oldest segment is written anew


class Unsound(Exception):
    """A record lies there and is not what was written. It is not served; copies may have it."""


class Place(msgspec.Struct, frozen=True, gc=False):
    """Where a record lies; ``segment`` is the serial of its file. The collector is spared one a key."""

    number: int
    segment: int
    at: int
    size: int


@dataclass(slots=True)
class Segment:
    """One file."""

    serial: int  # never used again, also where its making failed
    store: bytes
    size: int
    live: int = 0  # bytes of records that still hold
    condemned: int | None = None  # written anew up to here: it goes when that is on the disk

    @property
    def name(self) -> str:
        """Of its file; they sort as their serials do."""
        return f"{self.serial:012d}-{self.store.hex()}.log"


@dataclass(frozen=True, slots=True)
class Batch:
    """What is to be written and synced, in this order; then files that may go."""

    segment: str  # "" where there is nothing to write
    head: bytes | None  # of a file that is to be made first
    data: bytes
    last: int  # number of the last record in it
    remove: tuple[str, ...] = ()


@dataclass(slots=True)
class Opened:
    """What was found at the opening."""

    fresh: bool = True  # nothing lay there: a new store, or a lost disk
    records: int = 0
    torn: int = 0  # bytes
    gaps: list[Gap] = field(default_factory=list)

    @property
    def whole(self) -> bool:
        """Whether every number is there that was known to be written; a lying sync does not show here."""
        return not self.gaps


class Log:
    """One store. Keys are bytes; of each the last record counts."""

    def __init__(self, disk: Disk, segment_most: int = MAX_SEGMENT) -> None:
        self._disk, self._most = disk, segment_most
        self.store = os.urandom(8)
        self.term = 1
        self.opened = Opened()
        self.durable = 0  # the last number that is on the disk, and all before it
        self._number = self._serial = 1  # of the next record, of the next file
        self._index: dict[bytes, Place] = {}
        self._segments: dict[int, Segment] = {}  # the oldest first
        self._active: Segment | None = None
        self._queue: deque[tuple[Record, bytes]] = deque()  # not handed out
        self._out: list[tuple[Record, bytes]] = []  # handed out, not known to be on the disk
        self._batch: Batch | None = None
        self._fresh: dict[bytes, tuple[int, bytes]] = {}  # number and value of puts in either
        self._pending = 0  # bytes in both

    # --- opening ---

    def open(self) -> Opened:
        """Read all that lies there. Raises OSError, StoreError."""
        for _ in self.opening():
            pass
        return self.opened

    def opening(self) -> Iterator[None]:
        """The same, a segment at a time."""
        names = [name for name in self._disk.names() if name.endswith(".log")]
        for name in names:
            self._read(name, name == names[-1])
            yield
        self.durable = self._number - 1

    def _read(self, name: str, newest: bool) -> None:
        named = NAME.fullmatch(name)
        if named is None:
            raise StoreError(f"{name} is no segment")
        # The store is known by the names, which outlive what turns inside the files.
        store = bytes.fromhex(named[2])
        if not self.opened.fresh and store != self.store:
            raise StoreError(f"{name} is of another store")
        self.store, self.opened.fresh = store, False
        data = memoryview(self._disk.read(name))
        head = decode_head(data)
        if head is not None and head.store == store:
            self.term = max(self.term, head.term + 1)
        elif not newest:
            self._lost(Gap(0, SEGMENT_HEAD.size, None, self._number, self._number - 1))
        segment = Segment(int(named[1]), store, len(data))
        self._serial = segment.serial + 1
        first = head.first if head is not None else self._number
        self._join(first)
        found = examine(data, min(len(data), SEGMENT_HEAD.size), first, newest)
        data.release()
        self._take(segment, found)
        if newest and (found.torn or not found.records):
            self._cut(segment, found)

    def _join(self, first: int) -> None:
        """A segment begins with this number; the one before it may have ended in what does not check.

        Where a write or a sync had failed, its records were written anew in the next one: nothing is lost.
        """
        last = self.opened.gaps[-1] if self.opened.gaps else None
        if last is not None and last.last is None:
            del self.opened.gaps[-1]
            if first > last.first:
                self.opened.gaps.append(replace(last, last=first - 1))
                self._number = first
        if first > self._number and self.opened.records:
            self._lost(Gap(0, 0, None, self._number, first - 1))
        self._number = max(self._number, first)

    def _take(self, segment: Segment, found: Examined) -> None:
        for gap in found.gaps:
            self._lost(gap)
        if not found.records:
            return  # a file of it that stays costs nothing
        self._segments[segment.serial] = segment
        for placed in found.records:
            record = placed.record
            self._bury(record.key)
            if record.kind is Kind.PUT:
                self._index[record.key] = Place(record.number, segment.serial, placed.at, placed.size)
                segment.live += placed.size
        self.opened.records += len(found.records)
        self._number = max(self._number, found.records[-1].record.number + 1)

    def _cut(self, segment: Segment, found: Examined) -> None:
        """What a crash left behind the last sound record goes, or it looks corrupt at the next opening."""
        self.opened.torn += found.torn
        COUNTERS.add("store.torn_bytes", found.torn)
        try:
            if found.records:
                self._disk.truncate(segment.name, found.end)
                segment.size = found.end
            else:
                self._disk.remove(segment.name)
        except OSError:
            COUNTERS.add("store.not_cut")  # a read-only disk: the next opening finds it again

    def _lost(self, gap: Gap) -> None:
        self.opened.gaps.append(gap)
        COUNTERS.add(f"store.corrupt.{gap.fault.value if gap.fault is not None else 'missing'}")

    # --- what holds ---

    @property
    def newest(self) -> int:
        """The number of the last record, on the disk or not."""
        return self._number - 1

    def __len__(self) -> int:
        """How many keys there are."""
        return len(self._index) + sum(key not in self._index for key in self._fresh)

    def __contains__(self, key: bytes) -> bool:
        """Whether there is one of this key."""
        return key in self._fresh or key in self._index

    def __iter__(self) -> Iterator[bytes]:
        """All keys, in no order that means anything; nothing may be put meanwhile."""
        yield from self._index
        yield from (key for key in self._fresh if key not in self._index)

    def get(self, key: bytes) -> bytes | None:
        """The value, None where there is none. Raises Unsound where what lies there is not what was written,
        or cannot be read: the record is forgotten, so that it is not taken for the latest again."""
        fresh = self._fresh.get(key)
        if fresh is not None:
            return fresh[1]
        place = self._index.get(key)
        if place is None:
            return None
        try:
            read = decode(self._disk.read_at(self._segments[place.segment].name, place.at, place.size))
        except OSError as error:
            COUNTERS.add("store.unreadable")
            raise Unsound(f"{error.strerror}") from error  # it may be readable the next time
        if isinstance(read, tuple) and (read[0].number, read[0].key) == (place.number, key):
            return read[0].value
        COUNTERS.add("store.corrupt.read")
        self._bury(key)
        raise Unsound(f"record {place.number}")

    # --- writing ---

    def put(self, key: bytes, value: bytes) -> int | None:
        """Have this value of a key; its number. None where too much waits for the disk already."""
        return self._add(Kind.PUT, key, value) if self._has_room() else None

    def delete(self, key: bytes) -> int | None:
        """Have none; None where there was none, or too much waits."""
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
        self._bury(key)
        if kind is Kind.PUT:
            self._fresh[key] = (record.number, value)
        else:
            self._fresh.pop(key, None)
        return record.number

    def _bury(self, key: bytes) -> None:
        place = self._index.pop(key, None)
        if place is not None and place.segment in self._segments:
            self._segments[place.segment].live -= place.size

    def next_batch(self) -> Batch | None:
        """What is to be written next, one batch at a time; None while one is out or nothing waits."""
        removable = tuple(segment.name for segment in self._segments.values() if self._may_go(segment))
        if self._batch is not None or not self._queue and not removable:
            return None
        name, head = "", None
        if self._queue:
            if self._active is None or self._active.size >= self._most:
                self._active = Segment(self._serial, self.store, SEGMENT_HEAD.size)
                self._segments[self._serial] = self._active
                self._serial += 1
                head = encode_head(SegmentHead(self.store, self._queue[0][0].number, self.term))
            name = self._active.name
        parts, size = [], 0
        while self._queue and size < MAX_BATCH:
            record, data = self._queue.popleft()
            self._out.append((record, data))
            parts.append(data)
            size += len(data)
        last = self._out[-1][0].number if self._out else self.durable
        self._batch = Batch(name, head, b"".join(parts), last, removable)
        return self._batch

    def _may_go(self, segment: Segment) -> bool:
        return segment.condemned is not None and segment.condemned <= self.durable

    def done(self, batch: Batch) -> None:
        """It is on the disk."""
        if not invariant(batch is self._batch, "store_batch"):
            return
        self._batch = None
        for record, data in self._out:
            segment, fresh = self._active, self._fresh.get(record.key)
            if segment is not None:
                if fresh is not None and fresh[0] == record.number:
                    del self._fresh[record.key]
                    place = Place(record.number, segment.serial, segment.size, len(data))
                    self._index[record.key] = place
                    segment.live += len(data)
                segment.size += len(data)
            self._pending -= len(data)
        self._out.clear()
        self.durable = max(self.durable, batch.last)
        for name in batch.remove:
            self._segments.pop(int(name.partition("-")[0]), None)

    def failed(self, batch: Batch) -> None:
        """It may be on the disk, in part or not at all. The file is left as it is, since nothing can be known
        of what a failed sync has dropped; all of the batch goes out anew, in another one."""
        if not invariant(batch is self._batch, "store_batch"):
            return
        self._batch = None
        self._queue.extendleft(reversed(self._out))
        self._out.clear()
        if self._active is not None and batch.head is not None:
            self._active.condemned = 0  # nothing of it counts: whatever there is of the file may go
        self._active = None

    # --- upkeep ---

    @property
    def size(self) -> int:
        """How many lie there."""
        return sum(segment.size for segment in self._segments.values())

    @property
    def live(self) -> int:
        """How many of them are records that still hold."""
        return sum(segment.live for segment in self._segments.values())

    @property
    def wants_compaction(self) -> bool:
        """Whether the oldest segment is to be written anew: more than half of all bytes hold nothing, and the
        disk takes what is written."""
        plenty = self.live < MIN_LIVE * self.size and self._pending < MAX_PENDING // 2
        return plenty and self._oldest() is not None

    def _oldest(self) -> Segment | None:
        for segment in self._segments.values():
            if segment.condemned is None:
                return None if segment is self._active else segment
        return None

    def compact(self) -> Iterator[None]:
        """Write what holds of the oldest segment anew, a chunk at a time; its file goes once that is on the
        disk. What is unsound in it is forgotten and counted.

        Always the oldest: a delete in it has nothing older left to delete, and is dropped with it. Raises
        OSError where it cannot be read: then it stays.
        """
        segment = self._oldest()
        if segment is None:
            return
        at = SEGMENT_HEAD.size
        while segment.live > 0 and at < segment.size:
            at += self._rewrite(segment, self._disk.read_at(segment.name, at, CHUNK + AHEAD), at)
            yield
        if segment.live > 0:
            lost = [key for key, place in self._index.items() if place.segment == segment.serial]
            for key in lost:
                COUNTERS.add("store.corrupt.rewritten")
                self._bury(key)
        segment.condemned = self._number - 1
        COUNTERS.add("store.compacted")

    def _rewrite(self, segment: Segment, data: bytes, begin: int) -> int:
        """Put the records of a chunk that still hold anew; how many bytes were looked at."""
        at = 0
        while at < CHUNK and at < len(data):
            read = decode(data, at)
            if not isinstance(read, tuple):
                following = data.find(MARKER, at + 1)
                at = following if following >= 0 else len(data)
                continue
            record, end = read
            place = self._index.get(record.key)
            if place is not None and (place.segment, place.at) == (segment.serial, begin + at):
                self._add(Kind.PUT, record.key, record.value)
            at = end
        return max(at, 1)
