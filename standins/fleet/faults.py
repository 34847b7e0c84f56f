"""Troubles of a day: each is a process with an instant, a size and random numbers of its own."""

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

Trouble = Generator[simpy.Event, object, None]
REPLACED_WITHIN_S, DRAINED_S = 7.0, 6.0
BACK_S = (1.4, 7.7)
RESTARTED_S, JOINED_S = 0.7, 0.1


def replace(fleet: Fleet, when: float, size: float, rng: random.Random) -> Trouble:
    """Such a share of the call servers is replaced within seconds; the new ones start cold."""
    yield fleet.env.timeout(when)
    old = rng.sample(list(fleet.servers.values()), round(size * len(fleet.servers)))
    batch = max(1, len(old) // 4)
    for first in range(0, len(old), batch):
        part = old[first : first + batch]
        fresh = [fleet.again(server) for server in part]
        fleet.tell(
            *(fleet.entry(server, i.ServerState.DRAINING) for server in part),
            *(fleet.entry(server, i.ServerState.SERVING) for server in fresh),
        )
        fleet.after(DRAINED_S, lambda part=part: _remove(fleet, part))  # type: ignore[misc]
        yield fleet.env.timeout(REPLACED_WITHIN_S / 4)


def _remove(fleet: Fleet, part: list[Processor]) -> None:
    for server in part:
        server.stop()
        fleet.servers.pop(server.name, None)
    fleet.tell(*(fleet.entry(server, i.ServerState.REMOVED) for server in part))


def deaths(fleet: Fleet, when: float, size: float, rng: random.Random) -> Trouble:
    """Such a share of the instances is killed at once, and comes back with the list it had."""
    yield fleet.env.timeout(when)
    for instance in rng.sample(fleet.instances, round(size * len(fleet.instances))):
        instance.kill()
        fleet.after(rng.uniform(*BACK_S), instance.start)


def restart(fleet: Fleet, when: float, size: float, rng: random.Random) -> Trouble:
    """Such a share of the instances, the first ones, are killed at once and back within a second with their
    last list; where the day has an exchange, they learn from those that ran on."""
    yield fleet.env.timeout(when)
    count = round(size * len(fleet.instances))
    down, others = fleet.instances[:count], fleet.instances[count:]
    for instance in down:
        instance.kill()
    yield fleet.env.timeout(RESTARTED_S)
    for instance in down:
        instance.start()
    if fleet.day.exchange:
        yield fleet.env.timeout(JOINED_S)
        for instance in down:
            learn(instance, others, fleet.now_us)


def cut(fleet: Fleet, when: float, size: float, rng: random.Random) -> Trouble:
    """One zone is cut off from the others for so many seconds."""
    yield fleet.env.timeout(when)
    zone = rng.randrange(fleet.day.net.zones)
    for server in fleet.servers.values():
        others = set(range(fleet.day.net.zones)) - {zone}
        server.cut = others if server.zone == zone else {zone}
    yield fleet.env.timeout(size)
    for server in fleet.servers.values():
        server.cut = set()


def zone(fleet: Fleet, when: float, size: float, rng: random.Random) -> Trouble:
    """The call servers of one zone are lost for so many seconds and come back cold."""
    yield fleet.env.timeout(when)
    lost = [server for server in fleet.servers.values() if server.zone == 0]
    for server in lost:
        server.stop()
    fleet.tell(*(fleet.entry(server, i.ServerState.REMOVED) for server in lost), late_s=rng.uniform(1, 4))
    yield fleet.env.timeout(size)
    fresh = [fleet.again(server) for server in lost]
    fleet.tell(*(fleet.entry(server, i.ServerState.SERVING) for server in fresh))


def failing(fleet: Fleet, when: float, size: float, rng: random.Random) -> Trouble:
    """Such a share of the call servers answers each set-up with a fault, for 20 s."""
    yield fleet.env.timeout(when)
    bad = rng.sample(list(fleet.servers.values()), max(1, round(size * len(fleet.servers))))
    for server in bad:
        server.failing = True
    yield fleet.env.timeout(20.0)
    for server in bad:
        server.failing = False


def slow(fleet: Fleet, when: float, size: float, rng: random.Random) -> Trouble:
    """One of eight call servers does so many times less, for 20 s."""
    yield fleet.env.timeout(when)
    bad = rng.sample(list(fleet.servers.values()), max(1, len(fleet.servers) // 8))
    for server in bad:
        server.speed /= size
    yield fleet.env.timeout(20.0)
    for server in bad:
        server.speed *= size


TROUBLES: dict[str, Callable[[Fleet, float, float, random.Random], Trouble]] = {
    "replace": replace, "deaths": deaths, "restart": restart, "cut": cut, "zone": zone,
    "failing": failing, "slow": slow,
}  # fmt: skip
