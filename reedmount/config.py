"""The only reader of GW_* and of operator files: checks, defaults, and errors that name the key."""

from __future__ import annotations

import base64
import ipaddress
import json
import math
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from pathlib import Path
from typing import Any, TypeVar

import dns.exception
import dns.name
import dns.tsig

from reedmount import interface as i
from reedmount.core.clock import millis, span, span_micros
from reedmount.dns.update import Policy
from reedmount.dns.zone import TRANSPORTS
from reedmount.fronts.board import BoardError, Notice, read_notices
from reedmount.fronts.sip import SipSettings
from reedmount.net.connection import Address, address_of
from reedmount.simhost import Options, WireError, read_settings
from reedmount.sip.transaction import Timers

T = TypeVar("T")
N = TypeVar("N", int, float)

# What must be a number, and what it must be above; the rest may be 0.
FIGURES: dict[str, dict[str, float | None]] = {
    "": {"balancers": 0, "over_share_worth": None},
    "specifics": {"retransmit": None, "clear_wait": None},
    "rules": {"cold": None, "start_capacity": None, "fall_multiple": None, "tip_after": None},
    "allowed": {"max_attempts": 0.5},
}
CLASS_FIGURES: dict[str, float | None] = {"deadline": 0, "target": 0, "worth": None, "late_share": None}
RELEASE_MARGIN = millis(30)  # a message has its way to go, and that to another server may be shorter


class ConfigError(ValueError):
    """A setting that is missing or wrong; the text names its key."""


@dataclass(frozen=True, slots=True)
class Platform:
    """All that a border controller on the platform is told."""

    name: str
    listen: Address
    seed: int
    sockets: int
    board: Address
    control: Address | None
    handover: Path | None  # the folder in which a successor finds this process
    known_last: int
    known: list[Notice]
    settings: i.Settings
    connect_wait: timedelta
    keys: frozenset[str]  # that the file has

    def follows(self, old: Platform) -> Platform:
        """Itself, where it has all that the one before had: some keys have a default at the first start."""
        for key in sorted(old.keys - self.keys):
            raise ConfigError(f"{key} is missing")
        return self


def flatten(value: Any, path: str = "") -> Iterator[str]:
    """Nested settings as the path=value pairs of the simulator's wire, for its reader to read."""
    match value:
        case dict():
            for key, item in value.items():
                yield from flatten(item, f"{path}.{key}" if path else str(key))
        case list() if any(isinstance(item, (dict, list)) for item in value):
            yield f"{path}.count={len(value)}"
            for index, item in enumerate(value):
                yield from flatten(item, f"{path}.{index}")
        case list():
            yield f"{path}=" + ",".join(_plain(item) for item in value)
        case _:
            yield f"{path}={_plain(value)}"


def _plain(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value)


def need(source: Mapping[str, Any], key: str, path: str = "") -> Any:
    """A key that must be there."""
    if key not in source:
        raise ConfigError(f"{path}{key} is missing")
    return source[key]


def address(value: Any, key: str) -> Address:
    """An address with a port."""
    try:
        return address_of(str(value))
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None


