"""CPU cost of a SIP call: the event loop of the program alone, without the stand-ins.

python -m benchmarks.calls cost [--calls 2000]      over UDP and TCP, optionally with a profile
python -m benchmarks.calls against REV              ratio of this tree to a commit, run alternately
"""

from __future__ import annotations

import cProfile
import os
import pstats
import statistics
import subprocess
import sys
import tempfile
import time
from datetime import timedelta
from pathlib import Path

import click

from reedmount.core.clock import ZERO
from standins.callserver import CallServer
from standins.nameserver import NameServer
from standins.site import Site

ROOT = Path(__file__).resolve().parent.parent
S = timedelta(seconds=1)
RATE = 200.0  # calls per second of virtual time


class MeasuredSite(Site):
    """A site that measures the CPU time of the program's loop."""

    cpu_s = 0.0
    profile: cProfile.Profile | None = None

    def turn(self) -> bool:
        """Run one turn of loop and stand-ins; only the loop is measured."""
        if self.profile is not None:
            self.profile.enable()
        began = time.process_time()
        busy = self.loop.turn(ZERO)
        self.cpu_s += time.process_time() - began
        if self.profile is not None:
            self.profile.disable()
        for stand_in in self.stand_ins:
            busy = stand_in.pump(self.now) or busy
        return busy


def measure(transport: str, calls: int, profile: bool = False) -> MeasuredSite:
    """Measure ``calls`` calls of one second each, through three servers."""
    with tempfile.TemporaryDirectory() as folder:
        site = MeasuredSite(Path(folder), servers=0, board=False, ttl=300, start=False)
        text = site.file.read_text().replace("_sip._udp", f"_sip._{transport}")
        site.file.write_text(text)
        name: NameServer = site.dns_servers[0]
        rows = []
        for number in range(3):
            server = CallServer(transport=transport, work=timedelta(milliseconds=5))
            site.servers.append(server)
            site.stand_ins.append(server)
            rows.append((10, 1, server.address[1], f"c{number}"))
        for name in site.dns_servers:
            name.srv(f"_sip._{transport}.calls.example.", *rows, ttl=300)
            for number in range(3):
                name.host(f"c{number}", "127.0.0.1", ttl=300)
        site.start()
        site.run(S)
        site.profile = cProfile.Profile() if profile else None
        site.cpu_s = 0.0
        callers = site.callers(RATE)
        callers.start(site.now, timedelta(seconds=calls / RATE))
        site.run(timedelta(seconds=calls / RATE + 3))
        if callers.faults():
            raise click.ClickException(f"calls without exactly one final response: {callers.faults()[:3]}")
        site.cpu_s /= callers.counts["calls"]
        return site


@click.group()
def main() -> None:
    """Measure the cost of a SIP call."""


@main.command()
@click.option("--calls", default=2000, show_default=True)
@click.option("--profile/--no-profile", default=False, help="print a profile")
def cost(calls: int, profile: bool) -> None:
    """Print the CPU time of a call: set up, answered, acknowledged and released."""
    for transport in ("udp", "tcp"):
        site = measure(transport, calls, profile)
        print(f"{transport} {site.cpu_s * 1e6:.0f} us", flush=True)
        if site.profile is not None:
            pstats.Stats(site.profile).sort_stats("tottime").print_stats(18)


@main.command()
@click.argument("rev")
@click.option("--runs", default=5, show_default=True)
@click.option("--calls", default=1000, show_default=True)
def against(rev: str, runs: int, calls: int) -> None:
    """Compare this tree with a commit that has this benchmark, alternately with the same calls."""
    results: dict[tuple[str, str], list[float]] = {}
    with tempfile.TemporaryDirectory() as folder:
        subprocess.run(["git", "worktree", "add", "-q", "--detach", folder, rev], cwd=ROOT, check=True)
        try:
            for _ in range(runs):
                for where in (str(ROOT), folder):
                    command = [sys.executable, "-O", "-m", "benchmarks.calls", "cost", "--calls", str(calls)]
                    done = subprocess.run(
                        command, cwd=where, env={**os.environ, "PYTHONPATH": where}, check=True,
                        capture_output=True, text=True,
                    )  # fmt: skip
                    for line in done.stdout.splitlines():
                        transport, figure, _ = line.split()
                        results.setdefault((transport, where), []).append(float(figure))
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", folder], cwd=ROOT, check=True)
        for transport in ("udp", "tcp"):
            this = statistics.median(results[transport, str(ROOT)])
            other = statistics.median(results[transport, folder])
            print(f"{transport}: {this / other:.3f} of {rev} ({this:.0f} us against {other:.0f})")


if __name__ == "__main__":
    main(prog_name="python -m benchmarks.calls")
