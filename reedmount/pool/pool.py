"""The one pool: what all sources say, merged by the rule, as differences for the core."""

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
from reedmount.pool.rule import OURS, SERVES, Rule, decide
from reedmount.pool.source import Part, Source

MAX_SERVERS = 4096
MAX_MARKS = 4096  # of servers that are gone
FIRST_WORD = timedelta(seconds=1)  # a list may come in several pieces
SLICE = 16  # servers looked at between two looks at the rest of the program
VOUCHED = (Rule.SERVING, Rule.KEPT, Rule.HEARSAY)
LEAVING_SLICE = 128  # of those that leave: all 4,096 have to be told within 250 ms


class ExpiryPolicy(Enum):
    """What becomes of servers whose sources are all silent beyond their bound."""

    DRAIN = "drain"
    LAST_RESORT = "last-resort"


@dataclass(slots=True)
class Entry:
    """One server as it stands in the pool."""

    endpoint: Endpoint
    server: str  # its name in the core, the same whichever source names it
    number: int
    name: str
    transport: str
    priority: int
    weight: int
    rule: Rule
    since: datetime  # that this rule holds
    seen: datetime | None  # its start, as our own sources have it; None: long ago
    heard: datetime | None = None  # its start, as other members saw it

    @property
    def serves(self) -> bool:
        """Whether calls may go there."""
        return self.rule in SERVES

    @property
    def ours(self) -> bool:
        """Whether they may by our own sources, whatever other members saw."""
        return self.rule in OURS

    @property
    def started(self) -> datetime | None:
        """The latest start that anyone saw; None: long ago."""
        return max((at for at in (self.seen, self.heard) if at is not None), default=None)


@dataclass(frozen=True, slots=True)
class Change:
    """News of one server."""

    entry: Entry
    removed: bool = False


class Slice(NamedTuple):
    """What a part of a long answer has changed; an urgent one may hold servers that leave."""

    changes: list[Change]
    urgent: bool


