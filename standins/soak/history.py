"""What clients, call servers and the notice board saw, on the one clock of the soak."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

NEVER = float("inf")


@dataclass(slots=True)
class Answer:
    """A final answer as its client heard it."""

    at: float
    status: int
    body: bytes


@dataclass(slots=True)
class Attempt:
    """A set-up that reached a call server whole."""

    at: float
    server: str
    read_late: bool = False  # it had lain at the server for an unknown time
    body_given: bytes = b""  # of the answer that the server made
    never_ran: bool = False  # its answer proves that


@dataclass(slots=True)
class CallRecord:
    """One set-up of a client and all that came of it."""

    name: str
    node: str
    wait_s: float
    sent_at: float = NEVER  # its last byte was written to an accepted connection
    connection: int = 0
    repeatable: bool = True
    gone_at: float = NEVER  # its client closed, or gave it up
    answers: list[Answer] = field(default_factory=list)
    closed_at: float = NEVER  # its connection was ended by the border controller while it was open
    again_after: str = ""  # the set-up that crossed a close and that this one repeats
    repeated_by: str = ""
    attempts: list[Attempt] = field(default_factory=list)
    over_at: float = NEVER  # at its call server, or by its client
    release_sent_at: float = NEVER  # the call server wrote its release to a connection that lives
    client_ended_at: float = NEVER
    told_at: float = NEVER  # its client heard the release
    node_life: int = 0  # which start of its border controller took it

    @property
    def stood(self) -> bool:
        """Whether its client had the answer that it stands."""
        return any(answer.status == 200 for answer in self.answers)


@dataclass(slots=True)
class Event:
    """A line of the story: a fault, a signal, news."""

    at: float
    text: str


class History:
    """Everything that was seen in one run."""

    def __init__(self) -> None:
        self._zero = time.monotonic()
        self.calls: dict[str, CallRecord] = {}
        self.events: list[Event] = []
        self.left_at: dict[tuple[str, str], float] = {}  # node, server: told that it drains or is gone
        self.stray: list[str] = []  # what broke a rule where it happened

    @property
    def now(self) -> float:
        """Seconds since the run began."""
        return time.monotonic() - self._zero

    def tell(self, text: str) -> None:
        """Note an event."""
        self.events.append(Event(self.now, text))

    def broke(self, text: str) -> None:
        """Note a broken rule that shows at once."""
        self.stray.append(f"{self.now:.3f} {text}")
