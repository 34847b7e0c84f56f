"""Shares the loop between the connections that have received messages: a few of each in turn."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from reedmount.core.actors import Scheduler
from reedmount.core.clock import ZERO

BUDGET = timedelta(milliseconds=5)  # in one turn of the loop, so that closes and answers are noticed in time

Reader = Callable[[], bool]  # handles a few messages; whether more have been received


class ReadScheduler:
    """The readers that have messages to handle, in the order in which they are called."""

    def __init__(self, loop: Scheduler) -> None:
        self._loop = loop
        self._waiting: dict[Reader, None] = {}
        self._spent = ZERO  # in this turn of the loop

    def __contains__(self, reader: Reader) -> bool:
        """Whether a reader waits to be called."""
        return reader in self._waiting

    @property
    def waiting(self) -> bool:
        """Whether a reader is to be called in the next turn."""
        return bool(self._waiting)

    def add(self, reader: Reader) -> None:
        """Call a reader: at once if none waits and time is left in this turn, else after those that wait."""
        if self._waiting or self._spent >= BUDGET:
            self._waiting[reader] = None
        else:
            self._call(reader)

    def discard(self, reader: Reader) -> None:
        """Call a reader no more, as its connection has ended."""
        self._waiting.pop(reader, None)

    def begin_turn(self) -> None:
        """A turn of the loop begins, with a budget of its own."""
        self._spent = ZERO

    def run(self) -> bool:
        """Call readers that wait until the budget is used, but one at least; whether there was any."""
        if not self._waiting:
            return False
        while self._waiting:
            reader = next(iter(self._waiting))
            del self._waiting[reader]
            self._call(reader)
            if self._spent >= BUDGET:
                break
        return True

    def _call(self, reader: Reader) -> None:
        begun_at = self._loop.clock.now()
        self._loop.run_safely(self._read, reader)
        self._spent += self._loop.clock.now() - begun_at

    def _read(self, reader: Reader) -> None:
        if reader():
            self._waiting[reader] = None  # behind the others
