"""Retries with exponential back-off."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from reedmount.net.loop import Loop

FIRST_RETRY_DELAY, MAX_RETRY_DELAY = timedelta(milliseconds=100), timedelta(seconds=1)


class RetryTimer:
    """Calls back after a delay, which doubles with each retry up to ``MAX_RETRY_DELAY``."""

    def __init__(self, loop: Loop, callback: Callable[[], None]) -> None:
        self._loop, self._callback = loop, callback
        self._delay = FIRST_RETRY_DELAY
        self.pending = False

    def schedule(self) -> None:
        """Schedule the next retry, unless one is pending."""
        if self.pending:
            return
        self.pending = True
        self._loop.call_later(self._delay, self._retry)
        self._delay = min(2 * self._delay, MAX_RETRY_DELAY)

    def reset(self) -> None:
        """Start again with the first delay; a pending retry keeps its time."""
        self._delay = FIRST_RETRY_DELAY

    def _retry(self) -> None:
        self.pending = False
        self._callback()
