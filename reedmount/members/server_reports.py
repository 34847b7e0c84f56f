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
from reedmount.members.knowledge import HELD_BACK, Heard, Knowledge

MAX_BOUND = timedelta(seconds=60)  # what is older is not known any more
MAX_SHARE = 2  # of the servers that serve one in so many may be held back, and one in so many paced


@dataclass(frozen=True, slots=True)
class Hold:
    """A server that is held back."""

    until: datetime
    by: tuple[str, ...]  # who saw that it drains or is gone


@dataclass(frozen=True, slots=True)
class Verdict:
    """What holds now, by server."""

    held: dict[str, Hold] = field(default_factory=dict)
    starts: dict[str, datetime] = field(default_factory=dict)
    due: datetime | None = None  # when to look again, if nothing comes before


class Hearsay:
    """What follows from hearsay; it owns the holds that run and the marks of those that were wrong."""

    def __init__(self, knowledge: Knowledge, cold: timedelta, bound: timedelta = HELD_BACK) -> None:
        """``cold``: how long a server that has started is cold; ``bound``: the longest hold, 0 to 60 s."""
        self._knowledge, self._cold = knowledge, cold
        self.bound = min(bound, MAX_BOUND)
        self.doubted = Damping()
        self.verdict = Verdict()

    def look(self, now: datetime, serving: Callable[[str], bool], count: int) -> Verdict:
        """Decide anew. ``serving`` says whether our own sources have a server in service, ``count`` how many
        they have."""
        self.doubted.sweep(now)
        room = count // MAX_SHARE
        held: dict[str, Hold] = {}
        starts: dict[str, datetime] = {}
        for server, kept in self._knowledge:
            if not serving(server):
                continue
            believed = [heard for heard in kept if not self.doubted.damped(heard.fact.by)]
            hold, start = self._hold(now, believed), self._start(now, server, believed)
            if hold is not None:
                held[server] = hold
            if start is not None:
                starts[server] = start
        held = self._within(room, held)
        starts = dict(sorted(starts.items(), key=lambda item: item[1], reverse=True)[:room])
        self._weigh(now, serving, held)
        instants = [hold.until for hold in held.values()]
        instants += [start + self._cold for start in starts.values()]
        self.verdict = Verdict(held, starts, min(instants, default=None))
        return self.verdict

    def _hold(self, now: datetime, kept: list[Heard]) -> Hold | None:
        unsafe = [heard for heard in kept if heard.unsafe and heard.observed + self.bound > now]
        if not unsafe:
            return None
        until = max(heard.observed for heard in unsafe) + self.bound
        return Hold(until, tuple(sorted(heard.fact.by for heard in unsafe)))

    def _start(self, now: datetime, server: str, kept: list[Heard]) -> datetime | None:
        latest = max((heard.started for heard in kept if heard.started is not None), default=None)
        running = self.verdict.starts.get(server)
        if running is not None and (latest is None or latest <= running + self.bound):
            latest = running  # sources see one start up to that much later than others: no second one
        return latest if latest is not None and latest + self._cold > now else None

    def _within(self, room: int, held: dict[str, Hold]) -> dict[str, Hold]:
        if len(held) <= room:
            return held
        COUNTERS.add("hearsay.over_bound", len(held) - room)
        # Who is held back already goes first: else two that are level would change places at each look.
        running = self.verdict.held
        order = sorted(
            held, key=lambda name: (len(held[name].by), name in running, held[name].until), reverse=True
        )
        return {server: held[server] for server in order[:room]}

    def _weigh(self, now: datetime, serving: Callable[[str], bool], held: dict[str, Hold]) -> None:
        """Holds that have ended: borne out by our own sources, taken back, or nothing of it came true."""
        for server, hold in self.verdict.held.items():
            if server in held:
                continue
            if not serving(server):
                COUNTERS.add("hearsay.confirmed")
            elif now >= hold.until:
                COUNTERS.add("hearsay.unconfirmed")
                for by in hold.by:
                    if self.doubted.came_back(now, by):
                        COUNTERS.add("hearsay.doubted")
        COUNTERS.add("hearsay.held", len(held.keys() - self.verdict.held.keys()))
