"""Invariants and counters. A broken invariant raises in debug builds and is counted under ``python -O``."""

from __future__ import annotations

import sys
from collections import Counter


class Counters:
    """Event counts by name; printed on request and at exit."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        """Increase a counter."""
        self._counts[name] += by

    def __getitem__(self, name: str) -> int:
        """The value of one counter."""
        return self._counts[name]

    def text(self) -> str:
        """All counters in one line, sorted by name."""
        return " ".join(f"{name}={self._counts[name]}" for name in sorted(self._counts)) or "nothing counted"


COUNTERS = Counters()


def invariant(condition: bool, name: str) -> bool:
    """Check an invariant: raise in a debug build; under -O count and log it and go on.

    Returns whether it holds. Not for checking input, which is validated where it is read.
    """
    if not condition:
        COUNTERS.add(f"broken.{name}")
        if __debug__:
            raise AssertionError(name)
        log(f"invariant broken: {name}", f"invariant {name}")
    return condition


LOGGED_COUNTS: Counter[str] = Counter()
MAX_FULL_LINES = 8
MAX_KINDS = 256


def log(text: str, kind: str = "") -> None:
    """Write one line for the operators to standard error.

    Lines of a ``kind`` that input can cause at will are limited to the first few, then to one each time their
    number has doubled: a log that grows with the input would fill the disk.
    """
    if kind:
        if kind not in LOGGED_COUNTS and len(LOGGED_COUNTS) >= MAX_KINDS:
            kind = "other"
        LOGGED_COUNTS[kind] += 1
        count = LOGGED_COUNTS[kind]
        if count > MAX_FULL_LINES and count & (count - 1):
            return
        if count > MAX_FULL_LINES:
            text = f"{text} ({count} of its kind so far)"
    print(text, file=sys.stderr, flush=True)
