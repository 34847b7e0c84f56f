"""Copies in virtual time: what was promised is found again, and never has two writers in one term."""

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
    length_of,
    parts,
    unframe,
)  # fmt: skip
from reedmount.replicas.placement import holders, set_size
from standins.copies import Group

SHARD, TERM = ShardId("n0", 7), Term(1, "n0", 7)


def entry(seq: int, size: int = 10, phase: Phase = Phase.STANDS) -> Entry:
    return Entry(seq, f"call-{seq}", phase, bytes(size), TERM)


def test_placement_is_the_same_everywhere_even_and_moves_little() -> None:
    roster = [f"n{number}" for number in range(40)]
    sets = {name: holders(name, roster, 1) for name in roster}
    assert all(len(set(found)) == 2 and name not in found for name, found in sets.items())
    assert max(Counter(one for found in sets.values() for one in found).values()) <= 8
    rest = [one for one in roster if one != "n7"]
    fewer = {name: holders(name, rest, 1) for name in rest}
    moved = [name for name, found in fewer.items() if found != sets[name]]
    assert all("n7" in sets[name] for name in moved) and len(moved) < 10
    assert set_size("a", ["a", "b"], 2) == 2


@given(st.integers(0, 10**6), st.integers(0, 7))
def test_a_message_is_read_as_it_was_written_or_refused(at: int, bit: int) -> None:
    message = Append(SHARD, TERM, 3, [entry(4), entry(5, 300)], 2)
    data = frame(message)
    assert unframe(data) == message and length_of(data[: FRAME.size]) == len(data)
    turned = bytearray(data)
    turned[at % len(data)] ^= 1 << bit
    with pytest.raises(FrameError):
        unframe(bytes(turned))
    with pytest.raises(FrameError):
        length_of(FRAME.pack(MAX_FRAME + 1, 0))


def test_entries_are_parted_so_that_each_message_fits() -> None:
    for size in (0, 100, MAX_DATA):
        entries = [entry(seq, size) for seq in range(1, 400)]
        made = parts(entries)
        assert [one for part in made for one in part] == entries
        assert all(len(frame(Append(SHARD, TERM, 0, part))) < MAX_FRAME for part in made)
    assert parts([]) == [[]]


def test_calls_are_durable_at_once_and_nothing_is_left_of_those_that_are_over() -> None:
    group = Group(5, 1)
    group.run(20)
    assert not group.problems
    placed = [call for call in group.calls.values() if Phase.STANDS in call.seqs]
    assert len(placed) > 400 and sum(call.established for call in placed) >= len(placed) - 5
    group.rate = 0.0
    group.run(20)
    left = [len(owner.copy) for member in group.members.values() if member.replicas
            for owner in member.replicas.owners.values()]  # fmt: skip
    assert sum(left) < 10, left
    assert group.unreleased_calls() == []


@pytest.mark.parametrize("seed", range(4))
def test_whoever_dies_with_its_disk_has_its_promised_calls_released(seed: int) -> None:
    group = Group(5, seed)
    group.run(3)
    for _ in range(4):
        name = group.rng.choice(group.names)
        group.kill(name)
        group.run(7.5)
        assert group.unreleased_calls() == [], "8 s after its death"
        group.start(name)
        group.run(2)
    assert not group.problems
    assert sum(bool(call.released) for call in group.calls.values()) > 20


@pytest.mark.parametrize("seed", range(4))
def test_an_owner_that_was_cut_off_writes_no_more_to_what_another_has_taken(seed: int) -> None:
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
    lasting = [call for call in group.calls.values() if len(call.released) > 1]
    assert not lasting, "released twice"
    group.run(5)
    fresh = [call for call in group.calls.values() if call.owner == name and call.established]
    assert any(call.seqs[Phase.STANDS][0].epoch == 1 for call in fresh), "promises are made again"


class Storm(RuleBasedStateMachine):
    """Kills, starts, cuts and time, in any order. Each shard has one writer a term, a copy's terms only rise,
    and what is durable stays it; once all is whole, nothing is stuck and every copy is complete."""

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

    @rule(few=st.sets(st.integers(0, 6), min_size=1, max_size=3))
    def cut(self, few: set[int]) -> None:
        self.group.cut(*sorted({self.group.names[number % len(self.group.names)] for number in few}))

    @rule()
    def heal(self) -> None:
        self.group.heal()

    @rule(seconds=st.floats(0.01, 4.0))
    def wait(self, seconds: float) -> None:
        self.group.run(seconds)

    @invariant()
    def one_writer_a_term(self) -> None:
        assert not getattr(self, "group", Group(0, 0)).problems

    @invariant()
    def terms_and_what_is_durable_only_rise(self) -> None:
        for name, member in getattr(self, "group", Group(0, 0)).members.items():
            if member.replicas is None:
                continue
            for shard, copy in member.replicas.copies.items():
                key = (name, member.boot_id, shard)
                assert copy.promised >= self.terms.get(key, copy.promised) and copy.term <= copy.promised
                self.terms[key] = copy.promised
            for shard, owner in member.replicas.owners.items():
                key = (name, member.boot_id, shard)
                assert self.durable.get(key, 0) <= owner.durable <= owner.copy.seq
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
            assert not member.replicas._finishing and not member.replicas._succession._rounds
            assert all(copy.complete for copy in member.replicas.copies.values())
        assert not group.problems


TestStorm = Storm.TestCase
TestStorm.settings = settings(max_examples=25, stateful_step_count=15, deadline=None, derandomize=True)


@pytest.mark.parametrize("seed", range(6))
def test_whatever_fails_there_is_one_writer_a_term_and_none_stays_stuck(seed: int) -> None:
    """Kills, restarts and cuts without measure: more than f at once lose promises, and break nothing else."""
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
        assert not member.replicas._finishing and not member.replicas._succession._rounds
