"""What follows from what other members saw of call servers: whom to hold back, whom to take for cold. Pure.

Each member decides by its own sources which call servers it uses; hearsay never adds one. It can only make us
more careful, for a while: a drain or removal that another member saw holds new work back for ``bound``, in
which our own sources say so too or not, and a start that another saw paces the server as one that is cold.

A member that is wrong must not be able to take the call servers away from all others. So at most half of
those that our own sources call serving are held back, and half are paced, by hearsay: whom most members saw
first, then whom they saw last. Whose word is again and again not borne out is not taken for a while (RFC
2439's damping).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from reedmount.core.checks import COUNTERS
from reedmount.members.damping import Damping
from reedmount.members.knowledge import HOLD_TIME, Knowledge, StoredObservation

LONGEST_HOLD = timedelta(seconds=60)  # what is older is not known any more
SHARE_DIVISOR = 2  # of the servers that serve one in so many may be held back, and one in so many paced


@dataclass(frozen=True, slots=True)
class Hold:
    """A server that is held back."""

    until: datetime
    by: tuple[str, ...]  # who saw that it drains or is gone


@dataclass(frozen=True, slots=True)
class Evaluation:
    """What holds now, by server."""

    held: dict[str, Hold] = field(default_factory=dict)
    starts: dict[str, datetime] = field(default_factory=dict)
    reevaluate_at: datetime | None = None  # when to look again, if nothing comes before


class ReportEvaluator:
    """What follows from hearsay; it owns the holds that run and the marks of those that were wrong."""

    def __init__(self, knowledge: Knowledge, cold: timedelta, max_hold: timedelta = HOLD_TIME) -> None:
        """``cold``: how long a server that has started is cold; ``bound``: the longest hold, 0 to 60 s."""
        self._knowledge, self._cold = knowledge, cold
        self.max_hold = min(max_hold, LONGEST_HOLD)
        self.doubted = Damping()
        self.evaluation = Evaluation()

    def evaluate(self, now: datetime, serving: Callable[[str], bool], count: int) -> Evaluation:
        """Decide anew. ``serving`` says whether our own sources have a server in service, ``count`` how many
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
            latest = running  # sources see one start up to that much later than others: no second one
        return latest if latest is not None and latest + self._cold > now else None

    def _limit_holds(self, limit: int, held: dict[str, Hold]) -> dict[str, Hold]:
        if len(held) <= limit:
            return held
        COUNTERS.add("hearsay.over_bound", len(held) - limit)
        # Who is held back already goes first: else two that are level would change places at each look.
        running = self.evaluation.held
        order = sorted(
            held, key=lambda name: (len(held[name].by), name in running, held[name].until), reverse=True
        )
        return {server: held[server] for server in order[:limit]}

    def _score_ended_holds(
        self, now: datetime, serving: Callable[[str], bool], held: dict[str, Hold]
    ) -> None:
        """Holds that have ended: borne out by our own sources, taken back, or nothing of it came true."""
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
