"""One source of call servers: its claims about each server, part by part, and how long they are valid."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta

from reedmount.pool.claims import LEAVING, Claim, ClaimState, Endpoint

MAX_PREDECESSORS = 8  # names remembered for each address


@dataclass(slots=True)
class Part:
    """A unit that is updated as a whole: one SRV name, or a complete list."""

    first_answer_at: datetime | None = None
    last_answer_at: datetime | None = None
    fresh_until: datetime | None = None  # None: until the next update
    stale_until: datetime | None = None
    sequence: int = 0  # updates so far, full and partial: the newer one takes precedence
    full_sequence: int = 0  # sequence number of the last full update
    failures: int = 0  # since the last valid answer
    failure: str = ""

    def state_at(self, now: datetime) -> ClaimState:
        """Return the state of the claims of this part at the given time."""
        if self.fresh_until is None or now < self.fresh_until:
            return ClaimState.SERVING
        if self.stale_until is None or now < self.stale_until:
            return ClaimState.STALE
        return ClaimState.EXPIRED

    @property
    def expiry_times(self) -> tuple[datetime, ...]:
        """When the claims of this part become stale and when they expire."""
        return tuple(instant for instant in (self.fresh_until, self.stale_until) if instant is not None)


@dataclass(slots=True)
class Statement:
    """The latest claim of one part about one server."""

    claim: Claim
    received_at: datetime
    sequence: int  # of the part's update that brought it
    replaced_at: datetime | None = None  # when it was first named in place of another process
    predecessors: tuple[str, ...] = ()  # names of the processes before it at the address, latest first

    def is_replaced_by(self, claim: Claim) -> bool:
        """Whether a claim names another process than this one."""
        return claim.names_process and claim.name != self.claim.name

    def is_later_than(self, claim: Claim) -> bool:
        """Whether a claim is about a process that this one has replaced, though it is still named."""
        if claim.name not in self.predecessors or self.claim.state is ClaimState.GONE:
            return False
        return self.claim.started is None or claim.started is None or claim.started < self.claim.started

    @property
    def ended_before(self) -> datetime | None:
        """Before when calls sent to the server are over."""
        if self.claim.ended:
            return self.received_at
        return self.claim.started or self.replaced_at


@dataclass(slots=True)
class Source:
    """A source by its name. The pool removes its statements once no source names the server any more."""

    name: str
    parts: dict[str, Part] = field(default_factory=dict)
    statements: dict[Endpoint, dict[str, Statement]] = field(default_factory=dict)

    def part(self, name: str) -> Part:
        """Return a part, creating it if it is new."""
        return self.parts.setdefault(name, Part())

    def record_answer(
        self, now: datetime, name: str, fresh_for: timedelta | None, keep_for: timedelta | None
    ) -> int:
        """Record a valid answer; ``fresh_for`` is its lifetime, ``keep_for`` how long it is kept as stale.

        Returns the sequence number of the update within the part.
        """
        part = self.part(name)
        part.sequence += 1
        part.first_answer_at = part.first_answer_at or now
        part.last_answer_at, part.failures, part.failure = now, 0, ""
        part.fresh_until = None if fresh_for is None else now + fresh_for
        part.stale_until = None
        if part.fresh_until is not None and keep_for is not None:
            part.stale_until = part.fresh_until + keep_for
        return part.sequence

    def record_failure(self, name: str, reason: str) -> None:
        """Record that there was no valid answer: it affects no server and is shown to operators."""
        part = self.part(name)
        part.failures += 1
        part.failure = reason

    def omitted(self, name: str, named: Iterable[Endpoint]) -> list[Endpoint]:
        """Return the servers of this part, not yet removed, that a complete answer does not contain."""
        present = set(named)
        return [
            endpoint
            for endpoint, by_part in self.statements.items()
            if endpoint not in present
            and name in by_part
            and by_part[name].claim.state is not ClaimState.GONE
        ]

    def add_claim(self, now: datetime, name: str, claim: Claim, sequence: int) -> None:
        """Store a claim, unless a newer update of the part was applied while this one waited.

        A report that an older process drains or was removed does not apply to the one now at its address.
        """
        by_part = self.statements.setdefault(claim.endpoint, {})
        previous = by_part.get(name)
        if previous is not None and previous.sequence > sequence:
            return
        if previous is not None and claim.state in LEAVING and claim.name != previous.claim.name:
            return
        if previous is not None and previous.is_later_than(claim):
            return
        statement = by_part[name] = Statement(claim, now, sequence)
        if previous is not None and previous.is_replaced_by(claim):
            statement.replaced_at = now
            statement.predecessors = (previous.claim.name, *previous.predecessors)[:MAX_PREDECESSORS]
        elif previous is not None:
            statement.replaced_at, statement.predecessors = previous.replaced_at, previous.predecessors

    def record_omission(self, now: datetime, name: str, endpoint: Endpoint, sequence: int) -> None:
        """Mark a server as removed because a complete answer does not contain it."""
        previous = self.statements.get(endpoint, {}).get(name)
        if previous is None or previous.sequence > sequence:
            return
        omission = replace(previous.claim, state=ClaimState.GONE, started=None)
        self.statements[endpoint][name] = Statement(omission, now, sequence)

    def state_of(self, now: datetime, endpoint: Endpoint) -> ClaimState:
        """Return the state it reports of a server: draining first, and a claim in any part before absence."""
        by_part = self.statements.get(endpoint)
        if not by_part:
            return ClaimState.UNNAMED
        states = {
            statement.claim.state if statement.claim.state in LEAVING else self.parts[name].state_at(now)
            for name, statement in by_part.items()
        }
        for candidate in (ClaimState.DRAINING, ClaimState.SERVING, ClaimState.STALE, ClaimState.EXPIRED):
            if candidate in states:
                return candidate
        return ClaimState.GONE

    def ended_before(self, endpoint: Endpoint) -> datetime | None:
        """Return before when calls sent to the server are over, as its process has ended or started anew."""
        by_part = self.statements.get(endpoint) or {}
        instants = (statement.ended_before for statement in by_part.values())
        return max((instant for instant in instants if instant is not None), default=None)

    def current_statement(self, endpoint: Endpoint) -> Statement | None:
        """Return how to reach the server: the statement of the oldest part where it is not removed."""
        by_part = self.statements.get(endpoint) or {}
        for name in self.parts:
            statement = by_part.get(name)
            if statement is not None and statement.claim.state is not ClaimState.GONE:
                return statement
        return None

    def forget(self, endpoint: Endpoint) -> None:
        """Remove all statements about a server that no source names any more."""
        self.statements.pop(endpoint, None)
