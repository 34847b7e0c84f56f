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
        began: datetime,
        shortest: timedelta,
        longest: timedelta,
        confirmations: int,
        by: str,
        others: int,
    ) -> None:
        self.began, self._shortest, self._longest = began, shortest, longest
        self._confirmations = min(confirmations, max(0, others - 1))
        self._by = {by}
        self.final_checks = 0  # pings sent to the member near the end
        self.timer: ScheduledTask | None = None  # the next check

    def confirm(self, by: str) -> bool:
        """Count another accuser; returns whether to gossip it: the first few ones are."""
        if by in self._by or not by or len(self._by) > self._confirmations:
            return False
        self._by.add(by)
        return True

    def extend(self, span: timedelta) -> None:
        """Extend it after a stall, in which neither a refutation nor an answer could reach us."""
        self.began += span
        self.final_checks = 0

    @property
    def ends_at(self) -> datetime:
        """When the member is declared dead, given the current confirmations."""
        if self._confirmations < 1:
            return self.began + self._shortest
        share = math.log(len(self._by)) / math.log(self._confirmations + 1)
        return self.began + max(self._shortest, self._longest - (self._longest - self._shortest) * share)
