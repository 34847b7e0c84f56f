"""Faults of a day: each is a simulated process with a time, a size and random numbers of its own."""

from __future__ import annotations

import random
from collections.abc import Callable, Generator
from typing import TYPE_CHECKING

import simpy

from reedmount import interface as i
from standins.fleet.exchange import learn

if TYPE_CHECKING:
    from standins.fleet.fleet import Fleet
    from standins.fleet.processor import Processor

FaultProcess = Generator[simpy.Event, object, None]
REPLACED_WITHIN_S, DRAINED_S = 7.0, 6.0
RESTART_DELAY_S = (1.4, 7.7)
DOWNTIME_S, JOIN_S = 0.7, 0.1


def replace(fleet: Fleet, when: float, size: float, rng: random.Random) -> FaultProcess:
    """Replace the share ``size`` of the call servers within seconds; the new ones start cold."""
    yield fleet.env.timeout(when)
    old = rng.sample(list(fleet.servers.values()), round(size * len(fleet.servers)))
    batch = max(1, len(old) // 4)
    for first in range(0, len(old), batch):
        batch_servers = old[first : first + batch]
        replacements = [fleet.restart_server(server) for server in batch_servers]
        fleet.publish(
            *(fleet.entry(server, i.ServerState.DRAINING) for server in batch_servers),
            *(fleet.entry(server, i.ServerState.SERVING) for server in replacements),
        )
        fleet.call_later(DRAINED_S, lambda batch_servers=batch_servers: _remove(fleet, batch_servers))  # type: ignore[misc]
        yield fleet.env.timeout(REPLACED_WITHIN_S / 4)


def _remove(fleet: Fleet, batch_servers: list[Processor]) -> None:
    for server in batch_servers:
        server.stop()
        fleet.servers.pop(server.name, None)
    fleet.publish(*(fleet.entry(server, i.ServerState.REMOVED) for server in batch_servers))


def deaths(fleet: Fleet, when: float, size: float, rng: random.Random) -> FaultProcess:
    """Kill the share ``size`` of the instances at once; they restart with their last server list."""
    yield fleet.env.timeout(when)
    for instance in rng.sample(fleet.instances, round(size * len(fleet.instances))):
        instance.kill()
        fleet.call_later(rng.uniform(*RESTART_DELAY_S), instance.start)


def restart(fleet: Fleet, when: float, size: float, rng: random.Random) -> FaultProcess:
    """Kill the first instances, a share of ``size``, at once and restart them within a second with their last
    list; if the day has an exchange, they learn from those that kept running."""
    yield fleet.env.timeout(when)
    count = round(size * len(fleet.instances))
    down, others = fleet.instances[:count], fleet.instances[count:]
    for instance in down:
        instance.kill()
    yield fleet.env.timeout(DOWNTIME_S)
    for instance in down:
        instance.start()
    if fleet.day.exchange:
        yield fleet.env.timeout(JOIN_S)
        for instance in down:
            learn(instance, others, fleet.now_us)


def cut(fleet: Fleet, when: float, size: float, rng: random.Random) -> FaultProcess:
    """Cut off one zone from the others for ``size`` seconds."""
    yield fleet.env.timeout(when)
    zone = rng.randrange(fleet.day.net.zones)
    for server in fleet.servers.values():
        others = set(range(fleet.day.net.zones)) - {zone}
        server.cut = others if server.zone == zone else {zone}
    yield fleet.env.timeout(size)
    for server in fleet.servers.values():
        server.cut = set()


def zone(fleet: Fleet, when: float, size: float, rng: random.Random) -> FaultProcess:
    """Stop the call servers of one zone for ``size`` seconds; they restart cold."""
    yield fleet.env.timeout(when)
    lost = [server for server in fleet.servers.values() if server.zone == 0]
    for server in lost:
        server.stop()
    fleet.publish(*(fleet.entry(server, i.ServerState.REMOVED) for server in lost), late_s=rng.uniform(1, 4))
    yield fleet.env.timeout(size)
    replacements = [fleet.restart_server(server) for server in lost]
    fleet.publish(*(fleet.entry(server, i.ServerState.SERVING) for server in replacements))


def failing(fleet: Fleet, when: float, size: float, rng: random.Random) -> FaultProcess:
    """Make the share ``size`` of the call servers fail each set-up for 20 s."""
    yield fleet.env.timeout(when)
    affected = rng.sample(list(fleet.servers.values()), max(1, round(size * len(fleet.servers))))
    for server in affected:
        server.failing = True
    yield fleet.env.timeout(20.0)
    for server in affected:
        server.failing = False


def slow(fleet: Fleet, when: float, size: float, rng: random.Random) -> FaultProcess:
    """Slow down one of eight call servers by the factor ``size`` for 20 s."""
    yield fleet.env.timeout(when)
    affected = rng.sample(list(fleet.servers.values()), max(1, len(fleet.servers) // 8))
    for server in affected:
        server.speed /= size
    yield fleet.env.timeout(20.0)
    for server in affected:
        server.speed *= size


FAULTS: dict[str, Callable[[Fleet, float, float, random.Random], FaultProcess]] = {
    "replace": replace, "deaths": deaths, "restart": restart, "cut": cut, "zone": zone,
    "failing": failing, "slow": slow,
}  # fmt: skip
