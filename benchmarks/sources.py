"""What learning call servers costs, and what faults of name servers do: tables of docs/MEASURED-SOURCES.md.

python -m benchmarks.sources campaign [--seconds 30]    each fault in turn under load, in virtual time
python -m benchmarks.sources targets                    2,000 targets learnt in real time, turn by turn
python -m benchmarks.sources cost                       CPU a refresh, memory of the cache at its bound
python -m benchmarks.sources start REV                  start of the platform's process, against a commit
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
LATE_MS = 5.0  # a turn that takes longer than this because of resolving would be felt by calls


class Turns:
    """How long the pieces of work of each turn of a loop take, and the longest piece of them."""

    def __init__(self) -> None:
        self.spent: list[tuple[float, str]] = []
        self.learning = 0.0  # the longest piece of work of the resolver, the sources and the pool, in s
        self._now = 0.0
        self._longest = (0.0, "")
        self._depth = 0
        self.collected = 0.0  # the longest pause of the garbage collector, in s
        self._collecting = 0.0
        gc.callbacks.append(self._collector)

    def _collector(self, phase: str, _: dict[str, int]) -> None:
        if phase == "start":
            self._collecting = time.perf_counter()
        else:
            self.collected = max(self.collected, time.perf_counter() - self._collecting)

    def watch(self, loop: Loop) -> None:
        """Time everything this loop does from now on."""
        plain, turn = Scheduler.run_safely, loop.turn

        def timed(work: Callable[..., None], *on: object) -> None:
            self._depth += 1
            began = time.perf_counter()
            try:
                plain(work, *on)
            finally:
                self._depth -= 1
                if not self._depth:
                    took = time.perf_counter() - began
                    self._now += took
                    name = getattr(work, "__qualname__", type(work).__name__)
                    self._longest = max(self._longest, (took, name))
                    if name.startswith(LEARNING):
                        self.learning = max(self.learning, took)

        def turned(max_wait: timedelta) -> bool:
            self._now, self._longest = 0.0, (0.0, "")
            busy = turn(max_wait)
            self.spent.append((self._now, self._longest[1]))
            return busy

        Scheduler.run_safely = staticmethod(timed)  # type: ignore[method-assign]
        loop.turn = turned  # type: ignore[method-assign]

    def worst(self) -> tuple[float, str]:
        """The longest turn in ms, and the piece that took most of it."""
        took, name = max(self.spent)
        return took * 1000, name


@click.group()
def main() -> None:
    """Measure what learning call servers costs."""


def one_fault(folder: Path, fault: str, seconds: float, rate: float) -> dict[str, Any]:
    """Half of the time under the fault, with a drain by the list and one by SRV in it; then all is good."""
    more = "ttl_floor_s = 0.5\nttl_ceiling_s = 2.0\ndeadline_ms = 2000"
    site = Site(folder, servers=6, work=100 * MS, ttl=2, more=more)
    callers = site.callers(rate)
    site.run(S)
    begun, span = site.now, timedelta(seconds=seconds)
    callers.start(begun, span)
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
    asked = sum(len(server.asked) for server in site.dns_servers)
    return {
        "calls": callers.counts["calls"],
        "share": callers.established_share(begun, until),
        "unanswered": len(callers.faults()),
        "late": len(site.drain_checker.late_setups(site.servers)),
        "asked": asked,
        "given_up": COUNTERS["dns.given_up"] - before.get("dns.given_up", 0),
    }


@main.command()
@click.option("--seconds", default=30.0, show_default=True)
@click.option("--rate", default=36.0, show_default=True, help="calls a second; 40 is what four servers do")
def campaign(seconds: float, rate: float) -> None:
    """Each fault for itself, on the same calls."""
    print("| fault | calls | stood | against none | without an answer | late at a drain | asked | given up |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    calm = None
    with tempfile.TemporaryDirectory() as folder:
        for fault in FAULTS:
            row = one_fault(Path(folder), fault, seconds, rate)
            calm = row["share"] if calm is None else calm
            print(
                f"| {fault} | {row['calls']} | {row['share']:.4f} | {row['share'] - calm:+.4f} "
                f"| {row['unanswered']} | {row['late']} | {row['asked']} | {row['given_up']} |",
                flush=True,
            )


class RealSite(Site):
    """The same in real time, with the loop's turns watched."""

    def __init__(self, folder: Path, **words: Any) -> None:
        self.turns = Turns()
        super().__init__(folder, start=False, **words)
        self.clock = Clock()
        self.loop = Loop(self.clock)
        self.turns.watch(self.loop)
        self.start()

    def go(self, span: timedelta, done: Callable[[], bool] = lambda: False) -> float:
        """Let real time pass until something holds; the seconds it took."""
        began = time.monotonic()
        while time.monotonic() - began < span.total_seconds() and not done():
            self.loop.turn(ZERO)
            for stand in self.stand_ins:
                stand.pump(self.now)
        return time.monotonic() - began

    def run_until_idle(self) -> None:
        """Real time needs none."""


