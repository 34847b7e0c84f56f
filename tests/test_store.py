"""The store: a record is read back as written or reported as missing, whatever faults the disk has."""

from __future__ import annotations

import errno
import random
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path
from tempfile import TemporaryDirectory

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from reedmount.core.checks import COUNTERS
from reedmount.core.clock import Clock
from reedmount.net.loop import Loop
from reedmount.store.disk import LOCK, Disk, RealDisk
from reedmount.store.faulty import Faults, FaultyDisk
from reedmount.store.frame import (
    MARKER,
    MAX_VALUE,
    RECORD_HEADER,
    SEGMENT_HEADER,
    DecodeFault,
    Kind,
    Record,
    SegmentHeader,
    StoreError,
    decode,
    decode_header,
    encode,
    encode_header,
)  # fmt: skip
from reedmount.store.log import Batch, CorruptRecord, Log
from reedmount.store.recovery import scan_segment
from reedmount.store.writer import Writer, _DiskThread

records = st.builds(
    Record, st.integers(0, 2**64 - 1), st.just(Kind.PUT), st.binary(min_size=1, max_size=255),
    st.binary(max_size=900),
)  # fmt: skip


@given(records, st.integers(0, 10**6), st.integers(0, 7))
def test_record_round_trips_and_any_flipped_bit_is_detected(record: Record, at: int, bit: int) -> None:
    data = encode(record)
    assert decode(data) == (record, len(data))
    flipped = bytearray(data)
    flipped[at % len(data)] ^= 1 << bit
    assert isinstance(decode(bytes(flipped)), DecodeFault)
    assert isinstance(decode(data[: at % len(data)]), DecodeFault)


def test_oversized_records_are_refused_and_corrupt_headers_detected() -> None:
    for key, value in ((b"", b""), (b"k" * 256, b""), (b"k", bytes(MAX_VALUE + 1))):
        with pytest.raises(ValueError, match="bytes"):
            encode(Record(1, Kind.PUT, key, value))
    head = SegmentHeader(bytes(8), 7, 2)
    data = encode_header(head)
    assert decode_header(data) == head and decode_header(data[:-1]) is None
    assert decode_header(bytes([data[0] ^ 1]) + data[1:]) is None


def encoded_records(count: int, first: int = 1) -> tuple[bytes, list[int]]:
    """Encoded consecutive records and the offset of each; some contain the marker of a record."""
    rng, data, offsets = random.Random(count), bytearray(), []
    for number in range(first, first + count):
        offsets.append(len(data))
        value = MARKER * (number % 3) + rng.randbytes(rng.randrange(60))
        data += encode(Record(number, Kind.PUT, b"k%d" % number, value))
    return bytes(data), offsets


@given(st.integers(1, 12), st.integers(0, 11), st.integers(0, 10**6), st.booleans())
def test_flipped_bit_loses_one_record_and_reports_its_sequence_number(
    count: int, damaged: int, position: int, newest: bool
) -> None:
    data, offsets = encoded_records(count)
    damaged %= count
    ends = [*offsets[1:], len(data)]
    flipped = bytearray(data)
    flipped[offsets[damaged] + position % (ends[damaged] - offsets[damaged])] ^= 0x10
    found = scan_segment(bytes(flipped), 0, 1, newest)
    numbers = [located.record.number for located in found.records]
    assert numbers == [number for number in range(1, count + 1) if number != damaged + 1]
    last = damaged == count - 1
    if last and newest:
        assert found.torn == ends[damaged] - offsets[damaged] and not found.gaps
    else:
        (gap,) = found.gaps
        assert (gap.first, gap.last) == (damaged + 1, None if last else damaged + 1)


@given(st.integers(1, 12), st.integers(0, 10**6))
def test_truncated_tail_is_torn_and_all_earlier_records_are_read(count: int, cut: int) -> None:
    data, offsets = encoded_records(count)
    cut %= len(data)
    found = scan_segment(data[:cut], 0, 1, newest=True)
    whole = [end for end in [*offsets[1:], len(data)] if end <= cut]
    assert len(found.records) == len(whole) and not found.gaps
    assert found.end + found.torn == cut


def test_misplaced_old_records_and_missing_sequence_numbers_are_reported() -> None:
    one, _ = encoded_records(2)
    two, _ = encoded_records(2, first=7)
    found = scan_segment(one + one + two, 0, 1, newest=False)
    assert [located.record.number for located in found.records] == [1, 2, 7, 8]
    assert [(gap.first, gap.last) for gap in found.gaps] == [(3, 2), (3, 2), (3, 6)]


# --- the log ---


