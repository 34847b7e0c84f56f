"""One replica of one shard, as the owner, a holder or the member that took over has it."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator

from reedmount.replicas.messages import Entry, Phase, ShardId, Term


class EntryTable:
    """The highest-ranked entry of each call, and the dropped calls that can be pruned once settled."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self._dropped_heap: list[tuple[int, str]] = []  # (step that dropped it, key)

    def merge(self, entries: Iterable[Entry]) -> None:
        """Merges entries: the higher-ranked entry of each call is retained."""
        for entry in entries:
            known = self.entries.get(entry.key)
            if known is None or entry.rank > known.rank:
                self.entries[entry.key] = entry
                if entry.phase is Phase.DROPPED:
                    heapq.heappush(self._dropped_heap, (entry.seq, entry.key))

    def prune(self, settled: int) -> list[str]:
        """Removes the calls dropped at or before step ``settled`` and returns their keys."""
        removed = []
        while self._dropped_heap and self._dropped_heap[0][0] <= settled:
            seq, key = heapq.heappop(self._dropped_heap)
            entry = self.entries.get(key)
            if entry is not None and entry.seq == seq:
                del self.entries[key]
                removed.append(key)
        return removed


class ShardReplica:
    """The latest entry of each call, up to a sequence number of the shard.

    ``complete``: it has every step up to ``seq``. A restart clears this, whatever is read from disk, and
    only a snapshot sets it again. ``promised``: entries of a lower term are rejected. ``persisted``: it is
    persisted, on disk or in memory, up to this step.
    """

    def __init__(self, shard: ShardId, term: Term, complete: bool) -> None:
        self.shard, self.term, self.promised, self.complete = shard, term, term, complete
        self.seq = self.persisted = 0
        self.writer_active = False  # whether its writer has sent anything since the last check
        self._table = EntryTable()
        self._incoming = EntryTable()  # the snapshot in progress
        self._pages_received = 0
        self._incoming_id: tuple[Term, int] | None = None

    def __len__(self) -> int:
        """The number of calls."""
        return len(self._table.entries)

    def __iter__(self) -> Iterator[Entry]:
        """Iterates over the latest entry of each call."""
        return iter(self._table.entries.values())

    def get(self, key: str) -> Entry | None:
        """The latest entry of a call."""
        return self._table.entries.get(key)

    def add(self, entry: Entry) -> None:
        """Appends the next step."""
        self.seq = entry.seq
        self.merge((entry,))

    def merge(self, entries: Iterable[Entry]) -> None:
        """Merges entries of another replica, in any order: the higher-ranked entry of each call is
        retained."""
        self._table.merge(entries)

    def prune(self, settled: int) -> list[str]:
        """Removes calls that were dropped at or before ``settled`` and returns their keys. Not earlier: a
        replica with an older entry would bring the call back."""
        return self._table.prune(settled)

    @property
    def unfinished(self) -> list[Entry]:
        """The entries of calls whose record is not complete."""
        return [entry for entry in self if entry.phase < Phase.COMPLETED]

    # --- a snapshot ---

    @property
    def pages_received(self) -> int:
        """The number of pages received of the snapshot in progress."""
        return self._pages_received

    @property
    def end_seq(self) -> int:
        """The last step of the snapshot in progress; 0 if there is none."""
        return self._incoming_id[1] if self._incoming_id is not None and self._pages_received else 0

    def add_page(self, number: int, term: Term, end_seq: int, entries: Iterable[Entry]) -> bool:
        """Adds a page of a snapshot; False if it does not follow on the pages received. The first page
        starts a new snapshot. The current entries stay in use until all pages have arrived."""
        if number == 0:
            self._incoming, self._pages_received, self._incoming_id = EntryTable(), 0, (term, end_seq)
        if number != self._pages_received or self._incoming_id != (term, end_seq):
            return False
        self._incoming.merge(entries)
        self._pages_received += 1
        return True

    def install_snapshot(self) -> list[str]:
        """Replaces the current entries by the received snapshot; returns the keys of calls it no longer
        has."""
        previous, self._table = self._table.entries, self._incoming
        self._incoming, self._pages_received = EntryTable(), 0
        if self._incoming_id is not None:
            (self.term, self.seq), self.complete = self._incoming_id, True
        return [key for key in previous if key not in self._table.entries]
