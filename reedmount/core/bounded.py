"""A table that forgets its oldest entries beyond a limit."""

from __future__ import annotations

from typing import TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")


class BoundedDict(dict[Key, Value]):
    """A dict of at most ``limit`` entries. A key that is set again keeps its age."""

    __slots__ = ("_limit",)

    def __init__(self, limit: int) -> None:
        super().__init__()
        self._limit = limit

    def __setitem__(self, key: Key, value: Value) -> None:
        """Set an entry; the oldest one is dropped if there are too many."""
        super().__setitem__(key, value)
        if len(self) > self._limit:
            del self[next(iter(self))]

    def setdefault(self, key: Key, default: Value) -> Value:
        """The entry of a key, set to a default if it is new."""
        if key not in self:
            self[key] = default
        return self[key]
