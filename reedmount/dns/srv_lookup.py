"""Repeated lookup of one SRV name: when to query again, which addresses to resolve, the result. No I/O.

A round queries the name, then those addresses of its targets that were not in the additional section. It ends
with a complete result or fails.
"""

from __future__ import annotations

import random
from collections.abc import Generator
from dataclasses import dataclass, field
from datetime import datetime, timedelta

import dns.rdatatype

from reedmount.core.checks import COUNTERS
from reedmount.dns.answers import Answer
from reedmount.dns.cache import CacheLimits
from reedmount.dns.reader import Question, Target
from reedmount.pool.claims import Claim, Endpoint

SLICE = 128  # targets processed in one turn of the event loop
REFRESH_FRACTION = 0.9  # of the lifetime: refreshed then, before it expires
REFRESH_JITTER = 0.1  # at most this fraction earlier, so that instances started together spread
A, AAAA, SRV = dns.rdatatype.A, dns.rdatatype.AAAA, dns.rdatatype.SRV


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Back-off after a failed round: doubled with each consecutive failure, up to a limit."""

    first: timedelta = timedelta(seconds=2)
    longest: timedelta = timedelta(seconds=10)  # limits the delay of a drain after an outage

    def after(self, failures: int, rng: random.Random) -> timedelta:
        """Return the time until the next round."""
        return min(self.first * 2.0 ** min(failures - 1, 16), self.longest) * rng.uniform(0.75, 1.25)


@dataclass(frozen=True, slots=True)
class LookupResult:
    """The result of a successful round: all claims of the name, and their lifetime."""

    claims: tuple[Claim, ...]
    fresh_for: timedelta


@dataclass(frozen=True, slots=True)
class RoundFailed:
    """A round that failed and affects no server."""

    why: str


@dataclass(slots=True)
class SrvLookup:
    """The lookup of one SRV name. Call ``begin`` when due, then pass the answers until it is complete."""

    name: str
    transport: str
    limits: CacheLimits
    retry: RetryPolicy
    ipv6: bool
    rng: random.Random
    due_at: datetime | None = None  # None while a round is under way
    failures: int = 0
    finishing: bool = False  # all answers are in, and the result is being built
    _targets: tuple[Target, ...] = ()
    _ttl: timedelta = timedelta(0)
    _pending: set[Question] = field(default_factory=set)  # address queries without an answer so far
    _address_answers: dict[Question, Answer | None] = field(default_factory=dict)  # None: the query failed
    _last_endpoints: dict[Target, Endpoint] = field(default_factory=dict)  # by target, from the last round

    @property
    def question(self) -> Question:
        """The query that starts a round."""
        return Question(self.name, SRV)

    def begin(self) -> Question:
        """Start a round and return its first query."""
        self.due_at, self.finishing = None, False
        self._targets, self._pending, self._address_answers = (), set(), {}
        return self.question

    def address_questions(self, answer: Answer) -> list[Question]:
        """Return the address queries that the targets need."""
        rdtypes = (A, AAAA) if self.ipv6 else (A,)
        hosts = dict.fromkeys(target.host for target in answer.targets if target.host != ".")
        return [Question(host, rdtype) for host in hosts for rdtype in rdtypes]

    def record_answer(self, now: datetime, answer: Answer) -> list[Question]:
        """Take the SRV records; return the queries for addresses not in the additional section."""
        self._targets = tuple(target for target in answer.targets if target.host != ".")
        self._ttl = self.limits.lifetime(answer.ttl)
        questions = self.address_questions(answer)
        extra = answer.extra
        self._address_answers = {question: extra[question] for question in questions if question in extra}
        missing = [question for question in questions if question not in extra]
        self._pending = set(missing)
        return missing

    def record_address(self, question: Question, answer: Answer | None) -> None:
        """Take the answer to an address query, None if it failed."""
        if question in self._pending:
            self._pending.discard(question)
            self._address_answers[question] = answer

    @property
    def size(self) -> int:
        """The number of targets."""
        return len(self._targets)

    @property
    def complete(self) -> bool:
        """Whether no answer is outstanding."""
        return self.due_at is None and not self._pending

    def finish(self, now: datetime) -> Generator[None, None, LookupResult]:
        """Build the result from the answers received. Yields after each slice."""
        claims: list[Claim] = []
        endpoints: dict[Target, Endpoint] = {}
        lifetimes = [self._ttl]
        for index, target in enumerate(self._targets, 1):
            if index % SLICE == 0:
                yield
            address, unknown = self._select_address(target, lifetimes)
            if address is None and unknown and target in self._last_endpoints:
                # A failed address query is not a reason to remove the server.
                address = self._last_endpoints[target][0]
                COUNTERS.add("srv.addresses_kept")
                lifetimes.append(self.retry.first)
            if address is None:
                COUNTERS.add("srv.targets_without_address")
                continue
            endpoints[target] = (address, target.port)
            claims.append(self._claim(target, address))
        self._last_endpoints, self.failures = endpoints, 0
        fresh_for = max(min(lifetimes), self.limits.floor)
        self.due_at = now + fresh_for * REFRESH_FRACTION * (1 - REFRESH_JITTER * self.rng.random())
        return LookupResult(tuple(claims), fresh_for)

    def round_failed(self, now: datetime, why: str) -> RoundFailed:
        """Record that the SRV query failed, and schedule the next round."""
        self.failures += 1
        self.due_at = now + self.retry.after(self.failures, self.rng)
        self._pending = set()
        return RoundFailed(why)

    def _select_address(self, target: Target, lifetimes: list[timedelta]) -> tuple[str | None, bool]:
        """Return the target's address, and whether it may have one whose query failed.

        Only one address per target is used: the lowest IPv4 address, if any. A host with two is one machine,
        and as two servers it would get twice its share.
        """
        unknown = False
        for rdtype in (A, AAAA) if self.ipv6 else (A,):
            answer = self._address_answers.get(Question(target.host, rdtype))
            if answer is None:
                unknown = True
                if (
                    rdtype is A
                    and target in self._last_endpoints
                    and ":" not in self._last_endpoints[target][0]
                ):
                    return None, True  # in use over IPv4: a failed query must not move it to IPv6
            elif answer.addresses:
                lifetimes.append(self.limits.lifetime(answer.ttl))
                return answer.addresses[0], False
        return None, unknown

    def _claim(self, target: Target, host: str) -> Claim:
        return Claim(
            endpoint=(host, target.port),
            name=target.host.rstrip("."),
            transport=self.transport,
            priority=target.priority,
            weight=target.weight,
        )
