"""Runs the pool on the event loop: updates, expiry, priority bands, changes to the core in slices."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence, Set
from dataclasses import dataclass
from datetime import datetime, timedelta

from reedmount import interface as i
from reedmount.core.actors import Timer
from reedmount.core.checks import COUNTERS, log
from reedmount.core.clock import ZERO
from reedmount.core.ports import ListedServer
from reedmount.core.switch import Switch
from reedmount.net.loop import Loop
from reedmount.pool.bands import Bands, BandSettings
from reedmount.pool.claims import Claim, ClaimState
from reedmount.pool.pool import SLICE, Change, Entry, ExpiryPolicy, Pool, Slice
from reedmount.pool.rule import Rule

SLICE_INTERVAL = timedelta(milliseconds=1)
PAGE_SIZE = 100  # servers in one answer of the admin interface
NOT_REACHED = frozenset((i.Outcome.UNREACHABLE, i.Outcome.TIMED_OUT, i.Outcome.RESET))


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """The operator's settings of the pool, independent of its sources."""

    expiry_policy: ExpiryPolicy = ExpiryPolicy.DRAIN
    startup_window: timedelta = timedelta(seconds=10)
    forget_after: timedelta = timedelta(minutes=10)
    default_rank: tuple[int, int] = (0, 1)  # priority and weight of servers for which no source gives them
    transport: str = "tcp"  # of servers for which no source gives it
    bands: BandSettings = BandSettings()


