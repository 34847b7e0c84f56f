"""Copies: what a step costs, and how long a member with an empty disk takes to have its copy again.

    python -m benchmarks.copies step
    python -m benchmarks.copies catchup --records 10000
    python -m benchmarks.copies calls

The first two have real sockets and files, and all members on the loop of one process: a processor is shared
by all of them, so that times are those of a machine that has the work of the others as well.
"""

from __future__ import annotations

import os
import statistics
import tempfile
import time
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import click

from reedmount.core.clock import Clock
from reedmount.members.quorum import VoterSet
from reedmount.members.settings import Timing
from reedmount.net.loop import Loop
from reedmount.peers.membership import Membership
from reedmount.peers.replication import Replication
from reedmount.peers.settings import MembershipSettings
from reedmount.replicas.messages import Phase
from reedmount.store.disk import RealDisk
from reedmount.store.log import Log
from reedmount.store.writer import Writer
from standins.faults.cases import REPLICA_SETTINGS
from standins.faults.rig import Rig

NAMES = ("n1", "n2", "n3")
RECORD = 600  # bytes: a standing call with its two dialogs
LONGEST_S = 600.0


class Trio:
    """Three members."""

    def __init__(self, folder: Path, disk: bool) -> None:
        self.loop, self._folder, self._disk = Loop(Clock()), folder, disk
        net = f"127.{1 + (os.getpid() >> 8) % 250}.{os.getpid() & 255}"  # several may be measured at once
        self._places = {name: (f"{net}.{number}", 7946) for number, name in enumerate(NAMES, 1)}
        self.hosts: dict[str, Replication] = {}
        self._peers: dict[str, Membership] = {}
        self._disks: dict[str, RealDisk] = {}
        self.longest_s = 0.0  # of a turn of the loop
        for name in NAMES:
            self.start(name, f"{name}-0")
        self.until(lambda: all(len(host.mesh.ways) == 2 for host in self.hosts.values()))

    def start(self, name: str, folder: str) -> None:
        """A member with this folder."""
        place = self._places[name]
        roster = (VoterSet(1, frozenset(NAMES)),)
        ways = tuple(self._places.values())
        settings = MembershipSettings(name, "bench", place, place, ways, roster, timing=Timing())
        membership = self._peers[name] = Membership(self.loop, settings)
        if not self._disk:
            self.hosts[name] = Replication(self.loop, membership, name, "bench", place, 1)
            return
        disk = self._disks[name] = RealDisk(self._folder / folder)
        log = Log(disk)
        log.open()

        def writer(durable: Callable[[int], None], trouble: Callable[[bool], None]) -> Writer:
            return Writer(self.loop, log, disk, True, durable, trouble)

        self.hosts[name] = Replication(self.loop, membership, name, "bench", place, 1, log, writer)

    def kill(self, name: str) -> None:
        """It is gone."""
        self.hosts.pop(name).close()
        self._peers.pop(name).close()
        if name in self._disks:
            self._disks.pop(name).close()

    def until(self, done: Callable[[], bool]) -> float:
        """Turn the loop until something holds; how long that took, in seconds."""
        begun = time.perf_counter()
        while not done():
            assert time.perf_counter() - begun < LONGEST_S
            at = time.perf_counter()
            self.loop.turn(timedelta(milliseconds=1))
            self.longest_s = max(self.longest_s, time.perf_counter() - at)
        return time.perf_counter() - begun

    def close(self) -> None:
        """End it."""
        for name in list(self.hosts):
            self.kill(name)
        self.loop.close()


@click.group()
def main() -> None:
    """Measure copies."""


