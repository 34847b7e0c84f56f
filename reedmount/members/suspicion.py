"""Lifeguard's suspicion timeout, which shrinks with the number of members that confirm the suspicion."""

from __future__ import annotations

import math
from datetime import datetime, timedelta

from reedmount.members.timer_queue import ScheduledTask


class Suspicion:
    """A suspicion of one incarnation of a member.

    It starts with the longest span, since a suspicion that no one shares may be our own fault, and shrinks to
    the shortest with ``confirmations`` other accusers. If no other member could confirm it, it starts with
    the shortest.
    """

    def __init__(
        self,
        started_at: datetime,
        shortest: timedelta,
        longest: timedelta,
        confirmations: int,
        accuser: str,
        others: int,
    ) -> None:
        self.started_at, self._shortest, self._longest = started_at, shortest, longest
        self._confirmations = min(confirmations, max(0, others - 1))
        self._accusers = {accuser}
        self.final_checks = 0  # pings sent to the member near the end
        self.timer: ScheduledTask | None = None  # the next check

    def confirm(self, accuser: str) -> bool:
        """Count another accuser; returns whether to gossip it: the first few ones are."""
        if accuser in self._accusers or not accuser or len(self._accusers) > self._confirmations:
            return False
        self._accusers.add(accuser)
        return True

    def extend(self, span: timedelta) -> None:
        """Extend it after a stall, in which neither a refutation nor an answer could reach us."""
        self.started_at += span
        self.final_checks = 0

    @property
    def ends_at(self) -> datetime:
        """When the member is declared dead, given the current confirmations."""
        if self._confirmations < 1:
            return self.started_at + self._shortest
        share = math.log(len(self._accusers)) / math.log(self._confirmations + 1)
        return self.started_at + max(self._shortest, self._longest - (self._longest - self._shortest) * share)
