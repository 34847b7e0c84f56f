"""The process clock. Instants are datetimes, spans timedeltas; only here are they converted to integers."""

from __future__ import annotations

import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

EPOCH = datetime.fromtimestamp(0, UTC)
MICROSECOND = timedelta(microseconds=1)
ZERO = timedelta(0)


class Clock:
    """Unix time, read once at the start and advanced by the monotonic clock, so that it never jumps."""

    def __init__(
        self, unix: Callable[[], float] = time.time, steady: Callable[[], float] = time.monotonic
    ) -> None:
        self._steady = steady
        self._steady_start = steady()
        self._anchor = EPOCH + timedelta(seconds=unix())

    def now(self) -> datetime:
        """The current time."""
        return self._anchor + timedelta(seconds=self._steady() - self._steady_start)


def micros(instant: datetime) -> int:
    """An instant in microseconds of Unix time, as the decision module uses it."""
    return (instant - EPOCH) // MICROSECOND


def span_micros(span: timedelta) -> int:
    """A span in microseconds, as the decision module uses it."""
    return span // MICROSECOND


def span(count: int) -> timedelta:
    """The span of a number of microseconds."""
    return timedelta(microseconds=count)


def millis(count: float) -> timedelta:
    """The span of a number of milliseconds, as on the wire."""
    return timedelta(milliseconds=count)


def whole_millis(length: timedelta) -> int:
    """A span in milliseconds for the wire, rounded up: a shorter wait than the real one must not be sent."""
    return -(-length // timedelta(milliseconds=1))


def stamp(instant: datetime | None) -> str:
    """An instant in seconds of Unix time for the event log, ``-`` where it is not known."""
    return "-" if instant is None else f"{(instant - EPOCH).total_seconds():.3f}"
