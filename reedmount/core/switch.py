"""The core: calls, attempts and the host of the decision module, independent of wire protocols."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta

from reedmount import interface as i
from reedmount.control import Controller
from reedmount.core.actors import Actor, Scheduler
from reedmount.core.address_holders import AddressHolders
from reedmount.core.bounded import BoundedDict
from reedmount.core.checks import COUNTERS, invariant, log
from reedmount.core.clock import ZERO, Clock, micros, span, span_micros, stamp, whole_millis
from reedmount.core.lifecycle import Lifecycle, Need
from reedmount.core.ports import (
    CUT,
    NORMAL,
    Caller,
    CallRecorder,
    ListedServer,
    Offer,
    Progress,
    Servers,
    Setup,
)

NO_REPORT = i.LoadReport()
MAX_ENDED_NAMES = 4096  # names of ended calls
MAX_CALL_MEMORY = 48 << 20  # bytes, of all open and established calls
UNPROVEN_SHARE = 0.5  # of that, for clients that have never had a call established


@dataclass(slots=True)
class Call:
    """A call from its offer to its end: one final answer, at most one attempt out."""

    number: int
    offer: Offer
    caller: Caller
    accepted_at: datetime
    attempts: int = 0
    attempt_out: int | None = None  # number of the attempt that is out
    server: str = ""
    sent_at: datetime | None = None
    memory: int = 0  # bytes
    settled: bool = False  # answered or abandoned: no final answer is due
    is_established: bool = False
    release_also_at: set[str] = field(default_factory=set)  # servers to send a release after its end
    progressed: bool = False  # its caller got a provisional response to this or an earlier attempt


class Switch:
    """Connects the fronts to the server side through the decision module."""

    def __init__(self, loop: Scheduler, settings: i.Settings, seed: int) -> None:
        self.settings = settings
        self._loop, self._clock, self._trace = loop, loop.clock, loop.trace
        self.lifecycle = Lifecycle(loop.clock, loop.trace)
        self._controller = Controller(settings, seed)
        self._inbox: Actor[i.Event | i.Settings] = Actor(loop, self._handle)
        self._servers: Servers | None = None
        self.classes = {kind.name: kind for kind in settings.classes}
        self._dropped_classes: dict[str, i.CallClass] = {}  # dropped from the settings, with calls still open
        self._by_number: dict[int, Call] = {}
        self._by_name: dict[str, Call] = {}
        self._next_number = 1
        self._unknown_release_callbacks: list[Callable[[str, int], None]] = []
        # Names of ended calls, since servers repeat releases and clients set-ups: whether a server had them.
        self._ended_names = BoundedDict[str, bool](MAX_ENDED_NAMES)
        self._call_memory = 0  # bytes, of all calls
        self._unsent: dict[int, datetime] = {}  # calls with no attempt sent yet, oldest first
        self._reports: dict[str, i.LoadReport] = {}  # of this turn
        self._addresses = AddressHolders()
        self.recorder: CallRecorder | None = None
        self.on_attempt: Callable[[str, i.Outcome | None], None] | None = None  # None: sent

    def attach(self, servers: Servers) -> None:
        """Set the server side."""
        self._servers = servers

    def on_unknown_release(self, callback: Callable[[str, int], None]) -> None:
        """Register a callback for releases of calls that are unknown here, such as ones before a restart."""
        self._unknown_release_callbacks.append(callback)

    def apply_settings(self, settings: i.Settings) -> None:
        """Apply new settings from now on; calls that are open keep theirs.

        A dropped class is kept until the last call of it has its final answer.
        """
        self.settings = settings
        current = {kind.name: kind for kind in settings.classes}
        still_used = {
            call.offer.call_class for call in self._by_number.values() if not call.settled
        } - current.keys()
        self._dropped_classes = {name: self.classes[name] for name in sorted(still_used)}
        self.classes = {**self._dropped_classes, **current}
        self._inbox.post(replace(settings, classes=(*settings.classes, *self._dropped_classes.values())))

    def has_call(self, name: str) -> bool:
        """Whether a call of this name is open or has ended recently."""
        return name in self._by_name or name in self._ended_names

    def may_have_run(self, name: str) -> bool:
        """Whether a call of this name, whose caller has left or that has ended, was sent to a server."""
        call = self._by_name.get(name)
        if call is not None:
            return call.settled and not call.is_established and call.attempts > 0
        return self._ended_names.get(name, False)

    def has_been_sent(self, name: str) -> bool:
        """Whether an open call of this name was sent to a server."""
        call = self._by_name.get(name)
        return call is not None and call.attempts > 0

    def names_taken(self) -> list[str]:
        """The names of all calls that are open or established, or ended lately and may have run."""
        return [*self._by_name, *(name for name, ran in self._ended_names.items() if ran)]

    def is_repeatable(self, call_class: str) -> bool:
        """Whether a call of this class may run twice."""
        return self.classes[call_class].effect is i.Effect.REPEATABLE

    @property
    def clock(self) -> Clock:
        """The clock of the event loop."""
        return self._clock

    @property
    def is_idle(self) -> bool:
        """Whether no call is open or established."""
        return not self._by_number

    @property
    def call_counts(self) -> dict[str, int]:
        """Numbers of open and established calls, for operators."""
        open_calls = self.unanswered
        return {"open": open_calls, "standing": sum(call.is_established for call in self._by_number.values())}

    @property
    def unanswered(self) -> int:
        """The number of calls without a final answer."""
        return sum(not call.settled for call in self._by_number.values())

    @property
    def oldest_wait(self) -> timedelta:
        """How long the oldest call without an attempt has waited."""
        if not self._unsent:
            return ZERO
        return self._clock.now() - next(iter(self._unsent.values()))

    # --- from the fronts ---

    def has_room_for(self, offer: Offer, proven: bool) -> bool:
        """Whether there is memory for a call.

        ``proven`` tells whether its client has had calls established: others may take a share only.
        """
        limit = MAX_CALL_MEMORY if proven else MAX_CALL_MEMORY * UNPROVEN_SHARE
        if self._call_memory + _memory_of(offer) <= limit:
            return True
        COUNTERS.add("calls.no_memory")
        return False

    def offer(self, offer: Offer, caller: Caller) -> bool:
        """Accept a new call. False where its name is in use or its class unknown: the front answers that."""
        if offer.name in self._by_name or offer.call_class not in self.classes:
            COUNTERS.add("calls.not_taken")
            return False
        COUNTERS.add("calls.taken")
        call = Call(self._next_number, offer, caller, self._clock.now())
        self._next_number += 1
        self._set_memory(call, _memory_of(offer))
        self._by_number[call.number] = self._by_name[offer.name] = call
        self._unsent[call.number] = call.accepted_at
        if self.recorder is not None:
            self.recorder.call_offered(offer, call.accepted_at)
        self._inbox.post(
            i.NewCall(
                call=call.number,
                call_class=offer.call_class,
                tenant=None,
                number=offer.number,
                first_choice=offer.first_choice,
                answer_by_us=micros(offer.answer_by),
                redialled=offer.redialled,
                was_cut=offer.was_cut,
            )
        )
        return True

    def caller_abandoned(self, name: str) -> None:
        """The caller gave up: no final answer is due, and an attempt that is out is cancelled."""
        call = self._by_name.get(name)
        if call is None or call.settled:
            return
        COUNTERS.add("calls.given_up")
        self._trace("call.given_up", call=name, attempts=call.attempts, server=call.server or "-")
        call.settled = True  # dropped once the module knows, or it would count a set-up that was never sent
        self._inbox.post(i.CallerAbandoned(call.number))
        if call.attempt_out is not None:
            self._server_side.cancel(name, call.attempt_out)

    def answer_all_pending(self) -> None:
        """Refuse or fail all open calls before shutdown, so that their callers can try again."""
        for call in [call for call in self._by_number.values() if not call.settled]:
            COUNTERS.add("answered.at_the_end")
            self._abort(call, "the process ends")

    def _abort(self, call: Call, reason: str) -> None:
        """End an open call whatever the module would still try: answer its caller and cancel its attempt."""
        name, kind = call.offer.name, self.classes[call.offer.call_class]
        safe_to_retry = not call.attempts or self.is_repeatable(kind.name)
        self._inbox.post(i.CallerAbandoned(call.number))
        if safe_to_retry:
            self._answer(call, "refused", reason, lambda call: call.caller.refused(name, ZERO))
        else:
            self._answer(call, "failed", reason, lambda call: call.caller.failed(name))
        if call.attempt_out is not None:
            self._server_side.cancel(name, call.attempt_out)

    def caller_released(self, name: str, cause: int) -> bool:
        """Release an established call, or one from before a restart; False where it is unknown."""
        call = self._by_name.get(name)
        if call is None or not call.is_established:
            self._server_side.release(None, name, cause)
            return False
        COUNTERS.add("released.by_caller")
        self._trace("call.released", call=name, server=call.server, by="caller", cause=cause)
        self._server_side.release(call.server, name, cause)
        self._end_established(call, i.Outcome.CANCELLED, NO_REPORT)
        return True

    # --- from the server side ---

    def established(self, name: str, attempt: int, description: bytes) -> bool:
        """An attempt was answered. False where it is no longer wanted: the server side then releases it."""
        call = self._by_name.get(name)
        if call is None or call.attempt_out != attempt:
            COUNTERS.add("answers.late")
            return False
        call.attempt_out = None
        delay = self._time_since_sent(call)
        if call.settled:
            # The answer crossed the cancel: the caller had given up.
            COUNTERS.add("answers.late")
            self._post_end(call, i.Outcome.CANCELLED, i.Cause.NONE, NO_REPORT)
            self._drop(call)
            return False
        call.settled = call.is_established = True
        call.offer = replace(call.offer, description=b"")
        self._set_memory(call, call.offer.overhead)
        self._notify_attempt(call.server, i.Outcome.COMPLETED)
        self._discard_unused_class(call.offer.call_class)
        COUNTERS.add("answered.stands")
        self._trace("call.stands", call=name, server=call.server, attempts=call.attempts,
                    after_ms=whole_millis(delay))  # fmt: skip
        self._check_deadline(call, "stands")
        call.caller.answered(name, description)
        self._inbox.post(i.CallEstablished(call.number, call.attempts - 1, call.server, span_micros(delay)))
        return True

    def defer_release(self, name: str, server: str) -> bool:
        """Whether a call is still open, or established elsewhere, after a given-up attempt at ``server`` was
        answered.

        A release names the call and would end that one, so it is sent to the server once the call is over.
        """
        call = self._by_name.get(name)
        if call is None or call.settled and not call.is_established:
            return False
        call.release_also_at.add(server)
        return True

    def progressed(self, name: str, attempt: int, progress: Progress, description: bytes = b"") -> None:
        """Pass on a provisional response to the attempt that is out; one to an earlier attempt is dropped."""
        call = self._by_name.get(name)
        if call is None or call.attempt_out != attempt or call.settled:
            COUNTERS.add("progress.late")
            return
        if progress is not Progress.AGAIN:
            call.progressed = True
            COUNTERS.add("progress.told")
        call.caller.progressed(name, progress, description)

    def attempt_ended(
        self,
        name: str,
        attempt: int,
        outcome: i.Outcome,
        cause: i.Cause = i.Cause.NONE,
        report: i.LoadReport = NO_REPORT,
    ) -> None:
        """An attempt has ended without an answer."""
        call = self._by_name.get(name)
        if call is None or call.attempt_out != attempt:
            return
        COUNTERS.add(f"attempts.{outcome.value.replace(' ', '_')}")
        self._trace("attempt.ended", call=name, attempt=attempt, server=call.server,
                    outcome=f'"{outcome.value}"', cause=cause.name)  # fmt: skip
        call.attempt_out = None
        self._notify_attempt(call.server, outcome)
        self._post_end(call, outcome, cause, report)
        if call.settled:
            self._drop(call)

    def server_released(
        self, name: str, cause: int, report: i.LoadReport = NO_REPORT, server: str | None = None
    ) -> bool:
        """A server released a call; False where the call is not known here.

        A release names the call and not the attempt, so it ends the call wherever that is: one without an
        answer (delayed, or its attempt given up) gets no further attempt, and one established at another
        server is released there.
        """
        call = self._by_name.get(name)
        if call is not None and not call.is_established and not call.settled:
            COUNTERS.add("released.before_answer")
            self._abort(call, "its server released it before its answer")
            return True
        if call is None or not call.is_established:
            if call is None and name not in self._ended_names:
                # From before a restart: a front may know its caller.
                self._ended_names[name] = True
                COUNTERS.add("released.unknown")
                self._trace("call.released_unknown", call=name, server=server or "-", cause=cause)
                for callback in self._unknown_release_callbacks:
                    callback(name, cause)
            return False
        COUNTERS.add("released.by_server")
        self._trace("call.released", call=name, server=server or call.server, by="server", cause=cause)
        if server not in (None, call.server):
            self._server_side.release(call.server, name, CUT)
        call.caller.released(name, cause)
        self._end_established(call, i.Outcome.COMPLETED if cause == NORMAL else i.Outcome.RESET, report)
        return True

    def server_lost(self, server: str, reason: str) -> None:
        """End the calls at a server whose process has ended."""
        for call in list(self._by_number.values()):
            if call.is_established and call.server == server:
                self._end_lost(call, reason)

    def move_calls(self, names: Iterable[str], successor: str) -> None:
        """Move established calls to the server whose process has them."""
        for name in names:
            call = self._by_name.get(name)
            if call is not None and call.is_established:
                COUNTERS.add("calls.moved")
                self._trace("call.moved", call=name, server=successor, before=call.server,
                            sent=stamp(call.sent_at))  # fmt: skip
                call.server = successor

    def call_lost(self, name: str, server: str, reason: str) -> None:
        """End a call established at a server from which no release can be expected any more."""
        call = self._by_name.get(name)
        if call is not None and call.is_established and call.server == server:
            self._end_lost(call, reason)

    def _end_lost(self, call: Call, reason: str) -> None:
        COUNTERS.add("released.server_lost")
        self._trace("call.released", call=call.offer.name, server=call.server, by="border controller",
                    cause=CUT, reason=f'"{reason}"')  # fmt: skip
        call.caller.released(call.offer.name, CUT)
        self._end_established(call, i.Outcome.RESET, NO_REPORT)

    def terminate(self, name: str) -> None:
        """End an established call towards both sides, as another instance has taken it over."""
        call = self._by_name.get(name)
        if call is not None and call.is_established:
            COUNTERS.add("released.taken_over")
            call.caller.released(name, CUT)
            self._server_side.release(call.server, name, CUT)
            self._end_established(call, i.Outcome.RESET, NO_REPORT)

    def load_reported(self, server: str, report: i.LoadReport) -> None:
        """Collect an unsolicited load report; those of one turn go to the module as one event."""
        if not self._reports:
            self._loop.call_soon(self._post_reports)
        self._reports[server] = report

    def _post_reports(self) -> None:
        reports, self._reports = self._reports, {}
        self._inbox.post(i.LoadReports(tuple(reports.items())))

    def pool_changed(self, version: int, kind: i.ListKind, entries: list[ListedServer]) -> None:
        """Apply a pool list: to the server side first, so that nothing queued there goes to a drain."""
        self._trace("list.changed", version=version, kind=kind.value, servers=len(entries),
                    leaving=sum(not entry.serving for entry in entries))  # fmt: skip
        entries = self._addresses.resolve(entries)
        for entry in entries:
            self._trace("list.server", server=entry.server, address=f"{entry.address[0]}:{entry.address[1]}",
                        state=_state(entry).value, started=stamp(entry.started))  # fmt: skip
        self._server_side.servers_changed(entries)
        listed = tuple(
            i.ServerEntry(
                server=entry.server,
                number=entry.number,
                state=_state(entry),
                started_us=0 if entry.started is None else micros(entry.started),
                band=entry.band,
            )
            for entry in entries
        )
        self._inbox.post(i.ServerList(version, kind, listed))
        self.lifecycle.satisfy(Need.SERVERS)

    # --- the module ---

    @property
    def _server_side(self) -> Servers:
        if self._servers is None:
            raise RuntimeError("no server side is attached")
        return self._servers

    def _handle(self, event: i.Event | i.Settings) -> None:
        if isinstance(event, i.Settings):
            self._controller.apply_settings(event)
            return
        for action in self._controller.handle(micros(self._clock.now()), event):
            self._perform(action)
        if isinstance(event, i.CallerAbandoned):
            call = self._by_number.get(event.call)
            if call is not None and call.attempt_out is None and not call.is_established:
                self._drop(call)

    def _perform(self, action: i.Action) -> None:
        match action:
            case i.SendSetup():
                self._send(action)
            case i.CancelAttempt(number, attempt):
                call = self._by_number.get(number)
                if call is not None and call.attempt_out == attempt:
                    self._server_side.cancel(call.offer.name, attempt)
            case i.RefuseCall(number, pause_us, reason):
                pause = span(pause_us)
                self._finish(
                    number, "refused", reason.value, lambda call: call.caller.refused(call.offer.name, pause)
                )
            case i.FailCall(number, reason):
                self._finish(number, "failed", reason.value, lambda call: call.caller.failed(call.offer.name))
            case i.SetTimer(name, after_us):
                self._loop.call_later(span(after_us), lambda: self._inbox.post(i.TimerFired(name)))
            case i.Log(text):
                log(text, text.partition(" ")[2])  # without the server's name
            case i.Subscribe():
                pass  # pool updates come unasked

    def _send(self, action: i.SendSetup) -> None:
        call = self._by_number.get(action.call)
        if call is None:
            return
        attempt = call.attempts
        call.attempts += 1
        if call.settled:
            # The caller left while the module's action was pending: nothing was sent.
            self._inbox.post(self._end_event(call, attempt, action.server, i.Outcome.NOT_SENT))
            return
        if not invariant(call.attempt_out is None, "one_attempt_out"):
            return
        call.attempt_out, call.server, call.sent_at = attempt, action.server, self._clock.now()
        if call.progressed:
            call.progressed = False
            call.caller.progressed(call.offer.name, Progress.AGAIN, b"")
        COUNTERS.add("attempts.sent")
        self._unsent.pop(call.number, None)
        self._notify_attempt(action.server, None)
        offer = call.offer
        self._server_side.send(
            Setup(offer.name, attempt, action.server, offer.call_class, offer.number,
                  span(action.give_up_us), offer.description)
        )  # fmt: skip

    def _finish(self, number: int, what: str, reason: str, answer: Callable[[Call], None]) -> None:
        call = self._by_number.get(number)
        if call is None or call.settled:
            return  # its caller left while the answer was pending
        invariant(call.attempt_out is None, "no_answer_with_an_attempt_out")
        self._answer(call, what, reason, answer)

    def _answer(self, call: Call, what: str, reason: str, answer: Callable[[Call], None]) -> None:
        """Send the final answer, after recording it where there is a recorder."""
        COUNTERS.add(f"answered.{what}")
        self._trace(f"call.{what}", call=call.offer.name, attempts=call.attempts, server=call.server or "-",
                    reason=f'"{reason}"')  # fmt: skip
        self._check_deadline(call, what)
        if self.recorder is not None:
            self.recorder.call_rejected(
                call.offer.name, what, call.attempts, call.server, lambda: answer(call)
            )
        self._mark_settled(call)
        if self.recorder is None:
            answer(call)

    def _check_deadline(self, call: Call, what: str) -> None:
        """Count and log a late answer: past our own deadline (``answered.overdue``), or past its caller's, so
        that the call may be lost (``answered.after_caller``)."""
        now, offer = self._clock.now(), call.offer
        if now <= offer.answer_by:
            return
        caller_left = offer.caller_gives_up_at is not None and now > offer.caller_gives_up_at
        COUNTERS.add("answered.after_caller" if caller_left else "answered.overdue")
        late = now - (
            offer.caller_gives_up_at
            if caller_left and offer.caller_gives_up_at is not None
            else offer.answer_by
        )
        kind = "after its caller's time" if caller_left else "overdue"
        held = now - call.accepted_at
        log(f"{kind}: {offer.name} {what} {late} late, taken {held} ago, attempts {call.attempts}", kind)

    # --- calls ---

    def _notify_attempt(self, server: str, outcome: i.Outcome | None) -> None:
        if self.on_attempt is not None:
            self.on_attempt(server, outcome)

    def _time_since_sent(self, call: Call) -> timedelta:
        now = self._clock.now()
        return now - (call.sent_at or now)

    def _end_event(
        self, call: Call, attempt: int, server: str, outcome: i.Outcome, cause: i.Cause = i.Cause.NONE,
        report: i.LoadReport = NO_REPORT,
    ) -> i.AttemptEnded:  # fmt: skip
        return i.AttemptEnded(
            call=call.number,
            attempt=attempt,
            server=server,
            outcome=outcome,
            closed=call.settled,
            delay_us=span_micros(self._time_since_sent(call)),
            cause=cause,
            report=report,
        )

    def _post_end(self, call: Call, outcome: i.Outcome, cause: i.Cause, report: i.LoadReport) -> None:
        self._inbox.post(self._end_event(call, call.attempts - 1, call.server, outcome, cause, report))

    def _end_established(self, call: Call, outcome: i.Outcome, report: i.LoadReport) -> None:
        if self.recorder is not None:
            self.recorder.call_ended(call.offer.name, outcome.value)
        self._post_end(call, outcome, i.Cause.NONE, report)
        self._drop(call)

    def _mark_settled(self, call: Call) -> None:
        """Mark that no final answer is due; a call with no attempt out is dropped."""
        call.settled = True
        if call.attempt_out is None:
            self._drop(call)

    def _discard_unused_class(self, name: str) -> None:
        if name in self._dropped_classes and not any(
            call.offer.call_class == name and not call.settled for call in self._by_number.values()
        ):
            del self._dropped_classes[name], self.classes[name]

    def _set_memory(self, call: Call, size: int) -> None:
        self._call_memory += size - call.memory
        call.memory = size

    def _drop(self, call: Call) -> None:
        self._set_memory(call, 0)
        if self.recorder is not None:
            self.recorder.call_forgotten(call.offer.name, call.attempts, call.server)
        for server in sorted(call.release_also_at):
            self._server_side.release(server, call.offer.name, CUT)
        self._ended_names[call.offer.name] = call.attempts > 0
        self._by_number.pop(call.number, None)
        self._unsent.pop(call.number, None)
        self._discard_unused_class(call.offer.call_class)
        if self._by_name.get(call.offer.name) is call:
            del self._by_name[call.offer.name]


def _memory_of(offer: Offer) -> int:
    """The bytes that a call takes until it is answered."""
    return offer.overhead + max(offer.size, len(offer.description))


def _state(entry: ListedServer) -> i.ServerState:
    if entry.removed:
        return i.ServerState.REMOVED
    if entry.standby:
        return i.ServerState.STANDBY
    return i.ServerState.SERVING if entry.serving else i.ServerState.DRAINING
