"""Replication on real sockets and real files: members in one process, on a simulated clock."""

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
from reedmount.replicas.messages import Entry, Phase, ShardId, StaleTerm, Term
from reedmount.store.faulty import Faults, FaultyDisk, disk_of
from reedmount.store.log import Log
from reedmount.store.writer import Writer
from standins.world import STEP, World
from tests.test_member_handover import _free_addresses
from tests.test_peers import members

S = timedelta(seconds=1)


@dataclass
class RecordedCalls:
    """A ``ReplicationUser`` that records what it is asked to do."""

    released: list[str] = field(default_factory=list)
    released_by_others: list[str] = field(default_factory=list)
    replicated_again: list[str] = field(default_factory=list)
    inherited: list[str] = field(default_factory=list)

    def inherit_records(self, shard: ShardId, keys: Collection[str]) -> None:
        self.inherited += keys

    def finish_call(self, shard: ShardId, entry: Entry, done: Callable[[bytes], None]) -> None:
        self.released.append(entry.key)
        done(b"released")

    def release_call(self, entry: Entry) -> None:
        self.released_by_others.append(entry.key)

    def replicate_again(self, entry: Entry) -> None:
        self.replicated_again.append(entry.key)


class Fleet:
    """Three members, each with a folder for its disk."""

    def __init__(self, folder: Path) -> None:
        self.world, self.folder = World(), folder
        self.addresses = dict(zip(("n1", "n2", "n3"), _free_addresses(3), strict=True))
        self.settings_base = members(folder)
        self.memberships: dict[str, Membership] = {}
        self.replications: dict[str, Replication] = {}
        self.calls: dict[str, RecordedCalls] = {}
        self.disks: dict[str, FaultyDisk] = {}
        self.logs: dict[str, Log] = {}
        for name in self.addresses:
            self.start(name)
        assert self.until(
            lambda: all(
                len(replication.mesh.connected_members) == 2 for replication in self.replications.values()
            ),
            5 * S,
        )

    def start(self, name: str, faults: Faults | None = None) -> None:
        address = self.addresses[name]
        settings = replace(
            self.settings_base,
            name=name,
            listen=address,
            advertise=address,
            seed_addresses=tuple(self.addresses.values()),
        )
        loop = self.world.loop
        membership = self.memberships[name] = Membership(loop, settings)
        disk = disk_of(self.folder / name, faults or Faults(seed=9, unreadable=1e-9))
        assert isinstance(disk, FaultyDisk)
        self.disks[name] = disk
        log = self.logs[name] = Log(disk)
        log.open()
        replication = Replication(
            loop, membership, name, "calls", address, 1, log,
            lambda durable, trouble: Writer(loop, log, disk, True, durable, trouble),
        )  # fmt: skip
        self.replications[name], self.calls[name] = replication, RecordedCalls()
        replication.user = self.calls[name]

    def kill(self, name: str) -> None:
        self.replications.pop(name).close()
        del self.logs[name]
        self.memberships.pop(name).close()
        disk = self.disks.pop(name)._disk
        disk.close()  # type: ignore[attr-defined]

    def hold(self, name: str, key: str, phase: Phase) -> list[bool]:
        results: list[bool] = []
        self.replications[name].hold(key, phase, b"dialogs of " + key.encode(), results.append)
        self.pause()
        return results

    def pause(self) -> None:
        """Disks and sockets are real: waits for them to become idle before the clock advances."""
        end, idle_turns = time.monotonic() + 10, 0
        while idle_turns < 3 and time.monotonic() < end:
            busy = self.world.turn() or any(log._batch is not None for log in self.logs.values())
            idle_turns = 0 if busy else idle_turns + 1

    def run(self, span: timedelta) -> None:
        self.until(lambda: False, span)

    def until(self, done: Callable[[], bool], timeout: timedelta) -> bool:
        end = self.world.seconds + timeout.total_seconds()
        self.pause()
        while not done() and self.world.seconds < end:
            self.world.seconds += STEP.total_seconds()
            self.pause()
        return done()


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    created = Fleet(tmp_path)
    yield created
    for name in list(created.replications):
        created.kill(name)
    created.world.loop.close()


