"""Tables of an operator's file: typed and bounded values, and errors for unknown keys."""

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
    """One table of the file; values are checked when read, and keys that were never read are errors."""

    def __init__(self, values: Any, path: str) -> None:
        if not isinstance(values, dict):
            raise ConfigError(f"{path} is not a table")
        self._values, self.path, self._read_keys = values, path, set[str]()

    def get(self, key: str, kind: type[T], default: T | None = None) -> T:
        """A value of a given type; without a default it is mandatory."""
        self._read_keys.add(key)
        value = self._values.get(key, default)
        if value is None:
            raise ConfigError(f"{self.path}.{key} is missing")
        if kind is float and isinstance(value, int) and not isinstance(value, bool):
            value = float(value)
        if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
            raise ConfigError(f"{self.path}.{key}: {kind.__name__} wanted, not {value!r}")
        return value

    def amount(self, key: str, kind: type[N], default: N | None, minimum: N, maximum: N) -> N:
        """A number within bounds."""
        value = self.get(key, kind, default)
        if not minimum <= value <= maximum:
            raise ConfigError(f"{self.path}.{key}: {value} is not within {minimum} and {maximum}")
        return value

    def span(self, key: str, default: int | None, minimum: int = 1, maximum: int = 3_600_000) -> timedelta:
        """A span given in whole milliseconds."""
        return millis(self.amount(key, int, default, minimum, maximum))

    def seconds(self, key: str, default: float, minimum: float, maximum: float) -> timedelta:
        """A span given in seconds."""
        return timedelta(seconds=self.amount(key, float, default, minimum, maximum))

    def texts(self, key: str, default: list[str]) -> list[str]:
        """A list of strings."""
        values = self.get(key, list, default)
        if not all(isinstance(value, str) for value in values):
            raise ConfigError(f"{self.path}.{key}: strings wanted, not {values!r}")
        return values

    def table(self, key: str) -> Table:
        """A nested table; a missing one is empty."""
        self._read_keys.add(key)
        return Table(self._values.get(key, {}), f"{self.path}.{key}".lstrip("."))

    def tables(self, key: str) -> list[Table]:
        """A list of tables."""
        values = self.get(key, list, [])
        return [Table(value, f"{self.path}.{key}[{n}]".lstrip(".")) for n, value in enumerate(values)]

    def has(self, key: str) -> bool:
        """Whether the key is present."""
        return key in self._values

    def done(self) -> None:
        """Raise ConfigError for a key that was never read: it is misspelt."""
        for key in self._values:
            if key not in self._read_keys:
                raise ConfigError(f"{self.path}.{key}".lstrip(".") + " is not known")


def numeric(text: str, key: str) -> Address:
    """Parse a numeric address with a port; a host name, which would need a look-up, is an error."""
    found = address(text, key)
    try:
        ipaddress.ip_address(found[0])
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None
    if not found[1]:
        raise ConfigError(f"{key}: port 0 in {text!r}")
    return found
