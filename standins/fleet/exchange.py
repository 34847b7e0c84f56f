"""What an instance that starts anew learns from others, in the model: told and joined as members do it.

How a belief enters the module is written here alone so far: the program does not do it yet.
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from reedmount.core.clock import EPOCH, micros
from reedmount.members.knowledge import Belief, Knowledge, ListState, Observation

if TYPE_CHECKING:
    from reedmount.control import Controller, Server
    from standins.fleet.instance import Instance

MICRO = timedelta(microseconds=1)


def instant(now_us: int) -> datetime:
    """The model's time as members count it."""
    return EPOCH + now_us * MICRO


def observations_of(instance: Instance, now_us: int) -> list[Observation]:
    """What it has seen itself: of servers that answered it."""
    return [
        Observation(
            server=server.id,
            by=f"n{instance.number}",
            age_ms=(now_us - server.reading_at_us) // 1000,
            state=ListState.SERVING if server.serving else ListState.DRAINING,
            window=round(100 * server.window),
            delay_us=round(server.mean_wait_us),
            hold_off_ms=max(0, server.hold_off_until_us - now_us) // 1000 if server.flagged else 0,
        )
        for server in instance.module._servers.values()
        if server.reading_at_us >= 0
    ]


def learn(instance: Instance, others: Iterable[Instance], now_us: int) -> int:
    """Take what three or more of these say of servers that it knows nothing of itself; of how many it did."""
    knowledge, count = Knowledge(f"n{instance.number}"), 0
    for other in others:
        knowledge.receive(instant(now_us), observations_of(other, now_us))
        count += 1
    return sum(
        _believe(instance.module, belief, now_us) for belief in knowledge.beliefs(instant(now_us), count)
    )


def _believe(module: Controller, belief: Belief, now_us: int) -> bool:
    server: Server | None = module._servers.get(belief.server)
    if server is None or server.reading_at_us >= 0 or belief.window is None or belief.delay_us is None:
        return False
    server.window = max(1.0, belief.window)
    server.mean_wait_us, server.reading_us, server.reading_at_us = belief.delay_us, belief.delay_us, now_us
    if belief.flagged_until is not None:
        server.flagged, server.hold_off_until_us = True, micros(belief.flagged_until)
    return True