def read_platform(env: Mapping[str, str]) -> Platform:
    """GW_CONFIG, with GW_NAME and GW_LISTEN before what it says."""
    path = need(env, "GW_CONFIG")
    try:
        config = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"GW_CONFIG: {error}") from None
    except ValueError as error:
        raise ConfigError(f"GW_CONFIG: not JSON: {error}") from None
    if not isinstance(config, dict):
        raise ConfigError("GW_CONFIG: not an object")
    listen = env.get("GW_LISTEN") or need(config, "listen")
    seed = str(need(config, "seed"))
    try:
        known_last, known = read_notices(need(config, "known"))
    except BoardError as error:
        raise ConfigError(f"known: {error}") from None
    try:
        number = int(seed, 16)
    except ValueError:
        raise ConfigError(f"seed: not hex digits: {seed!r}") from None
    control = env.get("GW_CONTROL") or config.get("control")
    check_settings(need(config, "settings"))
    options = list(flatten(config["settings"]))
    limits = config.get("limits", {})
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < 64:
        raise ConfigError(f"limits.sockets: not a number of 64 or more: {sockets!r}")
    return Platform(
        name=env.get("GW_NAME") or str(need(config, "name")),
        listen=address(listen, "GW_LISTEN" if env.get("GW_LISTEN") else "listen"),
        seed=number,
        sockets=sockets,
        board=address(need(config, "board"), "board"),
        control=address(control, "GW_CONTROL" if env.get("GW_CONTROL") else "control") if control else None,
        handover=Path(env["TMPDIR"]) if env.get("TMPDIR") else None,
        known_last=known_last,
        known=known,
        settings=on_sockets(options),
        connect_wait=connect_wait(options),
        keys=frozenset(keys_of({key: item for key, item in config.items() if key != "known"})),
    )


def keys_of(value: Any, path: str = "") -> Iterator[str]:
    """The keys of nested objects; of the classes those that all of them have."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield f"{path}{key}"
            yield from keys_of(item, f"{path}{key}.")
    elif path == "settings.classes.":
        yield from set.intersection(*({*keys_of(item, path)} for item in value)) - {f"{path}aim_stretch"}


def figure(source: Any, key: str, path: str, above: float | None = None) -> None:
    """A number that must be there, finite and not below 0, or above a bound."""
    value = need(source, key, path)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise ConfigError(f"{path}{key}: not a number: {value!r}")
    if value < 0 or above is not None and value <= above:
        raise ConfigError(f"{path}{key}: not above {above or 0}: {value!r}")


def check_settings(raw: Any) -> None:
    """What the wire's text would not show any more: what is no number, no class, or no object at all."""
    if not isinstance(raw, dict) or not raw:
        raise ConfigError("settings: not an object with keys")
    for table, keys in FIGURES.items():
        part = need(raw, table, "settings.") if table else raw
        path = f"settings.{table}.".replace("..", ".")
        if not isinstance(part, dict):
            raise ConfigError(f"settings.{table}: not an object")
        for key, above in keys.items():
            figure(part, key, path, above)
    classes = need(raw, "classes", "settings.")
    if not isinstance(classes, list) or not classes or not all(isinstance(kind, dict) for kind in classes):
        raise ConfigError("settings.classes: not a list of classes")
    for index, kind in enumerate(classes):
        path = f"settings.classes.{index}."
        name = need(kind, "name", path)
        if not isinstance(name, str) or not name or name in [kind["name"] for kind in classes[:index]]:
            raise ConfigError(f"{path}name: not a name of its own: {name!r}")
        for key, above in CLASS_FIGURES.items():
            figure(kind, key, path, above)


def on_sockets(options: list[str]) -> i.Settings:
    """The module's settings, read as the simulator's adapter reads them, with room for the way."""
    try:
        plain = read_settings(options)
    except WireError as error:
        raise ConfigError(f"settings: {error}") from None
    return replace(plain, release_wait_us=plain.release_wait_us + span_micros(RELEASE_MARGIN))


def connect_wait(options: list[str]) -> timedelta:
    """How long a connection may take to come up."""
    text = Options(options).maybe("allowed.connect_timeout")
    try:
        return span(int(text)) if text else millis(500)
    except ValueError:
        raise ConfigError(f"settings.allowed.connect_timeout: not a whole number: {text!r}") from None


# --- the operator's file ---


@dataclass(frozen=True, slots=True)
class Updates:
    """Where dynamic updates are taken, and from whom."""

    listen: Address
    policy: Policy


@dataclass(frozen=True, slots=True)
class Operator:
    """All that an operator's file says."""

    sip: SipSettings
    zone: Path
    origin: str | None
    transports: tuple[str, ...]
    write_back: bool
    updates: Updates | None
    control: Address | None
    settings: i.Settings


