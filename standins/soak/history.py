"""What clients, call servers and the notice board observed, on the one clock of the soak test."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

NEVER = float("inf")


@dataclass(slots=True)
class Answer:
    """A final answer as the client received it."""

    at: float
    status: int
    body: bytes


@dataclass(slots=True)
class Attempt:
    """A set-up that reached a call server completely."""

    at: float
    server: str
    read_delayed: bool = False  # it may have been queued unread at the server for an unknown time
    answer_body: bytes = b""  # body of the 200 that the server generated
    not_executed: bool = False  # the answer proves that the set-up was not executed
    ended_at: float = NEVER  # final answer written, CANCEL received, or connection closed
    clean_end: bool = False  # ended by an unambiguous answer: no pause is required before the next attempt
    answer_completed_at: float = NEVER  # when an intact 200 was written
    call_ended_at: float = NEVER  # when the call ended at this server
    released_by_controller: bool = False  # the border controller released the call
    server_failed: bool = False  # the server was silent at some time while the attempt was pending


@dataclass(slots=True)
class CallRecord:
    """One set-up of a client and everything that resulted from it."""

    name: str
    node: str
    wait_s: float
    sent_at: float = NEVER  # when the last byte was written to an accepted connection
    repeatable: bool = True
    abandoned_at: float = NEVER  # when the client closed the connection, cancelled or was cut off
    left_at: float = NEVER  # when the border controller could notice it: the close or the CANCEL was written
    cancelled: bool = False  # by a CANCEL, not by closing the connection
    answers: list[Answer] = field(default_factory=list)
    closed_at: float = NEVER  # the border controller closed the connection while the set-up was open
    repeats_call: str = ""  # name of the set-up that crossed a close and is repeated by this one
    repeated_by: str = ""
    attempts: list[Attempt] = field(default_factory=list)
    call_ended_at: float = NEVER  # at the call server, or by the client
    release_sent_at: float = NEVER  # the call server wrote its release to a connection of the current process
    client_ended_at: float = NEVER
    no_client_reachable: bool = False  # no client was connected when the release was sent
    notified_at: float = NEVER  # when the client received the release
    node_process: int = 0  # which process of the border controller received the set-up
    trail: list[str] = field(default_factory=list)  # steps of clients and call servers, for the event history

    @property
    def established(self) -> bool:
        """Whether the client received a 200."""
        return any(answer.status == 200 for answer in self.answers)


@dataclass(slots=True)
class Event:
    """A line of the event history: a fault, a signal, or a change of state."""

    at: float
    text: str


class History:
    """Everything that was observed in one run."""

    def __init__(self) -> None:
        self._started_at = time.monotonic()
        self.calls: dict[str, CallRecord] = {}
        self.events: list[Event] = []
        self.leave_sent_at: dict[
            tuple[str, str], float
        ] = {}  # (node, server): when the notice that the server leaves was sent
        self.process_numbers: dict[str, int] = {}  # number of the current process of each border controller
        self.reachable: dict[str, Callable[[], bool]] = {}  # by node: whether any client is connected to it
        self.violations: list[str] = []  # rule violations detected while the run was in progress

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._started_at

    def record_event(self, text: str) -> None:
        """Add an event to the history."""
        self.events.append(Event(self.now, text))

    def record_step(self, name: str, text: str) -> None:
        """Add a step to the trail of a call."""
        call = self.calls.get(name)
        if call is not None:
            call.trail.append(f"{self.now:.3f} {text}")

    def record_violation(self, text: str) -> None:
        """Record a violation that is detected at once."""
        self.violations.append(f"{self.now:.3f} {text}")
