"""Lists as sources: the notice board, the zone with its updates, servers written in the operator file."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import dns.zone

from reedmount import interface as i
from reedmount.core.checks import COUNTERS, log
from reedmount.core.ports import ListedServer
from reedmount.dns.zone import ZoneServer, save_zone, zone_servers
from reedmount.pool.claims import Claim, ClaimState
from reedmount.sources.pool_host import PoolHost

BOARD, ZONE, FIXED = "list", "zone", "file"


class BoardSource:
    """What the notice board's reader tells as news of the core, told to the pool instead."""

    def __init__(self, host: PoolHost) -> None:
        self._host = host

    def pool_changed(self, version: int, kind: i.ListKind, entries: list[ListedServer]) -> None:
        """As ``Switch.pool_changed``; the versions have been checked by the reader."""
        claims = [self._claim(entry) for entry in entries]
        if kind is i.ListKind.CHANGES:
            self._host.partial_update(BOARD, claims)
        elif claims:  # one that was never heard says nothing, not that there are none
            self._host.full_update(BOARD, claims)

    @staticmethod
    def _claim(entry: ListedServer) -> Claim:
        word = (
            ClaimState.GONE if entry.removed else ClaimState.SERVING if entry.serving else ClaimState.DRAINING
        )
        return Claim(entry.address, entry.server, word, started=entry.started)  # it names no transport


class ZoneSource:
    """The zone as it stands: each change of it is a complete list of its call servers."""

    def __init__(
        self, host: PoolHost, zone: dns.zone.Zone, transports: Sequence[str], write_back: Path | None
    ) -> None:
        self._host, self._zone = host, zone
        self._transports, self._write_back = transports, write_back

    def start(self) -> None:
        """Tell what the zone file says."""
        self._say()

    def reload(self, zone: dns.zone.Zone, transports: Sequence[str], write_back: Path | None) -> None:
        """The operator's file and the zone file have been read again: they hold from now on."""
        self._transports, self._write_back = transports, write_back
        self.changed(zone, saved=True)

    def changed(self, zone: dns.zone.Zone, saved: bool = False) -> None:
        """The zone is another."""
        self._zone = zone
        found = self._say()
        log(f"zone changed: {len(found)} call servers", "dns.changed")
        if self._write_back is not None and not saved:
            try:
                save_zone(zone, self._write_back)
            except OSError as error:
                COUNTERS.add("dns.not_saved")
                log(f"{self._write_back}: {error}", "dns.not_saved")

    def _say(self) -> list[ZoneServer]:
        found = list(zone_servers(self._zone, self._transports).values())
        claims = [
            Claim(
                endpoint=item.address,
                name=item.server.rpartition(":")[0],
                transport=item.transport,
                priority=item.priority,
                weight=item.weight,
            )
            for item in found
        ]
        self._host.full_update(ZONE, claims)
        return found


def publish_fixed(host: PoolHost, claims: Sequence[Claim]) -> None:
    """The servers that the operator's file names, as it stands now."""
    host.full_update(FIXED, claims)
