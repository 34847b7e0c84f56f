"""What is sound in a segment, and what became of the rest: a torn end or a corrupt middle. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from reedmount.store.frame import MARKER, Fault, Record, decode


@dataclass(frozen=True, slots=True)
class Placed:
    """A sound record and where it lies."""

    record: Record
    at: int
    size: int


@dataclass(frozen=True, slots=True)
class Gap:
    """Bytes that hold no sound record, with the numbers that are missing for it."""

    at: int
    size: int  # 0: the bytes are sound, numbers are missing between them
    fault: Fault | None  # None: only the numbers
    first: int
    last: int | None  # None: not known from this segment alone


@dataclass(slots=True)
class Examined:
    """A segment as it was found."""

    records: list[Placed] = field(default_factory=list)
    gaps: list[Gap] = field(default_factory=list)
    end: int = 0  # behind the last sound record
    torn: int = 0  # bytes behind that, where they are what a crash leaves


def examine(data: bytes | memoryview, begin: int, first: int, newest: bool) -> Examined:
    """Look at all of a segment's bytes from ``begin`` on. ``first``: the number that its head promises.

    What does not check and has nothing sound behind it is a torn end in the newest segment, which was written
    to when the process died; in an older one it is corrupt, as that was whole once.
    """
    found = Examined(end=begin)
    at, expected = begin, first
    while at < len(data):
        read = decode(data, at)
        if isinstance(read, Fault):
            later = _next_sound(data, at, expected)
            if later is None:
                if newest:
                    found.torn = len(data) - at
                else:
                    found.gaps.append(Gap(at, len(data) - at, read, expected, None))
                return found
            sound, place = later
            found.gaps.append(Gap(at, place - at, read, expected, sound.number - 1))
            at, expected = place, sound.number
            continue
        record, end = read
        if record.number < expected:
            # An older record where a newer one belongs: a write that went to the wrong place, or came twice.
            found.gaps.append(Gap(at, end - at, None, expected, expected - 1))
        else:
            if record.number > expected:
                found.gaps.append(Gap(at, 0, None, expected, record.number - 1))
            found.records.append(Placed(record, at, end - at))
            expected = record.number + 1
        at = found.end = end
    return found


def _next_sound(data: bytes | memoryview, at: int, expected: int) -> tuple[Record, int] | None:
    """The next sound record that is newer than what was read so far, and its place."""
    raw = bytes(data[at + 1 :])
    place = raw.find(MARKER)
    while place >= 0:
        read = decode(raw, place)
        if not isinstance(read, Fault) and read[0].number >= expected:
            return read[0], at + 1 + place
        place = raw.find(MARKER, place + 1)
    return None
