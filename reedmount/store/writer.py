"""Batches written and synced on a thread of their own, so that no call waits for a disk."""

from __future__ import annotations

import contextlib
import queue
import socket
import threading
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from reedmount.core.actors import Timer
from reedmount.core.background import Slices, Urgency
from reedmount.core.checks import COUNTERS, log
from reedmount.net.loop import READ, Loop
from reedmount.store.disk import Disk, File
from reedmount.store.log import Batch, Log

TRY_AGAIN = timedelta(seconds=5)  # after a disk has failed
LOOK_EVERY = timedelta(seconds=1)  # whether the log is to be compacted


class _Hand:
    """What the thread has: the file that is written to. Nothing else of the program is touched there."""

    def __init__(self, disk: Disk, sync: bool) -> None:
        self._disk, self._sync = disk, sync
        self._name = ""
        self._file: File | None = None

    def do(self, batch: Batch) -> None:
        """Write one batch, sync it, then let go of files that are not needed any more."""
        if batch.segment:
            if batch.head is not None:
                self.leave()
                self._file, self._name = self._disk.create(batch.segment), batch.segment
                self._file.write(batch.head)
            if self._file is None or self._name != batch.segment:
                raise OSError(f"{batch.segment} is not open")
            self._file.write(batch.data)
            if self._sync:
                self._file.sync()
        for name in batch.remove:
            self._disk.remove(name)

    def leave(self) -> None:
        """Write no more to this file."""
        file, self._file, self._name = self._file, None, ""
        if file is not None:
            file.close()


class Writer:
    """The owner of a log while the program runs: whoever puts something ``kick``s it.

    ``on_durable`` hears of each step of ``log.durable``; ``on_trouble`` whether the disk takes nothing now.
    """

    def __init__(
        self,
        loop: Loop,
        log: Log,
        disk: Disk,
        sync: bool = True,
        on_durable: Callable[[int], None] = lambda _: None,
        on_trouble: Callable[[bool], None] = lambda _: None,
    ) -> None:
        """``sync``: whether a record is durable once it is on the disk, or once the system has it."""
        self._loop, self._log = loop, log
        self._on_durable, self._on_trouble = on_durable, on_trouble
        self._hand = _Hand(disk, sync)
        self._jobs: queue.SimpleQueue[Batch | None] = queue.SimpleQueue()
        self._results: deque[tuple[Batch, OSError | None]] = deque()
        self._inside, self._outside = socket.socketpair()
        self._inside.setblocking(False)
        self._timer: Timer | None = None
        self.failing = False
        self._compacting = False
        loop.watch(self._inside.fileno(), READ, self._ready)
        self._looks = loop.background.every("store", LOOK_EVERY, self._look, Urgency.SWEEP)
        self._thread = threading.Thread(target=self._work, name="store", daemon=True)
        self._thread.start()

    def kick(self) -> None:
        """Something waits: it goes out now, or with all that comes until the batch before it is done."""
        if not self.failing:
            batch = self._log.next_batch()
            if batch is not None:
                self._jobs.put(batch)

    def close(self) -> None:
        """Write what was handed out, no more, and wait for that."""
        self._looks.stop()
        self._jobs.put(None)
        self._thread.join()
        if self._timer is not None:
            self._timer.cancel()
        self._loop.unwatch(self._inside.fileno())
        self._inside.close()
        self._outside.close()

    # --- the thread ---

    def _work(self) -> None:
        while (batch := self._jobs.get()) is not None:
            error = None
            try:
                self._hand.do(batch)
            except OSError as found:
                error = found
            self._results.append((batch, error))
            self._outside.send(b"x")
        with contextlib.suppress(OSError):
            self._hand.leave()

    # --- the loop ---

    def _ready(self, _: int) -> None:
        self._inside.recv(64)
        while self._results:
            batch, error = self._results.popleft()
            if error is None:
                self._done(batch)
            else:
                self._failed(batch, error)
        self.kick()

    def _done(self, batch: Batch) -> None:
        COUNTERS.add("store.batches")
        COUNTERS.add("store.bytes", len(batch.data))
        if self.failing:
            self.failing = False
            self._on_trouble(False)
        self._log.done(batch)
        self._on_durable(self._log.durable)

    def _failed(self, batch: Batch, error: OSError) -> None:
        COUNTERS.add(f"store.failed.{error.errno}")
        log(f"the store's disk: {error}; tried again in {TRY_AGAIN.seconds} s", "store.failed")
        self._log.failed(batch)
        if not self.failing:
            self.failing = True
            self._on_trouble(True)
        self._timer = self._loop.call_later(TRY_AGAIN, self._again)

    def _again(self) -> None:
        """One batch as a trial: ``failing`` stays until it has come through."""
        batch = self._log.next_batch()
        if batch is not None:
            self._jobs.put(batch)
        else:  # what failed was no more than a file that should go
            self.failing = False
            self._on_trouble(False)

    def _look(self) -> Slices:
        if self._compacting or self.failing or not self._log.wants_compaction:
            return
        self._compacting = True
        try:
            for _ in self._log.compact():
                self.kick()
                yield
        except OSError as error:
            COUNTERS.add("store.not_compacted")
            log(f"the store's oldest segment: {error}", "store.not_compacted")
        finally:
            self._compacting = False
        self.kick()
