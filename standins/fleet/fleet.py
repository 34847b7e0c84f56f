"""A fleet on one day: instances, call servers, ways between them, the list, and the troubles."""

from __future__ import annotations

import random
from collections.abc import Callable

import simpy

from reedmount import interface as i
from standins.fleet.callers import Traffic
from standins.fleet.faults import TROUBLES
from standins.fleet.figures import Figures, Result, result
from standins.fleet.instance import Instance
from standins.fleet.processor import Processor
from standins.fleet.settings import KINDS, Day, module_settings, sigma

AFTER_S = 12.0  # a day runs on so long, until all is answered
EPOCH_US = 1_800_000_000_000_000
HOLD_S = sum(kind.share * kind.hold_s for kind in KINDS)  # mean time that a call stands


class Fleet:
    """All parts of one day, and the time they share. The same seed gives the same day."""

    def __init__(self, day: Day, seed: int) -> None:
        self.day = day
        self.env = simpy.Environment()
        self.settings = module_settings(day)
        self.figures = Figures()
        seeds = random.Random(seed)
        self._rng = random.Random(seeds.getrandbits(63))
        self.instances: list[Instance] = []
        self.servers: dict[str, Processor] = {}
        self.all: list[Processor] = []
        zones = day.net.zones
        for number in range(day.servers):
            speed = seeds.lognormvariate(0, sigma(day.server.uneven))
            room = day.server.lines * seeds.lognormvariate(0, sigma(day.server.lines_uneven))
            self.add(number, number % zones, speed, round(room * speed / day.server.per_call_s * HOLD_S), 0.0)
        self.instances = [
            Instance(self, number, seeds.randrange(zones), random.Random(seeds.getrandbits(63)))
            for number in range(day.instances)
        ]
        self._version = 1
        first = tuple(self.entry(server, i.ServerState.SERVING) for server in self.servers.values())
        for instance in self.instances:
            instance.start(first)
        self.traffic = Traffic(self, random.Random(seeds.getrandbits(63)))
        for name, when, size in day.troubles:
            self.env.process(TROUBLES[name](self, when, size, random.Random(seeds.getrandbits(63))))

    def add(self, number: int, zone: int, speed: float, lines: int, started_s: float) -> Processor:
        """A call server more."""
        name = f"s{len(self.all)}-{number}"
        made = Processor(self.env, name, number, zone, self.day.server, lines, speed, started_s)
        self.servers[name] = made
        self.all.append(made)
        self.after(self._rng.uniform(0, self.day.server.told_s), lambda: self._told(made))
        return made

    def again(self, old: Processor) -> Processor:
        """One that starts now, cold, in the place of another."""
        return self.add(old.number, old.zone, old.speed, old.lines, max(1e-6, self.now_s))

    def _told(self, server: Processor) -> None:
        if not server.down:
            for instance in self.instances:
                way_s = self.way_s(instance, server)
                if way_s is not None:
                    instance.hear(server)
            self.after(self.day.server.told_s, lambda: self._told(server))

    def entry(self, server: Processor, state: i.ServerState) -> i.ServerEntry:
        """A line of the list."""
        started = round(server.started_s * 1e6) + EPOCH_US if server.started_s > 0 else 0
        return i.ServerEntry(server.name, server.number, state, started)

    def tell(self, *entries: i.ServerEntry, late_s: float = 0.0) -> None:
        """The list has changed: each instance hears of it at a time of its own, in order."""
        self._version += 1
        version = self._version
        notice_s = late_s or self._rng.uniform(*self.day.net.news_s)
        for instance in self.instances:
            span = notice_s + self._rng.uniform(0.0, 0.3)
            span += self.day.net.half_later_s * (instance.number % 2)
            self.after(span, lambda one=instance: one.news(version, entries))  # type: ignore[misc]

    def run(self) -> Result:
        """Play the day."""
        self.env.run(until=self.day.length_s + AFTER_S)
        opened = sum(instance.opened for instance in self.instances)
        return result(self.day.name, self.figures, self.all, opened)

    # --- what instances and callers ask ---

    @property
    def now_s(self) -> float:
        """The time since the day began."""
        return float(self.env.now)

    @property
    def now_us(self) -> int:
        """The time, as modules count it."""
        return EPOCH_US + round(self.env.now * 1e6)

    @property
    def lanes(self) -> tuple[int, int]:
        """How many connections an instance holds to one call server, and in all."""
        return self.day.net.lanes_most, self.day.net.lanes_in_all

    def after(self, span_s: float, work: Callable[[], None]) -> None:
        """Do it after a span."""
        self.env.timeout(max(0.0, span_s)).callbacks.append(lambda _: work())

    def way_s(self, instance: Instance, server: Processor) -> float | None:
        """How long a message takes; None where it never comes."""
        if instance.zone in server.cut:
            return None
        net = self.day.net
        return self._rng.uniform(*(net.near_s if instance.zone == server.zone else net.far_s))

    def find(self, server: str) -> Processor | None:
        """The call server of that name."""
        return self.servers.get(server)

    def sent(self, instance: Instance, server: Processor) -> None:
        """A set-up has gone out."""
        self.figures.send(self.now_s, server.name)

    def stood(self, server: Processor, hold_s: float) -> None:
        """A call stands there, and ends by itself."""
        self.after(hold_s, server.release)
