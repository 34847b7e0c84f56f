"""The watch over one SRV name: when to ask again, which addresses are missing, what the answer says. Pure.

A round is one question for the name, then those for addresses of its targets that did not come along. It ends
with all that the name says, or with nothing.
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

SLICE = 128  # targets between two looks at the rest of the program
AHEAD = 0.9  # of a lifetime: then it is asked again, so that it need not lapse
JITTER = 0.1  # of it earlier at most, lest all that started together ask together
A, AAAA, SRV = dns.rdatatype.A, dns.rdatatype.AAAA, dns.rdatatype.SRV


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """After a round that failed: with each failure in a row twice as long, up to a bound."""

    first: timedelta = timedelta(seconds=2)
    longest: timedelta = timedelta(seconds=10)  # bounds how late a drain is heard after an outage

    def after(self, failures: int, rng: random.Random) -> timedelta:
        """The next pause."""
        return min(self.first * 2.0 ** min(failures - 1, 16), self.longest) * rng.uniform(0.75, 1.25)


@dataclass(frozen=True, slots=True)
class LookupResult:
    """A round that ended well: everything that the name says, and how long that holds."""

    claims: tuple[Claim, ...]
    fresh_for: timedelta


@dataclass(frozen=True, slots=True)
class RoundFailed:
    """A round that says nothing."""

    why: str


@dataclass(slots=True)
class SrvLookup:
    """One SRV name. ``begin`` when it is due; then answers go in until the round is over."""

    name: str
    transport: str
    limits: CacheLimits
    retry: RetryPolicy
    ipv6: bool
    rng: random.Random
    due_at: datetime | None = None  # None while a round is under way
    failures: int = 0
    ending: bool = False  # all is there, and what the name says is being put together
    _targets: tuple[Target, ...] = ()
    _ttl: timedelta = timedelta(0)
    _asked: set[Question] = field(default_factory=set)  # addresses that are still out
    _found: dict[Question, Answer | None] = field(default_factory=dict)  # None: could not be learnt
    _last: dict[Target, Endpoint] = field(default_factory=dict)  # by target, as the last round had it

    @property
    def question(self) -> Question:
        """What is asked first."""
        return Question(self.name, SRV)

    def begin(self) -> Question:
        """A round begins."""
        self.due_at, self.ending = None, False
        self._targets, self._asked, self._found = (), set(), {}
        return self.question

    def addresses(self, answer: Answer) -> list[Question]:
        """The addresses that are needed for these targets."""
        kinds = (A, AAAA) if self.ipv6 else (A,)
        hosts = dict.fromkeys(target.host for target in answer.targets if target.host != ".")
        return [Question(host, kind) for host in hosts for kind in kinds]

    def heard(self, now: datetime, answer: Answer) -> list[Question]:
        """The records of the name; returns the addresses that did not come along."""
        self._targets = tuple(target for target in answer.targets if target.host != ".")
        self._ttl = self.limits.lifetime(answer.ttl)
        wanted = self.addresses(answer)
        extra = answer.extra
        self._found = {question: extra[question] for question in wanted if question in extra}
        missing = [question for question in wanted if question not in extra]
        self._asked = set(missing)
        return missing

    def address(self, question: Question, answer: Answer | None) -> None:
        """An address came, or None where it could not be learnt."""
        if question in self._asked:
            self._asked.discard(question)
            self._found[question] = answer

    @property
    def size(self) -> int:
        """How many targets the name has."""
        return len(self._targets)

    @property
    def complete(self) -> bool:
        """Whether nothing is out any more."""
        return self.due_at is None and not self._asked

    def ends(self, now: datetime) -> Generator[None, None, LookupResult]:
        """All is there, or as far as it could be learnt: what the name says. Yields after each slice."""
        claims: list[Claim] = []
        last: dict[Target, Endpoint] = {}
        lifetimes = [self._ttl]
        for done, target in enumerate(self._targets, 1):
            if done % SLICE == 0:
                yield
            host, unknown = self._host(target, lifetimes)
            if host is None and unknown and target in self._last:
                # Its address could not be learnt: that is no word against the server.
                host = self._last[target][0]
                COUNTERS.add("srv.addresses_kept")
                lifetimes.append(self.retry.first)
            if host is None:
                COUNTERS.add("srv.targets_without_address")
                continue
            last[target] = (host, target.port)
            claims.append(self._claim(target, host))
        self._last, self.failures = last, 0
        fresh_for = max(min(lifetimes), self.limits.floor)
        self.due_at = now + fresh_for * AHEAD * (1 - JITTER * self.rng.random())
        return LookupResult(tuple(claims), fresh_for)

    def failed(self, now: datetime, why: str) -> RoundFailed:
        """The name's records could not be learnt."""
        self.failures += 1
        self.due_at = now + self.retry.after(self.failures, self.rng)
        self._asked = set()
        return RoundFailed(why)

    def _host(self, target: Target, lifetimes: list[timedelta]) -> tuple[str | None, bool]:
        """The target's address, and whether one may be there that could not be learnt.

        One address a target: an IPv4 one where there is any, the lowest. A host with two is one machine, and
        taken as two servers it would get twice its share.
        """
        unknown = False
        for kind in (A, AAAA) if self.ipv6 else (A,):
            answer = self._found.get(Question(target.host, kind))
            if answer is None:
                unknown = True
                if kind is A and target in self._last and ":" not in self._last[target][0]:
                    return None, True  # it was reached over IPv4: it does not move for want of an answer
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
