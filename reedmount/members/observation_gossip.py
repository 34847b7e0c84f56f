"""Gossip of call server observations, each sent with its age and a bounded number of times."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime

from reedmount.members.dissemination import DisseminationQueue
from reedmount.members.knowledge import Knowledge, Observation, StoredObservation

MAX_PER_DATAGRAM = 8  # observations that could fit into a datagram


@dataclass(frozen=True, slots=True)
class ObservationKey:
    """Server and observer; the observation itself is looked up when it is sent."""

    server: str
    by: str

    @property
    def name(self) -> str:
        """The key in the queue: a newer observation of a server by the same observer replaces the older."""
        return f"{self.server} {self.by}"


class ObservationGossip:
    """Owns the stored observations and the queue of those to send. Only changes are gossiped: a server
    drains, was removed, came back or has started. Observers send their own; every member forwards them."""

    def __init__(self, me: str, times: int) -> None:
        self.knowledge = Knowledge(me)
        self._dissemination: DisseminationQueue[ObservationKey] = DisseminationQueue(times)

    def __len__(self) -> int:
        """The number of observations still to be sent."""
        return len(self._dissemination)

    def observe(self, now: datetime, observation: Observation) -> None:
        """Store and gossip an observation that this member just made."""
        self.knowledge.observe(now, observation)
        self._dissemination.put(ObservationKey(observation.server, observation.by))

    def receive(
        self, now: datetime, observations: Iterable[Observation], pass_on: bool = True
    ) -> tuple[Observation, ...]:
        """Merge received observations; returns the new ones, which are also forwarded with ``pass_on``."""
        fresh = tuple(observation for observation in observations if self.knowledge.merge(now, observation))
        if pass_on:
            for observation in fresh:
                self._dissemination.put(ObservationKey(observation.server, observation.by))
        return fresh

    def next_observations(self, now: datetime) -> tuple[list[ObservationKey], list[Observation]]:
        """The next observations to send, at most a datagram full; ones that have expired are dropped."""
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
        """Count one more transmission of these."""
        self._dissemination.sent(keys, members)

    def all_observations(self, now: datetime) -> list[Observation]:
        """All observations that have not expired, for a newcomer; the latest first."""
        self.knowledge.forget(now)
        found = [stored for _, by_observer in self.knowledge for stored in by_observer]
        found.sort(key=lambda stored: stored.observed_at, reverse=True)
        return [stored.aged(now) for stored in found]

    def _lookup(self, key: ObservationKey) -> StoredObservation | None:
        return self.knowledge.get(key.server, key.by)
