"""Quorum: majorities over the configured voter sets, never over the members that happen to be visible."""

from __future__ import annotations

import zlib
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from reedmount.members.record import UINT32_MAX, Record, State


class QuorumState(Enum):
    """What a member may decide while others are missing; calls are served in every state."""

    JOINING = "joining"  # has not received from enough others since its start
    MINORITY = "minority"  # no majority even with suspected members, which count only while in contact
    UNSURE = "unsure"  # majority only with suspected or damped members, no contact, or an unknown voter set
    MAJORITY = "majority"

    @property
    def has_quorum(self) -> bool:
        """Whether to attempt decisions that must be unique; a term or lease has to fence them in addition."""
        return self is QuorumState.MAJORITY


@dataclass(frozen=True, slots=True)
class VoterSet:
    """The members that vote, from the settings."""

    version: int
    names: frozenset[str]

    @property
    def id(self) -> int:
        """The identifier of this voter set in member records; 0 means none."""
        text = f"{self.version}:" + ",".join(sorted(self.names))
        return (zlib.crc32(text.encode()) & UINT32_MAX) or 1

    @property
    def majority(self) -> int:
        """The smallest number of members that is more than half."""
        return len(self.names) // 2 + 1


@dataclass(slots=True)
class _Tally:
    """The number of voters of one set in each state, updated incrementally."""

    voters: VoterSet
    states: Counter[State] = field(default_factory=Counter)
    damped: int = 0  # of the alive ones


class QuorumTracker:
    """Counts the voters of the current and the previous voter sets, and derives the quorum state."""

    def __init__(self, me: str, voter_sets: tuple[VoterSet, ...]) -> None:
        self._me = me
        self._tallies = [_Tally(voters) for voters in voter_sets]
        self._known = {voters.id for voters in voter_sets}
        self._announced: Counter[int] = Counter()  # voter set id -> present voters that use it
        self._damped: set[str] = set()

    @property
    def current(self) -> VoterSet:
        """The voter set that this member uses."""
        return self._tallies[0].voters

    def member_changed(self, name: str, old: Record | None, new: Record | None) -> None:
        """Update the counts for a changed record; None means that the member is not in the view."""
        if any(name in tally.voters.names for tally in self._tallies):
            # Voter sets of nonvoters are ignored: a single nonvoter could keep all others from a quorum.
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
        """Mark a member as damped or not."""
        if damped == (name in self._damped):
            return
        (self._damped.add if damped else self._damped.discard)(name)
        for tally in self._tallies:
            if name in tally.voters.names and state is State.ALIVE:
                tally.damped += 1 if damped else -1

    def quorum_state(self, joined: bool, has_contact: bool = True) -> QuorumState:
        """The worst state over all voter sets in use; without contact, UNSURE at best."""
        if not joined:
            return QuorumState.JOINING
        in_use = {voters_id for voters_id, members in self._announced.items() if members > 0}
        state = QuorumState.MAJORITY if has_contact and in_use <= self._known else QuorumState.UNSURE
        for index, tally in enumerate(self._tallies):
            if index and tally.voters.id not in in_use:
                continue  # no present voter uses it any more
            own = self._me in tally.voters.names
            alive = own + tally.states[State.ALIVE]
            # Without contact, suspected members count as lost: there may be no one left to confirm the
            # suspicions, which then take their longest time.
            possible = alive + (tally.states[State.SUSPECT] if has_contact else 0)
            if possible < tally.voters.majority:
                return QuorumState.MINORITY
            if alive - tally.damped < tally.voters.majority:
                state = QuorumState.UNSURE
        return state
