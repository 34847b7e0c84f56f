"""Shared by the tests: plain settings, short event builders and a bench that checks the five rules."""

from __future__ import annotations

from dataclasses import replace

from reedmount import interface as i
from reedmount.control import Controller

MS = 1_000
S = 1_000_000
T0 = 5_000 * S

SMALL = i.CallClass("small", 1.0, 0.25, 1_500 * MS, 9 * S, i.Effect.REPEATABLE, None)
GREAT = i.CallClass("great", 3.0, 0.25, 1_500 * MS, 9 * S, i.Effect.REPEATABLE, None)
ONCE = i.CallClass("once", 1.0, 0.25, 1_500 * MS, 9 * S, i.Effect.ONCE, None)

SETTINGS = i.Settings(
    instances=4,
    classes=(SMALL, GREAT, ONCE),
    tenants=(i.Tenant("north", 10.0), i.Tenant("south", 10.0)),
    over_quota_share=0.1,
    resend_gap_us=500 * MS,
    release_wait_us=300 * MS,
    cold_us=14 * S,
    cold_start_share=0.3,
    fall_multiple=3.0,
    fall_span_us=1_500 * MS,
    max_attempts=4,
    may_cancel=True,
    redials_marked=True,
    subscribe=False,
)
NO_REPORT = i.LoadReport()


def entry(server: str, state: i.ServerState = i.ServerState.SERVING, started_us: int = 0) -> i.ServerEntry:
    return i.ServerEntry(server, {"a": 1, "b": 2, "c": 3}.get(server, 9), state, started_us)


def pool(*entries: i.ServerEntry, version: int = 1, kind: i.ListKind = i.ListKind.WHOLE) -> i.ServerList:
    return i.ServerList(version, kind, tuple(entries))


class Bench:
    """One controller with a clock; records every action and checks the rules at each."""

    def __init__(self, settings: i.Settings = SETTINGS, seed: int = 1) -> None:
        self.settings = settings
        self.controller = Controller(settings, seed)
        self.now = T0
        self.log: list[tuple[int, i.Action]] = []
        self.sends: dict[int, list[i.SendSetup]] = {}
        self.out: dict[int, int] = {}
        self.not_before_us: dict[int, int] = {}
        self.awaiting_answer: dict[int, int] = {}
        self.final_answers: dict[int, i.Action] = {}
        self.not_serving: set[str] = set()
        self.timers: list[tuple[int, str]] = []
        self.next_call = 1

    def feed(self, event: i.Event) -> list[i.Action]:
        if isinstance(event, i.ServerList):
            for item in event.entries:
                if item.state is i.ServerState.SERVING:
                    self.not_serving.discard(item.server)
                else:
                    self.not_serving.add(item.server)
        if isinstance(event, i.NewCall):
            self.awaiting_answer[event.call] = event.answer_by_us
        actions = self.controller.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            self._check_rules(action)
        return actions

    def _check_rules(self, action: i.Action) -> None:
        if isinstance(action, i.SendSetup):
            assert action.call in self.awaiting_answer, "sent after its final answer"
            assert action.call not in self.out, "two attempts out"
            assert self.now >= self.not_before_us.get(action.call, 0), "sent before the release wait was over"
            assert action.server not in self.not_serving, "sent to a draining or removed server"
            assert len(self.sends.get(action.call, [])) < self.settings.max_attempts, "too many attempts"
            self.sends.setdefault(action.call, []).append(action)
            self.out[action.call] = len(self.sends[action.call]) - 1
        elif isinstance(action, (i.RefuseCall, i.FailCall)):
            assert action.call in self.awaiting_answer, "a second final answer"
            assert action.call not in self.out, "final answer with an attempt out"
            del self.awaiting_answer[action.call]
            self.final_answers[action.call] = action
        elif isinstance(action, i.SetTimer):
            self.timers.append((self.now + action.after_us, action.name))

    def call(
        self,
        kind: str = "small",
        first: int | None = 1,
        left_us: int = 3 * S,
        tenant: str | None = None,
        number: str | None = None,
        redialled: bool = False,
    ) -> int:
        call = self.next_call
        self.next_call += 1
        self.feed(i.NewCall(call, kind, tenant, number, first, self.now + left_us, redialled, False))
        return call

    def where(self, call: int) -> str | None:
        """The server to which an attempt of the call is out."""
        return self.sends[call][-1].server if call in self.out else None

    def answer_call(self, call: int, delay_us: int = 50 * MS) -> None:
        attempt = self.out.pop(call)
        del self.awaiting_answer[call]
        self.feed(i.CallEstablished(call, attempt, self.sends[call][attempt].server, delay_us))

    def end_attempt(
        self,
        call: int,
        outcome: i.Outcome,
        cause: i.Cause = i.Cause.NONE,
        report: i.LoadReport = NO_REPORT,
    ) -> None:
        attempt = self.out.pop(call)
        if outcome in (i.Outcome.TIMED_OUT, i.Outcome.RESET, i.Outcome.CANCELLED):
            self.not_before_us[call] = self.now + self.settings.release_wait_us
        server = self.sends[call][attempt].server
        self.feed(i.AttemptEnded(call, attempt, server, outcome, False, 50 * MS, cause, report))

    def report(
        self,
        server: str,
        wait_us: int | None = None,
        free: float | None = None,
        lines: float | None = None,
    ) -> None:
        """Feed a load report, as it arrives with the release of an old call."""
        report = i.LoadReport(free_lines=free, lines=lines, wait_us=wait_us)
        self.feed(i.AttemptEnded(0, 0, server, i.Outcome.COMPLETED, True, S, i.Cause.NONE, report))

    def run_for(self, span_us: int) -> None:
        """Advance the clock; timers fire, and attempts past their time are timed out."""
        end = self.now + span_us
        while self.timers and min(self.timers)[0] <= end:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            self.time_out_attempts()
            self.feed(i.TimerFired(timer[1]))
        self.now = end
        self.time_out_attempts()

    def time_out_attempts(self) -> None:
        for call in [call for call in self.out if self.awaiting_answer[call] <= self.now]:
            self.end_attempt(call, i.Outcome.TIMED_OUT)

    def overdue(self) -> list[int]:
        return [call for call, due in self.awaiting_answer.items() if due < self.now]


def with_pool(*servers: str, seed: int = 1, **changes: object) -> Bench:
    """A bench whose controller knows warm servers by these names (numbers: a 1, b 2, c 3)."""
    bench = Bench(replace(SETTINGS, **changes), seed)  # type: ignore[arg-type]
    bench.feed(pool(*(entry(server) for server in servers)))
    return bench
