"""The faults of a run, drawn from its seed."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from standins.soak.board import BoardMode

if TYPE_CHECKING:
    from standins.soak.callserver import CallServer
    from standins.soak.run import Run

TRAFFIC_S = 12.0
FAULT_COUNT = (4, 12)
FIRST_FAULT_S, LAST_FAULT_S = 1.5, 9.0
LAST_SUCCESSION_S = 5.0  # the clients' calls at its end have to be told of before the run ends
MAX_SUCCESSIONS = 2
MAX_DISCOVERY_DELAY_S = 6.0
ONE_EVENT_SHARE = 0.6  # of replacements, told in one event
RESTARTED_SHARE = 0.3  # of successors, with the name of their predecessor


def unix_ms() -> int:
    """The Unix time in milliseconds, as discovery tells when a process was started."""
    return int(time.time() * 1000)


FaultAction = Callable[["Run", random.Random], Awaitable[None]]


@dataclass(slots=True)
class Step:
    """One fault and the time of its injection."""

    at: float
    name: str
    action: FaultAction


@dataclass(slots=True)
class Plan:
    """All faults of a run in order of time."""

    steps: list[Step] = field(default_factory=list)
    calls_per_s: float | None = None  # per border controller; None: drawn
    longest_ms: int | None = None  # longest deadline; None: drawn


async def _replace_after(run: Run, removed: list[CallServer], seconds: float) -> None:
    """Publish after a delay that servers are deleted, and add as many new ones."""
    await run.sleep(seconds)
    run.publish_state(removed, "DELETED")
    run.add_servers(len(removed))


async def _recover_after(run: Run, servers: list[CallServer], seconds: float) -> None:
    """Recover suspended or partitioned servers after a delay."""
    await run.sleep(seconds)
    for server in servers:
        server.recover()


async def board_down(run: Run, rng: random.Random) -> None:
    """Put the notice board into a random failure mode for some seconds."""
    mode = rng.choice([mode for mode in BoardMode if mode is not BoardMode.HEALTHY])
    run.board.set_mode(mode)
    await run.sleep(rng.uniform(1.5, 9.5))
    run.board.set_mode(BoardMode.HEALTHY)


async def vanish(run: Run, rng: random.Random) -> None:
    """Lose servers with their calls; discovery reports it later and names replacements."""
    removed = run.some_servers(rng)
    for server in removed:
        server.vanish()
    await _replace_after(run, removed, rng.uniform(0.5, 9.5))


async def die(run: Run, rng: random.Random) -> None:
    """Crash server processes; discovery reports it later and names replacements."""
    removed = run.some_servers(rng, max_count=2)
    for server in removed:
        server.die()
    await _replace_after(run, removed, rng.uniform(0.3, 5.0))


async def hang(run: Run, rng: random.Random) -> None:
    """Suspend server processes and resume them."""
    hung = run.some_servers(rng)
    for server in hung:
        server.hang()
    await _recover_after(run, hung, rng.uniform(0.5, 6.0))


async def cut(run: Run, rng: random.Random) -> None:
    """Cut the network to some servers for some seconds."""
    isolated = run.some_servers(rng)
    for server in isolated:
        server.cut()
    await _recover_after(run, isolated, rng.uniform(0.3, 6.0))


async def drain(run: Run, rng: random.Random) -> None:
    """Drain servers, add replacements, and end the drained ones."""
    leaving = run.some_servers(rng, max_count=2)
    run.publish_state(leaving, "DRAINING")
    run.add_servers(len(leaving))
    await run.sleep(rng.uniform(1.0, 6.0))
    for server in leaving:
        server.die()
    run.publish_state(leaving, "DELETED")


async def restart(run: Run, rng: random.Random) -> None:
    """Restart some border controllers in turn."""
    for node in run.some_nodes(rng):
        await run.restart(node)
        await run.sleep(rng.uniform(0.0, 0.5))


async def configure(run: Run, rng: random.Random) -> None:
    """Reload configurations in quick succession."""
    for _ in range(rng.randint(1, 6)):
        for node in run.some_nodes(rng):
            await run.configure(node, moves=rng.random() < 0.5)
        await run.sleep(rng.choice((0.01, 0.1, 1.0)))


async def bad_clients(run: Run, rng: random.Random) -> None:
    """Start misbehaving clients at all border controllers."""
    for clients in run.clients.values():
        clients.spawn(clients.misbehave(rng.uniform(1.0, 6.0)))


async def spoilt_answers(run: Run, rng: random.Random) -> None:
    """Make call servers corrupt, lose, repeat or delay answers from now on."""
    for server in run.servers:
        misbehaviour = server.misbehaviour
        misbehaviour.no_answer, misbehaviour.late = rng.uniform(0, 0.05), rng.uniform(0, 0.08)
        misbehaviour.truncated, misbehaviour.garbage = rng.uniform(0, 0.05), rng.uniform(0, 0.03)
        misbehaviour.repeated, misbehaviour.reset = rng.uniform(0, 0.2), rng.uniform(0, 0.05)
        misbehaviour.early_close = rng.uniform(0, 0.2)


async def resets(run: Run, rng: random.Random) -> None:
    """Reset connections to call servers, or close idle ones."""
    for _ in range(rng.randint(5, 40)):
        server = rng.choice(run.servers)
        if rng.random() < 0.7:
            server.reset_some()
        else:
            server.close_idle()
        await run.sleep(rng.uniform(0.01, 0.2))


async def late_connections(run: Run, rng: random.Random) -> None:
    """Cut servers off repeatedly for a short time, so that new connections come up late."""
    for _ in range(rng.randint(2, 6)):
        server = rng.choice(run.servers)
        if not server.silent:
            server.cut()
            await run.sleep(rng.uniform(0.1, 1.0))
            server.recover()


async def replace_in_place(run: Run, rng: random.Random) -> None:
    """Lose machines, and give their addresses to servers with other names before discovery reports either."""
    removed = run.some_servers(rng, max_count=2)
    for server in removed:
        server.vanish()
    await run.sleep(rng.uniform(0.2, 3.0))
    for server in removed:
        run.reuse_addresses_of(server)
    await _report_replaced(run, removed, rng)


async def succeed_in_place(run: Run, rng: random.Random) -> None:
    """Crash processes as others, which were started meanwhile, take their addresses; names may stay."""
    removed = run.some_servers(rng, max_count=2)
    born_ms = unix_ms()
    await run.sleep(rng.uniform(0.0, 1.0))
    restarted = rng.random() < RESTARTED_SHARE
    for server in removed:
        server.die()
        run.reuse_addresses_of(server, born_ms, server.name if restarted else "")
    await _report_replaced(run, [] if restarted else removed, rng)


async def _report_replaced(run: Run, removed: list[CallServer], rng: random.Random) -> None:
    """Publish after a delay that servers are deleted and what has their addresses, in one event or in two."""
    await run.sleep(rng.uniform(0.2, MAX_DISCOVERY_DELAY_S))
    if rng.random() < ONE_EVENT_SHARE:
        run.publish_new(removed)
    else:
        run.publish_state(removed, "DELETED")
        await run.sleep(rng.choice((0.0, 0.4)))
        run.publish_new()


async def idle_connections(run: Run, rng: random.Random) -> None:
    """Open many idle connections to all border controllers."""
    for clients in run.clients.values():
        clients.spawn(clients.idle_connections(rng.randint(50, 400), rng.uniform(0.5, 4.0)))


async def clients_vanish(run: Run, rng: random.Random) -> None:
    """Cut the network to some clients; their connections close much later."""
    for _ in range(rng.randint(1, 8)):
        rng.choice(list(run.clients.values())).go_silent()
        await run.sleep(rng.uniform(0.05, 0.5))


async def unreadable_files(run: Run, rng: random.Random) -> None:
    """Write invalid configuration files, each followed by a valid one."""
    for _ in range(rng.randint(1, 4)):
        for node in run.some_nodes(rng):
            await run.spoil_configuration(node, rng.choice(("", "{", "[]", "{}")))
        await run.sleep(rng.uniform(0.01, 0.3))


async def classes_change(run: Run, rng: random.Random) -> None:
    """Change the deadlines of the classes under load."""
    for node in run.some_nodes(rng):
        await run.change_deadlines(node, rng.uniform(0.6, 1.0))


FAULT_ACTIONS: dict[str, tuple[FaultAction, int]] = {
    "board down": (board_down, 4),
    "vanish": (vanish, 4),
    "die": (die, 2),
    "hang": (hang, 3),
    "cut": (cut, 2),
    "drain": (drain, 3),
    "restart": (restart, 4),
    "configure": (configure, 2),
    "bad clients": (bad_clients, 2),
    "spoilt": (spoilt_answers, 3),
    "resets": (resets, 3),
    "late connections": (late_connections, 2),
    "replace in place": (replace_in_place, 3),
    "idle crowd": (idle_connections, 2),
    "clients vanish": (clients_vanish, 2),
    "bad files": (unreadable_files, 1),
    "classes change": (classes_change, 1),
}


def draw(seed: int) -> Plan:
    """Draw faults at random instants; the same seed gives the same plan."""
    rng = random.Random(f"plan {seed}")
    names = list(FAULT_ACTIONS)
    weights = [weight for _, weight in FAULT_ACTIONS.values()]
    chosen = rng.choices(names, weights, k=rng.randint(*FAULT_COUNT))
    steps = [Step(rng.uniform(FIRST_FAULT_S, LAST_FAULT_S), name, FAULT_ACTIONS[name][0]) for name in chosen]
    successions = random.Random(f"successions {seed}")
    steps += [
        Step(successions.uniform(FIRST_FAULT_S, LAST_SUCCESSION_S), "succeed in place", succeed_in_place)
        for _ in range(successions.randint(0, MAX_SUCCESSIONS))
    ]
    return Plan(sorted(steps, key=lambda step: step.at))
