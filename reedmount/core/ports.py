"""The core's ports: what fronts give it, what it gives back, and what it asks of the server side."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import Enum
from typing import Protocol

NORMAL, CUT = 16, 41  # Q.850 causes: the call came to its end, it was cut


@dataclass(frozen=True, slots=True)
class Offer:
    """A call as a front gives it; ``name`` tells it from all others and goes on unchanged."""

    name: str
    call_class: str
    number: str
    first_choice: int | None
    answer_by: datetime
    description: bytes
    redialled: bool = False
    was_cut: bool = False
    caller_gives_up_at: datetime | None = None  # when its caller gives up, which is later than ``answer_by``
    reference: str = ""  # what its caller calls it, for records


class Progress(Enum):
    """What is told of a set-up before its final answer."""

    RINGING = "ringing"
    FORWARDED = "forwarded"
    QUEUED = "queued"
    SESSION = "session progress"
    AGAIN = "another begins"  # what was told of the attempt or far end before holds no more


class Caller(Protocol):
    """The caller of a call, as its front shows it to the core."""

    def progressed(self, name: str, progress: Progress, description: bytes) -> None:
        """Not final: how far the set-up has come. Fronts whose wire has no word for it say nothing."""

    def answered(self, name: str, description: bytes) -> None:
        """Final answer: the call stands."""

    def refused(self, name: str, pause: timedelta) -> None:
        """Final answer: refused; trying again after the pause is harmless."""

    def failed(self, name: str) -> None:
        """Final answer: failed."""

    def released(self, name: str, cause: int) -> None:
        """A call that stood is over."""


class CallRecorder(Protocol):
    """Who keeps what was promised of calls. Where there is none, nothing is, and nothing waits for it."""

    def call_offered(self, offer: Offer, at: datetime) -> None:
        """A call has come."""

    def call_rejected(
        self, name: str, outcome: str, attempts: int, server: str, answer: Callable[[], None]
    ) -> None:
        """It is refused or has failed; ``answer`` tells its caller."""

    def call_ended(self, name: str, how: str) -> None:
        """A call that stood has come to its end."""

    def call_forgotten(self, name: str, attempts: int, server: str) -> None:
        """It is forgotten, whatever was said of it before."""


@dataclass(frozen=True, slots=True)
class Setup:
    """One attempt, as the server side is to send it."""

    name: str
    attempt: int
    server: str
    call_class: str
    number: str
    give_up: timedelta
    description: bytes


@dataclass(frozen=True, slots=True)
class CancelSetup:
    """Word to a call server's actor: stop an attempt."""

    name: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Release:
    """Word to a call server's actor: release a call."""

    name: str
    cause: int


@dataclass(frozen=True, slots=True)
class ListedServer:
    """One call server of the pool, with the address it is reached at."""

    server: str
    address: tuple[str, int]
    number: int
    serving: bool
    removed: bool
    started: datetime | None
    transport: str = "tcp"
    band: int = 0
    standby: bool = False  # it could serve, but its band is closed


class Servers(Protocol):
    """The server side: it sends set-ups, cancels and releases, and reports how each went."""

    def send(self, setup: Setup) -> None:
        """Send a set-up; its end or its answer is reported exactly once."""

    def cancel(self, name: str, attempt: int) -> None:
        """Stop an attempt; its end is reported once that is wholly written."""

    def release(self, server: str | None, name: str, cause: int) -> None:
        """Release a call that stands; None where it is not known which server has it."""

    def servers_changed(self, entries: list[ListedServer]) -> None:
        """The pool has changed: these are the changed servers."""
