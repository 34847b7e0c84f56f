"""Who keeps copies of whose shard: rendezvous hashing (Thaler and Ravishankar 1998) over the roster.

Known to everybody from the settings alone, whatever they see; a member that joins the roster or goes moves
only the sets that it is in.
"""

from __future__ import annotations

from collections.abc import Collection
from functools import lru_cache
from hashlib import blake2b

MAX_FAULTS = 3  # f: machines that may be lost with their disks at once


def holders(owner: str, voters: Collection[str], faults: int) -> tuple[str, ...]:
    """The 2f members beside the owner, in the order in which they act for it; fewer where there are fewer."""
    return _ranked(owner, frozenset(voters))[: 2 * faults]


def set_size(owner: str, voters: Collection[str], faults: int) -> int:
    """How many keep a copy, the owner included."""
    return 1 + len(holders(owner, voters, faults))


@lru_cache(maxsize=4096)
def _ranked(owner: str, voters: frozenset[str]) -> tuple[str, ...]:
    def weight(name: str) -> bytes:
        return blake2b(f"{owner}\n{name}".encode(), digest_size=8).digest()

    return tuple(sorted(voters - {owner}, key=lambda name: (weight(name), name), reverse=True))
