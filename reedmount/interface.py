"""What goes into and out of the controller: settings, events and actions.

Nothing here decides anything. All times are integer microseconds; clock times are on the clock that is
passed to ``Controller.handle``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class ServerState(Enum):
    """What the pool list says of a server."""

    SERVING = "serving"
    STANDBY = "standby"  # in a band that is closed
    DRAINING = "draining"
    REMOVED = "removed"


class ListKind(Enum):
    """How a pool list relates to the one held before."""

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
    """Why an attempt was turned away, where the answer says so."""

    NONE = "none"
    NO_LINE = "no free line"
    PROCESSOR_FULL = "processor full"
    NUMBER_BUSY = "all lines of the number busy"
    OTHER = "other"


class Effect(Enum):
    """What repeating a call of a class may do."""

    REPEATABLE = "repeatable"
    KEYED = "keyed"
    ONCE = "once"


@dataclass(frozen=True, slots=True)
class CallClass:
    """One class of calls: ``target_us`` is the wanted set-up time, ``late_share`` the worth left after it."""

    name: str
    worth: float
    late_share: float
    target_us: int
    give_up_us: int
    effect: Effect
    servers: tuple[int, ...] | None


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and the rate, over all proxies, up to which its calls count in full."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What a site tells each proxy at its start."""

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
    max_retry_after_us: float = math.inf  # that callers heed when they are refused; 0: they are told none


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a server told of itself; ``None`` where it said nothing."""

    free_lines: float | None = None
    lines: float | None = None
    wait_us: int | None = None


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One line of a pool list; ``started_us`` is 0 where the start is long past."""

    server: str
    number: int
    state: ServerState
    started_us: int
    band: int = 0  # RFC 2782's priority: the lowest with room is used


@dataclass(frozen=True, slots=True)
class ServerList:
    """News of the pool."""

    version: int
    kind: ListKind
    entries: tuple[ServerEntry, ...]


@dataclass(frozen=True, slots=True)
class NewCall:
    """A caller asks for a set-up; the final answer is due by ``answer_by_us``."""

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
    """An attempt is over; ``closed`` says that the call is too."""

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
    """The caller left; nothing more is owed."""

    call: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set earlier has run out."""

    name: str


@dataclass(frozen=True, slots=True)
class LoadReports:
    """What servers told of themselves, unasked or to a probe. All that came at once are one event: each event
    costs the module a look at all that it holds, and many servers tell at the same instant."""

    reports: tuple[tuple[str, LoadReport], ...]


@dataclass(frozen=True, slots=True)
class PeerNote:
    """A note from another proxy."""

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
    """Send the call to a server; the attempt ends by itself after ``give_up_us``."""

    call: int
    server: str
    give_up_us: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    call: int
    attempt: int


class Reason(Enum):
    """Why a call is given up."""

    NO_ATTEMPT_LEFT = "no attempt left"
    FAULTS = "servers answered it with faults"
    MAY_HAVE_RUN = "may have run and must not run twice"
    NO_SERVER = "waited for a server in vain"
    NO_TIME = "no time left for an attempt"
    SHED = "too many calls wait"


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Final answer: refused, with advice when to dial again (0 for none)."""

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
    """Ask for ``TimerFired`` after a while."""

    name: str
    after_us: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for news of the pool list, where it does not come by itself."""


@dataclass(frozen=True, slots=True)
class Log:
    """One line for the staff."""

    text: str


Action = SendSetup | CancelAttempt | RefuseCall | FailCall | SetTimer | Subscribe | Log
