"""Membership settings from an operator's configuration file."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from reedmount.members.quorum import VoterSet
from reedmount.members.record import UINT32_MAX, Record, record_of
from reedmount.members.settings import Timing
from reedmount.net.connection import Address

if TYPE_CHECKING:  # members on the platform look up no names: they need not import the resolver
    from reedmount.sources.srv import SrvSettings

MAX_SEED_ADDRESSES = 64  # addresses
MAX_VOTERS = 2048  # voting members


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """The ``[members]`` table."""

    name: str
    group: str
    listen: Address
    advertise: Address  # where others send to; differs from ``listen`` behind address translation
    seed_addresses: tuple[Address, ...]
    voter_sets: tuple[VoterSet, ...]  # the current one, then the previous one
    zone: str = ""
    nonvoters: bool = True
    event_address: Address | None = None  # where changes are sent as JSON datagrams
    timing: Timing = field(default_factory=Timing)
    build: int = 0
    srv: SrvSettings | None = None  # SRV names whose targets are further seed addresses
    max_report_hold: timedelta = timedelta(seconds=8)  # a server is held back on reports of others; 0: never

    def own_record(self, boot_id: int) -> Record:
        """This member's own record for a boot id. Raises ValueError if a field is out of range."""
        return record_of(self.name, self.advertise, boot_id, self.voter_sets[0].id, self.zone, self.build)


def fingerprint(text: str) -> int:
    """A 32-bit fingerprint of a program version or file."""
    return zlib.crc32(text.encode()) & UINT32_MAX
