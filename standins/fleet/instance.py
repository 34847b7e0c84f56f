"""One border controller of the fleet: the real module, and what its core would do with the module's words."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from reedmount import interface as i
from reedmount.control import Controller
from standins.fleet.processor import Processor, SetUp


class World(Protocol):
    """What an instance needs of the fleet round it."""

    @property
    def now_us(self) -> int:
        """The time."""

    @property
    def settings(self) -> i.Settings:
        """What each instance is told."""

    def after(self, span_s: float, work: Callable[[], None]) -> None:
        """Do it after a span."""

    def way_s(self, instance: Instance, server: Processor) -> float | None:
        """How long a message takes; None where it never comes."""

    def find(self, server: str) -> Processor | None:
        """The call server of that name, where there is one."""

    def sent(self, instance: Instance, server: Processor) -> None:
        """A set-up has gone out."""

    @property
    def lanes(self) -> tuple[int, int]:
        """How many connections an instance holds to one call server, and in all."""


class Try(Protocol):
    """A caller's try, as an instance sees it."""

    number: int

    def answered(self, how: str, pause_s: float) -> None:
        """Its final answer."""

    def stands(self, server: Processor) -> None:
        """Its final answer: it stands."""


@dataclass(slots=True, eq=False)
class Open:
    """A call that is owed an answer."""

    caller: Try
    attempts: int = 0
    out: SetUp | None = None
    server: Processor | None = None
    sent_us: int = 0
    gone: bool = False


