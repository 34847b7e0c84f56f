"""Storage options on this machine: cost per record, and how each handles a file with a flipped bit.

    python -m benchmarks.storage cost
    python -m benchmarks.storage flips
    python -m benchmarks.storage opening

``docs/design/replicas.md`` has the tables and the choice. Each trial of ``flips`` is a process of its own,
since a corrupt file may crash the reader.
"""

from __future__ import annotations

import os
import random
import resource
import sqlite3
import struct
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import click
import crc32c
import lmdb

from reedmount.store.disk import RealDisk
from reedmount.store.log import Log
from reedmount.store.writer import _DiskThread

RECORD = 600  # bytes: an established call with its two dialogs
MAP_SIZE = 1 << 28
HEADER = struct.Struct("<IIQ")
RECORD_COUNT = 500  # records in a file before a bit is flipped
Records = list[tuple[int, bytes]]


def record(number: int) -> bytes:
    """Return the bytes of a record, different for each number and reproducible."""
    return random.Random(number).randbytes(RECORD)


class Segment:
    """An append-only file with a checksum per record."""

    def __init__(self, folder: Path, sync: bool) -> None:
        self._fd = os.open(folder / "log", os.O_CREAT | os.O_RDWR | os.O_APPEND)
        self._sync = sync

    def write(self, records: Records) -> None:
        """Write a batch."""
        out = []
        for number, data in records:
            rest = HEADER.pack(0, len(data), number)[4:] + data
            out += [crc32c.crc32c(rest).to_bytes(4, "little"), rest]
        os.write(self._fd, b"".join(out))
        if self._sync:
            os.fdatasync(self._fd)

    def read(self) -> Records:
        """Read all records; raise ValueError at the first corrupt one."""
        found, raw, at = [], os.pread(self._fd, MAP_SIZE, 0), 0
        while at < len(raw):
            check, size, number = HEADER.unpack_from(raw, at)
            end = at + HEADER.size + size
            if crc32c.crc32c(raw[at + 4 : end]) != check:
                raise ValueError("checksum")
            found.append((number, raw[at + HEADER.size : end]))
            at += HEADER.size + size
        return found


class Lmdb:
    """LMDB, keys in ascending order."""

    def __init__(self, folder: Path, sync: bool) -> None:
        self._env = lmdb.open(str(folder), map_size=MAP_SIZE, sync=sync, metasync=False)

    def write(self, records: Records) -> None:
        """Write a batch in one transaction."""
        with self._env.begin(write=True) as work:
            for number, data in records:
                work.put(struct.pack(">Q", number), data, append=True)

    def read(self) -> Records:
        """Read all records."""
        with self._env.begin() as work:
            return [(struct.unpack(">Q", key)[0], bytes(data)) for key, data in work.cursor()]


class Sqlite:
    """SQLite in WAL mode."""

    def __init__(self, folder: Path, sync: bool) -> None:
        self._db = sqlite3.connect(folder / "db")
        self._db.execute("pragma journal_mode=wal")
        self._db.execute(f"pragma synchronous={'full' if sync else 'off'}")
        self._db.execute("create table if not exists log (number integer primary key, data blob)")

    def write(self, records: Records) -> None:
        """Write a batch in one transaction."""
        with self._db:
            self._db.executemany("insert into log values (?, ?)", records)

    def read(self) -> Records:
        """Read all records."""
        return list(self._db.execute("select number, data from log order by number"))


Store = Segment | Lmdb | Sqlite
OPTIONS: dict[str, Callable[[Path, bool], Store]] = {"segment": Segment, "lmdb": Lmdb, "sqlite": Sqlite}


@click.group()
def main() -> None:
    """Measure storage options."""


