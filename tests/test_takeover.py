"""Which established calls a new process at a call server's address is taken to have."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from hypothesis import given
from hypothesis import strategies as st

from reedmount.core.clock import EPOCH
from reedmount.fronts.takeover import Takeover


@dataclass(frozen=True, eq=False)
class Dialled:
    """A connection, by when it was dialled."""

    second: int

    @property
    def dialled_at(self) -> datetime:
        return EPOCH + timedelta(seconds=self.second)


def calls(seconds: list[int]) -> dict[str, datetime]:
    return {f"call {number}": Dialled(second).dialled_at for number, second in enumerate(seconds)}


SECONDS = st.lists(st.integers(0, 9), max_size=6)


@given(SECONDS, SECONDS, st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=8))
def test_each_call_is_proven_by_an_answer_on_no_later_connection_or_ended_once(
    dialled: list[int], answered_on: list[int], events: list[tuple[int, bool]]
) -> None:
    connections, names = [Dialled(second) for second in dialled], calls(answered_on)
    takeover = Takeover(connections, names)
    ended = [name for name in names if name not in takeover.unproven]
    proofs: list[datetime] = []
    waiting = set(connections)
    for index, has_answered in events:
        if index >= len(connections):
            continue
        if not has_answered:
            ended += takeover.ended(connections[index])
        elif takeover.answered(connections[index]):
            proofs.append(connections[index].dialled_at)
            assert connections[index] in waiting
        waiting.discard(connections[index])
    ended += takeover.expire()
    assert len(ended) == len(set(ended)) and not takeover.unproven
    proven = {name for name, at in names.items() if any(proof <= at for proof in proofs)}
    assert proven == names.keys() - set(ended)
