"""One question on its way from name server to name server: whom next, how, and when to stop. Pure."""

from __future__ import annotations

import random
import secrets
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from reedmount.dns.answers import Fault
from reedmount.dns.health import TCP_AFTER, NameServers, Over
from reedmount.net.connection import Address

WAY_FAULTS = frozenset({Fault.LOST, Fault.UNREACHABLE, Fault.HALF})  # nothing came back: the way, or the NS
MIN_TRIAL = timedelta(milliseconds=100)  # a trial waits four times what the name server took, and no less
TRIAL_TIMES = 4


@dataclass(frozen=True, slots=True)
class QueryTimeouts:
    """How long a question and its tries may take."""

    deadline: timedelta = timedelta(seconds=5)
    first: timedelta = timedelta(milliseconds=400)  # for the answer to the first datagram; then doubled
    longest: timedelta = timedelta(seconds=2)  # for any one try
    tcp: timedelta = timedelta(seconds=2)
    pause: timedelta = timedelta(milliseconds=300)  # once all have refused; then doubled


@dataclass(frozen=True, slots=True)
class Try:
    """Ask this name server in this way, and wait so long."""

    server: Address
    over: Over
    id: int
    edns: bool
    wait: timedelta
    began: datetime


@dataclass(frozen=True, slots=True)
class Pause:
    """Nobody is to be asked now."""

    until: datetime


@dataclass(frozen=True, slots=True)
class LookupFailed:
    """The end, without an answer."""

    why: str


@dataclass(slots=True)
class Query:
    """A question that is out. ``next`` after each end of a try, until it was answered or is given up."""

    began: datetime
    health: NameServers
    timeouts: QueryTimeouts
    rng: random.Random
    tries: int = 0
    last: Fault = Fault.LOST
    _lost: dict[Address, int] = field(default_factory=dict)
    _passed: set[Address] = field(default_factory=set)  # have had their turn in this round
    _plain: set[Address] = field(default_factory=set)  # do not know EDNS
    _again: tuple[Address, Over] | None = None  # the same one, another way
    _trials: set[Address] = field(default_factory=set)  # that had failed when this question tried them
    _ways: dict[Address, set[Over]] = field(default_factory=dict)  # that were tried, of each
    _rounds: int = 0

    @property
    def ends(self) -> datetime:
        """When it is given up whatever is under way."""
        return self.began + self.timeouts.deadline

    def next(self, now: datetime) -> Try | Pause | LookupFailed:
        """What to do now that nothing is under way."""
        if now >= self.ends:
            return LookupFailed(f"{self.last.value} within {self.timeouts.deadline.total_seconds():g} s")
        if self._again is not None:
            (server, over), self._again = self._again, None
            return self._try(now, server, over)
        picked = self.health.pick(now, self._passed)
        if picked is not None:
            server, trial = picked
            self._passed.add(server)
            if trial:
                self._trials.add(server)
            return self._try(now, server, self._way(server))
        if self._passed:
            # All had their turn: another round after a pause.
            self._passed.clear()
            self._rounds += 1
            pause = self.timeouts.pause * 2.0 ** min(self._rounds - 1, 8) * self.rng.uniform(0.75, 1.25)
            return Pause(min(now + pause, self.ends))
        due = self.health.next_due(now)
        if due is None or due >= self.ends:
            return LookupFailed("all name servers are dead, and none is due for a trial")
        return Pause(max(due, now + timedelta(milliseconds=1)))

    def failed(self, now: datetime, tried: Try, fault: Fault) -> None:
        """A try brought nothing that counts."""
        self.last = fault
        server, over = tried.server, tried.over
        if fault is Fault.CUT and over is Over.UDP:
            self.health.way(now, server, over, came_through=True)
            self.health.answered(server, now - tried.began)
            self._again = (server, Over.TCP)
            return
        if fault is Fault.FORMERR and tried.edns:
            # A name server from before EDNS (RFC 6891, section 6.2.2).
            self._plain.add(server)
            self._again = (server, over)
            return
        lost = fault in WAY_FAULTS
        self.health.way(now, server, over, came_through=not lost)
        self.health.failed(now, server)
        if lost and over is Over.UDP:
            self._lost[server] = self._lost.get(server, 0) + 1
        if lost and server in self._trials and over.other not in self._ways.get(server, ()):
            # A trial looks at both ways: one that refuses TCP or drops datagrams is well over the other.
            self._again = (server, over.other)

    def answered(self, now: datetime, tried: Try) -> None:
        """A try brought an answer that counts."""
        self.health.way(now, tried.server, tried.over, came_through=True)
        self.health.answered(tried.server, now - tried.began)

    def _way(self, server: Address) -> Over:
        """TCP where datagrams get lost: of this question's, unless TCP fails there as well; else as it went
        before with this name server."""
        known = self.health.all.get(server)
        if known is None:
            return Over.UDP
        repeated = sum(self._lost.values()) >= TCP_AFTER and self._lost.get(server)
        if repeated and not known.ways[Over.TCP].failed:
            return Over.TCP
        return known.way(self.rng)

    def _try(self, now: datetime, server: Address, over: Over) -> Try:
        self.tries += 1
        self._ways.setdefault(server, set()).add(over)
        wait = self.timeouts.tcp
        if over is Over.UDP:
            wait = min(self.timeouts.first * 2.0 ** min(self._rounds, 8), self.timeouts.longest)
            wait *= self.rng.uniform(0.8, 1.2)
        known = self.health.all.get(server)
        if server in self._trials and known is not None:
            # One that has failed costs the question that tries it little: it answered in so much before.
            wait = min(wait, max(MIN_TRIAL, TRIAL_TIMES * timedelta(seconds=known.taken_s)))
        wait = min(wait, self.ends - now)
        return Try(server, over, secrets.randbelow(65536), server not in self._plain, wait, now)
