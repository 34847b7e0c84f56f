"""A disk that lies, by seed: for tests and the fault rig, off in production (``[store.faults]``).

What a fault does is done to the real files, so that what is found after a kill is what such a disk would have
left: what a lying sync has not written stays in this process and dies with it.
"""

from __future__ import annotations

import errno
import os
import random
from dataclasses import dataclass
from pathlib import Path

from reedmount.core.checks import COUNTERS
from reedmount.store.disk import Disk, File, RealDisk


@dataclass(frozen=True, slots=True)
class Faults:
    """What the disk does. All off where nothing is said.

    Raises ValueError naming the key where a figure is out of bounds.
    """

    seed: int = 1
    lying_sync: float = 0.0  # 0 to 1: of the syncs, so many are acknowledged and not done
    torn_write: float = 0.0  # of what waits then, a part goes to the disk all the same, cut anywhere
    turned_bits: int = 0  # bits that turn in old records at each opening, 0 to 64
    full_after: int = 0  # bytes, after which there is no room (ENOSPC); 0: never
    unreadable: float = 0.0  # of the reads of a part, so many fail (EIO)
    read_only: bool = False

    def __post_init__(self) -> None:
        """Check the bounds."""
        for key in ("lying_sync", "torn_write", "unreadable"):
            if not 0 <= getattr(self, key) <= 1:
                raise ValueError(f"{key} is {getattr(self, key):g}, allowed are 0 to 1")
        if not 0 <= self.turned_bits <= 64 or self.full_after < 0:
            raise ValueError("turned_bits is not of 0 to 64, or full_after below 0")

    @property
    def any(self) -> bool:
        """Whether it does anything."""
        plain = Faults(self.seed)
        return self != plain


class FaultyFile:
    """A file on such a disk."""

    def __init__(self, disk: FaultyDisk, file: File) -> None:
        self._disk, self._file = disk, file
        self._waiting = bytearray()  # acknowledged, and not on the disk

    def write(self, data: bytes) -> None:
        """Take it, unless there is no room."""
        self._disk.take_room(len(data))
        self._waiting += data

    def sync(self) -> None:
        """Do it, or say so and do nothing, or a part of it."""
        faults, rng = self._disk.faults, self._disk.rng
        if rng.random() >= faults.lying_sync:
            self._write(len(self._waiting))
            self._file.sync()
            return
        COUNTERS.add("store.faults.lying_sync")
        if rng.random() < faults.torn_write:
            COUNTERS.add("store.faults.torn_write")
            self._write(rng.randrange(len(self._waiting) + 1))

    def close(self) -> None:
        """Whole, as the system would have it some time later."""
        self._write(len(self._waiting))
        self._file.close()

    def _write(self, size: int) -> None:
        if size:
            self._file.write(bytes(self._waiting[:size]))
            del self._waiting[:size]


class FaultyDisk:
    """A real folder behind such a disk."""

    def __init__(self, disk: Disk, folder: Path, faults: Faults) -> None:
        self._disk, self._folder, self.faults = disk, folder, faults
        self.rng = random.Random(faults.seed)
        self._written = 0
        self._turn_bits()

    def take_room(self, size: int) -> None:
        """Raises ENOSPC where that was too much."""
        self._written += size
        if self.faults.full_after and self._written > self.faults.full_after:
            COUNTERS.add("store.faults.full")
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def names(self) -> list[str]:
        """The files there."""
        return self._disk.names()

    def read(self, name: str) -> bytes:
        """All of a file."""
        return self._disk.read(name)

    def read_at(self, name: str, at: int, size: int) -> bytes:
        """A part of it, or EIO."""
        if self.rng.random() < self.faults.unreadable:
            COUNTERS.add("store.faults.unreadable")
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        return self._disk.read_at(name, at, size)

    def create(self, name: str) -> File:
        """A new file, or EROFS."""
        self._writable()
        return FaultyFile(self, self._disk.create(name))

    def truncate(self, name: str, size: int) -> None:
        """Cut a file's end off, or EROFS."""
        self._writable()
        self._disk.truncate(name, size)

    def remove(self, name: str) -> None:
        """Be rid of a file, or EROFS."""
        self._writable()
        self._disk.remove(name)

    def _writable(self) -> None:
        if self.faults.read_only:
            COUNTERS.add("store.faults.read_only")
            raise OSError(errno.EROFS, os.strerror(errno.EROFS))

    def _turn_bits(self) -> None:
        """In whatever lies there: an old record turns to other bytes."""
        files = [self._folder / name for name in self._disk.names() if name.endswith(".log")]
        files = [file for file in files if file.stat().st_size]
        for _ in range(self.faults.turned_bits if files else 0):
            file = self.rng.choice(files)
            with file.open("r+b") as opened:
                at = self.rng.randrange(file.stat().st_size)
                opened.seek(at)
                byte = opened.read(1)[0]
                opened.seek(at)
                opened.write(bytes([byte ^ 1 << self.rng.randrange(8)]))
            COUNTERS.add("store.faults.turned_bits")


def disk_of(folder: Path, faults: Faults | None = None) -> Disk:
    """The real disk, or with faults the one that lies. Raises OSError, StoreError."""
    disk = RealDisk(folder)
    return FaultyDisk(disk, folder, faults) if faults is not None and faults.any else disk
