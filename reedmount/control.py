"""Every decision of a reedmount edge proxy. Its types, events and actions: reedmount/interface.py.

Read it top to bottom: tuned values, what is remembered of a server and of a call, then the controller.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from reedmount import interface as i

# Tuned values. Times derive from the site's resend gap wherever it has one.
HIGH_MARK = 0.8  # of the resend gap: a wait above it raises the flag before most repeats are sent
LOW_MARK = 0.5  # of the high mark: a fresh reading above it keeps the flag up
GAP_WITHOUT_RESENDS_US = 500_000  # stands in for the resend gap where set-ups are never repeated
SMOOTHING = 0.5  # weight of the newest reading: a proxy sees few a second, so old ones soon mislead
HOLD_OFF = 0.5  # of the resend gap, drawn between this and twice it: proxies must not return as a herd
SHORTEST_HOLD_OFF_US = 200_000  # the design's floor
NUMBER_BAR = 2.0  # of the hold-off: how long calls to a number found busy wait
FAILING_GROWTH = 2.0  # each failure in a row lengthens the hold-off by this factor
LOGGED_FAILURES = 4  # failures in a row that staff are told of, once
LONGEST_HOLD_OFF = 4.0  # of the plain hold-off
WRONG_WEIGHT = 0.25  # of the newest answer in the share of wrong ones
WRONG_MARK = 0.65  # of answers wrong raises the flag, as four in a row do: half a server is worth having
FAULTS_AT_TWO, MAX_FAULTS = 2, 3  # servers, or tries, with a fault each: it is the call that is at fault
RESETS_IN_A_ROW = 3  # with nothing that stood between them, raise the flag: one connection may break anywhere
MAX_PLACES = 64  # whose throughput is remembered
WRONG_FORGIVEN = 0.5  # of that share is left when the flag drops, so that the server is tried again
WINDOW_START = 2.0  # set-ups unanswered at one server before its delay is known
MIN_WINDOW = 1.0
IDLE_LINE = 0.5  # of the low mark: an answer that waited less than this has met no line to speak of
WINDOW_CUT = 0.5  # on a raised flag
TICK_SHARE = 0.1  # of the high mark: how often held and unanswered calls are looked at
COLD_FLOW = 7 / 16  # of what tips a cold server: what we send it, over time
COLD_PROVEN = 1.5  # of the calls that stood there within the span, but one: what it has done it can do
COLD_IDLE = 1 / 8  # of what tips it within the span: the most that a proxy saves up while no call wants it
MEAN_S = 60.0  # over which a server's throughput is averaged: a lull or a jam weighs little
PRIOR_S = 1.0  # for so long the guess counts against what stood
DELAY_WEIGHT = 0.1  # of the newest answer in the mean delay
RATE_SPAN_S = 10.0  # over which rates are counted: shorter is noise at a few calls a second
HUNG_WORK = 3.0  # resend gaps for which a hanging set-up still counts as work in the line of its server
HUNG_DELAYS = 2.0  # of the last delay seen, where that is longer
IDLE_SPACING = 4.0  # of the work of one set-up from each proxy: enough where calls are few
DRAIN_SHARE = 0.5  # of the last delay seen: the least hold-off, drawn between this and twice it
MAX_HELD = 100  # held calls: more would only time out
SHED_AT_ONCE = 8  # of them, the least valuable: to look for one at each call took a third of a busy core
ANSWER_MARGIN = 2.0  # ticks: no call is held nearer to the end of the caller's time than this
HOLD = 1.0  # of the resend gap: so long a call waits at least, also one past its aim, before it is refused
PAUSE = 2.0  # of the resend gap, drawn between this and twice it: when a refused caller may come back

Key = tuple[str, str | None, str | None]  # class, tenant and number called: what a redial keeps


@dataclass(slots=True)
class Rate:
    """Events a second, the older ones fading; a rate that has only begun is not taken for a low one."""

    span_s: float = RATE_SPAN_S
    count: float = 0.0
    since_us: int = -1  # the first event
    at_us: int = 0

    def add(self, now: int) -> None:
        """Count one event."""
        if self.since_us < 0:
            self.since_us = now
        self.count = self.faded(now) + 1
        self.at_us = now

    def per_s(self, now: int) -> float:
        """The rate as it stands; a short history counts a second longer, lest one event make a high rate."""
        age_s = (now - self.since_us) / 1e6 + 1
        return self.faded(now) / (self.span_s * (1 - math.exp(-age_s / self.span_s)))

    def faded(self, now: int) -> float:
        """How many of late, each the less the longer ago."""
        return self.count * math.exp((self.at_us - now) / 1e6 / self.span_s)


@dataclass(slots=True)
class Throughput:
    """Set-ups that stood through us at one place of the pool, and for how long it served there warm.

    A mean, never a best: the means of all proxies add up to what the server did, which is never above what
    it can do, whatever came in bursts and whichever others were gone. Maxima of noisy rates add up to more.
    """

    stood: float = 0.0
    span_s: float = 0.0

    def watch(self, span_s: float) -> None:
        """Let a time in which it served pass."""
        keep = math.exp(-span_s / MEAN_S)
        self.stood *= keep
        self.span_s = self.span_s * keep + span_s

    def per_s(self, guess: float) -> float:
        """The mean; with a short history it lies near the guess."""
        return (self.stood + PRIOR_S * guess) / (self.span_s + PRIOR_S)


@dataclass(slots=True, eq=False)
class Call:
    """A call that this proxy still owes a final answer."""

    id: int
    kind: i.CallClass
    tenant: str | None
    number: str | None
    first_choice: int | None
    aim_at_us: int
    answer_by_us: int
    worth: float  # in time, by its tenant's rate when it came
    late_worth: float
    rules: i.Settings  # those it came in under
    attempts: int = 0
    held_us: int = 0  # since when it waits
    server: Server | None = None  # where an attempt is out
    sent_us: int = 0
    not_before_us: int = 0
    may_have_run: bool = False
    faults: list[str] = field(default_factory=list)  # the servers that answered it with a fault

    @property
    def unsafe(self) -> bool:
        """Whether sending it again might do its work twice."""
        return self.may_have_run and self.kind.effect is not i.Effect.REPEATABLE


@dataclass(slots=True, eq=False)
class Server:
    """What this proxy believes of one server."""

    id: str
    number: int
    started_us: int
    serving: bool = True
    band: int = 0  # calls go to the lowest that has room
    lines: float = 0.0  # as told; 0 before that
    told_empty: bool = False
    grant: float = math.inf  # set-ups of second choice until its next report of free lines
    empty_until_us: int = 0
    flagged: bool = False
    hold_off_until_us: int = 0
    failures: int = 0
    wrong: float = 0.0  # share of the latest answers that were faults of its own
    resets: int = 0  # since the last call that stood
    gauge_us: float = 0.0
    reading_us: int = 0  # the newest reading
    reading_at_us: int = -1
    quickest_us: int | None = None  # the quickest answer: never quicker than the work of a set-up
    window: float = WINDOW_START
    unanswered: dict[tuple[int, int], int] = field(default_factory=dict)  # attempt: when sent
    throughput: Throughput = field(default_factory=Throughput)  # of its place, before a restart as well
    cold_credit: float = 0.0  # below one: the part of the next set-up that is earned
    cold_at_us: int = 0  # when a call last wanted it while cold
    proven: Rate = field(default_factory=Rate)  # of calls that stood there while cold
    hung: dict[tuple[int, int], int] = field(default_factory=dict)  # unanswered past the high mark
    stood: Rate = field(default_factory=Rate)
    answered_sent_us: int = -1  # when the latest set-up that was answered had been sent


class Controller:
    """The decisions of one proxy. It knows its settings and its own events, and nothing else."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.apply_settings(settings)
        self._random = random.Random(seed)
        self._servers: dict[str, Server] = {}
        self._calls: dict[int, Call] = {}
        self._held: dict[int, Call] = {}
        self._last_took: Server | None = None
        self._numbers: set[int] = set()  # of the servers in service
        self._version = -1
        self._subscribed = False
        self._ticking = False
        self._quickest_us = self._high_us
        self._tenant_rate: dict[str, Rate] = {}
        self._offered = Rate()  # first tries
        self._throughput: dict[int, Throughput] = {}  # by number: a replacement takes the old one's place
        self._watched_us = -1
        self._delay_us: float = self._gap_us  # the mean delay of answers, long before any is known
        self._busy_until: dict[str, int] = {}
        self._expected_us = self._high_us
        self._seen: dict[Key, int] = {}
        self._actions: list[i.Action] = []

    def apply_settings(self, settings: i.Settings) -> None:
        """Go by these settings from now on; a call keeps what held when it came."""
        self._settings = settings
        self._classes = {kind.name: kind for kind in settings.classes}
        self._quotas = {tenant.name: tenant.quota_per_s for tenant in settings.tenants}
        self._gap_us = settings.resend_gap_us or GAP_WITHOUT_RESENDS_US
        self._high_us = HIGH_MARK * self._gap_us
        self._low_us = LOW_MARK * self._high_us
        self._tick_us = max(1, round(TICK_SHARE * self._high_us))

    def handle(self, now: int, event: i.Event) -> list[i.Action]:
        """Take one event at clock time ``now`` and return what to do, in order."""
        self._actions = []
        match event:
            case i.ServerList():
                self._on_list(now, event)
            case i.NewCall():
                self._on_call(now, event)
            case i.CallEstablished():
                self._on_stands(now, event)
            case i.AttemptEnded():
                self._on_ended(now, event)
            case i.CallerAbandoned():
                self._forget(event.call)
            case i.TimerFired():
                self._ticking = False
                for call in list(self._held.values()):
                    self._end_if_hopeless(now, call)
            case i.LoadReports():
                for server, report in event.reports:
                    self._on_report(now, self._servers.get(server), report)
        self._watch_unanswered(now)
        self._serve_held(now)
        self._keep_ticking()
        return self._actions

    # --- the pool list ---

    def _on_list(self, now: int, news: i.ServerList) -> None:
        """Follow the list; an older one never undoes a drain that was told."""
        if self._settings.subscribe and not self._subscribed or news.kind is i.ListKind.FAILED:
            self._subscribed = True
            if self._settings.subscribe:
                self._actions.append(i.Subscribe())
        if news.kind is i.ListKind.FAILED or news.version < self._version:
            return
        self._version = news.version
        self._watch_throughput(now)
        for entry in news.entries:
            self._on_entry(now, entry)
        gone = {entry.server for entry in news.entries if entry.state is i.ServerState.REMOVED}
        if news.kind is not i.ListKind.CHANGES:
            gone |= self._servers.keys() - {entry.server for entry in news.entries}
        for server_id in gone & self._servers.keys():
            # Replacements come under new ids all day long: what is gone is not looked at for ever.
            del self._servers[server_id]
        if self._last_took is not None and self._last_took.id in gone:
            self._last_took = None
        places = {server.number for server in self._servers.values()}
        self._numbers = {server.number for server in self._servers.values() if server.serving}
        for number in [number for number in self._throughput if number not in places][:-MAX_PLACES]:
            del self._throughput[number]

    def _on_entry(self, now: int, entry: i.ServerEntry) -> None:
        server = known = self._servers.get(entry.server)
        if server is None:
            server = self._servers[entry.server] = Server(entry.server, entry.number, entry.started_us)
        elif entry.started_us > server.started_us:
            # A restart behind the same id: what was known of the old process no longer holds.
            fresh = Server(entry.server, entry.number, entry.started_us, lines=server.lines)
            fresh.unanswered, fresh.hung = server.unanswered, server.hung
            self._servers[entry.server] = fresh
            if self._last_took is server:
                self._last_took = None
            for call in self._calls.values():
                if call.server is server:
                    call.server = fresh
            server = fresh
        if server is not known:
            server.throughput = self._throughput.setdefault(entry.number, Throughput())
        if server is not known and server.started_us > 0:
            server.cold_credit, server.cold_at_us = self._random.random(), now
            server.proven = Rate(self._settings.fall_span_us / 1e6)
            self._actions.append(i.Log(f"{server.id} started: paced while cold"))
        if server.serving != (entry.state is i.ServerState.SERVING):
            self._actions.append(i.Log(f"{server.id} is {entry.state.value}"))
        server.serving, server.band = entry.state is i.ServerState.SERVING, entry.band

    # --- calls ---

    def _on_call(self, now: int, event: i.NewCall) -> None:
        kind = self._classes[event.call_class]
        first_try = self._first_try(now, event, kind)
        if first_try == now:
            self._offered.add(now)
            if event.tenant is not None:
                self._tenant_rate.setdefault(event.tenant, Rate()).add(now)
        worth = kind.worth * self._quota_share(now, event.tenant)
        call = self._calls[event.call] = self._held[event.call] = Call(
            id=event.call,
            kind=kind,
            tenant=event.tenant,
            number=event.number,
            first_choice=event.first_choice,
            aim_at_us=first_try + kind.target_us,
            answer_by_us=event.answer_by_us,
            worth=worth,
            late_worth=worth * kind.late_share,
            rules=self._settings,
            held_us=now,
        )
        # A redial may come with less time left than a tick: it would be past its time before we look again.
        if not self._end_if_hopeless(now, call) and len(self._held) > MAX_HELD:
            for shed in sorted(self._held.values(), key=self._order(now))[-SHED_AT_ONCE:]:
                self._refuse(shed, i.Reason.SHED)

    def _forget(self, call: int) -> None:
        self._calls.pop(call, None)
        self._held.pop(call, None)

    def _quota_share(self, now: int, tenant: str | None) -> float:
        """What a call of this tenant counts, if the other proxies see as much of the tenant as this one."""
        quota = self._quotas.get(tenant or "")
        rate = self._tenant_rate.get(tenant or "")
        if quota is None or rate is None:
            return 1.0
        fleet = rate.per_s(now) * self._settings.instances
        if fleet <= quota:
            return 1.0
        inside = quota / fleet
        return inside + (1 - inside) * self._settings.over_quota_share

    def _first_try(self, now: int, event: i.NewCall, kind: i.CallClass) -> int:
        """A redial's aim runs from its first try, also where callers mark no redials.

        There it is a call of the same class and tenant to the same number, tried lately and not set up.
        """
        key = (event.call_class, event.tenant, event.number)
        first = self._seen.pop(key, now)
        may_be_redial = event.redialled or not self._settings.redials_marked
        if not may_be_redial or event.number is None or now - first > kind.give_up_us:
            first = now
        self._seen[key] = first
        oldest = next(iter(self._seen))
        if self._seen[oldest] < now - 2 * kind.give_up_us:
            del self._seen[oldest]
        return first

    def _on_stands(self, now: int, event: i.CallEstablished) -> None:
        call = self._calls.get(event.call)
        self._forget(event.call)
        server = self._servers.get(event.server)
        if server is None:
            return
        if call is not None:
            self._seen.pop((call.kind.name, call.tenant, call.number), None)
            server.answered_sent_us = max(server.answered_sent_us, call.sent_us)
            for faulty in call.faults:
                self._blame(now, self._servers.get(faulty))
        server.resets = 0
        server.stood.add(now)
        filled = len(server.unanswered) >= int(server.window)
        server.unanswered.pop((event.call, event.attempt), None)
        server.hung.pop((event.call, event.attempt), None)
        if event.delay_us < self._high_us:
            server.failures = 0
        server.wrong *= 1 - WRONG_WEIGHT
        self._quickest_us = min(self._quickest_us, event.delay_us)
        server.quickest_us = min(event.delay_us, server.quickest_us or event.delay_us)
        self._last_took = server
        self._delay_us += DELAY_WEIGHT * (event.delay_us - self._delay_us)
        if self._is_cold(now, server):
            server.proven.add(now)
        else:
            self._watch_throughput(now)
            server.throughput.stood += 1
        self._size_window(now, server, event.delay_us, filled)
        self._on_reading(now, server, event.delay_us)

    def _size_window(self, now: int, server: Server, delay_us: int, filled: bool) -> None:
        """Widen it where it was full and the answer quick; without any line, by all our calls on the way.

        What stood within the way there and back is no more than the window let through, so that alone would
        keep a narrow one narrow while the processors idle. A line takes back what was given beyond it.
        """
        most, wait_us = self._window_most(now, server), delay_us - (server.quickest_us or 0)
        if wait_us < IDLE_LINE * self._low_us:
            most = max(most, WINDOW_START + self._offered.per_s(now) * (server.quickest_us or 0) / 1e6)
        elif wait_us > self._low_us:
            server.window = max(min(most, server.window), server.window - 1)
        if filled and (delay_us < self._low_us or wait_us < IDLE_LINE * self._low_us):
            server.window = max(server.window, min(most, server.window + 1 / server.window))

    def _window_most(self, now: int, server: Server) -> float:
        """Our share of a line that is as long as the low mark, where every proxy fills its own.

        The quickest answer seen stands for the work of one set-up. Most of it may be the way, though: what
        stands here in that time and the low mark together is no longer a line either.
        """
        share = self._low_us / max(1, self._quickest_us * self._settings.instances)
        span_us = self._low_us + (server.quickest_us or self._quickest_us)
        return max(WINDOW_START, share, server.stood.per_s(now) * span_us / 1e6)

    def _on_ended(self, now: int, event: i.AttemptEnded) -> None:
        server = self._servers.get(event.server)
        if server is not None:
            self._learn_from_end(now, server, event)
        call = self._calls.get(event.call)
        if call is None:
            return
        if event.closed:
            self._forget(event.call)
            return
        call.server = None
        self._held[call.id] = call
        call.held_us = now
        if event.outcome in (i.Outcome.TIMED_OUT, i.Outcome.RESET, i.Outcome.CANCELLED):
            # The release rule: what the attempt held may stay taken for a while.
            call.not_before_us = now + call.rules.release_wait_us
        if event.outcome not in (i.Outcome.FULL, i.Outcome.UNREACHABLE, i.Outcome.NOT_SENT):
            call.may_have_run = True
        if event.cause is i.Cause.NUMBER_BUSY and call.number is not None:
            self._bar_number(now, call.number)
        elif event.outcome is i.Outcome.FAILED:
            call.faults.append(event.server)
            if call.unsafe:  # it goes nowhere else, so nothing more will be learnt of it
                self._blame(now, server)
        self._end_if_hopeless(now, call)

    def _bar_number(self, now: int, number: str) -> None:
        """Calls to a number whose lines are all busy wait: its crowd's redials must not use processors up."""
        until = now + round(HOLD_OFF * self._gap_us * NUMBER_BAR * self._random.uniform(1, 2))
        self._busy_until[number] = until
        for stale in [key for key, at in self._busy_until.items() if at <= now]:
            del self._busy_until[stale]

    def _learn_from_end(self, now: int, server: Server, event: i.AttemptEnded) -> None:
        server.unanswered.pop((event.call, event.attempt), None)
        server.hung.pop((event.call, event.attempt), None)
        if event.cause is i.Cause.NO_LINE and event.outcome is i.Outcome.FULL:
            # Not asked again at once: calls would spend all their attempts here within milliseconds.
            server.told_empty = True
            pause_us = max(self._low_us, self._trial_spacing_us(now, server))
            server.empty_until_us = now + round(pause_us * self._random.uniform(1, 2))
        elif event.outcome in (i.Outcome.FULL, i.Outcome.UNREACHABLE, i.Outcome.RESET):
            # Counted once while the flag is up: a crash cuts dozens of calls at once and is one failure.
            server.resets += event.outcome is i.Outcome.RESET
            if event.outcome is not i.Outcome.RESET or server.resets >= RESETS_IN_A_ROW:
                server.failures += not server.flagged
                self._raise_flag(now, server)
        self._on_report(now, server, event.report)

    def _blame(self, now: int, server: Server | None) -> None:
        """A call that it answered with a fault stands now: the fault was the server's and not the call's.

        A fault alone says nothing: calls that no server can take come in bursts and would bar all in turn.
        """
        if server is not None:
            server.wrong += WRONG_WEIGHT * (1 - server.wrong)
            if server.wrong > WRONG_MARK:
                self._raise_flag(now, server)

    # --- readings and the flag ---

    def _on_report(self, now: int, server: Server | None, report: i.LoadReport) -> None:
        if server is None:
            return
        server.lines = report.lines or server.lines
        if report.free_lines is not None:
            server.told_empty = report.free_lines < 1
            # Every proxy hears of the same free lines: our share of them, its broken part drawn.
            server.grant = report.free_lines / max(1, self._settings.instances) + self._random.random()
        if report.wait_us is not None:
            self._on_reading(now, server, report.wait_us)

    def _on_reading(self, now: int, server: Server, wait_us: int) -> None:
        old = server.gauge_us if server.reading_at_us >= 0 else wait_us
        server.gauge_us = SMOOTHING * wait_us + (1 - SMOOTHING) * old
        server.reading_us, server.reading_at_us = wait_us, now
        if server.gauge_us > self._high_us and not server.flagged:
            server.failures += 1
            self._raise_flag(now, server)

    def _raise_flag(self, now: int, server: Server) -> None:
        """Bar new set-ups for a hold-off; it is jittered, so that the proxies don't come back together."""
        if not server.flagged:
            server.window = max(MIN_WINDOW, server.window * WINDOW_CUT)
            if server.failures == LOGGED_FAILURES:
                self._actions.append(i.Log(f"{server.id} failed {server.failures} times in a row"))
        server.flagged = True
        growth = min(LONGEST_HOLD_OFF, FAILING_GROWTH ** max(0, server.failures - 1))
        # A line of seconds needs as long to drain; a trial on top of it would stand late.
        base_us = max(HOLD_OFF * self._gap_us, self._trial_spacing_us(now, server)) * growth
        base_us = max(base_us, DRAIN_SHARE * server.reading_us)
        hold_off = base_us * self._random.uniform(1, 2)
        until = now + max(SHORTEST_HOLD_OFF_US, round(hold_off))
        server.hold_off_until_us = max(server.hold_off_until_us, until)

    def _share(self, server: Server) -> float:
        """This server's share of the pool by the lines told; what stood there did no better here.

        One that has told nothing counts as the smallest: a guess too high would overfill it.
        """
        known = [other.lines for other in self._servers.values() if other.serving and other.lines]
        least = min(known, default=1.0)
        total = sum(other.lines or least for other in self._servers.values() if other.serving)
        return (server.lines or least) / max(total, server.lines or least)

    def _trial_spacing_us(self, now: int, server: Server) -> float:
        """The least pause: the time between two of our set-ups to this server, if each got calls by its size.

        Where proxies are many or a server is small it is seconds: trials that come sooner keep its jam going.
        """
        ours_per_s = self._offered.per_s(now) * self._share(server)
        spacing_us = 1e6 / ours_per_s if ours_per_s else 0.0
        if server.quickest_us is not None:
            spacing_us = min(spacing_us, IDLE_SPACING * server.quickest_us * self._settings.instances)
        return spacing_us

    def _lower_flag(self, now: int, server: Server) -> None:
        """Drop the flag once the hold-off is over and no fresh reading lies above the low mark."""
        if not server.flagged or now < server.hold_off_until_us:
            return
        if now - server.reading_at_us < self._gap_us and server.reading_us > self._low_us:
            return
        server.flagged = False
        server.wrong *= WRONG_FORGIVEN
        server.gauge_us = min(server.gauge_us, self._low_us)

    def _watch_unanswered(self, now: int) -> None:
        """A set-up unanswered past the high mark is itself a reading: the silent server sends no other.

        It raises the flag once, and counts as work for a while. Then the next set-up is the trial: a server
        that loses one answer in ten would stay barred until its lost callers give up.
        """
        for server in self._servers.values():
            if not (server.unanswered or server.hung or server.flagged):
                continue
            late = [key for key, sent in server.unanswered.items() if now - sent > self._high_us]
            for key in late:
                server.hung[key] = server.unanswered.pop(key)
                server.cold_credit -= self._is_cold(now, server)  # soon repeated, which is as much work
                if server.hung[key] >= server.answered_sent_us:
                    server.failures += not server.flagged
                    self._raise_flag(now, server)
            self._leave_lost(server)
            self._lower_flag(now, server)

    def _leave_lost(self, server: Server) -> None:
        """Cancel set-ups that a later one has overtaken: a processor with one line has lost them.

        Then they can be tried elsewhere within their aim. Costs a second set-up where answers overtake.
        """
        for key in [key for key, sent in server.hung.items() if sent < server.answered_sent_us]:
            del server.hung[key]
            call = self._calls.get(key[0])
            out = call is not None and call.server is server and call.attempts < call.rules.max_attempts
            if call is not None and out and call.rules.may_cancel:
                self._actions.append(i.CancelAttempt(*key))

    # --- the cold guard ---

    def _is_cold(self, now: int, server: Server) -> bool:
        return server.started_us > 0 and now - server.started_us < self._settings.cold_us

    def _watch_throughput(self, now: int) -> None:
        """Servers that are listed and warm have served since the last look, whether or not we used them."""
        span_s = (now - self._watched_us) / 1e6 if self._watched_us >= 0 else 0.0
        self._watched_us = now
        for server in self._servers.values():
            if server.serving and not self._is_cold(now, server):
                server.throughput.watch(span_s)

    def _tips_per_s(self, now: int, server: Server) -> float:
        """Our share of the set-ups a second that tip a cold server over.

        Its place is judged by what stood there; where we know too little, by what stood at the others, and no
        higher than the mean delay allows. How it warms is not told: assume evenly, over the whole cold time.
        """
        start = self._settings.cold_start_share
        warmed = (now - server.started_us) / max(1, self._settings.cold_us)
        present = start + (1 - start) * min(1.0, max(0.0, warmed))
        places = self._throughput.values()
        alike = (sum(place.stood for place in places) + 1) / (sum(place.span_s for place in places) + PRIOR_S)
        guess = min(alike, 1e6 / (max(1.0, self._delay_us) * max(1, self._settings.instances)))
        return self._settings.fall_multiple * present * server.throughput.per_s(guess)

    def _cold_admits(self, now: int, server: Server) -> bool:
        """Whether the cold pace lets through a call that would go to this server now.

        A credit below one for each proxy, earned only when a call wants the server, by the time since the
        last one did, and by a short idle time at most. So in any span in which the rule counts, all proxies
        together earn at most COLD_FLOW + COLD_IDLE, nine sixteenths, of what tips it. Each starts at a random
        part of one, so the sum of what is sent is that of what is earned, but for chance. If all hang within
        the span and are repeated after a third of it, at six tenths of their work, it comes to 13 sixteenths
        (one that hangs is charged as another). The rest is for chance, for proxies that have not heard of the
        start and for a server slower than it was. Where little stood before, or it warms early, all may send
        half as much again as it has just done, which is far from what tips it; one call less each, since
        where proxies are many a single call makes no rate. May leave a server that warms early partly idle.
        """
        if not self._is_cold(now, server):
            return True
        tips_per_s = self._tips_per_s(now, server)
        idle = tips_per_s * COLD_IDLE * self._settings.fall_span_us / 1e6
        proven = (server.proven.faded(now) - 1) / max(1e-6, server.proven.span_s)
        per_s = max(tips_per_s * COLD_FLOW, COLD_PROVEN * proven)
        flow = per_s * (now - server.cold_at_us) / 1e6
        server.cold_credit = min(server.cold_credit + min(idle, flow), 1 + idle)
        server.cold_at_us = now
        return server.cold_credit >= 1

    # --- the route ---

    def _open(self, now: int, server: Server) -> bool:
        """Whether a server may be sent a new set-up now."""
        if not server.serving or server.flagged or server.told_empty or now < server.empty_until_us:
            return False
        # Where answers take seconds, hanging set-ups still stand in line: trials on top keep the jam going.
        in_line_us = max(HUNG_WORK * self._gap_us, HUNG_DELAYS * server.reading_us)
        in_line = sum(now - sent < in_line_us for sent in server.hung.values())
        return len(server.unanswered) + in_line < int(server.window)

    def _place(self, now: int, call: Call, open_servers: list[Server], pressed: set[str]) -> Server | None:
        """Route the call; a cold server that may not take it counts as barred for this call."""
        allowed = call.kind.servers
        able = [server for server in open_servers if allowed is None or server.number in allowed]
        if call.first_choice in self._numbers:
            able = [s for s in able if s.number == call.first_choice or s.grant >= 1 and s.id not in pressed]
        if call.faults:  # elsewhere, if there is an elsewhere
            able = [server for server in able if server.id not in call.faults] or able
        while (server := self._route(call, able)) is not None:
            if self._is_late(now, call) and (server.unanswered or server.gauge_us > self._low_us):
                return None  # a late call takes only what would lie idle: it would delay those in time
            if self._cold_admits(now, server):
                return server
            able.remove(server)
            open_servers.remove(server)  # no other call earns more there at this instant
        return None

    def _pressed(self, now: int, server: Server) -> bool:
        """Whether a line of work stands there: what is left is kept for calls that name it first.

        Overflow that fills a server sends its own calls elsewhere in turn, until nearly all calls stand at a
        second choice, and each proxy that knows of the last free lines sends there at once.
        """
        if server.gauge_us <= self._low_us:
            return False
        return now - server.reading_at_us < self._trial_spacing_us(now, server)

    def _route(self, call: Call, able: list[Server]) -> Server | None:
        """In the lowest band: first choice, else what last took a call, else a random draw of the open."""
        lowest = min((server.band for server in able), default=0)
        able = [server for server in able if server.band == lowest]
        for server in able:
            if server.number == call.first_choice:
                return server
        if self._last_took in able:
            return self._last_took
        return self._random.choices(able, [server.lines or 1.0 for server in able])[0] if able else None

    # --- holding and shedding ---

    def _order(self, now: int) -> Callable[[Call], tuple[float, int, int]]:
        """Sorts calls by what they still earn if sent now, by the delay of the quickest server open.

        A bare function of few steps: where calls are many it is what the processor's time goes into.
        """
        in_time = now + self._expected_us
        return lambda call: (
            -call.worth if in_time <= call.aim_at_us else -call.late_worth, call.aim_at_us, call.id
        )  # fmt: skip

    def _is_late(self, now: int, call: Call) -> bool:
        return now + self._expected_us > call.aim_at_us

    def _serve_held(self, now: int) -> None:
        """Send what can be sent, the most valuable first; none before its release is over or while barred."""
        if not self._held:
            return
        open_servers = [server for server in self._servers.values() if self._open(now, server)]
        if not open_servers:
            return
        warm = [server for server in open_servers if not self._is_cold(now, server)] or open_servers
        self._expected_us = min(max(server.gauge_us, self._quickest_us) for server in warm)
        pressed = {server.id for server in open_servers if self._pressed(now, server)}
        barred = self._busy_until
        held = [
            call
            for call in self._held.values()
            if now >= call.not_before_us and (not barred or now >= barred.get(call.number or "", 0))
        ]
        held.sort(key=self._order(now))
        for call in held:
            server = self._place(now, call, open_servers, pressed) if open_servers else None
            if server is not None:
                self._send(now, call, server)
                if not self._open(now, server):
                    open_servers.remove(server)

    def _send(self, now: int, call: Call, server: Server) -> None:
        del self._held[call.id]
        call.server = server
        call.sent_us = now
        server.unanswered[call.id, call.attempts] = now
        server.grant -= server.number != call.first_choice
        call.attempts += 1
        if self._is_cold(now, server):
            server.cold_credit -= 1
        self._actions.append(i.SendSetup(call.id, server.id, max(1, call.answer_by_us - now)))

    def _end_if_hopeless(self, now: int, call: Call) -> bool:
        """End a call that has no attempt out and is given up: no other is possible in time, or worth a wait.

        It is held briefly: to its aim, and past that for a moment. Then its caller hears at once: keeping it
        to the end of the caller's time would only put the redial off.
        """
        reason = self._why_hopeless(now, call)
        if reason is None:
            return False
        self._refuse(call, reason)
        return True

    def _why_hopeless(self, now: int, call: Call) -> i.Reason | None:
        """Why no further attempt is made, or None where one may be."""
        if call.unsafe:
            return i.Reason.MAY_HAVE_RUN
        if call.attempts >= call.rules.max_attempts:
            return i.Reason.NO_ATTEMPT_LEFT
        if len(call.faults) >= MAX_FAULTS or len(set(call.faults)) >= FAULTS_AT_TWO:
            return i.Reason.FAULTS
        earliest = max(now, call.not_before_us)
        if earliest + ANSWER_MARGIN * self._tick_us >= call.answer_by_us:
            return i.Reason.NO_TIME
        if now >= max(call.aim_at_us, call.held_us + HOLD * self._gap_us):
            return i.Reason.NO_SERVER
        return None

    def _refuse(self, call: Call, reason: i.Reason) -> None:
        """The final answer, with a time to come back, drawn lest those refused together return as one.

        A call that may have run and must not run twice is failed instead.
        """
        self._forget(call.id)
        if call.unsafe:
            self._actions.append(i.FailCall(call.id, reason))
        else:
            least_us = min(PAUSE * self._gap_us, call.rules.max_retry_after_us / 2)
            pause_us = least_us * self._random.uniform(1, 2)
            self._actions.append(i.RefuseCall(call.id, round(pause_us), reason))

    # --- time ---

    def _keep_ticking(self) -> None:
        """One timer, as long as a call is held or unanswered."""
        if self._calls and not self._ticking:
            self._ticking = True
            self._actions.append(i.SetTimer("tick", self._tick_us))
