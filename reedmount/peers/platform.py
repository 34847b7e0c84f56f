"""Membership on the platform, from the peers in ``GW_CONFIG``. Off unless ``run`` is given ``--members``."""

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
from reedmount.peers.settings import MAX_SEED_ADDRESSES, MAX_VOTERS, MembershipSettings

# The platform charges for datagrams by length: half the default probe rate, a third of the gossip rate.
TIMING = Timing(
    interval=timedelta(seconds=1), timeout=timedelta(milliseconds=200), gossip=timedelta(milliseconds=300)
)


def read_peers(env: Mapping[str, str]) -> MembershipSettings | None:
    """Reads the peers; None if the settings name none or do not allow traffic between instances.

    The file as a whole has been read and checked before (config.py). Raises ConfigError naming the key.
    """
    config = json.loads(Path(env["GW_CONFIG"]).read_text(encoding="utf-8"))
    settings, peers, listen = config["settings"], config.get("peers"), config.get("peer_listen")
    allowed = settings.get("allowed", {}).get("peers", False)
    if not peers or not listen or allowed is not True:
        return None
    zone = str(settings.get("zone", "")).encode()[:MAX_ZONE].decode("ascii", "replace")
    return membership_settings(peers, address(listen, "peer_listen"), settings.get("self_index"), zone)


def membership_settings(peers: Any, listen: Address, self_index: Any, zone: str = "") -> MembershipSettings:
    """One member per peer, named by its index: the order of the list is that of the indices in the settings.

    Others see datagrams from this instance's address in the list, which differs from the listening address.
    """
    if not isinstance(peers, list) or not 1 <= len(peers) <= MAX_VOTERS:
        raise ConfigError(f"peers: not a list of 1 to {MAX_VOTERS} addresses")
    addresses = [address(peer, "peers") for peer in peers]
    if len(set(addresses)) < len(addresses):
        raise ConfigError("peers: an address stands twice")
    if (
        not isinstance(self_index, int)
        or isinstance(self_index, bool)
        or not 0 <= self_index < len(addresses)
    ):
        raise ConfigError(f"settings.self_index: not a place in peers: {self_index!r}")
    # Rotated, so that not all instances join by the same few.
    candidates = addresses[self_index + 1 :] + addresses[:self_index]
    return MembershipSettings(
        name=f"p{self_index}",
        group="platform",
        listen=listen,
        advertise=addresses[self_index],
        seed_addresses=tuple(candidates[:MAX_SEED_ADDRESSES]),
        voter_sets=(VoterSet(0, frozenset(f"p{number}" for number in range(len(addresses)))),),
        zone=zone,
        nonvoters=False,
        timing=TIMING,
    )
