"""Writes and syncs batches on a separate thread, so that no call waits for the disk."""

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

RETRY_INTERVAL = timedelta(seconds=5)  # after a disk error
COMPACTION_CHECK_INTERVAL = timedelta(seconds=1)  # between two checks whether to compact the log


class _DiskThread:
    """The disk thread's state: the file being written. The thread touches nothing else of the program."""

    def __init__(self, disk: Disk, sync: bool) -> None:
        self._disk, self._sync = disk, sync
        self._name = ""
        self._file: File | None = None

    def write_batch(self, batch: Batch) -> None:
        """Write and sync one batch, then remove the files that are no longer needed."""
        if batch.segment:
            if batch.header is not None:
                self.close_file()
                self._file, self._name = self._disk.create(batch.segment), batch.segment
                self._file.write(batch.header)
            if self._file is None or self._name != batch.segment:
                raise OSError(f"{batch.segment} is not open")
            self._file.write(batch.data)
            if self._sync:
                self._file.sync()
        for name in batch.remove:
            self._disk.remove(name)

    def close_file(self) -> None:
        """Close the current file."""
        file, self._file, self._name = self._file, None, ""
        if file is not None:
            file.close()


class Writer:
    """Drives a log while the program runs; call ``kick`` after adding records to it.

    ``on_durable`` is called with each new value of ``log.durable``; ``on_failing_changed`` with True when the
    disk starts to fail and with False when it works again.
    """

    def __init__(
        self,
        loop: Loop,
        log: Log,
        disk: Disk,
        sync: bool = True,
        on_durable: Callable[[int], None] = lambda _: None,
        on_failing_changed: Callable[[bool], None] = lambda _: None,
    ) -> None:
        """``sync``: whether a record counts as durable after fsync, or already after write."""
        self._loop, self._log = loop, log
        self._on_durable, self._on_failing_changed = on_durable, on_failing_changed
        self._disk_thread = _DiskThread(disk, sync)
        self._jobs: queue.SimpleQueue[Batch | None] = queue.SimpleQueue()
        self._results: deque[tuple[Batch, OSError | None]] = deque()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._timer: Timer | None = None
        self.failing = False
        self._compacting = False
        loop.watch(self._wake_receiver.fileno(), READ, self._on_results)
        self._compaction_job = loop.background.every(
            "store", COMPACTION_CHECK_INTERVAL, self._compact_if_needed, Urgency.SWEEP
        )
        self._thread = threading.Thread(target=self._run_thread, name="store", daemon=True)
        self._thread.start()

    def kick(self) -> None:
        """Start writing what is waiting; while a batch is in progress, it is collected for the next one."""
        if not self.failing:
            batch = self._log.next_batch()
            if batch is not None:
                self._jobs.put(batch)

    def close(self) -> None:
        """Finish the batch in progress, without starting another, and stop the thread."""
        self._compaction_job.stop()
        self._jobs.put(None)
        self._thread.join()
        if self._timer is not None:
            self._timer.cancel()
        self._loop.unwatch(self._wake_receiver.fileno())
        self._wake_receiver.close()
        self._wake_sender.close()

    # --- the thread ---

    def _run_thread(self) -> None:
        while (batch := self._jobs.get()) is not None:
            error = None
            try:
                self._disk_thread.write_batch(batch)
            except OSError as raised:
                error = raised
            self._results.append((batch, error))
            self._wake_sender.send(b"x")
        with contextlib.suppress(OSError):
            self._disk_thread.close_file()

    # --- the loop ---

    def _on_results(self, _: int) -> None:
        self._wake_receiver.recv(64)
        while self._results:
            batch, error = self._results.popleft()
            if error is None:
                self._batch_done(batch)
            else:
                self._batch_failed(batch, error)
        self.kick()

    def _batch_done(self, batch: Batch) -> None:
        COUNTERS.add("store.batches")
        COUNTERS.add("store.bytes", len(batch.data))
        if self.failing:
            self.failing = False
            self._on_failing_changed(False)
        self._log.done(batch)
        self._on_durable(self._log.durable)

    def _batch_failed(self, batch: Batch, error: OSError) -> None:
        COUNTERS.add(f"store.failed.{error.errno}")
        log(f"writing to the store failed: {error}; retrying in {RETRY_INTERVAL.seconds} s", "store.failed")
        self._log.failed(batch)
        if not self.failing:
            self.failing = True
            self._on_failing_changed(True)
        self._timer = self._loop.call_later(RETRY_INTERVAL, self._retry)

    def _retry(self) -> None:
        """Try one batch; ``failing`` stays set until it succeeds."""
        batch = self._log.next_batch()
        if batch is not None:
            self._jobs.put(batch)
        else:  # only the removal of a file had failed
            self.failing = False
            self._on_failing_changed(False)

    def _compact_if_needed(self) -> Slices:
        if self._compacting or self.failing or not self._log.needs_compaction:
            return
        self._compacting = True
        try:
            for _ in self._log.compact():
                self.kick()
                yield
        except OSError as error:
            COUNTERS.add("store.not_compacted")
            log(f"compaction of the store's oldest segment failed: {error}", "store.not_compacted")
        finally:
            self._compacting = False
        self.kick()
