"""Exchanges call server observations with other members: reports theirs to the pool and ours to them."""

from __future__ import annotations

from datetime import datetime, timedelta

from reedmount.core.actors import Timer
from reedmount.core.checks import log
from reedmount.core.clock import ZERO
from reedmount.members.knowledge import MAX_AGE_MS, MILLI, ListState, Observation
from reedmount.members.outbox import ObservationsReceived
from reedmount.members.server_reports import ReportEvaluator
from reedmount.peers.membership import Membership
from reedmount.pool.pool import Entry
from reedmount.pool.rule import Rule
from reedmount.sources.pool_host import PoolHost

LEAVING = {Rule.GONE: ListState.REMOVED, Rule.DRAINING: ListState.DRAINING}
ReportedState = tuple[ListState, datetime | None]


class MemberReports:
    """Connects the pool with the membership. ``members/server_reports.py`` decides what a report causes."""

    def __init__(
        self, host: PoolHost, membership: Membership, name: str, cold: timedelta, max_hold: timedelta
    ) -> None:
        """``name``: our member name; ``cold``: how long a server is cold after its start; ``max_hold``: of a
        server that others saw leave."""
        self._loop, self._host, self._membership, self._name = host.loop, host, membership, name
        self._evaluator = ReportEvaluator(membership.protocol.observation_gossip.knowledge, cold, max_hold)
        self._published: dict[str, ReportedState] = {}  # by server in the pool, as last reported
        self._evaluation_pending = False
        self._timer: Timer | None = None
        host.on_change(self._changed)
        membership.on_observations(self._observations_received)

    def view(self) -> dict[str, object]:
        """For the admin server: servers held back or paced by reports, and members that are doubted."""
        now, evaluation = self._loop.clock.now(), self._evaluator.evaluation
        return {
            "held_back": {
                server: {"for_s": round((hold.until - now).total_seconds(), 1), "seen_by": list(hold.by)}
                for server, hold in evaluation.held.items()
            },
            "paced": {
                server: {"started_s": round((now - start).total_seconds(), 1)}
                for server, start in evaluation.starts.items()
            },
            "doubted": self._evaluator.doubted.names,
        }

    # --- our own observations ---

    def _changed(self, entry: Entry, removed: bool) -> None:
        """Our own sources changed a server's state: report it if it calls for caution or withdraws such a
        report."""
        state = LEAVING.get(entry.rule, ListState.SERVING)
        before, reported = self._published.get(entry.server), (state, entry.seen)
        plain = state is ListState.SERVING and entry.seen is None
        changed = reported != before and not (before is None and plain)
        if changed and (state is not ListState.SERVING or entry.ours):
            self._report(entry, state)
        if removed:
            self._published.pop(entry.server, None)
        else:
            self._published[entry.server] = reported
        if self._evaluator.evaluation.held:
            self._schedule_evaluation()

    def _report(self, entry: Entry, state: ListState) -> None:
        now, cold_ms = self._loop.clock.now(), -1
        if entry.seen is not None and state is ListState.SERVING:
            cold_ms = min(MAX_AGE_MS, max(ZERO, now - entry.seen) // MILLI)
        self._membership.report_observation(Observation(entry.server, self._name, 0, state, cold_ms))

    # --- observations of others ---

    def _observations_received(self, _: ObservationsReceived) -> None:
        self._schedule_evaluation()

    def _schedule_evaluation(self) -> None:
        """Evaluate once, later in this turn of the loop, for all that arrives in it."""
        if not self._evaluation_pending:
            self._evaluation_pending = True
            self._loop.call_soon(self._evaluate)

    def _evaluate(self) -> None:
        self._evaluation_pending = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        pool, before = self._host.pool, self._evaluator.evaluation.held.keys()
        evaluation = self._evaluator.evaluate(self._loop.clock.now(), self._ours, pool.vouched_count)
        for server in evaluation.held.keys() - before:
            seen_by = ", ".join(evaluation.held[server].by)
            log(f"{server} is held back: {seen_by} saw it leave", "hearsay.held")
        self._host.apply_member_reports(evaluation.held.keys(), evaluation.starts)
        if evaluation.reevaluate_at is not None:
            self._timer = self._loop.call_at(evaluation.reevaluate_at, self._schedule_evaluation)

    def _ours(self, server: str) -> bool:
        entry = self._host.pool.find(server)
        return entry is not None and entry.ours
