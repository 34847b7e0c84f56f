"""What an operator's file says of the members of a group."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from reedmount.members.quorum import VoterSet
from reedmount.members.record import UINT32_MAX, Record, record_of
from reedmount.members.settings import Timing
from reedmount.net.connection import Address

if TYPE_CHECKING:  # the platform's members ask no names: they are spared the resolver
    from reedmount.sources.srv import SrvSettings

MAX_WAYS = 64  # addresses to join by
MAX_VOTERS = 2048  # members that count


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """The table ``[members]``."""

    name: str
    group: str
    listen: Address
    advertise: Address  # where others send to; another one than ``listen`` behind a translation of addresses
    seed_addresses: tuple[Address, ...]
    voter_sets: tuple[VoterSet, ...]  # ours, then the one before it
    zone: str = ""
    nonvoters: bool = True
    tell: Address | None = None  # where changes are told as JSON, a datagram each
    timing: Timing = field(default_factory=Timing)
    build: int = 0
    srv: SrvSettings | None = None  # names whose targets are ways in as well
    max_report_hold: timedelta = timedelta(
        seconds=8
    )  # how long a call server is held back on others' word; 0: never

    def me(self, boot_id: int) -> Record:
        """What a process of this life says of itself. Raises ValueError where a field does not fit."""
        return record_of(self.name, self.advertise, boot_id, self.voter_sets[0].id, self.zone, self.build)


def identity(text: str) -> int:
    """32 bits that tell one program or file from another."""
    return zlib.crc32(text.encode()) & UINT32_MAX
