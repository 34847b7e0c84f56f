"""Dynamic updates of a zone (RFC 2136): prerequisites, update, serial and responses."""

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
    """An update that is rejected with this rcode."""

    def __init__(self, rcode: dns.rcode.Rcode, reason: str) -> None:
        super().__init__(reason)
        self.rcode = rcode


@dataclass(slots=True)
class Policy:
    """Who may send updates: the source addresses and, if any are given, the TSIG keys."""

    sources: frozenset[str]
    keys: dict[dns.name.Name, dns.tsig.Key] = field(default_factory=dict)


class Master:
    """The primary master of one zone."""

    def __init__(
        self, zone: dns.zone.Zone, policy: Policy, on_change: Callable[[dns.zone.Zone], None]
    ) -> None:
        if zone.origin is None:
            raise ValueError("a zone without an origin")
        self.zone = zone
        self._origin: dns.name.Name = zone.origin
        self._policy, self._on_change = policy, on_change

    def reload(self, zone: dns.zone.Zone, policy: Policy) -> None:
        """Apply a reloaded zone and policy."""
        if zone.origin is not None:
            self.zone, self._origin, self._policy = zone, zone.origin, policy

    def answer(self, wire: bytes, source: str) -> bytes | None:
        """Process a message and return the response, None for a message that is not a request."""
        COUNTERS.add("dns.in")
        try:
            message = dns.message.from_wire(wire, keyring=self._policy.keys or None)
        except (dns.message.UnknownTSIGKey, dns.tsig.BadSignature, dns.tsig.BadTime, dns.tsig.PeerError):
            return self._error_reply(wire, dns.rcode.NOTAUTH)
        except (dns.exception.DNSException, ValueError, IndexError):
            return self._error_reply(wire, dns.rcode.FORMERR)
        if message.flags & dns.flags.QR:
            COUNTERS.add("dns.dropped")
            return None
        rcode = self._process(message, source)
        COUNTERS.add(f"dns.{dns.rcode.to_text(rcode)}")
        reply = dns.message.make_response(message)
        reply.set_rcode(rcode)
        return reply.to_wire()

    def _error_reply(self, wire: bytes, rcode: dns.rcode.Rcode) -> bytes | None:
        """Return the response to an unreadable message: its id, its opcode and the rcode."""
        if len(wire) < 12 or wire[2] & 0x80:
            COUNTERS.add("dns.dropped")
            return None
        COUNTERS.add(f"dns.{dns.rcode.to_text(rcode)}")
        return wire[:2] + bytes([0x80 | wire[2] & 0x78, rcode]) + bytes(8)

    def _process(self, message: dns.message.Message, source: str) -> dns.rcode.Rcode:
        try:
            if not isinstance(message, dns.update.UpdateMessage):
                raise UpdateError(dns.rcode.NOTIMP, "not an update")
            self._check_permission(message, source)
            updated = self._updated_zone(message)
        except UpdateError as error:
            return error.rcode
        if updated is not None:
            self.zone = updated
            self._on_change(updated)
        return dns.rcode.NOERROR

    def _check_permission(self, message: dns.update.UpdateMessage, source: str) -> None:
        zone = message.zone
        if len(zone) != 1 or zone[0].rdtype != dns.rdatatype.SOA:
            raise UpdateError(dns.rcode.FORMERR, "the zone section does not name exactly one zone")
        if zone[0].name != self._origin or zone[0].rdclass != self.zone.rdclass:
            raise UpdateError(dns.rcode.NOTAUTH, "another zone")
        if source not in self._policy.sources or self._policy.keys and not message.had_tsig:
            raise UpdateError(dns.rcode.REFUSED, "not allowed")

    def _updated_zone(self, message: dns.update.UpdateMessage) -> dns.zone.Zone | None:
        """Return an updated copy of the zone, None if nothing changes."""
        self._check_prerequisites(message.prerequisite)
        self._prescan(message.update)
        updated = self._copy()
        before = updated.to_text(sorted=True)
        serial = self._soa(updated).serial
        for rrset in message.update:
            self._apply(updated, rrset)
        if updated.to_text(sorted=True) == before:
            return None
        if self._soa(updated).serial == serial:
            self._increment_serial(updated, serial)
        return updated

    def _copy(self) -> dns.zone.Zone:
        zone_copy = dns.zone.Zone(self._origin, self.zone.rdclass, relativize=False)
        for name, rdataset in self.zone.iterate_rdatasets():
            copied = dns.rdataset.Rdataset(rdataset.rdclass, rdataset.rdtype, rdataset.covers)
            for record in rdataset:
                copied.add(record, rdataset.ttl)
            zone_copy.replace_rdataset(name, copied)
        return zone_copy

    # --- prerequisites (3.2) ---

    def _check_prerequisites(self, rrsets: list[dns.rrset.RRset]) -> None:
        required: dict[tuple[dns.name.Name, dns.rdatatype.RdataType], set[dns.rdata.Rdata]] = {}
        for rrset in rrsets:
            self._check_in_zone(rrset.name)
            if rrset.ttl != 0:
                raise UpdateError(dns.rcode.FORMERR, "a prerequisite with a TTL")
            any_type = rrset.rdtype == dns.rdatatype.ANY
            exists = bool(self._rdatasets_of(rrset.name)) if any_type else self._rdataset(rrset) is not None
            if rrset.deleting == ANY and not exists:
                raise UpdateError(dns.rcode.NXDOMAIN if any_type else dns.rcode.NXRRSET, "not there")
            if rrset.deleting == NONE and exists:
                raise UpdateError(dns.rcode.YXDOMAIN if any_type else dns.rcode.YXRRSET, "there")
            if rrset.deleting is None:
                if rrset.rdclass != self.zone.rdclass:
                    raise UpdateError(dns.rcode.FORMERR, "another class")
                required.setdefault((rrset.name, rrset.rdtype), set()).update(rrset)
        for (name, rdtype), records in required.items():
            existing = self.zone.get_rdataset(name, rdtype)
            if set(existing or ()) != records:
                raise UpdateError(dns.rcode.NXRRSET, "other records")

    # --- the update (3.4) ---

    def _prescan(self, rrsets: list[dns.rrset.RRset]) -> None:
        for rrset in rrsets:
            self._check_in_zone(rrset.name)
            kind = dns.rdatatype.to_text(rrset.rdtype)
            if rrset.deleting is None:
                if rrset.rdclass != self.zone.rdclass or kind in META:
                    raise UpdateError(dns.rcode.FORMERR, f"cannot add {kind}")
            elif rrset.ttl != 0 or kind in META - {"ANY"} or (rrset.deleting == NONE and kind == "ANY"):
                raise UpdateError(dns.rcode.FORMERR, f"cannot delete {kind}")

    def _apply(self, zone: dns.zone.Zone, rrset: dns.rrset.RRset) -> None:
        apex = rrset.name == self._origin
        protected = apex and rrset.rdtype in (dns.rdatatype.SOA, dns.rdatatype.NS)
        if rrset.deleting is None:
            self._add(zone, rrset)
        elif rrset.deleting == ANY and rrset.rdtype == dns.rdatatype.ANY:
            for rdataset in list(zone.get_node(rrset.name) or ()):
                if not apex or rdataset.rdtype not in (dns.rdatatype.SOA, dns.rdatatype.NS):
                    zone.delete_rdataset(rrset.name, rdataset.rdtype, rdataset.covers)
        elif rrset.deleting == ANY:
            if not protected:
                zone.delete_rdataset(rrset.name, rrset.rdtype)
        else:
            self._delete_records(zone, rrset, protected)

    @staticmethod
    def _delete_records(zone: dns.zone.Zone, rrset: dns.rrset.RRset, protected: bool) -> None:
        """Delete single records, except the SOA and the last NS of the zone."""
        existing = zone.get_rdataset(rrset.name, rrset.rdtype)
        if existing is None or (protected and rrset.rdtype == dns.rdatatype.SOA):
            return
        remaining = [record for record in existing if record not in rrset]
        if protected and not remaining:
            return
        zone.delete_rdataset(rrset.name, rrset.rdtype)
        if remaining:
            zone.replace_rdataset(rrset.name, dns.rdataset.from_rdata_list(existing.ttl, remaining))

    def _add(self, zone: dns.zone.Zone, rrset: dns.rrset.RRset) -> None:
        present = {rdataset.rdtype for rdataset in zone.get_node(rrset.name) or ()}
        cname = dns.rdatatype.CNAME
        if (rrset.rdtype == cname and present - {cname}) or (rrset.rdtype != cname and cname in present):
            return  # 3.4.2.2: ignored
        if rrset.rdtype == dns.rdatatype.SOA:
            newest = list(rrset)[-1]
            if not isinstance(newest, dns.rdtypes.ANY.SOA.SOA):
                return
            serial_distance = (newest.serial - self._soa(zone).serial) % 2**32
            if rrset.name != self._origin or not 0 < serial_distance < 2**31:
                return
        existing = zone.get_rdataset(rrset.name, rrset.rdtype)
        is_singleton = rrset.rdtype in (cname, dns.rdatatype.SOA)
        replacement = dns.rdataset.Rdataset(rrset.rdclass, rrset.rdtype)
        replacement.update_ttl(rrset.ttl)
        for record in [*([] if is_singleton or existing is None else existing), *rrset]:
            replacement.add(record, rrset.ttl)
        zone.replace_rdataset(rrset.name, replacement)

    # --- the zone ---

    def _check_in_zone(self, name: dns.name.Name) -> None:
        if not name.is_subdomain(self._origin):
            raise UpdateError(dns.rcode.NOTZONE, f"{name} is outside the zone")

    def _rdatasets_of(self, name: dns.name.Name) -> list[dns.rdataset.Rdataset]:
        return list(self.zone.get_node(name) or ())

    def _rdataset(self, rrset: dns.rrset.RRset) -> dns.rdataset.Rdataset | None:
        return self.zone.get_rdataset(rrset.name, rrset.rdtype)

    def _soa(self, zone: dns.zone.Zone) -> dns.rdtypes.ANY.SOA.SOA:
        found = zone.get_rdataset(self._origin, dns.rdatatype.SOA)
        soa = found[0] if found else None
        if not isinstance(soa, dns.rdtypes.ANY.SOA.SOA):
            raise UpdateError(dns.rcode.SERVFAIL, "the zone has lost its SOA")
        return soa

    def _increment_serial(self, zone: dns.zone.Zone, serial: int) -> None:
        """Increment the serial (3.6), skipping zero."""
        soa = zone.get_rdataset(self._origin, dns.rdatatype.SOA)
        if soa is not None:
            incremented = soa[0].replace(serial=(serial + 1) % 2**32 or 1)
            zone.replace_rdataset(self._origin, dns.rdataset.from_rdata(soa.ttl, incremented))
