"""The owner (leader) of one shard: appends steps, replicates them to the holders, tracks what is durable.
No I/O.

The first owner is the member that created the shard; after a failover it is the member that won a higher
term. Each holder is sent what its acknowledgements show to be missing. A connection is trusted only to
deliver in order.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import datetime, timedelta

from reedmount.core.checks import COUNTERS, invariant
from reedmount.replicas.messages import (
    MAX_ENTRIES,
    Ack,
    Append,
    Close,
    Entry,
    Message,
    Phase,
    ShardId,
    Snapshot,
    split_entries,
)  # fmt: skip
from reedmount.replicas.shard_replica import ShardReplica

MAX_LOG = 65_536  # steps retained for holders that lag; holders further behind get a snapshot
MAX_STEPS_IN_FLIGHT = 1024  # unacknowledged steps per holder
MAX_PAGES_IN_FLIGHT = 4  # snapshot pages in flight per holder; bounds the cost of a repair
ACK_TIMEOUT = timedelta(milliseconds=500)  # a lagging holder that is silent for this long is probed


@dataclass(frozen=True, slots=True)
class Send:
    """A message to send to another member."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Durable:
    """All steps up to ``seq`` survive the loss of f machines with their disks."""

    shard: ShardId
    seq: int


class SnapshotPages:
    """A snapshot that is being sent. It is split into pages as they are sent, so that a long one costs
    one page at a time."""

    def __init__(self, entries: list[Entry], end_seq: int) -> None:
        self.end_seq, self.sent = end_seq, 0
        # The start index of each page built so far, and of the next one.
        self._entries, self._page_starts = entries, [0]

    def page(self, number: int) -> tuple[list[Entry], bool]:
        """Returns one page and whether it is the last. A page can be requested again once all pages
        before it have been built."""
        start = self._page_starts[number]
        batch = split_entries(self._entries[start : start + MAX_ENTRIES])[0]
        if len(self._page_starts) == number + 1:
            self._page_starts.append(start + len(batch))
        return batch, start + len(batch) >= len(self._entries)

    @property
    def all_sent(self) -> bool:
        """Whether the last page has been sent."""
        return self.sent > 0 and self._page_starts[self.sent] >= len(self._entries)


@dataclass(slots=True)
class HolderProgress:
    """Replication progress of one holder, as known by the owner."""

    acked: int = 0
    sent: int = 0
    complete: bool = False  # its replica counts towards durability
    probing: bool = False  # waiting for its position; nothing is sent before it answers
    snapshot: SnapshotPages | None = None  # snapshot in progress
    last_contact_at: datetime | None = None


