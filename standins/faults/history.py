"""Event history as JSON lines: the actions of the rig and the events that each member reported, in order."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

Entry = dict[str, Any]


class History:
    """Entries that are stamped with the seconds since the start, by the clock of the rig."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")
        self.entries: list[Entry] = []

    @property
    def now_s(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._started_at

    def add(self, kind: str, **fields: Any) -> None:
        """Append an entry."""
        entry: Entry = {"t": round(self.now_s, 4), "kind": kind, **fields}
        self.entries.append(entry)
        self._file.write(json.dumps(entry) + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def entries_since(self, since_s: float, kind: str = "") -> Iterator[Entry]:
        """Return the entries from an instant on."""
        return (entry for entry in self.entries if entry["t"] >= since_s and kind in ("", entry["kind"]))

    def state_changes(self, since_s: float = 0.0, state: str = "") -> Iterator[Entry]:
        """Return the entries in which a member changed the state or boot id of another in its view."""
        for entry in self.entries_since(since_s, "member"):
            old, new = entry["old"], entry["new"]
            changed = (old and (old["state"], old["life"])) != (new and (new["state"], new["life"]))
            if changed and (not state or new and new["state"] == state):
                yield entry
