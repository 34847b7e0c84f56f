"""The schedule of a drain and of a shutdown: when set-ups are refused and connections closed.

A drain can be undone and has no deadline. A shutdown ends before the process may be killed: clients keep
sending on open connections, so every answer and every close has to come a little before the kill.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

CLIENT_NOTICE_TIME = timedelta(milliseconds=600)  # until clients have noticed and connect elsewhere
# After so long a connection is closed without waiting for a quiet period.
DRAIN_QUIET_LIMIT = timedelta(milliseconds=2000)
SHUTDOWN_QUIET_LIMIT = timedelta(milliseconds=900)
ANSWER_WITHIN = timedelta(milliseconds=3300)  # after the begin, unless the kill comes earlier

MAX_COUNTED_DEADLINE = timedelta(seconds=3)  # longer deadlines of calls count as this
KILL_SLACK = timedelta(milliseconds=700)
PROBE_BEFORE_KILL = timedelta(milliseconds=600)  # of servers that hold calls
ANSWER_BEFORE_KILL = timedelta(milliseconds=400)
CLOSE_BEFORE_KILL = timedelta(milliseconds=250)
EXIT_BEFORE_KILL = timedelta(milliseconds=40)


def earliest_kill(longest_deadline: timedelta) -> timedelta:
    """The shortest time from SIGTERM until a process may be killed."""
    return min(MAX_COUNTED_DEADLINE, longest_deadline) + KILL_SLACK


@dataclass(frozen=True, slots=True)
class Shutdown:
    """A drain or a shutdown that has begun."""

    since: datetime
    kill_at: datetime | None = None  # None in a drain

    def refuses_setups(self, now: datetime) -> bool:
        """Whether new set-ups are refused and unused connections closed."""
        return now - self.since >= CLIENT_NOTICE_TIME

    def skips_quiet_period(self, now: datetime) -> bool:
        """Whether a connection closes as soon as it has no open set-up, even if messages still arrive."""
        return now - self.since >= (DRAIN_QUIET_LIMIT if self.kill_at is None else SHUTDOWN_QUIET_LIMIT)

    @property
    def answer_by(self) -> datetime:
        """When every accepted set-up must have its final answer."""
        latest = self.since + ANSWER_WITHIN
        return latest if self.kill_at is None else min(latest, self.kill_at - ANSWER_BEFORE_KILL)

    @property
    def probe_at(self) -> datetime | None:
        """When call servers that hold calls are probed: those silent at the end count as having lost them."""
        return None if self.kill_at is None else self.kill_at - PROBE_BEFORE_KILL

    @property
    def close_at(self) -> datetime | None:
        """When connections are closed although calls are established on them."""
        return None if self.kill_at is None else self.kill_at - CLOSE_BEFORE_KILL

    def closes_all_connections(self, now: datetime) -> bool:
        """Whether established calls no longer keep a connection open."""
        return self.close_at is not None and now >= self.close_at

    def is_past_deadline(self, now: datetime) -> bool:
        """Whether the process must exit, whatever is unfinished."""
        return self.kill_at is not None and now >= self.kill_at - EXIT_BEFORE_KILL
