"""Replication state of one member: the shards it owns, the replicas it holds for others, and failovers. No
I/O.

    (now, step of a call, message, membership view, time) -> messages, durable steps, takeovers, fencing

The caller carries out ``take_outputs()`` after each call, in order.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from datetime import datetime

from reedmount.core.checks import COUNTERS
from reedmount.replicas.failover import FAILOVER_TIMEOUT, Failover, MembershipView, TermWon
from reedmount.replicas.holder import PendingWrite, ReplicaHolder
from reedmount.replicas.messages import (
    Ack,
    Append,
    Close,
    Entry,
    Hello,
    Message,
    Phase,
    Prepare,
    Promise,
    ShardId,
    Snapshot,
    StaleTerm,
    Term,
)  # fmt: skip
from reedmount.replicas.owner import Durable, Send, ShardOwner
from reedmount.replicas.placement import holders
from reedmount.replicas.shard_replica import ShardReplica


@dataclass(frozen=True, slots=True)
class TakenOver:
    """This member has taken over a dead owner's shard. ``unfinished`` are the calls that it now has to
    finish; ``finished`` are the keys of completed ones, which it drops when they expire."""

    shard: ShardId
    unfinished: tuple[Entry, ...]
    finished: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Fenced:
    """Another member has taken over a shard of this one. ``sent``: entries that other members may know
    of; the new owner releases those calls, and this member drops them. ``unsent``: entries that never
    left this member; those calls continue in another shard."""

    shard: ShardId
    sent: tuple[Entry, ...]
    unsent: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Forget:
    """A shard is closed and can be deleted from disk."""

    shard: ShardId


@dataclass(frozen=True, slots=True)
class Pruned:
    """These calls have been dropped on all replicas and can be deleted from disk."""

    shard: ShardId
    keys: tuple[str, ...]


Output = Send | Durable | PendingWrite | TakenOver | Fenced | Forget | Pruned


class Replicas:
    """Owns the shard owners, the replica holder and the failover state."""

    def __init__(self, me: str, boot_id: int, voters: Collection[str], faults: int) -> None:
        """``faults``: f, the number of machines that may be lost at once with their disks, 0 to 3."""
        self._me, self._boot_id, self._voters, self._faults = me, boot_id, frozenset(voters), faults
        self._holder = ReplicaHolder()
        self._failover = Failover(me, boot_id, voters, faults, self._holder)
        self._owners: dict[ShardId, ShardOwner] = {}
        # By time of the takeover, while what was taken over is not durable under our term yet.
        self._pending_takeovers: dict[ShardId, datetime] = {}
        self._connected: set[str] = set()
        self._closed_shards: list[ShardId] = []
        self._outputs: list[Output] = []
        self._open_shard(0)

    # --- interface ---

    @property
    def shard(self) -> ShardId:
        """The shard that new calls are written to."""
        return self._current_owner.shard

    @property
    def durable(self) -> int:
        """The highest step of the current shard that is durable."""
        return self._current_owner.durable

    def put(self, now: datetime, key: str, phase: Phase, data: bytes, shard: ShardId | None = None) -> int:
        """Appends the next step of a call to the current shard or to one that was taken over. Returns its
        sequence number, or 0 if this member no longer owns that shard. The step is sent by the next
        ``flush``."""
        owner = self._owners.get(shard) if shard is not None else self._current_owner
        if owner is None or owner.fenced:
            COUNTERS.add("replicas.not_ours")
            return 0
        entry = owner.append(key, phase, data)
        self._outputs.append(PendingWrite(owner.shard, entry.seq, [owner.replica.get(key) or entry]))
        return entry.seq

    def flush(self, now: datetime) -> None:
        """Sends all steps appended since the last flush."""
        for owner in self._owners.values():
            owner.flush(now)
            self._outputs += owner.take_outputs()

    def persisted(self, now: datetime, shard: ShardId, seq: int) -> None:
        """The pending writes of a shard up to ``seq`` have been persisted locally."""
        owner = self._owners.get(shard)
        if owner is not None:
            owner.record_local_persisted(seq)
            self._process_progress(now, owner)
        else:
            self._outputs += self._holder.persisted(shard, seq)

    def connected(self, now: datetime, name: str) -> None:
        """A connection to another member has been established."""
        self._connected.add(name)
        for owner in self._owners.values():
            owner.connected(now, name)
            self._process_progress(now, owner)

    def disconnected(self, name: str) -> None:
        """The connection to a member has been lost."""
        self._connected.discard(name)
        for owner in self._owners.values():
            owner.disconnected(name)

    def receive(self, now: datetime, sender: str, message: Message) -> None:
        """Handles a message from another member."""
        if isinstance(message, Hello):
            return
        owner = self._owners.get(message.shard)
        match message:
            case Append() | Snapshot() | Close() if owner is not None:
                if message.term > owner.replica.term:
                    self._fence(owner)
                    self._update_held(sender, message)
                else:
                    self._outputs.append(Send(sender, StaleTerm(message.shard, owner.replica.term)))
            case Append() | Snapshot() | Close():
                self._update_held(sender, message)
            case Ack():
                if owner is not None:
                    owner.receive_ack(now, sender, message)
                    self._process_progress(now, owner)
            case StaleTerm():
                if owner is not None and message.promised > owner.replica.term:
                    self._fence(owner)
                self._failover.handle_stale_term(message)
            case Prepare():
                self._handle_prepare(sender, message, owner)
            case Promise():
                won = self._failover.receive_promise(now, sender, message)
                if won is not None:
                    self._become_owner(now, won)

    def restore(self, shard: ShardId, term: Term, entries: Collection[Entry]) -> None:
        """Adds a replica of another member's shard that was read from disk, before any message is
        received. It contributes to a failover but is never treated as complete. ``term``: the highest
        term found on disk."""
        if shard.owner != self._me:
            self._holder.restore(shard, term, entries)

    def tick(self, now: datetime, view: MembershipView) -> None:
        """Runs the timers; called about every 100 ms and when the membership view changes."""
        for owner in self._owners.values():
            owner.tick(now)
            self._process_progress(now, owner)
        sends, won = self._failover.update(now, view)
        self._outputs += sends
        for term_won in won:
            self._become_owner(now, term_won)
        for shard, since in list(self._pending_takeovers.items()):
            if now - since >= FAILOVER_TIMEOUT:
                COUNTERS.add("replicas.finished_short")
                self._complete_takeover(shard)

    def take_outputs(self) -> list[Output]:
        """Returns the outputs to carry out and clears them."""
        for shard in self._closed_shards:
            self._owners.pop(shard, None)
        self._closed_shards.clear()
        self._outputs += self._holder.pending_writes
        self._outputs += [Pruned(shard, tuple(keys)) for shard, keys in self._holder.pruned]
        self._outputs += [Forget(shard) for shard in self._holder.closed_shards]
        self._holder.pending_writes, self._holder.closed_shards, self._holder.pruned = [], [], []
        outputs, self._outputs = self._outputs, []
        return outputs

    # --- for the admin server ---

    @property
    def held_replicas(self) -> dict[ShardId, ShardReplica]:
        """The replicas held for other members."""
        return self._holder.held_replicas

    @property
    def owners(self) -> dict[ShardId, ShardOwner]:
        """The shards that this member owns."""
        return self._owners

    # --- owned shards ---

    def _open_shard(self, epoch: int) -> None:
        shard = ShardId(self._me, self._boot_id, epoch)
        replica = ShardReplica(shard, Term(1, self._me, self._boot_id), complete=True)
        others = holders(self._me, self._voters, self._faults)
        self._current_owner = self._owners[shard] = ShardOwner(replica, others, self._faults)

    def _process_progress(self, now: datetime, owner: ShardOwner) -> None:
        """Collects an owner's outputs, completes its takeover once everything taken over is durable,
        prunes settled entries, and closes a taken-over shard that has become empty."""
        self._outputs += owner.take_outputs()
        if owner.shard in self._pending_takeovers and owner.durable >= owner.replica.seq:
            self._complete_takeover(owner.shard)
        pruned = owner.replica.prune(owner.settled)
        if pruned:
            self._outputs.append(Pruned(owner.shard, tuple(pruned)))
        if (
            owner is not self._current_owner
            and not len(owner.replica)
            and owner.shard not in self._pending_takeovers
        ):
            self._outputs += owner.close()
            self._outputs.append(Forget(owner.shard))
            self._closed_shards.append(owner.shard)

    def _fence(self, owner: ShardOwner) -> None:
        """A higher term has been promised for this shard: this member stops writing to it."""
        COUNTERS.add("replicas.fenced")
        owner.fenced = True
        entries = owner.replica.unfinished
        sent = tuple(entry for entry in entries if owner.was_sent(entry))
        unsent = tuple(entry for entry in entries if not owner.was_sent(entry))
        del self._owners[owner.shard]
        self._pending_takeovers.pop(owner.shard, None)
        if owner is self._current_owner:
            self._open_shard(owner.shard.epoch + 1)
        self._outputs.append(Fenced(owner.shard, sent, unsent))

    # --- held shards and failover ---

    def _update_held(self, sender: str, message: Append | Snapshot | Close) -> None:
        match message:
            case Append():
                self._outputs += self._holder.append(sender, message)
            case Snapshot():
                self._outputs += self._holder.snapshot(sender, message)
            case Close():
                self._outputs += self._holder.close(sender, message)

    def _handle_prepare(self, sender: str, message: Prepare, owner: ShardOwner | None) -> None:
        if owner is None:
            self._outputs += self._holder.prepare(sender, message)
        elif message.term <= owner.replica.term:
            self._outputs.append(Send(sender, StaleTerm(message.shard, owner.replica.term)))
        else:
            # Others see this member as dead, and may be right that it is unreachable: the new owner
            # gets its entries.
            self._fence(owner)
            if owner.shard.owner != self._me:
                self._holder.held_replicas[owner.shard] = owner.replica
            self._outputs += self._holder.prepare(sender, message)

    def _become_owner(self, now: datetime, won: TermWon) -> None:
        shard = won.replica.shard
        owner = self._owners[shard] = ShardOwner(won.replica, won.holders, self._faults)
        self._pending_takeovers[shard] = now
        self._outputs.append(PendingWrite(shard, won.replica.seq, list(won.replica)))
        for name in sorted(self._connected):
            owner.connected(now, name)
        self._process_progress(now, owner)

    def _complete_takeover(self, shard: ShardId) -> None:
        del self._pending_takeovers[shard]
        owner = self._owners[shard]
        finished = tuple(entry.key for entry in owner.replica if entry.phase is Phase.COMPLETED)
        self._outputs.append(TakenOver(shard, tuple(owner.replica.unfinished), finished))