class Pool:
    """All sources and what follows from them. Instants come in with each event; nothing here waits."""

    def __init__(
        self, now: datetime, sources: Sequence[str], expiry_policy: ExpiryPolicy = ExpiryPolicy.DRAIN,
        startup_window: timedelta = timedelta(seconds=10), forget_after: timedelta = timedelta(minutes=10),
        default_rank: tuple[int, int] = (0, 1), transport: str = "tcp",
    ) -> None:  # fmt: skip
        self.sources = {name: Source(name) for name in sources}
        self.entries: dict[Endpoint, Entry] = {}
        self.expiry_policy, self.forget_after = expiry_policy, forget_after
        self.default_rank, self.transport = default_rank, transport  # of servers of which no source says more
        self._marks: dict[Endpoint, datetime] = {}  # gone, and named by nobody: since when; oldest first
        self._started_until = now + startup_window
        self._numbers: dict[int, Endpoint] = {}
        self._vouched = 0  # entries that serve by more than a last resort, held back by hearsay or not
        self._places: dict[str, Endpoint] = {}  # by the servers' names in the core
        self._held: Set[str] = frozenset()  # by hearsay
        self._paced: Set[str] = frozenset()  # cold by hearsay

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
        """A complete, good answer: what it leaves out is gone. Yields each slice, leaving ones first.

        Between slices other words may be taken. Newer ones of the same part hold, and a newer complete
        answer ends this one.
        """
        said = self.sources[source]
        word = said.heard(now, part, fresh_for, keep_for)
        held = said.part(part)
        held.answer = word
        first = self._is_first(now, held)
        gone = said.left_out(part, [claim.endpoint for claim in claims])
        draining = [claim for claim in claims if claim.state is not ClaimState.SERVING]
        serving = [claim for claim in claims if claim.state is ClaimState.SERVING]
        for begin in range(0, len(gone), LEAVING_SLICE):
            changes: list[Change] = []
            for place in gone[begin : begin + LEAVING_SLICE]:
                said.leave_out(now, part, place, word)
                changes += self._decide(now, place, None)
            yield Slice(changes, True)
            if said.parts.get(part) is not held or held.answer != word:
                return
        for some, size in ((draining, LEAVING_SLICE), (serving, SLICE)):
            for begin in range(0, len(some), size):
                changes = self._take(now, said, part, some[begin : begin + size], first, word)
                yield Slice(changes, some is draining)
                if said.parts.get(part) is not held or held.answer != word:
                    return
        self._sweep(now)
        yield Slice(self._past(now), False)

    def partial_update(
        self, now: datetime, source: str, claims: Sequence[Claim], part: str = ""
    ) -> list[Change]:
        """Word of single servers; of the others nothing is said."""
        said = self.sources[source]
        word = said.heard(now, part, None, None)
        first = self._is_first(now, said.part(part))
        named = sorted(claims, key=lambda claim: claim.state is ClaimState.SERVING)
        return self._take(now, said, part, named, first, word) + self._past(now)

    def source_failed(self, source: str, why: str, part: str = "") -> None:
        """An answer that did not come or cannot count: nothing changes."""
        self.sources[source].failed(part, why)

    def lapse(self, now: datetime) -> Iterator[Slice]:
        """Time has passed: namings may have become stale or expired. Yields after each slice."""
        places = list(self.entries)
        for begin in range(0, len(places), SLICE):
            changes: list[Change] = []
            for place in places[begin : begin + SLICE]:
                changes += self._decide(now, place, None)
            yield Slice(changes, False)
        yield Slice(self._past(now), False)

    def lapses_after(self, now: datetime) -> datetime | None:
        """The next instant at which a naming loses in worth."""
        due = [
            instant
            for source in self.sources.values()
            for part in source.parts.values()
            for instant in part.lapses
            if instant > now
        ]
        return min(due, default=None)

    def drop_part(self, now: datetime, source: str, part: str) -> list[Change]:
        """The operator has taken a part of a source away: what it said counts no more."""
        said = self.sources[source]
        touched = [place for place, by_part in said.sayings.items() if part in by_part]
        for place in touched:
            del said.sayings[place][part]
        said.parts.pop(part, None)
        return [change for place in touched for change in self._decide(now, place, None)] + self._past(now)

    def apply_member_reports(
        self, now: datetime, held: Set[str], starts: Mapping[str, datetime]
    ) -> list[Change]:
        """What other members saw, as far as it counts (members/hearsay.py): whom to hold back, who is cold.

        Both as a whole: who is not among them any more is let go. It takes none in, and removes none.
        """
        touched = (self._held ^ held) | self._paced | starts.keys()
        self._held, self._paced = frozenset(held), frozenset(starts)
        changes: list[Change] = []
        for server in sorted(touched & self._places.keys()):
            entry = self.entries[self._places[server]]
            before = entry.started
            entry.heard = starts.get(server)
            found = self._decide(now, entry.endpoint, None)
            changes += found or ([Change(entry)] if entry.started != before else [])
        return changes

    # --- what holds ---

    def find(self, server: str) -> Entry | None:
        """A server by its name in the core."""
        place = self._places.get(server)
        return None if place is None else self.entries.get(place)

    @property
    def vouched_count(self) -> int:
        """How many serve by our own sources, and not as a last resort."""
        return self._vouched

    def words(self, now: datetime, place: Endpoint) -> dict[str, ClaimState]:
        """What each source says of a server."""
        return {name: source.word(now, place) for name, source in self.sources.items()}

    def _is_first(self, now: datetime, part: Part) -> bool:
        """Whether what it names now may have served long before us: its first word, soon after our start."""
        begun = part.first_at or now
        return begun < self._started_until and now - begun < FIRST_WORD

    def _has_room(self, claim: Claim) -> bool:
        if claim.endpoint in self.entries or len(self.entries) < MAX_SERVERS:
            return True
        COUNTERS.add("pool.no_room")
        return False

    def _take(
        self, now: datetime, said: Source, part: str, claims: Iterable[Claim], first: bool, word: int
    ) -> list[Change]:
        changes: list[Change] = []
        for claim in claims:
            if not self._has_room(claim):
                continue
            if claim.endpoint in self._marks:
                self._reconsider(now, claim)
            said.say(now, part, claim, word)
            changes += self._decide(now, claim.endpoint, claim, first)
        self._sweep(now)
        return changes

    def _reconsider(self, now: datetime, claim: Claim) -> None:
        """A server that all had given up is named: a process started since then is another one."""
        since = self._marks[claim.endpoint]
        if claim.started is not None and claim.started > since or now - since > self.forget_after:
            self._unmark(claim.endpoint)

    def _decide(
        self, now: datetime, place: Endpoint, claim: Claim | None, first: bool = False
    ) -> list[Change]:
        """Apply the rule to one server, and say what has changed.

        A server that comes in or comes back counts as started now, unless the claim that brings it says
        when it was, or it is among the first that its source names at our own start.
        """
        rule = decide(source.word(now, place) for source in self.sources.values())
        entry = self.entries.get(place)
        if rule is Rule.UNNAMED or rule is Rule.GONE and not self._named(now, place):
            return self._remove(place, rule, now)
        naming = self._naming(place)
        if rule is Rule.EXPIRED and self.expiry_policy is ExpiryPolicy.LAST_RESORT:
            rule = self._past_rule()
        if rule in SERVES and format_address(place) in self._held:
            rule = Rule.HEARSAY
        if entry is None:
            if naming is None:
                return []
            started = naming.started if first else naming.started or now
            return [Change(self._enter(now, naming, rule, started))]
        before = (entry.serves, entry.started, entry.transport, entry.priority, entry.weight)
        ours = entry.ours
        if naming is not None:
            entry.name, entry.transport = naming.name, self._transport(place)
            entry.priority, entry.weight = self._rank(place)
        self._set(entry, rule, now)
        started = claim.started if claim is not None and claim.state is ClaimState.SERVING else None
        if entry.ours and not ours and started is None:
            started = now
        if started is not None and (entry.seen is None or started > entry.seen):
            entry.seen = started
        after = (entry.serves, entry.started, entry.transport, entry.priority, entry.weight)
        return [Change(entry)] if after != before else []

    def _named(self, now: datetime, place: Endpoint) -> bool:
        """Whether any source still has it, also one that says it drains."""
        return any(
            source.word(now, place) not in (ClaimState.GONE, ClaimState.UNNAMED)
            for source in self.sources.values()
        )

    def _naming(self, place: Endpoint) -> Claim | None:
        """Which claim names it: that of the first source, in their order, that has it."""
        for source in self.sources.values():
            saying = source.naming(place)
            if saying is not None:
                return saying.claim
        return None

    def _transport(self, place: Endpoint) -> str:
        """How it is reached, as the first source has it that says so."""
        for source in self.sources.values():
            saying = source.naming(place)
            if saying is not None and saying.claim.transport is not None:
                return saying.claim.transport
        return self.transport

    def _rank(self, place: Endpoint) -> tuple[int, int]:
        """Its priority and weight, from the first source that ranks servers at all."""
        for source in self.sources.values():
            saying = source.naming(place)
            if saying is not None and saying.claim.priority is not None:
                return saying.claim.priority, saying.claim.weight or 0
        return self.default_rank

    def _enter(self, now: datetime, claim: Claim, rule: Rule, came: datetime | None) -> Entry:
        place = claim.endpoint
        entry = self.entries[place] = Entry(
            place, format_address(place), self._number(place), claim.name, self._transport(place),
            *self._rank(place), rule, now, came,
        )  # fmt: skip
        self._places[entry.server] = place
        self._vouched += rule in VOUCHED
        return entry

    def _remove(self, place: Endpoint, rule: Rule, now: datetime) -> list[Change]:
        """Nobody names it. Marks of its end are kept for a while: an older answer may still be on its way."""
        if rule is Rule.GONE:
            self._marks.setdefault(place, now)
        else:
            self._unmark(place)
        entry = self.entries.pop(place, None)
        if entry is None:
            return []
        self._set(entry, rule, now)
        del self._numbers[entry.number], self._places[entry.server]
        return [Change(entry, removed=True)]

    def _unmark(self, place: Endpoint) -> None:
        self._marks.pop(place, None)
        for source in self.sources.values():
            source.forget(place)

    def _sweep(self, now: datetime) -> None:
        """Marks have a bound in time and in number; those of a server that is named again are its entry's."""
        while self._marks:
            place, since = next(iter(self._marks.items()))
            if place in self.entries:
                del self._marks[place]
            elif len(self._marks) > MAX_MARKS or now - since > self.forget_after:
                self._unmark(place)
            else:
                return

    def _set(self, entry: Entry, rule: Rule, now: datetime) -> None:
        if entry.rule is not rule:
            self._vouched += (rule in VOUCHED) - (entry.rule in VOUCHED)
            invariant(self._vouched >= 0, "vouched_for")
            entry.rule, entry.since = rule, now

    # --- past the bound ---

    def _past_rule(self) -> Rule:
        return Rule.EXPIRED if self._vouched else Rule.LAST_RESORT

    def _past(self, now: datetime) -> list[Change]:
        """A last resort serves while nobody else does, and no longer."""
        if self.expiry_policy is not ExpiryPolicy.LAST_RESORT:
            return []
        wanted = self._past_rule()
        changes = []
        for entry in self.entries.values():
            if entry.rule in (Rule.EXPIRED, Rule.LAST_RESORT) and entry.rule is not wanted:
                self._set(entry, wanted, now)
                changes.append(Change(entry))
        return changes

    def _number(self, place: Endpoint) -> int:
        """Its number in the pool: the same at each start, unless two servers share one by chance."""
        digest = hashlib.sha256(format_address(place).encode()).digest()
        number = int.from_bytes(digest[:4], "big") >> 1
        while number in self._numbers:
            number = (number + 1) % 2**31
        self._numbers[number] = place
        return number