class PoolHost:
    """Owns the pool and its bands, and takes the updates of all sources."""

    def __init__(self, loop: Loop, switch: Switch, settings: PoolSettings, sources: Sequence[str]) -> None:
        self.loop, self._switch, self.settings = loop, switch, settings
        now = loop.clock.now()
        self.pool = Pool(
            now, sources, settings.expiry_policy, settings.startup_window, settings.forget_after,
            settings.default_rank, settings.transport,
        )  # fmt: skip
        self.bands = Bands(settings.bands)
        self._version = 0
        self._urgent: deque[Iterator[Slice]] = deque()  # updates with leaving servers still to process
        self._background: deque[Iterator[Slice]] = deque()
        self._slice_scheduled = False
        self._expiry_timer: Timer | None = None
        self._band_timer: Timer | None = None
        self._core_state: dict[str, bool] = {}  # servers known to the core: whether it may send calls to them
        self._change_listeners: list[Callable[[Entry, bool], None]] = []
        switch.on_attempt = self._record_attempt

    def apply_settings(self, settings: PoolSettings) -> None:
        """Apply changed settings."""
        self.settings = settings
        self.pool.expiry_policy, self.pool.forget_after = settings.expiry_policy, settings.forget_after
        self.pool.default_rank, self.pool.transport = settings.default_rank, settings.transport
        self.bands.settings = settings.bands
        self._add_job(self.pool.apply_expiry(self.loop.clock.now()))

    # --- from the sources ---

    @property
    def fallback_description(self) -> str:
        """The number of usable call servers, for the operator's log."""
        return f"{len(self.bands.members)} call servers"

    def full_update(
        self,
        source: str,
        claims: Sequence[Claim],
        part: str = "",
        fresh_for: timedelta | None = None,
        keep_for: timedelta | None = None,
    ) -> None:
        """Take a complete, valid answer. It is processed in slices."""
        COUNTERS.add(f"pool.heard.{source}")
        self._add_job(self.pool.full_update(self.loop.clock.now(), source, claims, part, fresh_for, keep_for))

    def partial_update(self, source: str, claims: Sequence[Claim]) -> None:
        """Take an update about single servers, at once, as it may announce a drain."""
        COUNTERS.add(f"pool.heard.{source}")
        self._publish(self.pool.partial_update(self.loop.clock.now(), source, claims))
        self._schedule_expiry()

    def source_failed(self, source: str, reason: str, part: str = "") -> None:
        """Record that a source gave no valid answer: no server changes."""
        COUNTERS.add(f"pool.failed.{source}")
        self.pool.source_failed(source, reason, part)

    def drop(self, source: str, part: str = "") -> None:
        """Drop a part of a source that the operator has removed."""
        if part in self.pool.sources[source].parts:
            self._publish(self.pool.drop_part(self.loop.clock.now(), source, part))

    def first_choice(self, number: str) -> int | None:
        """Return the number of the first-choice server for a called number."""
        return self.bands.first_choice(number)

    # --- other members ---

    def on_change(self, listener: Callable[[Entry, bool], None]) -> None:
        """Add a listener that gets each server whose state has changed, and whether it is removed."""
        self._change_listeners.append(listener)

    def apply_member_reports(self, held: Set[str], starts: Mapping[str, datetime]) -> None:
        """Apply accepted reports of other members: the servers held back and the cold ones, both complete."""
        self._publish(self.pool.apply_member_reports(self.loop.clock.now(), held, starts))

    # --- admin interface ---

    def view(self, after: int = 0) -> dict[str, object]:
        """Return a page of the pool: for each server the sources' claims, their age, the deciding rule."""
        now = self.loop.clock.now()
        entries = list(self.pool.entries.values())
        page = [self._server_view(now, entry) for entry in entries[after : after + PAGE_SIZE]]
        remaining = len(entries) - after - len(page)
        return {
            "servers": page,
            "count": len(entries),
            "open_bands": self.bands.open,
            "sources": {name: self._parts_view(now, name) for name in self.pool.sources},
            **({"next": after + len(page)} if remaining > 0 else {}),
        }

    def _server_view(self, now: datetime, entry: Entry) -> dict[str, object]:
        reports: dict[str, dict[str, object]] = {}
        for name, source in self.pool.sources.items():
            state = source.state_of(now, entry.endpoint)
            if state is not ClaimState.UNNAMED:
                reported = source.statements[entry.endpoint].values()
                age = min(now - statement.received_at for statement in reported)
                names = sorted({statement.claim.name for statement in reported})
                reports[name] = {"says": state.value, "age_s": _seconds(age), "name": names[0]}
        standby = entry.serves and not self.bands.is_open(entry.server)
        return {
            "server": entry.server,
            "state": "standby" if standby else "serving" if entry.serves else "leaving",
            "rule": entry.rule.name.lower(),
            "why": entry.rule.value,
            "decided_by": [
                name for name, reported in reports.items() if reported["says"] in DECIDING_STATES[entry.rule]
            ],
            "since_s": _seconds(now - entry.since),
            "priority": entry.priority,
            "weight": entry.weight,
            "transport": entry.transport,
            "started_s": None if entry.started is None else _seconds(now - entry.started),
            "sources": reports,
        }

    def _parts_view(self, now: datetime, name: str) -> list[dict[str, object]]:
        return [
            {
                "part": part_name,
                "worth": part.state_at(now).value,
                "heard_s": None if part.last_answer_at is None else _seconds(now - part.last_answer_at),
                "failures": part.failures,
                "failure": part.failure,
            }
            for part_name, part in self.pool.sources[name].parts.items()
        ]

    # --- slices ---

    def _add_job(self, job: Iterator[Slice]) -> None:
        """Start processing an update at once: its leaving servers must not wait behind other updates."""
        self._urgent.append(job)
        self._run_slice(self._urgent)
        if not self._slice_scheduled and (self._urgent or self._background):
            self._slice_scheduled = True
            self.loop.call_later(SLICE_INTERVAL, self._run_next_slice)

    def _run_next_slice(self) -> None:
        """Process one slice; the next one runs in a later turn, so that calls are not delayed."""
        self._run_slice(self._urgent or self._background)
        self._slice_scheduled = bool(self._urgent or self._background)
        if self._slice_scheduled:
            self.loop.call_later(SLICE_INTERVAL, self._run_next_slice)

    def _run_slice(self, jobs: deque[Iterator[Slice]]) -> None:
        """Process a slice of the first job; without leaving servers left, it becomes a background job."""
        result = next(jobs[0], None)
        if result is None:
            jobs.popleft()
            self._schedule_expiry()
            return
        if jobs is self._urgent and not result.urgent:
            self._background.append(jobs.popleft())
        self._publish(result.changes)

    def _publish(self, changes: Sequence[Change]) -> None:
        """Update the bands, then the core; when a band opens or closes, also its other members."""
        if not changes and self._version:
            return
        before = self.bands.open
        for change in changes:
            entry = change.entry
            if entry.serves and not change.removed:
                self.bands.put(entry.server, entry.number, entry.priority, entry.weight)
            else:
                self.bands.remove(entry.server)
        entries = [change.entry for change in changes]
        removed = {change.entry.server for change in changes if change.removed}
        if self.bands.open != before:
            affected = {entry.server for entry in entries}
            entries += [entry for entry in self._band_changes() if entry.server not in affected]
        self._notify_core(entries, removed)
        self._schedule_band_check()
        for change in changes:
            for listener in self._change_listeners:
                listener(change.entry, change.removed)

    def _band_changes(self) -> list[Entry]:
        """Return the serving entries whose state in the core differs from whether their band is open."""
        return [
            entry
            for entry in self.pool.entries.values()
            if entry.serves and bool(self._core_state.get(entry.server)) != self.bands.is_open(entry.server)
        ]

    def _notify_core(self, entries: Iterable[Entry], removed: Iterable[str] = ()) -> None:
        removed_servers, listed = set(removed), []
        for entry in entries:
            band_open = entry.serves and self.bands.is_open(entry.server)
            serving = band_open and entry.server not in removed_servers
            if not serving and entry.server not in self._core_state:
                continue  # unknown to the core, so no call was sent to it
            if entry.server in removed_servers:
                del self._core_state[entry.server]
                log(f"{entry.server} ({entry.name}) is removed", "pool.removed")
            else:
                if self._core_state.get(entry.server) and not entry.serves:
                    log(f"{entry.server} ({entry.name}) leaves: {entry.rule.value}", "pool.leaves")
                self._core_state[entry.server] = serving
            listed.append(
                ListedServer(
                    server=entry.server,
                    address=entry.endpoint,
                    number=entry.number,
                    serving=serving,
                    removed=entry.server in removed_servers,
                    started=entry.started,
                    transport=entry.transport,
                    band=entry.priority,
                    standby=entry.serves and not band_open,
                    ended_before=entry.ended_before,
                )
            )
        self._version += 1
        COUNTERS.add("pool.changes", len(listed))
        self._switch.pool_changed(self._version, i.ListKind.CHANGES, listed)

    # --- time ---

    def _schedule_expiry(self) -> None:
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        due = self.pool.next_expiry(self.loop.clock.now())
        self._expiry_timer = None if due is None else self.loop.call_at(due, self._apply_expiry)

    def _apply_expiry(self) -> None:
        self._add_job(self.pool.apply_expiry(self.loop.clock.now()))
        self._schedule_expiry()

    def _record_attempt(self, server: str, outcome: i.Outcome | None) -> None:
        if outcome is None:
            self.bands.record_sent(self.loop.clock.now(), server)
        elif outcome is i.Outcome.COMPLETED:
            self.bands.record_established(server)
        elif outcome in NOT_REACHED:
            self.bands.record_failure(self.loop.clock.now(), server)

    def _schedule_band_check(self) -> None:
        """Check the bands periodically while there is more than one."""
        if self._band_timer is None and self.bands.has_multiple:
            self._band_timer = self.loop.call_later(self.settings.bands.pressure_time / 2, self._check_bands)

    def _check_bands(self) -> None:
        self._band_timer = None
        if self.bands.update(self.loop.clock.now(), self._switch.oldest_wait):
            log(f"bands open now: {self.bands.open}", "bands")
            changed_entries = self._band_changes()
            changes = [Change(entry) for entry in changed_entries]
            self._add_job(Slice(changes[at : at + SLICE], False) for at in range(0, len(changes), SLICE))
        self._schedule_band_check()


DECIDING_STATES = {
    Rule.GONE: ("gone",),
    Rule.DRAINING: ("draining",),
    Rule.HEARSAY: (),
    Rule.SERVING: ("serving",),
    Rule.KEPT: ("stale",),
    Rule.EXPIRED: ("expired",),
    Rule.LAST_RESORT: ("expired",),
    Rule.UNNAMED: (),
}


def _seconds(span: timedelta) -> float:
    return round(max(span, ZERO).total_seconds(), 3)
