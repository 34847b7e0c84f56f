"""Callers of a fleet: they come by themselves, give tries up, dial again, and count with their first try."""

from __future__ import annotations

import random
from collections.abc import Generator
from typing import TYPE_CHECKING

import simpy

from standins.fleet.processor import Processor
from standins.fleet.settings import KINDS, Kind, sigma

if TYPE_CHECKING:
    from standins.fleet.fleet import Fleet
    from standins.fleet.instance import Instance


class Caller:
    """One caller with one wish: from its first try until it stands or is given up for good."""

    def __init__(self, fleet: Fleet, home: Instance, kind: Kind, choice: int, rng: random.Random) -> None:
        self._fleet, self._home, self._kind, self._choice, self._rng = fleet, home, kind, choice, rng
        self.first_s = fleet.now_s
        self.number = rng.getrandbits(40)
        wants = fleet.day.callers
        low, high = wants.redials
        whole, part = divmod(rng.uniform(low, high), 1.0)
        self._left = int(whole) + (rng.random() < part)
        self._wait_s = wants.give_up_s * wants.try_share
        self._name: int | None = None
        self._tries = 0
        self._over = False
        fleet.figures.offer(self.first_s, kind.worth, home.number)

    def dial(self) -> None:
        """Try once."""
        fleet = self._fleet
        self._tries += 1
        fleet.figures.tries += 1
        self._tried_s, self._done = fleet.now_s, False
        home = self._home
        if not home.alive:
            fleet.after(1.0, lambda: self.answered("unanswered", 0.0))
            return
        tries = self._tries
        self._name = name = home.offer(
            self, self._kind.name, f"{self.number:016x}", self._choice, self._wait_s - 0.12
        )
        fleet.after(self._wait_s, lambda: self._tire(tries, home, name))

    def _tire(self, tries: int, home: Instance, name: int) -> None:
        if not self._done and tries == self._tries:
            self._fleet.figures.overdue += 1
            home.leave(name)
            self.answered("unanswered", 0.0)

    def stands(self, server: Processor) -> None:
        """It has its call."""
        fleet, kind = self._fleet, self._kind
        self._done = self._over = True
        took_s = fleet.now_s - self.first_s
        fleet.figures.ends["stands"] += 1
        fleet.figures.delays.append(fleet.now_s - self._tried_s)
        fleet.figures.second += server.number != self._choice
        late = took_s > kind.aim_s
        fleet.stood(server, self._rng.expovariate(1 / kind.hold_s))
        fleet.figures.earn(self.first_s, kind.worth * (0.25 if late else 1.0), late, self._home.number)

    def answered(self, how: str, pause_s: float) -> None:
        """It was not set up: dial again, or let it be."""
        if self._done:
            return
        self._done = True
        fleet = self._fleet
        fleet.figures.ends[how] += 1
        wants = fleet.day.callers
        honours = pause_s > 0 and self._rng.random() < wants.honour
        back_s = min(pause_s, 2.0) if honours else self._rng.uniform(*wants.back_s)
        if self._left <= 0 or fleet.now_s + back_s - self.first_s > wants.give_up_s:
            fleet.figures.ends["given up"] += 1
            return
        self._left -= 1
        fleet.after(back_s, self.dial)


Arrivals = Generator[simpy.Event, object, None]


class Traffic:
    """Who calls when, where and for what."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self._fleet, self._rng = fleet, rng
        wants, day = fleet.day.callers, fleet.day
        room = sum(server.speed for server in fleet.servers.values()) / day.server.per_call_s
        rates = [rng.lognormvariate(0, sigma(wants.uneven)) for _ in fleet.instances]
        scale = wants.load * room / sum(rates)
        self._weights = self._spread()
        self.drift()
        for instance, rate in zip(fleet.instances, rates, strict=True):
            fleet.env.process(self._arrive(instance, rate * scale, random.Random(rng.getrandbits(63))))

    def _spread(self) -> list[float]:
        """Shares of first choices, near what each call server can do."""
        spread = sigma(self._fleet.day.callers.favours) / 2
        return [server.speed * self._rng.lognormvariate(0, spread) for server in self._fleet.servers.values()]

    def drift(self) -> None:
        """Where calls go moves on."""
        self._weights = [(old + new) / 2 for old, new in zip(self._weights, self._spread(), strict=False)]
        self._fleet.after(self._fleet.day.callers.drift_s, self.drift)

    def _arrive(self, home: Instance, rate: float, rng: random.Random) -> Arrivals:
        fleet, wants = self._fleet, self._fleet.day.callers
        begin, end, times = wants.burst
        while True:
            now = fleet.now_s
            factor = times if begin <= now < end else 1.0
            yield fleet.env.timeout(rng.expovariate(rate * factor))
            if fleet.now_s > fleet.day.length_s:
                return
            kind = rng.choices(KINDS, [kind.share for kind in KINDS])[0]
            choice = rng.choices(range(len(self._weights)), self._weights)[0]
            Caller(fleet, home, kind, choice, random.Random(rng.getrandbits(63))).dial()
