"""Lifeguard's local health multiplier: a slow member must not declare others dead."""

from __future__ import annotations

from datetime import timedelta

MAX_SCORE = 8


class LocalHealth:
    """A score from 0, healthy; our own periods and timeouts are multiplied by the score plus one."""

    def __init__(self) -> None:
        self.score = 0

    def degrade(self, amount: int = 1) -> None:
        """Raise the score: a probe failed, a relay sent no NACK, or this member had to refute a claim."""
        self.score = min(MAX_SCORE, self.score + amount)

    def improve(self) -> None:
        """Lower the score: a probe was answered in time."""
        self.score = max(0, self.score - 1)

    def scaled(self, span: timedelta) -> timedelta:
        """A configured span, multiplied by the current local health."""
        return span * (self.score + 1)
