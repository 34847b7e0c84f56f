"""Flap damping of members that repeatedly die and come back, after RFC 2439's route damping."""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import datetime, timedelta

DEATH_PENALTY = 1000.0  # per false death or restart
SUPPRESS_THRESHOLD = 3000.0  # above this a member is damped
REUSE_THRESHOLD = 1000.0  # below this it is released
MAX_PENALTY = 6000.0  # bounds the longest damping: log2(6) half-lives
FORGET_THRESHOLD = 50.0
HALF_LIFE = timedelta(seconds=30)


@dataclass(slots=True)
class _Penalty:
    penalty: float
    updated_at: datetime
    is_damped: bool = False

    def decayed(self, now: datetime) -> float:
        return self.penalty * math.exp2(-((now - self.updated_at) / HALF_LIFE))


class Damping:
    """Penalties by name; ``sweep`` removes those that have decayed."""

    def __init__(self) -> None:
        self._penalties: dict[str, _Penalty] = {}

    def __len__(self) -> int:
        """The number of names with a penalty."""
        return len(self._penalties)

    @property
    def names(self) -> list[str]:
        """The damped names, sorted."""
        return sorted(name for name, entry in self._penalties.items() if entry.is_damped)

    def penalize(self, now: datetime, name: str) -> bool:
        """Add a penalty; returns whether the name becomes damped by it."""
        entry = self._penalties.setdefault(name, _Penalty(0.0, now))
        entry.penalty, entry.updated_at = min(MAX_PENALTY, entry.decayed(now) + DEATH_PENALTY), now
        newly_damped = entry.penalty > SUPPRESS_THRESHOLD and not entry.is_damped
        entry.is_damped = entry.is_damped or newly_damped
        return newly_damped

    def is_damped(self, name: str) -> bool:
        """Whether a name is damped, as of the latest sweep."""
        entry = self._penalties.get(name)
        return entry is not None and entry.is_damped

    def sweep(self, now: datetime) -> list[str]:
        """Release and remove names whose penalties have decayed; returns the released ones."""
        released = []
        for name, entry in list(self._penalties.items()):
            penalty = entry.decayed(now)
            if entry.is_damped and penalty < REUSE_THRESHOLD:
                entry.is_damped = False
                released.append(name)
            if penalty < FORGET_THRESHOLD:
                del self._penalties[name]
        return released
