"""How the name servers do, each by itself: which is asked next, and how rarely a dead one. Pure."""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass
from datetime import datetime, timedelta

from reedmount.core.checks import COUNTERS
from reedmount.net.connection import Address

DEAD_AFTER = 3  # tries in a row that brought nothing
FIRST_REST, LONGEST_REST = timedelta(seconds=1), timedelta(seconds=60)
SMOOTHING = 0.25  # weight of the newest time of an answer
UNKNOWN_S = 0.05  # what a name server that was never asked counts as taking: it gets its chance


@dataclass(slots=True)
class NameServer:
    """What is known of one."""

    address: Address
    taken_s: float = UNKNOWN_S
    failures: int = 0  # in a row
    rest_until: datetime | None = None
    datagrams_lost: int = 0  # in a row, of whatever questions

    @property
    def dead(self) -> bool:
        """Whether it is only tried now and then."""
        return self.failures >= DEAD_AFTER


class NameServers:
    """All that may be asked."""

    def __init__(self, addresses: Collection[Address], chance: random.Random) -> None:
        self._chance = chance
        self.all = {address: NameServer(address) for address in addresses}

    def settle(self, addresses: Collection[Address]) -> None:
        """Other ones from now on; of those that stay, what is known stays."""
        self.all = {address: self.all.get(address) or NameServer(address) for address in addresses}

    def pick(self, now: datetime, passed: Collection[Address]) -> Address | None:
        """Whom to ask next: one that failed and has rested, one question each time; else the quickest.

        Without that trial one that once lost a datagram would never be asked again while others do well.
        """
        waiting = [server for server in self.all.values() if server.address not in passed]
        due = [server for server in waiting if server.failures and self._rested(now, server)]
        if due:
            trial = min(due, key=lambda server: (server.rest_until or now, server.address))
            self._rest(now, trial)  # no second question goes there before this one has failed
            COUNTERS.add("dns.ns.trials")
            return trial.address
        alive = [server for server in waiting if not server.dead]
        if not alive:
            return None
        return min(alive, key=lambda server: (server.failures, server.taken_s, server.address)).address

    def next_due(self, now: datetime) -> datetime | None:
        """When the first of the dead ones may be tried again."""
        return min((item.rest_until or now for item in self.all.values() if item.dead), default=None)

    def answered(self, address: Address, taken: timedelta) -> None:
        """It gave an answer, good or bad for us: it is there."""
        server = self.all.get(address)
        if server is None:
            return
        if server.dead:
            COUNTERS.add("dns.ns.recovered")
        server.failures, server.rest_until = 0, None
        server.taken_s += SMOOTHING * (taken.total_seconds() - server.taken_s)

    def datagram(self, address: Address, lost: bool) -> None:
        """Whether datagrams get through to it and back."""
        server = self.all.get(address)
        if server is not None:
            server.datagrams_lost = server.datagrams_lost + 1 if lost else 0

    def failed(self, now: datetime, address: Address) -> None:
        """It brought nothing."""
        server = self.all.get(address)
        if server is None:
            return
        server.failures += 1
        if server.failures == DEAD_AFTER:
            COUNTERS.add("dns.ns.died")
        self._rest(now, server)

    @staticmethod
    def _rested(now: datetime, server: NameServer) -> bool:
        return server.rest_until is None or now >= server.rest_until

    def _rest(self, now: datetime, server: NameServer) -> None:
        doubled = min(server.failures - 1, 16)
        span = min(FIRST_REST * 2.0**doubled, LONGEST_REST)
        server.rest_until = now + span * self._chance.uniform(0.75, 1.25)
