"""Pending probes and SWIM's round-robin choice of targets; the protocol handles the outcome."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from reedmount.members.timer_queue import ScheduledTask
from reedmount.members.view import View

MAX_RELAYED = 256  # probes on behalf of others at once; further requests are refused


@dataclass(slots=True)
class Probe:
    """A probe of this member's own, until it is answered or its period ends."""

    seq: int
    name: str
    incarnation: int
    target_dead: bool
    awaited_nacks: set[str] = field(default_factory=set)  # relays that have not sent a NACK
    relays: list[str] = field(default_factory=list)  # members asked to relay this probe
    timers: list[ScheduledTask] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Relayed:
    """A probe on behalf of another member."""

    requester: str
    seq: int  # of the requester
    timer: ScheduledTask


class ProbeRound:
    """Probes each present member once per round, in random order; newcomers are inserted at random.

    So each is probed at least once in two rounds, whatever the order: SWIM's bound on the detection time.
    """

    def __init__(self, view: View, rng: random.Random) -> None:
        self._view, self._rng = view, rng
        self._remaining: list[str] = []  # of this round; the next one is last

    def include(self, name: str) -> None:
        """Add a newcomer. If they join faster than they are probed, restart the round, to keep it bounded."""
        if len(self._remaining) > 2 * len(self._view.present):
            self._remaining = list(self._view.present)
            self._rng.shuffle(self._remaining)
            return
        self._remaining.insert(self._rng.randrange(len(self._remaining) + 1), name)

    def next(self) -> str | None:
        """The next member to probe; None if no other is present."""
        for _ in range(2):
            while self._remaining:
                name = self._remaining.pop()
                if name in self._view.present:
                    return name
            self._remaining = list(self._view.present)
            self._rng.shuffle(self._remaining)
        return None
