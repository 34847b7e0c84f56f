"""What clients, call servers and the notice board saw, on the one clock of the soak."""

from __future__ import annotations

import time
from collections.abc import Callable
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
    ended_at: float = NEVER  # its end was written, it was cancelled, or its connection ended
    clean_end: bool = False  # by an answer of its server that left no doubt: no pause is owed
    answered_whole_at: float = NEVER  # that it stands, in an answer that nothing spoilt
    over_at: float = NEVER  # its call ended at this server
    released_by_us: bool = False  # by the border controller
    disturbed: bool = False  # its server was silent at some time while it was out


@dataclass(slots=True)
class CallRecord:
    """One set-up of a client and all that came of it."""

    name: str
    node: str
    wait_s: float
    sent_at: float = NEVER  # its last byte was written to an accepted connection
    repeatable: bool = True
    gone_at: float = NEVER  # its client closed, or gave it up
    cancelled: bool = False  # in words, not by a close
    answers: list[Answer] = field(default_factory=list)
    closed_at: float = NEVER  # its connection was ended by the border controller while it was open
    again_after: str = ""  # the set-up that crossed a close and that this one repeats
    repeated_by: str = ""
    attempts: list[Attempt] = field(default_factory=list)
    over_at: float = NEVER  # at its call server, or by its client
    release_sent_at: float = NEVER  # the call server wrote its release to a connection that lives
    client_ended_at: float = NEVER
    untellable: bool = False  # no client had a connection when its release was sent
    told_at: float = NEVER  # its client heard the release
    node_life: int = 0  # which start of its border controller took it
    trail: list[str] = field(default_factory=list)  # what clients and call servers did with it, for the story

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
        self.life: dict[str, int] = {}  # which start of each border controller is the present one
        self.reachable: dict[str, Callable[[], bool]] = {}  # whether its clients have a connection to it
        self.stray: list[str] = []  # what broke a rule where it happened

    @property
    def now(self) -> float:
        """Seconds since the run began."""
        return time.monotonic() - self._zero

    def tell(self, text: str) -> None:
        """Note an event."""
        self.events.append(Event(self.now, text))

    def follow(self, name: str, text: str) -> None:
        """Note what was done with a call."""
        call = self.calls.get(name)
        if call is not None:
            call.trail.append(f"{self.now:.3f} {text}")

    def broke(self, text: str) -> None:
        """Note a broken rule that shows at once."""
        self.stray.append(f"{self.now:.3f} {text}")