def learnt(site: Site, count: int) -> bool:
    """Whether so many servers may be called."""
    return len(site.serving()) >= count


def apart(name: NameServer) -> int:
    """Let a name server go on in a process of its own; its number."""
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
    """Targets learnt in real time, while calls go on: at few hosts, and each at its own."""
    print("| targets | hosts | learnt in | longest turn | its longest piece | turns over 5 ms "
          "| longest piece of learning | longest collection |")  # fmt: skip
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for wanted, hosts in ((30, 30), (300, 1), (300, 300), (count, 1), (count, count)):
        with tempfile.TemporaryDirectory() as folder:
            site = RealSite(Path(folder), servers=1, board=False, name_servers=1)
            site.go(S)
            callers = site.callers(20)
            callers.start(site.now, 4 * S)
            name = site.dns_servers[0]
            rows = [(10, 1, 5000 + n // hosts, f"h{n % hosts}") for n in range(wanted)]
            name.srv(SRV, *rows, ttl=60)
            for number in range(hosts):
                name.host(f"h{number}", f"127.1.{number // 256}.{number % 256}", ttl=60)
            child = apart(name)
            site.stand_ins.remove(name)
            rounds = COUNTERS["srv.rounds"]
            site.go(5 * S, lambda start=rounds: COUNTERS["srv.rounds"] > start)  # type: ignore[misc]
            gc.collect()
            gc.freeze()
            gc.set_threshold(GC_THRESHOLD)
            site.turns.spent.clear()
            site.turns.learning = site.turns.collected = 0.0
            took = site.go(10 * S, partial(learnt, site, wanted))
            os.kill(child, signal.SIGKILL)
            os.waitpid(child, 0)
            worst, piece = site.turns.worst()
            over = sum(spent * 1000 > LATE_MS for spent, _ in site.turns.spent)
            print(f"| {wanted} | {hosts} | {took:.2f} s | {worst:.1f} ms | {piece} | {over} of "
                  f"{len(site.turns.spent)} | {site.turns.learning * 1000:.1f} ms "
                  f"| {site.turns.collected * 1000:.1f} ms |", flush=True)  # fmt: skip


@main.command()
def cost() -> None:
    """CPU of a refresh that brings nothing new, and the memory of a cache that is full."""
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
        plain = server.pump

        def pump(now: Any, plain: Any = plain) -> bool:
            nonlocal own
            began = time.process_time()
            busy: bool = plain(now)
            own += time.process_time() - began
            return busy

        server.pump = pump  # type: ignore[method-assign]
        rounds = 50
        began = time.process_time()
        for _ in range(rounds):
            got: list[object] = []
            resolver.resolve(Question(SRV, dns.rdatatype.SRV), got.append, fresh=True)
            while not got:
                world.seconds += 0.001
                world.turn()
        total = (time.process_time() - began) / rounds * 1000
        server.pump = plain  # type: ignore[method-assign]
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
    """Import of all that `run` on the platform needs: this tree and a commit in turn, as a ratio."""
    code = "import reedmount.__main__, sys; print(len(sys.modules))"
    with tempfile.TemporaryDirectory() as folder:
        subprocess.run(["git", "worktree", "add", "-q", "--detach", folder, rev], cwd=ROOT, check=True)
        try:
            took: dict[str, list[float]] = {"this": [], rev: []}
            modules: dict[str, str] = {}
            for _ in range(runs):
                for name, where in (("this", ROOT), (rev, Path(folder))):
                    began = time.perf_counter()
                    done = subprocess.run(
                        [sys.executable, "-O", "-c", code], cwd=where, check=True, capture_output=True,
                        text=True, env={**os.environ, "PYTHONPATH": str(where)},
                    )  # fmt: skip
                    took[name].append(time.perf_counter() - began)
                    modules[name] = done.stdout.strip()
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", folder], cwd=ROOT, check=True)
    this, other = statistics.median(took["this"]), statistics.median(took[rev])
    print(f"modules {modules['this']} ({modules[rev]} at {rev}); start {this / other:.2f} of that of {rev}")


if __name__ == "__main__":
    main(prog_name="python -m benchmarks.sources")
