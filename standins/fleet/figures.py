"""What is counted over a fleet, and the line that says it."""

from __future__ import annotations

import statistics
from collections import Counter, defaultdict
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from standins.fleet.processor import Processor

STEP_S = 0.02  # sends to one call server within it count as in step


@dataclass(slots=True)
class Figures:
    """Counts over all instances of a day."""

    worth: float = 0.0  # offered
    earned: float = 0.0
    late: float = 0.0  # of what was earned
    offered: int = 0
    tries: int = 0
    ends: Counter[str] = field(default_factory=Counter)  # of tries
    sends: int = 0
    second: int = 0  # sends to another than the first choice
    overdue: int = 0
    by_second: dict[int, list[float]] = field(default_factory=lambda: defaultdict(lambda: [0.0, 0.0]))
    steps: dict[str, Counter[int]] = field(default_factory=lambda: defaultdict(Counter))
    delays: list[float] = field(default_factory=list)
    by_home: dict[tuple[int, int], list[float]] = field(  # as by_second, of each instance
        default_factory=lambda: defaultdict(lambda: [0.0, 0.0])
    )

    def offer(self, now_s: float, worth: float, home: int) -> None:
        """A first try at an instance."""
        self.by_home[home, int(now_s)][0] += worth
        self.offered += 1
        self.worth += worth
        self.by_second[int(now_s)][0] += worth

    def earn(self, first_s: float, worth: float, late: bool, home: int) -> None:
        """A call stands that was first tried then, at that instance."""
        self.by_home[home, int(first_s)][1] += worth
        self.earned += worth
        self.late += worth if late else 0.0
        self.by_second[int(first_s)][1] += worth

    def send(self, now_s: float, server: str) -> None:
        """A set-up goes out."""
        self.sends += 1
        self.steps[server][int(now_s / STEP_S)] += 1

    @property
    def service(self) -> float:
        """Worth earned over worth offered."""
        return self.earned / max(1e-9, self.worth)

    def service_of(self, homes: Collection[int], since_s: int, until_s: int) -> float:
        """The service of these instances, for calls first tried within a span of whole seconds."""
        pairs = [
            pair for (home, at), pair in self.by_home.items() if home in homes and since_s <= at < until_s
        ]
        return sum(pair[1] for pair in pairs) / max(1e-9, sum(pair[0] for pair in pairs))

    def worst(self, span: int = 10) -> float:
        """The service of the worst whole span of so many seconds."""
        seconds = sorted(self.by_second)[1:-1]
        shares = []
        for first in seconds[: max(1, len(seconds) - span + 1)]:
            window = [self.by_second[at] for at in range(first, first + span) if at in self.by_second]
            offered = sum(pair[0] for pair in window)
            shares.append(sum(pair[1] for pair in window) / offered if offered else 1.0)
        return min(shares, default=1.0)

    def in_step(self) -> float:
        """Variance over mean of the sends to a server in short steps; 1 where nobody heeds the others."""
        ratios = []
        for counts in self.steps.values():
            first, last = min(counts), max(counts)
            row = [counts[at] for at in range(first, last + 1)]
            if len(row) > 50:
                ratios.append(statistics.pvariance(row) / max(1e-9, statistics.fmean(row)))
        return statistics.fmean(ratios) if ratios else 1.0

    def delay(self, share: float) -> float:
        """A quantile of the time from a try to its standing."""
        ordered = sorted(self.delays) or [0.0]
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

    @property
    def second_share(self) -> float:
        """Calls that stood at another server than their first choice, of all that stood."""
        return self.second / max(1, self.ends["stands"])


@dataclass(frozen=True, slots=True)
class Result:
    """What a day came to, over the whole fleet."""

    day: str
    calls: int
    service: float  # worth earned over worth offered
    worst: float  # of 10 s
    late: float  # of the worth offered
    second: float  # of calls that stood, at a second choice
    sends: float  # a call
    waste: float  # of the work done
    no_line: float  # a call, attempts turned away as no line was free
    opened: float  # a call, connections
    most_connections: int  # at one server
    turned_off: int  # connections, by servers that hold no more
    load_spread: float  # highest over mean of the shares of time that servers worked
    fell: int  # cold servers pushed over
    in_step: float
    unanswered: int  # calls without their answer before their caller gave up
    p99_s: float


def result(day: str, figures: Figures, servers: Sequence[Processor], opened: int) -> Result:
    """Add up what callers and call servers saw."""
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
        fell=sum(server.tally.fell for server in servers),
        in_step=figures.in_step(),
        unanswered=figures.overdue,
        p99_s=figures.delay(0.99),
    )
