"""How well we do ourselves: Lifeguard's local health multiplier. A slow member must not call others dead."""

from __future__ import annotations

from datetime import timedelta

MAX_SCORE = 8


class LocalHealth:
    """0 is well; our own periods and timeouts are one more than this times as long."""

    def __init__(self) -> None:
        self.score = 0

    def degrade(self, amount: int = 1) -> None:
        """A probe failed, a relay said nothing, or we had to refute our own death."""
        self.score = min(MAX_SCORE, self.score + amount)

    def improve(self) -> None:
        """A probe was answered in time."""
        self.score = max(0, self.score - 1)

    def scaled(self, span: timedelta) -> timedelta:
        """A span of the settings as we have to take it now."""
        return span * (self.score + 1)
