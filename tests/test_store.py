"""The store: what is written is read as it was or not at all, whatever the disk does to it."""

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
def test_a_record_is_read_as_it_was_written_or_with_a_fault(record: Record, at: int, bit: int) -> None:
    data = encode(record)
    assert decode(data) == (record, len(data))
    turned = bytearray(data)
    turned[at % len(data)] ^= 1 << bit
    assert isinstance(decode(bytes(turned)), DecodeFault)
    assert isinstance(decode(data[: at % len(data)]), DecodeFault)


def test_what_is_too_long_is_not_written_and_a_head_of_later_versions_is_refused() -> None:
    for key, value in ((b"", b""), (b"k" * 256, b""), (b"k", bytes(MAX_VALUE + 1))):
        with pytest.raises(ValueError, match="bytes"):
            encode(Record(1, Kind.PUT, key, value))
    head = SegmentHeader(bytes(8), 7, 2)
    data = encode_header(head)
    assert decode_header(data) == head and decode_header(data[:-1]) is None
    assert decode_header(bytes([data[0] ^ 1]) + data[1:]) is None


def written(count: int, first: int = 1) -> tuple[bytes, list[int]]:
    """Records in a row and where each begins; some hold what looks like the beginning of another."""
    rng, data, places = random.Random(count), bytearray(), []
    for number in range(first, first + count):
        places.append(len(data))
        value = MARKER * (number % 3) + rng.randbytes(rng.randrange(60))
        data += encode(Record(number, Kind.PUT, b"k%d" % number, value))
    return bytes(data), places


@given(st.integers(1, 12), st.integers(0, 11), st.integers(0, 10**6), st.booleans())
def test_a_turned_bit_costs_its_record_alone_and_its_number_is_known(
    count: int, which: int, place: int, newest: bool
) -> None:
    data, places = written(count)
    which %= count
    ends = [*places[1:], len(data)]
    turned = bytearray(data)
    turned[places[which] + place % (ends[which] - places[which])] ^= 0x10
    found = scan_segment(bytes(turned), 0, 1, newest)
    numbers = [placed.record.number for placed in found.records]
    assert numbers == [number for number in range(1, count + 1) if number != which + 1]
    last = which == count - 1
    if last and newest:
        assert found.torn == ends[which] - places[which] and not found.gaps
    else:
        (gap,) = found.gaps
        assert (gap.first, gap.last) == (which + 1, None if last else which + 1)


@given(st.integers(1, 12), st.integers(0, 10**6))
def test_an_end_that_was_cut_anywhere_is_torn_and_all_before_it_is_there(count: int, cut: int) -> None:
    data, places = written(count)
    cut %= len(data)
    found = scan_segment(data[:cut], 0, 1, newest=True)
    whole = [end for end in [*places[1:], len(data)] if end <= cut]
    assert len(found.records) == len(whole) and not found.gaps
    assert found.end + found.torn == cut


def test_old_records_in_a_newer_place_and_missing_numbers_are_seen() -> None:
    one, _ = written(2)
    two, _ = written(2, first=7)
    found = scan_segment(one + one + two, 0, 1, newest=False)
    assert [placed.record.number for placed in found.records] == [1, 2, 7, 8]
    assert [(gap.first, gap.last) for gap in found.gaps] == [(3, 2), (3, 2), (3, 6)]


# --- the log ---


class Hand:
    """Writes batches as the writer does, at once, on a disk that does as it is told."""

    def __init__(self, folder: Path, faults: Faults | None = None, most: int = 1500) -> None:
        self._real = RealDisk(folder)
        self.disk: Disk = FaultyDisk(self._real, folder, faults) if faults is not None else self._real
        self.log = Log(self.disk, most)
        self.opened = self.log.open()
        self._hand = _DiskThread(self.disk, sync=True)

    def write(self) -> bool:
        """All that waits; whether the disk took it."""
        while (batch := self.log.next_batch()) is not None:
            try:
                self._hand.write_batch(batch)
            except OSError:
                self.log.failed(batch)
                return False
            self.log.done(batch)
        return True

    def kill(self) -> None:
        """The process is gone: nothing is closed, what the disk only said that it had is lost."""
        self._real.close()


