"""The writer of one shard: steps in, copies to its holders, and what is durable. No I/O.

The owner by birth, and with a higher term whoever acts for it. Each holder is told what it lacks as its
answers say; nothing is believed of a connection but that what came through it came in order.
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
    parts,
)  # fmt: skip
from reedmount.replicas.shard_replica import Copy

MAX_LOG = 65_536  # steps that are kept for holders that are behind: beyond that they get a snapshot
WINDOW = 1024  # steps on their way to one holder
PAGES = 4  # of a snapshot on their way to one holder: what repair may cost at once
ASK_AGAIN = timedelta(milliseconds=500)  # a holder that said nothing for so long is asked where it is


@dataclass(frozen=True, slots=True)
class Send:
    """A message for another member."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Durable:
    """Everything up to ``seq`` outlives f machines with their disks."""

    shard: ShardId
    seq: int


class Pages:
    """A snapshot as it goes out: parted as it is sent, so that a long one costs a page at a time."""

    def __init__(self, entries: list[Entry], upto: int) -> None:
        self.upto, self.sent = upto, 0
        self._entries, self._begins = entries, [0]  # of each page so far, and of the next one

    def page(self, number: int) -> tuple[list[Entry], bool]:
        """One of them, and whether it is the last. Each can be had again after the ones before it."""
        begin = self._begins[number]
        part = parts(self._entries[begin : begin + MAX_ENTRIES])[0]
        if len(self._begins) == number + 1:
            self._begins.append(begin + len(part))
        return part, begin + len(part) >= len(self._entries)

    @property
    def over(self) -> bool:
        """Whether all of it was sent."""
        return self.sent > 0 and self._begins[self.sent] >= len(self._entries)


@dataclass(slots=True)
class Peer:
    """One holder, as the owner knows it."""

    acked: int = 0
    sent: int = 0
    complete: bool = False  # its copy counts
    asked: bool = False  # where it is; nothing is sent before it has answered
    snapshot: Pages | None = None  # that is under way
    heard_at: datetime | None = None


