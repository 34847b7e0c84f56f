"""Records: claims about one member, and the order that decides which of two claims wins."""

from __future__ import annotations

import ipaddress
import zlib
from enum import IntEnum
from hashlib import blake2b
from typing import Annotated

import msgspec
from msgspec import Meta

from reedmount.net.connection import Address

MAX_NAME = 24  # bytes of a member's name
MAX_ZONE = 12
UINT32_MAX = 2**32 - 1  # incarnations, boot, voter set and build ids have 32 bits
BUCKETS = 32  # of names, in the digest of a view

Uint32 = Annotated[int, Meta(ge=0, le=UINT32_MAX)]


class State(IntEnum):
    """The claimed state of a member; among claims of one incarnation, the greater state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One claim about one member, as sent. New fields may only be added at the end, with a default."""

    name: Annotated[str, Meta(min_length=1, max_length=MAX_NAME)]
    host: Annotated[bytes, Meta(min_length=4, max_length=16)]  # an IPv4 or IPv6 address
    port: Annotated[int, Meta(ge=1, le=65535)]
    incarnation: Uint32  # raised only by the member itself
    boot_id: Uint32  # random, drawn by each process at its start
    state: State
    voters_id: Uint32 = 0  # the id of the voter set that it uses
    zone: Annotated[str, Meta(max_length=MAX_ZONE)] = ""
    build: Uint32 = 0  # identifies its program and settings
    by: Annotated[str, Meta(max_length=MAX_NAME)] = ""  # of a suspicion: the accuser; not part of the claim

    @property
    def address(self) -> Address:
        """The address that it sends from and receives at."""
        return str(ipaddress.ip_address(self.host)), self.port

    @property
    def rank(self) -> tuple[int, State, int, bytes, int, int, str, int]:
        """A total order on the claims about one name: the greater wins, so that all views converge."""
        return (
            self.incarnation, self.state, self.boot_id, self.host, self.port, self.voters_id, self.zone,
            self.build,
        )  # fmt: skip

    @property
    def present(self) -> bool:
        """Whether it counts as running, and is probed: alive or suspected."""
        return self.state <= State.SUSPECT

    @property
    def digest(self) -> int:
        """A 64-bit digest of the claim. A suspected member digests as alive, since suspicions are transient.

        A member that is dead or left digests as 0, so that views with and without its record are equal.
        """
        if not self.present:
            return 0
        plain = msgspec.structs.replace(self, state=State.ALIVE, by="")
        return int.from_bytes(blake2b(msgspec.msgpack.encode(plain), digest_size=8).digest(), "big")

    def with_state(self, state: State, by: str = "") -> Record:
        """The same member, incarnation and process in another state."""
        return msgspec.structs.replace(self, state=state, by=by)


def record_of(
    name: str, address: Address, boot_id: int, voters_id: int = 0, zone: str = "", build: int = 0
) -> Record:
    """The first record of a member: alive, incarnation 0. Raises ValueError if the address is no IP address
    or a field is too long for a 256-byte datagram."""
    if not 1 <= len(name.encode()) <= MAX_NAME or not name.isascii():
        raise ValueError(f"a member's name is 1 to {MAX_NAME} ASCII characters: {name!r}")
    if len(zone.encode()) > MAX_ZONE:
        raise ValueError(f"a zone's name is {MAX_ZONE} bytes at most: {zone!r}")
    host = ipaddress.ip_address(address[0]).packed
    return Record(name, host, address[1], 0, boot_id, State.ALIVE, voters_id, zone, build)


def bucket_of(name: str) -> int:
    """The bucket of the view's digest that a name belongs to."""
    return zlib.crc32(name.encode()) % BUCKETS
