"""Reads and checks operator files: typed tables, defaults, and errors that name the key.

No other module reads them.
"""

from __future__ import annotations

import base64
import ipaddress
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING

import dns.exception
import dns.name
import dns.tsig

from reedmount import interface as i
from reedmount.config import RELEASE_MARGIN, ConfigError, address
from reedmount.core.clock import span, span_micros
from reedmount.dns.update import Policy
from reedmount.dns.zone import TRANSPORTS
from reedmount.fronts.sip import SipSettings
from reedmount.net.connection import Address
from reedmount.pool.bands import BandSettings
from reedmount.pool.claims import Claim
from reedmount.pool.pool import ExpiryPolicy
from reedmount.sip.transaction import Timers
from reedmount.sources.pool_host import PoolSettings
from reedmount.sources.srv import SrvSettings
from reedmount.sources.srv_reader import read_srv
from reedmount.tables import Table, numeric

if TYPE_CHECKING:
    from reedmount.peers.settings import MembershipSettings
    from reedmount.records.settings import ReplicaSettings

IPV6_REQUIREMENT = "sip.listen6: call servers need an IPv6 address to send to"


@dataclass(frozen=True, slots=True)
class Updates:
    """Where DNS dynamic updates are accepted, and from whom."""

    listen: Address
    policy: Policy


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """The complete configuration of an operator's file."""

    sip: SipSettings
    zone: Path | None
    origin: str | None
    transports: tuple[str, ...]
    write_back: bool
    updates: Updates | None
    control: Address | None
    settings: i.Settings
    pool: PoolSettings
    board: Address | None
    fixed: tuple[Claim, ...]
    srv: SrvSettings | None
    members: MembershipSettings | None
    replicas: ReplicaSettings | None


def read_operator(path: Path) -> OperatorConfig:
    """Read and check an operator's file."""
    try:
        with path.open("rb") as file:
            top = Table(tomllib.load(file), "")
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from None
    classes, prefixes = _classes(top)
    sip, dns_table, module = top.table("sip"), top.table("dns"), top.table("module")
    pool, srv, members = top.table("pool"), top.table("srv"), top.table("members")
    replicas = top.table("replicas")
    group = _members(members) if top.has("members") else None
    names = [kind.name for kind in classes]
    default = sip.get("default_class", str, names[0])
    if default not in names:
        raise ConfigError(f"sip.default_class: no class is named {default!r}")
    listen6 = address(sip.get("listen6", str), "sip.listen6") if sip.has("listen6") else None
    if listen6 is not None and ":" not in listen6[0]:
        raise ConfigError(f"sip.listen6: not an IPv6 address: {listen6[0]}")
    sip_settings = SipSettings(
        listen=address(sip.get("listen", str), "sip.listen"),
        default_class=default,
        prefixes=prefixes,
        waits={kind.name: span(kind.give_up_us) for kind in classes},
        timers=Timers(sip.span("t1_ms", 500), sip.span("t2_ms", 4000), sip.span("t4_ms", 5000)),
        connect_wait=sip.span("connect_wait_ms", 500),
        listen6=listen6,
    )
    transports = dns_table.texts("transports", list(TRANSPORTS))
    if not transports or any(item not in TRANSPORTS for item in transports):
        raise ConfigError(f"dns.transports: of {TRANSPORTS} wanted, not {transports!r}")
    updates, admin = dns_table.table("update"), top.table("door")
    config = OperatorConfig(
        sip=sip_settings,
        zone=path.parent / dns_table.get("zone", str) if top.has("dns") else None,
        origin=dns_table.get("origin", str, "") or None,
        transports=tuple(transports),
        write_back=dns_table.get("write_back", bool, False),
        updates=_updates(updates) if dns_table.has("update") else None,
        control=address(admin.get("control", str), "door.control") if top.has("door") else None,
        settings=_module(module, classes),
        pool=_pool(pool),
        board=numeric(pool.get("board", str), f"{pool.path}.board") if pool.has("board") else None,
        fixed=tuple(_fixed(pool)),
        srv=read_srv(srv, None if listen6 else IPV6_REQUIREMENT) if top.has("srv") else None,
        members=group,
        replicas=_replicas(replicas, path.parent, group) if top.has("replicas") else None,
    )
    for table in (top, sip, dns_table, updates, admin, module, pool, srv, members, replicas):
        table.done()
    if config.zone is None and config.board is None and not config.fixed and config.srv is None:
        raise ConfigError("no source of call servers: dns.zone, pool.board, pool.servers or srv.names")
    return config


def _members(table: Table) -> MembershipSettings:
    """Import the reader, and with it the libraries of the membership, only if the table is present."""
    try:
        from reedmount.peers.reader import read_members
    except ImportError as error:
        raise ConfigError(f"members: install the packages of requirements-fleet.txt: {error}") from None
    return read_members(table)


