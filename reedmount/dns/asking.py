"""One question on its way from name server to name server: whom next, how, and when to stop. Pure."""

from __future__ import annotations

import random
import secrets
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum

from reedmount.dns.answers import Fault
from reedmount.dns.health import NameServers
from reedmount.net.connection import Address

TCP_AFTER = 2  # datagrams lost
UDP_AGAIN = 1 / 16  # of the questions to a name server whose datagrams were lost


class Over(Enum):
    """How a try goes."""

    UDP = "udp"
    TCP = "tcp"


@dataclass(frozen=True, slots=True)
class Patience:
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
class GivenUp:
    """The end, without an answer."""

    why: str


@dataclass(slots=True)
class Asking:
    """A question that is out. ``next`` after each end of a try, until it was answered or is given up."""

    began: datetime
    health: NameServers
    patience: Patience
    chance: random.Random
    tries: int = 0
    last: Fault = Fault.LOST
    _lost: dict[Address, int] = field(default_factory=dict)
    _passed: set[Address] = field(default_factory=set)  # have had their turn in this round
    _plain: set[Address] = field(default_factory=set)  # do not know EDNS
    _again: tuple[Address, Over] | None = None  # the same one, another way
    _rounds: int = 0

    @property
    def ends(self) -> datetime:
        """When it is given up whatever is under way."""
        return self.began + self.patience.deadline

    def next(self, now: datetime) -> Try | Pause | GivenUp:
        """What to do now that nothing is under way."""
        if now >= self.ends:
            return GivenUp(f"{self.last.value} within {self.patience.deadline.total_seconds():g} s")
        if self._again is not None:
            (server, over), self._again = self._again, None
            return self._try(now, server, over)
        picked = self.health.pick(now, self._passed)
        if picked is not None:
            self._passed.add(picked)
            return self._try(now, picked, self._way(picked))
        if self._passed:
            # All had their turn: another round after a pause.
            self._passed.clear()
            self._rounds += 1
            pause = self.patience.pause * 2.0 ** min(self._rounds - 1, 8) * self.chance.uniform(0.75, 1.25)
            return Pause(min(now + pause, self.ends))
        due = self.health.next_due(now)
        if due is None or due >= self.ends:
            return GivenUp("all name servers are dead, and none is due for a trial")
        return Pause(max(due, now + timedelta(milliseconds=1)))

    def failed(self, now: datetime, tried: Try, fault: Fault) -> None:
        """A try brought nothing that counts."""
        self.last = fault
        if fault is Fault.CUT and tried.over is Over.UDP:
            self.health.answered(tried.server, now - tried.began)
            self._again = (tried.server, Over.TCP)
        elif fault is Fault.FORMERR and tried.edns:
            # A name server from before EDNS (RFC 6891, section 6.2.2).
            self._plain.add(tried.server)
            self._again = (tried.server, tried.over)
        else:
            self.health.failed(now, tried.server)
            if fault is Fault.LOST and tried.over is Over.UDP:
                self._lost[tried.server] = self._lost.get(tried.server, 0) + 1
                self.health.datagram(tried.server, lost=True)

    def answered(self, now: datetime, tried: Try) -> None:
        """A try brought an answer that counts."""
        if tried.over is Over.UDP:
            self.health.datagram(tried.server, lost=False)
        self.health.answered(tried.server, now - tried.began)

    def _way(self, server: Address) -> Over:
        """TCP where datagrams get lost: of this question's, or before it with this name server."""
        known = self.health.all.get(server)
        if known is not None and known.datagrams_lost >= TCP_AFTER and not self._lost.get(server):
            return Over.UDP if self.chance.random() < UDP_AGAIN else Over.TCP
        repeated = sum(self._lost.values()) >= TCP_AFTER
        return Over.TCP if repeated and self._lost.get(server) else Over.UDP

    def _try(self, now: datetime, server: Address, over: Over) -> Try:
        self.tries += 1
        wait = self.patience.tcp
        if over is Over.UDP:
            wait = min(self.patience.first * 2.0 ** min(self._rounds, 8), self.patience.longest)
            wait *= self.chance.uniform(0.8, 1.2)
        wait = min(wait, self.ends - now)
        return Try(server, over, secrets.randbelow(65536), server not in self._plain, wait, now)
