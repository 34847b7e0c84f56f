"""One source: what it has said of each server, part by part, and how long that holds."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta

from reedmount.pool.claims import LEAVING, Claim, ClaimState, Endpoint


@dataclass(slots=True)
class Part:
    """What is whole by itself: one SRV name, or all of a list."""

    first_at: datetime | None = None  # its first good answer
    heard_at: datetime | None = None  # the last one
    fresh_until: datetime | None = None  # None: until the next word
    kept_until: datetime | None = None
    words: int = 0  # answers and news so far: what is newer holds
    answer: int = 0  # which of them was the last complete one
    failures: int = 0  # since that answer
    failure: str = ""

    def age(self, now: datetime) -> ClaimState:
        """What a naming of this part is worth now."""
        if self.fresh_until is None or now < self.fresh_until:
            return ClaimState.SERVING
        if self.kept_until is None or now < self.kept_until:
            return ClaimState.STALE
        return ClaimState.EXPIRED

    @property
    def lapses(self) -> tuple[datetime, ...]:
        """When its namings lose in worth."""
        return tuple(instant for instant in (self.fresh_until, self.kept_until) if instant is not None)


@dataclass(slots=True)
class Saying:
    """The last that one part said of one server."""

    claim: Claim
    said_at: datetime
    word: int  # of the part's words


@dataclass(slots=True)
class Source:
    """A source by its name. Its sayings are emptied by the pool once no source names the server any more."""

    name: str
    parts: dict[str, Part] = field(default_factory=dict)
    sayings: dict[Endpoint, dict[str, Saying]] = field(default_factory=dict)

    def part(self, name: str) -> Part:
        """A part, new where it has not been heard of."""
        return self.parts.setdefault(name, Part())

    def heard(self, now: datetime, name: str, fresh_for: timedelta | None, keep_for: timedelta | None) -> int:
        """A good answer came; ``fresh_for`` is its lifetime, ``keep_for`` the bound beyond that.

        Returns which word of the part it is.
        """
        part = self.part(name)
        part.words += 1
        part.first_at = part.first_at or now
        part.heard_at, part.failures, part.failure = now, 0, ""
        part.fresh_until = None if fresh_for is None else now + fresh_for
        part.kept_until = None
        if part.fresh_until is not None and keep_for is not None:
            part.kept_until = part.fresh_until + keep_for
        return part.words

    def failed(self, name: str, why: str) -> None:
        """No good answer: that says nothing of any server, and is remembered for the staff."""
        part = self.part(name)
        part.failures += 1
        part.failure = why

    def left_out(self, name: str, named: Iterable[Endpoint]) -> list[Endpoint]:
        """The servers this part held as there, that a complete answer has not named."""
        there = set(named)
        return [
            place
            for place, by_part in self.sayings.items()
            if place not in there and name in by_part and by_part[name].claim.state is not ClaimState.GONE
        ]

    def say(self, now: datetime, name: str, claim: Claim, word: int) -> None:
        """Take one claim, unless a newer word of the part was taken while this one waited.

        Word that an older process is gone is none of the one that has its address now.
        """
        by_part = self.sayings.setdefault(claim.endpoint, {})
        held = by_part.get(name)
        if held is not None and held.word > word:
            return
        if held is not None and claim.state in LEAVING and claim.name != held.claim.name:
            return
        by_part[name] = Saying(claim, now, word)

    def leave_out(self, now: datetime, name: str, place: Endpoint, word: int) -> None:
        """A complete answer has not named it."""
        held = self.sayings.get(place, {}).get(name)
        if held is None or held.word > word:
            return
        gone = replace(held.claim, state=ClaimState.GONE, started=None)
        self.sayings[place][name] = Saying(gone, now, word)

    def word(self, now: datetime, place: Endpoint) -> ClaimState:
        """What it says of a server: draining before naming, and naming in any part before absence."""
        by_part = self.sayings.get(place)
        if not by_part:
            return ClaimState.UNNAMED
        found = {
            saying.claim.state if saying.claim.state in LEAVING else self.parts[name].age(now)
            for name, saying in by_part.items()
        }
        for word in (ClaimState.DRAINING, ClaimState.SERVING, ClaimState.STALE, ClaimState.EXPIRED):
            if word in found:
                return word
        return ClaimState.GONE

    def naming(self, place: Endpoint) -> Saying | None:
        """The saying that tells how the server is reached: of the part first heard of, not one of absence."""
        by_part = self.sayings.get(place) or {}
        for name in self.parts:
            saying = by_part.get(name)
            if saying is not None and saying.claim.state is not ClaimState.GONE:
                return saying
        return None

    def forget(self, place: Endpoint) -> None:
        """No source names it any more."""
        self.sayings.pop(place, None)
