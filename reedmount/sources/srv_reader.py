"""Reads tables of SRV names and their name servers: ``[srv]``, ``[members.srv]``."""

from __future__ import annotations

import dns.exception
import dns.name

from reedmount.config import ConfigError
from reedmount.dns.cache import CacheLimits
from reedmount.dns.query import QueryTimeouts
from reedmount.dns.resolver import ResolverSettings
from reedmount.dns.srv_lookup import RetryPolicy
from reedmount.dns.zone import TRANSPORTS
from reedmount.sources.srv import SrvSettings
from reedmount.tables import Table, numeric


def read_srv(table: Table, ipv6_wants: str | None = None) -> SrvSettings:
    """Read and check the table. ``ipv6_wants`` names what IPv6 needs and lacks, None if nothing.

    Raises ConfigError naming the key.
    """
    names = table.texts("names", [])
    if not names:
        raise ConfigError(f"{table.path}.names is missing")
    servers = [numeric(text, f"{table.path}.name_servers") for text in table.texts("name_servers", [])]
    if not servers:
        raise ConfigError(f"{table.path}.name_servers is missing")
    ipv6 = table.get("ipv6", bool, False)
    if ipv6 and ipv6_wants is not None:
        raise ConfigError(f"{table.path}.ipv6 needs {ipv6_wants}")
    limits = CacheLimits(
        floor=table.seconds("ttl_floor_s", 1.0, 0.1, 3600.0),
        ceiling=table.seconds("ttl_ceiling_s", 300.0, 1.0, 604_800.0),
        entries=table.amount("cache_entries", int, 8192, 16, 1_000_000),
        memory=table.amount("cache_kib", int, 8192, 64, 1 << 20) << 10,
    )
    if limits.floor > limits.ceiling:
        raise ConfigError(f"{table.path}.ttl_floor_s: above ttl_ceiling_s")
    timeouts = QueryTimeouts(
        deadline=table.span("deadline_ms", 5000, 100, 60_000),
        first=table.span("try_ms", 400, 10, 10_000),
        tcp=table.span("tcp_ms", 2000, 10, 30_000),
    )
    retry = RetryPolicy(table.span("retry_ms", 2000, 100), table.span("retry_most_ms", 10_000, 100))
    return SrvSettings(
        names=tuple(_srv_name(text, table.path) for text in dict.fromkeys(names)),
        resolver=ResolverSettings(tuple(dict.fromkeys(servers)), timeouts, limits),
        keep_for=table.seconds("stale_s", 86_400.0, 0.0, 604_800.0),
        retry=retry,
        ipv6=ipv6,
    )


def _srv_name(text: str, path: str) -> tuple[str, str]:
    """Return the name, absolute and in lower case, and the transport of its second label."""
    try:
        name = dns.name.from_text(text).to_text().lower()
    except dns.exception.DNSException as error:
        raise ConfigError(f"{path}.names: {text!r}: {type(error).__name__}") from None
    labels = name.split(".")
    if len(labels) < 3 or labels[1].lstrip("_") not in TRANSPORTS:
        raise ConfigError(f"{path}.names: {text!r} is not of the form _sip._tcp.NAME or _sip._udp.NAME")
    return name, labels[1].lstrip("_")
