"""The rule that merges the claims of all sources, as tabled in docs/design/sources.md."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from reedmount.pool.claims import ClaimState


class Rule(Enum):
    """Which rule decided the state of a server; the value is the explanation on the admin interface."""

    GONE = "a source says that it is gone, or left it out of a good answer"
    DRAINING = "a source says that it drains"
    HEARSAY = "another member saw that it drains or is gone; our own sources have not said so yet"
    SERVING = "a source names it"
    KEPT = "named last by a source that is silent, within its bound"
    EXPIRED = "all that name it are silent beyond their bound"
    LAST_RESORT = "all that name it are silent beyond their bound, and there is no other server"
    UNNAMED = "no source names it"


SERVING_RULES = frozenset((Rule.SERVING, Rule.KEPT, Rule.LAST_RESORT))
OWN_SERVING_RULES = SERVING_RULES | {Rule.HEARSAY}  # would serve if only our own sources counted

# The first matching line decides: safer states come before the others.
TABLE = (
    (ClaimState.GONE, Rule.GONE),
    (ClaimState.DRAINING, Rule.DRAINING),
    (ClaimState.SERVING, Rule.SERVING),
    (ClaimState.STALE, Rule.KEPT),
    (ClaimState.EXPIRED, Rule.EXPIRED),
)


def decide(states: Iterable[ClaimState]) -> Rule:
    """Return the rule for the states that the sources report of one server; their order doesn't matter."""
    reported = set(states)
    for state, rule in TABLE:
        if state in reported:
            return rule
    return Rule.UNNAMED
