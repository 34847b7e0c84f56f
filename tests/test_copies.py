"""Copies on real sockets and real files: members in one process, on a clock of their own."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field, replace
from datetime import timedelta
from pathlib import Path

import pytest

from reedmount.core.checks import COUNTERS
from reedmount.peers.membership import Membership
from reedmount.peers.replication import Replication
from reedmount.replicas.messages import Entry, Old, Phase, ShardId, Term
from reedmount.store.faulty import Faults, FaultyDisk, disk_of
from reedmount.store.log import Log
from reedmount.store.writer import Writer
from standins.world import STEP, World
from tests.test_member_handover import _free_addresses
from tests.test_peers import members

S = timedelta(seconds=1)


@dataclass
class Calls:
    """Stands in for who serves calls."""

    released: list[str] = field(default_factory=list)
    gone: list[str] = field(default_factory=list)
    anew: list[str] = field(default_factory=list)
    inherited: list[str] = field(default_factory=list)

    def inherits(self, shard: ShardId, keys: Collection[str]) -> None:
        self.inherited += keys

    def taken_over(self, shard: ShardId, entry: Entry, done: Callable[[bytes], None]) -> None:
        self.released.append(entry.key)
        done(b"released")

    def let_go(self, entry: Entry) -> None:
        self.gone.append(entry.key)

    def goes_on(self, entry: Entry) -> None:
        self.anew.append(entry.key)


class Fleet:
    """Three members, each with a folder."""

    def __init__(self, folder: Path) -> None:
        self.world, self.folder = World(), folder
        self.places = dict(zip(("n1", "n2", "n3"), _free_addresses(3), strict=True))
        self.plain = members(folder)
        self.peers: dict[str, Membership] = {}
        self.hosts: dict[str, Replication] = {}
        self.calls: dict[str, Calls] = {}
        self.disks: dict[str, FaultyDisk] = {}
        self.logs: dict[str, Log] = {}
        for name in self.places:
            self.start(name)
        assert self.until(lambda: all(len(host.mesh.ways) == 2 for host in self.hosts.values()), 5 * S)

    def start(self, name: str, faults: Faults | None = None) -> None:
        place = self.places[name]
        settings = replace(
            self.plain, name=name, listen=place, advertise=place, seed_addresses=tuple(self.places.values())
        )
        loop = self.world.loop
        membership = self.peers[name] = Membership(loop, settings)
        disk = disk_of(self.folder / name, faults or Faults(seed=9, unreadable=1e-9))
        assert isinstance(disk, FaultyDisk)
        self.disks[name] = disk
        log = self.logs[name] = Log(disk)
        log.open()
        host = Replication(
            loop, membership, name, "calls", place, 1, log,
            lambda durable, trouble: Writer(loop, log, disk, True, durable, trouble),
        )  # fmt: skip
        self.hosts[name], self.calls[name] = host, Calls()
        host.user = self.calls[name]

    def kill(self, name: str) -> None:
        self.hosts.pop(name).close()
        del self.logs[name]
        self.peers.pop(name).close()
        disk = self.disks.pop(name)._disk
        disk.close()  # type: ignore[attr-defined]

    def hold(self, name: str, key: str, phase: Phase) -> list[bool]:
        heard: list[bool] = []
        self.hosts[name].hold(key, phase, b"dialogs of " + key.encode(), heard.append)
        self.pause()
        return heard

    def pause(self) -> None:
        """Disks and sockets are real: they get their time before the clock goes on."""
        end, quiet = time.monotonic() + 10, 0
        while quiet < 3 and time.monotonic() < end:
            busy = self.world.turn() or any(log._batch is not None for log in self.logs.values())
            quiet = 0 if busy else quiet + 1

    def run(self, span: timedelta) -> None:
        self.until(lambda: False, span)

    def until(self, done: Callable[[], bool], longest: timedelta) -> bool:
        end = self.world.seconds + longest.total_seconds()
        self.pause()
        while not done() and self.world.seconds < end:
            self.world.seconds += STEP.total_seconds()
            self.pause()
        return done()


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    made = Fleet(tmp_path)
    yield made
    for name in list(made.hosts):
        made.kill(name)
    made.world.loop.close()


def test_a_call_is_promised_once_another_machine_has_it_and_released_by_one_when_its_owner_dies(
    fleet: Fleet,
) -> None:
    heard = [fleet.hold("n1", f"c{number}", Phase.STANDS) for number in range(20)]
    assert fleet.until(lambda: all(heard), S) and all(found == [True] for found in heard)
    over = fleet.hold("n1", "c0", Phase.OVER)
    assert fleet.until(lambda: over == [True], S)
    before = fleet.world.seconds
    fleet.kill("n1")
    others = [fleet.calls["n2"], fleet.calls["n3"]]
    assert fleet.until(lambda: sum(len(calls.released) for calls in others) == 19, 8 * S)
    assert fleet.world.seconds - before < 8
    fleet.run(4 * S)
    found = sorted(others[0].released + others[1].released)
    assert found == sorted(f"c{number}" for number in range(1, 20)), "each once"
    assert others[0].inherited + others[1].inherited == ["c0"], "its record is kept by whoever has it now"
    fleet.start("n1")
    fleet.run(8 * S)
    assert not fleet.calls["n1"].released
    assert all(copy.complete for host in fleet.hosts.values() for copy in host.replicas.copies.values())


def test_without_another_machine_nothing_is_promised_and_nobody_waits_for_long(fleet: Fleet) -> None:
    fleet.kill("n2")
    fleet.kill("n3")
    begun, before = fleet.world.seconds, COUNTERS["replicas.unpromised"]
    heard = fleet.hold("n1", "c", Phase.STANDS)
    assert fleet.until(lambda: bool(heard), S) and heard == [False]
    assert fleet.world.seconds - begun < 0.2 and COUNTERS["replicas.unpromised"] == before + 1
    fleet.start("n2")
    assert fleet.until(lambda: fleet.hosts["n1"].replicas.durable == 1, 8 * S), "made good once one is back"


def test_a_disk_that_takes_nothing_makes_our_own_copy_not_count(fleet: Fleet) -> None:
    """Two others have it then, or it is not promised."""
    fleet.disks["n1"].faults = Faults(full_after=1)
    both = fleet.hold("n1", "c1", Phase.STANDS)
    assert fleet.until(lambda: bool(both), S) and both == [True]
    assert fleet.until(lambda: fleet.hosts["n1"].view()["disk"] == "failing", S)
    fleet.kill("n3")
    fleet.run(S)
    one = fleet.hold("n1", "c2", Phase.STANDS)
    assert fleet.until(lambda: bool(one), S) and one == [False]
    fleet.disks["n1"].faults = Faults()
    assert fleet.until(lambda: fleet.hosts["n1"].replicas.durable == 2, 12 * S), "tried again each 5 s"


def test_all_die_at_once_and_what_their_disks_have_is_released(fleet: Fleet) -> None:
    heard = [fleet.hold("n1", f"c{number}", Phase.STANDS) for number in range(5)]
    assert fleet.until(lambda: all(heard), S)
    for name in list(fleet.hosts):
        fleet.kill(name)
    fleet.start("n2")
    fleet.start("n3", Faults(turned_bits=1))
    others = [fleet.calls["n2"], fleet.calls["n3"]]
    assert fleet.until(lambda: sum(len(calls.released) for calls in others) >= 5, 20 * S)
    assert {key for calls in others for key in calls.released} == {f"c{n}" for n in range(5)}


def test_what_waits_where_another_has_taken_over_is_not_promised_and_holds_up_nothing(
    fleet: Fleet,
) -> None:
    host = fleet.hosts["n1"]
    waits: list[bool] = []
    host.hold("old", Phase.STANDS, b"", waits.append)
    host.replicas.heard(fleet.world.now, "n2", Old(host.replicas.shard, Term(2, "n2", 1)))
    host._carry_out()
    assert waits == [False] and host.replicas.shard.epoch == 1
    assert fleet.calls["n1"].gone + fleet.calls["n1"].anew == ["old"]
    heard = fleet.hold("n1", "new", Phase.STANDS)
    assert fleet.until(lambda: bool(heard), S) and heard == [True]