def _replicas(table: Table, base: Path, group: MembershipSettings | None) -> ReplicaSettings:
    if group is None:
        raise ConfigError(f"{table.path}: there is no [members]")
    try:
        from reedmount.records.settings import read_replicas
    except ImportError as error:
        raise ConfigError(f"{table.path}: install the packages of requirements-fleet.txt: {error}") from None
    return read_replicas(table, base, len(group.voter_sets[0].names))


def _pool(table: Table) -> PoolSettings:
    try:
        expiry_policy = ExpiryPolicy(table.get("past_bound", str, ExpiryPolicy.DRAIN.value))
    except ValueError:
        raise ConfigError(
            f"{table.path}.past_bound: of {[item.value for item in ExpiryPolicy]} wanted"
        ) from None
    transport = table.get("transport", str, "tcp")
    if transport not in TRANSPORTS:
        raise ConfigError(f"{table.path}.transport: of {TRANSPORTS} wanted, not {transport!r}")
    return PoolSettings(
        expiry_policy=expiry_policy,
        transport=transport,
        startup_window=table.seconds("start_s", 10.0, 0.0, 3600.0),
        forget_after=table.seconds("gone_s", 600.0, 1.0, 86_400.0),
        default_rank=(table.amount("priority", int, 0, 0, 65535), table.amount("weight", int, 1, 0, 65535)),
        bands=BandSettings(
            pressure_time=table.span("press_ms", 50, 5, 10_000),
            step_time=table.span("step_ms", 200, 5, 60_000),
            close_time=table.seconds("close_s", 10.0, 0.1, 3600.0),
            down_time=table.seconds("down_s", 5.0, 0.1, 3600.0),
        ),
    )


def _fixed(table: Table) -> Iterator[Claim]:
    """Parse entries like ``udp:192.0.2.1:5060``; the transport is optional and defaults to TCP."""
    for text in table.texts("servers", []):
        transport, colon, endpoint = text.partition(":")
        if not colon or transport not in TRANSPORTS:
            transport, endpoint = "tcp", text
        yield Claim(numeric(endpoint, f"{table.path}.servers"), text, transport=transport)


def _classes(top: Table) -> tuple[tuple[i.CallClass, ...], tuple[tuple[str, str], ...]]:
    classes: list[i.CallClass] = []
    prefixes: list[tuple[str, str]] = []
    for table in top.tables("class"):
        name = table.get("name", str)
        if name in [kind.name for kind in classes]:
            raise ConfigError(f"{table.path}.name: {name!r} stands twice")
        classes.append(
            i.CallClass(
                name=name,
                worth=table.amount("worth", float, 1.0, 0.0, 1e6),
                late_share=table.amount("late_share", float, 0.25, 0.0, 1.0),
                target_us=span_micros(table.span("aim_ms", None)),
                give_up_us=span_micros(table.span("give_up_ms", None)),
                effect=i.Effect.REPEATABLE,
                servers=None,
            )
        )
        prefixes += [(prefix, name) for prefix in table.texts("prefixes", [])]
        table.done()
    if not classes:
        raise ConfigError("class is missing")
    return tuple(classes), tuple(prefixes)


def _module(table: Table, classes: tuple[i.CallClass, ...]) -> i.Settings:
    return i.Settings(
        instances=table.amount("controllers", int, 1, 1, 10_000),
        classes=classes,
        tenants=(),
        over_quota_share=1.0,
        resend_gap_us=span_micros(table.span("resend_gap_ms", 500)),
        release_wait_us=span_micros(table.span("release_wait_ms", 200) + RELEASE_MARGIN),
        cold_us=span_micros(timedelta(seconds=table.amount("cold_s", float, 14.0, 0.0, 3600.0))),
        cold_start_share=table.amount("cold_start_share", float, 0.3, 0.0, 1.0),
        fall_multiple=table.amount("fall_multiple", float, 2.5, 1.0, 100.0),
        fall_span_us=span_micros(table.span("fall_span_ms", 1000)),
        max_attempts=table.amount("max_attempts", int, 4, 1, 100),
        may_cancel=True,
        redials_marked=False,
        subscribe=False,
    )


def _updates(table: Table) -> Updates:
    keys: dict[dns.name.Name, dns.tsig.Key] = {}
    for item in table.tables("key"):
        name, secret = item.get("name", str), item.get("secret", str)
        algorithm = item.get("algorithm", str, "hmac-sha256")
        try:
            key = dns.tsig.Key(name, base64.b64decode(secret, validate=True), algorithm)
            dns.tsig.get_context(key)  # type: ignore[no-untyped-call]
        except (dns.exception.DNSException, ValueError, NotImplementedError) as error:
            raise ConfigError(f"{item.path}: {type(error).__name__} {error}") from None
        keys[key.name] = key
        item.done()
    sources = table.texts("allow", ["127.0.0.1"])
    for source in sources:
        try:
            ipaddress.ip_address(source)
        except ValueError as error:
            raise ConfigError(f"{table.path}.allow: {error}") from None
    listen = address(table.get("listen", str), f"{table.path}.listen")
    return Updates(listen, Policy(frozenset(sources), keys))
