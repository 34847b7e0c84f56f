"""Runs the event loop and the stand-ins in virtual time, on real loopback sockets."""

from __future__ import annotations

import time
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Protocol

from reedmount.core.clock import ZERO, Clock
from reedmount.net.loop import Loop

STEP = timedelta(milliseconds=5)
IDLE_AFTER_S = 0.005  # real seconds without activity after which nothing more is expected to arrive


class StandIn(Protocol):
    """A test double that is driven by calls of ``pump``."""

    def pump(self, now: datetime) -> bool:
        """Handle what has arrived and send what is due; whether there was anything to do."""


class World:
    """Advances virtual time and drives the event loop and the stand-ins step by step."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self.clock = Clock(unix=lambda: 1_800_000_000.0, steady=lambda: self.seconds)
        self.loop = Loop(self.clock)
        self.stand_ins: list[StandIn] = []

    @property
    def now(self) -> datetime:
        """The virtual time."""
        return self.clock.now()

    def turn(self) -> bool:
        """One iteration of the loop and of each stand-in; whether there was anything to do."""
        busy = self.loop.turn(ZERO)
        for stand_in in self.stand_ins:
            busy = stand_in.pump(self.now) or busy
        return busy

    def run_until_idle(self) -> None:
        """Run without advancing virtual time until there is no more activity."""
        idle_at = time.monotonic() + IDLE_AFTER_S
        while time.monotonic() < idle_at:
            if self.turn():
                idle_at = time.monotonic() + IDLE_AFTER_S

    def run(self, span: timedelta, step: timedelta = STEP) -> None:
        """Advance virtual time, in steps short enough for the timers to run in their order."""
        end = self.seconds + span.total_seconds()
        while self.seconds < end - 1e-9:
            self.seconds = min(end, self.seconds + step.total_seconds())
            while self.turn():
                pass

    def run_until(self, done: Callable[[], bool], timeout: timedelta) -> bool:
        """Advance virtual time until a condition holds; False if it does not within ``timeout``."""
        end = self.seconds + timeout.total_seconds()
        self.run_until_idle()
        while not done():
            if self.seconds >= end:
                return False
            self.run(STEP)
        return True
