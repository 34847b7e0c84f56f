"""The only reader of GW_* and of the platform's file: checks, defaults, and errors that name the key."""

from __future__ import annotations

import json
import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from pathlib import Path
from typing import Any

from reedmount import interface as i
from reedmount.core.clock import millis, span, span_micros
from reedmount.fronts.board import BoardError, Notice, read_notices
from reedmount.net.connection import Address, parse_address
from reedmount.simhost import Options, WireError, read_settings

# What must be a number, and what it must be above; the rest may be 0.
FIGURES: dict[str, dict[str, float | None]] = {
    "": {"balancers": 0, "over_share_worth": None},
    "specifics": {"retransmit": None, "clear_wait": None},
    "rules": {"cold": None, "start_capacity": None, "fall_multiple": None, "tip_after": None},
    "allowed": {"max_attempts": 0.5},
}
CLASS_FIGURES: dict[str, float | None] = {"deadline": 0, "target": 0, "worth": None, "late_share": None}
MAX_DIGITS = 15  # of microseconds: a span of 31 years
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
    idle_wait: timedelta | None  # a call server closes a connection that has been idle for so long
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
        return parse_address(str(value))
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None


def read_platform(env: Mapping[str, str]) -> Platform:
    """GW_CONFIG, with GW_NAME and GW_LISTEN before what it says."""
    path = need(env, "GW_CONFIG")
    try:
        config = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"GW_CONFIG: {error}") from None
    except (ValueError, RecursionError) as error:
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
        connect_wait=span_of(options, "allowed.connect_timeout") or millis(500),
        idle_wait=span_of(options, "allowed.conn_idle"),
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


def span_of(options: list[str], key: str) -> timedelta | None:
    """A span above 0, in microseconds; None where it is not told, or 0."""
    text = Options(options).find(key)
    if text and not (text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS):
        raise ConfigError(f"settings.{key}: not a whole number of microseconds: {text!r}")
    return span(int(text)) or None if text else None
