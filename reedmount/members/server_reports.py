"""Evaluates other members' observations of call servers: which servers to hold back, which to treat as cold.

Each member decides by its own sources which call servers it uses; reports of others never add one. They only
cause temporary caution: a drain or removal that another member saw holds back new work for ``max_hold``, time
for our own sources to confirm it or not, and a start that another member saw paces the server as a cold one.

A faulty member must not be able to take the call servers away from all others. Therefore reports hold back at
most half of the servers that our own sources call serving, and pace at most half: those with the most
observers first, then those observed last. A member whose reports repeatedly turn out wrong is ignored for a
while (damping as in RFC 2439).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from reedmount.core.checks import COUNTERS
from reedmount.members.damping import Damping
from reedmount.members.knowledge import HOLD_TIME, Knowledge, StoredObservation

LONGEST_HOLD = timedelta(seconds=60)  # older observations are no longer stored
SHARE_DIVISOR = 2  # at most 1/SHARE_DIVISOR of the serving servers are held back, and as many paced


@dataclass(frozen=True, slots=True)
class Hold:
    """A server that is held back."""

    until: datetime
    by: tuple[str, ...]  # observers of the drain or removal


@dataclass(frozen=True, slots=True)
class Evaluation:
    """The current holds and starts, by server."""

    held: dict[str, Hold] = field(default_factory=dict)
    starts: dict[str, datetime] = field(default_factory=dict)
    reevaluate_at: datetime | None = None  # when to evaluate again, unless a report arrives before


class ReportEvaluator:
    """Evaluates the reports; owns the current holds and the penalties of members that were wrong."""

    def __init__(self, knowledge: Knowledge, cold: timedelta, max_hold: timedelta = HOLD_TIME) -> None:
        """``cold``: how long a server that has started is cold; ``max_hold``: the longest hold, 0 to 60 s."""
        self._knowledge, self._cold = knowledge, cold
        self.max_hold = min(max_hold, LONGEST_HOLD)
        self.doubted = Damping()
        self.evaluation = Evaluation()

    def evaluate(self, now: datetime, serving: Callable[[str], bool], count: int) -> Evaluation:
        """Evaluate again. ``serving``: whether our own sources have a server in service; ``count``: how many
        they have."""
        self.doubted.sweep(now)
        limit = count // SHARE_DIVISOR
        held: dict[str, Hold] = {}
        starts: dict[str, datetime] = {}
        for server, observations in self._knowledge:
            if not serving(server):
                continue
            trusted = [stored for stored in observations if not self.doubted.is_damped(stored.observation.by)]
            hold, start = self._hold(now, trusted), self._start(now, server, trusted)
            if hold is not None:
                held[server] = hold
            if start is not None:
                starts[server] = start
        held = self._limit_holds(limit, held)
        starts = dict(sorted(starts.items(), key=lambda item: item[1], reverse=True)[:limit])
        self._score_ended_holds(now, serving, held)
        deadlines = [hold.until for hold in held.values()]
        deadlines += [start + self._cold for start in starts.values()]
        self.evaluation = Evaluation(held, starts, min(deadlines, default=None))
        return self.evaluation

    def _hold(self, now: datetime, observations: list[StoredObservation]) -> Hold | None:
        unsafe = [
            stored for stored in observations if stored.unsafe and stored.observed_at + self.max_hold > now
        ]
        if not unsafe:
            return None
        until = max(stored.observed_at for stored in unsafe) + self.max_hold
        return Hold(until, tuple(sorted(stored.observation.by for stored in unsafe)))

    def _start(self, now: datetime, server: str, observations: list[StoredObservation]) -> datetime | None:
        latest = max((stored.started for stored in observations if stored.started is not None), default=None)
        running = self.evaluation.starts.get(server)
        if running is not None and (latest is None or latest <= running + self.max_hold):
            latest = running  # sources differ by up to that much on one start: this is no second one
        return latest if latest is not None and latest + self._cold > now else None

    def _limit_holds(self, limit: int, held: dict[str, Hold]) -> dict[str, Hold]:
        if len(held) <= limit:
            return held
        COUNTERS.add("hearsay.over_bound", len(held) - limit)
        # Current holds go first: otherwise servers of equal rank would alternate at each evaluation.
        running = self.evaluation.held
        order = sorted(
            held, key=lambda name: (len(held[name].by), name in running, held[name].until), reverse=True
        )
        return {server: held[server] for server in order[:limit]}

    def _score_ended_holds(
        self, now: datetime, serving: Callable[[str], bool], held: dict[str, Hold]
    ) -> None:
        """Count ended holds as confirmed by our own sources or not; penalize observers of the latter."""
        for server, hold in self.evaluation.held.items():
            if server in held:
                continue
            if not serving(server):
                COUNTERS.add("hearsay.confirmed")
            elif now >= hold.until:
                COUNTERS.add("hearsay.unconfirmed")
                for by in hold.by:
                    if self.doubted.penalize(now, by):
                        COUNTERS.add("hearsay.doubted")
        COUNTERS.add("hearsay.held", len(held.keys() - self.evaluation.held.keys()))
