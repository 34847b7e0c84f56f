"""How soon the resolver finds a name server that is well again: the table of docs/MEASURED-SOURCES.md.

    python -m benchmarks.resolver recovery [--seeds 5]

Each case is played in virtual time with real loopback sockets. A question is asked every ``--every``
ms while none is out (a watch asks about so often after a failed round). Each name server is well, then
silent over both ways for ``--outage`` s, then well again. What is told is the time from its being well
again to the resolver's knowing so (its first answer to a question of ours), where the resolver had noticed
the outage, and how many of our questions in that span were given up without a datagram to anyone. The span
is measured in steps of 10 ms.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import click
import dns.rdatatype

from reedmount.dns.answers import Answer
from reedmount.dns.query import LookupFailed
from reedmount.dns.reader import Question
from reedmount.dns.resolver import Resolver, ResolverSettings
from standins.nameserver import NameServer
from standins.world import World

SRV = Question("_sip._udp.calls.example.", dns.rdatatype.SRV)
MS = timedelta(milliseconds=1)
LONGEST_S = 120.0


@dataclass(frozen=True, slots=True)
class Case:
    """Name servers, and which of them have an outage; ``ways`` of each: ``both``, ``udp`` or ``tcp``."""

    name: str
    ways: tuple[str, ...]
    out: tuple[int, ...]  # that have the outage
    back: tuple[int, ...]  # that are well again after it; the others stay silent


CASES = (
    Case("alone, over UDP only (TCP refused)", ("udp",), (0,), (0,)),
    Case("alone, over TCP only (UDP silent)", ("tcp",), (0,), (0,)),
    Case("alone, over both", ("both",), (0,), (0,)),
    Case("beside a good one, over UDP only", ("udp", "both"), (0,), (0,)),
    Case("beside a good one, over both", ("both", "both"), (0,), (0,)),
    Case("both dead, the first back", ("both", "both"), (0, 1), (0,)),
    Case("both dead, the second back", ("both", "udp"), (0, 1), (1,)),
)


def well(server: NameServer, way: str) -> None:
    """Answer as this name server does when nothing is wrong with it."""
    server.plan({"both": "good", "udp": "good", "tcp": "silent-udp"}[way])


@dataclass(slots=True)
class Played:
    """What came of one case with one seed."""

    recovery_s: float | None  # None: not within LONGEST_S
    given_up_unsent: int
    questions: int
    noticed: bool  # whether the resolver knew of the outage when it ended


def play(case: Case, seed: int, every: timedelta, before_s: float, outage_s: float) -> Played:
    """One case: well for ``before_s``, silent for ``outage_s``, then well again."""
    world = World()
    servers = [NameServer(seed=seed * 10 + number) for number in range(len(case.ways))]
    for server, way in zip(servers, case.ways, strict=True):
        server.srv(SRV.name, (10, 60, 5070, "zurich"))
        server.host("zurich", "127.0.0.2")
        well(server, way)
        if way == "udp":
            server.refuse_tcp()
    world.stand_ins += servers
    resolver = Resolver(world.loop, ResolverSettings(tuple(s.address for s in servers)), random.Random(seed))
    got: list[tuple[float, Answer | LookupFailed, int]] = []
    out = [False]

    def ask() -> None:
        sent = sum(len(server.asked) for server in servers)

        def done(answer: Answer | LookupFailed) -> None:
            got.append((world.seconds, answer, sum(len(server.asked) for server in servers) - sent))
            out[0] = False

        out[0] = True
        resolver.resolve(SRV, done, fresh=True)

    def each_step(step: Callable[[], None], done: Callable[[], bool] = lambda: False) -> None:
        """One question at the start of the span, where none is out; the span ends early once it is done."""
        if not out[0]:
            step()
        end = world.seconds + every.total_seconds()
        while world.seconds < end - 1e-9 and not done():
            world.run(10 * MS)

    while world.seconds < before_s:
        each_step(ask)
    for number in case.out:
        servers[number].plan("silence")
    outage_end = world.seconds + outage_s
    while world.seconds < outage_end:
        each_step(ask)
    for number in case.back:
        well(servers[number], case.ways[number])
    failing = [servers[number].address for number in case.back]
    failing = [address for address in failing if resolver.health.all[address].failures]
    back_at, recovered = world.seconds, None
    heard = len(got)

    def known_well() -> bool:
        return any(not resolver.health.all[address].failures for address in failing)

    while failing and world.seconds < back_at + LONGEST_S and recovered is None:
        each_step(ask, known_well)
        if known_well():
            recovered = world.seconds - back_at
    resolver.close()
    for server in servers:
        server.kill()
    world.loop.close()
    later = got[heard:]
    unsent = sum(1 for _, answer, sent in later if isinstance(answer, LookupFailed) and sent == 0)
    return Played(recovered, unsent, len(later), bool(failing))


@click.group()
def main() -> None:
    """Measurements of the resolver."""


@main.command()
@click.option("--seeds", default=5, show_default=True)
@click.option("--every", default=500, show_default=True, help="ms between questions, while none is out")
@click.option("--outage", default=3.0, show_default=True, help="seconds")
@click.option("--before", default=5.0, show_default=True, help="seconds well, before the outage")
def recovery(seeds: int, every: int, outage: float, before: float) -> None:
    """Seconds from a name server's being well again to its first answer to us: median and most over seeds."""
    click.echo("| case | median, s | most, s | not found in 120 s | outage unnoticed | given up unsent |")
    click.echo("| --- | --- | --- | --- | --- | --- |")
    for case in CASES:
        runs = [play(case, seed, every * MS, before, outage) for seed in range(1, seeds + 1)]
        found = [run.recovery_s for run in runs if run.recovery_s is not None]
        noticed = [run for run in runs if run.noticed]
        median = f"{statistics.median(found):.2f}" if found else "-"
        most = f"{max(found):.2f}" if found else "-"
        unsent = sum(run.given_up_unsent for run in runs)
        asked = sum(run.questions for run in runs)
        missed = f"{len(noticed) - len(found)} of {len(noticed)}"
        unnoticed = len(runs) - len(noticed)
        click.echo(f"| {case.name} | {median} | {most} | {missed} | {unnoticed} | {unsent} of {asked} |")


if __name__ == "__main__":
    main()
