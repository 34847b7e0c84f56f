"""Checks on a run: the history that members reported, and what callers and call servers observed."""

from __future__ import annotations

import statistics
from collections import defaultdict
from collections.abc import Collection, Iterable
from datetime import datetime

from standins.faults.history import History
from standins.faults.rig import Rig


def reported_dead(history: History, since: float, excluded: Collection[str] = ()) -> list[str]:
    """Describe each report of a member as dead, except for the members in ``excluded``."""
    return sorted({
        f"{line['about']} by {line['by']} at {line['t']}" for line in history.state_changes(since, "dead")
        if line["about"] not in excluded
    })  # fmt: skip


def suspicion_count(history: History, since: float, excluded: Collection[str] = ()) -> int:
    """Count suspicions of members that are not in ``excluded``; one that is disseminated counts once."""
    return len({
        (line["about"], line["new"]["incarnation"], line["new"]["life"])
        for line in history.state_changes(since, "suspect")
        if line["about"] not in excluded
    })  # fmt: skip


def detection_times(history: History, member: str, since: float, observers: Collection[str]) -> list[float]:
    """Return the seconds that each of ``observers`` took to declare ``member`` dead, sorted."""
    first_seen: dict[str, float] = {}
    for line in history.state_changes(since, "dead"):
        if line["about"] == member and line["by"] in observers:
            first_seen.setdefault(line["by"], line["t"] - since)
    return sorted(first_seen.values())


def max_state_changes(history: History, since: float) -> int:
    """Return the largest number of state changes of one member in one view, which indicates flapping."""
    counts: dict[tuple[str, str], int] = defaultdict(int)
    for line in history.state_changes(since):
        counts[line["by"], line["about"]] += 1
    return max(counts.values(), default=0)


def decreased_incarnations(history: History) -> list[str]:
    """List views in which the incarnation of a member decreased within one run of the observing process."""
    highest: dict[tuple[str, int, str], int] = {}
    found = []
    for line in history.entries_since(0, "member"):
        if line["new"] is None:
            continue
        key, now = (line["by"], line["life"], line["about"]), line["new"]["incarnation"]
        if now < highest.get(key, 0):
            found.append(f"{line['about']} at {line['by']}: {highest[key]} to {now}")
        highest[key] = now
    return found


def observed_quorum_states(history: History, names: Collection[str], since: float, until: float) -> set[str]:
    """Return the quorum states of these members within a time span, including the state at its start."""
    at_start: dict[str, str] = {}
    within: set[str] = set()
    for line in history.entries_since(0, "standing"):
        if line["by"] not in names or line["t"] > until:
            continue
        if line["t"] < since:
            at_start[line["by"]] = line["new"]
        else:
            within.add(line["new"])
    return within | set(at_start.values())


def calls_without_one_final(rig: Rig, before: datetime, excluded: Iterable[str] = ()) -> list[str]:
    """List calls begun before an instant, at members that ran throughout, for which the caller received no
    final response or several different ones."""
    skipped = set(excluded)
    return [
        f"{name}: {call.name}: {call.finals}" for name, callers in rig.callers.items() if name not in skipped
        for call in callers.calls.values() if call.started_at < before and len(set(call.finals)) != 1
    ]  # fmt: skip


def median_and_max(durations: Iterable[float]) -> dict[str, float]:
    """Return the median and the maximum of the given times."""
    found = sorted(durations)
    if not found:
        return {}
    return {"median": round(statistics.median(found), 2), "most": round(found[-1], 2)}


def record_errors(rig: Rig, before: datetime) -> list[str]:
    """List calls that were finally answered before an instant and do not have exactly one complete record,
    and records of calls that no caller placed."""
    counts: dict[str, list[str]] = defaultdict(list)
    for name in rig.running_members():
        for record in rig.records(name):
            counts[str(record["reference"])].append(name)
    placed = {call.name: call for callers in rig.callers.values() for call in callers.calls.values()}
    wrong = [f"{ref}: no caller placed it" for ref in counts if ref not in placed]
    for ref, call in placed.items():
        ended = call.final is not None and (call.final >= 300 or call.released)
        if ended and call.answered_at is not None and call.answered_at < before and len(counts[ref]) != 1:
            wrong.append(f"{ref}: {call.final}, records at {counts[ref]}")
    return wrong
