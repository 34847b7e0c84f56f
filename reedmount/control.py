"""Every decision of a reedmount border controller. Its types, events and actions: reedmount/interface.py.

The order is: constants, the state kept of each call and each server, then the controller.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from reedmount import interface as i

# Times derive from the site's resend gap wherever it has one.
HIGH_MARK = 0.8  # of the resend gap: a wait above it raises the flag before most repeats are sent
LOW_MARK = 0.5  # of the high mark: a recent reading above it keeps the flag up
DEFAULT_RESEND_GAP_US = 500_000  # in place of the resend gap where set-ups are never repeated
READING_WEIGHT = 0.5  # of the newest reading: an instance sees few a second, so old ones soon mislead
HOLD_OFF_GAPS = 0.5  # resend gaps; jittered up to twice that, so that instances don't return together
MIN_HOLD_OFF_US = 200_000  # lower bound set by the design
BUSY_NUMBER_HOLD_OFFS = 2.0  # hold-offs for which calls to a number found busy wait
HOLD_OFF_GROWTH = 2.0  # factor by which each failure in a row lengthens the hold-off
LOG_AT_FAILURES = 4  # failures in a row that are logged, once
MAX_HOLD_OFF_GROWTH = 4.0  # times the hold-off of a single failure
FAULT_WEIGHT = 0.25  # of the newest answer in the share of faults
MAX_FAULT_SHARE = 0.65  # of answers; reached by four faults in a row. A server with half is worth using
MAX_FAULTY_SERVERS, MAX_FAULTS = 2, 3  # servers, or attempts, with a fault: the call itself is at fault
FLAG_AFTER_RESETS = 3  # with no call set up in between: a single connection may break anywhere
MAX_UNLISTED_NUMBERS = 64  # server numbers no longer listed whose throughput is remembered
FAULT_SHARE_FACTOR = 0.5  # applied when the flag drops, so that the server is tried again
INITIAL_WINDOW = 2.0  # set-ups unanswered at one server before its delay is known
MIN_WINDOW = 1.0
IDLE_WAIT_SHARE = 0.5  # of the low mark: an answer that waited less than this found no queue
WINDOW_DECREASE = 0.5  # factor when the flag is raised
TICK_SHARE_OF_HIGH_MARK = 0.1  # interval of the checks of held and unanswered calls
COLD_RATE_SHARE = 7 / 16  # of the load that overloads a cold server: the sustained rate sent to it
COLD_GROWTH = 1.5  # times the set-ups it completed within the span, less one: a load it has proved
COLD_IDLE_SHARE = 1 / 8  # of the overload within the span: limit of the credit saved while unused
THROUGHPUT_SPAN_S = 60.0  # averaging time of a server's throughput: a lull or a short overload weighs little
PRIOR_WEIGHT_S = 1.0  # seconds of observation that the estimated throughput counts for
DELAY_WEIGHT = 0.1  # of the newest answer in the mean delay
RATE_SPAN_S = 10.0  # averaging time of rates: shorter is noise at a few calls a second
HUNG_WORK_GAPS = 3.0  # resend gaps for which a hung set-up counts as work in the server's queue
HUNG_WORK_DELAYS = 2.0  # times the last delay, where that is longer
MAX_TRIAL_SPACING_SETUPS = 4.0  # set-up times for each instance: enough where calls are few
HOLD_OFF_DELAYS = 0.5  # times the last delay: lower bound of the hold-off, jittered up to twice that
MAX_HELD = 100  # held calls: more would only time out
SHED_BATCH = 8  # least valuable calls shed together: a search at each call took a third of a busy core
ANSWER_MARGIN_TICKS = 2.0  # ticks before the caller's time ends after which no call is held
MIN_HOLD_GAPS = 1.0  # resend gaps that a call is held at least, even past its target
RETRY_AFTER_GAPS = 2.0  # resend gaps, jittered up to twice that, until a refused caller may redial

RedialKey = tuple[str, str | None, str | None]  # class, tenant and called number: the same for a redial


@dataclass(slots=True)
class Rate:
    """Events per second with exponential decay; corrected for a short history, which would read low."""

    span_s: float = RATE_SPAN_S
    count: float = 0.0
    since_us: int = -1  # the first event
    at_us: int = 0

    def add(self, now: int) -> None:
        """Count one event."""
        if self.since_us < 0:
            self.since_us = now
        self.count = self.decayed_count(now) + 1
        self.at_us = now

    def per_s(self, now: int) -> float:
        """The current rate; a short history counts as a second longer, lest one event give a high rate."""
        age_s = (now - self.since_us) / 1e6 + 1
        return self.decayed_count(now) / (self.span_s * (1 - math.exp(-age_s / self.span_s)))

    def decayed_count(self, now: int) -> float:
        """The number of events, weighted by exponential decay."""
        return self.count * math.exp((self.at_us - now) / 1e6 / self.span_s)


@dataclass(slots=True)
class Throughput:
    """Set-ups completed through this instance at one server number, and how long it served there warm.

    A mean, not a maximum: the means of all instances add up to the server's actual throughput, which never
    exceeds its capacity, whatever the bursts and outages elsewhere. Maxima of noisy rates add up to more.
    """

    established: float = 0.0
    span_s: float = 0.0

    def add_time(self, span_s: float) -> None:
        """Add a period of warm service."""
        keep = math.exp(-span_s / THROUGHPUT_SPAN_S)
        self.established *= keep
        self.span_s = self.span_s * keep + span_s

    def per_s(self, guess: float) -> float:
        """The mean; with a short history it lies near ``guess``."""
        return (self.established + PRIOR_WEIGHT_S * guess) / (self.span_s + PRIOR_WEIGHT_S)


@dataclass(slots=True, eq=False)
class Call:
    """A call whose caller has no final answer yet."""

    id: int
    kind: i.CallClass
    tenant: str | None
    number: str | None
    first_choice: int | None
    target_at_us: int
    answer_by_us: int
    worth: float  # if set up in time; reduced if its tenant was over quota when it came
    late_worth: float
    rules: i.Settings  # in force when it came
    attempts: int = 0
    held_since_us: int = 0
    server: Server | None = None  # of the attempt that is out
    sent_us: int = 0
    not_before_us: int = 0
    may_have_run: bool = False
    faulty_servers: list[str] = field(default_factory=list)  # one entry for each fault answered

    @property
    def unsafe_to_repeat(self) -> bool:
        """Whether another attempt might execute the call twice."""
        return self.may_have_run and self.kind.effect is not i.Effect.REPEATABLE


@dataclass(slots=True, eq=False)
class Server:
    """The state that this instance keeps of one server."""

    id: str
    number: int
    started_us: int
    serving: bool = True
    band: int = 0  # calls go to the lowest band with room
    lines: float = 0.0  # as reported; 0 before the first report
    no_free_lines: bool = False
    overflow_credit: float = math.inf  # set-ups of second choice until its next report of free lines
    no_lines_until_us: int = 0
    flagged: bool = False
    hold_off_until_us: int = 0
    failures: int = 0
    fault_share: float = 0.0  # weighted share of its recent answers that were faults of its own
    resets: int = 0  # since the last call set up
    mean_wait_us: float = 0.0
    reading_us: int = 0  # the newest reading
    reading_at_us: int = -1
    min_delay_us: int | None = None  # quickest answer: an upper bound of the work of a set-up
    window: float = INITIAL_WINDOW
    unanswered: dict[tuple[int, int], int] = field(default_factory=dict)  # attempt: when sent
    throughput: Throughput = field(default_factory=Throughput)  # of its number, kept across restarts
    cold_credit: float = 0.0  # set-ups earned while cold; below one a fraction of the next
    cold_credit_at_us: int = 0  # when a call last asked for it while cold
    established_cold: Rate = field(default_factory=Rate)  # calls set up there while cold
    hung: dict[tuple[int, int], int] = field(default_factory=dict)  # unanswered past the high mark
    established: Rate = field(default_factory=Rate)
    last_answered_sent_us: int = -1  # send time of the latest set-up that was answered


class Controller:
    """The decisions of one instance. It knows only its settings and the events it is given."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.apply_settings(settings)
        self._random = random.Random(seed)
        self._servers: dict[str, Server] = {}
        self._calls: dict[int, Call] = {}
        self._held: dict[int, Call] = {}
        self._last_successful: Server | None = None
        self._serving_numbers: set[int] = set()
        self._version = -1
        self._subscribed = False
        self._ticking = False
        self._min_delay_us = self._high_us
        self._tenant_rate: dict[str, Rate] = {}
        self._offered_rate = Rate()  # first tries only
        self._throughput: dict[int, Throughput] = {}  # by server number, which a replacement inherits
        self._throughput_at_us = -1
        self._mean_delay_us: float = self._gap_us  # a high estimate until answers are known
        self._number_busy_until: dict[str, int] = {}
        self._expected_delay_us = self._high_us
        self._first_tries: dict[RedialKey, int] = {}
        self._actions: list[i.Action] = []

    def apply_settings(self, settings: i.Settings) -> None:
        """Use these settings from now on; a call keeps those in force when it came."""
        self._settings = settings
        self._classes = {kind.name: kind for kind in settings.classes}
        self._quotas = {tenant.name: tenant.quota_per_s for tenant in settings.tenants}
        self._gap_us = settings.resend_gap_us or DEFAULT_RESEND_GAP_US
        self._high_us = HIGH_MARK * self._gap_us
        self._low_us = LOW_MARK * self._high_us
        self._tick_us = max(1, round(TICK_SHARE_OF_HIGH_MARK * self._high_us))

    def handle(self, now: int, event: i.Event) -> list[i.Action]:
        """Process one event at clock time ``now`` and return the actions, in order."""
        self._actions = []
        match event:
            case i.ServerList():
                self._on_list(now, event)
            case i.NewCall():
                self._on_call(now, event)
            case i.CallEstablished():
                self._on_established(now, event)
            case i.AttemptEnded():
                self._on_attempt_ended(now, event)
            case i.CallerAbandoned():
                self._forget(event.call)
            case i.TimerFired():
                self._ticking = False
                for call in list(self._held.values()):
                    self._give_up_if_due(now, call)
            case i.LoadReports():
                for server, report in event.reports:
                    self._on_report(now, self._servers.get(server), report)
        self._check_unanswered(now)
        self._dispatch_held(now)
        self._schedule_tick()
        return self._actions

    # --- the pool list ---

    def _on_list(self, now: int, update: i.ServerList) -> None:
        """Apply a pool list; an older one never undoes a drain."""
        if self._settings.subscribe and not self._subscribed or update.kind is i.ListKind.FAILED:
            self._subscribed = True
            if self._settings.subscribe:
                self._actions.append(i.Subscribe())
        if update.kind is i.ListKind.FAILED or update.version < self._version:
            return
        self._version = update.version
        self._update_throughput(now)
        for entry in update.entries:
            self._on_entry(now, entry)
        removed = {entry.server for entry in update.entries if entry.state is i.ServerState.REMOVED}
        if update.kind is not i.ListKind.CHANGES:
            removed |= self._servers.keys() - {entry.server for entry in update.entries}
        for server_id in removed & self._servers.keys():
            # Replacements come under new ids all day, so state of removed servers must not accumulate.
            del self._servers[server_id]
        if self._last_successful is not None and self._last_successful.id in removed:
            self._last_successful = None
        listed = {server.number for server in self._servers.values()}
        self._serving_numbers = {server.number for server in self._servers.values() if server.serving}
        for number in [number for number in self._throughput if number not in listed][:-MAX_UNLISTED_NUMBERS]:
            del self._throughput[number]

    def _on_entry(self, now: int, entry: i.ServerEntry) -> None:
        server = previous = self._servers.get(entry.server)
        if server is None:
            server = self._servers[entry.server] = Server(entry.server, entry.number, entry.started_us)
        elif entry.started_us > server.started_us:
            # A restart under the same id: state of the old process no longer applies.
            restarted = Server(entry.server, entry.number, entry.started_us, lines=server.lines)
            restarted.unanswered, restarted.hung = server.unanswered, server.hung
            self._servers[entry.server] = restarted
            if self._last_successful is server:
                self._last_successful = None
            for call in self._calls.values():
                if call.server is server:
                    call.server = restarted
            server = restarted
        if server is not previous:
            server.throughput = self._throughput.setdefault(entry.number, Throughput())
        if server is not previous and server.started_us > 0:
            server.cold_credit, server.cold_credit_at_us = self._random.random(), now
            server.established_cold = Rate(self._settings.fall_span_us / 1e6)
            self._actions.append(i.Log(f"{server.id} started: paced while cold"))
        if server.serving != (entry.state is i.ServerState.SERVING):
            self._actions.append(i.Log(f"{server.id} is {entry.state.value}"))
        server.serving, server.band = entry.state is i.ServerState.SERVING, entry.band

    # --- calls ---

    def _on_call(self, now: int, event: i.NewCall) -> None:
        kind = self._classes[event.call_class]
        first_try = self._first_try_at(now, event, kind)
        if first_try == now:
            self._offered_rate.add(now)
            if event.tenant is not None:
                self._tenant_rate.setdefault(event.tenant, Rate()).add(now)
        worth = kind.worth * self._quota_share(now, event.tenant)
        call = self._calls[event.call] = self._held[event.call] = Call(
            id=event.call,
            kind=kind,
            tenant=event.tenant,
            number=event.number,
            first_choice=event.first_choice,
            target_at_us=first_try + kind.target_us,
            answer_by_us=event.answer_by_us,
            worth=worth,
            late_worth=worth * kind.late_share,
            rules=self._settings,
            held_since_us=now,
        )
        # A redial may have less than a tick left: its time would be over before the next check.
        if not self._give_up_if_due(now, call) and len(self._held) > MAX_HELD:
            for shed in sorted(self._held.values(), key=self._sort_key(now))[-SHED_BATCH:]:
                self._refuse(shed, i.Reason.SHED)

    def _forget(self, call: int) -> None:
        self._calls.pop(call, None)
        self._held.pop(call, None)

    def _quota_share(self, now: int, tenant: str | None) -> float:
        """The share of its worth that a call counts, if every instance sees this tenant's calls equally."""
        quota = self._quotas.get(tenant or "")
        rate = self._tenant_rate.get(tenant or "")
        if quota is None or rate is None:
            return 1.0
        fleet_per_s = rate.per_s(now) * self._settings.instances
        if fleet_per_s <= quota:
            return 1.0
        within_quota = quota / fleet_per_s
        return within_quota + (1 - within_quota) * self._settings.over_quota_share

    def _first_try_at(self, now: int, event: i.NewCall, kind: i.CallClass) -> int:
        """When the call was first tried; a redial's target time runs from there.

        Where callers do not mark redials, a call of the same class and tenant to the same number counts as
        one, if the earlier one is recent and was not set up.
        """
        key = (event.call_class, event.tenant, event.number)
        first = self._first_tries.pop(key, now)
        may_be_redial = event.redialled or not self._settings.redials_marked
        if not may_be_redial or event.number is None or now - first > kind.give_up_us:
            first = now
        self._first_tries[key] = first
        oldest = next(iter(self._first_tries))
        if self._first_tries[oldest] < now - 2 * kind.give_up_us:
            del self._first_tries[oldest]
        return first

    def _on_established(self, now: int, event: i.CallEstablished) -> None:
        call = self._calls.get(event.call)
        self._forget(event.call)
        server = self._servers.get(event.server)
        if server is None:
            return
        if call is not None:
            self._first_tries.pop((call.kind.name, call.tenant, call.number), None)
            server.last_answered_sent_us = max(server.last_answered_sent_us, call.sent_us)
            for faulty in call.faulty_servers:
                self._count_fault(now, self._servers.get(faulty))
        server.resets = 0
        server.established.add(now)
        filled = len(server.unanswered) >= int(server.window)
        server.unanswered.pop((event.call, event.attempt), None)
        server.hung.pop((event.call, event.attempt), None)
        if event.delay_us < self._high_us:
            server.failures = 0
        server.fault_share *= 1 - FAULT_WEIGHT
        self._min_delay_us = min(self._min_delay_us, event.delay_us)
        server.min_delay_us = min(event.delay_us, server.min_delay_us or event.delay_us)
        self._last_successful = server
        self._mean_delay_us += DELAY_WEIGHT * (event.delay_us - self._mean_delay_us)
        if self._is_cold(now, server):
            server.established_cold.add(now)
        else:
            self._update_throughput(now)
            server.throughput.established += 1
        self._adjust_window(now, server, event.delay_us, filled)
        self._on_reading(now, server, event.delay_us)

    def _adjust_window(self, now: int, server: Server, delay_us: int, filled: bool) -> None:
        """Widen the window if it was full and the answer quick; shrink it if there is a queue.

        The rate of completed set-ups is limited by the window itself, so that alone would keep a narrow
        window narrow while the server idles. Without a queue the limit is therefore all offered calls times
        the round-trip time; a queue takes back what was given beyond that rate.
        """
        limit, wait_us = self._max_window(now, server), delay_us - (server.min_delay_us or 0)
        if wait_us < IDLE_WAIT_SHARE * self._low_us:
            limit = max(
                limit, INITIAL_WINDOW + self._offered_rate.per_s(now) * (server.min_delay_us or 0) / 1e6
            )
        elif wait_us > self._low_us:
            server.window = max(min(limit, server.window), server.window - 1)
        if filled and (delay_us < self._low_us or wait_us < IDLE_WAIT_SHARE * self._low_us):
            server.window = max(server.window, min(limit, server.window + 1 / server.window))

    def _max_window(self, now: int, server: Server) -> float:
        """This instance's share of a queue as long as the low mark, if every instance fills its share.

        The quickest answer seen is the estimate of the work of one set-up. Most of it may be network time,
        though, so the set-ups completed within that time plus the low mark are allowed as well.
        """
        share = self._low_us / max(1, self._min_delay_us * self._settings.instances)
        span_us = self._low_us + (server.min_delay_us or self._min_delay_us)
        return max(INITIAL_WINDOW, share, server.established.per_s(now) * span_us / 1e6)

    def _on_attempt_ended(self, now: int, event: i.AttemptEnded) -> None:
        server = self._servers.get(event.server)
        if server is not None:
            self._record_attempt_end(now, server, event)
        call = self._calls.get(event.call)
        if call is None:
            return
        if event.closed:
            self._forget(event.call)
            return
        call.server = None
        self._held[call.id] = call
        call.held_since_us = now
        if event.outcome in (i.Outcome.TIMED_OUT, i.Outcome.RESET, i.Outcome.CANCELLED):
            # The release rule: resources of the attempt may stay taken for a while.
            call.not_before_us = now + call.rules.release_wait_us
        if event.outcome not in (i.Outcome.FULL, i.Outcome.UNREACHABLE, i.Outcome.NOT_SENT):
            call.may_have_run = True
        if event.cause is i.Cause.NUMBER_BUSY and call.number is not None:
            self._hold_off_number(now, call.number)
        elif event.outcome is i.Outcome.FAILED:
            call.faulty_servers.append(event.server)
            if call.unsafe_to_repeat:  # no other attempt will show whose fault it was
                self._count_fault(now, server)
        self._give_up_if_due(now, call)

    def _hold_off_number(self, now: int, number: str) -> None:
        """Hold calls to a number whose lines are all busy: redials of a crowd must not use up processors."""
        until = now + round(HOLD_OFF_GAPS * self._gap_us * BUSY_NUMBER_HOLD_OFFS * self._random.uniform(1, 2))
        self._number_busy_until[number] = until
        for stale in [key for key, at in self._number_busy_until.items() if at <= now]:
            del self._number_busy_until[stale]

    def _record_attempt_end(self, now: int, server: Server, event: i.AttemptEnded) -> None:
        server.unanswered.pop((event.call, event.attempt), None)
        server.hung.pop((event.call, event.attempt), None)
        if event.cause is i.Cause.NO_LINE and event.outcome is i.Outcome.FULL:
            # No retry at once: calls would use up all their attempts here within milliseconds.
            server.no_free_lines = True
            spacing_us = max(self._low_us, self._trial_spacing_us(now, server))
            server.no_lines_until_us = now + round(spacing_us * self._random.uniform(1, 2))
        elif event.outcome in (i.Outcome.FULL, i.Outcome.UNREACHABLE, i.Outcome.RESET):
            # Counted once while the flag is up: a crash cuts dozens of calls and is one failure.
            server.resets += event.outcome is i.Outcome.RESET
            if event.outcome is not i.Outcome.RESET or server.resets >= FLAG_AFTER_RESETS:
                server.failures += not server.flagged
                self._raise_flag(now, server)
        self._on_report(now, server, event.report)

    def _count_fault(self, now: int, server: Server | None) -> None:
        """Count a fault of the server: a call that it answered with a fault was set up elsewhere.

        A fault alone is no evidence: calls that no server can take come in bursts and would flag every
        server in turn.
        """
        if server is not None:
            server.fault_share += FAULT_WEIGHT * (1 - server.fault_share)
            if server.fault_share > MAX_FAULT_SHARE:
                self._raise_flag(now, server)

    # --- readings and the flag ---

    def _on_report(self, now: int, server: Server | None, report: i.LoadReport) -> None:
        if server is None:
            return
        server.lines = report.lines or server.lines
        if report.free_lines is not None:
            server.no_free_lines = report.free_lines < 1
            # All instances get the same report: take our share, with its fraction rounded at random.
            server.overflow_credit = (
                report.free_lines / max(1, self._settings.instances) + self._random.random()
            )
        if report.wait_us is not None:
            self._on_reading(now, server, report.wait_us)

    def _on_reading(self, now: int, server: Server, wait_us: int) -> None:
        old = server.mean_wait_us if server.reading_at_us >= 0 else wait_us
        server.mean_wait_us = READING_WEIGHT * wait_us + (1 - READING_WEIGHT) * old
        server.reading_us, server.reading_at_us = wait_us, now
        if server.mean_wait_us > self._high_us and not server.flagged:
            server.failures += 1
            self._raise_flag(now, server)

    def _raise_flag(self, now: int, server: Server) -> None:
        """Block new set-ups for a jittered hold-off, so that instances don't return together."""
        if not server.flagged:
            server.window = max(MIN_WINDOW, server.window * WINDOW_DECREASE)
            if server.failures == LOG_AT_FAILURES:
                self._actions.append(i.Log(f"{server.id} failed {server.failures} times in a row"))
        server.flagged = True
        growth = min(MAX_HOLD_OFF_GROWTH, HOLD_OFF_GROWTH ** max(0, server.failures - 1))
        # A queue of seconds takes as long to drain; a trial on top of it would be answered late.
        base_us = max(HOLD_OFF_GAPS * self._gap_us, self._trial_spacing_us(now, server)) * growth
        base_us = max(base_us, HOLD_OFF_DELAYS * server.reading_us)
        hold_off = base_us * self._random.uniform(1, 2)
        until = now + max(MIN_HOLD_OFF_US, round(hold_off))
        server.hold_off_until_us = max(server.hold_off_until_us, until)

    def _capacity_share(self, server: Server) -> float:
        """This server's share of the pool by reported lines; shares by completed set-ups did no better.

        A server without a report counts as the smallest: too high an estimate would overfill it.
        """
        known = [other.lines for other in self._servers.values() if other.serving and other.lines]
        smallest = min(known, default=1.0)
        total = sum(other.lines or smallest for other in self._servers.values() if other.serving)
        return (server.lines or smallest) / max(total, server.lines or smallest)

    def _trial_spacing_us(self, now: int, server: Server) -> float:
        """The time between two set-ups from this instance to this server, if calls were spread by capacity.

        With many instances or a small server that is seconds: more frequent trials would keep its queue full.
        """
        own_per_s = self._offered_rate.per_s(now) * self._capacity_share(server)
        spacing_us = 1e6 / own_per_s if own_per_s else 0.0
        if server.min_delay_us is not None:
            spacing_us = min(
                spacing_us, MAX_TRIAL_SPACING_SETUPS * server.min_delay_us * self._settings.instances
            )
        return spacing_us

    def _lower_flag(self, now: int, server: Server) -> None:
        """Drop the flag once the hold-off is over and no recent reading is above the low mark."""
        if not server.flagged or now < server.hold_off_until_us:
            return
        if now - server.reading_at_us < self._gap_us and server.reading_us > self._low_us:
            return
        server.flagged = False
        server.fault_share *= FAULT_SHARE_FACTOR
        server.mean_wait_us = min(server.mean_wait_us, self._low_us)

    def _check_unanswered(self, now: int) -> None:
        """Treat a set-up unanswered past the high mark as a reading: a silent server gives no other.

        It raises the flag once and counts as queued work for a while; then the next set-up is the trial.
        Otherwise a server that loses one answer in ten would stay flagged until those callers give up.
        """
        for server in self._servers.values():
            if not (server.unanswered or server.hung or server.flagged):
                continue
            overdue = [key for key, sent in server.unanswered.items() if now - sent > self._high_us]
            for key in overdue:
                server.hung[key] = server.unanswered.pop(key)
                server.cold_credit -= self._is_cold(now, server)  # will be resent, which costs as much
                if server.hung[key] >= server.last_answered_sent_us:
                    server.failures += not server.flagged
                    self._raise_flag(now, server)
            self._cancel_overtaken(server)
            self._lower_flag(now, server)

    def _cancel_overtaken(self, server: Server) -> None:
        """Cancel set-ups that a later one has overtaken: a server with a single queue has lost them.

        They can then be tried elsewhere in time. Where answers overtake each other it costs a second set-up.
        """
        for key in [key for key, sent in server.hung.items() if sent < server.last_answered_sent_us]:
            del server.hung[key]
            call = self._calls.get(key[0])
            retriable = call is not None and call.server is server and call.attempts < call.rules.max_attempts
            if call is not None and retriable and call.rules.may_cancel:
                self._actions.append(i.CancelAttempt(*key))

    # --- the cold guard ---

    def _is_cold(self, now: int, server: Server) -> bool:
        return server.started_us > 0 and now - server.started_us < self._settings.cold_us

    def _update_throughput(self, now: int) -> None:
        """Add the time since the last update to all listed warm servers, whether or not they were used."""
        span_s = (now - self._throughput_at_us) / 1e6 if self._throughput_at_us >= 0 else 0.0
        self._throughput_at_us = now
        for server in self._servers.values():
            if server.serving and not self._is_cold(now, server):
                server.throughput.add_time(span_s)

    def _overload_per_s(self, now: int, server: Server) -> float:
        """This instance's share of the set-up rate that overloads a cold server.

        It is estimated from the throughput of its number; where little is known, from the mean of all
        servers, limited by the mean delay. The course of the warm-up is unknown: a linear rise over the whole
        cold time is assumed.
        """
        start = self._settings.cold_start_share
        warm_share = (now - server.started_us) / max(1, self._settings.cold_us)
        capacity = start + (1 - start) * min(1.0, max(0.0, warm_share))
        throughputs = self._throughput.values()
        others_per_s = (sum(item.established for item in throughputs) + 1) / (
            sum(item.span_s for item in throughputs) + PRIOR_WEIGHT_S
        )
        guess = min(others_per_s, 1e6 / (max(1.0, self._mean_delay_us) * max(1, self._settings.instances)))
        return self._settings.fall_multiple * capacity * server.throughput.per_s(guess)

    def _cold_admits(self, now: int, server: Server) -> bool:
        """Whether the pacing of cold servers admits a call to this server now.

        Each instance has a credit that a call wanting the server tops up for the time since the last such
        call, limited to a short idle time. So within the span of the overload rule all instances together
        earn at most COLD_RATE_SHARE + COLD_IDLE_SHARE, 9/16 of the overload. Credits start at a random value
        below one, so the total sent equals the total earned, apart from random variation. If all set-ups hang
        and are repeated after a third of the span, at 0.6 of their work, the total is 13/16 (a hung set-up
        is charged again). The rest is a reserve for random variation, for instances that don't yet know of
        the start and for a server slower than before. Where the throughput was low, or the server warms
        early, all may send 1.5 times what it has just completed, far from overload; less one call each, since
        with many instances one call makes no rate. A server that warms early may stay partly idle.
        """
        if not self._is_cold(now, server):
            return True
        overload_per_s = self._overload_per_s(now, server)
        max_idle_credit = overload_per_s * COLD_IDLE_SHARE * self._settings.fall_span_us / 1e6
        established_cold = (server.established_cold.decayed_count(now) - 1) / max(
            1e-6, server.established_cold.span_s
        )
        per_s = max(overload_per_s * COLD_RATE_SHARE, COLD_GROWTH * established_cold)
        earned = per_s * (now - server.cold_credit_at_us) / 1e6
        server.cold_credit = min(server.cold_credit + min(max_idle_credit, earned), 1 + max_idle_credit)
        server.cold_credit_at_us = now
        return server.cold_credit >= 1

    # --- the route ---

    def _is_open(self, now: int, server: Server) -> bool:
        """Whether a server may be sent a new set-up now."""
        if not server.serving or server.flagged or server.no_free_lines or now < server.no_lines_until_us:
            return False
        # Where answers take seconds, hung set-ups are still queued: more trials would keep the queue full.
        queued_us = max(HUNG_WORK_GAPS * self._gap_us, HUNG_WORK_DELAYS * server.reading_us)
        queued = sum(now - sent < queued_us for sent in server.hung.values())
        return len(server.unanswered) + queued < int(server.window)

    def _choose(self, now: int, call: Call, open_servers: list[Server], queued: set[str]) -> Server | None:
        """Pick a server for the call; a cold server that may not take it is skipped for this call."""
        allowed = call.kind.servers
        usable = [server for server in open_servers if allowed is None or server.number in allowed]
        if call.first_choice in self._serving_numbers:
            usable = [
                s
                for s in usable
                if s.number == call.first_choice or s.overflow_credit >= 1 and s.id not in queued
            ]
        if call.faulty_servers:  # another server if there is one
            usable = [server for server in usable if server.id not in call.faulty_servers] or usable
        while (server := self._pick(call, usable)) is not None:
            if self._is_late(now, call) and (server.unanswered or server.mean_wait_us > self._low_us):
                return None  # a late call takes only idle capacity: it would delay calls still in time
            if self._cold_admits(now, server):
                return server
            usable.remove(server)
            open_servers.remove(server)  # no other call earns more there in this round
        return None

    def _has_queue(self, now: int, server: Server) -> bool:
        """Whether the server has a queue: its room is then kept for calls that name it as first choice.

        Overflow that fills a server displaces its own calls in turn, until nearly all calls are at a second
        choice, and every instance that knows of the last free lines sends there at once.
        """
        if server.mean_wait_us <= self._low_us:
            return False
        return now - server.reading_at_us < self._trial_spacing_us(now, server)

    def _pick(self, call: Call, usable: list[Server]) -> Server | None:
        """In the lowest band: first choice, else the server that last set up a call, else a random one."""
        lowest_band = min((server.band for server in usable), default=0)
        usable = [server for server in usable if server.band == lowest_band]
        for server in usable:
            if server.number == call.first_choice:
                return server
        if self._last_successful in usable:
            return self._last_successful
        return self._random.choices(usable, [server.lines or 1.0 for server in usable])[0] if usable else None

    # --- holding and shedding ---

    def _sort_key(self, now: int) -> Callable[[Call], tuple[float, int, int]]:
        """Orders calls by their worth if sent now, at the delay of the quickest open server.

        A plain function of few steps: with many calls most processor time is spent here.
        """
        expected_at = now + self._expected_delay_us
        return lambda call: (
            -call.worth if expected_at <= call.target_at_us else -call.late_worth, call.target_at_us, call.id
        )  # fmt: skip

    def _is_late(self, now: int, call: Call) -> bool:
        return now + self._expected_delay_us > call.target_at_us

    def _dispatch_held(self, now: int) -> None:
        """Send the calls that can be sent, most valuable first; not before their release or hold-off ends."""
        if not self._held:
            return
        open_servers = [server for server in self._servers.values() if self._is_open(now, server)]
        if not open_servers:
            return
        warm = [server for server in open_servers if not self._is_cold(now, server)] or open_servers
        self._expected_delay_us = min(max(server.mean_wait_us, self._min_delay_us) for server in warm)
        queued = {server.id for server in open_servers if self._has_queue(now, server)}
        busy_until = self._number_busy_until
        held = [
            call
            for call in self._held.values()
            if now >= call.not_before_us and (not busy_until or now >= busy_until.get(call.number or "", 0))
        ]
        held.sort(key=self._sort_key(now))
        for call in held:
            server = self._choose(now, call, open_servers, queued) if open_servers else None
            if server is not None:
                self._send(now, call, server)
                if not self._is_open(now, server):
                    open_servers.remove(server)

    def _send(self, now: int, call: Call, server: Server) -> None:
        del self._held[call.id]
        call.server = server
        call.sent_us = now
        server.unanswered[call.id, call.attempts] = now
        server.overflow_credit -= server.number != call.first_choice
        call.attempts += 1
        if self._is_cold(now, server):
            server.cold_credit -= 1
        self._actions.append(i.SendSetup(call.id, server.id, max(1, call.answer_by_us - now)))

    def _give_up_if_due(self, now: int, call: Call) -> bool:
        """End a call with no attempt out if no other attempt is possible in time or worth the wait.

        A call is held until its target time, or briefly past it. Then its caller is answered at once:
        waiting until the caller's time is up would only delay the redial.
        """
        reason = self._give_up_reason(now, call)
        if reason is None:
            return False
        self._refuse(call, reason)
        return True

    def _give_up_reason(self, now: int, call: Call) -> i.Reason | None:
        """Why no further attempt is made, or None where one may be."""
        if call.unsafe_to_repeat:
            return i.Reason.MAY_HAVE_RUN
        if call.attempts >= call.rules.max_attempts:
            return i.Reason.NO_ATTEMPT_LEFT
        if len(call.faulty_servers) >= MAX_FAULTS or len(set(call.faulty_servers)) >= MAX_FAULTY_SERVERS:
            return i.Reason.FAULTS
        earliest = max(now, call.not_before_us)
        if earliest + ANSWER_MARGIN_TICKS * self._tick_us >= call.answer_by_us:
            return i.Reason.NO_TIME
        if now >= max(call.target_at_us, call.held_since_us + MIN_HOLD_GAPS * self._gap_us):
            return i.Reason.NO_SERVER
        return None

    def _refuse(self, call: Call, reason: i.Reason) -> None:
        """Give the final answer, with a jittered retry time so that callers don't redial together.

        A call that may have run and must not run twice is failed instead.
        """
        self._forget(call.id)
        if call.unsafe_to_repeat:
            self._actions.append(i.FailCall(call.id, reason))
        else:
            min_retry_us = min(RETRY_AFTER_GAPS * self._gap_us, call.rules.max_retry_after_us / 2)
            retry_after_us = min_retry_us * self._random.uniform(1, 2)
            self._actions.append(i.RefuseCall(call.id, round(retry_after_us), reason))

    # --- time ---

    def _schedule_tick(self) -> None:
        """One timer, as long as a call is held or unanswered."""
        if self._calls and not self._ticking:
            self._ticking = True
            self._actions.append(i.SetTimer("tick", self._tick_us))
