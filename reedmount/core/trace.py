"""The event log: one line of ``key=value`` pairs for each event, so that a call can be followed by its id.

Events that input can cause at will must not fill the disk: lines of each name are limited to a burst and
then to a rate; the next line of that name has the number of suppressed lines. Lines of one turn of the loop
are written together.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import TextIO

from reedmount.core.clock import EPOCH, Clock

BURST = 100  # lines of one name
LINES_PER_SECOND = 20.0  # lines of one name after the burst
MAX_NAMES = 256  # of events; a safeguard only, since all names are fixed in the program
SECOND = timedelta(seconds=1)


@dataclass(slots=True)
class Allowance:
    """The number of lines of one name that may still be written: a token bucket."""

    lines: float
    at: datetime
    left_out: int = 0

    def take(self, now: datetime) -> bool:
        """Whether one more line may be written now."""
        earned = (now - self.at) / SECOND * LINES_PER_SECOND
        self.lines, self.at = min(BURST, self.lines + earned), now
        if self.lines < 1:
            self.left_out += 1
            return False
        self.lines -= 1
        return True


class Trace:
    """Writes events; ``call_soon`` schedules a callback for the end of the turn."""

    def __init__(
        self, clock: Clock, call_soon: Callable[[Callable[[], None]], None], out: TextIO | None = None
    ) -> None:
        self._clock, self._call_soon, self._out = clock, call_soon, out
        self._allowances: dict[str, Allowance] = {}
        self._lines: list[str] = []

    def __call__(self, event: str, **fields: object) -> None:
        """Log an event. Names are fixed; values come from the program or from validated input."""
        now = self._clock.now()
        allowance = self._allowances.get(event)
        if allowance is None:
            if len(self._allowances) >= MAX_NAMES:
                return
            allowance = self._allowances[event] = Allowance(BURST, now)
        if not allowance.take(now):
            return
        if allowance.left_out:
            fields["left_out"], allowance.left_out = allowance.left_out, 0
        if not self._lines:
            self._call_soon(self.flush)
        at = (now - EPOCH).total_seconds()
        pairs = [f"t={at:.3f} event={event}", *(f"{key}={value}" for key, value in fields.items())]
        self._lines.append(" ".join(pairs))

    def flush(self) -> None:
        """Write the queued lines."""
        if self._lines:
            lines, self._lines = self._lines, []
            out = self._out or sys.stderr
            out.write("\n".join([*lines, ""]))
            out.flush()
