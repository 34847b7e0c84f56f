"""Members on the platform: the peers of ``GW_CONFIG``. Off unless ``run`` says ``--members``."""

from __future__ import annotations

import json
from collections.abc import Mapping
from datetime import timedelta
from pathlib import Path
from typing import Any

from reedmount.config import ConfigError, address
from reedmount.members.quorum import VoterSet
from reedmount.members.record import MAX_ZONE
from reedmount.members.settings import Timing
from reedmount.net.connection import Address
from reedmount.peers.settings import MAX_VOTERS, MAX_WAYS, MembershipSettings

# Datagrams are priced there by their length: half as many probes, and news at a third of the pace.
TIMING = Timing(
    interval=timedelta(seconds=1), timeout=timedelta(milliseconds=200), gossip=timedelta(milliseconds=300)
)


def read_peers(env: Mapping[str, str]) -> MembershipSettings | None:
    """Who our peers are; None where the settings do not allow talk between instances, or name nobody.

    The file has been read and checked as a whole before (config.py). Raises ConfigError naming the key.
    """
    config = json.loads(Path(env["GW_CONFIG"]).read_text(encoding="utf-8"))
    settings, peers, listen = config["settings"], config.get("peers"), config.get("peer_listen")
    allowed = settings.get("allowed", {}).get("peers", False)
    if not peers or not listen or allowed is not True:
        return None
    zone = str(settings.get("zone", "")).encode()[:MAX_ZONE].decode("ascii", "replace")
    return settings_of(peers, address(listen, "peer_listen"), settings.get("self_index"), zone)


def settings_of(peers: Any, listen: Address, own: Any, zone: str = "") -> MembershipSettings:
    """A member for each peer, named by its number: the list is ordered by the numbers in the settings.

    We are heard from our address in that list, which is not the one that we listen at.
    """
    if not isinstance(peers, list) or not 1 <= len(peers) <= MAX_VOTERS:
        raise ConfigError(f"peers: not a list of 1 to {MAX_VOTERS} addresses")
    addresses = [address(peer, "peers") for peer in peers]
    if len(set(addresses)) < len(addresses):
        raise ConfigError("peers: an address stands twice")
    if not isinstance(own, int) or isinstance(own, bool) or not 0 <= own < len(addresses):
        raise ConfigError(f"settings.self_index: not a place in peers: {own!r}")
    after = addresses[own + 1 :] + addresses[:own]  # so that not all ask the same few who is there
    return MembershipSettings(
        name=f"p{own}",
        group="platform",
        listen=listen,
        advertise=addresses[own],
        seed_addresses=tuple(after[:MAX_WAYS]),
        voter_sets=(VoterSet(0, frozenset(f"p{number}" for number in range(len(addresses)))),),
        zone=zone,
        nonvoters=False,
        timing=TIMING,
    )