@pytest.fixture
def folder() -> Iterator[Path]:
    with TemporaryDirectory() as name:
        yield Path(name)


def test_what_was_put_is_there_after_any_number_of_openings_and_compactions(folder: Path) -> None:
    held: dict[bytes, bytes] = {}
    rng = random.Random(4)
    for _ in range(6):
        hand = Hand(folder)
        assert hand.opened.whole and {key: hand.log.get(key) for key in hand.log} == held
        for _ in range(80):
            key = b"k%d" % rng.randrange(25)
            if rng.random() < 0.3:
                hand.log.delete(key)
                held.pop(key, None)
            else:
                held[key] = rng.randbytes(rng.randrange(90))
                hand.log.put(key, held[key])
            assert hand.write()
            if hand.log.needs_compaction:
                for _ in hand.log.compact():
                    assert {key: hand.log.get(key) for key in hand.log} == held
                hand.write()
        assert len(hand.log) == len(held)
        assert hand.log.size < 6000, "what holds nothing any more goes"
        hand.kill()
    assert Hand(folder).log.term > 1


def test_a_folder_is_one_process_s(folder: Path) -> None:
    hand = Hand(folder)
    hand.log.put(b"a", b"1")
    hand.write()
    with pytest.raises(StoreError, match="another process"):
        RealDisk(folder)
    hand.kill()
    assert (folder / LOCK).exists()


@pytest.mark.parametrize(
    ("name", "fault"), [("000000000009-0123456789abcdef.log", "another store"), ("9.log", "no segment")]
)
def test_files_that_are_not_of_the_store_are_refused(folder: Path, name: str, fault: str) -> None:
    hand = Hand(folder)
    hand.log.put(b"a", b"1")
    hand.write()
    hand.kill()
    (folder / name).write_bytes(encode_header(SegmentHeader(bytes(8), 2, 1)))
    with pytest.raises(StoreError, match=fault):
        Hand(folder)


def test_a_record_that_turns_on_the_disk_is_not_served_and_not_forgotten_in_silence(folder: Path) -> None:
    hand = Hand(folder, most=1 << 20)
    for number in range(20):
        hand.log.put(b"k%d" % number, b"%d" % number * 40)
    hand.write()
    (file,) = folder.glob("*.log")
    raw = bytearray(file.read_bytes())
    raw[raw.find(b"7" * 40)] ^= 1
    file.write_bytes(raw)
    with pytest.raises(CorruptRecord):
        hand.log.get(b"k7")
    assert hand.log.get(b"k8") == b"8" * 40 and b"k7" not in hand.log
    hand.kill()
    again = Hand(folder)
    assert [(gap.first, gap.last) for gap in again.opened.gaps] == [(8, 8)] and not again.opened.whole
    assert len(again.log) == 19


def test_a_full_disk_is_tried_again_and_loses_nothing(folder: Path) -> None:
    hand = Hand(folder, Faults(full_after=2000))
    for number in range(60):
        hand.log.put(b"k%d" % number, bytes(50))
        hand.write()
    assert not hand.write()
    assert 0 < hand.log.durable < 60 and hand.log.get(b"k59") == bytes(50)
    assert isinstance(hand.disk, FaultyDisk)
    hand.disk.faults = Faults()
    assert hand.write() and hand.log.durable == 60
    hand.kill()
    again = Hand(folder)
    assert again.opened.whole and len(again.log) == 60, again.opened.gaps


@pytest.mark.parametrize(
    ("faults", "error"),
    [(Faults(read_only=True), errno.EROFS), (Faults(full_after=1), errno.ENOSPC)],
)
def test_a_disk_that_takes_nothing_is_said_and_what_is_held_is_read(
    folder: Path, faults: Faults, error: int
) -> None:
    loop, trouble, durable = Loop(Clock()), list[bool](), list[int]()
    disk = FaultyDisk(RealDisk(folder), folder, faults)
    log = Log(disk)
    log.open()
    writer = Writer(loop, log, disk, on_durable=durable.append, on_trouble=trouble.append)
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


