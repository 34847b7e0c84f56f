"""Interfaces between the core, the fronts that offer calls, and the server side."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import Enum
from typing import Protocol

CALL_OVERHEAD = 4096  # bytes of memory
NORMAL, CUT = 16, 41  # Q.850 causes: normal clearing, temporary failure (the call was cut)


@dataclass(frozen=True, slots=True)
class Offer:
    """A call offered by a front; ``name`` is its unique id and is passed on unchanged."""

    name: str
    call_class: str
    number: str
    first_choice: int | None
    answer_by: datetime
    description: bytes
    redialled: bool = False
    was_cut: bool = False
    caller_gives_up_at: datetime | None = None  # when the caller gives up, later than ``answer_by``
    reference: str = ""  # the caller's own id of the call, for records
    size: int = 0  # of its message in bytes, of which the front keeps a part until the answer
    overhead: int = CALL_OVERHEAD  # bytes of memory that the call takes until its end, beside its message


class Progress(Enum):
    """Provisional responses to a set-up."""

    RINGING = "ringing"
    FORWARDED = "forwarded"
    QUEUED = "queued"
    SESSION = "session progress"
    AGAIN = "another begins"  # progress reported for the previous attempt or far end no longer applies


class Caller(Protocol):
    """The caller of a call, as presented to the core by its front."""

    def progressed(self, name: str, progress: Progress, description: bytes) -> None:
        """Report progress of the set-up; fronts whose protocol cannot express it ignore it."""

    def answered(self, name: str, description: bytes) -> None:
        """Final answer: the call is established."""

    def refused(self, name: str, pause: timedelta) -> None:
        """Final answer: refused; a retry after the pause does no harm."""

    def failed(self, name: str) -> None:
        """Final answer: failed."""

    def released(self, name: str, cause: int) -> None:
        """An established call has been released."""


class CallRecorder(Protocol):
    """Records calls. Without a recorder nothing is stored, and no answer waits for it."""

    def call_offered(self, offer: Offer, at: datetime) -> None:
        """Record that a call has come."""

    def call_rejected(
        self, name: str, outcome: str, attempts: int, server: str, answer: Callable[[], None]
    ) -> None:
        """Record that a call was refused or failed; ``answer`` then sends the final answer."""

    def call_ended(self, name: str, how: str) -> None:
        """Record that an established call has ended."""

    def call_forgotten(self, name: str, attempts: int, server: str) -> None:
        """Record that the core has dropped the call, whatever was recorded before."""


@dataclass(frozen=True, slots=True)
class Setup:
    """An attempt for the server side to send."""

    name: str
    attempt: int
    server: str
    call_class: str
    number: str
    give_up: timedelta
    description: bytes


@dataclass(frozen=True, slots=True)
class CancelSetup:
    """Message to a call server's actor: cancel an attempt."""

    name: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Release:
    """Message to a call server's actor: release a call."""

    name: str
    cause: int


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A call server of the pool and its address."""

    server: str
    address: tuple[str, int]
    number: int
    serving: bool
    removed: bool
    started: datetime | None
    transport: str = "tcp"
    band: int = 0
    standby: bool = False  # it could serve, but its band is closed
    # Calls sent there before this are over: a source said then that its process has ended, or started anew.
    ended_before: datetime | None = None


class Servers(Protocol):
    """The server side: it sends set-ups, cancels and releases, and reports the result of each attempt."""

    def send(self, setup: Setup) -> None:
        """Send a set-up; its end or its answer is reported exactly once."""

    def cancel(self, name: str, attempt: int) -> None:
        """Cancel an attempt; its end is reported once the cancel is completely written."""

    def release(self, server: str | None, name: str, cause: int) -> None:
        """Release an established call; ``server`` is None where it is not known which one has it."""

    def servers_changed(self, entries: list[ListedServer]) -> None:
        """Apply changes of the pool; ``entries`` are the changed servers."""
