"""Timing and limits of the membership protocol, with their meaning and permitted ranges."""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals, timeouts and counts. The defaults suit round-trip times of up to 65 ms.

    Raises ValueError naming the key if a value is out of range.
    """

    interval: timedelta = timedelta(milliseconds=500)  # between probes: 20 ms to 60 s
    timeout: timedelta = timedelta(milliseconds=150)  # for a direct answer, above the longest round-trip time
    relays: int = 3  # members asked to relay a probe, 0 to 8
    alpha: float = 5.0  # the shortest suspicion, in intervals times log10(members), 1 to 100
    beta: float = 6.0  # the longest suspicion, in shortest ones, 1 to 100
    times: int = 6  # lambda: each member sends a record this many times log10(members), 1 to 32
    fanout: int = 3  # members gossiped to at once, 1 to 8
    gossip: timedelta = timedelta(milliseconds=100)  # between gossip rounds while updates are pending
    forget: timedelta = timedelta(minutes=10)  # retention of records of dead or left nonvoters, 60 s at least
    dead_every: int = 2  # intervals between probes of dead members, 1 to 100
    asked_at_last: int = 6  # final checks of a suspected member before it is declared dead, 0 to 16

    def __post_init__(self) -> None:
        """Reject values that are out of range."""
        limits: tuple[tuple[str, float, float, float], ...] = (
            ("interval", self.interval.total_seconds(), 0.02, 60),
            ("timeout", self.timeout.total_seconds(), 0.005, self.interval.total_seconds() / 2),
            ("relays", self.relays, 0, 8),
            ("alpha", self.alpha, 1, 100),
            ("beta", self.beta, 1, 100),
            ("times", self.times, 1, 32),
            ("fanout", self.fanout, 1, 8),
            ("gossip", self.gossip.total_seconds(), 0.005, self.interval.total_seconds()),
            ("forget", self.forget.total_seconds(), 60, 86400),
            ("dead_every", self.dead_every, 1, 100),
            ("asked_at_last", self.asked_at_last, 0, 16),
        )
        for key, value, minimum, maximum in limits:
            if not minimum <= value <= maximum:
                raise ValueError(f"members.{key} is {value:g}, allowed are {minimum:g} to {maximum:g}")

    @property
    def probe_retries(self) -> int:
        """The retries of a probe, one per ``timeout``, such that an answer to the last one still counts."""
        return max(1, int(self.interval / self.timeout) - 1)

    @property
    def final_check_span(self) -> timedelta:
        """How long before the end of a suspicion the final checks of the member start."""
        return self.asked_at_last * self.timeout

    @property
    def nack_after(self) -> timedelta:
        """When a relay without an answer sends a NACK: early enough to arrive within the period."""
        return self.timeout * 0.8

    @property
    def contact_window(self) -> timedelta:
        """How long a received datagram counts as contact: some 20 arrive in it, from different members."""
        return 10 * self.interval

    @property
    def stall_threshold(self) -> timedelta:
        """A wake-up later than this means that we were stalled: missing answers are then no evidence."""
        return self.timeout

    def min_suspicion(self, members: int) -> timedelta:
        """The shortest suspicion in a group of this size."""
        return self.alpha * max(1.0, math.log10(max(1, members))) * self.interval

    def max_suspicion(self, members: int) -> timedelta:
        """The longest suspicion, when no other member confirms it."""
        return self.beta * self.min_suspicion(members)
