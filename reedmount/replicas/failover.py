"""Failover: which holder takes over the shards of a dead owner, when, and with which entries. No I/O.

A member takes over only while it has a quorum. The first live holder in placement order starts an election;
each later one waits until those before it have had time to. An election is won with promises of a higher
term from f + 1 complete replicas, the member's own included: at least one of them has every durable step.
See ``Election`` for what happens with fewer.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Protocol

from reedmount.core.checks import COUNTERS
from reedmount.replicas.holder import ReplicaHolder
from reedmount.replicas.messages import Entry, Prepare, Promise, ShardId, StaleTerm, Term
from reedmount.replicas.owner import Send
from reedmount.replicas.placement import holders
from reedmount.replicas.shard_replica import ShardReplica

FAILOVER_TIMEOUT = timedelta(
    seconds=2
)  # per preceding holder, for missing promises and for durability after a takeover
PREPARE_RETRY = timedelta(milliseconds=500)
# A writer that sent a message within this time is alive, even if the membership view lags.
WRITER_QUIET_TIME = timedelta(milliseconds=1500)


class MembershipView(Protocol):
    """What the failover needs to know of the membership."""

    @property
    def has_quorum(self) -> bool:
        """Whether this member is part of a majority."""

    def boot_id_of(self, name: str) -> int | None:
        """The boot id of a member that is alive or suspected; None if it is dead, has left or is unknown."""


@dataclass(slots=True)
class Election:
    """One attempt to win a term. With f + 1 complete replicas, every durable step is among them. If these
    do not arrive within ``FAILOVER_TIMEOUT``, more than f members have failed. The entries at hand are
    then taken over all the same and the case is counted: releasing a call whose durability was never
    confirmed does no harm, whereas a call that nobody releases stays up for no one."""

    term: Term
    started_at: datetime
    prepared_at: datetime
    promises: dict[str, Promise] = field(default_factory=dict)  # last page of each holder
    entries: list[Entry] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class TermWon:
    """This member now owns the shard: the replica has all entries that were found, under the new term."""

    replica: ShardReplica
    holders: tuple[str, ...]
    incomplete: bool  # fewer than f + 1 complete replicas took part


class Failover:
    """Tracks the shards whose owner is dead and this member's elections for them."""

    def __init__(
        self, me: str, boot_id: int, voters: Collection[str], faults: int, holder: ReplicaHolder
    ) -> None:
        self._me, self._boot_id, self._voters = me, boot_id, frozenset(voters)
        self._faults, self._holder = faults, holder
        self._owner_lost_at: dict[ShardId, datetime] = {}  # when the owner was first seen dead
        # Last message of a shard's writer while its owner is seen as dead.
        self._writer_seen_at: dict[ShardId, datetime] = {}
        self._elections: dict[ShardId, Election] = {}

    def update(self, now: datetime, view: MembershipView) -> tuple[list[Send], list[TermWon]]:
        """Called periodically and when the membership view changes: starts, retries and completes
        elections."""
        sends: list[Send] = []
        won: list[TermWon] = []
        for shard, replica in list(self._holder.held_replicas.items()):
            if self._has_live_writer(replica, view):
                replica.writer_active = False
                self._owner_lost_at.pop(shard, None)
                self._writer_seen_at.pop(shard, None)
                self._elections.pop(shard, None)  # another member has a higher term than the one requested
                continue
            since = self._owner_lost_at.setdefault(shard, now)
            if replica.writer_active:
                replica.writer_active, self._writer_seen_at[shard] = False, now
            writer_seen = self._writer_seen_at.get(shard)
            if not view.has_quorum or writer_seen is not None and now - writer_seen < WRITER_QUIET_TIME:
                continue
            if shard in self._elections:
                sends += self._resend_prepares(now, shard)
            elif now - since >= FAILOVER_TIMEOUT * self._live_holders_before(shard, view):
                sends += self._start_election(now, shard, replica)
            result = self._try_win(now, shard)
            if result is not None:
                won.append(result)
        for shard in self._owner_lost_at.keys() - self._holder.held_replicas.keys():
            del self._owner_lost_at[shard]
            self._writer_seen_at.pop(shard, None)
            self._elections.pop(shard, None)
        return sends, won

    def receive_promise(self, now: datetime, sender: str, message: Promise) -> TermWon | None:
        """Handles one page of a promise, with the entries of another holder's replica."""
        election = self._elections.get(message.shard)
        if election is None or message.term != election.term:
            return None
        election.entries += message.entries
        if not message.last:
            return None
        election.promises[sender] = message
        return self._try_win(now, message.shard)

    def handle_stale_term(self, message: StaleTerm) -> None:
        """Another member has promised a higher term: abandons the election."""
        election = self._elections.get(message.shard)
        if election is not None and message.promised > election.term:
            del self._elections[message.shard]
            replica = self._holder.held_replicas.get(message.shard)
            if replica is not None:
                replica.promised = max(replica.promised, message.promised)
            self._owner_lost_at.pop(message.shard, None)

    def _has_live_writer(self, replica: ShardReplica, view: MembershipView) -> bool:
        """Whether the highest known term is another member's that is alive and has not restarted since."""
        member = replica.promised.member
        return member != self._me and view.boot_id_of(member) == replica.promised.boot_id

    def _live_holders_before(self, shard: ShardId, view: MembershipView) -> int:
        """How many live holders precede this member: each gets its time to take over first."""
        ranked = holders(shard.owner, self._voters, self._faults)
        preceding = ranked[: ranked.index(self._me)] if self._me in ranked else ranked
        return sum(view.boot_id_of(name) is not None for name in preceding)

    def _other_holders(self, shard: ShardId) -> tuple[str, ...]:
        ranked = holders(shard.owner, self._voters, self._faults)
        return tuple(name for name in ranked if name != self._me)

    def _start_election(self, now: datetime, shard: ShardId, replica: ShardReplica) -> list[Send]:
        term = Term(replica.promised.number + 1, self._me, self._boot_id)
        if not self._holder.promise(shard, term):
            return []
        COUNTERS.add("replicas.rounds")
        self._elections[shard] = Election(term, now, now)
        return [Send(name, Prepare(shard, term)) for name in self._other_holders(shard)]

    def _resend_prepares(self, now: datetime, shard: ShardId) -> list[Send]:
        election = self._elections[shard]
        if now - election.prepared_at < PREPARE_RETRY:
            return []
        election.prepared_at = now
        return [
            Send(name, Prepare(shard, election.term))
            for name in self._other_holders(shard) if name not in election.promises
        ]  # fmt: skip

    def _try_win(self, now: datetime, shard: ShardId) -> TermWon | None:
        election, replica = self._elections.get(shard), self._holder.held_replicas.get(shard)
        if election is None or replica is None:
            return None
        complete = replica.complete + sum(promise.complete for promise in election.promises.values())
        incomplete = complete <= self._faults
        if incomplete and now - election.started_at < FAILOVER_TIMEOUT:
            return None
        if replica.promised != election.term:
            del self._elections[shard]
            return None
        del self._elections[shard]
        self._owner_lost_at.pop(shard, None)
        self._writer_seen_at.pop(shard, None)
        if incomplete:
            COUNTERS.add("replicas.short")
        COUNTERS.add("replicas.taken_over")
        replica.merge(election.entries)
        replica.seq = max([replica.seq, *(promise.seq for promise in election.promises.values())])
        replica.term, replica.complete = election.term, True
        del self._holder.held_replicas[shard]
        return TermWon(replica, self._other_holders(shard), incomplete)
