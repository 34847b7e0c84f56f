"""Reads DNS messages in slices of records, so that a long one never blocks the event loop for long.

Names and records are parsed by dnspython; this module walks the sections (RFC 1035, section 4.1) and yields
after each slice. The size of a message is bounded by its transport, its records by ``MAX_RECORDS``.
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
SLICE = 24  # records read in one turn of the event loop
HEADER = struct.Struct("!HHHHHH")
TOP_BIT = 1 << 31


class ReadError(ValueError):
    """Bytes that are not a DNS message, or one that exceeds the limits."""


class Question(NamedTuple):
    """A name, in lower case with a trailing dot, and the queried type."""

    name: str
    rdtype: dns.rdatatype.RdataType

    def __str__(self) -> str:
        """Return the name and the type as text."""
        return f"{self.name} {dns.rdatatype.to_text(self.rdtype)}"


class Target(NamedTuple):
    """An SRV record (RFC 2782). The order of the fields is the sort order."""

    priority: int
    host: str  # "." if the service is not available
    port: int
    weight: int


class Record(NamedTuple):
    """A record; ``data`` is None for types that are not queried here.

    A and AAAA: the address. CNAME: the name. SOA: the minimum (s), which limits the TTL of negative answers.
    """

    name: str
    rdtype: int
    ttl: int
    data: Target | str | int | None


@dataclass(slots=True)
class Reply:
    """A parsed response."""

    id: int
    flags: int
    rcode: int
    question: Question | None
    answer: list[Record] = field(default_factory=list)
    authority: list[Record] = field(default_factory=list)
    additional: list[Record] = field(default_factory=list)

    @property
    def is_truncated(self) -> bool:
        """Whether it is truncated, and its records must be ignored (RFC 2181, section 9)."""
        return bool(self.flags & dns.flags.TC)


def encode_query(message_id: int, question: Question, payload: int | None) -> bytes:
    """Encode a query, with an OPT record (RFC 6891) if a payload size is given."""
    flags = dns.flags.RD
    wire = HEADER.pack(message_id, flags, 1, 0, 0, 0 if payload is None else 1)
    wire += dns.name.from_text(question.name).to_wire() or b""
    wire += struct.pack("!HH", question.rdtype, dns.rdataclass.IN)
    if payload is not None:
        wire += b"\0" + struct.pack("!HHIH", dns.rdatatype.OPT, payload, 0, 0)
    return wire


def normalize_name(name: dns.name.Name) -> str:
    """Return a name in the form used for comparison."""
    return name.to_text().lower()


def read_head(wire: bytes) -> Reply:
    """Read only the header and the question: enough to match a response to its query. Raises ReadError."""
    try:
        reply, _, _ = _parse_head(wire)
    except (dns.exception.DNSException, struct.error, ValueError, IndexError) as error:
        raise ReadError(f"{type(error).__name__} {error}") from None
    return reply


def read_reply(wire: bytes) -> Generator[None, None, Reply]:
    """Read the whole message; yields after each slice of records. Raises ReadError."""
    try:
        reply, parser, counts = _parse_head(wire)
        if sum(counts) > MAX_RECORDS:
            raise ReadError(f"{sum(counts)} records")
        records_read = 0
        sections = (reply.answer, reply.authority, reply.additional)
        for section, count in zip(sections, counts, strict=True):
            for _ in range(count):
                record = _parse_record(parser)
                if record.rdtype == dns.rdatatype.OPT:
                    reply.rcode |= record.ttl >> 24 << 4  # RFC 6891, section 6.1.3
                else:
                    section.append(record)
                records_read += 1
                if records_read % SLICE == 0:
                    yield
        return reply
    except (dns.exception.DNSException, struct.error, ValueError, IndexError) as error:
        raise ReadError(f"{type(error).__name__} {error}") from None


def _parse_head(wire: bytes) -> tuple[Reply, dns.wire.Parser, tuple[int, int, int]]:
    if len(wire) < HEADER.size:
        raise ReadError("shorter than a header")
    message_id, flags, question_count, *counts = HEADER.unpack_from(wire)
    parser = dns.wire.Parser(wire, HEADER.size)
    question = None
    if question_count > 1:
        raise ReadError(f"{question_count} questions")
    if question_count:
        name = parser.get_name()
        rdtype, rdclass = parser.get_struct("!HH")
        if rdclass == dns.rdataclass.IN:
            question = Question(normalize_name(name), dns.rdatatype.RdataType.make(rdtype))
    return Reply(message_id, flags, flags & 15, question), parser, (counts[0], counts[1], counts[2])


def _parse_record(parser: dns.wire.Parser) -> Record:
    name = parser.get_name()
    rdtype, rdclass, ttl, length = parser.get_struct("!HHIH")
    with parser.restrict_to(length):
        data = _parse_rdata(parser, rdtype) if rdclass == dns.rdataclass.IN else None
        if data is None:
            parser.get_remaining()
    if rdtype != dns.rdatatype.OPT and ttl & TOP_BIT:
        ttl = 0  # RFC 2181, section 8
    return Record(normalize_name(name), rdtype, ttl, data)


def _parse_rdata(parser: dns.wire.Parser, rdtype: int) -> Target | str | int | None:
    """Parse the fields that are used; surplus bytes in a record make the message unreadable."""
    if rdtype == dns.rdatatype.SRV:
        priority, weight, port = parser.get_struct("!HHH")
        return Target(priority, normalize_name(parser.get_name()), port, weight)
    if rdtype == dns.rdatatype.A:
        return socket.inet_ntop(socket.AF_INET, parser.get_bytes(4))
    if rdtype == dns.rdatatype.AAAA:
        return socket.inet_ntop(socket.AF_INET6, parser.get_bytes(16))
    if rdtype == dns.rdatatype.CNAME:
        return normalize_name(parser.get_name())
    if rdtype == dns.rdatatype.SOA:
        parser.get_name()
        parser.get_name()
        return int(parser.get_struct("!IIIII")[4])
    return None
