"""What was seen of call servers and is still to be told, with its age, a bounded number of times."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime

from reedmount.members.dissemination import DisseminationQueue
from reedmount.members.knowledge import Knowledge, Observation, StoredObservation

MAX_PER_DATAGRAM = 8  # facts that could have room in a datagram


@dataclass(frozen=True, slots=True)
class ObservationKey:
    """Of which server, and who saw it; the fact itself is taken from what is known when it is told."""

    server: str
    by: str

    @property
    def name(self) -> str:
        """One observer's word of one server: a newer one takes its place."""
        return f"{self.server} {self.by}"


class ObservationGossip:
    """The owner of what members know of call servers. Only changes are told: that a server drains, is gone,
    came back or has started; each by who saw it itself, to everybody, once."""

    def __init__(self, me: str, times: int) -> None:
        self.knowledge = Knowledge(me)
        self._dissemination: DisseminationQueue[ObservationKey] = DisseminationQueue(times)

    def __len__(self) -> int:
        """How many are still to be passed on."""
        return len(self._dissemination)

    def observe(self, now: datetime, observation: Observation) -> None:
        """We saw this ourselves, just now."""
        self.knowledge.observe(now, observation)
        self._dissemination.put(ObservationKey(observation.server, observation.by))

    def receive(
        self, now: datetime, observations: Iterable[Observation], pass_on: bool = True
    ) -> tuple[Observation, ...]:
        """Others say so; what of it was news."""
        fresh = tuple(observation for observation in observations if self.knowledge.merge(now, observation))
        if pass_on:
            for observation in fresh:
                self._dissemination.put(ObservationKey(observation.server, observation.by))
        return fresh

    def next_observations(self, now: datetime) -> tuple[list[ObservationKey], list[Observation]]:
        """What goes next, as far as it could have room; what was forgotten meanwhile is told no more."""
        keys: list[ObservationKey] = []
        observations: list[Observation] = []
        expired = []
        for key in self._dissemination.pending():
            stored = self._lookup(key)
            if stored is None:
                expired.append(key)
                continue
            keys.append(key)
            observations.append(stored.aged(now))
            if len(observations) == MAX_PER_DATAGRAM:
                break
        for key in expired:
            self._dissemination.drop(key.name)
        return keys, observations

    def sent(self, keys: list[ObservationKey], members: int) -> None:
        """These have gone out once more."""
        self._dissemination.sent(keys, members)

    def all_observations(self, now: datetime) -> list[Observation]:
        """All that is known and not too old, for a newcomer; the freshest first."""
        self.knowledge.forget(now)
        found = [stored for _, by_observer in self.knowledge for stored in by_observer]
        found.sort(key=lambda stored: stored.observed_at, reverse=True)
        return [stored.aged(now) for stored in found]

    def _lookup(self, key: ObservationKey) -> StoredObservation | None:
        return self.knowledge.get(key.server, key.by)
