"""The disk interface of the store and its file system implementation. Errors are OSErrors with an errno."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol

from reedmount.store.frame import StoreError

LOCK = "lock"


class File(Protocol):
    """An append-only file."""

    def write(self, data: bytes) -> None:
        """Append all of the data; the system may buffer it."""

    def sync(self) -> None:
        """Flush everything appended to the disk. After an error no more may be written to this file."""

    def close(self) -> None:
        """Close the file."""


class Disk(Protocol):
    """A directory of files."""

    def names(self) -> list[str]:
        """The names of the files, sorted."""

    def read(self, name: str) -> bytes:
        """All of a file."""

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """A range of a file; fewer bytes if the file ends earlier."""

    def create(self, name: str) -> File:
        """Create a file; its directory entry is durable on return."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes."""

    def remove(self, name: str) -> None:
        """Remove a file; a missing one is no error."""


class RealFile:
    """A file of the file system."""

    def __init__(self, path: Path) -> None:
        self._fd = os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC, 0o640)

    def write(self, data: bytes) -> None:
        """Append all of the data."""
        view = memoryview(data)
        while view:
            view = view[os.write(self._fd, view) :]

    def sync(self) -> None:
        """Calls fdatasync, which also flushes the file's length."""
        os.fdatasync(self._fd)

    def close(self) -> None:
        """Close the file."""
        os.close(self._fd)


class RealDisk:
    """A directory of the file system, locked against use by other processes."""

    def __init__(self, folder: Path) -> None:
        """Raises OSError if it cannot be opened, StoreError if another process has locked it."""
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._lock = os.open(folder / LOCK, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o640)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self._lock)
            raise StoreError(f"{folder}: another process uses it") from None

    def names(self) -> list[str]:
        """The names of the files, sorted, without the lock file."""
        return sorted(entry.name for entry in os.scandir(self._folder) if entry.name != LOCK)

    def read(self, name: str) -> bytes:
        """All of a file."""
        return (self._folder / name).read_bytes()

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """A range of a file."""
        with (self._folder / name).open("rb", buffering=0) as file:
            return os.pread(file.fileno(), size, offset)

    def create(self, name: str) -> File:
        """Create a file and sync the directory: otherwise a crash could lose the file and its synced data."""
        created = RealFile(self._folder / name)
        try:
            self._sync_folder()
        except OSError:
            created.close()
            raise
        return created

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file and sync it."""
        fd = os.open(self._folder / name, os.O_WRONLY | os.O_CLOEXEC)
        try:
            os.ftruncate(fd, size)
            os.fsync(fd)
        finally:
            os.close(fd)

    def remove(self, name: str) -> None:
        """Remove a file and sync the directory."""
        (self._folder / name).unlink(missing_ok=True)
        self._sync_folder()

    def close(self) -> None:
        """Release the lock on the directory."""
        os.close(self._lock)

    def _sync_folder(self) -> None:
        fd = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