def test_reading_that_fails_is_no_reason_to_forget(folder: Path) -> None:
    hand = Hand(folder, Faults(unreadable=1.0))
    hand.log.put(b"a", b"1")
    hand.write()
    with pytest.raises(CorruptRecord):
        hand.log.get(b"a")
    assert isinstance(hand.disk, FaultyDisk)
    hand.disk.faults = Faults()
    assert hand.log.get(b"a") == b"1"


@pytest.mark.parametrize("wrong", [{"lying_sync": 1.1}, {"turned_bits": 65}, {"full_after": -1}])
def test_faults_out_of_bounds_are_refused(wrong: dict[str, float]) -> None:
    with pytest.raises(ValueError, match="|".join(wrong)):
        Faults(**wrong)  # type: ignore[arg-type]


class Crashes(RuleBasedStateMachine):
    """Puts, deletes, compactions, full disks, kills, a disk that lies or turns bits: never a value that was
    not put; and as long as it neither lied nor turned any, never one older than the last durable one."""

    @initialize(seed=st.integers(0, 10**6))
    def begin(self, seed: int) -> None:
        self.folder = TemporaryDirectory()
        self.rng = random.Random(seed)
        self.put_ever: dict[bytes, set[bytes]] = {}
        self.steps: dict[bytes, list[bytes | None]] = {}  # from the last one that is durable on
        self.turned = self.lied = False
        self.open(Faults(seed=seed))

    def open(self, faults: Faults) -> None:
        self.hand = Hand(Path(self.folder.name), faults)

    def disk(self) -> FaultyDisk:
        assert isinstance(self.hand.disk, FaultyDisk)
        return self.hand.disk

    @rule(key=st.integers(0, 5), size=st.integers(0, 80))
    def put(self, key: int, size: int) -> None:
        name, value = b"k%d" % key, self.rng.randbytes(size)
        assert self.hand.log.put(name, value) is not None
        self.put_ever.setdefault(name, set()).add(value)
        self.steps.setdefault(name, [None]).append(value)

    @rule(key=st.integers(0, 5))
    def delete(self, key: int) -> None:
        name = b"k%d" % key
        if self.hand.log.delete(name) is not None:
            self.steps[name].append(None)

    @rule()
    def write(self) -> None:
        if self.hand.write():
            self.steps = {key: steps[-1:] for key, steps in self.steps.items()}

    @rule()
    def compact(self) -> None:
        for _ in self.hand.log.compact():
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
            self.hand.write()
        self.lied, self.turned = self.lied or lying, self.turned or bits > 0
        self.hand.kill()
        self.open(Faults(turned_bits=bits))
        if not self.turned:
            assert self.hand.opened.whole, self.hand.opened.gaps
        held = {key: found for key in list(self.hand.log) if (found := self.read(key)) is not None}
        for key, found in held.items():
            assert found in self.put_ever[key], "a value that was never put"
        if not self.lied and not self.turned:
            for key, steps in self.steps.items():
                assert held.get(key) in steps, "older than what was durable"
        # What was found counts from now on; what was not written is gone.
        self.steps = {key: [held.get(key)] for key in self.put_ever}

    def read(self, key: bytes) -> bytes | None:
        try:
            return self.hand.log.get(key)
        except CorruptRecord:
            assert self.turned or self.lied
            return None

    @invariant()
    def serves_what_was_put_last(self) -> None:
        for key, steps in getattr(self, "steps", {}).items():
            found = self.read(key)
            assert found == steps[-1] or found is None and (self.turned or self.lied)

    def teardown(self) -> None:
        if hasattr(self, "hand"):
            self.hand.kill()
            self.folder.cleanup()


TestCrashes = Crashes.TestCase
TestCrashes.settings = settings(max_examples=150, stateful_step_count=30, deadline=None, derandomize=True)


def test_the_bytes_of_a_record_are_what_the_page_says() -> None:
    assert RECORD_HEADER.size == 23 and SEGMENT_HEADER.size == 40
    assert Batch("", None, b"", 0).remove == ()
