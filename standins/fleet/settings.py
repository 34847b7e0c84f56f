"""Settings of a fleet: its size, its callers and its call servers. Times are in seconds."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from reedmount import interface as i

Range = tuple[float, float]  # drawn uniformly


def lognormal_sigma(variation: float) -> float:
    """Return sigma of a lognormal distribution with this coefficient of variation."""
    return math.sqrt(math.log(1 + variation**2))


@dataclass(frozen=True, slots=True)
class Kind:
    """A class of calls and its share of the traffic."""

    name: str
    share: float
    worth: float
    target_s: float
    hold_s: float


KINDS = (
    Kind("quote-call", 0.61, 1.0, 1.2, 8.0),
    Kind("assist-call", 0.17, 3.0, 1.5, 9.6),
    Kind("agency-call", 0.22, 1.0, 1.5, 5.6),
)


@dataclass(frozen=True, slots=True)
class Server:
    """Model of a call server. Its processor has one queue; each step of a call is work in it."""

    set_up_s: float = 0.012
    answer_share: float = 0.35  # share of the work of a set-up, for the answer and again for the release
    refusal_share: float = 0.2
    retransmit_share: float = 0.45
    max_wait_s: float = 2.5  # waiting time above which set-ups are refused
    resend_gap_s: float = 0.5
    connections: int = 600  # limit; more are refused
    cold_s: float = 14.0
    cold_start: float = 0.3  # share of the warm capacity
    fall_multiple: float = 2.5
    fall_span_s: float = 1.0
    report_interval_s: float = 1.0  # interval of reports of free lines on open connections
    variation: float = 0.7  # coefficient of variation of the sizes
    lines: float = 0.95  # lines, relative to the set-ups it can do within the mean holding time
    lines_variation: float = 0.5

    @property
    def per_call_s(self) -> float:
        """The work of an established call, from its set-up to its release."""
        return self.set_up_s * (1 + 2 * self.answer_share)


@dataclass(frozen=True, slots=True)
class Callers:
    """Behaviour of callers: uneven arrivals, abandoned tries and redials."""

    load: float = 0.92  # share of the capacity of all call servers
    variation: float = 0.8  # coefficient of variation of the instances' rates
    choice_variation: float = 0.5  # coefficient of variation of the call servers' shares of first choices
    drift_s: float = 14.0  # interval between changes of first choices
    give_up_s: float = 9.0
    try_share: float = 0.35  # share of give_up_s that one try waits
    redials: Range = (2.0, 3.99)
    redial_delay_s: Range = (0.57, 1.3)
    retry_after_share: float = 0.6  # share of callers that obey a retry-after
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)  # begin, end and factor of the arrival rate


@dataclass(frozen=True, slots=True)
class Net:
    """Latencies between zones, delays of list updates, and connection limits of an instance."""

    zones: int = 3
    same_zone_s: Range = (0.0042, 0.007)
    cross_zone_s: Range = (0.0088, 0.024)
    list_delay_s: Range = (0.5, 5.0)
    half_extra_delay_s: float = 0.0  # additional delay of list updates at every other instance
    max_connections_per_server: int = 8  # of an instance to one call server
    max_connections: int = 48


@dataclass(frozen=True, slots=True)
class Day:
    """One day: sizes, traffic and faults. Each fault is a name, a time and a size, see ``faults``."""

    name: str = "calm"
    instances: int = 200
    servers: int = 24
    length_s: float = 40.0
    callers: Callers = field(default_factory=Callers)
    server: Server = field(default_factory=Server)
    net: Net = field(default_factory=Net)
    faults: tuple[tuple[str, float, float], ...] = ()  # name, when, size
    exchange: bool = False  # whether restarted instances learn from others


def module_settings(day: Day) -> i.Settings:
    """Return the settings of the control module of each instance."""
    server = day.server
    return i.Settings(
        instances=day.instances,
        classes=tuple(
            i.CallClass(
                kind.name, kind.worth, 0.25, round(kind.target_s * 1e6), round(day.callers.give_up_s * 1e6),
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
    """Return the predefined days, measured in ``docs/MEASURED-FLEET.md``."""
    calm = Callers(burst=(12.0, 18.0, 1.5))
    return {
        "calm": Day("calm", callers=calm),
        "join": Day("join", faults=(("replace", 10.0, 0.6),)),
        "herd": Day("herd", faults=(("deaths", 12.0, 0.7),)),
        "cut": Day("cut", faults=(("cut", 12.0, 6.0),)),
        "zone": Day("zone", faults=(("zone", 12.0, 5.0),)),
        "bad": Day("bad", faults=(("failing", 5.0, 0.125),)),
    }
