"""What a reply means for the question that was asked: an answer, a way onwards, or nothing at all. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import dns.rcode
import dns.rdatatype

from reedmount.dns.reader import Question, Record, Reply, Target

MAX_CHAIN = 8  # CNAMEs from the name asked for to one that has the records
ADDRESS_TYPES = (dns.rdatatype.A, dns.rdatatype.AAAA)


class Fault(Enum):
    """Why a try brought no answer. None of these says anything of any call server."""

    LOST = "no answer in time"
    UNREACHABLE = "the name server is not reachable"
    CUT = "truncated"
    UNREADABLE = "not a DNS message, or beyond the bounds"
    SERVFAIL = "SERVFAIL"
    REFUSED = "REFUSED"
    FORMERR = "FORMERR"
    OTHER = "an rcode that is no answer"
    LAME = "neither records nor a zone's SOA: it does not have the zone"
    CHAIN = "a CNAME chain that is too long or a loop"
    HALF = "the connection ended before the answer did"


FAULTS = {
    dns.rcode.SERVFAIL: Fault.SERVFAIL,
    dns.rcode.REFUSED: Fault.REFUSED,
    dns.rcode.FORMERR: Fault.FORMERR,
}


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete, good answer; without records it says that there are none (RFC 2308)."""

    ttl: int  # seconds; of all records on the way the shortest
    targets: tuple[Target, ...] = ()
    addresses: tuple[str, ...] = ()
    extra: dict[Question, Answer] = field(default_factory=dict)  # addresses of targets that came along

    @property
    def records(self) -> int:
        """How many records it holds, with those that came along."""
        return len(self.targets) + len(self.addresses) + sum(item.records for item in self.extra.values())


@dataclass(frozen=True, slots=True)
class Onwards:
    """The records are under another name (CNAME) that this reply does not have."""

    name: str
    ttl: int
    passed: tuple[str, ...]  # the names on the way


def meaning(reply: Reply, question: Question, passed: tuple[str, ...] = ()) -> Answer | Onwards | Fault:
    """What a whole, uncut reply to this question says; ``passed`` are the names of the chain before it."""
    if reply.cut:
        return Fault.CUT
    if reply.rcode not in (dns.rcode.NOERROR, dns.rcode.NXDOMAIN):
        return FAULTS.get(dns.rcode.Rcode(reply.rcode), Fault.OTHER)
    aliases = {record.name: record for record in reply.answer if record.rdtype == dns.rdatatype.CNAME}
    name, ttl, way = question.name, 2**31 - 1, [*passed, question.name]
    while name in aliases:
        record = aliases[name]
        if not isinstance(record.data, str):
            return Fault.UNREADABLE
        name, ttl = record.data, min(ttl, record.ttl)
        if name in way or len(way) > MAX_CHAIN:
            return Fault.CHAIN
        way.append(name)
    found = [item for item in reply.answer if item.rdtype == question.rdtype and item.name == name]
    if found:
        ttl = min(ttl, *(record.ttl for record in found))
        targets, addresses = _targets(found), _addresses(found)
        return Answer(ttl, targets, addresses, _extra(reply, targets))
    soa = _soa(reply, name)
    if soa is not None:
        return Answer(min(ttl, soa))
    if name != question.name:
        return Onwards(name, ttl, tuple(way[:-1]))
    return Fault.LAME


def _targets(records: list[Record]) -> tuple[Target, ...]:
    """In an order of their own, so that a name server that turns them round changes nothing."""
    return tuple(sorted({record.data for record in records if isinstance(record.data, Target)}))


def _addresses(records: list[Record]) -> tuple[str, ...]:
    return tuple(sorted({record.data for record in records if isinstance(record.data, str)}))


def _extra(reply: Reply, targets: tuple[Target, ...]) -> dict[Question, Answer]:
    """Addresses in the additional section, of the targets named and of nothing else."""
    wanted = {target.host for target in targets}
    grouped: dict[Question, list[Record]] = {}
    for record in reply.additional:
        if record.rdtype in ADDRESS_TYPES and record.name in wanted:
            question = Question(record.name, dns.rdatatype.RdataType(record.rdtype))
            grouped.setdefault(question, []).append(record)
    return {
        question: Answer(min(record.ttl for record in records), addresses=_addresses(records))
        for question, records in grouped.items()
    }


def _soa(reply: Reply, name: str) -> int | None:
    """How long a negative answer holds, where the zone that gives it says so (RFC 2308, section 5)."""
    for record in reply.authority:
        if isinstance(record.data, int) and _within(name, record.name):
            return min(record.ttl, record.data)
    return None


def _within(name: str, zone: str) -> bool:
    return zone == "." or name == zone or name.endswith(f".{zone}")
