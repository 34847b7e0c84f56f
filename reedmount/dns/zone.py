"""Zone files (RFC 1035) and the call servers in them: SRV and A records, used as in RFC 3263."""

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
    """A zone that cannot be used; the message names the file and, if known, the line."""


@dataclass(frozen=True, slots=True)
class ZoneServer:
    """A call server named by the zone."""

    server: str
    address: tuple[str, int]
    transport: str
    priority: int
    weight: int


def load_zone(path: Path, origin: str | None) -> dns.zone.Zone:
    """Read a zone file. Raises ZoneError with the file and line of an error."""
    try:
        text = path.read_text(encoding="utf-8")
        zone = dns.zone.from_text(text, origin=origin, relativize=False, check_origin=True)
    except OSError as error:
        raise ZoneError(f"{path}: {error.strerror or error}") from None
    except UnicodeDecodeError:
        raise ZoneError(f"{path}: not UTF-8 text") from None
    except dns.exception.SyntaxError as error:
        line, reason = _locate_error(text, origin, error)
        raise ZoneError(f"{path}:{line}: {reason}") from None
    except dns.zone.NoSOA:
        raise ZoneError(f"{path}:1: the zone has no SOA record") from None
    except dns.zone.NoNS:
        raise ZoneError(f"{path}:1: the zone has no NS record") from None
    except (dns.exception.DNSException, ValueError, KeyError) as error:
        raise ZoneError(f"{path}:1: {type(error).__name__}: {error}") from None
    if zone.origin is None:
        raise ZoneError(f"{path}:1: the zone has no origin")
    return zone


def _locate_error(text: str, origin: str | None, error: dns.exception.SyntaxError) -> tuple[int, str]:
    """Return line and text of an error. The library reports the next line if it has read to the end."""
    _, number, reason = (str(error).split(":", 2) + ["", ""])[:3]
    line = int(number) if number.isdecimal() else 1
    lines = text.splitlines(keepends=True)
    while line > 1:
        try:
            prefix = "".join(lines[: line - 1])
            dns.zone.from_text(prefix, origin=origin, relativize=False, check_origin=False)
            break
        except dns.exception.DNSException as earlier:
            if not str(earlier).endswith(reason):
                break
            line -= 1
    return line, reason.strip()


def save_zone(zone: dns.zone.Zone, path: Path) -> None:
    """Write the zone back atomically."""
    temporary = path.with_name(path.name + ".new")
    temporary.write_text(zone.to_text(sorted=True, relativize=False), encoding="utf-8")
    os.replace(temporary, path)


def zone_servers(zone: dns.zone.Zone, transports: Sequence[str]) -> dict[str, ZoneServer]:
    """Return the call servers by name. One with several transports is listed with the first of ours."""
    found: dict[str, ZoneServer] = {}
    for transport in transports:
        owner = dns.name.from_text(f"_sip._{transport}", zone.origin)
        for record in zone.get_rdataset(owner, dns.rdatatype.SRV) or ():
            if record.target == dns.name.root:
                continue  # RFC 2782: the service is not available
            addresses = zone.get_rdataset(record.target, dns.rdatatype.A)
            if not addresses:
                continue
            server = f"{str(record.target).rstrip('.')}:{record.port}"
            address = min(item.address for item in addresses)
            found.setdefault(
                server, ZoneServer(server, (address, record.port), transport, record.priority, record.weight)
            )
    return found
