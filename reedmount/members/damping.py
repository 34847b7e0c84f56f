"""Who flaps: members that die and come back again and again, after RFC 2439's damping of routes."""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import datetime, timedelta

DEATH_PENALTY = 1000.0  # what a death that was none, or a restart, costs
SUPPRESS_THRESHOLD = 3000.0  # over this a member is damped
REUSE_THRESHOLD = 1000.0  # under this it is not any more
MAX_PENALTY = 6000.0  # so that the longest damping is bounded: log2(6) half-lives
FORGET_THRESHOLD = 50.0
HALF_LIFE = timedelta(seconds=30)


@dataclass(slots=True)
class _Penalty:
    penalty: float
    updated_at: datetime
    damped: bool = False

    def decayed(self, now: datetime) -> float:
        return self.penalty * math.exp2(-((now - self.updated_at) / HALF_LIFE))


class Damping:
    """The penalties. A name is kept while its penalty counts for something: ``sweep`` empties it."""

    def __init__(self) -> None:
        self._penalties: dict[str, _Penalty] = {}

    def __len__(self) -> int:
        """How many have a penalty."""
        return len(self._penalties)

    @property
    def names(self) -> list[str]:
        """Who is damped now."""
        return sorted(name for name, entry in self._penalties.items() if entry.damped)

    def penalize(self, now: datetime, name: str) -> bool:
        """One that was called dead is alive; whether that makes it a damped one."""
        entry = self._penalties.setdefault(name, _Penalty(0.0, now))
        entry.penalty, entry.updated_at = min(MAX_PENALTY, entry.decayed(now) + DEATH_PENALTY), now
        newly_damped = entry.penalty > SUPPRESS_THRESHOLD and not entry.damped
        entry.damped = entry.damped or newly_damped
        return newly_damped

    def is_damped(self, name: str) -> bool:
        """Whether its word that it is well does not count now, as of the latest sweep."""
        entry = self._penalties.get(name)
        return entry is not None and entry.damped

    def sweep(self, now: datetime) -> list[str]:
        """Let penalties fade; who is damped no more."""
        released = []
        for name, entry in list(self._penalties.items()):
            penalty = entry.decayed(now)
            if entry.damped and penalty < REUSE_THRESHOLD:
                entry.damped = False
                released.append(name)
            if penalty < FORGET_THRESHOLD:
                del self._penalties[name]
        return released