def test_a_call_is_durable_once_replicated_and_released_by_one_member_when_its_owner_dies(
    fleet: Fleet,
) -> None:
    results = [fleet.hold("n1", f"c{number}", Phase.ESTABLISHED) for number in range(20)]
    assert fleet.until(lambda: all(results), S) and all(found == [True] for found in results)
    completed = fleet.hold("n1", "c0", Phase.COMPLETED)
    assert fleet.until(lambda: completed == [True], S)
    before = fleet.world.seconds
    fleet.kill("n1")
    others = [fleet.calls["n2"], fleet.calls["n3"]]
    assert fleet.until(lambda: sum(len(calls.released) for calls in others) == 19, 8 * S)
    assert fleet.world.seconds - before < 8
    fleet.run(4 * S)
    found = sorted(others[0].released + others[1].released)
    assert found == sorted(f"c{number}" for number in range(1, 20)), "a call was not released, or twice"
    assert others[0].inherited + others[1].inherited == ["c0"], "the completed record was not inherited"
    fleet.start("n1")
    fleet.run(8 * S)
    assert not fleet.calls["n1"].released
    assert all(
        replica.complete
        for replication in fleet.replications.values()
        for replica in replication.replicas.held_replicas.values()
    )


def test_without_another_member_no_call_is_durable_and_the_wait_times_out(fleet: Fleet) -> None:
    fleet.kill("n2")
    fleet.kill("n3")
    started_at, before = fleet.world.seconds, COUNTERS["replicas.unpromised"]
    results = fleet.hold("n1", "c", Phase.ESTABLISHED)
    assert fleet.until(lambda: bool(results), S) and results == [False]
    assert fleet.world.seconds - started_at < 0.2 and COUNTERS["replicas.unpromised"] == before + 1
    fleet.start("n2")
    assert fleet.until(lambda: fleet.replications["n1"].replicas.durable == 1, 8 * S), (
        "not durable after a member came back"
    )


def test_the_local_replica_does_not_count_while_its_disk_fails(fleet: Fleet) -> None:
    """A step is then durable only once both other members have it."""
    fleet.disks["n1"].faults = Faults(full_after=1)
    first = fleet.hold("n1", "c1", Phase.ESTABLISHED)
    assert fleet.until(lambda: bool(first), S) and first == [True]
    assert fleet.until(lambda: fleet.replications["n1"].view()["disk"] == "failing", S)
    fleet.kill("n3")
    fleet.run(S)
    second = fleet.hold("n1", "c2", Phase.ESTABLISHED)
    assert fleet.until(lambda: bool(second), S) and second == [False]
    fleet.disks["n1"].faults = Faults()
    assert fleet.until(lambda: fleet.replications["n1"].replicas.durable == 2, 12 * S), (
        "the disk was not retried (every 5 s)"
    )


def test_calls_on_disk_are_released_after_all_members_die_at_once(fleet: Fleet) -> None:
    results = [fleet.hold("n1", f"c{number}", Phase.ESTABLISHED) for number in range(5)]
    assert fleet.until(lambda: all(results), S)
    for name in list(fleet.replications):
        fleet.kill(name)
    fleet.start("n2")
    fleet.start("n3", Faults(turned_bits=1))
    others = [fleet.calls["n2"], fleet.calls["n3"]]
    assert fleet.until(lambda: sum(len(calls.released) for calls in others) >= 5, 20 * S)
    assert {key for calls in others for key in calls.released} == {f"c{n}" for n in range(5)}


def test_waiting_calls_of_a_fenced_shard_fail_and_do_not_block_later_ones(
    fleet: Fleet,
) -> None:
    replication = fleet.replications["n1"]
    results_of_old: list[bool] = []
    replication.hold("old", Phase.ESTABLISHED, b"", results_of_old.append)
    replication.replicas.receive(
        fleet.world.now, "n2", StaleTerm(replication.replicas.shard, Term(2, "n2", 1))
    )
    replication._carry_out()
    assert results_of_old == [False] and replication.replicas.shard.epoch == 1
    assert fleet.calls["n1"].released_by_others + fleet.calls["n1"].replicated_again == ["old"]
    results = fleet.hold("n1", "new", Phase.ESTABLISHED)
    assert fleet.until(lambda: bool(results), S) and results == [True]
