"""Spans and numbers of the membership protocol, with what they mean and what is allowed."""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Timing:
    """How often, how long, how many. Defaults are for ways of up to 65 ms there and back.

    Raises ValueError naming the key where a figure is out of bounds.
    """

    interval: timedelta = timedelta(milliseconds=500)  # from one probe to the next: 20 ms to 60 s
    timeout: timedelta = timedelta(milliseconds=150)  # for a direct answer, above the longest way and back
    relays: int = 3  # others that are asked to try, 0 to 8
    alpha: float = 5.0  # the shortest suspicion, in intervals times log10(members), 1 to 100
    beta: float = 6.0  # the longest, in shortest ones, 1 to 100
    times: int = 6  # lambda: a record is sent this often times log10(members) by each member, 1 to 32
    fanout: int = 3  # members that news go to at once, 1 to 8
    gossip: timedelta = timedelta(milliseconds=100)  # between two such rounds while there is news
    forget: timedelta = timedelta(minutes=10)  # what is kept of one that is gone for good, 60 s at least
    dead_every: int = 2  # intervals from one probe of a dead member to the next, 1 to 100
    asked_at_last: int = 6  # times that a member is asked before it is called dead, 0 to 16

    def __post_init__(self) -> None:
        """Refuse what is out of bounds."""
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
        """How often a probe is sent again, each ``timeout``, so that an answer to the last still counts."""
        return max(1, int(self.interval / self.timeout) - 1)

    @property
    def final_check_span(self) -> timedelta:
        """How long before the end of a suspicion the member is asked for the first time."""
        return self.asked_at_last * self.timeout

    @property
    def nack_after(self) -> timedelta:
        """When a relay that had no answer says so: early enough to come within the period."""
        return self.timeout * 0.8

    @property
    def contact_window(self) -> timedelta:
        """Who was heard within this was heard of late: in it some 20 datagrams come, of others each."""
        return 10 * self.interval

    @property
    def stall_threshold(self) -> timedelta:
        """Woken later than this, we were away: what came in between is no evidence against anyone."""
        return self.timeout

    def min_suspicion(self, members: int) -> timedelta:
        """How long a suspicion lasts at least, in a group of so many."""
        return self.alpha * max(1.0, math.log10(max(1, members))) * self.interval

    def max_suspicion(self, members: int) -> timedelta:
        """How long it lasts where nobody else suspects."""
        return self.beta * self.min_suspicion(members)
