"""Ways in among the members from SRV names: each target is an address at which a member may be met."""

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
    """Asks for the names as long as it lives, and tells the members what they say.

    A name is a way to be met and nothing else: who is a member, and who counts, the name does not say. One
    that cannot be learnt changes nothing; what it said last is kept, whatever its lifetime.
    """

    def __init__(self, loop: Loop, membership: Membership, settings: SrvSettings, rng: random.Random) -> None:
        self._membership = membership
        self._by_name: dict[str, tuple[Address, ...]] = {}
        self._source = SrvSource(loop, self, settings, rng)
        self._source.start()

    @property
    def fallback_description(self) -> str:
        """What there is, for a line to the staff."""
        return f"{sum(map(len, self._by_name.values()))} ways in by SRV"

    def full_update(
        self,
        source: str,
        claims: Sequence[Claim],
        part: str = "",
        fresh_for: timedelta | None = None,
        keep_for: timedelta | None = None,
    ) -> None:
        """All that a name says. One that names nobody is passed over: it may be empty while all start."""
        COUNTERS.add("members.ways.heard")
        if claims:
            self._by_name[part] = tuple(claim.endpoint for claim in claims)
            self._membership.found_ways(way for ways in self._by_name.values() for way in ways)

    def source_failed(self, source: str, why: str, part: str = "") -> None:
        """A name could not be learnt: we go on with what it said last."""
        COUNTERS.add("members.ways.failed")

    def drop(self, source: str, part: str = "") -> None:
        """A name is not asked for any more."""
        self._by_name.pop(part, None)

    def close(self) -> None:
        """Ask nothing more."""
        self._source.close()
