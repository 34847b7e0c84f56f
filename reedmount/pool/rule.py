"""The rule where sources disagree, as the table in docs/design/sources.md has it."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from reedmount.pool.claims import ClaimState


class Rule(Enum):
    """Why a server is where it is; the text is for the door."""

    GONE = "a source says that it is gone, or left it out of a good answer"
    DRAINING = "a source says that it drains"
    HEARSAY = "another member saw that it drains or is gone; our own sources have not said so yet"
    SERVING = "a source names it"
    KEPT = "named last by a source that is silent, within its bound"
    EXPIRED = "all that name it are silent beyond their bound"
    LAST_RESORT = "all that name it are silent beyond their bound, and there is no other server"
    UNNAMED = "no source names it"


SERVES = frozenset((Rule.SERVING, Rule.KEPT, Rule.LAST_RESORT))
OURS = SERVES | {Rule.HEARSAY}  # would serve by our own sources alone

# The first line that fits decides: the safer view stands above the others.
TABLE = (
    (ClaimState.GONE, Rule.GONE),
    (ClaimState.DRAINING, Rule.DRAINING),
    (ClaimState.SERVING, Rule.SERVING),
    (ClaimState.STALE, Rule.KEPT),
    (ClaimState.EXPIRED, Rule.EXPIRED),
)


def decide(words: Iterable[ClaimState]) -> Rule:
    """What holds of a server of which its sources say this, in whatever order."""
    said = set(words)
    for word, rule in TABLE:
        if word in said:
            return rule
    return Rule.UNNAMED
