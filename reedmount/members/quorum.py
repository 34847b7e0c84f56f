"""Whether we may decide for all: majorities over rosters from the settings, never over who is in sight."""

from __future__ import annotations

import zlib
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from reedmount.members.record import UINT32_MAX, Record, State


class QuorumState(Enum):
    """What a member may do while others are missing; calls are served in all of them."""

    JOINING = "joining"  # has not heard enough others since its own start
    MINORITY = "minority"  # not even with those that are suspected, or without them and out of touch
    UNSURE = "unsure"  # with suspected or damped ones, out of touch, or under a roster that we do not know
    MAJORITY = "majority"

    @property
    def has_quorum(self) -> bool:
        """Whether it is worth asking for what must be unique; a term or lease has to fence it besides."""
        return self is QuorumState.MAJORITY


@dataclass(frozen=True, slots=True)
class VoterSet:
    """Who counts, by the settings."""

    version: int
    names: frozenset[str]

    @property
    def id(self) -> int:
        """What members say to tell that they go by this one; 0 is none."""
        text = f"{self.version}:" + ",".join(sorted(self.names))
        return (zlib.crc32(text.encode()) & UINT32_MAX) or 1

    @property
    def majority(self) -> int:
        """More than half."""
        return len(self.names) // 2 + 1


@dataclass(slots=True)
class _Tally:
    """Of one roster: how many are in each state. Kept by difference: a change costs one step."""

    voters: VoterSet
    states: Counter[State] = field(default_factory=Counter)
    damped: int = 0  # of those alive


class QuorumTracker:
    """The tallies of all rosters that matter now."""

    def __init__(self, me: str, voter_sets: tuple[VoterSet, ...]) -> None:
        self._me = me
        self._tallies = [_Tally(voters) for voters in voter_sets]
        self._known = {voters.id for voters in voter_sets}
        self._announced: Counter[int] = Counter()  # roster ids of members that are there
        self._damped: set[str] = set()

    @property
    def current(self) -> VoterSet:
        """The roster that we go by."""
        return self._tallies[0].voters

    def member_changed(self, name: str, old: Record | None, new: Record | None) -> None:
        """What is known of a member is other now; None: it is not in the table."""
        if any(name in tally.voters.names for tally in self._tallies):
            # What guests go by says nothing: one of them could keep all the others from deciding.
            for record, by in ((old, -1), (new, 1)):
                if record is not None and record.present and record.voters_id:
                    self._announced[record.voters_id] += by
        self._tally(name, None if old is None else old.state, None if new is None else new.state)

    def _tally(self, name: str, old: State | None, new: State | None) -> None:
        for tally in self._tallies:
            if name not in tally.voters.names or name == self._me:
                continue
            if old is not None:
                tally.states[old] -= 1
            if new is not None:
                tally.states[new] += 1
            if name in self._damped:
                tally.damped += (new is State.ALIVE) - (old is State.ALIVE)

    def set_damped(self, name: str, damped: bool, state: State | None) -> None:
        """A member begins or ceases to be damped."""
        if damped == (name in self._damped):
            return
        (self._damped.add if damped else self._damped.discard)(name)
        for tally in self._tallies:
            if name in tally.voters.names and state is State.ALIVE:
                tally.damped += 1 if damped else -1

    def quorum_state(self, joined: bool, has_contact: bool = True) -> QuorumState:
        """As of now: the worst that a roster in use says; out of touch, no better than unsure."""
        if not joined:
            return QuorumState.JOINING
        in_use = {voters_id for voters_id, members in self._announced.items() if members > 0}
        state = QuorumState.MAJORITY if has_contact and in_use <= self._known else QuorumState.UNSURE
        for index, tally in enumerate(self._tallies):
            if index and tally.voters.id not in in_use:
                continue  # nobody goes by that one any more
            own = self._me in tally.voters.names
            alive = own + tally.states[State.ALIVE]
            # Where we hear few ourselves, those that we suspect besides are taken for gone: nobody else may
            # be left to share the suspicion, which then takes its longest.
            possible = alive + (tally.states[State.SUSPECT] if has_contact else 0)
            if possible < tally.voters.majority:
                return QuorumState.MINORITY
            if alive - tally.damped < tally.voters.majority:
                state = QuorumState.UNSURE
        return state
