"""Time until the resolver detects that a name server has recovered: a table of docs/MEASURED-SOURCES.md.

    python -m benchmarks.resolver recovery [--seeds 5]

Each case runs in virtual time with real loopback sockets. A question is asked every ``--every`` ms while
none is pending (an SRV lookup asks about as often after a failed round). Each name server works, is silent
over UDP and TCP for ``--outage`` s, then works again. The figures are the time from the recovery until the
resolver knows of it (the first answer to a question), if it had noticed the outage, and how many questions
in that time failed without any datagram sent. The time is measured in steps of 10 ms.
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
MAX_RECOVERY_S = 120.0


@dataclass(frozen=True, slots=True)
class Case:
    """Name servers, and which of them have an outage; a transport is ``both``, ``udp`` or ``tcp``."""

    name: str
    transports: tuple[str, ...]
    with_outage: tuple[int, ...]  # indices of those with an outage
    recovering: tuple[int, ...]  # indices of those that recover; the others stay silent


CASES = (
    Case("alone, over UDP only (TCP refused)", ("udp",), (0,), (0,)),
    Case("alone, over TCP only (UDP silent)", ("tcp",), (0,), (0,)),
    Case("alone, over both", ("both",), (0,), (0,)),
    Case("beside a good one, over UDP only", ("udp", "both"), (0,), (0,)),
    Case("beside a good one, over both", ("both", "both"), (0,), (0,)),
    Case("both dead, the first back", ("both", "both"), (0, 1), (0,)),
    Case("both dead, the second back", ("both", "udp"), (0, 1), (1,)),
)


def restore(server: NameServer, transport: str) -> None:
    """Make a name server answer normally over its transports."""
    server.plan({"both": "good", "udp": "good", "tcp": "silent-udp"}[transport])


@dataclass(slots=True)
class CaseResult:
    """The result of one case with one seed."""

    recovery_s: float | None  # None: not within MAX_RECOVERY_S
    given_up_unsent: int
    questions: int
    noticed: bool  # whether the resolver had noticed the outage at its end


def run_case(case: Case, seed: int, every: timedelta, before_s: float, outage_s: float) -> CaseResult:
    """Run one case: working for ``before_s``, silent for ``outage_s``, then working again."""
    world = World()
    servers = [NameServer(seed=seed * 10 + number) for number in range(len(case.transports))]
    for server, transport in zip(servers, case.transports, strict=True):
        server.srv(SRV.name, (10, 60, 5070, "zurich"))
        server.host("zurich", "127.0.0.2")
        restore(server, transport)
        if transport == "udp":
            server.refuse_tcp()
    world.stand_ins += servers
    resolver = Resolver(world.loop, ResolverSettings(tuple(s.address for s in servers)), random.Random(seed))
    results: list[tuple[float, Answer | LookupFailed, int]] = []
    pending = [False]

    def ask() -> None:
        sent = sum(len(server.queries) for server in servers)

        def done(answer: Answer | LookupFailed) -> None:
            results.append((world.seconds, answer, sum(len(server.queries) for server in servers) - sent))
            pending[0] = False

        pending[0] = True
        resolver.resolve(SRV, done, fresh=True)

    def each_step(step: Callable[[], None], done: Callable[[], bool] = lambda: False) -> None:
        """Ask a question if none is pending, then run for ``every`` or until ``done`` holds."""
        if not pending[0]:
            step()
        end = world.seconds + every.total_seconds()
        while world.seconds < end - 1e-9 and not done():
            world.run(10 * MS)

    while world.seconds < before_s:
        each_step(ask)
    for number in case.with_outage:
        servers[number].plan("silence")
    outage_end = world.seconds + outage_s
    while world.seconds < outage_end:
        each_step(ask)
    for number in case.recovering:
        restore(servers[number], case.transports[number])
    failing = [servers[number].address for number in case.recovering]
    failing = [address for address in failing if resolver.health.all[address].failures]
    recovered_at, recovered = world.seconds, None
    results_before = len(results)

    def recovery_known() -> bool:
        return any(not resolver.health.all[address].failures for address in failing)

    while failing and world.seconds < recovered_at + MAX_RECOVERY_S and recovered is None:
        each_step(ask, recovery_known)
        if recovery_known():
            recovered = world.seconds - recovered_at
    resolver.close()
    for server in servers:
        server.kill()
    world.loop.close()
    later = results[results_before:]
    unsent = sum(1 for _, answer, sent in later if isinstance(answer, LookupFailed) and sent == 0)
    return CaseResult(recovered, unsent, len(later), bool(failing))


@click.group()
def main() -> None:
    """Measure the resolver."""


@main.command()
@click.option("--seeds", default=5, show_default=True)
@click.option("--every", default=500, show_default=True, help="ms between questions, while none is pending")
@click.option("--outage", default=3.0, show_default=True, help="seconds")
@click.option(
    "--before", default=5.0, show_default=True, help="seconds of normal operation before the outage"
)
def recovery(seeds: int, every: int, outage: float, before: float) -> None:
    """Seconds from the recovery of a name server to its first answer: median and maximum over seeds."""
    click.echo("| case | median, s | most, s | not found in 120 s | outage unnoticed | given up unsent |")
    click.echo("| --- | --- | --- | --- | --- | --- |")
    for case in CASES:
        runs = [run_case(case, seed, every * MS, before, outage) for seed in range(1, seeds + 1)]
        found = [run.recovery_s for run in runs if run.recovery_s is not None]
        noticed = [run for run in runs if run.noticed]
        median = f"{statistics.median(found):.2f}" if found else "-"
        maximum = f"{max(found):.2f}" if found else "-"
        unsent = sum(run.given_up_unsent for run in runs)
        asked = sum(run.questions for run in runs)
        missed = f"{len(noticed) - len(found)} of {len(noticed)}"
        unnoticed = len(runs) - len(noticed)
        click.echo(f"| {case.name} | {median} | {maximum} | {missed} | {unnoticed} | {unsent} of {asked} |")


if __name__ == "__main__":
    main()
