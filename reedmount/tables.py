"""Tables of an operator's file: typed, bounded, and no key that nobody asked for."""

from __future__ import annotations

import ipaddress
from datetime import timedelta
from typing import Any, TypeVar

from reedmount.config import ConfigError, address
from reedmount.core.clock import millis
from reedmount.net.connection import Address

T = TypeVar("T")
N = TypeVar("N", int, float)


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

    def seconds(self, key: str, default: float, least: float, most: float) -> timedelta:
        """A span given in seconds."""
        return timedelta(seconds=self.amount(key, float, default, least, most))

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


def numeric(text: str, key: str) -> Address:
    """An address with a port, with no name in it that would have to be looked up."""
    found = address(text, key)
    try:
        ipaddress.ip_address(found[0])
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None
    if not found[1]:
        raise ConfigError(f"{key}: port 0 in {text!r}")
    return found