class ShardOwner:
    """Owns the shard's replica, its recent steps and the progress of each holder."""

    def __init__(self, replica: ShardReplica, holders: tuple[str, ...], faults: int) -> None:
        """A new shard or, if ``replica`` has entries, one that was taken over; each holder then gets a
        snapshot, because its own entries may be of another term."""
        self.replica, self.faults = replica, faults
        self.durable = 0
        self.persisted = 0  # the local replica is persisted (on disk or in memory) up to this step
        self.fenced = False
        self._progress = {name: HolderProgress() for name in holders}
        self._recent_entries: deque[Entry] = deque()
        self._last_sent_seq = 0  # the highest step ever sent to any holder
        self._outputs: list[Send | Durable] = []

    @property
    def shard(self) -> ShardId:
        """The shard's id."""
        return self.replica.shard

    @property
    def holders(self) -> tuple[str, ...]:
        """The members that hold a replica of this shard."""
        return tuple(self._progress)

    # --- interface ---

    def append(self, key: str, phase: Phase, data: bytes) -> Entry:
        """Appends the next step of a call."""
        entry = Entry(self.replica.seq + 1, key, phase, data, self.replica.term)
        self.replica.add(entry)
        self._recent_entries.append(entry)
        if len(self._recent_entries) > MAX_LOG:
            self._recent_entries.popleft()
        return entry

    def record_local_persisted(self, seq: int) -> None:
        """The owner's own replica has been persisted up to ``seq``."""
        self.persisted = max(self.persisted, seq)
        self._update_durable()

    def connected(self, now: datetime, name: str) -> None:
        """A connection to a holder has been established, possibly after a loss: messages in flight may be
        lost."""
        progress = self._progress.get(name)
        if progress is not None and not self.fenced:
            self._probe(now, name, progress)

    def disconnected(self, name: str) -> None:
        """The connection to a holder has been lost: nothing is sent until it has reported its position. A
        step that was never sent is therefore unknown to others, should another member take over the shard
        meanwhile."""
        progress = self._progress.get(name)
        if progress is not None:
            progress.probing = True

    def flush(self, now: datetime) -> None:
        """Sends each holder the steps it lacks. Steps appended in the same turn go out together."""
        if self.fenced:
            return
        for name, progress in self._progress.items():
            if progress.complete and not progress.probing:
                self._send_entries(name, progress)

    def tick(self, now: datetime) -> None:
        """Probes the position of holders that are behind and have not answered in time."""
        if self.fenced:
            return
        for name, progress in self._progress.items():
            behind = progress.acked < self.replica.seq or not progress.complete
            if behind and (progress.last_contact_at is None or now - progress.last_contact_at >= ACK_TIMEOUT):
                self._probe(now, name, progress)

    def receive_ack(self, now: datetime, name: str, ack: Ack) -> None:
        """Handles an acknowledgement of a holder."""
        progress = self._progress.get(name)
        if progress is None or self.fenced or ack.term != self.replica.term and ack.complete:
            return
        progress.last_contact_at = now
        if not ack.complete or ack.seq > self.replica.seq:
            self._continue_snapshot(name, progress, ack)
            return
        if progress.probing or not progress.complete:
            progress.sent = ack.seq
        progress.probing, progress.complete, progress.snapshot = False, True, None
        progress.acked = max(progress.acked, ack.seq)
        self._update_durable()
        self._send_entries(name, progress)

    def close(self) -> list[Send | Durable]:
        """The shard is empty: tells the holders to delete it."""
        self._outputs += [Send(name, Close(self.shard, self.replica.term)) for name in self._progress]
        return self.take_outputs()

    def take_outputs(self) -> list[Send | Durable]:
        """Returns the messages to send and clears them."""
        outputs, self._outputs = self._outputs, []
        return outputs

    def was_sent(self, entry: Entry) -> bool:
        """Whether another member may know of this step."""
        return entry.seq <= self._last_sent_seq

    # --- holders ---

    @property
    def settled(self) -> int:
        """The highest step that every replica has; it does not advance while a holder is incomplete."""
        return min(
            (progress.acked if progress.complete else 0 for progress in self._progress.values()),
            default=self.persisted,
        )

    @property
    def _first_recent_seq(self) -> int:
        """The first step that can still be sent without a snapshot."""
        return self._recent_entries[0].seq if self._recent_entries else self.replica.seq + 1

    def _probe(self, now: datetime, name: str, progress: HolderProgress) -> None:
        progress.probing, progress.last_contact_at = True, now
        self._outputs.append(
            Send(name, Append(self.shard, self.replica.term, progress.acked, [], self.settled))
        )

    def _send_entries(self, name: str, progress: HolderProgress) -> None:
        if progress.sent >= self.replica.seq or progress.sent - progress.acked >= MAX_STEPS_IN_FLIGHT:
            return
        start = progress.sent - self._first_recent_seq + 1
        if start < 0:
            self._start_snapshot(name, progress)
            return
        entries = [
            self._recent_entries[at]
            for at in range(start, min(len(self._recent_entries), start + MAX_STEPS_IN_FLIGHT))
        ]
        for batch in split_entries(entries):
            append = Append(self.shard, self.replica.term, progress.sent, batch, self.settled)
            self._outputs.append(Send(name, append))
            progress.sent = batch[-1].seq
        self._last_sent_seq = max(self._last_sent_seq, progress.sent)

    def _continue_snapshot(self, name: str, progress: HolderProgress, ack: Ack) -> None:
        """The holder has no base to append to: sends a snapshot, or the next pages of the one in progress."""
        snapshot = progress.snapshot
        if snapshot is not None and 0 < ack.pages <= snapshot.sent and ack.seq == snapshot.end_seq:
            if progress.probing:
                snapshot.sent = ack.pages  # pages in flight when the connection broke are lost
            progress.probing = False
            self._next_pages(name, snapshot, ack.pages)
        elif progress.probing or progress.complete:
            self._start_snapshot(name, progress)

    def _start_snapshot(self, name: str, progress: HolderProgress) -> None:
        COUNTERS.add("replicas.snapshots")
        progress.snapshot = SnapshotPages(list(self.replica), self.replica.seq)
        progress.probing, progress.complete, progress.sent, progress.acked = False, False, self.replica.seq, 0
        self._next_pages(name, progress.snapshot, 0)

    def _next_pages(self, name: str, snapshot: SnapshotPages, received: int) -> None:
        while snapshot.sent < received + MAX_PAGES_IN_FLIGHT and not snapshot.all_sent:
            entries, last = snapshot.page(snapshot.sent)
            page = Snapshot(self.shard, self.replica.term, snapshot.end_seq, snapshot.sent, last, entries)
            self._outputs.append(Send(name, page))
            snapshot.sent += 1
        self._last_sent_seq = max(self._last_sent_seq, snapshot.end_seq)

    def _update_durable(self) -> None:
        """A step is durable once f holders and this member have persisted it, or f + 1 holders if the
        local replica has not been persisted."""
        acks = sorted(
            (progress.acked for progress in self._progress.values() if progress.complete), reverse=True
        )
        with_local = min(self.persisted, acks[self.faults - 1]) if len(acks) >= self.faults > 0 else 0
        if not self.faults:
            with_local = self.persisted
        without_local = acks[self.faults] if len(acks) > self.faults else 0
        durable = max(with_local, without_local)
        if durable > self.durable:
            invariant(durable <= self.replica.seq, "durable_is_written")
            self.durable = durable
            self._outputs.append(Durable(self.shard, durable))
