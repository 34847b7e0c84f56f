"""The replication state machines in virtual time: durable calls are recovered, and a term never has two
writers."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from reedmount.replicas.messages import (
    FRAME,
    MAX_DATA,
    MAX_FRAME,
    Append,
    Entry,
    FrameError,
    Phase,
    ShardId,
    Term,
    frame,
    frame_length,
    split_entries,
    unframe,
)  # fmt: skip
from reedmount.replicas.placement import holders, set_size
from standins.copies import Group

SHARD, TERM = ShardId("n0", 7), Term(1, "n0", 7)


def entry(seq: int, size: int = 10, phase: Phase = Phase.ESTABLISHED) -> Entry:
    return Entry(seq, f"call-{seq}", phase, bytes(size), TERM)


def test_placement_is_even_and_a_removed_voter_changes_only_its_own_sets() -> None:
    voters = [f"n{number}" for number in range(40)]
    sets = {name: holders(name, voters, 1) for name in voters}
    assert all(len(set(found)) == 2 and name not in found for name, found in sets.items())
    assert max(Counter(one for found in sets.values() for one in found).values()) <= 8
    others = [one for one in voters if one != "n7"]
    fewer = {name: holders(name, others, 1) for name in others}
    moved = [name for name, found in fewer.items() if found != sets[name]]
    assert all("n7" in sets[name] for name in moved) and len(moved) < 10
    assert set_size("a", ["a", "b"], 2) == 2


@given(st.integers(0, 10**6), st.integers(0, 7))
def test_a_message_survives_encoding_and_a_flipped_bit_is_rejected(at: int, bit: int) -> None:
    message = Append(SHARD, TERM, 3, [entry(4), entry(5, 300)], 2)
    data = frame(message)
    assert unframe(data) == message and frame_length(data[: FRAME.size]) == len(data)
    damaged = bytearray(data)
    damaged[at % len(data)] ^= 1 << bit
    with pytest.raises(FrameError):
        unframe(bytes(damaged))
    with pytest.raises(FrameError):
        frame_length(FRAME.pack(MAX_FRAME + 1, 0))


def test_entries_are_split_so_that_each_message_fits_in_a_frame() -> None:
    for size in (0, 100, MAX_DATA):
        entries = [entry(seq, size) for seq in range(1, 400)]
        batches = split_entries(entries)
        assert [one for batch in batches for one in batch] == entries
        assert all(len(frame(Append(SHARD, TERM, 0, batch))) < MAX_FRAME for batch in batches)
    assert split_entries([]) == [[]]


def test_calls_become_durable_and_completed_calls_leave_no_entries() -> None:
    group = Group(5, 1)
    group.run(20)
    assert not group.problems
    answered = [call for call in group.calls.values() if Phase.ESTABLISHED in call.seqs]
    assert len(answered) > 400 and sum(call.established for call in answered) >= len(answered) - 5
    group.rate = 0.0
    group.run(20)
    remaining = [len(owner.replica) for member in group.members.values() if member.replicas
            for owner in member.replicas.owners.values()]  # fmt: skip
    assert sum(remaining) < 10, remaining
    assert group.unreleased_calls() == []


@pytest.mark.parametrize("seed", range(4))
def test_durable_calls_of_a_dead_member_are_released(seed: int) -> None:
    group = Group(5, seed)
    group.run(3)
    for _ in range(4):
        name = group.rng.choice(group.names)
        group.kill(name)
        group.run(7.5)
        assert group.unreleased_calls() == [], "not released within 7.5 s of the death"
        group.start(name)
        group.run(2)
    assert not group.problems
    assert sum(bool(call.released) for call in group.calls.values()) > 20


@pytest.mark.parametrize("seed", range(4))
def test_a_partitioned_owner_stops_writing_to_a_shard_taken_over_by_another(seed: int) -> None:
    group = Group(5, seed)
    group.run(3)
    name = group.rng.choice(group.names)
    group.cut(name)
    group.run(9)
    group.heal()
    group.run(4)
    assert not group.problems and group.unreleased_calls() == []
    member = group.members[name]
    assert member.replicas is not None and member.replicas.shard.epoch == 1
    released_twice = [call for call in group.calls.values() if len(call.released) > 1]
    assert not released_twice, "calls released twice"
    group.run(5)
    current = [call for call in group.calls.values() if call.owner == name and call.established]
    assert any(call.seqs[Phase.ESTABLISHED][0].epoch == 1 for call in current), (
        "no call became durable in the new epoch"
    )


class ReplicationMachine(RuleBasedStateMachine):
    """Kills, starts, partitions and waits in any order. Each shard has one writer per term, a replica's
    terms only rise, and what is durable remains so; once all faults are repaired, no takeover is stuck
    and every replica is complete."""

    @initialize(seed=st.integers(0, 10**6), faults=st.integers(1, 2))
    def begin(self, seed: int, faults: int) -> None:
        self.group = Group(2 * faults + 3, seed, faults, rate=4.0)
        self.terms: dict[tuple[str, int, ShardId], Term] = {}
        self.durable: dict[tuple[str, int, ShardId], int] = {}

    @rule(number=st.integers(0, 6))
    def kill(self, number: int) -> None:
        self.group.kill(self.group.names[number % len(self.group.names)])

    @rule(number=st.integers(0, 6))
    def start(self, number: int) -> None:
        name = self.group.names[number % len(self.group.names)]
        if self.group.members[name].replicas is None:
            self.group.start(name)

    @rule(chosen=st.sets(st.integers(0, 6), min_size=1, max_size=3))
    def cut(self, chosen: set[int]) -> None:
        self.group.cut(*sorted({self.group.names[number % len(self.group.names)] for number in chosen}))

    @rule()
    def heal(self) -> None:
        self.group.heal()

    @rule(seconds=st.floats(0.01, 4.0))
    def wait(self, seconds: float) -> None:
        self.group.run(seconds)

    @invariant()
    def one_writer_per_term(self) -> None:
        assert not getattr(self, "group", Group(0, 0)).problems

    @invariant()
    def terms_and_durable_steps_only_rise(self) -> None:
        for name, member in getattr(self, "group", Group(0, 0)).members.items():
            if member.replicas is None:
                continue
            for shard, replica in member.replicas.held_replicas.items():
                key = (name, member.boot_id, shard)
                assert (
                    replica.promised >= self.terms.get(key, replica.promised)
                    and replica.term <= replica.promised
                )
                self.terms[key] = replica.promised
            for shard, owner in member.replicas.owners.items():
                key = (name, member.boot_id, shard)
                assert self.durable.get(key, 0) <= owner.durable <= owner.replica.seq
                self.durable[key] = owner.durable

    def teardown(self) -> None:
        group = getattr(self, "group", None)
        if group is None:
            return
        group.heal()
        for name, member in group.members.items():
            if member.replicas is None:
                group.start(name)
        group.run(12)
        for member in group.members.values():
            assert member.replicas is not None
            assert not member.replicas._pending_takeovers and not member.replicas._failover._elections
            assert all(replica.complete for replica in member.replicas.held_replicas.values())
        assert not group.problems


TestReplicationMachine = ReplicationMachine.TestCase
TestReplicationMachine.settings = settings(
    max_examples=25, stateful_step_count=15, deadline=None, derandomize=True
)


@pytest.mark.parametrize("seed", range(6))
def test_random_faults_leave_one_writer_per_term_and_no_stuck_takeover(seed: int) -> None:
    """Kills, restarts and partitions without limit: with more than f at once, durable calls may be lost,
    but nothing else may break."""
    group = Group(7, seed, faults=1 + seed % 2)
    for _ in range(40):
        match group.rng.choice(["kill", "start", "cut", "heal", "none"]):
            case "kill":
                group.kill(group.rng.choice(group.names))
            case "start":
                down = [name for name, member in group.members.items() if member.replicas is None]
                for name in down[:1]:
                    group.start(name)
            case "cut":
                group.cut(*group.rng.sample(group.names, group.rng.randint(1, 3)))
            case "heal":
                group.heal()
        group.run(group.rng.uniform(0.1, 3))
    group.heal()
    for name, member in group.members.items():
        if member.replicas is None:
            group.start(name)
    group.run(12)
    assert not group.problems, group.problems[:3]
    for member in group.members.values():
        assert member.replicas is not None
        assert not member.replicas._pending_takeovers and not member.replicas._failover._elections