class Owner:
    """It owns the shard's copy, its latest steps and what is known of each holder."""

    def __init__(self, copy: Copy, holders: tuple[str, ...], faults: int) -> None:
        """A new shard, or with a copy that has something in it one that was taken over: then each holder gets
        a snapshot, as what it has may be of another term."""
        self.copy, self.faults = copy, faults
        self.durable = 0
        self.kept = 0  # up to here our own copy is where it should be (the disk, or memory)
        self.fenced = False
        self._peers = {name: Peer() for name in holders}
        self._log: deque[Entry] = deque()
        self._offered = 0  # the last step that ever left for anybody
        self._out: list[Send | Durable] = []

    @property
    def shard(self) -> ShardId:
        """Which one."""
        return self.copy.shard

    @property
    def holders(self) -> tuple[str, ...]:
        """Who is told."""
        return tuple(self._peers)

    # --- what the owner of this calls ---

    def append(self, key: str, phase: Phase, data: bytes) -> Entry:
        """The next step of a call."""
        entry = Entry(self.copy.seq + 1, key, phase, data, self.copy.term)
        self.copy.add(entry)
        self._log.append(entry)
        if len(self._log) > MAX_LOG:
            self._log.popleft()
        return entry

    def kept_here(self, seq: int) -> None:
        """Our own copy is where it should be, up to here."""
        self.kept = max(self.kept, seq)
        self._count()

    def connected(self, now: datetime, name: str) -> None:
        """A way to a holder is there, maybe again: what was on its way may be lost."""
        peer = self._peers.get(name)
        if peer is not None and not self.fenced:
            self._ask(now, name, peer)

    def lost(self, name: str) -> None:
        """The way to a holder is not there any more: nothing is sent before it has said where it is. A step
        that never left is nobody else's, should we be cut off for so long that another takes the shard."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.asked = True

    def flush(self, now: datetime) -> None:
        """Tell each holder what it lacks. Steps that come in one turn go out together."""
        if self.fenced:
            return
        for name, peer in self._peers.items():
            if peer.complete and not peer.asked:
                self._tell(name, peer)

    def tick(self, now: datetime) -> None:
        """Some time has passed: ask those who owe an answer where they are."""
        if self.fenced:
            return
        for name, peer in self._peers.items():
            behind = peer.acked < self.copy.seq or not peer.complete
            if behind and (peer.heard_at is None or now - peer.heard_at >= ASK_AGAIN):
                self._ask(now, name, peer)

    def acked(self, now: datetime, name: str, ack: Ack) -> None:
        """A holder says what it has."""
        peer = self._peers.get(name)
        if peer is None or self.fenced or ack.term != self.copy.term and ack.complete:
            return
        peer.heard_at = now
        if not ack.complete or ack.seq > self.copy.seq:
            self._lacks(name, peer, ack)
            return
        if peer.asked or not peer.complete:
            peer.sent = ack.seq
        peer.asked, peer.complete, peer.snapshot = False, True, None
        peer.acked = max(peer.acked, ack.seq)
        self._count()
        self._tell(name, peer)

    def close(self) -> list[Send | Durable]:
        """Nothing is left: the holders may forget it."""
        self._out += [Send(name, Close(self.shard, self.copy.term)) for name in self._peers]
        return self.taken()

    def taken(self) -> list[Send | Durable]:
        """What has to go out, once."""
        out, self._out = self._out, []
        return out

    def offered(self, entry: Entry) -> bool:
        """Whether anybody else may know of this step."""
        return entry.seq <= self._offered

    # --- holders ---

    @property
    def settled(self) -> int:
        """Up to here every copy has all; it stands still while one is not complete."""
        return min((peer.acked if peer.complete else 0 for peer in self._peers.values()), default=self.kept)

    @property
    def _begins(self) -> int:
        """The first step that is still here to be told alone."""
        return self._log[0].seq if self._log else self.copy.seq + 1

    def _ask(self, now: datetime, name: str, peer: Peer) -> None:
        peer.asked, peer.heard_at = True, now
        self._out.append(Send(name, Append(self.shard, self.copy.term, peer.acked, [], self.settled)))

    def _tell(self, name: str, peer: Peer) -> None:
        if peer.sent >= self.copy.seq or peer.sent - peer.acked >= WINDOW:
            return
        begin = peer.sent - self._begins + 1
        if begin < 0:
            self._snapshot(name, peer)
            return
        entries = [self._log[at] for at in range(begin, min(len(self._log), begin + WINDOW))]
        for part in parts(entries):
            append = Append(self.shard, self.copy.term, peer.sent, part, self.settled)
            self._out.append(Send(name, append))
            peer.sent = part[-1].seq
        self._offered = max(self._offered, peer.sent)

    def _lacks(self, name: str, peer: Peer, ack: Ack) -> None:
        """It has nothing to go on from: a snapshot, or the next pages of the one that is under way."""
        snapshot = peer.snapshot
        if snapshot is not None and 0 < ack.pages <= snapshot.sent and ack.seq == snapshot.upto:
            if peer.asked:
                snapshot.sent = ack.pages  # what was on its way when the link broke is lost
            peer.asked = False
            self._next_pages(name, snapshot, ack.pages)
        elif peer.asked or peer.complete:
            self._snapshot(name, peer)

    def _snapshot(self, name: str, peer: Peer) -> None:
        COUNTERS.add("replicas.snapshots")
        peer.snapshot = Pages(list(self.copy), self.copy.seq)
        peer.asked, peer.complete, peer.sent, peer.acked = False, False, self.copy.seq, 0
        self._next_pages(name, peer.snapshot, 0)

    def _next_pages(self, name: str, snapshot: Pages, got: int) -> None:
        while snapshot.sent < got + PAGES and not snapshot.over:
            entries, last = snapshot.page(snapshot.sent)
            page = Snapshot(self.shard, self.copy.term, snapshot.upto, snapshot.sent, last, entries)
            self._out.append(Send(name, page))
            snapshot.sent += 1
        self._offered = max(self._offered, snapshot.upto)

    def _count(self) -> None:
        """f others and ourselves have it, or f + 1 others where our own copy is not what it should be."""
        acks = sorted((peer.acked for peer in self._peers.values() if peer.complete), reverse=True)
        with_us = min(self.kept, acks[self.faults - 1]) if len(acks) >= self.faults > 0 else 0
        if not self.faults:
            with_us = self.kept
        alone = acks[self.faults] if len(acks) > self.faults else 0
        durable = max(with_us, alone)
        if durable > self.durable:
            invariant(durable <= self.copy.seq, "durable_is_written")
            self.durable = durable
            self._out.append(Durable(self.shard, durable))
