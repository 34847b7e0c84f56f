"""Inputs and outputs of the controller: settings, events and actions.

There is no decision logic here. All times are integer microseconds; clock times are on the clock that is
passed to ``Controller.handle``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class ServerState(Enum):
    """State of a server in the pool list."""

    SERVING = "serving"
    STANDBY = "standby"  # its band is closed
    DRAINING = "draining"
    REMOVED = "removed"


class ListKind(Enum):
    """How a pool list relates to the previous one."""

    CHANGES = "changes"
    WHOLE = "whole"
    SAVED = "saved"
    FAILED = "failed"


class Outcome(Enum):
    """How an attempt ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    FULL = "full"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class Cause(Enum):
    """Why an attempt was refused, where the answer says so."""

    NONE = "none"
    NO_LINE = "no free line"
    PROCESSOR_FULL = "processor full"
    NUMBER_BUSY = "all lines of the number busy"
    OTHER = "other"


class Effect(Enum):
    """Effect of executing a call of a class more than once."""

    REPEATABLE = "repeatable"
    KEYED = "keyed"
    ONCE = "once"


@dataclass(frozen=True, slots=True)
class CallClass:
    """A class of calls: ``target_us`` is the wanted set-up time, ``late_share`` the worth left after it."""

    name: str
    worth: float
    late_share: float
    target_us: int
    give_up_us: int
    effect: Effect
    servers: tuple[int, ...] | None


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and the rate, over all instances, up to which its calls count in full."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a site, the same for each instance."""

    instances: int
    classes: tuple[CallClass, ...]
    tenants: tuple[Tenant, ...]
    over_quota_share: float
    resend_gap_us: int
    release_wait_us: int
    cold_us: int
    cold_start_share: float
    fall_multiple: float
    fall_span_us: int
    max_attempts: int
    may_cancel: bool
    redials_marked: bool
    subscribe: bool
    max_retry_after_us: float = math.inf  # longest wait that refused callers respect; 0: none is sent


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a server as reported by itself; ``None`` for values not reported."""

    free_lines: float | None = None
    lines: float | None = None
    wait_us: int | None = None


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """An entry of a pool list; ``started_us`` is 0 where the start is long past."""

    server: str
    number: int
    state: ServerState
    started_us: int
    band: int = 0  # priority as in RFC 2782: the lowest band with room is used


@dataclass(frozen=True, slots=True)
class ServerList:
    """A pool list or changes to it."""

    version: int
    kind: ListKind
    entries: tuple[ServerEntry, ...]


@dataclass(frozen=True, slots=True)
class NewCall:
    """A caller requests a set-up; the final answer is due by ``answer_by_us``."""

    call: int
    call_class: str
    tenant: str | None
    number: str | None
    first_choice: int | None
    answer_by_us: int
    redialled: bool
    was_cut: bool


@dataclass(frozen=True, slots=True)
class CallEstablished:
    """An attempt was answered: the call is set up."""

    call: int
    attempt: int
    server: str
    delay_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; ``closed`` if the call has as well."""

    call: int
    attempt: int
    server: str
    outcome: Outcome
    closed: bool
    delay_us: int
    cause: Cause
    report: LoadReport


@dataclass(frozen=True, slots=True)
class CallerAbandoned:
    """The caller gave up; no final answer is due."""

    call: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer has expired."""

    name: str


@dataclass(frozen=True, slots=True)
class LoadReports:
    """Load reports of servers, unsolicited or in answer to a probe.

    Reports that arrive together form one event: each event makes the controller check all its calls and
    servers, and many servers report at the same instant.
    """

    reports: tuple[tuple[str, LoadReport], ...]


@dataclass(frozen=True, slots=True)
class PeerNote:
    """A message from another instance."""

    sender: int
    body: bytes


Event = (
    ServerList
    | NewCall
    | CallEstablished
    | AttemptEnded
    | CallerAbandoned
    | TimerFired
    | LoadReports
    | PeerNote
)


@dataclass(frozen=True, slots=True)
class SendSetup:
    """Send the call to a server; the attempt times out after ``give_up_us``."""

    call: int
    server: str
    give_up_us: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    call: int
    attempt: int


class Reason(Enum):
    """Why no further attempt is made."""

    NO_ATTEMPT_LEFT = "no attempt left"
    FAULTS = "servers answered it with faults"
    MAY_HAVE_RUN = "may have run and must not run twice"
    NO_SERVER = "waited for a server in vain"
    NO_TIME = "no time left for an attempt"
    SHED = "too many calls wait"


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Final answer: refused, with the time after which to redial (0 for none)."""

    call: int
    retry_after_us: int
    reason: Reason = Reason.NO_SERVER


@dataclass(frozen=True, slots=True)
class FailCall:
    """Final answer: failed."""

    call: int
    reason: Reason = Reason.MAY_HAVE_RUN


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a ``TimerFired`` after a time."""

    name: str
    after_us: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to updates of the pool list, where they are not sent unasked."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators' log."""

    text: str


Action = SendSetup | CancelAttempt | RefuseCall | FailCall | SetTimer | Subscribe | Log
