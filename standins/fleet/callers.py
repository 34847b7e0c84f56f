"""Callers of a fleet: they arrive independently, abandon tries and redial; worth counts at the first try."""

from __future__ import annotations

import random
from collections.abc import Generator
from typing import TYPE_CHECKING

import simpy

from standins.fleet.processor import Processor
from standins.fleet.settings import KINDS, Kind, lognormal_sigma

if TYPE_CHECKING:
    from standins.fleet.fleet import Fleet
    from standins.fleet.instance import Instance


class Caller:
    """One caller with one call, from its first try until it is established or given up for good."""

    def __init__(self, fleet: Fleet, instance: Instance, kind: Kind, choice: int, rng: random.Random) -> None:
        self._fleet, self._instance, self._kind, self._choice, self._rng = fleet, instance, kind, choice, rng
        self.first_s = fleet.now_s
        self.number = rng.getrandbits(40)
        behaviour = fleet.day.callers
        low, high = behaviour.redials
        whole, part = divmod(rng.uniform(low, high), 1.0)
        self._redials_left = int(whole) + (rng.random() < part)
        self._wait_s = behaviour.give_up_s * behaviour.try_share
        self._name: int | None = None
        self._tries = 0
        self._finished = False
        fleet.figures.offer(self.first_s, kind.worth, instance.number)

    def dial(self) -> None:
        """Place one try."""
        fleet = self._fleet
        self._tries += 1
        fleet.figures.tries += 1
        self._try_began_s, self._done = fleet.now_s, False
        instance = self._instance
        if not instance.alive:
            fleet.call_later(1.0, lambda: self.rejected("unanswered", 0.0))
            return
        tries = self._tries
        self._name = name = instance.offer(
            self, self._kind.name, f"{self.number:016x}", self._choice, self._wait_s - 0.12
        )
        fleet.call_later(self._wait_s, lambda: self._give_up(tries, instance, name))

    def _give_up(self, tries: int, instance: Instance, name: int) -> None:
        if not self._done and tries == self._tries:
            self._fleet.figures.overdue += 1
            instance.abandon(name)
            self.rejected("unanswered", 0.0)

    def established(self, server: Processor) -> None:
        """Record the established call."""
        fleet, kind = self._fleet, self._kind
        self._done = self._finished = True
        duration_s = fleet.now_s - self.first_s
        fleet.figures.outcomes["stands"] += 1
        fleet.figures.delays.append(fleet.now_s - self._try_began_s)
        fleet.figures.second_choice += server.number != self._choice
        late = duration_s > kind.target_s
        fleet.schedule_release(server, self._rng.expovariate(1 / kind.hold_s))
        fleet.figures.earn(self.first_s, kind.worth * (0.25 if late else 1.0), late, self._instance.number)

    def rejected(self, how: str, pause_s: float) -> None:
        """Record a try that was not set up; redial or give up."""
        if self._done:
            return
        self._done = True
        fleet = self._fleet
        fleet.figures.outcomes[how] += 1
        behaviour = fleet.day.callers
        honours = pause_s > 0 and self._rng.random() < behaviour.retry_after_share
        redial_delay_s = min(pause_s, 2.0) if honours else self._rng.uniform(*behaviour.redial_delay_s)
        if self._redials_left <= 0 or fleet.now_s + redial_delay_s - self.first_s > behaviour.give_up_s:
            fleet.figures.outcomes["given up"] += 1
            return
        self._redials_left -= 1
        fleet.call_later(redial_delay_s, self.dial)


Arrivals = Generator[simpy.Event, object, None]


class Traffic:
    """Generates the calls: when, at which instance, of which class and with which first choice."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self._fleet, self._rng = fleet, rng
        behaviour, day = fleet.day.callers, fleet.day
        room = sum(server.speed for server in fleet.servers.values()) / day.server.per_call_s
        rates = [rng.lognormvariate(0, lognormal_sigma(behaviour.variation)) for _ in fleet.instances]
        scale = behaviour.load * room / sum(rates)
        self._weights = self._draw_weights()
        self.drift()
        for instance, rate in zip(fleet.instances, rates, strict=True):
            fleet.env.process(self._arrive(instance, rate * scale, random.Random(rng.getrandbits(63))))

    def _draw_weights(self) -> list[float]:
        """Weights of first choices, roughly in proportion to the speed of each call server."""
        deviation = lognormal_sigma(self._fleet.day.callers.choice_variation) / 2
        return [
            server.speed * self._rng.lognormvariate(0, deviation) for server in self._fleet.servers.values()
        ]

    def drift(self) -> None:
        """Shift the weights of first choices halfway towards a new random draw."""
        self._weights = [
            (old + new) / 2 for old, new in zip(self._weights, self._draw_weights(), strict=False)
        ]
        self._fleet.call_later(self._fleet.day.callers.drift_s, self.drift)

    def _arrive(self, instance: Instance, rate: float, rng: random.Random) -> Arrivals:
        fleet, behaviour = self._fleet, self._fleet.day.callers
        begin, end, times = behaviour.burst
        while True:
            now = fleet.now_s
            factor = times if begin <= now < end else 1.0
            yield fleet.env.timeout(rng.expovariate(rate * factor))
            if fleet.now_s > fleet.day.length_s:
                return
            kind = rng.choices(KINDS, [kind.share for kind in KINDS])[0]
            choice = rng.choices(range(len(self._weights)), self._weights)[0]
            Caller(fleet, instance, kind, choice, random.Random(rng.getrandbits(63))).dial()