class Table:
    """One table of the file; what is asked for is checked, and what was never asked for is a fault."""

    def __init__(self, values: Any, path: str) -> None:
        if not isinstance(values, dict):
            raise ConfigError(f"{path} is not a table")
        self._values, self.path, self._asked = values, path, set[str]()

    def get(self, key: str, kind: type[T], default: T | None = None) -> T:
        """A value of a kind; without a default it must be there."""
        self._asked.add(key)
        value = self._values.get(key, default)
        if value is None:
            raise ConfigError(f"{self.path}.{key} is missing")
        if kind is float and isinstance(value, int) and not isinstance(value, bool):
            value = float(value)
        if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
            raise ConfigError(f"{self.path}.{key}: {kind.__name__} wanted, not {value!r}")
        return value

    def amount(self, key: str, kind: type[N], default: N | None, least: N, most: N) -> N:
        """A number within bounds."""
        value = self.get(key, kind, default)
        if not least <= value <= most:
            raise ConfigError(f"{self.path}.{key}: {value} is not within {least} and {most}")
        return value

    def span(self, key: str, default: int | None, least: int = 1, most: int = 3_600_000) -> timedelta:
        """A span given in whole milliseconds."""
        return millis(self.amount(key, int, default, least, most))

    def texts(self, key: str, default: list[str]) -> list[str]:
        """A list of strings."""
        values = self.get(key, list, default)
        if not all(isinstance(value, str) for value in values):
            raise ConfigError(f"{self.path}.{key}: strings wanted, not {values!r}")
        return values

    def table(self, key: str) -> Table:
        """A table within this one; one that is not there is empty."""
        self._asked.add(key)
        return Table(self._values.get(key, {}), f"{self.path}.{key}".lstrip("."))

    def tables(self, key: str) -> list[Table]:
        """A list of tables."""
        values = self.get(key, list, [])
        return [Table(value, f"{self.path}.{key}[{n}]".lstrip(".")) for n, value in enumerate(values)]

    def has(self, key: str) -> bool:
        """Whether it is there."""
        return key in self._values

    def done(self) -> None:
        """A key that nobody asked for is a misspelt one."""
        for key in self._values:
            if key not in self._asked:
                raise ConfigError(f"{self.path}.{key}".lstrip(".") + " is not known")


def read_operator(path: Path) -> Operator:
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
    names = [kind.name for kind in classes]
    default = sip.get("default_class", str, names[0])
    if default not in names:
        raise ConfigError(f"sip.default_class: no class is named {default!r}")
    sip_settings = SipSettings(
        listen=address(sip.get("listen", str), "sip.listen"),
        default_class=default,
        prefixes=prefixes,
        waits={kind.name: span(kind.give_up_us) for kind in classes},
        timers=Timers(sip.span("t1_ms", 500), sip.span("t2_ms", 4000), sip.span("t4_ms", 5000)),
        connect_wait=sip.span("connect_wait_ms", 500),
    )
    transports = dns_table.texts("transports", list(TRANSPORTS))
    if not transports or any(item not in TRANSPORTS for item in transports):
        raise ConfigError(f"dns.transports: of {TRANSPORTS} wanted, not {transports!r}")
    updates, door = dns_table.table("update"), top.table("door")
    made = Operator(
        sip=sip_settings,
        zone=path.parent / dns_table.get("zone", str),
        origin=dns_table.get("origin", str, "") or None,
        transports=tuple(transports),
        write_back=dns_table.get("write_back", bool, False),
        updates=_updates(updates) if dns_table.has("update") else None,
        control=address(door.get("control", str), "door.control") if top.has("door") else None,
        settings=_module(module, classes),
    )
    for table in (top, sip, dns_table, updates, door, module):
        table.done()
    return made


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
                aim_us=span_micros(table.span("aim_ms", None)),
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
        proxies=table.amount("controllers", int, 1, 1, 10_000),
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
