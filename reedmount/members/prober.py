"""Whom to probe next, and which probes are out: the round of SWIM, without a word of what follows from it."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from reedmount.members.timer_queue import ScheduledTask
from reedmount.members.view import View

MAX_RELAYED = 256  # probes that we carry out for others at once; more are not begun


@dataclass(slots=True)
class Probe:
    """A probe of ours: answered, or not by the end of its period."""

    seq: int
    name: str
    incarnation: int
    target_dead: bool
    awaited_nacks: set[str] = field(default_factory=set)  # relays whose word is still out
    relays: list[str] = field(default_factory=list)  # that were asked
    timers: list[ScheduledTask] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Relayed:
    """A probe for another member."""

    requester: str
    seq: int  # the asker's
    timer: ScheduledTask


class ProbeRound:
    """Each member that is there once in a round, in random order; newcomers at a random place of this one.

    So each is probed at least once in two rounds, whatever the draw: SWIM's bound of the detection time.
    """

    def __init__(self, view: View, rng: random.Random) -> None:
        self._view, self._rng = view, rng
        self._remaining: list[str] = []  # of this round, the next one last

    def add(self, name: str) -> None:
        """One more. Where they come faster than they are probed, the round begins anew: it stays bounded."""
        if len(self._remaining) > 2 * len(self._view.present):
            self._remaining = list(self._view.present)
            self._rng.shuffle(self._remaining)
            return
        self._remaining.insert(self._rng.randrange(len(self._remaining) + 1), name)

    def next(self) -> str | None:
        """Whom to probe now; None where nobody else is there."""
        for _ in range(2):
            while self._remaining:
                name = self._remaining.pop()
                if name in self._view.present:
                    return name
            self._remaining = list(self._view.present)
            self._rng.shuffle(self._remaining)
        return None
