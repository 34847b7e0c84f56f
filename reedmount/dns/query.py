"""One question sent to one name server after another: which is next, how, and when to give up. No I/O."""

from __future__ import annotations

import random
import secrets
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from reedmount.dns.answers import Fault
from reedmount.dns.health import TCP_AFTER_LOSSES, NameServers, Transport
from reedmount.net.connection import Address

TRANSPORT_FAULTS = frozenset({Fault.LOST, Fault.UNREACHABLE, Fault.HALF})  # no response at all
MIN_TRIAL_TIMEOUT = timedelta(milliseconds=100)
TRIAL_TIMEOUT_FACTOR = 4  # of the usual response time of the name server


@dataclass(frozen=True, slots=True)
class QueryTimeouts:
    """Time limits of a question and its tries."""

    deadline: timedelta = timedelta(seconds=5)
    first: timedelta = timedelta(milliseconds=400)  # for the first datagram; doubled with each round
    longest: timedelta = timedelta(seconds=2)  # for a single try
    tcp: timedelta = timedelta(seconds=2)
    pause: timedelta = timedelta(milliseconds=300)  # after a round without an answer; doubled with each round


@dataclass(frozen=True, slots=True)
class Try:
    """Query this name server over this transport, with this timeout."""

    server: Address
    transport: Transport
    id: int
    edns: bool
    timeout: timedelta
    started_at: datetime


@dataclass(frozen=True, slots=True)
class Pause:
    """Send no query until then."""

    until: datetime


@dataclass(frozen=True, slots=True)
class LookupFailed:
    """The question has failed."""

    why: str


@dataclass(slots=True)
class Query:
    """A question in progress. Call ``next`` after each try, until it is answered or given up."""

    started_at: datetime
    health: NameServers
    timeouts: QueryTimeouts
    rng: random.Random
    tries: int = 0
    last_fault: Fault = Fault.LOST
    _losses: dict[Address, int] = field(default_factory=dict)
    _tried_this_round: set[Address] = field(default_factory=set)
    _without_edns: set[Address] = field(default_factory=set)  # do not support EDNS
    _retry: tuple[Address, Transport] | None = None  # the same name server once more
    _trials: set[Address] = field(default_factory=set)  # had failed before this question tried them
    _transports: dict[Address, set[Transport]] = field(default_factory=dict)  # tried, by name server
    _rounds: int = 0

    @property
    def gives_up_at(self) -> datetime:
        """When the question is given up, whatever its state."""
        return self.started_at + self.timeouts.deadline

    def next(self, now: datetime) -> Try | Pause | LookupFailed:
        """Return the next step when no try is in progress."""
        if now >= self.gives_up_at:
            return LookupFailed(
                f"{self.last_fault.value} within {self.timeouts.deadline.total_seconds():g} s"
            )
        if self._retry is not None:
            (server, transport), self._retry = self._retry, None
            return self._make_try(now, server, transport)
        picked = self.health.pick(now, self._tried_this_round)
        if picked is not None:
            server, trial = picked
            self._tried_this_round.add(server)
            if trial:
                self._trials.add(server)
            return self._make_try(now, server, self._choose_transport(server))
        if self._tried_this_round:
            # All were tried: start another round after a pause.
            self._tried_this_round.clear()
            self._rounds += 1
            pause = self.timeouts.pause * 2.0 ** min(self._rounds - 1, 8) * self.rng.uniform(0.75, 1.25)
            return Pause(min(now + pause, self.gives_up_at))
        due = self.health.next_due(now)
        if due is None or due >= self.gives_up_at:
            return LookupFailed("all name servers are dead, and none is due for a trial")
        return Pause(max(due, now + timedelta(milliseconds=1)))

    def record_failure(self, now: datetime, tried: Try, fault: Fault) -> None:
        """Record a try without a valid answer."""
        self.last_fault = fault
        server, transport = tried.server, tried.transport
        if fault is Fault.CUT and transport is Transport.UDP:
            self.health.record_transport_result(now, server, transport, received=True)
            self.health.record_answer(server, now - tried.started_at)
            self._retry = (server, Transport.TCP)
            return
        if fault is Fault.FORMERR and tried.edns:
            # It does not support EDNS (RFC 6891, section 6.2.2).
            self._without_edns.add(server)
            self._retry = (server, transport)
            return
        lost = fault in TRANSPORT_FAULTS
        self.health.record_transport_result(now, server, transport, received=not lost)
        self.health.record_failure(now, server)
        if lost and transport is Transport.UDP:
            self._losses[server] = self._losses.get(server, 0) + 1
        if lost and server in self._trials and transport.other not in self._transports.get(server, ()):
            # A trial checks both transports: one that refuses TCP or drops datagrams may work over the other.
            self._retry = (server, transport.other)

    def record_answer(self, now: datetime, tried: Try) -> None:
        """Record a try with a valid answer."""
        self.health.record_transport_result(now, tried.server, tried.transport, received=True)
        self.health.record_answer(tried.server, now - tried.started_at)

    def _choose_transport(self, server: Address) -> Transport:
        """Choose TCP where datagrams of this question get lost, unless TCP fails there as well; else go by
        the health of this name server."""
        known = self.health.all.get(server)
        if known is None:
            return Transport.UDP
        repeated = sum(self._losses.values()) >= TCP_AFTER_LOSSES and self._losses.get(server)
        if repeated and not known.transports[Transport.TCP].failures:
            return Transport.TCP
        return known.choose_transport(self.rng)

    def _make_try(self, now: datetime, server: Address, transport: Transport) -> Try:
        self.tries += 1
        self._transports.setdefault(server, set()).add(transport)
        timeout = self.timeouts.tcp
        if transport is Transport.UDP:
            timeout = min(self.timeouts.first * 2.0 ** min(self._rounds, 8), self.timeouts.longest)
            timeout *= self.rng.uniform(0.8, 1.2)
        known = self.health.all.get(server)
        if server in self._trials and known is not None:
            # Limits what a trial of a failed name server costs the question, by its usual response time.
            timeout = min(
                timeout, max(MIN_TRIAL_TIMEOUT, TRIAL_TIMEOUT_FACTOR * timedelta(seconds=known.latency_s))
            )
        timeout = min(timeout, self.gives_up_at - now)
        return Try(
            server, transport, secrets.randbelow(65536), server not in self._without_edns, timeout, now
        )
