"""The pool of call servers: the claims of all sources, merged by the rule, as changes for the core."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator, Mapping, Sequence, Set
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import Enum
from typing import NamedTuple

from reedmount.core.checks import COUNTERS, invariant
from reedmount.net.connection import format_address
from reedmount.pool.claims import Claim, ClaimState, Endpoint
from reedmount.pool.rule import OWN_SERVING_RULES, SERVING_RULES, Rule, decide
from reedmount.pool.source import Part, Source

MAX_SERVERS = 4096
MAX_TOMBSTONES = 4096  # of servers reported as removed
FIRST_ANSWER_WINDOW = timedelta(seconds=1)  # a list may arrive in several pieces
SLICE = 16  # servers processed in one turn of the event loop
VOUCHED_RULES = (Rule.SERVING, Rule.KEPT, Rule.HEARSAY)
LEAVING_SLICE = 128  # leaving servers: all 4,096 have to be announced within 250 ms


class ExpiryPolicy(Enum):
    """How to treat servers whose sources have all been silent for longer than their claims are kept."""

    DRAIN = "drain"
    LAST_RESORT = "last-resort"


@dataclass(slots=True)
class Entry:
    """The current state of one server in the pool."""

    endpoint: Endpoint
    server: str  # its name in the core, independent of the source
    number: int
    name: str
    transport: str
    priority: int
    weight: int
    rule: Rule
    since: datetime  # since when this rule applies
    seen: datetime | None  # its start according to our own sources; None: long ago
    reported_start: datetime | None = None  # its start as reported by other members
    ended_before: datetime | None = None  # calls sent there before this are over

    @property
    def serves(self) -> bool:
        """Whether calls may go there."""
        return self.rule in SERVING_RULES

    @property
    def ours(self) -> bool:
        """Whether our own sources alone would allow calls, whatever other members report."""
        return self.rule in OWN_SERVING_RULES

    @property
    def started(self) -> datetime | None:
        """The latest start known from sources or members; None: long ago."""
        return max((at for at in (self.seen, self.reported_start) if at is not None), default=None)


@dataclass(frozen=True, slots=True)
class Change:
    """A change to the entry of one server."""

    entry: Entry
    removed: bool = False


class Slice(NamedTuple):
    """The changes made by one slice of a long update; an urgent one may contain servers that leave."""

    changes: list[Change]
    urgent: bool


class Pool:
    """All sources and the server entries derived from them. Callers pass the time; no call blocks."""

    def __init__(
        self, now: datetime, sources: Sequence[str], expiry_policy: ExpiryPolicy = ExpiryPolicy.DRAIN,
        startup_window: timedelta = timedelta(seconds=10), forget_after: timedelta = timedelta(minutes=10),
        default_rank: tuple[int, int] = (0, 1), transport: str = "tcp",
    ) -> None:  # fmt: skip
        self.sources = {name: Source(name) for name in sources}
        self.entries: dict[Endpoint, Entry] = {}
        self.expiry_policy, self.forget_after = expiry_policy, forget_after
        self.default_rank, self.transport = default_rank, transport  # where no source gives them
        self._tombstones: dict[
            Endpoint, datetime
        ] = {}  # removed and no longer named: since when, oldest first
        self._startup_until = now + startup_window
        self._numbers: dict[int, Endpoint] = {}
        self._vouched_count = 0  # entries that serve, held back or not, other than as a last resort
        self._endpoints: dict[str, Endpoint] = {}  # by server name in the core
        self._held_back: Set[str] = frozenset()  # on reports of other members
        self._paced: Set[str] = frozenset()  # cold according to reports of other members

    # --- events ---

    def full_update(
        self,
        now: datetime,
        source: str,
        claims: Sequence[Claim],
        part: str = "",
        fresh_for: timedelta | None = None,
        keep_for: timedelta | None = None,
    ) -> Iterator[Slice]:
        """Apply a complete, valid answer: servers missing from it are removed. Yields slices, leaving first.

        Other updates may be applied between slices. Newer ones of the same part take precedence, and a newer
        complete answer ends this one.
        """
        origin = self.sources[source]
        sequence = origin.record_answer(now, part, fresh_for, keep_for)
        part_state = origin.part(part)
        part_state.full_sequence = sequence
        at_startup = self._is_startup_answer(now, part_state)
        missing = origin.omitted(part, [claim.endpoint for claim in claims])
        draining = [claim for claim in claims if claim.state is not ClaimState.SERVING]
        serving = [claim for claim in claims if claim.state is ClaimState.SERVING]
        for begin in range(0, len(missing), LEAVING_SLICE):
            changes: list[Change] = []
            for omitted_endpoint in missing[begin : begin + LEAVING_SLICE]:
                origin.record_omission(now, part, omitted_endpoint, sequence)
                changes += self._update_entry(now, omitted_endpoint, None)
            yield Slice(changes, True)
            if origin.parts.get(part) is not part_state or part_state.full_sequence != sequence:
                return
        for batch, size in ((draining, LEAVING_SLICE), (serving, SLICE)):
            for begin in range(0, len(batch), size):
                changes = self._apply_claims(
                    now, origin, part, batch[begin : begin + size], at_startup, sequence
                )
                yield Slice(changes, batch is draining)
                if origin.parts.get(part) is not part_state or part_state.full_sequence != sequence:
                    return
        self._expire_tombstones(now)
        yield Slice(self._update_expired(now), False)

    def partial_update(
        self, now: datetime, source: str, claims: Sequence[Claim], part: str = ""
    ) -> list[Change]:
        """Apply an update about single servers; the others are unaffected.

        Where it also gives the start of a server at the address of one that leaves, only that start counts.
        """
        origin = self.sources[source]
        sequence = origin.record_answer(now, part, None, None)
        at_startup = self._is_startup_answer(now, origin.part(part))
        serving = [claim for claim in claims if claim.state is ClaimState.SERVING]
        taken = {claim.endpoint: claim.name for claim in serving if claim.started is not None}
        leaving = [
            claim
            for claim in claims
            if claim.state is not ClaimState.SERVING and taken.get(claim.endpoint, claim.name) == claim.name
        ]
        changes = self._apply_claims(now, origin, part, [*leaving, *serving], at_startup, sequence)
        return changes + self._update_expired(now)

    def source_failed(self, source: str, reason: str, part: str = "") -> None:
        """Record a missing or invalid answer: no server changes."""
        self.sources[source].record_failure(part, reason)

    def apply_expiry(self, now: datetime) -> Iterator[Slice]:
        """Re-evaluate all entries, as claims may have become stale or expired. Yields after each slice."""
        endpoints = list(self.entries)
        for begin in range(0, len(endpoints), SLICE):
            changes: list[Change] = []
            for endpoint in endpoints[begin : begin + SLICE]:
                changes += self._update_entry(now, endpoint, None)
            yield Slice(changes, False)
        yield Slice(self._update_expired(now), False)

    def next_expiry(self, now: datetime) -> datetime | None:
        """Return the next time at which a claim becomes stale or expires."""
        due = [
            instant
            for source in self.sources.values()
            for part in source.parts.values()
            for instant in part.expiry_times
            if instant > now
        ]
        return min(due, default=None)

    def drop_part(self, now: datetime, source: str, part: str) -> list[Change]:
        """Drop a part of a source that the operator has removed: its claims no longer count."""
        origin = self.sources[source]
        affected = [endpoint for endpoint, by_part in origin.statements.items() if part in by_part]
        for endpoint in affected:
            del origin.statements[endpoint][part]
        origin.parts.pop(part, None)
        return [
            change for endpoint in affected for change in self._update_entry(now, endpoint, None)
        ] + self._update_expired(now)

    def apply_member_reports(
        self, now: datetime, held: Set[str], starts: Mapping[str, datetime]
    ) -> list[Change]:
        """Apply the accepted reports of other members (members/server_reports.py): servers held back or cold.

        Both collections are complete: a server that is no longer in one is released from it. No server is
        added or removed.
        """
        affected = (self._held_back ^ held) | self._paced | starts.keys()
        self._held_back, self._paced = frozenset(held), frozenset(starts)
        changes: list[Change] = []
        for server in sorted(affected & self._endpoints.keys()):
            entry = self.entries[self._endpoints[server]]
            before = entry.started
            entry.reported_start = starts.get(server)
            found = self._update_entry(now, entry.endpoint, None)
            changes += found or ([Change(entry)] if entry.started != before else [])
        return changes

    # --- queries ---

    def find(self, server: str) -> Entry | None:
        """Find a server by its name in the core."""
        endpoint = self._endpoints.get(server)
        return None if endpoint is None else self.entries.get(endpoint)

    @property
    def vouched_count(self) -> int:
        """How many servers our own sources vouch for, last resorts not counted."""
        return self._vouched_count

    def claim_states(self, now: datetime, endpoint: Endpoint) -> dict[str, ClaimState]:
        """Return the state that each source reports of a server."""
        return {name: source.state_of(now, endpoint) for name, source in self.sources.items()}

    def _is_startup_answer(self, now: datetime, part: Part) -> bool:
        """Whether the servers named now may have run before our start: a first answer, soon after it."""
        began_at = part.first_answer_at or now
        return began_at < self._startup_until and now - began_at < FIRST_ANSWER_WINDOW

    def _has_room(self, claim: Claim) -> bool:
        if claim.endpoint in self.entries or len(self.entries) < MAX_SERVERS:
            return True
        COUNTERS.add("pool.no_room")
        return False

    def _apply_claims(
        self,
        now: datetime,
        origin: Source,
        part: str,
        claims: Iterable[Claim],
        at_startup: bool,
        sequence: int,
    ) -> list[Change]:
        changes: list[Change] = []
        for claim in claims:
            if not self._has_room(claim):
                continue
            if claim.endpoint in self._tombstones:
                self._check_tombstone(now, claim)
            origin.add_claim(now, part, claim, sequence)
            changes += self._update_entry(now, claim.endpoint, claim, at_startup)
        self._expire_tombstones(now)
        return changes

    def _check_tombstone(self, now: datetime, claim: Claim) -> None:
        """Remove the tombstone of a server named again, once it is too old or the process is a later one."""
        since = self._tombstones[claim.endpoint]
        if claim.started is not None and claim.started > since or now - since > self.forget_after:
            self._forget_server(claim.endpoint)

    def _update_entry(
        self, now: datetime, endpoint: Endpoint, claim: Claim | None, at_startup: bool = False
    ) -> list[Change]:
        """Apply the rule to one server and return the changes.

        A server that is added or returns counts as started now, unless its claim carries the start or it is
        in the first answer of its source at our own start.
        """
        rule = decide(source.state_of(now, endpoint) for source in self.sources.values())
        entry = self.entries.get(endpoint)
        previous_end = None if entry is None else entry.ended_before
        if entry is not None:
            entry.ended_before = self._ended_before(entry)
        if rule is Rule.UNNAMED or rule is Rule.GONE and not self._is_claimed(now, endpoint):
            return self._remove(endpoint, rule, now)
        current = self._current_claim(endpoint)
        if rule is Rule.EXPIRED and self.expiry_policy is ExpiryPolicy.LAST_RESORT:
            rule = self._expired_rule()
        if rule in SERVING_RULES and format_address(endpoint) in self._held_back:
            rule = Rule.HEARSAY
        if entry is None:
            if current is None:
                return []
            started = current.started if at_startup else current.started or now
            added = self._add_entry(now, current, rule, started)
            added.ended_before = self._ended_before(added)
            return [Change(added)]
        before = (entry.serves, entry.started, entry.transport, entry.priority, entry.weight)
        ours = entry.ours
        if current is not None:
            entry.name, entry.transport = current.name, self._transport(endpoint)
            entry.priority, entry.weight = self._rank(endpoint)
        self._set_rule(entry, rule, now)
        started = claim.started if claim is not None and claim.state is ClaimState.SERVING else None
        if entry.ours and not ours and started is None:
            started = now
        if started is not None and (entry.seen is None or started > entry.seen):
            entry.seen = started
        after = (entry.serves, entry.started, entry.transport, entry.priority, entry.weight)
        return [Change(entry)] if after != before or entry.ended_before != previous_end else []

    def _ended_before(self, entry: Entry) -> datetime | None:
        """Return the latest end of a process at this address that any source has reported so far."""
        ends = [entry.ended_before]
        ends += [source.ended_before(entry.endpoint) for source in self.sources.values()]
        return max((end for end in ends if end is not None), default=None)

    def _is_claimed(self, now: datetime, endpoint: Endpoint) -> bool:
        """Whether any source still names it, also as draining."""
        return any(
            source.state_of(now, endpoint) not in (ClaimState.GONE, ClaimState.UNNAMED)
            for source in self.sources.values()
        )

    def _current_claim(self, endpoint: Endpoint) -> Claim | None:
        """Return the claim of the first source, in configured order, that has it."""
        for source in self.sources.values():
            statement = source.current_statement(endpoint)
            if statement is not None:
                return statement.claim
        return None

    def _transport(self, endpoint: Endpoint) -> str:
        """Return its transport, from the first source that gives one."""
        for source in self.sources.values():
            statement = source.current_statement(endpoint)
            if statement is not None and statement.claim.transport is not None:
                return statement.claim.transport
        return self.transport

    def _rank(self, endpoint: Endpoint) -> tuple[int, int]:
        """Return its priority and weight, from the first source that gives them."""
        for source in self.sources.values():
            statement = source.current_statement(endpoint)
            if statement is not None and statement.claim.priority is not None:
                return statement.claim.priority, statement.claim.weight or 0
        return self.default_rank

    def _add_entry(self, now: datetime, claim: Claim, rule: Rule, started: datetime | None) -> Entry:
        address = claim.endpoint
        entry = self.entries[address] = Entry(
            address, format_address(address), self._assign_number(address), claim.name,
            self._transport(address),
            *self._rank(address), rule, now, started,
        )  # fmt: skip
        self._endpoints[entry.server] = address
        self._vouched_count += rule in VOUCHED_RULES
        return entry

    def _remove(self, endpoint: Endpoint, rule: Rule, now: datetime) -> list[Change]:
        """Remove a server that no source names. It leaves a tombstone, as an old answer may still arrive."""
        if rule is Rule.GONE:
            self._tombstones.setdefault(endpoint, now)
        else:
            self._forget_server(endpoint)
        entry = self.entries.pop(endpoint, None)
        if entry is None:
            return []
        self._set_rule(entry, rule, now)
        del self._numbers[entry.number], self._endpoints[entry.server]
        return [Change(entry, removed=True)]

    def _forget_server(self, endpoint: Endpoint) -> None:
        self._tombstones.pop(endpoint, None)
        for source in self.sources.values():
            source.forget(endpoint)

    def _expire_tombstones(self, now: datetime) -> None:
        """Remove tombstones that are too old, too many, or of servers that have an entry again."""
        while self._tombstones:
            endpoint, since = next(iter(self._tombstones.items()))
            if endpoint in self.entries:
                del self._tombstones[endpoint]
            elif len(self._tombstones) > MAX_TOMBSTONES or now - since > self.forget_after:
                self._forget_server(endpoint)
            else:
                return

    def _set_rule(self, entry: Entry, rule: Rule, now: datetime) -> None:
        if entry.rule is not rule:
            self._vouched_count += (rule in VOUCHED_RULES) - (entry.rule in VOUCHED_RULES)
            invariant(self._vouched_count >= 0, "vouched_for")
            entry.rule, entry.since = rule, now

    # --- expired entries ---

    def _expired_rule(self) -> Rule:
        return Rule.EXPIRED if self._vouched_count else Rule.LAST_RESORT

    def _update_expired(self, now: datetime) -> list[Change]:
        """Let last resorts serve only while no other server does."""
        if self.expiry_policy is not ExpiryPolicy.LAST_RESORT:
            return []
        expired_rule = self._expired_rule()
        changes = []
        for entry in self.entries.values():
            if entry.rule in (Rule.EXPIRED, Rule.LAST_RESORT) and entry.rule is not expired_rule:
                self._set_rule(entry, expired_rule, now)
                changes.append(Change(entry))
        return changes

    def _assign_number(self, endpoint: Endpoint) -> int:
        """Assign its number in the pool: the same after each restart, barring collisions."""
        digest = hashlib.sha256(format_address(endpoint).encode()).digest()
        number = int.from_bytes(digest[:4], "big") >> 1
        while number in self._numbers:
            number = (number + 1) % 2**31
        self._numbers[number] = endpoint
        return number
