"""The pool on the loop: words in, lapses in time, bands watched, news to the core in slices."""

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

BETWEEN_SLICES = timedelta(milliseconds=1)
PAGE = 100  # servers in one answer of the door
NOT_REACHED = frozenset((i.Outcome.UNREACHABLE, i.Outcome.TIMED_OUT, i.Outcome.RESET))


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """What the operator says of the pool, whatever its sources."""

    expiry_policy: ExpiryPolicy = ExpiryPolicy.DRAIN
    startup_window: timedelta = timedelta(seconds=10)
    forget_after: timedelta = timedelta(minutes=10)
    default_rank: tuple[int, int] = (0, 1)  # priority and weight of servers that no source ranks
    transport: str = "tcp"  # of servers of which no source says it
    bands: BandSettings = BandSettings()


class PoolHost:
    """The owner of the pool and its bands. Sources speak to it, in whatever order."""

    def __init__(self, loop: Loop, switch: Switch, settings: PoolSettings, sources: Sequence[str]) -> None:
        self.loop, self._switch, self.settings = loop, switch, settings
        now = loop.clock.now()
        self.pool = Pool(
            now, sources, settings.expiry_policy, settings.startup_window, settings.forget_after,
            settings.default_rank, settings.transport,
        )  # fmt: skip
        self.bands = Bands(settings.bands)
        self._version = 0
        self._urgent: deque[Iterator[Slice]] = deque()  # of which some servers may leave
        self._jobs: deque[Iterator[Slice]] = deque()
        self._working = False
        self._lapse: Timer | None = None
        self._look: Timer | None = None
        self._told: dict[str, bool] = {}  # servers that the core knows: whether it may send there
        self._changed: list[Callable[[Entry, bool], None]] = []
        switch.on_attempt = self._attempt

    def apply_settings(self, settings: PoolSettings) -> None:
        """Go by other settings from now on."""
        self.settings = settings
        self.pool.expiry_policy, self.pool.forget_after = settings.expiry_policy, settings.forget_after
        self.pool.default_rank, self.pool.transport = settings.default_rank, settings.transport
        self.bands.settings = settings.bands
        self._job(self.pool.lapse(self.loop.clock.now()))

    # --- from the sources ---

    @property
    def fallback_description(self) -> str:
        """What there is, for a line to the staff."""
        return f"{len(self.bands.members)} call servers"

    def full_update(
        self,
        source: str,
        claims: Sequence[Claim],
        part: str = "",
        fresh_for: timedelta | None = None,
        keep_for: timedelta | None = None,
    ) -> None:
        """A complete, good answer. It is taken in slices; the next one waits until it is."""
        COUNTERS.add(f"pool.heard.{source}")
        self._job(self.pool.full_update(self.loop.clock.now(), source, claims, part, fresh_for, keep_for))

    def partial_update(self, source: str, claims: Sequence[Claim]) -> None:
        """Word of single servers: it waits for nothing, as it may be of a drain."""
        COUNTERS.add(f"pool.heard.{source}")
        self._tell(self.pool.partial_update(self.loop.clock.now(), source, claims))
        self._watch_time()

    def source_failed(self, source: str, why: str, part: str = "") -> None:
        """No good answer: nothing changes."""
        COUNTERS.add(f"pool.failed.{source}")
        self.pool.source_failed(source, why, part)

    def drop(self, source: str, part: str = "") -> None:
        """The operator has taken it away."""
        if part in self.pool.sources[source].parts:
            self._tell(self.pool.drop_part(self.loop.clock.now(), source, part))

    def first_choice(self, number: str) -> int | None:
        """The server of first choice for a number called."""
        return self.bands.first_choice(number)

    # --- other members ---

    def on_change(self, hear: Callable[[Entry, bool], None]) -> None:
        """Have somebody hear of each server whose state is another, and whether it is removed."""
        self._changed.append(hear)

    def apply_member_reports(self, held: Set[str], starts: Mapping[str, datetime]) -> None:
        """What other members saw, as far as it counts: whom to hold back, who is cold; each as a whole."""
        self._tell(self.pool.apply_member_reports(self.loop.clock.now(), held, starts))

    # --- for the door ---

    def view(self, after: int = 0) -> dict[str, object]:
        """A page of the pool: for each server what each source says, how old that is, what decided."""
        now = self.loop.clock.now()
        entries = list(self.pool.entries.values())
        page = [self._seen(now, entry) for entry in entries[after : after + PAGE]]
        rest = len(entries) - after - len(page)
        return {
            "servers": page,
            "count": len(entries),
            "open_bands": self.bands.open,
            "sources": {name: self._parts(now, name) for name in self.pool.sources},
            **({"next": after + len(page)} if rest > 0 else {}),
        }

    def _seen(self, now: datetime, entry: Entry) -> dict[str, object]:
        words: dict[str, dict[str, object]] = {}
        for name, source in self.pool.sources.items():
            word = source.word(now, entry.endpoint)
            if word is not ClaimState.UNNAMED:
                said = source.sayings[entry.endpoint].values()
                age = min(now - saying.said_at for saying in said)
                names = sorted({saying.claim.name for saying in said})
                words[name] = {"says": word.value, "age_s": _seconds(age), "name": names[0]}
        standby = entry.serves and not self.bands.is_open(entry.server)
        return {
            "server": entry.server,
            "state": "standby" if standby else "serving" if entry.serves else "leaving",
            "rule": entry.rule.name.lower(),
            "why": entry.rule.value,
            "decided_by": [name for name, said in words.items() if said["says"] in DECIDES[entry.rule]],
            "since_s": _seconds(now - entry.since),
            "priority": entry.priority,
            "weight": entry.weight,
            "transport": entry.transport,
            "started_s": None if entry.started is None else _seconds(now - entry.started),
            "sources": words,
        }

    def _parts(self, now: datetime, name: str) -> list[dict[str, object]]:
        return [
            {
                "part": part_name,
                "worth": part.age(now).value,
                "heard_s": None if part.heard_at is None else _seconds(now - part.heard_at),
                "failures": part.failures,
                "failure": part.failure,
            }
            for part_name, part in self.pool.sources[name].parts.items()
        ]

    # --- slices ---

    def _job(self, job: Iterator[Slice]) -> None:
        """Begin a long word at once: whom it says to leave waits behind nobody's news."""
        self._urgent.append(job)
        self._step(self._urgent)
        if not self._working and (self._urgent or self._jobs):
            self._working = True
            self.loop.call_later(BETWEEN_SLICES, self._work)

    def _work(self) -> None:
        """One slice; the next one in a later turn, so that calls are not kept waiting."""
        self._step(self._urgent or self._jobs)
        self._working = bool(self._urgent or self._jobs)
        if self._working:
            self.loop.call_later(BETWEEN_SLICES, self._work)

    def _step(self, jobs: deque[Iterator[Slice]]) -> None:
        """The next slice of the first of these; once it has only servers that stay, it waits its turn."""
        found = next(jobs[0], None)
        if found is None:
            jobs.popleft()
            self._watch_time()
            return
        if jobs is self._urgent and not found.urgent:
            self._jobs.append(jobs.popleft())
        self._tell(found.changes)

    def _tell(self, changes: Sequence[Change]) -> None:
        """Bands first, then the core; where that opens or closes a band, its other members as well."""
        if not changes and self._version:
            return
        before = self.bands.open
        for change in changes:
            entry = change.entry
            if entry.serves and not change.removed:
                self.bands.put(entry.server, entry.number, entry.priority, entry.weight)
            else:
                self.bands.take(entry.server)
        entries = [change.entry for change in changes]
        removed = {change.entry.server for change in changes if change.removed}
        if self.bands.open != before:
            touched = {entry.server for entry in entries}
            entries += [entry for entry in self._moved() if entry.server not in touched]
        self._to_core(entries, removed)
        self._watch_bands()
        for change in changes:
            for hear in self._changed:
                hear(change.entry, change.removed)

    def _moved(self) -> list[Entry]:
        """Servers of which the core has heard something else than whether their band is open now."""
        return [
            entry
            for entry in self.pool.entries.values()
            if entry.serves and bool(self._told.get(entry.server)) != self.bands.is_open(entry.server)
        ]

    def _to_core(self, entries: Iterable[Entry], removed: Iterable[str] = ()) -> None:
        gone, told = set(removed), []
        for entry in entries:
            opened = entry.serves and self.bands.is_open(entry.server)
            serving = opened and entry.server not in gone
            if not serving and entry.server not in self._told:
                continue  # the core has never heard of it, and nothing went there
            if entry.server in gone:
                del self._told[entry.server]
                log(f"{entry.server} ({entry.name}) is removed", "pool.removed")
            else:
                if self._told.get(entry.server) and not entry.serves:
                    log(f"{entry.server} ({entry.name}) leaves: {entry.rule.value}", "pool.leaves")
                self._told[entry.server] = serving
            told.append(
                ListedServer(
                    server=entry.server,
                    address=entry.endpoint,
                    number=entry.number,
                    serving=serving,
                    removed=entry.server in gone,
                    started=entry.started,
                    transport=entry.transport,
                    band=entry.priority,
                    standby=entry.serves and not opened,
                )
            )
        self._version += 1
        COUNTERS.add("pool.changes", len(told))
        self._switch.pool_changed(self._version, i.ListKind.CHANGES, told)

    # --- time ---

    def _watch_time(self) -> None:
        if self._lapse is not None:
            self._lapse.cancel()
        due = self.pool.lapses_after(self.loop.clock.now())
        self._lapse = None if due is None else self.loop.call_at(due, self._lapsed)

    def _lapsed(self) -> None:
        self._job(self.pool.lapse(self.loop.clock.now()))
        self._watch_time()

    def _attempt(self, server: str, outcome: i.Outcome | None) -> None:
        if outcome is None:
            self.bands.sent(self.loop.clock.now(), server)
        elif outcome is i.Outcome.COMPLETED:
            self.bands.stood(server)
        elif outcome in NOT_REACHED:
            self.bands.failed(self.loop.clock.now(), server)

    def _watch_bands(self) -> None:
        """Look now and then, as long as there is more than one band."""
        if self._look is None and self.bands.several:
            self._look = self.loop.call_later(self.settings.bands.pressure_time / 2, self._look_at_bands)

    def _look_at_bands(self) -> None:
        self._look = None
        if self.bands.look(self.loop.clock.now(), self._switch.oldest_wait):
            log(f"bands open now: {self.bands.open}", "bands")
            moved = self._moved()
            changes = [Change(entry) for entry in moved]
            self._job(Slice(changes[at : at + SLICE], False) for at in range(0, len(changes), SLICE))
        self._watch_bands()


DECIDES = {
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
