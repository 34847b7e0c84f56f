"""Counters over a fleet and the result that is computed from them."""

from __future__ import annotations

import statistics
from collections import Counter, defaultdict
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from standins.fleet.processor import Processor

STEP_S = 0.02  # sends to one call server are counted in steps of this length


@dataclass(slots=True)
class Figures:
    """Counts over all instances of a day."""

    worth: float = 0.0  # offered
    earned: float = 0.0
    late: float = 0.0  # worth earned after the target time
    offered: int = 0
    tries: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)  # outcomes of tries
    sends: int = 0
    second_choice: int = 0  # calls established at another server than the first choice
    overdue: int = 0
    by_second: dict[int, list[float]] = field(default_factory=lambda: defaultdict(lambda: [0.0, 0.0]))
    steps: dict[str, Counter[int]] = field(default_factory=lambda: defaultdict(Counter))
    delays: list[float] = field(default_factory=list)
    by_instance: dict[tuple[int, int], list[float]] = field(  # as by_second, per instance
        default_factory=lambda: defaultdict(lambda: [0.0, 0.0])
    )

    def offer(self, now_s: float, worth: float, instance: int) -> None:
        """Count a first try at an instance."""
        self.by_instance[instance, int(now_s)][0] += worth
        self.offered += 1
        self.worth += worth
        self.by_second[int(now_s)][0] += worth

    def earn(self, first_s: float, worth: float, late: bool, instance: int) -> None:
        """Count an established call, by the time and instance of its first try."""
        self.by_instance[instance, int(first_s)][1] += worth
        self.earned += worth
        self.late += worth if late else 0.0
        self.by_second[int(first_s)][1] += worth

    def send(self, now_s: float, server: str) -> None:
        """Count a set-up that was sent."""
        self.sends += 1
        self.steps[server][int(now_s / STEP_S)] += 1

    @property
    def service(self) -> float:
        """Return worth earned over worth offered."""
        return self.earned / max(1e-9, self.worth)

    def service_of(self, instances: Collection[int], since_s: int, until_s: int) -> float:
        """Return the service of these instances for calls first tried within a span of whole seconds."""
        pairs = [
            pair
            for (instance, at), pair in self.by_instance.items()
            if instance in instances and since_s <= at < until_s
        ]
        return sum(pair[1] for pair in pairs) / max(1e-9, sum(pair[0] for pair in pairs))

    def worst(self, span: int = 10) -> float:
        """Return the lowest service over any ``span`` consecutive seconds."""
        seconds = sorted(self.by_second)[1:-1]
        shares = []
        for first in seconds[: max(1, len(seconds) - span + 1)]:
            window = [self.by_second[at] for at in range(first, first + span) if at in self.by_second]
            offered = sum(pair[0] for pair in window)
            shares.append(sum(pair[1] for pair in window) / offered if offered else 1.0)
        return min(shares, default=1.0)

    def synchrony(self) -> float:
        """Return variance over mean of the sends to a server per step; 1 for independent senders."""
        ratios = []
        for counts in self.steps.values():
            first, last = min(counts), max(counts)
            row = [counts[at] for at in range(first, last + 1)]
            if len(row) > 50:
                ratios.append(statistics.pvariance(row) / max(1e-9, statistics.fmean(row)))
        return statistics.fmean(ratios) if ratios else 1.0

    def delay(self, share: float) -> float:
        """Return a quantile of the time from a try until the call is established."""
        ordered = sorted(self.delays) or [0.0]
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

    @property
    def second_share(self) -> float:
        """Return the share of established calls that are not at their first choice."""
        return self.second_choice / max(1, self.outcomes["stands"])


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a day over the whole fleet."""

    day: str
    calls: int
    service: float  # worth earned over worth offered
    worst: float  # over 10 s
    late: float  # share of the worth offered
    second: float  # share of established calls at another server than the first choice
    sends: float  # per call
    waste: float  # share of the work done
    no_line: float  # per call, attempts refused for lack of a free line
    opened: float  # connections per call
    most_connections: int  # at one server
    turned_off: int  # connections refused by servers at their limit
    load_spread: float  # highest over mean utilisation of servers
    fell: int  # cold servers that failed under overload
    in_step: float
    unanswered: int  # calls not answered before their caller gave up
    p99_s: float


def result(day: str, figures: Figures, servers: Sequence[Processor], opened: int) -> Result:
    """Compute the result from the counters of callers and call servers."""
    calls = max(1, figures.offered)
    spent = sum(server.tally.spent_s for server in servers)
    loads = [server.tally.spent_s / server.speed for server in servers if server.started_s == 0]
    return Result(
        day=day,
        calls=figures.offered,
        service=figures.service,
        worst=figures.worst(),
        late=figures.late / max(1e-9, figures.worth),
        second=figures.second_share,
        sends=figures.sends / calls,
        waste=sum(server.tally.wasted_s for server in servers) / max(1e-9, spent),
        no_line=sum(server.tally.no_line for server in servers) / calls,
        opened=opened / calls,
        most_connections=max(server.tally.peak for server in servers),
        turned_off=sum(server.tally.turned_off for server in servers),
        load_spread=max(loads) / max(1e-9, statistics.fmean(loads)),
        fell=sum(server.tally.collapsed for server in servers),
        in_step=figures.synchrony(),
        unanswered=figures.overdue,
        p99_s=figures.delay(0.99),
    )