@main.command()
@click.option("--count", default=4096, show_default=True, help="records of each option")
def cost(count: int) -> None:
    """Microseconds per record by batch size, with and without a sync of each batch: the best of five."""
    click.echo("| | sync | batch | wall, us a record | processor, us a record |")
    click.echo("| --- | --- | --- | --- | --- |")
    for sync in (True, False):
        for batch in (1, 8, 64):
            for name, make in OPTIONS.items():
                walls, busy = [], []
                for _ in range(5):
                    with tempfile.TemporaryDirectory() as folder:
                        store = make(Path(folder), sync)
                        records = [(number, record(number)) for number in range(count // (8 if sync else 1))]
                        wall, used = time.perf_counter(), time.process_time()
                        for at in range(0, len(records), batch):
                            store.write(records[at : at + batch])
                        walls.append((time.perf_counter() - wall) / len(records) * 1e6)
                        busy.append((time.process_time() - used) / len(records) * 1e6)
                words = "yes" if sync else "no"
                click.echo(f"| {name} | {words} | {batch} | {min(walls):.1f} | {min(busy):.1f} |")


@main.command()
@click.option("--counts", default="10000,100000,1000000", show_default=True)
def opening(counts: str) -> None:
    """Time to open the log of the program and its memory, by number of records."""
    click.echo("| records | bytes, MB | opened after, s | memory, MB | a read, us |")
    click.echo("| --- | --- | --- | --- | --- |")
    for count in (int(text) for text in counts.split(",")):
        with tempfile.TemporaryDirectory() as text:
            for step in ("write", "read"):
                command = [sys.executable, "-m", "benchmarks.storage", "part", step, text, str(count)]
                done = subprocess.run(command, capture_output=True, text=True, check=True)
        click.echo(done.stdout.strip())


@main.command()
@click.argument("step", type=click.Choice(["write", "read"]))
@click.argument("folder", type=click.Path(path_type=Path))
@click.argument("count", type=int)
def part(step: str, folder: Path, count: int) -> None:
    """Run one step of ``opening`` in a process of its own."""
    disk = RealDisk(folder)
    log = Log(disk)
    if step == "write":
        executor = _DiskThread(disk, sync=False)
        for number in range(count):
            log.put(b"call-%08d" % number, record(number % 100))
            if number % 1000 == 999 or number == count - 1:
                while (batch := log.next_batch()) is not None:
                    executor.write_batch(batch)
                    log.done(batch)
        return
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    began = time.perf_counter()
    log.open()
    duration_s = time.perf_counter() - began
    memory = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1024
    assert len(log) == count and log.opened.whole
    began = time.perf_counter()
    for number in range(0, count, max(1, count // 1000)):
        assert log.get(b"call-%08d" % number) == record(number % 100)
    read = (time.perf_counter() - began) / min(count, 1000) * 1e6
    click.echo(f"| {count:,} | {log.size / 1e6:.0f} | {duration_s:.2f} | {memory:.0f} | {read:.0f} |")


@main.command()
@click.option("--plays", default=200, show_default=True)
def flips(plays: int) -> None:
    """Count what a reader returns after one bit of the file was flipped at a random position."""
    click.echo("| | as written | an error | something else, in silence | the process ended |")
    click.echo("| --- | --- | --- | --- | --- |")
    for name in OPTIONS:
        found: Counter[str] = Counter()
        for seed in range(plays):
            done = subprocess.run(
                [sys.executable, "-m", "benchmarks.storage", "flip", name, str(seed)],
                capture_output=True, text=True, check=False,
            )  # fmt: skip
            found[done.stdout.strip() if done.returncode == 0 else "ended"] += 1
        click.echo(f"| {name} | {found['same']} | {found['error']} | {found['other']} | {found['ended']} |")


@main.command()
@click.argument("name", type=click.Choice(sorted(OPTIONS)))
@click.argument("seed", type=int)
def flip(name: str, seed: int) -> None:
    """Run one trial: write in a child process, flip a bit, and read."""
    written = [(number, record(number)) for number in range(RECORD_COUNT)]
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        child = os.fork()
        if not child:  # keeps no state of the writer in this process
            OPTIONS[name](folder, True).write(written)
            os._exit(0)
        os.waitpid(child, 0)
        files = [file for file in sorted(folder.iterdir()) if file.stat().st_size and "lock" not in file.name]
        rng = random.Random(seed)
        file = rng.choices(files, [file.stat().st_size for file in files])[0]
        raw = bytearray(file.read_bytes())
        used = len(raw.rstrip(b"\0"))
        raw[rng.randrange(used)] ^= 1 << rng.randrange(8)
        file.write_bytes(raw)
        try:
            read = OPTIONS[name](folder, True).read()
        except (ValueError, struct.error, lmdb.Error, sqlite3.Error):
            click.echo("error")
        else:
            click.echo("same" if read == written else "other")


if __name__ == "__main__":
    main()
