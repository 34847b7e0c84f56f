"""The faults of a run, drawn from its seed."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from standins.soak.board import Mood

if TYPE_CHECKING:
    from standins.soak.callserver import CallServer
    from standins.soak.run import Run

TRAFFIC_S = 12.0
FAULTS = (4, 12)
FIRST_FAULT_S, LAST_FAULT_S = 1.5, 9.0

Deed = Callable[["Run", random.Random], Awaitable[None]]


@dataclass(slots=True)
class Step:
    """One fault at its time."""

    at: float
    name: str
    deed: Deed


@dataclass(slots=True)
class Plan:
    """All faults of a run in order."""

    steps: list[Step] = field(default_factory=list)
    calls_per_s: float | None = None  # at each border controller; None: drawn
    longest_ms: int | None = None  # the longest deadline; None: drawn


async def _replace_after(run: Run, gone: list[CallServer], seconds: float) -> None:
    """Discovery says later that servers are gone, and names others in their place."""
    await run.sleep(seconds)
    run.say_state(gone, "DELETED")
    run.add_servers(len(gone))


async def _heal_after(run: Run, servers: list[CallServer], seconds: float) -> None:
    """Servers that hang or are cut off go on."""
    await run.sleep(seconds)
    for server in servers:
        server.heal()


async def board_down(run: Run, rng: random.Random) -> None:
    """Discovery is down for some seconds."""
    mood = rng.choice([mood for mood in Mood if mood is not Mood.WELL])
    run.board.feel(mood)
    await run.sleep(rng.uniform(1.5, 9.5))
    run.board.feel(Mood.WELL)


async def vanish(run: Run, rng: random.Random) -> None:
    """Servers vanish with their calls; discovery says so some time later, and others take their place."""
    gone = run.some_servers(rng)
    for server in gone:
        server.vanish()
    await _replace_after(run, gone, rng.uniform(0.5, 9.5))


async def die(run: Run, rng: random.Random) -> None:
    """Processes die; discovery says so later, and new ones come."""
    gone = run.some_servers(rng, most=2)
    for server in gone:
        server.die()
    await _replace_after(run, gone, rng.uniform(0.3, 5.0))


async def hang(run: Run, rng: random.Random) -> None:
    """Processes stand still and go on."""
    hung = run.some_servers(rng)
    for server in hung:
        server.hang()
    await _heal_after(run, hung, rng.uniform(0.5, 6.0))


async def cut(run: Run, rng: random.Random) -> None:
    """The network to some servers is gone for a while."""
    away = run.some_servers(rng)
    for server in away:
        server.cut()
    await _heal_after(run, away, rng.uniform(0.3, 6.0))


async def drain(run: Run, rng: random.Random) -> None:
    """Servers drain and leave; others come."""
    leaving = run.some_servers(rng, most=2)
    run.say_state(leaving, "DRAINING")
    run.add_servers(len(leaving))
    await run.sleep(rng.uniform(1.0, 6.0))
    for server in leaving:
        server.die()
    run.say_state(leaving, "DELETED")


async def restart(run: Run, rng: random.Random) -> None:
    """One border controller after the other is restarted."""
    for node in run.some_nodes(rng):
        await run.restart(node)
        await run.sleep(rng.uniform(0.0, 0.5))


async def configure(run: Run, rng: random.Random) -> None:
    """New configurations in quick succession."""
    for _ in range(rng.randint(1, 6)):
        for node in run.some_nodes(rng):
            await run.configure(node, moves=rng.random() < 0.5)
        await run.sleep(rng.choice((0.01, 0.1, 1.0)))


async def bad_clients(run: Run, rng: random.Random) -> None:
    """Crowds, rubbish and floods at all border controllers."""
    for clients in run.clients.values():
        clients.spawn(clients.misbehave(rng.uniform(1.0, 6.0)))


async def spoilt(run: Run, rng: random.Random) -> None:
    """Call servers spoil answers, lose them, or answer late."""
    for server in run.servers:
        manners = server.manners
        manners.never, manners.late = rng.uniform(0, 0.05), rng.uniform(0, 0.08)
        manners.cut_short, manners.noise = rng.uniform(0, 0.05), rng.uniform(0, 0.03)
        manners.twice, manners.reset = rng.uniform(0, 0.2), rng.uniform(0, 0.05)
        manners.early_close = rng.uniform(0, 0.2)


async def resets(run: Run, rng: random.Random) -> None:
    """Connections to call servers are reset or closed, whatever is open on them."""
    for _ in range(rng.randint(5, 40)):
        server = rng.choice(run.servers)
        if rng.random() < 0.7:
            server.reset_some()
        else:
            server.close_idle()
        await run.sleep(rng.uniform(0.01, 0.2))


async def late_connections(run: Run, rng: random.Random) -> None:
    """New connections to servers come up late, again and again."""
    for _ in range(rng.randint(2, 6)):
        server = rng.choice(run.servers)
        if not server.silent:
            server.cut()
            await run.sleep(rng.uniform(0.1, 1.0))
            server.heal()


async def replace_in_place(run: Run, rng: random.Random) -> None:
    """Machines vanish, and others with other names get their addresses before discovery says a word."""
    gone = run.some_servers(rng, most=2)
    for server in gone:
        server.vanish()
    await run.sleep(rng.uniform(0.2, 3.0))
    for server in gone:
        run.take_place_of(server)
    await run.sleep(rng.uniform(0.2, 8.0))
    run.say_state(gone, "DELETED")
    run.say_new()


async def idle_crowd(run: Run, rng: random.Random) -> None:
    """Many connect and say nothing."""
    for clients in run.clients.values():
        clients.spawn(clients.idle_crowd(rng.randint(50, 400), rng.uniform(0.5, 4.0)))


async def clients_vanish(run: Run, rng: random.Random) -> None:
    """Connections of clients fall silent and end much later."""
    for _ in range(rng.randint(1, 8)):
        rng.choice(list(run.clients.values())).go_silent()
        await run.sleep(rng.uniform(0.05, 0.5))


async def bad_files(run: Run, rng: random.Random) -> None:
    """Files that cannot be taken, among good ones."""
    for _ in range(rng.randint(1, 4)):
        for node in run.some_nodes(rng):
            await run.spoil_configuration(node, rng.choice(("", "{", "[]", "{}")))
        await run.sleep(rng.uniform(0.01, 0.3))


async def classes_change(run: Run, rng: random.Random) -> None:
    """Deadlines change under load."""
    for node in run.some_nodes(rng):
        await run.change_deadlines(node, rng.uniform(0.6, 1.0))


DEEDS: dict[str, tuple[Deed, int]] = {
    "board down": (board_down, 4),
    "vanish": (vanish, 4),
    "die": (die, 2),
    "hang": (hang, 3),
    "cut": (cut, 2),
    "drain": (drain, 3),
    "restart": (restart, 4),
    "configure": (configure, 2),
    "bad clients": (bad_clients, 2),
    "spoilt": (spoilt, 3),
    "resets": (resets, 3),
    "late connections": (late_connections, 2),
    "replace in place": (replace_in_place, 3),
    "idle crowd": (idle_crowd, 2),
    "clients vanish": (clients_vanish, 2),
    "bad files": (bad_files, 1),
    "classes change": (classes_change, 1),
}


def draw(seed: int) -> Plan:
    """Some faults at random instants; the same seed gives the same."""
    rng = random.Random(f"plan {seed}")
    names = list(DEEDS)
    weights = [weight for _, weight in DEEDS.values()]
    chosen = rng.choices(names, weights, k=rng.randint(*FAULTS))
    steps = [Step(rng.uniform(FIRST_FAULT_S, LAST_FAULT_S), name, DEEDS[name][0]) for name in chosen]
    return Plan(sorted(steps, key=lambda step: step.at))
