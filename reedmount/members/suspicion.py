"""How long a member may stay suspected: Lifeguard's timeout, shorter the more members suspect it too."""

from __future__ import annotations

import math
from datetime import datetime, timedelta

from reedmount.members.timer_queue import ScheduledTask


class Suspicion:
    """One suspicion of one incarnation, as one member sees it.

    It begins with the longest span, since a suspicion that nobody shares may be our own fault, and comes
    down to the shortest with ``wanted`` others that say the same. Where nobody else could confirm, it
    starts at the shortest.
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
        self.final_checks = 0  # how often we asked the member itself, its end being near
        self.timer: ScheduledTask | None = None  # the next look at it

    def confirm(self, by: str) -> bool:
        """Another member says the same; whether that is news that others need (the first few are)."""
        if by in self._by or not by or len(self._by) > self._confirmations:
            return False
        self._by.add(by)
        return True

    def extend(self, span: timedelta) -> None:
        """We were away for that long: it had no chance to be refuted to us, nor to answer us."""
        self.began += span
        self.final_checks = 0

    @property
    def ends_at(self) -> datetime:
        """When it is taken for dead, as things stand."""
        if self._confirmations < 1:
            return self.began + self._shortest
        share = math.log(len(self._by)) / math.log(self._confirmations + 1)
        return self.began + max(self._shortest, self._longest - (self._longest - self._shortest) * share)
