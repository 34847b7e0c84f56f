"""Claims that sources make about call servers, and the state of a claim at a given time."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from enum import Enum

Endpoint = tuple[str, int]  # address and port identify a call server, whatever its names are


class ClaimState(Enum):
    """State of one source's claim about one server at a given time."""

    UNNAMED = "unnamed"
    SERVING = "serving"
    STALE = "stale"  # its lifetime has expired, the limit for keeping it has not
    EXPIRED = "expired"  # the limit for keeping it has passed as well
    DRAINING = "draining"
    GONE = "gone"  # reported as removed, or missing from a complete, valid answer


LEAVING = frozenset((ClaimState.DRAINING, ClaimState.GONE))


@dataclass(frozen=True, slots=True)
class Claim:
    """A source's claim about one server. ``started`` is None where unknown, as with DNS."""

    endpoint: Endpoint
    name: str
    state: ClaimState = ClaimState.SERVING  # or DRAINING or GONE; the pool derives the others from the age
    transport: str | None = None  # None where the source does not name one
    started: datetime | None = None
    priority: int | None = None  # RFC 2782: the lowest is used first; None where the source has none
    weight: int | None = None
    names_process: bool = False  # another name at the address is another process, and not an alias
    ended: bool = False  # its process has ended; a server that is GONE otherwise finishes its calls

    def __post_init__(self) -> None:
        """Reject states that only the pool derives from the age of a claim."""
        if self.state not in (ClaimState.SERVING, ClaimState.DRAINING, ClaimState.GONE):
            raise ValueError(f"a source cannot report the state {self.state.value}")
