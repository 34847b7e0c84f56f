"""What must hold, and the counters: asserted in debug builds, counted in release builds (``python -O``)."""

from __future__ import annotations

import sys
from collections import Counter


class Counters:
    """What was taken in, sent and answered, by name; printed on request and at exit."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        """Count something."""
        self._counts[name] += by

    def __getitem__(self, name: str) -> int:
        """One count."""
        return self._counts[name]

    def text(self) -> str:
        """All counters in one line, in the order of their names."""
        return " ".join(f"{name}={self._counts[name]}" for name in sorted(self._counts)) or "nothing counted"


COUNTERS = Counters()


def invariant(cond: bool, name: str) -> bool:
    """Assert in a debug build; under -O count the breach and say so, so that a node never dies of a check.

    Returns whether it holds. Not for input: what comes from outside is checked where it is read.
    """
    if not cond:
        COUNTERS.add(f"broken.{name}")
        if __debug__:
            raise AssertionError(name)
        log(f"invariant broken: {name}", f"invariant {name}")
    return cond


LOGGED_COUNTS: Counter[str] = Counter()
MAX_FULL_LINES = 8
KINDS = 256


def log(text: str, kind: str = "") -> None:
    """One line for the staff, on standard error.

    Of a kind that input can bring about at will only the first few are said, and then every time their number
    has doubled: a log that grows with what comes in fills the disk.
    """
    if kind:
        if kind not in LOGGED_COUNTS and len(LOGGED_COUNTS) >= KINDS:
            kind = "other"
        LOGGED_COUNTS[kind] += 1
        count = LOGGED_COUNTS[kind]
        if count > MAX_FULL_LINES and count & (count - 1):
            return
        if count > MAX_FULL_LINES:
            text = f"{text} ({count} of its kind so far)"
    print(text, file=sys.stderr, flush=True)