@main.command()
@click.option("--count", default=2000, show_default=True)
def step(count: int) -> None:
    """One step after the other, then many at once: until it is promised, and processor time of all three."""
    click.echo("| disk | alone: median, ms | p99, ms | processor, us | 100 at once: a step, us |")
    click.echo("| --- | --- | --- | --- | --- |")
    for disk in (False, True):
        with tempfile.TemporaryDirectory() as folder:
            trio = Trio(Path(folder), disk)
            host, spans = trio.hosts["n1"], []
            host.hold("first", Phase.STANDS, b"")
            trio.until(lambda: host.replicas.durable == 1)  # noqa: B023
            data = bytes(RECORD)
            used = time.process_time()
            for number in range(count):
                heard: list[bool] = []
                begun = time.perf_counter()
                host.hold(f"call-{number}", Phase.STANDS, data, heard.append)
                trio.until(lambda: bool(heard))  # noqa: B023
                spans.append(time.perf_counter() - begun)
                assert heard == [True]
            used = (time.process_time() - used) / count * 1e6
            batches = time.process_time()
            for batch in range(count // 100):
                all_heard: list[bool] = []
                for number in range(100):
                    host.hold(f"more-{batch}-{number}", Phase.STANDS, data, all_heard.append)
                trio.until(lambda: len(all_heard) == 100)  # noqa: B023
            batches = (time.process_time() - batches) / (count // 100 * 100) * 1e6
            trio.close()
        spans.sort()
        click.echo(
            f"| {'yes' if disk else 'no'} | {statistics.median(spans) * 1000:.2f} | "
            f"{spans[int(0.99 * len(spans))] * 1000:.2f} | {used:.0f} | {batches:.0f} |"
        )


def _processor_s(rig: Rig) -> float:
    """What all members have used, the writers' threads included."""
    ticks = 0
    for process in rig.processes.values():
        fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def _calls(folder: Path, more: str, rate: float, seconds: float) -> tuple[float, list[float]]:
    """Processor time a call beyond what an idle group uses, and how long answers took, in seconds."""
    with Rig(folder, 5, 1, servers=8, call_rate=rate, more=more, hold_s=1.0) as rig:
        rig.start_and_wait()
        rig.run(3)
        before = _processor_s(rig)
        rig.run(seconds)
        idle = _processor_s(rig) - before
        rig.call(seconds)
        before = _processor_s(rig)
        rig.run(seconds)
        used = _processor_s(rig) - before - idle
        rig.run(2)
        placed = sum(len(callers.calls) for callers in rig.callers.values())
        assert not any(callers.faults() for callers in rig.callers.values())
        return used / placed, sorted(span for one in rig.callers.values() for span in one.delays())


@main.command()
@click.option("--rate", default=20.0, show_default=True, help="calls a second at each of five members")
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--pairs", default=3, show_default=True)
def calls(rate: float, seconds: float, pairs: int) -> None:
    """Five processes of the program with copies off and on, in turn: processor time a call, answers."""
    click.echo("| pair | off: us a call | on | ratio | answer off: median, p99, ms | on |")
    click.echo("| --- | --- | --- | --- | --- | --- |")
    for pair in range(1, pairs + 1):
        found = []
        for more in ("", REPLICA_SETTINGS):
            with tempfile.TemporaryDirectory() as folder:
                found.append(_calls(Path(folder), more, rate, seconds))
        (off, off_spans), (on, on_spans) = found
        shown = [
            f"{statistics.median(spans) * 1000:.1f}, {spans[int(0.99 * len(spans))] * 1000:.1f}"
            for spans in (off_spans, on_spans)
        ]
        click.echo(
            f"| {pair} | {off * 1e6:.0f} | {on * 1e6:.0f} | {on / off:.2f} | {shown[0]} | {shown[1]} |"
        )


@main.command()
@click.option("--records", default=10_000, show_default=True)
def catchup(records: int) -> None:
    """A holder comes back with an empty disk: until its copy is complete and on its disk."""
    with tempfile.TemporaryDirectory() as folder:
        trio = Trio(Path(folder), True)
        host, data = trio.hosts["n1"], bytes(RECORD)
        shard = host.replicas.shard
        for number in range(records):
            host.hold(f"call-{number}", Phase.OVER, data)
            if number % 1000 == 999:
                trio.until(lambda: host.replicas.durable >= number - 2000)  # noqa: B023
        trio.until(lambda: host.replicas.durable == records)
        holder = host.replicas.owners[shard].holders[0]
        trio.kill(holder)
        trio.until(lambda: holder not in host.mesh.ways)
        trio.start(holder, f"{holder}-1")
        trio.longest_s = 0.0

        def whole() -> bool:
            copy = trio.hosts[holder].replicas.copies.get(shard)
            return copy is not None and copy.complete and copy.kept == records

        took = trio.until(whole)
        click.echo(f"{records:,} records: {took:.2f} s, longest turn {trio.longest_s * 1000:.0f} ms")
        trio.close()


if __name__ == "__main__":
    main()
