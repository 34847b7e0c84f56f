"""One border controller of the fleet: the real control module, and a model of the core around it."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from reedmount import interface as i
from reedmount.control import Controller
from standins.fleet.processor import Processor, SetUp


class FleetInterface(Protocol):
    """What an instance needs from the fleet."""

    @property
    def now_us(self) -> int:
        """The time in microseconds."""

    @property
    def settings(self) -> i.Settings:
        """The settings of each instance."""

    def call_later(self, delay_s: float, work: Callable[[], None]) -> None:
        """Run a function after a delay."""

    def latency_s(self, instance: Instance, server: Processor) -> float | None:
        """Return the latency of a message, None if it is lost."""

    def find(self, server: str) -> Processor | None:
        """Return the call server of that name, if it exists."""

    def record_sent(self, instance: Instance, server: Processor) -> None:
        """Record that a set-up was sent."""

    @property
    def connection_limits(self) -> tuple[int, int]:
        """The limits on connections of an instance, to one call server and in total."""


class CallerInterface(Protocol):
    """A caller, as an instance sees it."""

    number: int

    def rejected(self, how: str, pause_s: float) -> None:
        """The try ended without an established call."""

    def established(self, server: Processor) -> None:
        """The call is established."""


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call without a final answer."""

    caller: CallerInterface
    attempts: int = 0
    setup: SetUp | None = None
    server: Processor | None = None
    sent_us: int = 0
    abandoned: bool = False


