"""One copy of one shard, as any member of its set has it: the owner, a holder, or who acts for the owner."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator

from reedmount.replicas.messages import Entry, Phase, ShardId, Term


class Table:
    """The greatest word of each call, and which calls may be forgotten once all know."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self._dropped: list[tuple[int, str]] = []  # a heap by the step that dropped it

    def merge(self, entries: Iterable[Entry]) -> None:
        """Of each call the greater word holds."""
        for entry in entries:
            known = self.entries.get(entry.key)
            if known is None or entry.rank > known.rank:
                self.entries[entry.key] = entry
                if entry.phase is Phase.DROPPED:
                    heapq.heappush(self._dropped, (entry.seq, entry.key))

    def prune(self, settled: int) -> list[str]:
        """Let go of those dropped up to there."""
        gone = []
        while self._dropped and self._dropped[0][0] <= settled:
            seq, key = heapq.heappop(self._dropped)
            entry = self.entries.get(key)
            if entry is not None and entry.seq == seq:
                del self.entries[key]
                gone.append(key)
        return gone


class Copy:
    """The latest word of each call, up to a number of the shard's steps.

    ``complete``: it has everything up to ``seq``. That is lost with a restart, whatever the disk brings back,
    and comes back with a snapshot alone. ``promised``: no word of a lower term is taken. ``kept``: up to here
    it is where it should be, on the disk or in memory.
    """

    def __init__(self, shard: ShardId, term: Term, complete: bool) -> None:
        self.shard, self.term, self.promised, self.complete = shard, term, term, complete
        self.seq = self.kept = 0
        self.touched = False  # its writer was heard since somebody looked
        self._table = Table()
        self._coming = Table()  # of a snapshot that has begun
        self._pages = 0
        self._of: tuple[Term, int] | None = None

    def __len__(self) -> int:
        """How many calls."""
        return len(self._table.entries)

    def __iter__(self) -> Iterator[Entry]:
        """The latest word of each call."""
        return iter(self._table.entries.values())

    def get(self, key: str) -> Entry | None:
        """Of one call."""
        return self._table.entries.get(key)

    def add(self, entry: Entry) -> None:
        """The next step."""
        self.seq = entry.seq
        self.merge((entry,))

    def merge(self, entries: Iterable[Entry]) -> None:
        """Words of the same calls from elsewhere: of each the greater one holds, in whatever order."""
        self._table.merge(entries)

    def prune(self, settled: int) -> list[str]:
        """Let go of what was dropped up to there. Not before every copy knows: one that has an older word
        would bring the call back."""
        return self._table.prune(settled)

    @property
    def unfinished(self) -> list[Entry]:
        """Calls whose record is not complete."""
        return [entry for entry in self if entry.phase < Phase.OVER]

    # --- a snapshot ---

    @property
    def pages(self) -> int:
        """How many of one that has begun are here."""
        return self._pages

    @property
    def upto(self) -> int:
        """Where that one ends; 0 where none has begun."""
        return self._of[1] if self._of is not None and self._pages else 0

    def page(self, number: int, term: Term, upto: int, entries: Iterable[Entry]) -> bool:
        """One more of it; False where it does not follow on what is here. The first one begins anew; what was
        here holds until all of it has come."""
        if number == 0:
            self._coming, self._pages, self._of = Table(), 0, (term, upto)
        if number != self._pages or self._of != (term, upto):
            return False
        self._coming.merge(entries)
        self._pages += 1
        return True

    def whole(self) -> list[str]:
        """That was its last page: it takes the place of what was here; which calls are not in it any more."""
        old, self._table = self._table.entries, self._coming
        self._coming, self._pages = Table(), 0
        if self._of is not None:
            (self.term, self.seq), self.complete = self._of, True
        return [key for key in old if key not in self._table.entries]
