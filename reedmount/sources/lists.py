"""Lists as sources: the notice board, the zone with its updates, servers in the operator's file."""

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
    """Passes the notice board's pool list to the pool instead of the core."""

    def __init__(self, host: PoolHost) -> None:
        self._host = host

    def pool_changed(self, version: int, kind: i.ListKind, entries: list[ListedServer]) -> None:
        """Take a list or its changes, as ``Switch.pool_changed``; the reader has checked the versions."""
        claims = [self._claim(entry) for entry in entries]
        if kind is i.ListKind.CHANGES:
            self._host.partial_update(BOARD, claims)
        elif claims:  # empty: not received yet, rather than no servers
            self._host.full_update(BOARD, claims)

    @staticmethod
    def _claim(entry: ListedServer) -> Claim:
        state = (
            ClaimState.GONE if entry.removed else ClaimState.SERVING if entry.serving else ClaimState.DRAINING
        )
        # The board gives no transport. It tells a drain apart, so what it no longer lists has ended.
        return Claim(
            entry.address,
            entry.server,
            state,
            started=entry.started,
            names_process=True,
            ended=entry.removed,
        )


class ZoneSource:
    """The zone as a source: each change of it is a full update of its call servers."""

    def __init__(
        self, host: PoolHost, zone: dns.zone.Zone, transports: Sequence[str], write_back: Path | None
    ) -> None:
        self._host, self._zone = host, zone
        self._transports, self._write_back = transports, write_back

    def start(self) -> None:
        """Publish the servers of the zone file."""
        self._publish()

    def reload(self, zone: dns.zone.Zone, transports: Sequence[str], write_back: Path | None) -> None:
        """Apply a reloaded operator file and zone file."""
        self._transports, self._write_back = transports, write_back
        self.changed(zone, saved=True)

    def changed(self, zone: dns.zone.Zone, saved: bool = False) -> None:
        """Publish the servers of a changed zone, and write it back unless it was just read."""
        self._zone = zone
        listed = self._publish()
        log(f"zone changed: {len(listed)} call servers", "dns.changed")
        if self._write_back is not None and not saved:
            try:
                save_zone(zone, self._write_back)
            except OSError as error:
                COUNTERS.add("dns.not_saved")
                log(f"{self._write_back}: {error}", "dns.not_saved")

    def _publish(self) -> list[ZoneServer]:
        listed = list(zone_servers(self._zone, self._transports).values())
        claims = [
            Claim(
                endpoint=zone_server.address,
                name=zone_server.server.rpartition(":")[0],
                transport=zone_server.transport,
                priority=zone_server.priority,
                weight=zone_server.weight,
            )
            for zone_server in listed
        ]
        self._host.full_update(ZONE, claims)
        return listed


def publish_fixed(host: PoolHost, claims: Sequence[Claim]) -> None:
    """Publish the servers that the operator's file names."""
    host.full_update(FIXED, claims)
