"""The copies that we keep for others: what is taken, what is promised, what is answered. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from reedmount.core.checks import COUNTERS
from reedmount.replicas.messages import (
    Ack,
    Append,
    Close,
    Entry,
    Old,
    Prepare,
    Promise,
    ShardId,
    Snapshot,
    Term,
    parts,
)  # fmt: skip
from reedmount.replicas.owner import Send
from reedmount.replicas.shard_replica import Copy

MAX_SHARDS = 4096  # of others: the lives of all members that are not closed yet


@dataclass(frozen=True, slots=True)
class Kept:
    """Words for the disk; ``seq`` is where the copy stands with them, None where more has to come first."""

    shard: ShardId
    seq: int | None
    entries: list[Entry]


class Holder:
    """It owns the copies. What is taken is given to ``keep`` (the disk); it is answered once ``kept``."""

    def __init__(self) -> None:
        self.copies: dict[ShardId, Copy] = {}
        self.keep: list[Kept] = []  # for the disk, in order; the owner of this takes it
        self.gone: list[ShardId] = []  # closed, for the disk to forget
        self.pruned: list[tuple[ShardId, list[str]]] = []  # calls of which nothing is kept any more
        self._owed: dict[ShardId, str] = {}  # who is answered once it is kept

    def append(self, sender: str, message: Append) -> list[Send]:
        """The next steps, where they follow on what is here; else the answer says what is."""
        copy, refusal = self._copy(sender, message.shard, message.term)
        if copy is None:
            return refusal
        copy.touched = True
        fits = copy.complete and copy.term == message.term
        if fits and message.after <= copy.seq:
            news = [entry for entry in message.entries if entry.seq > copy.seq]
            for entry in news:
                copy.add(entry)
            pruned = copy.prune(message.settled)
            if pruned:
                self.pruned.append((message.shard, pruned))
            if news:
                self._keep(sender, copy, news)
                return []
        return [self._ack(sender, copy, fits)]

    def snapshot(self, sender: str, message: Snapshot) -> list[Send]:
        """All of a shard, page by page: each is answered, so that no more comes than we can take."""
        copy, refusal = self._copy(sender, message.shard, message.term)
        if copy is None:
            return refusal
        copy.touched = True
        if not copy.page(message.page, message.term, message.upto, message.entries):
            return [self._ack(sender, copy, False)]
        if not message.last:
            # Each page goes to the disk as it comes: all of them at once would keep calls waiting.
            self.keep.append(Kept(copy.shard, None, message.entries))
            return [self._ack(sender, copy, False)]
        gone = copy.whole()
        if gone:
            self.pruned.append((copy.shard, gone))
        copy.kept = 0
        self._keep(sender, copy, message.entries)
        return []

    def _keep(self, sender: str, copy: Copy, entries: list[Entry]) -> None:
        self.keep.append(Kept(copy.shard, copy.seq, entries))
        self._owed[copy.shard] = sender

    def kept(self, shard: ShardId, seq: int) -> list[Send]:
        """What was given to ``keep`` up to here is where it should be: say so."""
        copy = self.copies.get(shard)
        if copy is None or not copy.complete:
            return []
        copy.kept = max(copy.kept, min(seq, copy.seq))
        sender = self._owed.get(shard)
        if sender is None:
            return []
        if copy.kept == copy.seq:
            del self._owed[shard]
        return [self._ack(sender, copy, True)]

    def restore(self, shard: ShardId, term: Term, entries: Iterable[Entry]) -> None:
        """What a disk brought back."""
        copy = self.copies[shard] = Copy(shard, term, complete=False)
        copy.merge(entries)

    def prepare(self, sender: str, message: Prepare) -> list[Send]:
        """Somebody wants to act for an owner: promise, and tell what is here."""
        copy, refusal = self._copy(sender, message.shard, message.term)
        if copy is None:
            return refusal
        pages = parts(list(copy))
        shard, term, complete, seq = message.shard, message.term, copy.complete, copy.seq
        return [Send(sender, Promise(shard, term, complete, seq, page is pages[-1], page)) for page in pages]

    def close(self, sender: str, message: Close) -> list[Send]:
        """Nothing is left in it."""
        copy = self.copies.get(message.shard)
        if copy is not None and message.term >= copy.promised:
            self.forget(message.shard)
        return []

    def forget(self, shard: ShardId) -> None:
        """Have no copy of it any more."""
        if self.copies.pop(shard, None) is not None:
            self.gone.append(shard)

    def promise(self, shard: ShardId, term: Term) -> bool:
        """Promise ourselves; False where a higher term is promised."""
        copy = self.copies.get(shard)
        if copy is None or term < copy.promised:
            return False
        copy.promised = term
        return True

    def _copy(self, sender: str, shard: ShardId, term: Term) -> tuple[Copy | None, list[Send]]:
        copy = self.copies.get(shard)
        if copy is None:
            if len(self.copies) >= MAX_SHARDS:
                COUNTERS.add("replicas.no_room")
                return None, []
            copy = self.copies[shard] = Copy(shard, term, complete=False)
        if term < copy.promised:
            COUNTERS.add("replicas.old_terms")
            return None, [Send(sender, Old(shard, copy.promised))]
        copy.promised = term
        return copy, []

    @staticmethod
    def _ack(sender: str, copy: Copy, complete: bool) -> Send:
        seq = copy.kept if complete else copy.upto
        return Send(sender, Ack(copy.shard, copy.promised, seq, complete, copy.pages))
