"""Call servers as other members see them, brought to the pool; what our own sources say, told to others."""

from __future__ import annotations

from datetime import datetime, timedelta

from reedmount.core.actors import Timer
from reedmount.core.checks import log
from reedmount.core.clock import ZERO
from reedmount.members.knowledge import MAX_AGE, MILLI, Fact, ListState
from reedmount.members.outbox import Told
from reedmount.members.server_reports import Hearsay
from reedmount.peers.membership import Membership
from reedmount.pool.pool import Entry
from reedmount.pool.rule import Rule
from reedmount.sources.pool_host import PoolHost

LEAVING = {Rule.GONE: ListState.REMOVED, Rule.DRAINING: ListState.DRAINING}
Saying = tuple[ListState, datetime | None]


class MemberReports:
    """Joins the pool and the members. What to do about a word is decided in ``members/server_reports.py``."""

    def __init__(
        self, host: PoolHost, membership: Membership, name: str, cold: timedelta, bound: timedelta
    ) -> None:
        """``name``: ours among the members; ``cold``: how long a started server is; ``bound``: of a hold."""
        self._loop, self._host, self._membership, self._name = host.loop, host, membership, name
        self._hearsay = Hearsay(membership.protocol.rumours.knowledge, cold, bound)
        self._said: dict[str, Saying] = {}  # of servers in the pool, as the others were told last
        self._looking = False
        self._timer: Timer | None = None
        host.on_change(self._changed)
        membership.on_facts(self._told)

    def view(self) -> dict[str, object]:
        """For the door: whom we hold back or pace on the word of others, and whose word is doubted."""
        now, verdict = self._loop.clock.now(), self._hearsay.verdict
        return {
            "held_back": {
                server: {"for_s": round((hold.until - now).total_seconds(), 1), "seen_by": list(hold.by)}
                for server, hold in verdict.held.items()
            },
            "paced": {
                server: {"started_s": round((now - start).total_seconds(), 1)}
                for server, start in verdict.starts.items()
            },
            "doubted": self._hearsay.doubted.names,
        }

    # --- what we see ---

    def _changed(self, entry: Entry, removed: bool) -> None:
        """Our own sources say something else of a server: tell it, where it is a reason to be careful or
        takes such a reason back."""
        state = LEAVING.get(entry.rule, ListState.SERVING)
        before, saying = self._said.get(entry.server), (state, entry.seen)
        plain = state is ListState.SERVING and entry.seen is None
        news = saying != before and not (before is None and plain)
        if news and (state is not ListState.SERVING or entry.ours):
            self._tell(entry, state)
        if removed:
            self._said.pop(entry.server, None)
        else:
            self._said[entry.server] = saying
        if self._hearsay.verdict.held:
            self._soon()

    def _tell(self, entry: Entry, state: ListState) -> None:
        now, cold_ms = self._loop.clock.now(), -1
        if entry.seen is not None and state is ListState.SERVING:
            cold_ms = min(MAX_AGE, max(ZERO, now - entry.seen) // MILLI)
        self._membership.report_observation(Fact(entry.server, self._name, 0, state, cold_ms))

    # --- what others see ---

    def _told(self, _: Told) -> None:
        self._soon()

    def _soon(self) -> None:
        """In this turn still, once for all that came in it."""
        if not self._looking:
            self._looking = True
            self._loop.call_soon(self._look)

    def _look(self) -> None:
        self._looking = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        pool, before = self._host.pool, self._hearsay.verdict.held.keys()
        verdict = self._hearsay.look(self._loop.clock.now(), self._ours, pool.vouched_count)
        for server in verdict.held.keys() - before:
            seen_by = ", ".join(verdict.held[server].by)
            log(f"{server} is held back: {seen_by} saw it leave", "hearsay.held")
        self._host.apply_member_reports(verdict.held.keys(), verdict.starts)
        if verdict.due is not None:
            self._timer = self._loop.call_at(verdict.due, self._soon)

    def _ours(self, server: str) -> bool:
        entry = self._host.pool.find(server)
        return entry is not None and entry.ours
