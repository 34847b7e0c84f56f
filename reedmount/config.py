"""Reads and checks GW_* and the platform's configuration file; errors name the key.

No other module reads either of them.
"""

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

# Keys whose value must be a number, with an exclusive lower bound; None allows 0.
NUMERIC_KEYS: dict[str, dict[str, float | None]] = {
    "": {"balancers": 0, "over_share_worth": None},
    "specifics": {"retransmit": None, "clear_wait": None},
    "rules": {"cold": None, "start_capacity": None, "fall_multiple": None, "tip_after": None},
    "allowed": {"max_attempts": 0.5},
}
NUMERIC_CLASS_KEYS: dict[str, float | None] = {"deadline": 0, "target": 0, "worth": None, "late_share": None}
MAX_DIGITS = 15  # of a number of microseconds: 31 years
RELEASE_MARGIN = millis(30)  # a release takes time in transit, and a set-up to another server may take less


class ConfigError(ValueError):
    """A setting is missing or invalid; the message names its key."""


@dataclass(frozen=True, slots=True)
class Platform:
    """The complete configuration of a border controller on the platform."""

    name: str
    listen: Address
    seed: int
    sockets: int
    board: Address
    control: Address | None
    handover: Path | None  # the directory in which a successor finds this process
    known_revision: int
    known: list[Notice]
    settings: i.Settings
    connect_wait: timedelta
    idle_wait: timedelta | None  # after which a call server closes an idle connection
    keys: frozenset[str]  # present in the file

    def checked_against(self, old: Platform) -> Platform:
        """Return self if it has all keys of the old configuration, else raise ConfigError.

        Some keys have a default, which is meant for the first start only.
        """
        for key in sorted(old.keys - self.keys):
            raise ConfigError(f"{key} is missing")
        return self


def flatten(value: Any, path: str = "") -> Iterator[str]:
    """Convert nested settings to the path=value pairs of the simulator's protocol, for its reader."""
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


def require(source: Mapping[str, Any], key: str, path: str = "") -> Any:
    """The value of a mandatory key."""
    if key not in source:
        raise ConfigError(f"{path}{key} is missing")
    return source[key]


def address(value: Any, key: str) -> Address:
    """Parse an address with a port."""
    try:
        return parse_address(str(value))
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None


def read_platform(env: Mapping[str, str]) -> Platform:
    """Read the file that GW_CONFIG names; GW_NAME, GW_LISTEN and GW_CONTROL override it."""
    path = require(env, "GW_CONFIG")
    try:
        config = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"GW_CONFIG: {error}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"GW_CONFIG: not JSON: {error}") from None
    if not isinstance(config, dict):
        raise ConfigError("GW_CONFIG: not an object")
    listen = env.get("GW_LISTEN") or require(config, "listen")
    seed = str(require(config, "seed"))
    try:
        known_revision, known = read_notices(require(config, "known"))
    except BoardError as error:
        raise ConfigError(f"known: {error}") from None
    try:
        number = int(seed, 16)
    except ValueError:
        raise ConfigError(f"seed: not hex digits: {seed!r}") from None
    control = env.get("GW_CONTROL") or config.get("control")
    check_settings(require(config, "settings"))
    options = list(flatten(config["settings"]))
    limits = config.get("limits", {})
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < 64:
        raise ConfigError(f"limits.sockets: not a number of 64 or more: {sockets!r}")
    return Platform(
        name=env.get("GW_NAME") or str(require(config, "name")),
        listen=address(listen, "GW_LISTEN" if env.get("GW_LISTEN") else "listen"),
        seed=number,
        sockets=sockets,
        board=address(require(config, "board"), "board"),
        control=address(control, "GW_CONTROL" if env.get("GW_CONTROL") else "control") if control else None,
        handover=Path(env["TMPDIR"]) if env.get("TMPDIR") else None,
        known_revision=known_revision,
        known=known,
        settings=platform_settings(options),
        connect_wait=read_span(options, "allowed.connect_timeout") or millis(500),
        idle_wait=read_span(options, "allowed.conn_idle"),
        keys=frozenset(nested_keys({key: item for key, item in config.items() if key != "known"})),
    )


def nested_keys(value: Any, path: str = "") -> Iterator[str]:
    """The key paths of nested objects; for the list of classes, the keys that all classes have."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield f"{path}{key}"
            yield from nested_keys(item, f"{path}{key}.")
    elif path == "settings.classes.":
        yield from set.intersection(*({*nested_keys(item, path)} for item in value)) - {f"{path}aim_stretch"}


def check_number(source: Any, key: str, path: str, above: float | None = None) -> None:
    """Check a mandatory number: finite, and at least 0 or above an exclusive lower bound."""
    value = require(source, key, path)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise ConfigError(f"{path}{key}: not a number: {value!r}")
    if value < 0 or above is not None and value <= above:
        raise ConfigError(f"{path}{key}: not above {above or 0}: {value!r}")


def check_settings(raw: Any) -> None:
    """Check the types of the raw settings, which are lost once they are flattened to text."""
    if not isinstance(raw, dict) or not raw:
        raise ConfigError("settings: not an object with keys")
    for table, keys in NUMERIC_KEYS.items():
        part = require(raw, table, "settings.") if table else raw
        path = f"settings.{table}.".replace("..", ".")
        if not isinstance(part, dict):
            raise ConfigError(f"settings.{table}: not an object")
        for key, above in keys.items():
            check_number(part, key, path, above)
    classes = require(raw, "classes", "settings.")
    if not isinstance(classes, list) or not classes or not all(isinstance(kind, dict) for kind in classes):
        raise ConfigError("settings.classes: not a list of classes")
    for index, kind in enumerate(classes):
        path = f"settings.classes.{index}."
        name = require(kind, "name", path)
        if not isinstance(name, str) or not name or name in [kind["name"] for kind in classes[:index]]:
            raise ConfigError(f"{path}name: not a name of its own: {name!r}")
        for key, above in NUMERIC_CLASS_KEYS.items():
            check_number(kind, key, path, above)


def platform_settings(options: list[str]) -> i.Settings:
    """The decision module's settings, read as by the simulator's adapter, with a margin for transit times."""
    try:
        plain = read_settings(options)
    except WireError as error:
        raise ConfigError(f"settings: {error}") from None
    return replace(plain, release_wait_us=plain.release_wait_us + span_micros(RELEASE_MARGIN))


def read_span(options: list[str], key: str) -> timedelta | None:
    """Read a span in microseconds; None if it is missing or 0."""
    text = Options(options).find(key)
    if text and not (text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS):
        raise ConfigError(f"settings.{key}: not a whole number of microseconds: {text!r}")
    return span(int(text)) or None if text else None
