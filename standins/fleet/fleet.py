"""A fleet on one day: instances, call servers, latencies, the server list and the faults."""

from __future__ import annotations

import random
from collections.abc import Callable

import simpy

from reedmount import interface as i
from standins.fleet.callers import Traffic
from standins.fleet.faults import FAULTS
from standins.fleet.figures import Figures, Result, result
from standins.fleet.instance import Instance
from standins.fleet.processor import Processor
from standins.fleet.settings import KINDS, Day, lognormal_sigma, module_settings

AFTER_S = 12.0  # the run continues this long after the last arrival, until all calls are answered
EPOCH_US = 1_800_000_000_000_000
HOLD_S = sum(kind.share * kind.hold_s for kind in KINDS)  # mean holding time of a call


class Fleet:
    """All parts of one day with their common virtual time. A run is reproducible from its seed."""

    def __init__(self, day: Day, seed: int) -> None:
        self.day = day
        self.env = simpy.Environment()
        self.settings = module_settings(day)
        self.figures = Figures()
        seeds = random.Random(seed)
        self._rng = random.Random(seeds.getrandbits(63))
        self.instances: list[Instance] = []
        self.servers: dict[str, Processor] = {}
        self.all_servers: list[Processor] = []
        zones = day.net.zones
        for number in range(day.servers):
            speed = seeds.lognormvariate(0, lognormal_sigma(day.server.variation))
            relative_lines = day.server.lines * seeds.lognormvariate(
                0, lognormal_sigma(day.server.lines_variation)
            )
            self.add_server(
                number,
                number % zones,
                speed,
                round(relative_lines * speed / day.server.per_call_s * HOLD_S),
                0.0,
            )
        self.instances = [
            Instance(self, number, seeds.randrange(zones), random.Random(seeds.getrandbits(63)))
            for number in range(day.instances)
        ]
        self._version = 1
        first = tuple(self.entry(server, i.ServerState.SERVING) for server in self.servers.values())
        for instance in self.instances:
            instance.start(first)
        self.traffic = Traffic(self, random.Random(seeds.getrandbits(63)))
        for name, when, size in day.faults:
            self.env.process(FAULTS[name](self, when, size, random.Random(seeds.getrandbits(63))))

    def add_server(self, number: int, zone: int, speed: float, lines: int, started_s: float) -> Processor:
        """Add a call server."""
        name = f"s{len(self.all_servers)}-{number}"
        server = Processor(self.env, name, number, zone, self.day.server, lines, speed, started_s)
        self.servers[name] = server
        self.all_servers.append(server)
        self.call_later(
            self._rng.uniform(0, self.day.server.report_interval_s), lambda: self._send_load_report(server)
        )
        return server

    def restart_server(self, old: Processor) -> Processor:
        """Add a cold call server that starts now and replaces another."""
        return self.add_server(old.number, old.zone, old.speed, old.lines, max(1e-6, self.now_s))

    def _send_load_report(self, server: Processor) -> None:
        if not server.down:
            for instance in self.instances:
                latency_s = self.latency_s(instance, server)
                if latency_s is not None:
                    instance.report_received(server)
            self.call_later(self.day.server.report_interval_s, lambda: self._send_load_report(server))

    def entry(self, server: Processor, state: i.ServerState) -> i.ServerEntry:
        """Return the entry of a call server in the list."""
        started = round(server.started_s * 1e6) + EPOCH_US if server.started_s > 0 else 0
        return i.ServerEntry(server.name, server.number, state, started)

    def publish(self, *entries: i.ServerEntry, late_s: float = 0.0) -> None:
        """Change the list: each instance is notified after a random delay of its own, in order."""
        self._version += 1
        version = self._version
        notice_s = late_s or self._rng.uniform(*self.day.net.list_delay_s)
        for instance in self.instances:
            delay = notice_s + self._rng.uniform(0.0, 0.3)
            delay += self.day.net.half_extra_delay_s * (instance.number % 2)
            self.call_later(delay, lambda one=instance: one.list_changed(version, entries))  # type: ignore[misc]

    def run(self) -> Result:
        """Run the day."""
        self.env.run(until=self.day.length_s + AFTER_S)
        opened = sum(instance.opened for instance in self.instances)
        return result(self.day.name, self.figures, self.all_servers, opened)

    # --- interface of instances and callers ---

    @property
    def now_s(self) -> float:
        """Seconds since the start of the day."""
        return float(self.env.now)

    @property
    def now_us(self) -> int:
        """The time in microseconds, as the control module counts it."""
        return EPOCH_US + round(self.env.now * 1e6)

    @property
    def connection_limits(self) -> tuple[int, int]:
        """The limits on connections of an instance, to one call server and in total."""
        return self.day.net.max_connections_per_server, self.day.net.max_connections

    def call_later(self, delay_s: float, work: Callable[[], None]) -> None:
        """Run a function after a delay."""
        self.env.timeout(max(0.0, delay_s)).callbacks.append(lambda _: work())

    def latency_s(self, instance: Instance, server: Processor) -> float | None:
        """Return the latency of a message, None if it is lost."""
        if instance.zone in server.cut:
            return None
        net = self.day.net
        return self._rng.uniform(*(net.same_zone_s if instance.zone == server.zone else net.cross_zone_s))

    def find(self, server: str) -> Processor | None:
        """Return the call server of that name."""
        return self.servers.get(server)

    def record_sent(self, instance: Instance, server: Processor) -> None:
        """Record that a set-up was sent."""
        self.figures.send(self.now_s, server.name)

    def schedule_release(self, server: Processor, hold_s: float) -> None:
        """Schedule the end of an established call."""
        self.call_later(hold_s, server.release)
