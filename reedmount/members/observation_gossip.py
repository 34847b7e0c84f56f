"""What was seen of call servers and is still to be told, with its age, a bounded number of times."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime

from reedmount.members.dissemination import Spread
from reedmount.members.knowledge import Fact, Heard, Knowledge

ROOM = 8  # facts that could have room in a datagram


@dataclass(frozen=True, slots=True)
class Rumour:
    """Of which server, and who saw it; the fact itself is taken from what is known when it is told."""

    server: str
    by: str

    @property
    def name(self) -> str:
        """One observer's word of one server: a newer one takes its place."""
        return f"{self.server} {self.by}"


class Rumours:
    """The owner of what members know of call servers. Only changes are told: that a server drains, is gone,
    came back or has started; each by who saw it itself, to everybody, once."""

    def __init__(self, me: str, times: int) -> None:
        self.knowledge = Knowledge(me)
        self._spread: Spread[Rumour] = Spread(times)

    def __len__(self) -> int:
        """How many are still to be passed on."""
        return len(self._spread)

    def saw(self, now: datetime, fact: Fact) -> None:
        """We saw this ourselves, just now."""
        self.knowledge.saw(now, fact)
        self._spread.put(Rumour(fact.server, fact.by))

    def told(self, now: datetime, facts: Iterable[Fact], pass_on: bool = True) -> tuple[Fact, ...]:
        """Others say so; what of it was news."""
        news = tuple(fact for fact in facts if self.knowledge.take(now, fact))
        if pass_on:
            for fact in news:
                self._spread.put(Rumour(fact.server, fact.by))
        return news

    def next_facts(self, now: datetime) -> tuple[list[Rumour], list[Fact]]:
        """What goes next, as far as it could have room; what was forgotten meanwhile is told no more."""
        rumours: list[Rumour] = []
        facts: list[Fact] = []
        lost = []
        for rumour in self._spread.waiting():
            heard = self._known(rumour)
            if heard is None:
                lost.append(rumour)
                continue
            rumours.append(rumour)
            facts.append(heard.aged(now))
            if len(facts) == ROOM:
                break
        for rumour in lost:
            self._spread.drop(rumour.name)
        return rumours, facts

    def sent(self, rumours: list[Rumour], members: int) -> None:
        """These have gone out once more."""
        self._spread.sent(rumours, members)

    def all_facts(self, now: datetime) -> list[Fact]:
        """All that is known and not too old, for a newcomer; the freshest first."""
        self.knowledge.forget(now)
        found = [heard for _, kept in self.knowledge for heard in kept]
        found.sort(key=lambda heard: heard.observed, reverse=True)
        return [heard.aged(now) for heard in found]

    def _known(self, rumour: Rumour) -> Heard | None:
        return self.knowledge.get(rumour.server, rumour.by)
