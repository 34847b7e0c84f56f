"""Health of the name servers and of each transport to them: which to query next, how, and how often.

No I/O. The health of a name server and of a transport to it are kept apart: a name server behind a firewall
that refuses TCP, or one whose datagrams are dropped, is still usable over the other transport. A dead one is
retried after a back-off that doubles up to a limit, which depends on whether others can be queried meanwhile:
``MAX_BACKOFF_ALONE`` if not, so that the first possible answer after an outage is delayed by at most
``MAX_BACKOFF_ALONE`` times 1.25 (the jitter); else ``MAX_BACKOFF_WITH_OTHERS``. The bounds: docs/SOURCES.md.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum

from reedmount.core.checks import COUNTERS
from reedmount.net.connection import Address

DEAD_AFTER = 3  # consecutive failed tries
INITIAL_BACKOFF = timedelta(seconds=1)
MAX_BACKOFF_ALONE = timedelta(
    milliseconds=1200
)  # no other name server answers meanwhile, so every second counts
MAX_BACKOFF_WITH_OTHERS = timedelta(milliseconds=3200)  # others answer, and a trial delays its question
JITTER = (0.75, 1.25)  # spreads the retries of border controllers that backed off together
SMOOTHING = 0.25  # weight of the newest response time
INITIAL_LATENCY_S = 0.05  # assumed for a name server not queried yet, so that it gets queried
TCP_AFTER_LOSSES = 2  # consecutive losses over UDP before TCP is preferred
OTHER_TRANSPORT_PROBABILITY = 1 / 16  # of the tries, to check the worse transport again


class Transport(Enum):
    """The transport of a try."""

    UDP = "udp"
    TCP = "tcp"

    @property
    def other(self) -> Transport:
        """The other transport."""
        return Transport.TCP if self is Transport.UDP else Transport.UDP


@dataclass(slots=True)
class TransportHealth:
    """The health of one transport to a name server."""

    failures: int = 0  # consecutive tries without a response: lost, refused, cut off
    last_received_at: datetime | None = None  # when a response last arrived over it


@dataclass(slots=True)
class NameServer:
    """The health of one name server."""

    address: Address
    latency_s: float = INITIAL_LATENCY_S
    failures: int = 0  # consecutive failed tries, over any transport
    backoff_from: datetime | None = None
    backoff: timedelta = INITIAL_BACKOFF  # before the current limit and the jitter
    jitter: float = 1.0
    transports: dict[Transport, TransportHealth] = field(
        default_factory=lambda: {Transport.UDP: TransportHealth(), Transport.TCP: TransportHealth()}
    )

    @property
    def is_dead(self) -> bool:
        """Whether it is only queried in occasional trials."""
        return self.failures >= DEAD_AFTER

    @property
    def udp_failures(self) -> int:
        """Consecutive tries over UDP without a response."""
        return self.transports[Transport.UDP].failures

    def choose_transport(self, rng: random.Random) -> Transport:
        """Choose UDP while datagrams get through, else the transport of the last response, so that an outage
        of the name server itself, when both fail, changes nothing; occasionally choose the other one."""
        udp, tcp = self.transports[Transport.UDP], self.transports[Transport.TCP]
        preferred = Transport.UDP
        if udp.failures >= TCP_AFTER_LOSSES:
            if udp.last_received_at is None and tcp.last_received_at is None:
                preferred = Transport.TCP if tcp.failures < udp.failures else Transport.UDP
            elif (
                udp.last_received_at is None
                or tcp.last_received_at is not None
                and tcp.last_received_at >= udp.last_received_at
            ):
                preferred = Transport.TCP
        if (udp.failures or tcp.failures) and rng.random() < OTHER_TRANSPORT_PROBABILITY:
            return preferred.other
        return preferred


class NameServers:
    """The configured name servers."""

    def __init__(self, addresses: Collection[Address], rng: random.Random) -> None:
        self._rng = rng
        self.all = {address: NameServer(address) for address in addresses}

    def set_addresses(self, addresses: Collection[Address]) -> None:
        """Replace the addresses; name servers that stay keep their health."""
        self.all = {address: self.all.get(address) or NameServer(address) for address in addresses}

    def pick(self, now: datetime, tried: Collection[Address]) -> tuple[Address, bool] | None:
        """Return the name server to query next, and whether this is a trial (it has failed lately): one that
        failed and whose back-off is over, with a single question; else the quickest.

        Without the trial, one that once lost a datagram would never be queried again while others work.
        """
        candidates = [server for server in self.all.values() if server.address not in tried]
        due = [server for server in candidates if server.failures and self.is_due(now, server)]
        if due:
            trial = min(due, key=lambda server: (self.due_at(server) or now, server.address))
            self._start_backoff(now, trial)  # no second question is sent to it before this one has failed
            COUNTERS.add("dns.ns.trials")
            return trial.address, True
        alive = [server for server in candidates if not server.is_dead]
        if not alive:
            return None
        best = min(alive, key=lambda server: (server.failures, server.latency_s, server.address))
        return best.address, bool(best.failures)

    def next_due(self, now: datetime) -> datetime | None:
        """Return when the first of the dead name servers may be tried again."""
        return min((self.due_at(item) or now for item in self.all.values() if item.is_dead), default=None)

    def record_answer(self, address: Address, latency: timedelta) -> None:
        """Record that it responded, whatever the response."""
        server = self.all.get(address)
        if server is None:
            return
        if server.is_dead:
            COUNTERS.add("dns.ns.recovered")
        server.failures, server.backoff_from, server.backoff = 0, None, INITIAL_BACKOFF
        server.latency_s += SMOOTHING * (latency.total_seconds() - server.latency_s)

    def record_transport_result(
        self, now: datetime, address: Address, transport: Transport, received: bool
    ) -> None:
        """Record whether a try over this transport got any response."""
        server = self.all.get(address)
        if server is None:
            return
        state = server.transports[transport]
        if received:
            state.failures, state.last_received_at = 0, now
        else:
            state.failures += 1

    def record_failure(self, now: datetime, address: Address) -> None:
        """Record a failed try."""
        server = self.all.get(address)
        if server is None:
            return
        server.failures += 1
        if server.failures == DEAD_AFTER:
            COUNTERS.add("dns.ns.died")
        self._start_backoff(now, server)

    def is_due(self, now: datetime, server: NameServer) -> bool:
        """Whether its back-off is over."""
        at = self.due_at(server)
        return at is None or now >= at

    def due_at(self, server: NameServer) -> datetime | None:
        """Return when its back-off ends. The current limit applies, so a back-off begun while others were
        alive is shortened when they die."""
        if server.backoff_from is None:
            return None
        others = any(not item.is_dead for item in self.all.values() if item is not server)
        return (
            server.backoff_from
            + min(server.backoff, MAX_BACKOFF_WITH_OTHERS if others else MAX_BACKOFF_ALONE) * server.jitter
        )

    def _start_backoff(self, now: datetime, server: NameServer) -> None:
        doublings = min(max(server.failures - 1, 0), 16)
        server.backoff_from, server.backoff = now, INITIAL_BACKOFF * 2.0**doublings
        server.jitter = self._rng.uniform(*JITTER)
