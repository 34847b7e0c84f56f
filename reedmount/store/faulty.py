"""A disk with injected, seeded faults: for tests and the fault rig, off in production (``[store.faults]``).

Faults are applied to the real files, so that after a kill they are as such a disk would have left them: data
that a false sync has not written stays in this process's memory and is lost with it.
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
    """The faults to inject; by default none.

    Raises ValueError naming the key if a value is out of range.
    """

    seed: int = 1
    lying_sync: float = 0.0  # 0 to 1: share of the syncs that are acknowledged but not done
    torn_write: float = 0.0  # share of those that write a prefix of random length
    turned_bits: int = 0  # bits flipped in stored records at each opening, 0 to 64
    full_after: int = 0  # bytes written before the disk is full (ENOSPC); 0: never
    unreadable: float = 0.0  # share of the range reads that fail (EIO)
    read_only: bool = False

    def __post_init__(self) -> None:
        """Check the ranges."""
        for key in ("lying_sync", "torn_write", "unreadable"):
            if not 0 <= getattr(self, key) <= 1:
                raise ValueError(f"{key} is {getattr(self, key):g}, allowed are 0 to 1")
        if not 0 <= self.turned_bits <= 64 or self.full_after < 0:
            raise ValueError("turned_bits is not of 0 to 64, or full_after below 0")

    @property
    def enabled(self) -> bool:
        """Whether any fault is enabled."""
        defaults = Faults(self.seed)
        return self != defaults


class FaultyFile:
    """A file on a faulty disk."""

    def __init__(self, disk: FaultyDisk, file: File) -> None:
        self._disk, self._file = disk, file
        self._buffer = bytearray()  # acknowledged but not on the disk

    def write(self, data: bytes) -> None:
        """Buffer the data; raises ENOSPC if the disk is full."""
        self._disk.reserve_space(len(data))
        self._buffer += data

    def sync(self) -> None:
        """Sync, or by fault report success after writing nothing or only a part."""
        faults, rng = self._disk.faults, self._disk.rng
        if rng.random() >= faults.lying_sync:
            self._write(len(self._buffer))
            self._file.sync()
            return
        COUNTERS.add("store.faults.lying_sync")
        if rng.random() < faults.torn_write:
            COUNTERS.add("store.faults.torn_write")
            self._write(rng.randrange(len(self._buffer) + 1))

    def close(self) -> None:
        """Write the buffer in full, as the system would write it back some time later, and close."""
        self._write(len(self._buffer))
        self._file.close()

    def _write(self, size: int) -> None:
        if size:
            self._file.write(bytes(self._buffer[:size]))
            del self._buffer[:size]


class FaultyDisk:
    """A real directory with injected faults."""

    def __init__(self, disk: Disk, folder: Path, faults: Faults) -> None:
        self._disk, self._folder, self.faults = disk, folder, faults
        self.rng = random.Random(faults.seed)
        self._written = 0
        self._flip_bits()

    def reserve_space(self, size: int) -> None:
        """Count bytes to be written; raises ENOSPC once the limit is exceeded."""
        self._written += size
        if self.faults.full_after and self._written > self.faults.full_after:
            COUNTERS.add("store.faults.full")
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def names(self) -> list[str]:
        """The names of the files, sorted."""
        return self._disk.names()

    def read(self, name: str) -> bytes:
        """All of a file."""
        return self._disk.read(name)

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """A range of a file; raises EIO by fault."""
        if self.rng.random() < self.faults.unreadable:
            COUNTERS.add("store.faults.unreadable")
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        return self._disk.read_at(name, offset, size)

    def create(self, name: str) -> File:
        """Create a file; raises EROFS by fault."""
        self._require_writable()
        return FaultyFile(self, self._disk.create(name))

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file; raises EROFS by fault."""
        self._require_writable()
        self._disk.truncate(name, size)

    def remove(self, name: str) -> None:
        """Remove a file; raises EROFS by fault."""
        self._require_writable()
        self._disk.remove(name)

    def _require_writable(self) -> None:
        if self.faults.read_only:
            COUNTERS.add("store.faults.read_only")
            raise OSError(errno.EROFS, os.strerror(errno.EROFS))

    def _flip_bits(self) -> None:
        """Flip random bits of existing segments, as bit rot in old records does."""
        files = [self._folder / name for name in self._disk.names() if name.endswith(".log")]
        files = [file for file in files if file.stat().st_size]
        for _ in range(self.faults.turned_bits if files else 0):
            file = self.rng.choice(files)
            with file.open("r+b") as opened:
                offset = self.rng.randrange(file.stat().st_size)
                opened.seek(offset)
                byte = opened.read(1)[0]
                opened.seek(offset)
                opened.write(bytes([byte ^ 1 << self.rng.randrange(8)]))
            COUNTERS.add("store.faults.turned_bits")


def disk_of(folder: Path, faults: Faults | None = None) -> Disk:
    """The real disk, or with faults enabled the faulty one. Raises OSError, StoreError."""
    disk = RealDisk(folder)
    return FaultyDisk(disk, folder, faults) if faults is not None and faults.enabled else disk
