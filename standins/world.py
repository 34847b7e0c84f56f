"""A loop in virtual time with stand-ins round it: real loopback sockets, time that goes only when told to."""

from __future__ import annotations

import time
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Protocol

from reedmount.core.clock import ZERO, Clock
from reedmount.net.loop import Loop

STEP = timedelta(milliseconds=5)
QUIET_S = 0.005  # real seconds of silence after which nothing more is on its way


class Pumped(Protocol):
    """A stand-in."""

    def pump(self, now: datetime) -> bool:
        """Take what has come, send what is due; whether there was anything."""


class World:
    """Turns the loop and the stand-ins, step by step."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self.clock = Clock(unix=lambda: 1_800_000_000.0, steady=lambda: self.seconds)
        self.loop = Loop(self.clock)
        self.stands: list[Pumped] = []

    @property
    def now(self) -> datetime:
        """The virtual time."""
        return self.clock.now()

    def turn(self) -> bool:
        """One turn of everything; whether there was anything."""
        busy = self.loop.turn(ZERO)
        for stand in self.stands:
            busy = stand.pump(self.now) or busy
        return busy

    def settle(self) -> None:
        """Go on until nothing more happens at this instant."""
        quiet_at = time.monotonic() + QUIET_S
        while time.monotonic() < quiet_at:
            if self.turn():
                quiet_at = time.monotonic() + QUIET_S

    def run(self, span: timedelta, step: timedelta = STEP) -> None:
        """Let time pass, in steps short enough for every timer to come in its order."""
        end = self.seconds + span.total_seconds()
        while self.seconds < end - 1e-9:
            self.seconds = min(end, self.seconds + step.total_seconds())
            while self.turn():
                pass

    def until(self, done: Callable[[], bool], longest: timedelta) -> bool:
        """Let time pass until something holds; whether it came to hold."""
        end = self.seconds + longest.total_seconds()
        self.settle()
        while not done():
            if self.seconds >= end:
                return False
            self.run(STEP)
        return True
