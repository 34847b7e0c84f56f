"""How the name servers do, each by itself and each way to it: whom to ask next, how, and how rarely.

Pure. Health of a name server and health of a way to it are kept apart: a name server behind a firewall that
refuses TCP, or one whose datagrams are dropped, is still a good name server over the other way. A dead one is
tried again after a rest that doubles, and that is bounded by whether others are there to ask meanwhile:
alone, a rest of ``ALONE_REST`` at most, so that the first answer possible after an outage comes at most
``ALONE_REST`` times 1.25 later (the jitter); beside one alive, ``BESIDE_REST``. The bounds: docs/SOURCES.md.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum

from reedmount.core.checks import COUNTERS
from reedmount.net.connection import Address

DEAD_AFTER = 3  # tries in a row that brought nothing
FIRST_REST = timedelta(seconds=1)
ALONE_REST = timedelta(milliseconds=1200)  # no other name server answers meanwhile: each second counts
BESIDE_REST = timedelta(milliseconds=3200)  # others answer: a trial costs a question some of its time
JITTER = (0.75, 1.25)  # rests of many border controllers that began together end apart
SMOOTHING = 0.25  # weight of the newest time of an answer
UNKNOWN_S = 0.05  # what a name server that was never asked counts as taking: it gets its chance
TCP_AFTER = 2  # tries in a row that were lost over UDP before TCP comes first
OTHER_WAY_AGAIN = 1 / 16  # of the tries to one whose better way is known: the worse one is looked at again


class Over(Enum):
    """How a try goes."""

    UDP = "udp"
    TCP = "tcp"

    @property
    def other(self) -> Over:
        """The other way."""
        return Over.TCP if self is Over.UDP else Over.UDP


@dataclass(slots=True)
class Way:
    """One way to a name server."""

    failed: int = 0  # tries in a row over it that brought nothing from the net: lost, refused, cut off
    through_at: datetime | None = None  # when something came back over it last


@dataclass(slots=True)
class NameServer:
    """What is known of one."""

    address: Address
    taken_s: float = UNKNOWN_S
    failures: int = 0  # tries in a row that brought nothing, whatever the way
    rest_from: datetime | None = None
    rest: timedelta = FIRST_REST  # before the bound of the moment and the jitter
    jitter: float = 1.0
    ways: dict[Over, Way] = field(default_factory=lambda: {Over.UDP: Way(), Over.TCP: Way()})

    @property
    def dead(self) -> bool:
        """Whether it is only tried now and then."""
        return self.failures >= DEAD_AFTER

    @property
    def datagrams_lost(self) -> int:
        """Tries in a row over UDP that brought nothing."""
        return self.ways[Over.UDP].failed

    def way(self, rng: random.Random) -> Over:
        """UDP while datagrams get through; else the way over which something came back last, so that an
        outage of the name server itself, when both fail, leaves its way as it was; now and then the other."""
        udp, tcp = self.ways[Over.UDP], self.ways[Over.TCP]
        better = Over.UDP
        if udp.failed >= TCP_AFTER:
            if udp.through_at is None and tcp.through_at is None:
                better = Over.TCP if tcp.failed < udp.failed else Over.UDP
            elif udp.through_at is None or tcp.through_at is not None and tcp.through_at >= udp.through_at:
                better = Over.TCP
        if (udp.failed or tcp.failed) and rng.random() < OTHER_WAY_AGAIN:
            return better.other
        return better


class NameServers:
    """All that may be asked."""

    def __init__(self, addresses: Collection[Address], rng: random.Random) -> None:
        self._rng = rng
        self.all = {address: NameServer(address) for address in addresses}

    def set_addresses(self, addresses: Collection[Address]) -> None:
        """Other ones from now on; of those that stay, what is known stays."""
        self.all = {address: self.all.get(address) or NameServer(address) for address in addresses}

    def pick(self, now: datetime, passed: Collection[Address]) -> tuple[Address, bool] | None:
        """Whom to ask next, and whether as a trial (it has failed lately): one that failed and has rested,
        one question each time; else the quickest.

        Without that trial one that once lost a datagram would never be asked again while others do well.
        """
        waiting = [server for server in self.all.values() if server.address not in passed]
        due = [server for server in waiting if server.failures and self.rested(now, server)]
        if due:
            trial = min(due, key=lambda server: (self.rested_at(server) or now, server.address))
            self._rest(now, trial)  # no second question goes there before this one has failed
            COUNTERS.add("dns.ns.trials")
            return trial.address, True
        alive = [server for server in waiting if not server.dead]
        if not alive:
            return None
        best = min(alive, key=lambda server: (server.failures, server.taken_s, server.address))
        return best.address, bool(best.failures)

    def next_due(self, now: datetime) -> datetime | None:
        """When the first of the dead ones may be tried again."""
        return min((self.rested_at(item) or now for item in self.all.values() if item.dead), default=None)

    def answered(self, address: Address, taken: timedelta) -> None:
        """It gave an answer, good or bad for us: it is there."""
        server = self.all.get(address)
        if server is None:
            return
        if server.dead:
            COUNTERS.add("dns.ns.recovered")
        server.failures, server.rest_from, server.rest = 0, None, FIRST_REST
        server.taken_s += SMOOTHING * (taken.total_seconds() - server.taken_s)

    def way(self, now: datetime, address: Address, over: Over, came_through: bool) -> None:
        """Whether a try over this way got anything back from the net at all."""
        server = self.all.get(address)
        if server is None:
            return
        way = server.ways[over]
        if came_through:
            way.failed, way.through_at = 0, now
        else:
            way.failed += 1

    def failed(self, now: datetime, address: Address) -> None:
        """It brought nothing."""
        server = self.all.get(address)
        if server is None:
            return
        server.failures += 1
        if server.failures == DEAD_AFTER:
            COUNTERS.add("dns.ns.died")
        self._rest(now, server)

    def rested(self, now: datetime, server: NameServer) -> bool:
        """Whether it may be tried now."""
        at = self.rested_at(server)
        return at is None or now >= at

    def rested_at(self, server: NameServer) -> datetime | None:
        """When its rest ends: the bound is that of the moment, so a rest begun beside others is cut short
        when the others die."""
        if server.rest_from is None:
            return None
        others = any(not item.dead for item in self.all.values() if item is not server)
        return server.rest_from + min(server.rest, BESIDE_REST if others else ALONE_REST) * server.jitter

    def _rest(self, now: datetime, server: NameServer) -> None:
        doubled = min(max(server.failures - 1, 0), 16)
        server.rest_from, server.rest = now, FIRST_REST * 2.0**doubled
        server.jitter = self._rng.uniform(*JITTER)
