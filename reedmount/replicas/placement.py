"""Replica placement: rendezvous hashing (Thaler and Ravishankar 1998) over the voters.

Every member computes it from the settings alone, independent of its membership view. A member that joins or
leaves the voters changes only the sets that it is part of.
"""

from __future__ import annotations

from collections.abc import Collection
from functools import lru_cache
from hashlib import blake2b

MAX_FAULTS = 3  # f, machines that may be lost at once with their disks


def holders(owner: str, voters: Collection[str], faults: int) -> tuple[str, ...]:
    """The 2f holders besides the owner, in the order in which they take over for it; fewer if there are
    fewer voters."""
    return _ranked_members(owner, frozenset(voters))[: 2 * faults]


def set_size(owner: str, voters: Collection[str], faults: int) -> int:
    """The number of replicas, the owner's included."""
    return 1 + len(holders(owner, voters, faults))


@lru_cache(maxsize=4096)
def _ranked_members(owner: str, voters: frozenset[str]) -> tuple[str, ...]:
    def weight(name: str) -> bytes:
        return blake2b(f"{owner}\n{name}".encode(), digest_size=8).digest()

    return tuple(sorted(voters - {owner}, key=lambda name: (weight(name), name), reverse=True))
