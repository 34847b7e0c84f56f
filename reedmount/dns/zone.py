"""Zone files (RFC 1035) and what they say of the call servers: SRV and A records, read as RFC 3263 has it."""

from __future__ import annotations

import os
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import dns.exception
import dns.name
import dns.rdata
import dns.rdataclass
import dns.rdataset
import dns.rdatatype
import dns.zone

TRANSPORTS = ("udp", "tcp")


class ZoneError(ValueError):
    """A zone that cannot be used; the text names the file, and the line where it has one."""


@dataclass(frozen=True, slots=True)
class ZoneServer:
    """A call server that the zone names."""

    server: str
    address: tuple[str, int]
    transport: str
    priority: int
    weight: int


def load_zone(path: Path, origin: str | None) -> dns.zone.Zone:
    """Read a zone file; an error tells where it is."""
    try:
        text = path.read_text(encoding="utf-8")
        zone = dns.zone.from_text(text, origin=origin, relativize=False, check_origin=True)
    except OSError as error:
        raise ZoneError(f"{path}: {error.strerror or error}") from None
    except UnicodeDecodeError:
        raise ZoneError(f"{path}: not UTF-8 text") from None
    except dns.exception.SyntaxError as error:
        line, why = _where(text, origin, error)
        raise ZoneError(f"{path}:{line}: {why}") from None
    except dns.zone.NoSOA:
        raise ZoneError(f"{path}:1: the zone has no SOA record") from None
    except dns.zone.NoNS:
        raise ZoneError(f"{path}:1: the zone has no NS record") from None
    except (dns.exception.DNSException, ValueError, KeyError) as error:
        raise ZoneError(f"{path}:1: {type(error).__name__}: {error}") from None
    if zone.origin is None:
        raise ZoneError(f"{path}:1: the zone has no origin")
    return zone


def _where(text: str, origin: str | None, error: dns.exception.SyntaxError) -> tuple[int, str]:
    """The line of a fault. The library names the next one where it had read the line to its end."""
    _, number, why = (str(error).split(":", 2) + ["", ""])[:3]
    line = int(number) if number.isdecimal() else 1
    lines = text.splitlines(keepends=True)
    while line > 1:
        try:
            part = "".join(lines[: line - 1])
            dns.zone.from_text(part, origin=origin, relativize=False, check_origin=False)
            break
        except dns.exception.DNSException as earlier:
            if not str(earlier).endswith(why):
                break
            line -= 1
    return line, why.strip()


def save_zone(zone: dns.zone.Zone, path: Path) -> None:
    """Write the zone back, whole or not at all."""
    beside = path.with_name(path.name + ".new")
    beside.write_text(zone.to_text(sorted=True, relativize=False), encoding="utf-8")
    os.replace(beside, path)


def zone_servers(zone: dns.zone.Zone, transports: Sequence[str]) -> dict[str, ZoneServer]:
    """The call servers by name. One that offers several transports is reached over the first of ours."""
    found: dict[str, ZoneServer] = {}
    for transport in transports:
        owner = dns.name.from_text(f"_sip._{transport}", zone.origin)
        for record in zone.get_rdataset(owner, dns.rdatatype.SRV) or ():
            if record.target == dns.name.root:
                continue  # RFC 2782: decidedly not offered here
            addresses = zone.get_rdataset(record.target, dns.rdatatype.A)
            if not addresses:
                continue
            server = f"{str(record.target).rstrip('.')}:{record.port}"
            address = min(item.address for item in addresses)
            found.setdefault(
                server, ZoneServer(server, (address, record.port), transport, record.priority, record.weight)
            )
    return found
