"""Who acts for an owner that is gone, when, and with what. No I/O.

Only in a majority; the first holder in the set's order that is alive, a later one after a while in which the
one before it did nothing. It needs a promise of a higher term from f + 1 complete copies, its own among them:
of these one has every step that was durable. The docstring of ``Round`` has what is done with fewer.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Protocol

from reedmount.core.checks import COUNTERS
from reedmount.replicas.holder import Holder
from reedmount.replicas.messages import Entry, Old, Prepare, Promise, ShardId, Term
from reedmount.replicas.owner import Send
from reedmount.replicas.placement import holders
from reedmount.replicas.shard_replica import Copy

PATIENCE = timedelta(seconds=2)  # for the holder before us, and for promises that do not come
ASK_AGAIN = timedelta(milliseconds=500)
QUIET = timedelta(milliseconds=1500)  # whose writer was heard since is not gone, though our view is behind


class Sight(Protocol):
    """What the members' view says."""

    @property
    def has_quorum(self) -> bool:
        """Whether we are in a majority."""

    def boot_id_of(self, name: str) -> int | None:
        """Of a member that is alive or suspected; None where it is dead, has left or is not known."""


@dataclass(slots=True)
class Round:
    """One try to get a term. With f + 1 complete copies every durable step is among them. Where these do not
    come within ``PATIENCE`` more has failed than f: what there is is taken all the same, and counted, since a
    call that is released without a promise harms nobody and one that is kept up for nobody does."""

    term: Term
    begun: datetime
    asked_at: datetime
    copies: dict[str, Promise] = field(default_factory=dict)  # the last page of each
    entries: list[Entry] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Won:
    """We own it now: the copy has all that could be found, under our term."""

    copy: Copy
    holders: tuple[str, ...]
    short: bool  # of the copies that make it sure


class Succession:
    """The shards whose owner is gone, and our tries to act for it."""

    def __init__(self, me: str, boot_id: int, voters: Collection[str], faults: int, holder: Holder) -> None:
        self._me, self._boot_id, self._voters = me, boot_id, frozenset(voters)
        self._faults, self._holder = faults, holder
        self._gone_at: dict[ShardId, datetime] = {}  # since when its owner is, as we see it
        self._heard_at: dict[ShardId, datetime] = {}  # its writer, while our view calls that gone
        self._rounds: dict[ShardId, Round] = {}

    def look(self, now: datetime, sight: Sight) -> tuple[list[Send], list[Won]]:
        """Some time has passed, or the view has changed."""
        sends: list[Send] = []
        won: list[Won] = []
        for shard, copy in list(self._holder.copies.items()):
            if self._in_hand(copy, sight):
                copy.touched = False
                self._gone_at.pop(shard, None)
                self._heard_at.pop(shard, None)
                self._rounds.pop(shard, None)  # somebody else has a higher term than we asked for
                continue
            since = self._gone_at.setdefault(shard, now)
            if copy.touched:
                copy.touched, self._heard_at[shard] = False, now
            heard = self._heard_at.get(shard)
            if not sight.has_quorum or heard is not None and now - heard < QUIET:
                continue
            if shard in self._rounds:
                sends += self._ask_again(now, shard)
            elif now - since >= PATIENCE * self._before_us(shard, sight):
                sends += self._begin(now, shard, copy)
            done = self._maybe_won(now, shard)
            if done is not None:
                won.append(done)
        for shard in self._gone_at.keys() - self._holder.copies.keys():
            del self._gone_at[shard]
            self._heard_at.pop(shard, None)
            self._rounds.pop(shard, None)
        return sends, won

    def promised(self, now: datetime, sender: str, message: Promise) -> Won | None:
        """A copy of somebody else, a page of it."""
        current = self._rounds.get(message.shard)
        if current is None or message.term != current.term:
            return None
        current.entries += message.entries
        if not message.last:
            return None
        current.copies[sender] = message
        return self._maybe_won(now, message.shard)

    def refused(self, message: Old) -> None:
        """Somebody has promised a higher term: it is not ours to act, or not with this one."""
        current = self._rounds.get(message.shard)
        if current is not None and message.promised > current.term:
            del self._rounds[message.shard]
            copy = self._holder.copies.get(message.shard)
            if copy is not None:
                copy.promised = max(copy.promised, message.promised)
            self._gone_at.pop(message.shard, None)

    def _in_hand(self, copy: Copy, sight: Sight) -> bool:
        """Whether whoever has the highest term that we know of is there, in the life that had it."""
        by = copy.promised.by
        return by != self._me and sight.boot_id_of(by) == copy.promised.boot_id

    def _before_us(self, shard: ShardId, sight: Sight) -> int:
        """How many holders before us are there: each has its time to act."""
        order = holders(shard.owner, self._voters, self._faults)
        before = order[: order.index(self._me)] if self._me in order else order
        return sum(sight.boot_id_of(name) is not None for name in before)

    def _others(self, shard: ShardId) -> tuple[str, ...]:
        order = holders(shard.owner, self._voters, self._faults)
        return tuple(name for name in order if name != self._me)

    def _begin(self, now: datetime, shard: ShardId, copy: Copy) -> list[Send]:
        term = Term(copy.promised.number + 1, self._me, self._boot_id)
        if not self._holder.promise(shard, term):
            return []
        COUNTERS.add("replicas.rounds")
        self._rounds[shard] = Round(term, now, now)
        return [Send(name, Prepare(shard, term)) for name in self._others(shard)]

    def _ask_again(self, now: datetime, shard: ShardId) -> list[Send]:
        current = self._rounds[shard]
        if now - current.asked_at < ASK_AGAIN:
            return []
        current.asked_at = now
        return [
            Send(name, Prepare(shard, current.term))
            for name in self._others(shard) if name not in current.copies
        ]  # fmt: skip

    def _maybe_won(self, now: datetime, shard: ShardId) -> Won | None:
        current, copy = self._rounds.get(shard), self._holder.copies.get(shard)
        if current is None or copy is None:
            return None
        complete = copy.complete + sum(promise.complete for promise in current.copies.values())
        short = complete <= self._faults
        if short and now - current.begun < PATIENCE:
            return None
        if copy.promised != current.term:
            del self._rounds[shard]
            return None
        del self._rounds[shard]
        self._gone_at.pop(shard, None)
        self._heard_at.pop(shard, None)
        if short:
            COUNTERS.add("replicas.short")
        COUNTERS.add("replicas.taken_over")
        copy.merge(current.entries)
        copy.seq = max([copy.seq, *(promise.seq for promise in current.copies.values())])
        copy.term, copy.complete = current.term, True
        del self._holder.copies[shard]
        return Won(copy, self._others(shard), short)
