"""The event log: one line of ``key=value`` pairs for each event, so that a call can be followed by its id.

An event that input can bring about at will must not fill the disk: of each name a burst is written, then so
many a second; the next line of that name says how many were left out. Lines of one turn are written at once.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import TextIO

from reedmount.core.clock import EPOCH, Clock

BURST = 100  # lines of one name
PER_SECOND = 20.0  # after the burst
NAMES = 256  # of events; all are written in the program, so that this is never reached
SECOND = timedelta(seconds=1)


@dataclass(slots=True)
class Allowance:
    """How many lines of one name may still be written."""

    lines: float
    at: datetime
    left_out: int = 0

    def take(self, now: datetime) -> bool:
        """Whether one more may be written now."""
        earned = (now - self.at) / SECOND * PER_SECOND
        self.lines, self.at = min(BURST, self.lines + earned), now
        if self.lines < 1:
            self.left_out += 1
            return False
        self.lines -= 1
        return True


class Trace:
    """Writes events; ``soon`` has something done at the end of the turn."""

    def __init__(
        self, clock: Clock, soon: Callable[[Callable[[], None]], None], out: TextIO | None = None
    ) -> None:
        self._clock, self._soon, self._out = clock, soon, out
        self._allowances: dict[str, Allowance] = {}
        self._lines: list[str] = []

    def __call__(self, event: str, **fields: object) -> None:
        """Note an event; the names of fields and events are fixed, their values are ours or checked input."""
        now = self._clock.now()
        allowance = self._allowances.get(event)
        if allowance is None:
            if len(self._allowances) >= NAMES:
                return
            allowance = self._allowances[event] = Allowance(BURST, now)
        if not allowance.take(now):
            return
        if allowance.left_out:
            fields["left_out"], allowance.left_out = allowance.left_out, 0
        if not self._lines:
            self._soon(self.flush)
        at = (now - EPOCH).total_seconds()
        words = [f"t={at:.3f} event={event}", *(f"{key}={value}" for key, value in fields.items())]
        self._lines.append(" ".join(words))

    def flush(self) -> None:
        """Write what waits."""
        if self._lines:
            lines, self._lines = self._lines, []
            out = self._out or sys.stderr
            out.write("\n".join([*lines, ""]))
            out.flush()
