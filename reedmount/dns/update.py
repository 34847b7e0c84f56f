"""Dynamic updates of a zone (RFC 2136): prerequisites, the update itself, the serial and the answers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rcode
import dns.rdata
import dns.rdataclass
import dns.rdataset
import dns.rdatatype
import dns.rdtypes.ANY.SOA
import dns.rrset
import dns.tsig
import dns.update
import dns.zone

from reedmount.core.checks import COUNTERS

META = frozenset({"ANY", "AXFR", "IXFR", "MAILA", "MAILB"})
ANY, NONE = dns.rdataclass.ANY, dns.rdataclass.NONE


class UpdateError(ValueError):
    """An update that is refused, with its rcode."""

    def __init__(self, rcode: dns.rcode.Rcode, why: str) -> None:
        super().__init__(why)
        self.rcode = rcode


@dataclass(slots=True)
class Policy:
    """Who may update: these sources, and with these keys where there are any."""

    sources: frozenset[str]
    keys: dict[dns.name.Name, dns.tsig.Key] = field(default_factory=dict)


class Master:
    """The primary of one zone."""

    def __init__(
        self, zone: dns.zone.Zone, policy: Policy, on_change: Callable[[dns.zone.Zone], None]
    ) -> None:
        if zone.origin is None:
            raise ValueError("a zone without an origin")
        self.zone = zone
        self._origin: dns.name.Name = zone.origin
        self._policy, self._on_change = policy, on_change

    def reload(self, zone: dns.zone.Zone, policy: Policy) -> None:
        """Another zone file and policy have been read."""
        if zone.origin is not None:
            self.zone, self._origin, self._policy = zone, zone.origin, policy

    def answer(self, wire: bytes, source: str) -> bytes | None:
        """Take a message and answer it; what is no request at all gets no answer."""
        COUNTERS.add("dns.in")
        try:
            message = dns.message.from_wire(wire, keyring=self._policy.keys or None)
        except (dns.message.UnknownTSIGKey, dns.tsig.BadSignature, dns.tsig.BadTime, dns.tsig.PeerError):
            return self._plain(wire, dns.rcode.NOTAUTH)
        except (dns.exception.DNSException, ValueError, IndexError):
            return self._plain(wire, dns.rcode.FORMERR)
        if message.flags & dns.flags.QR:
            COUNTERS.add("dns.dropped")
            return None
        rcode = self._take(message, source)
        COUNTERS.add(f"dns.{dns.rcode.to_text(rcode)}")
        reply = dns.message.make_response(message)
        reply.set_rcode(rcode)
        return reply.to_wire()

    def _plain(self, wire: bytes, rcode: dns.rcode.Rcode) -> bytes | None:
        """The answer to what cannot be read: its id, opcode and the rcode."""
        if len(wire) < 12 or wire[2] & 0x80:
            COUNTERS.add("dns.dropped")
            return None
        COUNTERS.add(f"dns.{dns.rcode.to_text(rcode)}")
        return wire[:2] + bytes([0x80 | wire[2] & 0x78, rcode]) + bytes(8)

    def _take(self, message: dns.message.Message, source: str) -> dns.rcode.Rcode:
        try:
            if not isinstance(message, dns.update.UpdateMessage):
                raise UpdateError(dns.rcode.NOTIMP, "not an update")
            self._may(message, source)
            changed = self._changed(message)
        except UpdateError as error:
            return error.rcode
        if changed is not None:
            self.zone = changed
            self._on_change(changed)
        return dns.rcode.NOERROR

    def _may(self, message: dns.update.UpdateMessage, source: str) -> None:
        zone = message.zone
        if len(zone) != 1 or zone[0].rdtype != dns.rdatatype.SOA:
            raise UpdateError(dns.rcode.FORMERR, "the zone section names no one zone")
        if zone[0].name != self._origin or zone[0].rdclass != self.zone.rdclass:
            raise UpdateError(dns.rcode.NOTAUTH, "another zone")
        if source not in self._policy.sources or self._policy.keys and not message.had_tsig:
            raise UpdateError(dns.rcode.REFUSED, "not allowed")

    def _changed(self, message: dns.update.UpdateMessage) -> dns.zone.Zone | None:
        """The zone as the update leaves it, None where it changes nothing. The zone itself stays as it is."""
        self._require(message.prerequisite)
        self._prescan(message.update)
        changed = self._copy()
        before = changed.to_text(sorted=True)
        serial = self._soa(changed).serial
        for rrset in message.update:
            self._apply(changed, rrset)
        if changed.to_text(sorted=True) == before:
            return None
        if self._soa(changed).serial == serial:
            self._count_up(changed, serial)
        return changed

    def _copy(self) -> dns.zone.Zone:
        made = dns.zone.Zone(self._origin, self.zone.rdclass, relativize=False)
        for name, rdataset in self.zone.iterate_rdatasets():
            copied = dns.rdataset.Rdataset(rdataset.rdclass, rdataset.rdtype, rdataset.covers)
            for record in rdataset:
                copied.add(record, rdataset.ttl)
            made.replace_rdataset(name, copied)
        return made

    # --- prerequisites (3.2) ---

    def _require(self, rrsets: list[dns.rrset.RRset]) -> None:
        exact: dict[tuple[dns.name.Name, dns.rdatatype.RdataType], set[dns.rdata.Rdata]] = {}
        for rrset in rrsets:
            self._inside(rrset.name)
            if rrset.ttl != 0:
                raise UpdateError(dns.rcode.FORMERR, "a prerequisite with a TTL")
            any_type = rrset.rdtype == dns.rdatatype.ANY
            held = bool(self._held(rrset.name)) if any_type else self._rdataset(rrset) is not None
            if rrset.deleting == ANY and not held:
                raise UpdateError(dns.rcode.NXDOMAIN if any_type else dns.rcode.NXRRSET, "not there")
            if rrset.deleting == NONE and held:
                raise UpdateError(dns.rcode.YXDOMAIN if any_type else dns.rcode.YXRRSET, "there")
            if rrset.deleting is None:
                if rrset.rdclass != self.zone.rdclass:
                    raise UpdateError(dns.rcode.FORMERR, "another class")
                exact.setdefault((rrset.name, rrset.rdtype), set()).update(rrset)
        for (name, rdtype), wanted in exact.items():
            there = self.zone.get_rdataset(name, rdtype)
            if set(there or ()) != wanted:
                raise UpdateError(dns.rcode.NXRRSET, "other records")

    # --- the update (3.4) ---

    def _prescan(self, rrsets: list[dns.rrset.RRset]) -> None:
        for rrset in rrsets:
            self._inside(rrset.name)
            kind = dns.rdatatype.to_text(rrset.rdtype)
            if rrset.deleting is None:
                if rrset.rdclass != self.zone.rdclass or kind in META:
                    raise UpdateError(dns.rcode.FORMERR, f"cannot add {kind}")
            elif rrset.ttl != 0 or kind in META - {"ANY"} or (rrset.deleting == NONE and kind == "ANY"):
                raise UpdateError(dns.rcode.FORMERR, f"cannot delete {kind}")

    def _apply(self, zone: dns.zone.Zone, rrset: dns.rrset.RRset) -> None:
        apex = rrset.name == self._origin
        guarded = apex and rrset.rdtype in (dns.rdatatype.SOA, dns.rdatatype.NS)
        if rrset.deleting is None:
            self._add(zone, rrset)
        elif rrset.deleting == ANY and rrset.rdtype == dns.rdatatype.ANY:
            for rdataset in list(zone.get_node(rrset.name) or ()):
                if not apex or rdataset.rdtype not in (dns.rdatatype.SOA, dns.rdatatype.NS):
                    zone.delete_rdataset(rrset.name, rdataset.rdtype, rdataset.covers)
        elif rrset.deleting == ANY:
            if not guarded:
                zone.delete_rdataset(rrset.name, rrset.rdtype)
        else:
            self._discard(zone, rrset, guarded)

    @staticmethod
    def _discard(zone: dns.zone.Zone, rrset: dns.rrset.RRset, guarded: bool) -> None:
        """Single records; the SOA and the last NS of the zone stay."""
        there = zone.get_rdataset(rrset.name, rrset.rdtype)
        if there is None or (guarded and rrset.rdtype == dns.rdatatype.SOA):
            return
        kept = [record for record in there if record not in rrset]
        if guarded and not kept:
            return
        zone.delete_rdataset(rrset.name, rrset.rdtype)
        if kept:
            zone.replace_rdataset(rrset.name, dns.rdataset.from_rdata_list(there.ttl, kept))

    def _add(self, zone: dns.zone.Zone, rrset: dns.rrset.RRset) -> None:
        held = {rdataset.rdtype for rdataset in zone.get_node(rrset.name) or ()}
        alias = dns.rdatatype.CNAME
        if (rrset.rdtype == alias and held - {alias}) or (rrset.rdtype != alias and alias in held):
            return  # 3.4.2.2: passed over
        if rrset.rdtype == dns.rdatatype.SOA:
            newest = list(rrset)[-1]
            if not isinstance(newest, dns.rdtypes.ANY.SOA.SOA):
                return
            ahead = (newest.serial - self._soa(zone).serial) % 2**32
            if rrset.name != self._origin or not 0 < ahead < 2**31:
                return
        there = zone.get_rdataset(rrset.name, rrset.rdtype)
        single = rrset.rdtype in (alias, dns.rdatatype.SOA)
        fresh = dns.rdataset.Rdataset(rrset.rdclass, rrset.rdtype)
        fresh.update_ttl(rrset.ttl)
        for record in [*([] if single or there is None else there), *rrset]:
            fresh.add(record, rrset.ttl)
        zone.replace_rdataset(rrset.name, fresh)

    # --- the zone ---

    def _inside(self, name: dns.name.Name) -> None:
        if not name.is_subdomain(self._origin):
            raise UpdateError(dns.rcode.NOTZONE, f"{name} is outside the zone")

    def _held(self, name: dns.name.Name) -> list[dns.rdataset.Rdataset]:
        return list(self.zone.get_node(name) or ())

    def _rdataset(self, rrset: dns.rrset.RRset) -> dns.rdataset.Rdataset | None:
        return self.zone.get_rdataset(rrset.name, rrset.rdtype)

    def _soa(self, zone: dns.zone.Zone) -> dns.rdtypes.ANY.SOA.SOA:
        found = zone.get_rdataset(self._origin, dns.rdatatype.SOA)
        soa = found[0] if found else None
        if not isinstance(soa, dns.rdtypes.ANY.SOA.SOA):
            raise UpdateError(dns.rcode.SERVFAIL, "the zone has lost its SOA")
        return soa

    def _count_up(self, zone: dns.zone.Zone, serial: int) -> None:
        """The serial goes up with each change (3.6); zero is passed over."""
        soa = zone.get_rdataset(self._origin, dns.rdatatype.SOA)
        if soa is not None:
            counted = soa[0].replace(serial=(serial + 1) % 2**32 or 1)
            zone.replace_rdataset(self._origin, dns.rdataset.from_rdata(soa.ttl, counted))