class Instance:
    """A control module with its calls, attempts and connections; ``kill`` and ``start`` restart it."""

    def __init__(self, fleet: FleetInterface, number: int, zone: int, seeds: random.Random) -> None:
        self.fleet, self.number, self.zone, self._seeds = fleet, number, zone, seeds
        self.alive = False
        self.opened = 0  # connections
        self.connections: dict[str, int] = {}  # connections to each server
        self._server_list: tuple[int, tuple[i.ServerEntry, ...]] = (0, ())
        self._run = 0
        self._next_number = 1
        self.pending: dict[int, PendingCall] = {}

    def start(self, server_list: tuple[i.ServerEntry, ...] | None = None) -> None:
        """Start a new process with the given server list, or with the last one of the previous process."""
        self.alive = True
        self._server_list = self._server_list if server_list is None else (1, server_list)
        self._run += 1
        self.module = Controller(self.fleet.settings, self._seeds.getrandbits(63))
        self._inbox: deque[i.Event] = deque()
        self._busy = False
        version, entries = self._server_list
        self._handle(i.ServerList(version, i.ListKind.SAVED, entries))

    def kill(self) -> None:
        """End the process at once; its calls and connections are lost."""
        self.alive = False
        for call in list(self.pending.values()):
            if call.setup is not None:
                call.setup.give_up()
            if not call.abandoned:
                call.caller.rejected("lost", 0.0)
        self.pending.clear()
        for name, count in self.connections.items():
            server = self.fleet.find(name)
            if server is not None:
                server.disconnect(count)
        self.connections.clear()

    def list_changed(self, version: int, entries: tuple[i.ServerEntry, ...]) -> None:
        """Apply a change of the server list; an instance that is not running ignores it."""
        old = {entry.server: entry for entry in self._server_list[1]}
        for entry in entries:
            old[entry.server] = entry
        full_list = tuple(entry for entry in old.values() if entry.state is not i.ServerState.REMOVED)
        if self.alive:
            self._server_list = (version, full_list)
            self._handle(i.ServerList(version, i.ListKind.CHANGES, entries))

    def offer(self, caller: CallerInterface, kind: str, number: str, first_choice: int, wait_s: float) -> int:
        """Offer a try of a caller; returns its call number."""
        name = self._next_number
        self._next_number += 1
        self.pending[name] = PendingCall(caller)
        deadline_us = self.fleet.now_us + round(wait_s * 1e6)
        self._handle(i.NewCall(name, kind, None, number, first_choice, deadline_us, False, False))
        return name

    def abandon(self, name: int) -> None:
        """Handle a caller that abandons its try."""
        call = self.pending.get(name)
        if call is None or call.abandoned:
            return
        call.abandoned = True
        self._handle(i.CallerAbandoned(name))
        if call.setup is not None:
            self._abort_attempt(name, call, call.attempts - 1, i.Outcome.CANCELLED, i.Cause.NONE)
        self.pending.pop(name, None)

    # --- the module ---

    def _handle(self, event: i.Event) -> None:
        self._inbox.append(event)
        if self._busy:
            return
        self._busy = True
        while self._inbox:
            for action in self.module.handle(self.fleet.now_us, self._inbox.popleft()):
                self._execute(action)
        self._busy = False

    def _execute(self, action: i.Action) -> None:
        match action:
            case i.SendSetup(name, server, give_up_us):
                self._send(name, server, give_up_us)
            case i.CancelAttempt(name, attempt):
                call = self.pending.get(name)
                if call is not None and call.setup is not None and call.attempts - 1 == attempt:
                    self._abort_attempt(name, call, attempt, i.Outcome.CANCELLED, i.Cause.NONE)
            case i.RefuseCall(name, pause_us):
                self._answer(name, "refused", pause_us / 1e6)
            case i.FailCall(name):
                self._answer(name, "failed", 0.0)
            case i.SetTimer(name, after_us):
                run = self._run
                self.fleet.call_later(after_us / 1e6, lambda: self._timer(run, name))
            case _:
                pass

    def _timer(self, run: int, name: str) -> None:
        if self.alive and run == self._run:
            self._handle(i.TimerFired(name))

    def _answer(self, name: int, how: str, pause_s: float) -> None:
        call = self.pending.pop(name, None)
        if call is not None and not call.abandoned:
            call.caller.rejected(how, pause_s)

    def _send(self, name: int, server_name: str, give_up_us: int) -> None:
        call = self.pending.get(name)
        if call is None:
            return
        attempt = call.attempts
        call.attempts += 1
        server = self.fleet.find(server_name)
        call.sent_us = self.fleet.now_us
        if server is None or call.abandoned:
            self._attempt_ended(name, attempt, server_name, i.Outcome.NOT_SENT, i.Cause.NONE, i.LoadReport())
            return
        run = self._run
        latency_s = self.fleet.latency_s(self, server)
        call.server = server
        if not self._acquire_connection(server):
            self._attempt_ended(
                name, attempt, server_name, i.Outcome.UNREACHABLE, i.Cause.NONE, i.LoadReport()
            )
            return
        self.fleet.record_sent(self, server)
        holder: list[SetUp | None] = [None]

        def respond(outcome: i.Outcome | None, cause: i.Cause) -> None:
            return_latency_s = self.fleet.latency_s(self, server)
            if return_latency_s is not None:
                self.fleet.call_later(
                    return_latency_s, lambda: self._on_response(run, name, attempt, server, outcome, cause)
                )

        def deliver() -> None:
            if server.down:
                respond(i.Outcome.UNREACHABLE, i.Cause.NONE)
                return
            delivered = server.set_up(respond)
            if holder[0] is None or not holder[0].finished:
                holder[0] = delivered

        delayed = _DelayedSetUp(holder)
        call.setup = delayed
        if latency_s is not None:
            self.fleet.call_later(latency_s, lambda: None if delayed.finished else deliver())
        self.fleet.call_later(give_up_us / 1e6, lambda: self._expire(run, name, attempt))

    def _acquire_connection(self, server: Processor) -> bool:
        """Find a connection for a set-up: a free one, else a new one, else a shared one."""
        busy = sum(call.setup is not None and call.server is server for call in self.pending.values())
        held = self.connections.get(server.name, 0)
        per_server, total = self.fleet.connection_limits
        if busy >= held and held < max(1, min(per_server, total // max(1, len(self.connections) + 1))):
            if server.connect():
                self.connections[server.name] = held + 1
                self.opened += 1
                if not held:
                    self.report_received(server)  # a new connection begins with a report of free lines
            elif not held:
                return False
        return True

    def _on_response(
        self, run: int, name: int, attempt: int, server: Processor, outcome: i.Outcome | None, cause: i.Cause
    ) -> None:
        call = self.pending.get(name)
        if run != self._run or not self.alive or call is None or call.attempts - 1 != attempt:
            return
        if call.setup is None:
            return
        call.setup = None
        if outcome is not None:
            self._attempt_ended(name, attempt, server.name, outcome, cause, server.report, call)
            return
        self.pending.pop(name, None)
        delay = self.fleet.now_us - call.sent_us
        self._handle(i.CallEstablished(name, attempt, server.name, delay))
        call.caller.established(server)

    def _expire(self, run: int, name: int, attempt: int) -> None:
        call = self.pending.get(name)
        if run == self._run and call is not None and call.setup is not None and call.attempts - 1 == attempt:
            self._abort_attempt(name, call, attempt, i.Outcome.TIMED_OUT, i.Cause.NONE)

    def _abort_attempt(
        self, name: int, call: PendingCall, attempt: int, outcome: i.Outcome, cause: i.Cause
    ) -> None:
        if call.setup is not None:
            call.setup.give_up()
            call.setup = None
        server = call.server.name if call.server is not None else ""
        self._attempt_ended(name, attempt, server, outcome, cause, i.LoadReport(), call)

    def _attempt_ended(
        self, name: int, attempt: int, server: str, outcome: i.Outcome, cause: i.Cause, load: i.LoadReport,
        call: PendingCall | None = None,
    ) -> None:  # fmt: skip
        sent = call.sent_us if call is not None else self.fleet.now_us
        closed = call is not None and call.abandoned
        delay = self.fleet.now_us - sent
        self._handle(i.AttemptEnded(name, attempt, server, outcome, closed, delay, cause, load))

    def report_received(self, server: Processor) -> None:
        """Handle a report of free lines, received only over an open connection."""
        if self.alive and server.name in self.connections:
            self._handle(i.LoadReports(((server.name, server.report),)))


class _DelayedSetUp(SetUp):
    """A set-up in transit or at its server; one given up in transit is never delivered."""

    def __init__(self, holder: list[SetUp | None]) -> None:
        self._holder = holder
        self.finished = False

    def give_up(self) -> None:
        """Cancel the set-up."""
        self.finished = True
        if self._holder[0] is not None:
            self._holder[0].give_up()
