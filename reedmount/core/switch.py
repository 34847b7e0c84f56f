"""The core: calls, attempts and the host of the decision module. It knows no wire and decides nothing."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta

from reedmount import interface as i
from reedmount.control import Controller
from reedmount.core.actors import Actor, Scheduler
from reedmount.core.checks import COUNTERS, invariant, log
from reedmount.core.clock import ZERO, Clock, micros, span, span_micros, whole_millis
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
REMEMBERED = 4096  # names of calls that are over


@dataclass(slots=True)
class Call:
    """A call from its offer to its end: one final answer, one attempt out at most."""

    number: int
    offer: Offer
    caller: Caller
    taken_at: datetime
    attempts: int = 0
    out: int | None = None  # the attempt that is out
    server: str = ""
    sent_at: datetime | None = None
    gone: bool = False  # nothing more is owed
    standing: bool = False
    also_at: set[str] = field(default_factory=set)  # servers to release it at once it is over
    progressed: bool = False  # its caller was told of this attempt or one before


class Switch:
    """Joins the fronts to the server side through the module, which alone decides."""

    def __init__(self, loop: Scheduler, settings: i.Settings, seed: int) -> None:
        self.settings = settings
        self._loop, self._clock, self._trace = loop, loop.clock, loop.trace
        self.lifecycle = Lifecycle(loop.clock, loop.trace)
        self._module = Controller(settings, seed)
        self._inbox: Actor[i.Event | i.Settings] = Actor(loop, self._handle)
        self._servers: Servers | None = None
        self.classes = {kind.name: kind for kind in settings.classes}
        self._leaving: dict[str, i.CallClass] = {}  # dropped, with calls open
        self._by_number: dict[int, Call] = {}
        self._by_name: dict[str, Call] = {}
        self._next = 1
        self._orphans: list[Callable[[str, int], None]] = []
        self._over: dict[str, None] = {}  # names that are over: a server repeats its releases
        self._unsent: dict[int, datetime] = {}  # calls of which no attempt went out yet, oldest first
        self._reports: dict[str, i.LoadReport] = {}  # of this turn
        self.recorder: CallRecorder | None = None
        self.on_attempt: Callable[[str, i.Outcome | None], None] | None = None  # None: it was sent

    def attach(self, servers: Servers) -> None:
        """Name the server side."""
        self._servers = servers

    def on_unknown_release(self, released: Callable[[str, int], None]) -> None:
        """Have a front told of the release of a call that is not known here (we have restarted since)."""
        self._orphans.append(released)

    def apply_settings(self, settings: i.Settings) -> None:
        """Go by new settings from now on; the calls that are here go on as they are.

        A class that is dropped lives until the last call is answered that came in under it.
        """
        self.settings = settings
        fresh = {kind.name: kind for kind in settings.classes}
        left = {call.offer.call_class for call in self._by_number.values() if not call.gone} - fresh.keys()
        self._leaving = {name: self.classes[name] for name in sorted(left)}
        self.classes = {**self._leaving, **fresh}
        self._inbox.post(replace(settings, classes=(*settings.classes, *self._leaving.values())))

    def has_call(self, name: str) -> bool:
        """Whether a call of this name is here, or was lately."""
        return name in self._by_name or name in self._over

    @property
    def clock(self) -> Clock:
        """The clock of all that is joined here."""
        return self._clock

    @property
    def is_idle(self) -> bool:
        """Whether no call is open or standing."""
        return not self._by_number

    @property
    def call_counts(self) -> dict[str, int]:
        """What is here, for the staff."""
        open_calls = self.unanswered
        return {"open": open_calls, "standing": sum(call.standing for call in self._by_number.values())}

    @property
    def unanswered(self) -> int:
        """How many calls are still owed their final answer."""
        return sum(not call.gone for call in self._by_number.values())

    @property
    def oldest_wait(self) -> timedelta:
        """How long the oldest call has waited of which no attempt went out yet."""
        if not self._unsent:
            return ZERO
        return self._clock.now() - next(iter(self._unsent.values()))

    # --- from the fronts ---

    def offer(self, offer: Offer, caller: Caller) -> bool:
        """A new call. False where its name is known already or its class is not: the front answers that."""
        if offer.name in self._by_name or offer.call_class not in self.classes:
            COUNTERS.add("calls.not_taken")
            return False
        COUNTERS.add("calls.taken")
        call = Call(self._next, offer, caller, self._clock.now())
        self._next += 1
        self._by_number[call.number] = self._by_name[offer.name] = call
        self._unsent[call.number] = call.taken_at
        if self.recorder is not None:
            self.recorder.call_offered(offer, call.taken_at)
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
        """The caller stopped waiting: nothing more is owed, and what is out for it is stopped."""
        call = self._by_name.get(name)
        if call is None or call.gone:
            return
        COUNTERS.add("calls.given_up")
        self._trace("call.given_up", call=name, attempts=call.attempts, server=call.server or "-")
        call.gone = True  # dropped once the module knows, lest it counts a set-up that was never sent
        self._inbox.post(i.CallerAbandoned(call.number))
        if call.out is not None:
            self._side.cancel(name, call.out)

    def answer_all_pending(self) -> None:
        """The end is near: whoever still waits hears now that nothing comes of it, and may call again."""
        for call in [call for call in self._by_number.values() if not call.gone]:
            COUNTERS.add("answered.at_the_end")
            self._cut_short(call, "the process ends")

    def _cut_short(self, call: Call, reason: str) -> None:
        """Nothing comes of it any more, whatever the module would still try: the answer, and word to all."""
        name, kind = call.offer.name, self.classes[call.offer.call_class]
        harmless = not call.attempts or kind.effect is i.Effect.REPEATABLE
        self._inbox.post(i.CallerAbandoned(call.number))
        if harmless:
            self._answer(call, "refused", reason, lambda call: call.caller.refused(name, ZERO))
        else:
            self._answer(call, "failed", reason, lambda call: call.caller.failed(name))
        if call.out is not None:
            self._side.cancel(name, call.out)

    def caller_released(self, name: str, cause: int) -> bool:
        """The caller ended a call that stands, or one from before our restart; False where it is unknown."""
        call = self._by_name.get(name)
        if call is None or not call.standing:
            self._side.release(None, name, cause)
            return False
        COUNTERS.add("released.by_caller")
        self._trace("call.released", call=name, server=call.server, by="caller", cause=cause)
        self._side.release(call.server, name, cause)
        self._end_standing(call, i.Outcome.CANCELLED, NO_REPORT)
        return True

    # --- from the server side ---

    def established(self, name: str, attempt: int, description: bytes) -> bool:
        """An attempt was answered. False where it is dead: the server side releases it."""
        call = self._by_name.get(name)
        if call is None or call.out != attempt:
            COUNTERS.add("answers.late")
            return False
        call.out = None
        delay = self._since(call)
        if call.gone:
            # It crossed the caller's going: nobody is there to talk to.
            COUNTERS.add("answers.late")
            self._post_end(call, i.Outcome.CANCELLED, i.Cause.NONE, NO_REPORT)
            self._drop(call)
            return False
        call.gone = call.standing = True
        self._tell_attempt(call.server, i.Outcome.COMPLETED)
        self._let_class_go(call.offer.call_class)
        COUNTERS.add("answered.stands")
        self._trace("call.stands", call=name, server=call.server, attempts=call.attempts,
                    after_ms=whole_millis(delay))  # fmt: skip
        self._look_at_the_clock(call, "stands")
        call.caller.answered(name, description)
        self._inbox.post(i.CallEstablished(call.number, call.attempts - 1, call.server, span_micros(delay)))
        return True

    def defer_release(self, name: str, server: str) -> bool:
        """Whether a call that an attempt given up at ``server`` was answered for is open or stands elsewhere.

        A release names the call and would cut that one: it is sent to that server once the call is over.
        """
        call = self._by_name.get(name)
        if call is None or call.gone and not call.standing:
            return False
        call.also_at.add(server)
        return True

    def progressed(self, name: str, attempt: int, progress: Progress, description: bytes = b"") -> None:
        """The server says how far the attempt that is out has come; a dead one's word goes nowhere."""
        call = self._by_name.get(name)
        if call is None or call.out != attempt or call.gone:
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
        """An attempt is over without an answer."""
        call = self._by_name.get(name)
        if call is None or call.out != attempt:
            return
        COUNTERS.add(f"attempts.{outcome.value.replace(' ', '_')}")
        self._trace("attempt.ended", call=name, attempt=attempt, server=call.server,
                    outcome=f'"{outcome.value}"', cause=cause.name)  # fmt: skip
        call.out = None
        self._tell_attempt(call.server, outcome)
        self._post_end(call, outcome, cause, report)
        if call.gone:
            self._drop(call)

    def server_released(
        self, name: str, cause: int, report: i.LoadReport = NO_REPORT, server: str | None = None
    ) -> bool:
        """A server says that a call is over; False where it is not known here.

        A release names the call and not an attempt of it, so it ends the call wherever that is: one whose
        answer has not come (it was delayed, or the attempt given up) gets no further attempt, and one that
        stands at another server is released there.
        """
        call = self._by_name.get(name)
        if call is not None and not call.standing and not call.gone:
            COUNTERS.add("released.before_answer")
            self._cut_short(call, "its server released it before its answer")
            return True
        if call is None or not call.standing:
            if call is None and name not in self._over:
                # From before our restart: the front finds its caller.
                self._remember(name)
                COUNTERS.add("released.unknown")
                self._trace("call.released_unknown", call=name, server=server or "-", cause=cause)
                for tell in self._orphans:
                    tell(name, cause)
            return False
        COUNTERS.add("released.by_server")
        self._trace("call.released", call=name, server=server or call.server, by="server", cause=cause)
        if server not in (None, call.server):
            self._side.release(call.server, name, CUT)
        call.caller.released(name, cause)
        self._end_standing(call, i.Outcome.COMPLETED if cause == NORMAL else i.Outcome.RESET, report)
        return True

    def server_lost(self, server: str, reason: str, before: datetime | None = None) -> None:
        """A server's process is gone: the calls sent there (before the start of a new one) are cut."""
        for call in list(self._by_number.values()):
            older = before is None or call.sent_at is None or call.sent_at < before
            if call.standing and call.server == server and older:
                self._lose(call, reason)

    def call_lost(self, name: str, server: str, reason: str) -> None:
        """Nothing more is to be heard of a call that stood at a server: it is cut."""
        call = self._by_name.get(name)
        if call is not None and call.standing and call.server == server:
            self._lose(call, reason)

    def _lose(self, call: Call, reason: str) -> None:
        COUNTERS.add("released.server_lost")
        self._trace("call.released", call=call.offer.name, server=call.server, by="border controller",
                    cause=CUT, reason=f'"{reason}"')  # fmt: skip
        call.caller.released(call.offer.name, CUT)
        self._end_standing(call, i.Outcome.RESET, NO_REPORT)

    def terminate(self, name: str) -> None:
        """A call that stands is ended towards both sides, whatever else did so: another has it now."""
        call = self._by_name.get(name)
        if call is not None and call.standing:
            COUNTERS.add("released.taken_over")
            call.caller.released(name, CUT)
            self._side.release(call.server, name, CUT)
            self._end_standing(call, i.Outcome.RESET, NO_REPORT)

    def load_reported(self, server: str, report: i.LoadReport) -> None:
        """A server told of its free lines unasked; those that tell in one turn go to the module as one."""
        if not self._reports:
            self._loop.call_soon(self._tell_reports)
        self._reports[server] = report

    def _tell_reports(self) -> None:
        reports, self._reports = self._reports, {}
        self._inbox.post(i.LoadReports(tuple(reports.items())))

    def pool_changed(self, version: int, kind: i.ListKind, entries: list[ListedServer]) -> None:
        """News of the pool: to the server side first, so that nothing queued there goes to a drain."""
        self._trace("list.changed", version=version, kind=kind.value, servers=len(entries),
                    leaving=sum(not entry.serving for entry in entries))  # fmt: skip
        self._side.servers_changed(entries)
        told = tuple(
            i.ServerEntry(
                server=entry.server,
                number=entry.number,
                state=_state(entry),
                started_us=0 if entry.started is None else micros(entry.started),
                band=entry.band,
            )
            for entry in entries
        )
        self._inbox.post(i.ServerList(version, kind, told))
        self.lifecycle.satisfy(Need.SERVERS)

    # --- the module ---

    @property
    def _side(self) -> Servers:
        if self._servers is None:
            raise RuntimeError("no server side is attached")
        return self._servers

    def _handle(self, event: i.Event | i.Settings) -> None:
        if isinstance(event, i.Settings):
            self._module.apply_settings(event)
            return
        for action in self._module.handle(micros(self._clock.now()), event):
            self._perform(action)
        if isinstance(event, i.CallerAbandoned):
            call = self._by_number.get(event.call)
            if call is not None and call.out is None and not call.standing:
                self._drop(call)

    def _perform(self, action: i.Action) -> None:
        match action:
            case i.SendSetup():
                self._send(action)
            case i.CancelAttempt(number, attempt):
                call = self._by_number.get(number)
                if call is not None and call.out == attempt:
                    self._side.cancel(call.offer.name, attempt)
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
                pass  # the pool's news comes by itself

    def _send(self, action: i.SendSetup) -> None:
        call = self._by_number.get(action.call)
        if call is None:
            return
        attempt = call.attempts
        call.attempts += 1
        if call.gone:
            # The caller left while the module's word was on its way: nothing was sent.
            self._inbox.post(self._end_event(call, attempt, action.server, i.Outcome.NOT_SENT))
            return
        if not invariant(call.out is None, "one_attempt_out"):
            return
        call.out, call.server, call.sent_at = attempt, action.server, self._clock.now()
        if call.progressed:
            call.progressed = False
            call.caller.progressed(call.offer.name, Progress.AGAIN, b"")
        COUNTERS.add("attempts.sent")
        self._unsent.pop(call.number, None)
        self._tell_attempt(action.server, None)
        offer = call.offer
        self._side.send(
            Setup(offer.name, attempt, action.server, offer.call_class, offer.number,
                  span(action.give_up_us), offer.description)
        )  # fmt: skip

    def _finish(self, number: int, what: str, reason: str, answer: Callable[[Call], None]) -> None:
        call = self._by_number.get(number)
        if call is None or call.gone:
            return  # its caller left while the answer was on its way
        invariant(call.out is None, "no_answer_with_an_attempt_out")
        self._answer(call, what, reason, answer)

    def _answer(self, call: Call, what: str, reason: str, answer: Callable[[Call], None]) -> None:
        """The final answer."""
        COUNTERS.add(f"answered.{what}")
        self._trace(f"call.{what}", call=call.offer.name, attempts=call.attempts, server=call.server or "-",
                    reason=f'"{reason}"')  # fmt: skip
        self._look_at_the_clock(call, what)
        if self.recorder is not None:
            self.recorder.call_rejected(
                call.offer.name, what, call.attempts, call.server, lambda: answer(call)
            )
        self._settle(call)
        if self.recorder is None:
            answer(call)

    def _look_at_the_clock(self, call: Call, what: str) -> None:
        """Count an answer past our own instant (``answered.overdue``), and one past its caller's, which is
        a call that may be lost (``answered.after_caller``); each kind has lines of its own in the log."""
        now, offer = self._clock.now(), call.offer
        if now <= offer.answer_by:
            return
        gone = offer.caller_gives_up_at is not None and now > offer.caller_gives_up_at
        COUNTERS.add("answered.after_caller" if gone else "answered.overdue")
        late = now - (
            offer.caller_gives_up_at if gone and offer.caller_gives_up_at is not None else offer.answer_by
        )
        kind = "after its caller's time" if gone else "overdue"
        held = now - call.taken_at
        log(f"{kind}: {offer.name} {what} {late} late, taken {held} ago, attempts {call.attempts}", kind)

    # --- calls ---

    def _tell_attempt(self, server: str, outcome: i.Outcome | None) -> None:
        if self.on_attempt is not None:
            self.on_attempt(server, outcome)

    def _since(self, call: Call) -> timedelta:
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
            closed=call.gone,
            delay_us=span_micros(self._since(call)),
            cause=cause,
            report=report,
        )

    def _post_end(self, call: Call, outcome: i.Outcome, cause: i.Cause, report: i.LoadReport) -> None:
        self._inbox.post(self._end_event(call, call.attempts - 1, call.server, outcome, cause, report))

    def _end_standing(self, call: Call, outcome: i.Outcome, report: i.LoadReport) -> None:
        if self.recorder is not None:
            self.recorder.call_ended(call.offer.name, outcome.value)
        self._post_end(call, outcome, i.Cause.NONE, report)
        self._drop(call)

    def _settle(self, call: Call) -> None:
        """Nothing more is owed; with nothing out it is forgotten."""
        call.gone = True
        if call.out is None:
            self._drop(call)

    def _remember(self, name: str) -> None:
        self._over[name] = None
        if len(self._over) > REMEMBERED:
            del self._over[next(iter(self._over))]

    def _let_class_go(self, name: str) -> None:
        if name in self._leaving and not any(
            call.offer.call_class == name and not call.gone for call in self._by_number.values()
        ):
            del self._leaving[name], self.classes[name]

    def _drop(self, call: Call) -> None:
        if self.recorder is not None:
            self.recorder.call_forgotten(call.offer.name, call.attempts, call.server)
        for server in sorted(call.also_at):
            self._side.release(server, call.offer.name, CUT)
        self._remember(call.offer.name)
        self._by_number.pop(call.number, None)
        self._unsent.pop(call.number, None)
        self._let_class_go(call.offer.call_class)
        if self._by_name.get(call.offer.name) is call:
            del self._by_name[call.offer.name]


def _state(entry: ListedServer) -> i.ServerState:
    if entry.removed:
        return i.ServerState.REMOVED
    if entry.standby:
        return i.ServerState.STANDBY
    return i.ServerState.SERVING if entry.serving else i.ServerState.DRAINING
