"""DNS messages from the wire, record by record: reading a long one never holds the loop for long.

Names and records are read by dnspython; this module walks the sections (RFC 1035, section 4.1) and lets go
after each slice. Everything is bounded: the message's size by its transport, the records by ``MAX_RECORDS``.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Generator
from dataclasses import dataclass, field
from typing import NamedTuple

import dns.exception
import dns.flags
import dns.name
import dns.rdataclass
import dns.rdatatype
import dns.wire

MAX_RECORDS = 4000
SLICE = 24  # records between two looks at the rest of the program
HEADER = struct.Struct("!HHHHHH")
TOP_BIT = 1 << 31


class ReadError(ValueError):
    """Bytes that are no DNS message, or one beyond the bounds."""


class Question(NamedTuple):
    """A name, in lower case with its last dot, and the type asked for."""

    name: str
    rdtype: dns.rdatatype.RdataType

    def __str__(self) -> str:
        """As staff read it."""
        return f"{self.name} {dns.rdatatype.to_text(self.rdtype)}"


class Target(NamedTuple):
    """One SRV record (RFC 2782). In this order they sort."""

    priority: int
    host: str  # "." where the service is decidedly not there
    port: int
    weight: int


class Record(NamedTuple):
    """One record; ``data`` is None for types that nobody here asks for.

    A and AAAA: the address. CNAME: the name. SOA: the minimum (s), which bounds negative answers.
    """

    name: str
    rdtype: int
    ttl: int
    data: Target | str | int | None


@dataclass(slots=True)
class Reply:
    """A response as it came."""

    id: int
    flags: int
    rcode: int
    question: Question | None
    answer: list[Record] = field(default_factory=list)
    authority: list[Record] = field(default_factory=list)
    additional: list[Record] = field(default_factory=list)

    @property
    def cut(self) -> bool:
        """Whether it was truncated: nothing in it counts then (RFC 2181, section 9)."""
        return bool(self.flags & dns.flags.TC)


def query(number: int, question: Question, payload: int | None) -> bytes:
    """A question as it goes out, with an OPT record (RFC 6891) where a payload is named."""
    flags = dns.flags.RD
    wire = HEADER.pack(number, flags, 1, 0, 0, 0 if payload is None else 1)
    wire += dns.name.from_text(question.name).to_wire() or b""
    wire += struct.pack("!HH", question.rdtype, dns.rdataclass.IN)
    if payload is not None:
        wire += b"\0" + struct.pack("!HHIH", dns.rdatatype.OPT, payload, 0, 0)
    return wire


def name_of(name: dns.name.Name) -> str:
    """A name as it is compared here."""
    return name.to_text().lower()


def read_head(wire: bytes) -> Reply:
    """The header and the question alone: enough to tell whether it is an answer to what was asked."""
    try:
        reply, _, _ = _head(wire)
    except (dns.exception.DNSException, struct.error, ValueError, IndexError) as error:
        raise ReadError(f"{type(error).__name__} {error}") from None
    return reply


def read_reply(wire: bytes) -> Generator[None, None, Reply]:
    """The whole message; yields after each slice of records. Raises ReadError."""
    try:
        reply, parser, counts = _head(wire)
        if sum(counts) > MAX_RECORDS:
            raise ReadError(f"{sum(counts)} records")
        done = 0
        sections = (reply.answer, reply.authority, reply.additional)
        for section, count in zip(sections, counts, strict=True):
            for _ in range(count):
                record = _record(parser)
                if record.rdtype == dns.rdatatype.OPT:
                    reply.rcode |= record.ttl >> 24 << 4  # RFC 6891, section 6.1.3
                else:
                    section.append(record)
                done += 1
                if done % SLICE == 0:
                    yield
        return reply
    except (dns.exception.DNSException, struct.error, ValueError, IndexError) as error:
        raise ReadError(f"{type(error).__name__} {error}") from None


def _head(wire: bytes) -> tuple[Reply, dns.wire.Parser, tuple[int, int, int]]:
    if len(wire) < HEADER.size:
        raise ReadError("shorter than a header")
    number, flags, asked, *counts = HEADER.unpack_from(wire)
    parser = dns.wire.Parser(wire, HEADER.size)
    question = None
    if asked > 1:
        raise ReadError(f"{asked} questions")
    if asked:
        name = parser.get_name()
        rdtype, rdclass = parser.get_struct("!HH")
        if rdclass == dns.rdataclass.IN:
            question = Question(name_of(name), dns.rdatatype.RdataType.make(rdtype))
    return Reply(number, flags, flags & 15, question), parser, (counts[0], counts[1], counts[2])


def _record(parser: dns.wire.Parser) -> Record:
    name = parser.get_name()
    rdtype, rdclass, ttl, length = parser.get_struct("!HHIH")
    with parser.restrict_to(length):
        data = _data(parser, rdtype) if rdclass == dns.rdataclass.IN else None
        if data is None:
            parser.get_remaining()
    if rdtype != dns.rdatatype.OPT and ttl & TOP_BIT:
        ttl = 0  # RFC 2181, section 8
    return Record(name_of(name), rdtype, ttl, data)


def _data(parser: dns.wire.Parser, rdtype: int) -> Target | str | int | None:
    """The fields that are looked at here; what is left over in a record makes it unreadable."""
    if rdtype == dns.rdatatype.SRV:
        priority, weight, port = parser.get_struct("!HHH")
        return Target(priority, name_of(parser.get_name()), port, weight)
    if rdtype == dns.rdatatype.A:
        return socket.inet_ntop(socket.AF_INET, parser.get_bytes(4))
    if rdtype == dns.rdatatype.AAAA:
        return socket.inet_ntop(socket.AF_INET6, parser.get_bytes(16))
    if rdtype == dns.rdatatype.CNAME:
        return name_of(parser.get_name())
    if rdtype == dns.rdatatype.SOA:
        parser.get_name()
        parser.get_name()
        return int(parser.get_struct("!IIIII")[4])
    return None
