"""What the store asks of a disk, and the real one. Every error is an OSError with its errno."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol

from reedmount.store.frame import StoreError

LOCK = "lock"


class File(Protocol):
    """A file that is only added to."""

    def write(self, data: bytes) -> None:
        """Add all of it; the system may hold it."""

    def sync(self) -> None:
        """Have all that was added on the disk. After an error the file is not to be trusted with more."""

    def close(self) -> None:
        """Add no more."""


class Disk(Protocol):
    """A folder of files."""

    def names(self) -> list[str]:
        """The files there, in order."""

    def read(self, name: str) -> bytes:
        """All of a file."""

    def read_at(self, name: str, at: int, size: int) -> bytes:
        """A part of it; less where it ends before."""

    def create(self, name: str) -> File:
        """A new file, in the folder for good."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file's end off."""

    def remove(self, name: str) -> None:
        """Be rid of a file; one that is not there is no error."""


class RealFile:
    """A file of the system."""

    def __init__(self, path: Path) -> None:
        self._fd = os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC, 0o640)

    def write(self, data: bytes) -> None:
        """Add all of it."""
        view = memoryview(data)
        while view:
            view = view[os.write(self._fd, view) :]

    def sync(self) -> None:
        """fdatasync: the length is part of it."""
        os.fdatasync(self._fd)

    def close(self) -> None:
        """Add no more."""
        os.close(self._fd)


class RealDisk:
    """A folder of the system, which no other process may use meanwhile."""

    def __init__(self, folder: Path) -> None:
        """Raises OSError where it cannot be had, StoreError where another process has it."""
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._lock = os.open(folder / LOCK, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o640)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self._lock)
            raise StoreError(f"{folder}: another process uses it") from None

    def names(self) -> list[str]:
        """The files there."""
        return sorted(entry.name for entry in os.scandir(self._folder) if entry.name != LOCK)

    def read(self, name: str) -> bytes:
        """All of a file."""
        return (self._folder / name).read_bytes()

    def read_at(self, name: str, at: int, size: int) -> bytes:
        """A part of it."""
        with (self._folder / name).open("rb", buffering=0) as file:
            return os.pread(file.fileno(), size, at)

    def create(self, name: str) -> File:
        """A new file; the folder is synced, or a crash could take the file with all that was synced in it."""
        made = RealFile(self._folder / name)
        try:
            self._sync_folder()
        except OSError:
            made.close()
            raise
        return made

    def truncate(self, name: str, size: int) -> None:
        """Cut its end off, for good."""
        fd = os.open(self._folder / name, os.O_WRONLY | os.O_CLOEXEC)
        try:
            os.ftruncate(fd, size)
            os.fsync(fd)
        finally:
            os.close(fd)

    def remove(self, name: str) -> None:
        """Be rid of it."""
        (self._folder / name).unlink(missing_ok=True)
        self._sync_folder()

    def close(self) -> None:
        """Let others have the folder."""
        os.close(self._lock)

    def _sync_folder(self) -> None:
        fd = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
