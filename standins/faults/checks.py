"""What must hold, read from outside: the history of the members, and what callers and call servers saw."""

from __future__ import annotations

import statistics
from collections import defaultdict
from collections.abc import Collection, Iterable
from datetime import datetime

from standins.faults.history import History
from standins.faults.rig import Rig


def died(history: History, since: float, but: Collection[str] = ()) -> list[str]:
    """Members that somebody called dead, who are none of these."""
    return sorted({
        f"{line['about']} by {line['by']} at {line['t']}" for line in history.states(since, "dead")
        if line["about"] not in but
    })  # fmt: skip


def suspected(history: History, since: float, but: Collection[str] = ()) -> int:
    """How many suspicions there were of members that are none of these; one that spreads counts once."""
    return len({
        (line["about"], line["new"]["incarnation"], line["new"]["life"])
        for line in history.states(since, "suspect")
        if line["about"] not in but
    })  # fmt: skip


def found_dead(history: History, who: str, since: float, by: Collection[str]) -> list[float]:
    """How long it took each of these to call a member dead."""
    first: dict[str, float] = {}
    for line in history.states(since, "dead"):
        if line["about"] == who and line["by"] in by:
            first.setdefault(line["by"], line["t"] - since)
    return sorted(first.values())


def restless(history: History, since: float) -> int:
    """The most changes of one member in one view: what a flap storm is known by."""
    counts: dict[tuple[str, str], int] = defaultdict(int)
    for line in history.states(since):
        counts[line["by"], line["about"]] += 1
    return max(counts.values(), default=0)


def incarnations_fall(history: History) -> list[str]:
    """Views in which the incarnation of a member fell, within one life of the viewer."""
    highest: dict[tuple[str, int, str], int] = {}
    found = []
    for line in history.since(0, "member"):
        if line["new"] is None:
            continue
        key, now = (line["by"], line["life"], line["about"]), line["new"]["incarnation"]
        if now < highest.get(key, 0):
            found.append(f"{line['about']} at {line['by']}: {highest[key]} to {now}")
        highest[key] = now
    return found


def stood(history: History, names: Collection[str], since: float, until: float) -> set[str]:
    """The standings that these had within a span, those at its start included."""
    at_start: dict[str, str] = {}
    within: set[str] = set()
    for line in history.since(0, "standing"):
        if line["by"] not in names or line["t"] > until:
            continue
        if line["t"] < since:
            at_start[line["by"]] = line["new"]
        else:
            within.add(line["new"])
    return within | set(at_start.values())


def lost_calls(rig: Rig, before: datetime, but: Iterable[str] = ()) -> list[str]:
    """Calls begun before an instant at members that ran all along, which gave no final answer or several, as
    their callers saw it."""
    unfair = set(but)
    return [
        f"{name}: {call.name}: {call.finals}" for name, callers in rig.callers.items() if name not in unfair
        for call in callers.calls.values() if call.started_at < before and len(set(call.finals)) != 1
    ]  # fmt: skip


def spread_of(spans: Iterable[float]) -> dict[str, float]:
    """Median and most, for a table."""
    found = sorted(spans)
    if not found:
        return {}
    return {"median": round(statistics.median(found), 2), "most": round(found[-1], 2)}


def records_wrong(rig: Rig, before: datetime) -> list[str]:
    """Calls that had their final answer before an instant and have not just one complete record, as their
    callers count them; and records of calls that no caller placed."""
    counts: dict[str, list[str]] = defaultdict(list)
    for name in rig.up():
        for record in rig.records(name):
            counts[str(record["reference"])].append(name)
    placed = {call.name: call for callers in rig.callers.values() for call in callers.calls.values()}
    wrong = [f"{ref}: nobody placed it" for ref in counts if ref not in placed]
    for ref, call in placed.items():
        over = call.final is not None and (call.final >= 300 or call.released)
        if over and call.answered_at is not None and call.answered_at < before and len(counts[ref]) != 1:
            wrong.append(f"{ref}: {call.final}, records at {counts[ref]}")
    return wrong
