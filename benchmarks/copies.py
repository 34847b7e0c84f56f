"""Replication: the cost of a step, and the time until a member with an empty disk has a complete copy.

    python -m benchmarks.copies step
    python -m benchmarks.copies catchup --records 10000
    python -m benchmarks.copies calls

The first two use real sockets and files, with all members on the loop of one process. The members share a
processor, so each time includes the work of the others.
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
RECORD = 600  # bytes: an established call with its two dialogs
MAX_DURATION_S = 600.0


class Trio:
    """Three members on one loop."""

    def __init__(self, folder: Path, disk: bool) -> None:
        self.loop, self._folder, self._disk = Loop(Clock()), folder, disk
        net = f"127.{1 + (os.getpid() >> 8) % 250}.{os.getpid() & 255}"  # allows parallel measurements
        self._addresses = {name: (f"{net}.{number}", 7946) for number, name in enumerate(NAMES, 1)}
        self.hosts: dict[str, Replication] = {}
        self._memberships: dict[str, Membership] = {}
        self._disks: dict[str, RealDisk] = {}
        self.longest_s = 0.0  # longest turn of the loop
        for name in NAMES:
            self.start(name, f"{name}-0")
        self.until(lambda: all(len(host.mesh.connected_members) == 2 for host in self.hosts.values()))

    def start(self, name: str, folder: str) -> None:
        """Start a member with this folder."""
        address = self._addresses[name]
        voter_sets = (VoterSet(1, frozenset(NAMES)),)
        seeds = tuple(self._addresses.values())
        settings = MembershipSettings(name, "bench", address, address, seeds, voter_sets, timing=Timing())
        membership = self._memberships[name] = Membership(self.loop, settings)
        if not self._disk:
            self.hosts[name] = Replication(self.loop, membership, name, "bench", address, 1)
            return
        disk = self._disks[name] = RealDisk(self._folder / folder)
        log = Log(disk)
        log.open()

        def writer(durable: Callable[[int], None], trouble: Callable[[bool], None]) -> Writer:
            return Writer(self.loop, log, disk, True, durable, trouble)

        self.hosts[name] = Replication(self.loop, membership, name, "bench", address, 1, log, writer)

    def kill(self, name: str) -> None:
        """Close a member."""
        self.hosts.pop(name).close()
        self._memberships.pop(name).close()
        if name in self._disks:
            self._disks.pop(name).close()

    def until(self, done: Callable[[], bool]) -> float:
        """Run the loop until the condition holds; returns the seconds it took."""
        began_s = time.perf_counter()
        while not done():
            assert time.perf_counter() - began_s < MAX_DURATION_S
            at = time.perf_counter()
            self.loop.turn(timedelta(milliseconds=1))
            self.longest_s = max(self.longest_s, time.perf_counter() - at)
        return time.perf_counter() - began_s

    def close(self) -> None:
        """Close all members and the loop."""
        for name in list(self.hosts):
            self.kill(name)
        self.loop.close()


@click.group()
def main() -> None:
    """Measure replication."""


@main.command()
@click.option("--count", default=2000, show_default=True)
def step(count: int) -> None:
    """Time until a step is durable, singly and 100 at once, and the processor time of all three members."""
    click.echo("| disk | alone: median, ms | p99, ms | processor, us | 100 at once: a step, us |")
    click.echo("| --- | --- | --- | --- | --- |")
    for disk in (False, True):
        with tempfile.TemporaryDirectory() as folder:
            trio = Trio(Path(folder), disk)
            host, durations = trio.hosts["n1"], []
            host.hold("first", Phase.ESTABLISHED, b"")
            trio.until(lambda: host.replicas.durable == 1)  # noqa: B023
            data = bytes(RECORD)
            used = time.process_time()
            for number in range(count):
                results: list[bool] = []
                began_s = time.perf_counter()
                host.hold(f"call-{number}", Phase.ESTABLISHED, data, results.append)
                trio.until(lambda: bool(results))  # noqa: B023
                durations.append(time.perf_counter() - began_s)
                assert results == [True]
            used = (time.process_time() - used) / count * 1e6
            batches = time.process_time()
            for batch in range(count // 100):
                batch_results: list[bool] = []
                for number in range(100):
                    host.hold(f"more-{batch}-{number}", Phase.ESTABLISHED, data, batch_results.append)
                trio.until(lambda: len(batch_results) == 100)  # noqa: B023
            batches = (time.process_time() - batches) / (count // 100 * 100) * 1e6
            trio.close()
        durations.sort()
        click.echo(
            f"| {'yes' if disk else 'no'} | {statistics.median(durations) * 1000:.2f} | "
            f"{durations[int(0.99 * len(durations))] * 1000:.2f} | {used:.0f} | {batches:.0f} |"
        )


def _processor_s(rig: Rig) -> float:
    """Return the processor time of all members, including writer threads."""
    ticks = 0
    for process in rig.processes.values():
        fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def _calls(folder: Path, more: str, rate: float, seconds: float) -> tuple[float, list[float]]:
    """Return processor time per call beyond that of an idle group, and the answer times, in seconds."""
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
@click.option("--rate", default=20.0, show_default=True, help="calls per second at each of five members")
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--pairs", default=3, show_default=True)
def calls(rate: float, seconds: float, pairs: int) -> None:
    """Processor time per call and answer times of five processes, alternately without and with copies."""
    click.echo("| pair | off: us a call | on | ratio | answer off: median, p99, ms | on |")
    click.echo("| --- | --- | --- | --- | --- | --- |")
    for pair in range(1, pairs + 1):
        found = []
        for more in ("", REPLICA_SETTINGS):
            with tempfile.TemporaryDirectory() as folder:
                found.append(_calls(Path(folder), more, rate, seconds))
        (off, off_durations), (on, on_durations) = found
        shown = [
            f"{statistics.median(durations) * 1000:.1f}, {durations[int(0.99 * len(durations))] * 1000:.1f}"
            for durations in (off_durations, on_durations)
        ]
        click.echo(
            f"| {pair} | {off * 1e6:.0f} | {on * 1e6:.0f} | {on / off:.2f} | {shown[0]} | {shown[1]} |"
        )


@main.command()
@click.option("--records", default=10_000, show_default=True)
def catchup(records: int) -> None:
    """Time until the copy of a holder that restarts with an empty disk is complete and on disk."""
    with tempfile.TemporaryDirectory() as folder:
        trio = Trio(Path(folder), True)
        host, data = trio.hosts["n1"], bytes(RECORD)
        shard = host.replicas.shard
        for number in range(records):
            host.hold(f"call-{number}", Phase.COMPLETED, data)
            if number % 1000 == 999:
                trio.until(lambda: host.replicas.durable >= number - 2000)  # noqa: B023
        trio.until(lambda: host.replicas.durable == records)
        holder = host.replicas.owners[shard].holders[0]
        trio.kill(holder)
        trio.until(lambda: holder not in host.mesh.connected_members)
        trio.start(holder, f"{holder}-1")
        trio.longest_s = 0.0

        def copy_complete() -> bool:
            copy = trio.hosts[holder].replicas.held_replicas.get(shard)
            return copy is not None and copy.complete and copy.persisted == records

        duration_s = trio.until(copy_complete)
        click.echo(f"{records:,} records: {duration_s:.2f} s, longest turn {trio.longest_s * 1000:.0f} ms")
        trio.close()


if __name__ == "__main__":
    main()
