"""Cost of discovering call servers, and effect of name server faults: tables of docs/MEASURED-SOURCES.md.

python -m benchmarks.sources campaign [--seconds 30]    each fault in turn under load, in virtual time
python -m benchmarks.sources targets                    2,000 targets discovered in real time, by loop turn
python -m benchmarks.sources cost                       CPU per refresh, memory of a full cache
python -m benchmarks.sources start REV                  start-up time compared with a commit
"""

from __future__ import annotations

import gc
import os
import random
import select
import signal
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from functools import partial
from pathlib import Path
from typing import Any

import click
import dns.rdatatype

from reedmount.__main__ import GC_THRESHOLD
from reedmount.core.actors import Scheduler
from reedmount.core.checks import COUNTERS
from reedmount.core.clock import ZERO, Clock
from reedmount.dns.answers import Answer
from reedmount.dns.cache import Cache, CacheLimits
from reedmount.dns.reader import Question
from reedmount.dns.resolver import Resolver, ResolverSettings
from reedmount.net.loop import Loop
from standins.nameserver import FAULTS, NameServer
from standins.site import SRV, Site
from standins.world import World

S, MS = timedelta(seconds=1), timedelta(milliseconds=1)
ROOT = Path(__file__).resolve().parent.parent
LEARNING = ("Flight", "Resolver", "SrvSource", "PoolHost")
MAX_TURN_MS = 5.0  # loop turns that resolving makes longer would delay calls noticeably


class Turns:
    """Measures the duration of each loop turn and its longest piece of work."""

    def __init__(self) -> None:
        self.durations: list[tuple[float, str]] = []
        self.learning = 0.0  # longest piece of work of resolver, sources and pool, in s
        self._now = 0.0
        self._longest = (0.0, "")
        self._depth = 0
        self.collected = 0.0  # longest pause of the garbage collector, in s
        self._collecting = 0.0
        gc.callbacks.append(self._collector)

    def _collector(self, phase: str, _: dict[str, int]) -> None:
        if phase == "start":
            self._collecting = time.perf_counter()
        else:
            self.collected = max(self.collected, time.perf_counter() - self._collecting)

    def watch(self, loop: Loop) -> None:
        """Measure everything this loop runs from now on."""
        original, turn = Scheduler.run_safely, loop.turn

        def timed(work: Callable[..., None], *on: object) -> None:
            self._depth += 1
            began = time.perf_counter()
            try:
                original(work, *on)
            finally:
                self._depth -= 1
                if not self._depth:
                    duration_s = time.perf_counter() - began
                    self._now += duration_s
                    name = getattr(work, "__qualname__", type(work).__name__)
                    self._longest = max(self._longest, (duration_s, name))
                    if name.startswith(LEARNING):
                        self.learning = max(self.learning, duration_s)

        def turned(max_wait: timedelta) -> bool:
            self._now, self._longest = 0.0, (0.0, "")
            busy = turn(max_wait)
            self.durations.append((self._now, self._longest[1]))
            return busy

        Scheduler.run_safely = staticmethod(timed)  # type: ignore[method-assign]
        loop.turn = turned  # type: ignore[method-assign]

    def worst(self) -> tuple[float, str]:
        """Return the longest turn in ms and its longest piece of work."""
        duration_s, name = max(self.durations)
        return duration_s * 1000, name


@click.group()
def main() -> None:
    """Measure the discovery of call servers."""


