"""Whom to probe next, and which probes are out: the round of SWIM, without a word of what follows from it."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from reedmount.members.timer_queue import Due
from reedmount.members.view import View

MAX_RELAYED = 256  # probes that we carry out for others at once; more are not begun


@dataclass(slots=True)
class Probe:
    """A probe of ours: answered, or not by the end of its period."""

    seq: int
    name: str
    incarnation: int
    of_the_dead: bool
    asked: set[str] = field(default_factory=set)  # relays whose word is still out
    relays: list[str] = field(default_factory=list)  # that were asked
    dues: list[Due] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Relayed:
    """A probe for another member."""

    asker: str
    seq: int  # the asker's
    due: Due


class Round:
    """Each member that is there once in a round, in random order; newcomers at a random place of this one.

    So each is probed at least once in two rounds, whatever the draw: SWIM's bound of the detection time.
    """

    def __init__(self, view: View, rng: random.Random) -> None:
        self._view, self._rng = view, rng
        self._left: list[str] = []  # of this round, the next one last

    def joined(self, name: str) -> None:
        """One more. Where they come faster than they are probed, the round begins anew: it stays bounded."""
        if len(self._left) > 2 * len(self._view.there):
            self._left = list(self._view.there)
            self._rng.shuffle(self._left)
            return
        self._left.insert(self._rng.randrange(len(self._left) + 1), name)

    def next(self) -> str | None:
        """Whom to probe now; None where nobody else is there."""
        for _ in range(2):
            while self._left:
                name = self._left.pop()
                if name in self._view.there:
                    return name
            self._left = list(self._view.there)
            self._rng.shuffle(self._left)
        return None
