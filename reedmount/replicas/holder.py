"""Replicas held for other members: accepts steps and snapshots, keeps promised terms, sends
acknowledgements. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from reedmount.core.checks import COUNTERS
from reedmount.replicas.messages import (
    Ack,
    Append,
    Close,
    Entry,
    Prepare,
    Promise,
    ShardId,
    Snapshot,
    StaleTerm,
    Term,
    split_entries,
)  # fmt: skip
from reedmount.replicas.owner import Send
from reedmount.replicas.shard_replica import ShardReplica

MAX_SHARDS = 4096  # held for others: a shard per process start of each member that is not closed yet


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """Entries to persist. ``seq`` is the replica's position once they are persisted; None for the pages
    of a snapshot before the last."""

    shard: ShardId
    seq: int | None
    entries: list[Entry]


class ReplicaHolder:
    """Owns the replicas held for others. Accepted entries go to ``pending_writes`` (the disk), and are
    acknowledged once ``persisted`` is called."""

    def __init__(self) -> None:
        self.held_replicas: dict[ShardId, ShardReplica] = {}
        self.pending_writes: list[PendingWrite] = []  # to persist, in order; drained by the caller
        self.closed_shards: list[ShardId] = []  # to delete from disk
        self.pruned: list[tuple[ShardId, list[str]]] = []  # calls to delete from disk
        self._ack_to: dict[ShardId, str] = {}  # member to acknowledge to once the writes are persisted

    def append(self, sender: str, message: Append) -> list[Send]:
        """Appends the steps that follow on the replica's position; otherwise answers with that position."""
        replica, refusal = self._find_replica(sender, message.shard, message.term)
        if replica is None:
            return refusal
        replica.writer_active = True
        in_sequence = replica.complete and replica.term == message.term
        if in_sequence and message.after <= replica.seq:
            new_entries = [entry for entry in message.entries if entry.seq > replica.seq]
            for entry in new_entries:
                replica.add(entry)
            pruned = replica.prune(message.settled)
            if pruned:
                self.pruned.append((message.shard, pruned))
            if new_entries:
                self._persist(sender, replica, new_entries)
                return []
        return [self._ack(sender, replica, in_sequence)]

    def snapshot(self, sender: str, message: Snapshot) -> list[Send]:
        """Receives a page of a snapshot. Each page is acknowledged, so that the owner sends no more than
        this member can take."""
        replica, refusal = self._find_replica(sender, message.shard, message.term)
        if replica is None:
            return refusal
        replica.writer_active = True
        if not replica.add_page(message.page, message.term, message.end_seq, message.entries):
            return [self._ack(sender, replica, False)]
        if not message.last:
            # Each page is written as it arrives: writing all of them at once would delay calls.
            self.pending_writes.append(PendingWrite(replica.shard, None, message.entries))
            return [self._ack(sender, replica, False)]
        dropped_keys = replica.install_snapshot()
        if dropped_keys:
            self.pruned.append((replica.shard, dropped_keys))
        replica.persisted = 0
        self._persist(sender, replica, message.entries)
        return []

    def _persist(self, sender: str, replica: ShardReplica, entries: list[Entry]) -> None:
        self.pending_writes.append(PendingWrite(replica.shard, replica.seq, entries))
        self._ack_to[replica.shard] = sender

    def persisted(self, shard: ShardId, seq: int) -> list[Send]:
        """Pending writes up to ``seq`` have been persisted: acknowledges them."""
        replica = self.held_replicas.get(shard)
        if replica is None or not replica.complete:
            return []
        replica.persisted = max(replica.persisted, min(seq, replica.seq))
        sender = self._ack_to.get(shard)
        if sender is None:
            return []
        if replica.persisted == replica.seq:
            del self._ack_to[shard]
        return [self._ack(sender, replica, True)]

    def restore(self, shard: ShardId, term: Term, entries: Iterable[Entry]) -> None:
        """Adds a replica that was read from disk."""
        replica = self.held_replicas[shard] = ShardReplica(shard, term, complete=False)
        replica.merge(entries)

    def prepare(self, sender: str, message: Prepare) -> list[Send]:
        """A member wants to take over a shard: promises its term and sends it the entries held here."""
        replica, refusal = self._find_replica(sender, message.shard, message.term)
        if replica is None:
            return refusal
        pages = split_entries(list(replica))
        shard, term, complete, seq = message.shard, message.term, replica.complete, replica.seq
        return [Send(sender, Promise(shard, term, complete, seq, page is pages[-1], page)) for page in pages]

    def close(self, sender: str, message: Close) -> list[Send]:
        """The shard is empty: deletes its replica."""
        replica = self.held_replicas.get(message.shard)
        if replica is not None and message.term >= replica.promised:
            self.forget(message.shard)
        return []

    def forget(self, shard: ShardId) -> None:
        """Deletes the replica of a shard."""
        if self.held_replicas.pop(shard, None) is not None:
            self.closed_shards.append(shard)

    def promise(self, shard: ShardId, term: Term) -> bool:
        """Promises a term to this member itself; False if a higher term has been promised."""
        replica = self.held_replicas.get(shard)
        if replica is None or term < replica.promised:
            return False
        replica.promised = term
        return True

    def _find_replica(
        self, sender: str, shard: ShardId, term: Term
    ) -> tuple[ShardReplica | None, list[Send]]:
        replica = self.held_replicas.get(shard)
        if replica is None:
            if len(self.held_replicas) >= MAX_SHARDS:
                COUNTERS.add("replicas.no_room")
                return None, []
            replica = self.held_replicas[shard] = ShardReplica(shard, term, complete=False)
        if term < replica.promised:
            COUNTERS.add("replicas.old_terms")
            return None, [Send(sender, StaleTerm(shard, replica.promised))]
        replica.promised = term
        return replica, []

    @staticmethod
    def _ack(sender: str, replica: ShardReplica, complete: bool) -> Send:
        seq = replica.persisted if complete else replica.end_seq
        return Send(sender, Ack(replica.shard, replica.promised, seq, complete, replica.pages_received))