def one_fault(folder: Path, fault: str, seconds: float, rate: float) -> dict[str, Any]:
    """Run under one fault for half of the time, with a drain by the list and one by SRV, then without it."""
    more = "ttl_floor_s = 0.5\nttl_ceiling_s = 2.0\ndeadline_ms = 2000"
    site = Site(folder, servers=6, work=100 * MS, ttl=2, more=more)
    callers = site.callers(rate)
    site.run(S)
    began_at, span = site.now, timedelta(seconds=seconds)
    callers.start(began_at, span)
    before = dict(COUNTERS._counts)
    site.run(span / 6)
    site.plan(fault)
    site.run(span / 6)
    site.drain(site.servers[0])
    site.publish_srv(site.servers[3])
    site.run(span / 3)
    site.plan("good")
    site.run(span / 6)
    site.publish_srv()
    site.undrain(site.servers[0])
    site.run(span / 6)
    until = site.now
    site.run(5 * S)
    asked = sum(len(server.queries) for server in site.dns_servers)
    return {
        "calls": callers.counts["calls"],
        "share": callers.established_share(began_at, until),
        "unanswered": len(callers.faults()),
        "late": len(site.drain_checker.late_setups(site.servers)),
        "asked": asked,
        "given_up": COUNTERS["dns.given_up"] - before.get("dns.given_up", 0),
    }