class SyncWriter:
    """Writes batches synchronously, as the writer does on its thread, to a disk with injected faults."""

    def __init__(self, folder: Path, faults: Faults | None = None, max_segment: int = 1500) -> None:
        self._real = RealDisk(folder)
        self.disk: Disk = FaultyDisk(self._real, folder, faults) if faults is not None else self._real
        self.log = Log(self.disk, max_segment)
        self.opened = self.log.open()
        self._disk_thread = _DiskThread(self.disk, sync=True)

    def write(self) -> bool:
        """Write all that is queued; returns whether the disk accepted it."""
        while (batch := self.log.next_batch()) is not None:
            try:
                self._disk_thread.write_batch(batch)
            except OSError:
                self.log.failed(batch)
                return False
            self.log.done(batch)
        return True

    def kill(self) -> None:
        """End as a killed process: nothing is closed, data acknowledged by a false sync only is lost."""
        self._real.close()


@pytest.fixture
def folder() -> Iterator[Path]:
    with TemporaryDirectory() as name:
        yield Path(name)


def test_values_survive_repeated_openings_and_compactions(folder: Path) -> None:
    expected: dict[bytes, bytes] = {}
    rng = random.Random(4)
    for _ in range(6):
        writer = SyncWriter(folder)
        assert writer.opened.whole and {key: writer.log.get(key) for key in writer.log} == expected
        for _ in range(80):
            key = b"k%d" % rng.randrange(25)
            if rng.random() < 0.3:
                writer.log.delete(key)
                expected.pop(key, None)
            else:
                expected[key] = rng.randbytes(rng.randrange(90))
                writer.log.put(key, expected[key])
            assert writer.write()
            if writer.log.needs_compaction:
                for _ in writer.log.compact():
                    assert {key: writer.log.get(key) for key in writer.log} == expected
                writer.write()
        assert len(writer.log) == len(expected)
        assert writer.log.size < 6000, "dead segments are removed"
        writer.kill()
    assert SyncWriter(folder).log.term > 1


def test_folder_is_locked_against_other_processes(folder: Path) -> None:
    writer = SyncWriter(folder)
    writer.log.put(b"a", b"1")
    writer.write()
    with pytest.raises(StoreError, match="another process"):
        RealDisk(folder)
    writer.kill()
    assert (folder / LOCK).exists()


@pytest.mark.parametrize(
    ("name", "fault"), [("000000000009-0123456789abcdef.log", "another store"), ("9.log", "no segment")]
)
def test_files_not_of_this_store_are_refused(folder: Path, name: str, fault: str) -> None:
    writer = SyncWriter(folder)
    writer.log.put(b"a", b"1")
    writer.write()
    writer.kill()
    (folder / name).write_bytes(encode_header(SegmentHeader(bytes(8), 2, 1)))
    with pytest.raises(StoreError, match=fault):
        SyncWriter(folder)


def test_record_corrupted_on_disk_is_not_returned_and_is_reported(folder: Path) -> None:
    writer = SyncWriter(folder, max_segment=1 << 20)
    for number in range(20):
        writer.log.put(b"k%d" % number, b"%d" % number * 40)
    writer.write()
    (file,) = folder.glob("*.log")
    raw = bytearray(file.read_bytes())
    raw[raw.find(b"7" * 40)] ^= 1
    file.write_bytes(raw)
    with pytest.raises(CorruptRecord):
        writer.log.get(b"k7")
    assert writer.log.get(b"k8") == b"8" * 40 and b"k7" not in writer.log
    writer.kill()
    reopened = SyncWriter(folder)
    assert [(gap.first, gap.last) for gap in reopened.opened.gaps] == [(8, 8)] and not reopened.opened.whole
    assert len(reopened.log) == 19


def test_full_disk_is_retried_without_loss(folder: Path) -> None:
    writer = SyncWriter(folder, Faults(full_after=2000))
    for number in range(60):
        writer.log.put(b"k%d" % number, bytes(50))
        writer.write()
    assert not writer.write()
    assert 0 < writer.log.durable < 60 and writer.log.get(b"k59") == bytes(50)
    assert isinstance(writer.disk, FaultyDisk)
    writer.disk.faults = Faults()
    assert writer.write() and writer.log.durable == 60
    writer.kill()
    reopened = SyncWriter(folder)
    assert reopened.opened.whole and len(reopened.log) == 60, reopened.opened.gaps


@pytest.mark.parametrize(
    ("faults", "error"),
    [(Faults(read_only=True), errno.EROFS), (Faults(full_after=1), errno.ENOSPC)],
)
def test_failing_disk_is_reported_and_unwritten_values_are_read(
    folder: Path, faults: Faults, error: int
) -> None:
    loop, trouble, durable = Loop(Clock()), list[bool](), list[int]()
    disk = FaultyDisk(RealDisk(folder), folder, faults)
    log = Log(disk)
    log.open()
    writer = Writer(loop, log, disk, on_durable=durable.append, on_failing_changed=trouble.append)
    before = COUNTERS[f"store.failed.{error}"]
    log.put(b"a", b"1")
    writer.kick()
    for _ in range(200):
        loop.turn(timedelta(milliseconds=10))
        if trouble:
            break
    assert trouble == [True] and COUNTERS[f"store.failed.{error}"] == before + 1
    assert log.get(b"a") == b"1" and not durable
    disk.faults = Faults()
    writer._retry()
    for _ in range(200):
        loop.turn(timedelta(milliseconds=10))
        if durable:
            break
    assert durable == [1] and trouble == [True, False]
    writer.close()
    loop.close()


