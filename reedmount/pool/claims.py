"""What sources say of call servers: claims as they come, and what they are worth at an instant."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from enum import Enum

Endpoint = tuple[str, int]  # address and port: that is what a call server is, whatever its names


class ClaimState(Enum):
    """What one source says of one server, at an instant."""

    UNNAMED = "unnamed"
    SERVING = "serving"
    STALE = "stale"  # named last; its lifetime is over, the bound for keeping it is not
    EXPIRED = "expired"  # the bound is over as well
    DRAINING = "draining"
    GONE = "gone"  # said so, or left out of a complete, good answer


LEAVING = frozenset((ClaimState.DRAINING, ClaimState.GONE))


@dataclass(frozen=True, slots=True)
class Claim:
    """One server as a source names it. ``started`` only where the source knows it: none of DNS does."""

    endpoint: Endpoint
    name: str
    state: ClaimState = ClaimState.SERVING  # or DRAINING or GONE; the others are a matter of time
    transport: str | None = None  # None where the source does not say
    started: datetime | None = None
    priority: int | None = None  # RFC 2782: the lower first; None where the source ranks none
    weight: int | None = None

    def __post_init__(self) -> None:
        """Ages are the pool's to tell."""
        if self.state not in (ClaimState.SERVING, ClaimState.DRAINING, ClaimState.GONE):
            raise ValueError(f"no source can say {self.state.value}")
