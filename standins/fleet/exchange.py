"""What a restarted instance learns from others in the model, with the facts and beliefs of members.

The program does not pass beliefs to the control module yet; only this model does.
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


def to_datetime(now_us: int) -> datetime:
    """Convert the time of the model to that of members."""
    return EPOCH + now_us * MICRO


def observed_facts(instance: Instance, now_us: int) -> list[Observation]:
    """Return what an instance observed itself, of the servers that answered it."""
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
    """Adopt what three or more others report of servers not yet observed; returns the number of servers."""
    knowledge, count = Knowledge(f"n{instance.number}"), 0
    for other in others:
        knowledge.receive(to_datetime(now_us), observed_facts(other, now_us))
        count += 1
    return sum(
        _apply_belief(instance.module, belief, now_us)
        for belief in knowledge.beliefs(to_datetime(now_us), count)
    )


def _apply_belief(module: Controller, belief: Belief, now_us: int) -> bool:
    server: Server | None = module._servers.get(belief.server)
    if server is None or server.reading_at_us >= 0 or belief.window is None or belief.delay_us is None:
        return False
    server.window = max(1.0, belief.window)
    server.mean_wait_us, server.reading_us, server.reading_at_us = belief.delay_us, belief.delay_us, now_us
    if belief.flagged_until is not None:
        server.flagged, server.hold_off_until_us = True, micros(belief.flagged_until)
    return True
