"""The calls that stand at one call server, and whether the server, or a connection to it, is still there.

A call server tells the end of a call by a release. One that has vanished tells nothing, and its connections
stay open: while calls stand, connections on which nothing comes are tested, and what a silent server or a
silent connection held is counted as over in time for its callers.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from reedmount import interface as i
from reedmount.core.liveness import CONNECTION_PROBE_TIMEOUT, DEAD_AFTER, Liveness
from reedmount.fronts.server_connection import Lane
from reedmount.net.loop import Loop

LOOK_EVERY = timedelta(milliseconds=250)
OWN_STALL = 3 * LOOK_EVERY  # between two looks: we stood still, so nothing can be said of others
RECONNECT_EVERY = timedelta(seconds=1)
IN_REPORTS = timedelta(seconds=2)  # a call that stands for so long is among the lines in use of any report
CONTRADICTED_FOR = timedelta(milliseconds=700)  # releases on their way may still explain a report

SILENT = "nothing was heard of its server"
LANE_SILENT = "its connection fell silent"
NOT_THERE = "its server has fewer lines in use than calls of ours"


@dataclass(slots=True)
class Standing:
    """One call that stands."""

    since: datetime
    lane: Lane | None  # on which it was answered, or another since that has ended
    over_at: datetime | None = None  # when it counts as over, since its connection fell silent


class Holder(Protocol):
    """The actor of the call server."""

    loop: Loop

    def open_lanes(self) -> Sequence[Lane]:
        """Its connections that are up."""

    def test(self, lane: Lane) -> None:
        """Send a test."""

    def give_up(self, lane: Lane) -> None:
        """Close a connection that is silent while others are not."""

    def reconnect(self) -> None:
        """Nothing is heard on any connection: have a new one."""

    def lose(self, calls: Iterable[tuple[str, Lane | None]], reason: str) -> None:
        """These calls count as over."""


class StandingCalls:
    """All calls that stand at one call server."""

    def __init__(self, holder: Holder) -> None:
        self._holder, self._clock = holder, holder.loop.clock
        self._calls: dict[str, Standing] = {}
        self.server = Liveness(self._clock.now())
        self._looking = False
        self._looked_at = self._reconnected_at = self._clock.now()
        self._broken_at: datetime | None = None  # when a connection ended last
        self._contradicted_at: datetime | None = None

    def __bool__(self) -> bool:
        """Whether there is any."""
        return bool(self._calls)

    def __contains__(self, name: str) -> bool:
        """Whether this one stands here."""
        return name in self._calls

    def __len__(self) -> int:
        """How many there are."""
        return len(self._calls)

    def add(self, name: str, lane: Lane) -> None:
        """A call stands."""
        self._calls[name] = Standing(self._clock.now(), lane)
        if not self._looking:
            self._looking, self._looked_at = True, self._clock.now()
            self._holder.loop.call_later(LOOK_EVERY, self._look)

    def pop(self, name: str) -> Lane | None:
        """A call is over; the connection it was answered on, where that is open."""
        standing = self._calls.pop(name, None)
        return standing.lane if standing is not None else None

    def on(self, lane: Lane) -> bool:
        """Whether calls were answered there that still stand."""
        return any(standing.lane is lane for standing in self._calls.values())

    def clear(self) -> None:
        """None stands any more."""
        self._calls.clear()

    def ended(self, lane: Lane) -> None:
        """A connection has ended: its calls stand on, as long as the server is heard on another one."""
        self._broken_at = self._clock.now()
        lanes = [other for other in self._holder.open_lanes() if other is not lane]
        heard = max(lanes, key=lambda other: other.liveness.last_received_at, default=None)
        for standing in self._calls.values():
            if standing.lane is lane:
                standing.lane = heard

    def opened(self, lane: Lane) -> None:
        """A connection is up: calls that have none hang on it."""
        for standing in self._calls.values():
            if standing.lane is None:
                standing.lane = lane

    def heard(self, lane: Lane) -> None:
        """Bytes have come."""
        now = self._clock.now()
        self.server.record_received(now)
        lane.liveness.record_received(now)

    def reported(self, report: i.LoadReport) -> None:
        """A server with fewer lines in use than calls of ours, once a connection broke, is a new process."""
        if report.lines is None or report.free_lines is None:
            return
        if report.lines - report.free_lines >= len(self._in_reports()):
            self._contradicted_at = None
        elif self._contradicted_at is None:
            self._contradicted_at = self._clock.now()

    def _in_reports(self) -> list[str]:
        """Calls from before a connection broke that any report has to show."""
        if self._broken_at is None:
            return []
        latest = min(self._broken_at, self._clock.now() - IN_REPORTS)
        return [name for name, standing in self._calls.items() if standing.since <= latest]

    def test_now(self) -> None:
        """Test the connections that are up, whatever was heard lately; with none it counts as unheard."""
        now = self._clock.now()
        self.server.record_probe(now)
        for lane in self._holder.open_lanes():
            self._send_test(now, lane)

    def doubt(self, lane: Lane) -> None:
        """Something that was due on a connection never came: if calls hang on it, test it now."""
        if lane.connection.connected and lane.liveness.first_probe_at is None and self.on(lane):
            self._send_test(self._clock.now(), lane)

    def _send_test(self, now: datetime, lane: Lane) -> None:
        lane.liveness.record_probe(now)
        self._holder.test(lane)

    def lose(self, reason: str) -> None:
        """All count as over."""
        self._lose(list(self._calls), reason)

    def _lose(self, names: Iterable[str], reason: str) -> None:
        lost = [(name, self.pop(name)) for name in names]
        if lost:
            self._holder.lose(lost, reason)

    # --- looking ---

    def _look(self) -> None:
        if not self._calls:
            self._looking = False
            return
        self._holder.loop.call_later(LOOK_EVERY, self._look)
        now = self._clock.now()
        stalled, self._looked_at = now - self._looked_at > OWN_STALL, now
        if not stalled:
            self._judge(now)
        if self._calls:
            self._test(now)

    def _judge(self, now: datetime) -> None:
        if self.server.is_dead(now):
            self.lose(SILENT)
            return
        calls = self._calls.items()
        over = [name for name, call in calls if call.over_at is not None and call.over_at <= now]
        self._lose(over, LANE_SILENT)
        if self._contradicted_at is not None and now - self._contradicted_at >= CONTRADICTED_FOR:
            self._contradicted_at = None
            self._lose(self._in_reports(), NOT_THERE)

    def _test(self, now: datetime) -> None:
        lanes = self._holder.open_lanes()
        used = {id(standing.lane) for standing in self._calls.values()}
        for lane in [lane for lane in lanes if id(lane) in used] or lanes:
            self._test_lane(now, lane)
        if not lanes:
            self.server.record_probe(now)  # by trying to connect
        if self.server.is_suspect(now) and now - self._reconnected_at >= RECONNECT_EVERY:
            self._reconnected_at = now
            self._holder.reconnect()

    def _test_lane(self, now: datetime, lane: Lane) -> None:
        asked_at = lane.liveness.first_probe_at
        if (
            asked_at is not None
            and lane.liveness.is_suspect(now, CONNECTION_PROBE_TIMEOUT)
            and self.server.last_received_at > asked_at
        ):
            for standing in self._calls.values():
                if standing.lane is lane and standing.over_at is None:
                    standing.over_at = lane.liveness.last_received_at + DEAD_AFTER
            self._holder.give_up(lane)
        elif lane.liveness.probe_due(now):
            self.server.record_probe(now)
            self._send_test(now, lane)
