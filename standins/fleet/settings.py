"""How large a fleet is, how it is called, and how its call servers are built. Spans are seconds."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from reedmount import interface as i

Span = tuple[float, float]  # drawn evenly between these


def sigma(variation: float) -> float:
    """Of a lognormal law with that coefficient of variation."""
    return math.sqrt(math.log(1 + variation**2))


@dataclass(frozen=True, slots=True)
class Kind:
    """A class of calls, and how much of the traffic it is."""

    name: str
    share: float
    worth: float
    aim_s: float
    hold_s: float


KINDS = (
    Kind("quote-call", 0.61, 1.0, 1.2, 8.0),
    Kind("assist-call", 0.17, 3.0, 1.5, 9.6),
    Kind("agency-call", 0.22, 1.0, 1.5, 5.6),
)


@dataclass(frozen=True, slots=True)
class Server:
    """What a call server is like. Its processor has one line; each part of a call is work in it."""

    set_up_s: float = 0.012
    answer: float = 0.35  # of the work of a set-up, and as much again for the release
    refusal: float = 0.2
    repeat: float = 0.45
    full_s: float = 2.5  # of waiting, past which set-ups are turned away
    resend_gap_s: float = 0.5
    connections: int = 600  # that it holds; more are refused
    cold_s: float = 14.0
    cold_start: float = 0.3  # of what it can do warm
    fall_multiple: float = 2.5
    fall_span_s: float = 1.0
    told_s: float = 1.0  # how often it tells its free lines on open connections
    uneven: float = 0.7  # coefficient of variation of their sizes
    lines: float = 0.95  # room for standing calls, over what it sets up in the mean time that a call stands
    lines_uneven: float = 0.5

    @property
    def per_call_s(self) -> float:
        """The work of a call that stands, from its set-up to its release."""
        return self.set_up_s * (1 + 2 * self.answer)


@dataclass(frozen=True, slots=True)
class Callers:
    """What callers do: they come thin and unevenly, give a try up, and dial again."""

    load: float = 0.92  # of what all call servers can do
    uneven: float = 0.8  # coefficient of variation of the instances' rates
    favours: float = 0.5  # and of the call servers' shares of first choices
    drift_s: float = 14.0  # from one spread of first choices to the next
    give_up_s: float = 9.0
    try_share: float = 0.35  # of that a try waits
    redials: Span = (2.0, 3.99)
    back_s: Span = (0.57, 1.3)
    honour: float = 0.6  # of callers come back when they were told to
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)  # from, until, and how many times the usual


@dataclass(frozen=True, slots=True)
class Net:
    """Ways between zones, how late the list's news come, and what an instance may hold."""

    zones: int = 3
    near_s: Span = (0.0042, 0.007)
    far_s: Span = (0.0088, 0.024)
    news_s: Span = (0.5, 5.0)
    half_later_s: float = 0.0  # by so much later every other instance hears of the list
    lanes_most: int = 8  # connections of an instance to a call server
    lanes_in_all: int = 48


@dataclass(frozen=True, slots=True)
class Day:
    """One day: sizes, traffic and troubles. A trouble is a name and its figures, see ``faults``."""

    name: str = "calm"
    instances: int = 200
    servers: int = 24
    length_s: float = 40.0
    callers: Callers = field(default_factory=Callers)
    server: Server = field(default_factory=Server)
    net: Net = field(default_factory=Net)
    troubles: tuple[tuple[str, float, float], ...] = ()  # name, when, size
    exchange: bool = False  # whether instances that start anew learn from others


def module_settings(day: Day) -> i.Settings:
    """What an instance is told at its start."""
    server = day.server
    return i.Settings(
        instances=day.instances,
        classes=tuple(
            i.CallClass(
                kind.name, kind.worth, 0.25, round(kind.aim_s * 1e6), round(day.callers.give_up_s * 1e6),
                i.Effect.REPEATABLE, None,
            )
            for kind in KINDS
        ),
        tenants=(),
        over_quota_share=0.1,
        resend_gap_us=round(server.resend_gap_s * 1e6),
        release_wait_us=230_000,
        cold_us=round(server.cold_s * 1e6),
        cold_start_share=server.cold_start,
        fall_multiple=server.fall_multiple,
        fall_span_us=round(server.fall_span_s * 1e6),
        max_attempts=4,
        may_cancel=True,
        redials_marked=False,
        subscribe=False,
    )  # fmt: skip


def days() -> dict[str, Day]:
    """The days that are kept: what is measured in ``docs/MEASURED-FLEET.md``."""
    calm = Callers(burst=(12.0, 18.0, 1.5))
    return {
        "calm": Day("calm", callers=calm),
        "join": Day("join", troubles=(("replace", 10.0, 0.6),)),
        "herd": Day("herd", troubles=(("deaths", 12.0, 0.7),)),
        "cut": Day("cut", troubles=(("cut", 12.0, 6.0),)),
        "zone": Day("zone", troubles=(("zone", 12.0, 5.0),)),
        "bad": Day("bad", troubles=(("failing", 5.0, 0.125),)),
    }
