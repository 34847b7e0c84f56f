"""The only reader of GW_* and of operator files: checks, defaults, and errors that name the key."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from pathlib import Path
from typing import Any

from reedmount import interface as i
from reedmount.core.clock import millis, span, span_micros
from reedmount.fronts.board import BoardError, Notice, read_notices
from reedmount.net.connection import Address, address_of
from reedmount.simhost import Options, WireError, read_settings

RELEASE_MARGIN = millis(60)  # limits on sockets are 50 ms wider, and a message has its way to go


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
    known_last: int
    known: list[Notice]
    settings: i.Settings
    connect_wait: timedelta


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
    options = list(flatten(need(config, "settings")))
    limits = config.get("limits", {})
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if not isinstance(sockets, int) or sockets < 64:
        raise ConfigError(f"limits.sockets: not a number of 64 or more: {sockets!r}")
    return Platform(
        name=env.get("GW_NAME") or str(need(config, "name")),
        listen=address(listen, "GW_LISTEN" if env.get("GW_LISTEN") else "listen"),
        seed=number,
        sockets=sockets,
        board=address(need(config, "board"), "board"),
        known_last=known_last,
        known=known,
        settings=on_sockets(options),
        connect_wait=connect_wait(options),
    )


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
