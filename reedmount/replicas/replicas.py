"""All shards of one member: what it owns, what it keeps for others, whom it acts for. No I/O.

    (now, step of a call, message, view, time) -> messages, what is durable, taken over or lost

The owner of this carries out ``taken()`` after each call, in order.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from datetime import datetime

from reedmount.core.checks import COUNTERS
from reedmount.replicas.failover import PATIENCE, Sight, Succession, Won
from reedmount.replicas.holder import Holder, Kept
from reedmount.replicas.messages import (
    Ack,
    Append,
    Close,
    Entry,
    Hello,
    Message,
    Old,
    Phase,
    Prepare,
    Promise,
    ShardId,
    Snapshot,
    Term,
)  # fmt: skip
from reedmount.replicas.owner import Durable, Owner, Send
from reedmount.replicas.placement import holders
from reedmount.replicas.shard_replica import Copy


@dataclass(frozen=True, slots=True)
class TakenOver:
    """We act for a dead owner from now on: these calls are not finished, and it is ours to finish them; and
    the keys of those that are, which are ours to drop some day."""

    shard: ShardId
    unfinished: tuple[Entry, ...]
    finished: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Fenced:
    """Somebody has taken a shard of ours. ``theirs``: calls that others may know of; whoever has it now
    releases them, and we let go of them. ``ours``: nobody ever heard of these; they go on, elsewhere."""

    shard: ShardId
    theirs: tuple[Entry, ...]
    ours: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Forget:
    """A shard is closed, for the disk."""

    shard: ShardId


@dataclass(frozen=True, slots=True)
class Pruned:
    """These calls are dropped everywhere, for the disk."""

    shard: ShardId
    keys: tuple[str, ...]


Output = Send | Durable | Kept | TakenOver | Fenced | Forget | Pruned


class Replicas:
    """It owns the owners, the holder and the succession."""

    def __init__(self, me: str, boot_id: int, voters: Collection[str], faults: int) -> None:
        """``faults``: f, the machines that may be lost at once with their disks, 0 to 3."""
        self._me, self._boot_id, self._voters, self._faults = me, boot_id, frozenset(voters), faults
        self._holder = Holder()
        self._succession = Succession(me, boot_id, voters, faults, self._holder)
        self._owners: dict[ShardId, Owner] = {}
        self._finishing: dict[ShardId, datetime] = {}  # taken over then, not durable under our term yet
        self._connected: set[str] = set()
        self._closed: list[ShardId] = []
        self._out: list[Output] = []
        self._begin(0)

    # --- what the owner of this calls ---

    @property
    def shard(self) -> ShardId:
        """The shard that new calls go to."""
        return self._own.shard

    @property
    def durable(self) -> int:
        """Up to here its steps are."""
        return self._own.durable

    def put(self, now: datetime, key: str, phase: Phase, data: bytes, shard: ShardId | None = None) -> int:
        """The next step of a call, in our shard or in one that we took over; its number, 0 where that shard
        is ours no more. Goes out with ``flush``."""
        owner = self._owners.get(shard) if shard is not None else self._own
        if owner is None or owner.fenced:
            COUNTERS.add("replicas.not_ours")
            return 0
        entry = owner.append(key, phase, data)
        self._out.append(Kept(owner.shard, entry.seq, [owner.copy.get(key) or entry]))
        return entry.seq

    def flush(self, now: datetime) -> None:
        """All that came in this turn goes out."""
        for owner in self._owners.values():
            owner.flush(now)
            self._out += owner.taken()

    def kept(self, now: datetime, shard: ShardId, seq: int) -> None:
        """The words for the disk up to here are where they should be."""
        owner = self._owners.get(shard)
        if owner is not None:
            owner.kept_here(seq)
            self._follow(now, owner)
        else:
            self._out += self._holder.kept(shard, seq)

    def connected(self, now: datetime, name: str) -> None:
        """A way to another member is there."""
        self._connected.add(name)
        for owner in self._owners.values():
            owner.connected(now, name)
            self._follow(now, owner)

    def lost(self, name: str) -> None:
        """It is not any more."""
        self._connected.discard(name)
        for owner in self._owners.values():
            owner.lost(name)

    def heard(self, now: datetime, sender: str, message: Message) -> None:
        """A message has come."""
        if isinstance(message, Hello):
            return
        owner = self._owners.get(message.shard)
        match message:
            case Append() | Snapshot() | Close() if owner is not None:
                if message.term > owner.copy.term:
                    self._fence(owner)
                    self._hold(sender, message)
                else:
                    self._out.append(Send(sender, Old(message.shard, owner.copy.term)))
            case Append() | Snapshot() | Close():
                self._hold(sender, message)
            case Ack():
                if owner is not None:
                    owner.acked(now, sender, message)
                    self._follow(now, owner)
            case Old():
                if owner is not None and message.promised > owner.copy.term:
                    self._fence(owner)
                self._succession.refused(message)
            case Prepare():
                self._prepare(sender, message, owner)
            case Promise():
                won = self._succession.promised(now, sender, message)
                if won is not None:
                    self._won(now, won)

    def restore(self, shard: ShardId, term: Term, entries: Collection[Entry]) -> None:
        """What the disk had of another's shard, before anything was heard: it goes to whoever acts for its
        owner, and is never taken for complete. ``term``: the highest that the disk knows of."""
        if shard.owner != self._me:
            self._holder.restore(shard, term, entries)

    def tick(self, now: datetime, sight: Sight) -> None:
        """Some time has passed, 100 ms or so, or the view has changed."""
        for owner in self._owners.values():
            owner.tick(now)
            self._follow(now, owner)
        sends, won = self._succession.look(now, sight)
        self._out += sends
        for one in won:
            self._won(now, one)
        for shard, since in list(self._finishing.items()):
            if now - since >= PATIENCE:
                COUNTERS.add("replicas.finished_short")
                self._finish(shard)

    def taken(self) -> list[Output]:
        """What is to be carried out, once."""
        for shard in self._closed:
            self._owners.pop(shard, None)
        self._closed.clear()
        self._out += self._holder.keep
        self._out += [Pruned(shard, tuple(keys)) for shard, keys in self._holder.pruned]
        self._out += [Forget(shard) for shard in self._holder.gone]
        self._holder.keep, self._holder.gone, self._holder.pruned = [], [], []
        out, self._out = self._out, []
        return out

    # --- for the door ---

    @property
    def copies(self) -> dict[ShardId, Copy]:
        """What we keep for others."""
        return self._holder.copies

    @property
    def owners(self) -> dict[ShardId, Owner]:
        """What we own."""
        return self._owners

    # --- owners ---

    def _begin(self, epoch: int) -> None:
        shard = ShardId(self._me, self._boot_id, epoch)
        copy = Copy(shard, Term(1, self._me, self._boot_id), complete=True)
        others = holders(self._me, self._voters, self._faults)
        self._own = self._owners[shard] = Owner(copy, others, self._faults)

    def _follow(self, now: datetime, owner: Owner) -> None:
        """What an owner wants, and what is to be done once all it took over is durable."""
        self._out += owner.taken()
        if owner.shard in self._finishing and owner.durable >= owner.copy.seq:
            self._finish(owner.shard)
        pruned = owner.copy.prune(owner.settled)
        if pruned:
            self._out.append(Pruned(owner.shard, tuple(pruned)))
        if owner is not self._own and not len(owner.copy) and owner.shard not in self._finishing:
            self._out += owner.close()
            self._out.append(Forget(owner.shard))
            self._closed.append(owner.shard)

    def _fence(self, owner: Owner) -> None:
        """A higher term is out for it: nothing is written to it from here any more."""
        COUNTERS.add("replicas.fenced")
        owner.fenced = True
        entries = owner.copy.unfinished
        theirs = tuple(entry for entry in entries if owner.offered(entry))
        ours = tuple(entry for entry in entries if not owner.offered(entry))
        del self._owners[owner.shard]
        self._finishing.pop(owner.shard, None)
        if owner is self._own:
            self._begin(owner.shard.epoch + 1)
        self._out.append(Fenced(owner.shard, theirs, ours))

    # --- others' shards ---

    def _hold(self, sender: str, message: Append | Snapshot | Close) -> None:
        match message:
            case Append():
                self._out += self._holder.append(sender, message)
            case Snapshot():
                self._out += self._holder.snapshot(sender, message)
            case Close():
                self._out += self._holder.close(sender, message)

    def _prepare(self, sender: str, message: Prepare, owner: Owner | None) -> None:
        if owner is None:
            self._out += self._holder.prepare(sender, message)
        elif message.term <= owner.copy.term:
            self._out.append(Send(sender, Old(message.shard, owner.copy.term)))
        else:
            # Others hold us for gone, and may be right about the way to us: what we have goes to who acts.
            self._fence(owner)
            if owner.shard.owner != self._me:
                self._holder.copies[owner.shard] = owner.copy
            self._out += self._holder.prepare(sender, message)

    def _won(self, now: datetime, won: Won) -> None:
        shard = won.copy.shard
        owner = self._owners[shard] = Owner(won.copy, won.holders, self._faults)
        self._finishing[shard] = now
        self._out.append(Kept(shard, won.copy.seq, list(won.copy)))
        for name in sorted(self._connected):
            owner.connected(now, name)
        self._follow(now, owner)

    def _finish(self, shard: ShardId) -> None:
        del self._finishing[shard]
        owner = self._owners[shard]
        finished = tuple(entry.key for entry in owner.copy if entry.phase is Phase.OVER)
        self._out.append(TakenOver(shard, tuple(owner.copy.unfinished), finished))
