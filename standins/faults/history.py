"""What happened, in order: what the rig did, and what each member said that it saw. JSON lines."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

Line = dict[str, Any]


class History:
    """Lines with the time since the start in seconds, by one clock: the rig's."""

    def __init__(self, path: Path) -> None:
        self._began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")
        self.lines: list[Line] = []

    @property
    def now_s(self) -> float:
        """The time since the start."""
        return time.monotonic() - self._began

    def add(self, kind: str, **what: Any) -> None:
        """One line more."""
        line: Line = {"t": round(self.now_s, 4), "kind": kind, **what}
        self.lines.append(line)
        self._file.write(json.dumps(line) + "\n")

    def close(self) -> None:
        """No more comes."""
        self._file.close()

    def since(self, at_s: float, kind: str = "") -> Iterator[Line]:
        """The lines from an instant on."""
        return (line for line in self.lines if line["t"] >= at_s and kind in ("", line["kind"]))

    def states(self, at_s: float = 0.0, state: str = "") -> Iterator[Line]:
        """What members came to think of others: lines with a state that was another one before."""
        for line in self.since(at_s, "member"):
            old, new = line["old"], line["new"]
            changed = (old and (old["state"], old["life"])) != (new and (new["state"], new["life"]))
            if changed and (not state or new and new["state"] == state):
                yield line
