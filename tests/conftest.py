"""Known failures: only the tests listed in ``KNOWN-RED.txt`` may fail, at most three, and each is printed.

A line reads ``TEST | CAUSE | ISSUE``. A listed test that passes is an error, and so is one that is missing.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MAX_KNOWN = 3


@dataclass(frozen=True)
class KnownFailure:
    """A test that fails because of a fault that is not fixed yet."""

    test: str
    cause: str
    issue: str


def read_known(text: str) -> list[KnownFailure]:
    found = []
    for line in text.splitlines():
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"KNOWN-RED.txt: not TEST | CAUSE | ISSUE: {line}")
        found.append(KnownFailure(*parts))
    if len(found) > MAX_KNOWN:
        raise pytest.UsageError(f"KNOWN-RED.txt: more than {MAX_KNOWN} lines")
    return found


def known_failures() -> list[KnownFailure]:
    return read_known(KNOWN_RED.read_text(encoding="utf-8")) if KNOWN_RED.exists() else []


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = {failure.test: failure for failure in known_failures()}
    collected = {item.nodeid for item in items}
    files = {name.partition("::")[0] for name in collected}
    for name in known:
        if name not in collected and name.partition("::")[0] in files and "::" not in "".join(config.args):
            raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {name}")
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(strict=True, reason=known[item.nodeid].cause))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for failure in known_failures():
        terminalreporter.write_line(f"KNOWN RED: {failure.test}: {failure.cause} ({failure.issue})")
