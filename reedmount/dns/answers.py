"""Interprets a reply to a question: an answer, a CNAME to follow, or a fault. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import dns.rcode
import dns.rdatatype

from reedmount.dns.reader import Question, Record, Reply, Target

MAX_CHAIN = 8  # CNAMEs between the queried name and the records
ADDRESS_TYPES = (dns.rdatatype.A, dns.rdatatype.AAAA)


class Fault(Enum):
    """Why a try brought no answer. No fault affects the state of a call server."""

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
    """A complete, valid answer; without records it is a negative answer (RFC 2308)."""

    ttl: int  # seconds; the lowest TTL of the records and the CNAME chain
    targets: tuple[Target, ...] = ()
    addresses: tuple[str, ...] = ()
    extra: dict[Question, Answer] = field(default_factory=dict)  # target addresses in the same reply

    @property
    def records(self) -> int:
        """The number of records, with those of the additional section."""
        return len(self.targets) + len(self.addresses) + sum(item.records for item in self.extra.values())


@dataclass(frozen=True, slots=True)
class CnameRedirect:
    """The records are under another name (CNAME) that this reply does not contain."""

    name: str
    ttl: int
    previous_names: tuple[str, ...]  # the names of the chain so far


def interpret(
    reply: Reply, question: Question, previous_names: tuple[str, ...] = ()
) -> Answer | CnameRedirect | Fault:
    """Interpret a reply to the question; ``previous_names`` are the names of the CNAME chain before it."""
    if reply.is_truncated:
        return Fault.CUT
    if reply.rcode not in (dns.rcode.NOERROR, dns.rcode.NXDOMAIN):
        return FAULTS.get(dns.rcode.Rcode(reply.rcode), Fault.OTHER)
    aliases = {record.name: record for record in reply.answer if record.rdtype == dns.rdatatype.CNAME}
    name, ttl, visited = question.name, 2**31 - 1, [*previous_names, question.name]
    while name in aliases:
        record = aliases[name]
        if not isinstance(record.data, str):
            return Fault.UNREADABLE
        name, ttl = record.data, min(ttl, record.ttl)
        if name in visited or len(visited) > MAX_CHAIN:
            return Fault.CHAIN
        visited.append(name)
    matching = [item for item in reply.answer if item.rdtype == question.rdtype and item.name == name]
    if matching:
        ttl = min(ttl, *(record.ttl for record in matching))
        targets, addresses = _targets(matching), _addresses(matching)
        return Answer(ttl, targets, addresses, _extra(reply, targets))
    negative_ttl = _negative_ttl(reply, name)
    if negative_ttl is not None:
        return Answer(min(ttl, negative_ttl))
    if name != question.name:
        return CnameRedirect(name, ttl, tuple(visited[:-1]))
    return Fault.LAME


def _targets(records: list[Record]) -> tuple[Target, ...]:
    """Return the SRV targets, sorted, as name servers may rotate the order of records."""
    return tuple(sorted({record.data for record in records if isinstance(record.data, Target)}))


def _addresses(records: list[Record]) -> tuple[str, ...]:
    return tuple(sorted({record.data for record in records if isinstance(record.data, str)}))


def _extra(reply: Reply, targets: tuple[Target, ...]) -> dict[Question, Answer]:
    """Return the addresses of the targets, and of no other name, from the additional section."""
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


def _negative_ttl(reply: Reply, name: str) -> int | None:
    """Return the TTL of a negative answer, from the SOA record of its zone (RFC 2308, section 5)."""
    for record in reply.authority:
        if isinstance(record.data, int) and _is_in_zone(name, record.name):
            return min(record.ttl, record.data)
    return None


def _is_in_zone(name: str, zone: str) -> bool:
    return zone == "." or name == zone or name.endswith(f".{zone}")
