"""When what has to be done once clients are to go elsewhere: in a drain, and at the end of the process.

A drain can be undone and has no end of its own. The process ends before it may be killed: until then clients
go on sending on open connections, so that all has to be answered and closed a little earlier.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

STILL_USED = timedelta(milliseconds=600)  # so long clients have not heard of it
HURRIED_AFTER = timedelta(milliseconds=2000)  # in a drain: then a connection need not be quiet to be closed
HURRIED_AT_END_AFTER = timedelta(milliseconds=900)
ANSWERED_WITHIN = timedelta(milliseconds=3300)  # of its begin, where no kill comes earlier

LONGEST_COUNTED = timedelta(seconds=3)  # a longer deadline counts as this
KILL_SLACK = timedelta(milliseconds=700)
TESTED_BEFORE_KILL = timedelta(milliseconds=600)  # servers that hold calls
ANSWERED_BEFORE_KILL = timedelta(milliseconds=400)
CLOSED_BEFORE_KILL = timedelta(milliseconds=250)
GONE_BEFORE_KILL = timedelta(milliseconds=40)


def earliest_kill(longest_deadline: timedelta) -> timedelta:
    """How long after SIGTERM a process may be killed at the earliest."""
    return min(LONGEST_COUNTED, longest_deadline) + KILL_SLACK


@dataclass(frozen=True, slots=True)
class Shutdown:
    """A drain, or the end of the process, that has begun."""

    since: datetime
    kill_at: datetime | None = None  # at the end only

    def refuses_setups(self, now: datetime) -> bool:
        """Whether set-ups that come now are refused, and connections with nothing left closed."""
        return now - self.since >= STILL_USED

    def skips_quiet_period(self, now: datetime) -> bool:
        """Whether a connection closes at the first moment with nothing open, though messages still come."""
        return now - self.since >= (HURRIED_AFTER if self.kill_at is None else HURRIED_AT_END_AFTER)

    @property
    def answer_by(self) -> datetime:
        """When all that was taken has its final answer."""
        latest = self.since + ANSWERED_WITHIN
        return latest if self.kill_at is None else min(latest, self.kill_at - ANSWERED_BEFORE_KILL)

    @property
    def probe_at(self) -> datetime | None:
        """When call servers are tested that hold calls: what is silent at the end has lost them."""
        return None if self.kill_at is None else self.kill_at - TESTED_BEFORE_KILL

    @property
    def close_at(self) -> datetime | None:
        """When connections are closed whose calls still stand."""
        return None if self.kill_at is None else self.kill_at - CLOSED_BEFORE_KILL

    def closes_all_connections(self, now: datetime) -> bool:
        """Whether calls that stand keep no connection any more."""
        return self.close_at is not None and now >= self.close_at

    def is_past_deadline(self, now: datetime) -> bool:
        """Whether the process has to go, whatever is left."""
        return self.kill_at is not None and now >= self.kill_at - GONE_BEFORE_KILL