@main.command()
@click.option("--seconds", default=30.0, show_default=True)
@click.option("--rate", default=36.0, show_default=True, help="calls per second; four servers do 40")
def campaign(seconds: float, rate: float) -> None:
    """Run each fault separately with the same calls."""
    print("| fault | calls | stood | against none | without an answer | late at a drain | asked | given up |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    baseline = None
    with tempfile.TemporaryDirectory() as folder:
        for fault in FAULTS:
            row = one_fault(Path(folder), fault, seconds, rate)
            baseline = row["share"] if baseline is None else baseline
            print(
                f"| {fault} | {row['calls']} | {row['share']:.4f} | {row['share'] - baseline:+.4f} "
                f"| {row['unanswered']} | {row['late']} | {row['asked']} | {row['given_up']} |",
                flush=True,
            )


class RealSite(Site):
    """A site in real time that measures the turns of its loop."""

    def __init__(self, folder: Path, **options: Any) -> None:
        self.turns = Turns()
        super().__init__(folder, start=False, **options)
        self.clock = Clock()
        self.loop = Loop(self.clock)
        self.turns.watch(self.loop)
        self.start()

    def run_for(self, span: timedelta, done: Callable[[], bool] = lambda: False) -> float:
        """Run in real time until the condition holds; returns the seconds it took."""
        began = time.monotonic()
        while time.monotonic() - began < span.total_seconds() and not done():
            self.loop.turn(ZERO)
            for stand_in in self.stand_ins:
                stand_in.pump(self.now)
        return time.monotonic() - began

    def run_until_idle(self) -> None:
        """Do nothing: not needed in real time."""


def targets_known(site: Site, count: int) -> bool:
    """Whether at least ``count`` servers are serving."""
    return len(site.serving()) >= count


def run_in_child(name: NameServer) -> int:
    """Run a name server in a child process; returns its process id."""
    child = os.fork()
    if child:
        return child
    while True:
        select.select(name.descriptors(), [], [], 0.001)
        while name.pump(datetime.now(UTC)):
            pass


@main.command()
@click.option("--count", default=2000, show_default=True)
def targets(count: int) -> None:
    """Discover targets in real time during calls, on few hosts and each on its own."""
    print("| targets | hosts | learnt in | longest turn | its longest piece | turns over 5 ms "
          "| longest piece of learning | longest collection |")  # fmt: skip
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for wanted, hosts in ((30, 30), (300, 1), (300, 300), (count, 1), (count, count)):
        with tempfile.TemporaryDirectory() as folder:
            site = RealSite(Path(folder), servers=1, board=False, name_servers=1)
            site.run_for(S)
            callers = site.callers(20)
            callers.start(site.now, 4 * S)
            name = site.dns_servers[0]
            rows = [(10, 1, 5000 + n // hosts, f"h{n % hosts}") for n in range(wanted)]
            name.srv(SRV, *rows, ttl=60)
            for number in range(hosts):
                name.host(f"h{number}", f"127.1.{number // 256}.{number % 256}", ttl=60)
            child = run_in_child(name)
            site.stand_ins.remove(name)
            rounds = COUNTERS["srv.rounds"]
            site.run_for(5 * S, lambda start=rounds: COUNTERS["srv.rounds"] > start)  # type: ignore[misc]
            gc.collect()
            gc.freeze()
            gc.set_threshold(GC_THRESHOLD)
            site.turns.durations.clear()
            site.turns.learning = site.turns.collected = 0.0
            duration_s = site.run_for(10 * S, partial(targets_known, site, wanted))
            os.kill(child, signal.SIGKILL)
            os.waitpid(child, 0)
            worst, piece = site.turns.worst()
            over = sum(duration * 1000 > MAX_TURN_MS for duration, _ in site.turns.durations)
            print(f"| {wanted} | {hosts} | {duration_s:.2f} s | {worst:.1f} ms | {piece} | {over} of "
                  f"{len(site.turns.durations)} | {site.turns.learning * 1000:.1f} ms "
                  f"| {site.turns.collected * 1000:.1f} ms |", flush=True)  # fmt: skip


@main.command()
def cost() -> None:
    """CPU of a refresh without changes, and memory of a full cache."""
    world = World()
    server = NameServer()
    world.stand_ins.append(server)
    resolver = Resolver(world.loop, ResolverSettings((server.address,)), random.Random(1))
    print("| targets | CPU a refresh, all of it | of that the name server's stand-in |")
    print("| --- | --- | --- |")
    for count in (3, 30, 300):
        server.srv(SRV, *((10, 1, 5000 + n, "h") for n in range(count)), ttl=60)
        server.host("h", "127.0.0.2")
        own = 0.0
        original = server.pump

        def pump(now: Any, original: Any = original) -> bool:
            nonlocal own
            began = time.process_time()
            busy: bool = original(now)
            own += time.process_time() - began
            return busy

        server.pump = pump  # type: ignore[method-assign]
        rounds = 50
        began = time.process_time()
        for _ in range(rounds):
            answers: list[object] = []
            resolver.resolve(Question(SRV, dns.rdatatype.SRV), answers.append, fresh=True)
            while not answers:
                world.seconds += 0.001
                world.turn()
        total = (time.process_time() - began) / rounds * 1000
        server.pump = original  # type: ignore[method-assign]
        print(f"| {count} | {total:.2f} ms | {own / rounds * 1000:.2f} ms |")
    limits = CacheLimits()
    tracemalloc.start()
    cache = Cache(limits)
    for number in range(40_000):
        question = Question(f"host-{number}.calls.example.", dns.rdatatype.A)
        cache.put(world.now, question, Answer(60, addresses=(f"10.0.{number // 256}.{number % 256}",)))
    held, _ = tracemalloc.get_traced_memory()
    print(f"\ncache full: {len(cache)} entries, {cache.memory / 2**20:.2f} MiB by its estimate, "
          f"{held / 2**20:.2f} MiB measured; bound {limits.memory / 2**20:.0f} MiB")  # fmt: skip


@main.command()
@click.argument("rev")
@click.option("--runs", default=15, show_default=True)
def start(rev: str, runs: int) -> None:
    """Ratio of the import time of the program to that of a commit, run alternately."""
    code = "import reedmount.__main__, sys; print(len(sys.modules))"
    with tempfile.TemporaryDirectory() as folder:
        subprocess.run(["git", "worktree", "add", "-q", "--detach", folder, rev], cwd=ROOT, check=True)
        try:
            durations: dict[str, list[float]] = {"this": [], rev: []}
            modules: dict[str, str] = {}
            for _ in range(runs):
                for name, where in (("this", ROOT), (rev, Path(folder))):
                    began = time.perf_counter()
                    done = subprocess.run(
                        [sys.executable, "-O", "-c", code], cwd=where, check=True, capture_output=True,
                        text=True, env={**os.environ, "PYTHONPATH": str(where)},
                    )  # fmt: skip
                    durations[name].append(time.perf_counter() - began)
                    modules[name] = done.stdout.strip()
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", folder], cwd=ROOT, check=True)
    this, other = statistics.median(durations["this"]), statistics.median(durations[rev])
    print(f"modules {modules['this']} ({modules[rev]} at {rev}); start {this / other:.2f} of that of {rev}")


if __name__ == "__main__":
    main(prog_name="python -m benchmarks.sources")
