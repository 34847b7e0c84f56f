"""The one clock. Instants are datetimes, spans timedeltas; the module's microseconds are made here only."""

from __future__ import annotations

import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

EPOCH = datetime.fromtimestamp(0, UTC)
MICROSECOND = timedelta(microseconds=1)
ZERO = timedelta(0)


class Clock:
    """Unix time, read once at the start and carried on by the monotonic clock: it never jumps."""

    def __init__(
        self, unix: Callable[[], float] = time.time, steady: Callable[[], float] = time.monotonic
    ) -> None:
        self._steady = steady
        self._zero = steady()
        self._anchor = EPOCH + timedelta(seconds=unix())

    def now(self) -> datetime:
        """The time."""
        return self._anchor + timedelta(seconds=self._steady() - self._zero)


def micros(instant: datetime) -> int:
    """An instant as the module counts it: microseconds of Unix time."""
    return (instant - EPOCH) // MICROSECOND


def span_micros(span: timedelta) -> int:
    """A span as the module counts it."""
    return span // MICROSECOND


def span(count: int) -> timedelta:
    """A span of the module's microseconds."""
    return timedelta(microseconds=count)


def millis(count: float) -> timedelta:
    """A span of the wire's milliseconds."""
    return timedelta(milliseconds=count)


def whole_millis(length: timedelta) -> int:
    """A span in the wire's milliseconds, rounded up: a wait told too short would be broken."""
    return -(-length // timedelta(milliseconds=1))