class Instance:
    """A module with its calls, attempts and connections; ``kill`` and ``start`` make a new one of it."""

    def __init__(self, world: World, number: int, zone: int, seeds: random.Random) -> None:
        self.world, self.number, self.zone, self._seeds = world, number, zone, seeds
        self.alive = False
        self.opened = 0  # connections
        self.held: dict[str, int] = {}  # connections to each server
        self._told: tuple[int, tuple[i.ServerEntry, ...]] = (0, ())
        self._life = 0
        self._next = 1
        self.open: dict[int, Open] = {}

    def start(self, known: tuple[i.ServerEntry, ...] | None = None) -> None:
        """A new process; it knows the list as given, else as the one before it last had it."""
        self.alive = True
        self._told = self._told if known is None else (1, known)
        self._life += 1
        self.module = Controller(self.world.settings, self._seeds.getrandbits(63))
        self._inbox: deque[i.Event] = deque()
        self._busy = False
        version, entries = self._told
        self._event(i.ServerList(version, i.ListKind.SAVED, entries))

    def kill(self) -> None:
        """It is gone at once, with all that it held."""
        self.alive = False
        for call in list(self.open.values()):
            if call.out is not None:
                call.out.give_up()
            if not call.gone:
                call.caller.answered("lost", 0.0)
        self.open.clear()
        for name, count in self.held.items():
            server = self.world.find(name)
            if server is not None:
                server.leave(count)
        self.held.clear()

    def news(self, version: int, entries: tuple[i.ServerEntry, ...]) -> None:
        """The list has changed; it is remembered also by one that is dead, as its place is told later."""
        old = {entry.server: entry for entry in self._told[1]}
        for entry in entries:
            old[entry.server] = entry
        whole = tuple(entry for entry in old.values() if entry.state is not i.ServerState.REMOVED)
        if self.alive:
            self._told = (version, whole)
            self._event(i.ServerList(version, i.ListKind.CHANGES, entries))

    def offer(self, caller: Try, kind: str, number: str, first_choice: int, wait_s: float) -> int:
        """A caller's try; its number here."""
        name = self._next
        self._next += 1
        self.open[name] = Open(caller)
        by = self.world.now_us + round(wait_s * 1e6)
        self._event(i.NewCall(name, kind, None, number, first_choice, by, False, False))
        return name

    def leave(self, name: int) -> None:
        """The caller waits no more."""
        call = self.open.get(name)
        if call is None or call.gone:
            return
        call.gone = True
        self._event(i.CallerAbandoned(name))
        if call.out is not None:
            self._end(name, call, call.attempts - 1, i.Outcome.CANCELLED, i.Cause.NONE)
        self.open.pop(name, None)

    # --- the module ---

    def _event(self, event: i.Event) -> None:
        self._inbox.append(event)
        if self._busy:
            return
        self._busy = True
        while self._inbox:
            for action in self.module.handle(self.world.now_us, self._inbox.popleft()):
                self._do(action)
        self._busy = False

    def _do(self, action: i.Action) -> None:
        match action:
            case i.SendSetup(name, server, give_up_us):
                self._send(name, server, give_up_us)
            case i.CancelAttempt(name, attempt):
                call = self.open.get(name)
                if call is not None and call.out is not None and call.attempts - 1 == attempt:
                    self._end(name, call, attempt, i.Outcome.CANCELLED, i.Cause.NONE)
            case i.RefuseCall(name, pause_us):
                self._answer(name, "refused", pause_us / 1e6)
            case i.FailCall(name):
                self._answer(name, "failed", 0.0)
            case i.SetTimer(name, after_us):
                life = self._life
                self.world.after(after_us / 1e6, lambda: self._timer(life, name))
            case _:
                pass

    def _timer(self, life: int, name: str) -> None:
        if self.alive and life == self._life:
            self._event(i.TimerFired(name))

    def _answer(self, name: int, how: str, pause_s: float) -> None:
        call = self.open.pop(name, None)
        if call is not None and not call.gone:
            call.caller.answered(how, pause_s)

    def _send(self, name: int, server_name: str, give_up_us: int) -> None:
        call = self.open.get(name)
        if call is None:
            return
        attempt = call.attempts
        call.attempts += 1
        server = self.world.find(server_name)
        call.sent_us = self.world.now_us
        if server is None or call.gone:
            self._ended(name, attempt, server_name, i.Outcome.NOT_SENT, i.Cause.NONE, i.LoadReport())
            return
        life = self._life
        way_s = self.world.way_s(self, server)
        call.server = server
        if not self._lane(server):
            self._ended(name, attempt, server_name, i.Outcome.UNREACHABLE, i.Cause.NONE, i.LoadReport())
            return
        self.world.sent(self, server)
        holder: list[SetUp | None] = [None]

        def back(outcome: i.Outcome | None, cause: i.Cause) -> None:
            home = self.world.way_s(self, server)
            if home is not None:
                self.world.after(home, lambda: self._heard(life, name, attempt, server, outcome, cause))

        def come() -> None:
            if server.down:
                back(i.Outcome.UNREACHABLE, i.Cause.NONE)
                return
            made = server.set_up(back)
            if holder[0] is None or not holder[0].over:
                holder[0] = made

        waiting = _Waiting(holder)
        call.out = waiting
        if way_s is not None:
            self.world.after(way_s, lambda: None if waiting.over else come())
        self.world.after(give_up_us / 1e6, lambda: self._expire(life, name, attempt))

    def _lane(self, server: Processor) -> bool:
        """A connection for a set-up: one that is free, else a new one, else one that others use as well."""
        busy = sum(call.out is not None and call.server is server for call in self.open.values())
        held = self.held.get(server.name, 0)
        most, in_all = self.world.lanes
        if busy >= held and held < max(1, min(most, in_all // max(1, len(self.held) + 1))):
            if server.connect():
                self.held[server.name] = held + 1
                self.opened += 1
                if not held:
                    self.hear(server)  # the state of its lines comes first on a new connection
            elif not held:
                return False
        return True

    def _heard(
        self, life: int, name: int, attempt: int, server: Processor, outcome: i.Outcome | None, cause: i.Cause
    ) -> None:
        call = self.open.get(name)
        if life != self._life or not self.alive or call is None or call.attempts - 1 != attempt:
            return
        if call.out is None:
            return
        call.out = None
        if outcome is not None:
            self._ended(name, attempt, server.name, outcome, cause, server.report, call)
            return
        self.open.pop(name, None)
        delay = self.world.now_us - call.sent_us
        self._event(i.CallEstablished(name, attempt, server.name, delay))
        call.caller.stands(server)

    def _expire(self, life: int, name: int, attempt: int) -> None:
        call = self.open.get(name)
        if life == self._life and call is not None and call.out is not None and call.attempts - 1 == attempt:
            self._end(name, call, attempt, i.Outcome.TIMED_OUT, i.Cause.NONE)

    def _end(self, name: int, call: Open, attempt: int, outcome: i.Outcome, cause: i.Cause) -> None:
        if call.out is not None:
            call.out.give_up()
            call.out = None
        server = call.server.name if call.server is not None else ""
        self._ended(name, attempt, server, outcome, cause, i.LoadReport(), call)

    def _ended(
        self, name: int, attempt: int, server: str, outcome: i.Outcome, cause: i.Cause, load: i.LoadReport,
        call: Open | None = None,
    ) -> None:  # fmt: skip
        sent = call.sent_us if call is not None else self.world.now_us
        closed = call is not None and call.gone
        delay = self.world.now_us - sent
        self._event(i.AttemptEnded(name, attempt, server, outcome, closed, delay, cause, load))

    def hear(self, server: Processor) -> None:
        """A call server tells its free lines, where a connection to it is open."""
        if self.alive and server.name in self.held:
            self._event(i.LoadReports(((server.name, server.report),)))


class _Waiting(SetUp):
    """A set-up that is on its way, then at its server; giving it up on the way keeps it from being taken."""

    def __init__(self, holder: list[SetUp | None]) -> None:
        self._holder = holder
        self.over = False

    def give_up(self) -> None:
        """Its sender waits no more."""
        self.over = True
        if self._holder[0] is not None:
            self._holder[0].give_up()
