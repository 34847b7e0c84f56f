"""Discovers seed addresses by SRV names: each target is an address at which a member may be reached."""

from __future__ import annotations

import random
from collections.abc import Sequence
from datetime import timedelta

from reedmount.core.checks import COUNTERS
from reedmount.net.connection import Address
from reedmount.net.loop import Loop
from reedmount.peers.membership import Membership
from reedmount.pool.claims import Claim
from reedmount.sources.srv import SrvSettings, SrvSource


class SeedDiscovery:
    """Resolves the names periodically and passes the addresses to the membership protocol.

    The names only provide addresses to join by; they decide neither who is a member nor who votes. A failed
    lookup changes nothing: the last result is kept, whatever its TTL.
    """

    def __init__(self, loop: Loop, membership: Membership, settings: SrvSettings, rng: random.Random) -> None:
        self._membership = membership
        self._by_name: dict[str, tuple[Address, ...]] = {}
        self._source = SrvSource(loop, self, settings, rng)
        self._source.start()

    @property
    def fallback_description(self) -> str:
        """The addresses in use, for a log line."""
        return f"{sum(map(len, self._by_name.values()))} seed addresses by SRV"

    def full_update(
        self,
        source: str,
        claims: Sequence[Claim],
        part: str = "",
        fresh_for: timedelta | None = None,
        keep_for: timedelta | None = None,
    ) -> None:
        """The result for a name. An empty one is ignored: the name may be empty while all members start."""
        COUNTERS.add("members.ways.heard")
        if claims:
            self._by_name[part] = tuple(claim.endpoint for claim in claims)
            self._membership.set_discovered_seeds(
                address for addresses in self._by_name.values() for address in addresses
            )

    def source_failed(self, source: str, why: str, part: str = "") -> None:
        """A lookup failed: its last result stays in use."""
        COUNTERS.add("members.ways.failed")

    def drop(self, source: str, part: str = "") -> None:
        """A name is no longer looked up."""
        self._by_name.pop(part, None)

    def close(self) -> None:
        """Stop the lookups."""
        self._source.close()
