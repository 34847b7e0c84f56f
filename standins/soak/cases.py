"""Fixed runs that reproduce a fault that has occurred, with its circumstances."""

from __future__ import annotations

import random
from collections.abc import Callable

from standins.soak.board import BoardMode
from standins.soak.plan import Plan, Step, unix_ms
from standins.soak.run import Run

CASES: dict[str, Callable[[], Plan]] = {}
DISCOVERY_DOWN_S = 9.5  # longer than the limit for notifying callers
DISCOVERY_DELAY_S = 0.7
SUCCESSOR_STARTUP_S = 0.5  # from a process's start until it listens


def case(build: Callable[[], Plan]) -> Callable[[], Plan]:
    """Register a case under its function's name, with hyphens."""
    CASES[build.__name__.replace("_", "-")] = build
    return build


@case
def vanished_unheard() -> Plan:
    """Three of four call servers are lost with their calls while discovery is silent (incident 45492b)."""

    async def discovery(run: Run, _: random.Random) -> None:
        run.board.set_mode(BoardMode.SILENT)
        await run.sleep(DISCOVERY_DOWN_S)
        run.board.set_mode(BoardMode.HEALTHY)

    async def vanish(run: Run, _: random.Random) -> None:
        removed = run.servers[:3]
        for server in removed:
            server.vanish()
        await run.sleep(DISCOVERY_DOWN_S)
        run.publish_state(removed, "DELETED")

    return Plan([Step(2.5, "discovery is down", discovery), Step(3.0, "three servers vanish", vanish)])


@case
def restarts_while_servers_hang() -> Plan:
    """All border controllers are restarted in turn while two of four call servers are suspended."""

    async def hang(run: Run, _: random.Random) -> None:
        for server in run.servers[:2]:
            server.hang()
        await run.sleep(9.0)
        for server in run.servers[:2]:
            server.recover()

    async def restart(run: Run, _: random.Random) -> None:
        for node in run.nodes.values():
            await run.restart(node)

    steps = [Step(2.0, "two servers hang", hang), Step(2.5, "restarts", restart)]
    return Plan(steps, calls_per_s=100.0, longest_ms=1200)


@case
def successor_starts_before_its_predecessor_ends() -> Plan:
    """Three call servers in turn are replaced at their addresses by processes that were started while they
    still answered, and discovery tells of both in one event later (incident 414a86)."""

    async def replace(run: Run, _: random.Random) -> None:
        for old in run.servers[:3]:
            old.busy = True
            born_ms = unix_ms()
            await run.sleep(SUCCESSOR_STARTUP_S)
            old.die()
            run.reuse_addresses_of(old, born_ms)
            await run.sleep(DISCOVERY_DELAY_S)
            run.publish_new(removed=[old])

    return Plan([Step(2.5, "three servers are replaced at their addresses", replace)], calls_per_s=40.0)
