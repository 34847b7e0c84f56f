"""A planned restart while a call server drains: what becomes of the calls that stand there."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from platform_peers import NEVER, SLACK_S, CannotRun, World, run_case

HOLD_S = 8.5  # how long a call lasts; its class has 7.2 to 10 s on average
DRAIN_S = 5.5  # from DRAINING until the call server stops; 2 to 6 s in the operators' list of troubles
SERVERS = 5  # one of them drains: a fifth, the largest share of a step
KILL_AFTER_S = 3.7  # from SIGTERM to SIGKILL: the longest deadline, counted as 3 s, and 0.7 s
AWAY_S = 0.3  # until the next process starts
TOLD_AFTER_END_S = 8.0  # where no release could be sent
TOLD_AFTER_RELEASE_S = 1.0
MARGIN_S = 0.3  # for the stand-ins themselves, beyond the slack of the rules


async def play(world: World, trouble: str) -> list[str]:
    """Set up calls at two call servers, drain one of them, and restart the border controller meanwhile."""
    recorder, board, node, callers = world.recorder, world.board, world.node, world.callers
    leaving = await world.add_server("s-1", 1, HOLD_S)
    staying = await world.add_server("s-2", 2, HOLD_S)
    others = [await world.add_server(f"s-{number}", number, HOLD_S) for number in range(3, SERVERS + 1)]
    board.publish(*(server.entry("SERVING") for server in (leaving, staying, *others)))
    node.start()
    await callers.until_ready()
    for number in range(8):
        await callers.set_up(1 + number % 2)
        await asyncio.sleep(0.1)
    await asyncio.sleep(0.8)
    standing = {name for name, call in callers.calls.items() if call.status == 200}
    if not any(name in leaving.calls for name in standing):
        raise CannotRun("no call stands at the call server that is to drain")

    async def drain() -> None:
        if trouble != "restart":
            await asyncio.sleep(3.0)
            board.publish(leaving.entry("DRAINING"))
            await asyncio.sleep(DRAIN_S)
            board.publish(leaving.entry("DELETED"))
            leaving.stop()

    draining = asyncio.create_task(drain())
    if trouble in ("1", "restart"):
        await node.end(KILL_AFTER_S)
        await asyncio.sleep(AWAY_S)
        node.start()
        await callers.until_ready()
    else:
        await asyncio.sleep(KILL_AFTER_S + AWAY_S)
    await callers.set_up(2)  # new traffic, on a connection that is there for releases
    await draining
    while any(call.ended_at == NEVER for server in world.servers for call in server.calls.values()):
        await asyncio.sleep(0.1)
    ends = [
        server.calls[name].ended_at for server in world.servers for name in standing & server.calls.keys()
    ]
    for _ in range(int(max(ends) + TOLD_AFTER_END_S + 1.5 - recorder.now) + 1):
        await asyncio.sleep(1.0)
        await callers.set_up(2)  # callers keep calling, so that there is always a connection to them
    broken = []
    for server in world.servers:
        for name in sorted(standing & server.calls.keys()):
            call, caller = server.calls[name], callers.calls[name]
            due = call.ended_at + TOLD_AFTER_END_S + SLACK_S + MARGIN_S
            recorder.note(
                f"{name} at {server.name}: ended {call.ended_at:.3f}, caller told {caller.released_at:.3f}"
            )
            if caller.released_at > due:
                told = (
                    "never"
                    if caller.released_at == NEVER
                    else f"{caller.released_at - call.ended_at:.1f} s later"
                )
                broken.append(
                    f"{name} at {server.name} was over at {call.ended_at:.3f}; its caller was told {told}"
                )
    return broken


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent / "record.txt", play))