def test_value_is_kept_after_a_failed_read(folder: Path) -> None:
    writer = SyncWriter(folder, Faults(unreadable=1.0))
    writer.log.put(b"a", b"1")
    writer.write()
    with pytest.raises(CorruptRecord):
        writer.log.get(b"a")
    assert isinstance(writer.disk, FaultyDisk)
    writer.disk.faults = Faults()
    assert writer.log.get(b"a") == b"1"


@pytest.mark.parametrize("invalid", [{"lying_sync": 1.1}, {"turned_bits": 65}, {"full_after": -1}])
def test_faults_out_of_range_are_refused(invalid: dict[str, float]) -> None:
    with pytest.raises(ValueError, match="|".join(invalid)):
        Faults(**invalid)  # type: ignore[arg-type]


class Crashes(RuleBasedStateMachine):
    """Puts, deletes, compactions, full disks, kills, false syncs and flipped bits: a value that was never put
    is never read; without false syncs and flipped bits, none older than the last durable one is read."""

    @initialize(seed=st.integers(0, 10**6))
    def begin(self, seed: int) -> None:
        self.folder = TemporaryDirectory()
        self.rng = random.Random(seed)
        self.values_ever_put: dict[bytes, set[bytes]] = {}
        self.steps: dict[bytes, list[bytes | None]] = {}  # values since the last durable one, included
        self.flipped = self.had_false_sync = False
        self.open(Faults(seed=seed))

    def open(self, faults: Faults) -> None:
        self.writer = SyncWriter(Path(self.folder.name), faults)

    def disk(self) -> FaultyDisk:
        assert isinstance(self.writer.disk, FaultyDisk)
        return self.writer.disk

    @rule(key=st.integers(0, 5), size=st.integers(0, 80))
    def put(self, key: int, size: int) -> None:
        name, value = b"k%d" % key, self.rng.randbytes(size)
        assert self.writer.log.put(name, value) is not None
        self.values_ever_put.setdefault(name, set()).add(value)
        self.steps.setdefault(name, [None]).append(value)

    @rule(key=st.integers(0, 5))
    def delete(self, key: int) -> None:
        name = b"k%d" % key
        if self.writer.log.delete(name) is not None:
            self.steps[name].append(None)

    @rule()
    def write(self) -> None:
        if self.writer.write():
            self.steps = {key: steps[-1:] for key, steps in self.steps.items()}

    @rule()
    def compact(self) -> None:
        for _ in self.writer.log.compact():
            pass

    @rule(room=st.integers(1, 400))
    def fill(self, room: int) -> None:
        self.disk().faults = Faults(full_after=self.disk()._written + room)

    @rule()
    def empty(self) -> None:
        self.disk().faults = Faults()

    @rule(lying=st.booleans(), bits=st.integers(0, 2))
    def kill(self, lying: bool, bits: int) -> None:
        if lying:
            self.disk().faults = Faults(lying_sync=1.0, torn_write=0.5)
            self.writer.write()
        self.had_false_sync, self.flipped = self.had_false_sync or lying, self.flipped or bits > 0
        self.writer.kill()
        self.open(Faults(turned_bits=bits))
        if not self.flipped:
            assert self.writer.opened.whole, self.writer.opened.gaps
        recovered = {key: found for key in list(self.writer.log) if (found := self.read(key)) is not None}
        for key, found in recovered.items():
            assert found in self.values_ever_put[key], "a value that was never put"
        if not self.had_false_sync and not self.flipped:
            for key, steps in self.steps.items():
                assert recovered.get(key) in steps, "older than the durable value"
        # The recovered values are the baseline from here on; what was not written is lost.
        self.steps = {key: [recovered.get(key)] for key in self.values_ever_put}

    def read(self, key: bytes) -> bytes | None:
        try:
            return self.writer.log.get(key)
        except CorruptRecord:
            assert self.flipped or self.had_false_sync
            return None

    @invariant()
    def last_put_value_is_read(self) -> None:
        for key, steps in getattr(self, "steps", {}).items():
            found = self.read(key)
            assert found == steps[-1] or found is None and (self.flipped or self.had_false_sync)

    def teardown(self) -> None:
        if hasattr(self, "writer"):
            self.writer.kill()
            self.folder.cleanup()


TestCrashes = Crashes.TestCase
TestCrashes.settings = settings(max_examples=150, stateful_step_count=30, deadline=None, derandomize=True)


def test_header_sizes_match_the_documented_format() -> None:
    assert RECORD_HEADER.size == 23 and SEGMENT_HEADER.size == 40
    assert Batch("", None, b"", 0).remove == ()
