"""The hard cases of membership, each with real processes: AssertionError, or figures for a table."""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path

from standins.faults import checks
from standins.faults.rig import Rig

Figures = dict[str, object]
Case = Callable[[Path, int], Figures]
CASES: dict[str, Case] = {}

# How long detection may take with 8 members: a probe in two rounds at the latest (7 s, were it the last of
# one and the first of the next), and a suspicion of 2.5 s where the first probes agree. Typical is 3 s.
KNOWN_S = 10.0
HEALED_S = 10.0
DEEDS = ("kill", "stop", "cut", "cut", "cut", "loss", "heal", "start", "start", "go_on", "go_on")
TOUCH_S = 6.0  # ten intervals, and one for the look at it
CALLS = 3.0  # a second at each member


def case(work: Case) -> Case:
    """Know it by its name."""
    CASES[work.__name__] = work
    return work


def _finish(rig: Rig, unfair: tuple[str, ...] = ()) -> Figures:
    """What holds at the end of every case."""
    last = datetime.now(UTC)
    rig.run(4.5)  # the longest that a caller waits
    assert not rig.wrong(), rig.wrong()
    assert not checks.incarnations_fall(rig.history)
    lost = checks.lost_calls(rig, last, unfair)
    assert not lost, lost[:5]
    calls = sum(len(callers.calls) for callers in rig.callers.values())
    return {"calls": calls, "untold": rig.untold, "datagrams": rig.net.counts["sent"]}


def _one_view(rig: Rig, within_s: float) -> float:
    """All that run agree; how long it took."""
    since = rig.history.now_s
    assert rig.until(rig.agreed, within_s), f"no one view within {within_s} s: {rig.views} {rig.standing}"
    took = rig.history.now_s - since
    for by in rig.up():
        there = [name for name in rig.views[by] if rig.state(by, name) == "alive"]
        assert sorted([*there, by]) == sorted(rig.up()), "a member is missing, or counted twice"
    return round(took, 2)


@case
def stopped(folder: Path, seed: int) -> Figures:
    """One of eight gets SIGSTOP for 3 s, then goes on: no flap storm, it refutes and accuses nobody."""
    with Rig(folder, 8, seed, call_rate=CALLS) as rig:
        rig.started()
        rig.call(16)
        rig.run(2)
        since = rig.history.now_s
        rig.stop("n3")
        rig.run(3)
        rig.go_on("n3")
        took = _one_view(rig, HEALED_S)
        rig.run(8)
        assert not checks.died(rig.history, since, ("n3",)), checks.died(rig.history, since, ("n3",))
        assert checks.restless(rig.history, since) <= 4, "a flap storm"
        others = [name for name in rig.names if name != "n3"]
        assert checks.stood(rig.history, others, since, rig.history.now_s) == {"majority"}
        changes = checks.restless(rig.history, since)
        return {"one view after, s": took, "changes in a view": changes} | _finish(rig, ("n3",))


@case
def partition(folder: Path, seed: int) -> Figures:
    """Five and three are cut apart for 20 s: the three know that they are few, and all are one view after."""
    with Rig(folder, 8, seed, call_rate=CALLS) as rig:
        rig.started()
        rig.call(30)
        many, few = rig.names[:5], rig.names[5:]
        lives = {about: rig.views["n0"][about]["life"] for about in rig.views["n0"]}
        since = rig.history.now_s
        rig.cut(many, few)
        found = rig.until(lambda: all(rig.standing[name] == "minority" for name in few), KNOWN_S)
        assert found, f"{rig.standing} after {KNOWN_S} s"
        known = rig.history.now_s - since
        rig.run(20 - known)
        unsure = [
            line["t"] - since for line in rig.history.since(since, "standing")
            if line["by"] in few and line["old"] == "majority"
        ]  # fmt: skip
        assert len(unsure) == len(few) and max(unsure) < TOUCH_S, f"sure of themselves for {unsure}"
        few_were = checks.stood(rig.history, few, since + known + 0.1, rig.history.now_s)
        assert few_were == {"minority"}, f"the few changed their mind while they were cut off: {few_were}"
        assert {rig.standing[name] for name in many} == {"majority"}
        assert "minority" not in checks.stood(rig.history, many, since, rig.history.now_s)
        rig.heal()
        took = _one_view(rig, HEALED_S)
        assert rig.until(lambda: set(rig.standing.values()) == {"majority"}, 2)
        assert {a: rig.views["n0"][a]["life"] for a in rig.views["n0"]} == lives, "somebody is another now"
        return {
            "unsure after, s": checks.spread_of(unsure), "minority after, s": round(known, 2),
            "one view after, s": took,
        } | _finish(rig)  # fmt: skip


@case
def one_way(folder: Path, seed: int) -> Figures:
    """n0 is not heard by n1, later by nobody, and hears all."""
    with Rig(folder, 8, seed) as rig:
        rig.started()
        since = rig.history.now_s
        rig.cut(["n0"], ["n1"], both=False)
        rig.run(12)
        assert not checks.died(rig.history, since), checks.died(rig.history, since)
        alone = checks.suspected(rig.history, since)
        rig.heal()
        others = rig.names[1:]
        since = rig.history.now_s
        rig.cut(["n0"], others, both=False)
        assert rig.until(lambda: all(rig.state(name, "n0") == "dead" for name in others), 2 * KNOWN_S)
        gone = rig.history.now_s - since
        assert not checks.died(rig.history, since, ("n0", *others)) and not [
            line for line in rig.history.states(since, "dead")
            if line["by"] != "n0" and line["about"] != "n0"
        ], "those that hear each other called one of themselves dead"  # fmt: skip
        assert rig.until(lambda: rig.standing["n0"] in ("minority", "unsure"), 2 * KNOWN_S)
        rig.heal()
        return {
            "suspicions by the one way, 12 s": alone,
            "unheard by all, dead after, s": round(gone, 2),
            "one view after, s": _one_view(rig, HEALED_S),
        } | _finish(rig)


@case
def loss(folder: Path, seed: int) -> Figures:
    """Three in ten datagrams are lost on every link, one in ten comes twice, all out of order."""
    with Rig(folder, 8, seed, call_rate=CALLS) as rig:
        rig.started()
        rig.call(40)
        since = rig.history.now_s
        rig.net.every(loss=0.3, twice=0.1, delay_s=0.004, jitter_s=0.03)
        rig.run(40)
        assert not checks.died(rig.history, since), checks.died(rig.history, since)
        suspicions = checks.suspected(rig.history, since)
        at = rig.history.now_s
        rig.kill("n3")
        others = [name for name in rig.names if name != "n3"]
        assert rig.until(lambda: all(rig.state(name, "n3") == "dead" for name in others), 60)
        found = checks.found_dead(rig.history, "n3", at, others)
        return {"suspicions in 40 s": suspicions, "death known, s": checks.spread_of(found)} | _finish(
            rig, ("n3",)
        )


@case
def half(folder: Path, seed: int) -> Figures:
    """Four of eight are killed at once and start again within a second, with the roster and nothing else."""
    with Rig(folder, 8, seed, call_rate=CALLS) as rig:
        rig.started()
        rig.call(14)
        rig.run(2)
        since = rig.history.now_s
        rig.kill(*rig.names[:4])
        rig.run(0.3)
        rig.start(rig.names[:4])
        took = _one_view(rig, HEALED_S)
        assert rig.until(lambda: set(rig.standing.values()) == {"majority"}, HEALED_S)
        rig.run(8)
        assert rig.agreed() and not checks.died(rig.history, since, rig.names[:4])
        return {"one view after, s": took} | _finish(rig, tuple(rig.names[:4]))


@case
def twice(folder: Path, seed: int) -> Figures:
    """One member is killed and started twice within the time of one suspicion."""
    with Rig(folder, 8, seed) as rig:
        rig.started()
        since = rig.history.now_s
        for _ in range(2):
            rig.kill("n3")
            rig.run(0.8)
            rig.start(["n3"])
            rig.run(0.2)
        took = _one_view(rig, HEALED_S)
        rig.run(8)
        assert rig.agreed() and not checks.died(rig.history, since, ("n3",))
        lives = {str(rig.views[name]["n3"]["life"]) for name in rig.names if name != "n3"}
        assert len(lives) == 1, "not all mean the same process"
        return {"one view after, s": took} | _finish(rig)


@case
def clocks(folder: Path, seed: int) -> Figures:
    """Clocks are up to 30 s apart; nothing is seen of it."""
    with Rig(folder, 8, seed, call_rate=CALLS) as rig:
        skews = {name: (-30.0, 0.0, 30.0)[number % 3] for number, name in enumerate(rig.names)}
        rig.start(skew_s=lambda name: skews[name])
        assert rig.until(rig.agreed, 20)
        rig.call(12)
        rig.run(6)
        assert not list(rig.history.states(0.0, "suspect"))
        at = rig.history.now_s
        rig.kill("n2")
        others = [name for name in rig.names if name != "n2"]
        assert rig.until(lambda: all(rig.state(name, "n2") == "dead" for name in others), KNOWN_S)
        found = checks.found_dead(rig.history, "n2", at, others)
        assert not checks.died(rig.history, 0.0, ("n2",))
        return {"death known, s": checks.spread_of(found)} | _finish(rig, ("n2",))


@case
def retired(folder: Path, seed: int) -> Figures:
    """A member leaves; its datagrams come again a minute later, and bring nobody back."""
    with Rig(folder, 8, seed) as rig:
        rig.started()
        rig.net.tapped = True
        rig.run(3)
        rig.net.tapped = False
        late = [(to, data) for sender, to, data in rig.net.taps if sender == "n7"]
        others = rig.names[:7]
        at = rig.history.now_s
        rig.terminate("n7")
        assert rig.until(lambda: all(rig.state(name, "n7") == "left" for name in others), 3)
        left = rig.history.now_s - at
        rig.run(60)
        assert not rig.processes["n7"].running, "it has not ended"
        since = rig.history.now_s
        for to, data in late:
            rig.net.inject("n7", to, data)
        rig.run(5)
        assert late and not list(rig.history.states(since)), "a late datagram changed a view"
        assert not checks.died(rig.history, 0.0)
        return {"leave known after, s": round(left, 2), "late datagrams": len(late)} | _finish(rig)


@case
def stalled_link(folder: Path, seed: int) -> Figures:
    """A link holds all back for 6 s and then gives it at once, one way."""
    with Rig(folder, 8, seed) as rig:
        rig.started()
        since = rig.history.now_s
        rig.net.stall("n0", "n1")
        rig.run(6)
        rig.heal()
        took = _one_view(rig, HEALED_S)
        rig.run(5)
        assert not checks.died(rig.history, since), checks.died(rig.history, since)
        assert checks.restless(rig.history, since) <= 4
        return {"one view after, s": took} | _finish(rig)


@case
def storm(folder: Path, seed: int) -> Figures:
    """50 s of kills, restarts, stops, cuts and loss as the seed has them; then one view, whatever came.

    While it goes on, no member that is cut off from a majority for longer than it takes to be out of touch
    says that it has one.
    """
    with Rig(folder, 8, seed) as rig:
        rig.started()
        end, wrong, looks = rig.history.now_s + 50, [], 0
        cut_since: dict[str, float] = {}  # and running, without a stop
        while rig.history.now_s < end:
            deed = rig.rng.choice(DEEDS)
            name = rig.rng.choice(rig.names)
            one = rig.processes[name]
            if deed == "kill" and one.running:
                rig.kill(name)
            elif deed == "start" and not one.running:
                rig.start([name])
            elif deed == "stop" and name in rig.up():
                rig.stop(name)
            elif deed == "go_on" and one.stopped:
                rig.go_on(name)
                if name in cut_since:
                    cut_since[name] = rig.history.now_s
            elif deed == "cut":
                few = rig.rng.sample(rig.names, rig.rng.randint(1, 3))
                rig.cut(few, [other for other in rig.names if other not in few])
                cut_since |= {one: rig.history.now_s for one in few if one not in cut_since}
            elif deed == "heal":
                rig.heal()
                cut_since.clear()
            elif deed == "loss":
                rig.net.every(loss=rig.rng.choice([0.0, 0.1, 0.3]), jitter_s=0.02)
            rig.run(rig.rng.uniform(0.2, 2.5))
            long = [name for name, since in cut_since.items() if rig.history.now_s - since > TOUCH_S]
            looks += len([name for name in long if name in rig.up()])
            wrong += [name for name in long if name in rig.up() and rig.standing.get(name) == "majority"]
        assert not wrong, f"cut off and sure of itself: {wrong}"
        rig.heal()
        rig.net.every(loss=0.0, jitter_s=0.0)
        for name, one in rig.processes.items():
            if one.stopped:
                rig.go_on(name)
            if not one.running:
                rig.start([name])
        took = _one_view(rig, 60)
        changes = checks.restless(rig.history, 0.0)
        return {"one view after, s": took, "changes in a view": changes, "looked at": looks} | _finish(rig)


@case
def shares(folder: Path, seed: int) -> Figures:
    """Two of eight die: the others share the call servers among seven at the least, and among eight again."""
    with Rig(folder, 8, seed) as rig:
        rig.started()
        rig.kill("n6", "n7")
        assert rig.until(rig.agreed, 2 * KNOWN_S)
        rig.run(0.5)
        after = rig.shared("n0")
        rig.start(["n6", "n7"])
        assert rig.until(rig.agreed, 2 * KNOWN_S)
        rig.run(0.5)
        again = rig.shared("n0")
        assert (after, again) == (7, 8), f"shared among {after}, then {again}"
        return {"among, two dead": after, "among, all back": again} | _finish(rig)


def taken_out(folder: Path, seed: int, more: str = "") -> tuple[Figures, list[float]]:
    """A call server is taken out of the members' files one after the other, a second apart: when it was sent
    calls after the first one, as it saw it itself."""
    with Rig(folder, 8, seed, servers=4, call_rate=6.0, more=more) as rig:
        rig.started()
        rig.call(12)
        rig.run(3)
        server = rig.servers[0]
        assert len(server.invites) > 20, "it is one of four"
        at = datetime.now(UTC)
        for name in rig.names:
            rig.leave_out(name, server)
            rig.run(1)
        sent = [(came - at).total_seconds() for came in server.invites if came > at]
        rig.run(2)
        return _finish(rig), sent


@case
def hearsay(folder: Path, seed: int) -> Figures:
    """A call server is taken out at one member first: the others send it nothing half a second later."""
    figures, sent = taken_out(folder, seed)
    late = [after for after in sent if after > 0.5]
    assert not late, f"{len(late)} calls to a server that another had seen leave, the last after {late[-1]} s"
    return {"calls after it was taken out at one": len(sent), "the last, s": max(sent, default=0.0)} | figures


@case
def by_name(folder: Path, seed: int) -> Figures:
    """Members that know an SRV name alone: its server is dead while all start, comes up, and dies again."""
    with Rig(folder, 8, seed, by_name=True) as rig:
        names = rig.names_at
        assert names is not None
        names.kill()
        rig.start()
        assert not rig.until(lambda: any(rig.views.values()), 6), "somebody was met without a way in"
        at = rig.history.now_s
        names.revive()
        assert rig.until(rig.agreed, 20), f"no group {rig.history.now_s - at} s after the name server came up"
        met = rig.history.now_s - at
        assert rig.until(lambda: set(rig.standing.values()) == {"majority"}, HEALED_S)
        names.kill()
        rig.kill("n3")
        rig.run(0.5)
        rig.start(["n3"])
        again = _one_view(rig, HEALED_S)
        rig.run(5)
        assert rig.agreed(), "a name that cannot be learnt changed something"
        return {"met after, s": round(met, 2), "one view after a restart without it, s": again} | _finish(rig)


COPIES = """
[replicas]
faults = 1
folder = "store-NAME"
"""


@case
def owner_killed(folder: Path, seed: int) -> Figures:
    """A border controller with standing calls gets SIGKILL: survivors release both sides within 8 s."""
    with Rig(folder, 5, seed, servers=4, call_rate=4.0, more=COPIES, hold_s=60.0) as rig:
        rig.started()
        rig.run(2)
        rig.call(8)
        rig.run(9)
        stood = rig.standing_at("n2")
        others = {name: rig.standing_at(name) for name in rig.names if name != "n2"}
        assert min(stood) > 10, "nothing to release"
        at = rig.history.now_s
        rig.kill("n2")
        released = rig.until(lambda: rig.standing_at("n2") == (0, 0), 8)
        took = rig.history.now_s - at
        assert released, f"of {stood} {rig.standing_at('n2')} stand after 8 s"
        now = {name: rig.standing_at(name) for name in others}
        assert now == others, f"calls of others were touched: {others}, {now}"
        rig.start(["n2"])
        one = _one_view(rig, HEALED_S)
        found: Figures = {"released": stood, "after, s": round(took, 2), "one view after, s": one}
        return found | _finish(rig, ("n2",))


@case
def owner_cut_off(folder: Path, seed: int) -> Figures:
    """A border controller is cut off from the others, not from callers and call servers: others release what
    it had promised. It serves on, and what nobody else ever heard of stands on when it is back."""
    with Rig(folder, 5, seed, servers=4, call_rate=4.0, more=COPIES, hold_s=60.0) as rig:
        rig.started()
        rig.run(2)
        rig.call(30)
        rig.run(6)
        calls = rig.callers["n2"].calls
        promised = {name for name, call in calls.items() if call.final == 200}
        at = rig.history.now_s
        rig.cut(["n2"], [name for name in rig.names if name != "n2"])
        assert rig.until(lambda: all(calls[name].released for name in promised), 10), "promised, not released"
        took = rig.history.now_s - at
        before = set(calls)
        rig.run(4)
        alone = {name for name, call in calls.items() if name not in before and call.final == 200}
        assert len(alone) > 5, "it serves on while it is cut off"
        rig.heal()
        one = _one_view(rig, HEALED_S)
        rig.run(4)
        ended = [name for name in alone if calls[name].released]
        assert not ended, f"{len(ended)} of {len(alone)} calls of which nobody knew were released"
        found: Figures = {"released": len(promised), "after, s": round(took, 2), "one view after, s": one}
        return found | {"served alone": len(alone)} | _finish(rig)


LYING = """
[replicas.disk_faults]
seed = 3
lying_sync = 0.3
torn_write = 0.5
turned_bits = 2
"""


def killed_again_and_again(folder: Path, seed: int, kills: int) -> Figures:
    """Kills one after the other while calls come, before disks that lie and turn bits: no promised call is
    left standing, and each call has one record."""
    with Rig(folder, 5, seed, servers=4, call_rate=6.0, more=COPIES + LYING, hold_s=4.0) as rig:
        rig.started()
        rig.run(2)
        spans, released = [], 0
        for _ in range(kills):
            rig.call(3)
            rig.run(3)
            name = rig.rng.choice(rig.names)
            calls = rig.callers[name].calls
            stood = {key for key, call in calls.items() if call.final == 200 and not call.released}
            rig.kill(name)
            at = rig.history.now_s
            gone = rig.until(lambda: rig.standing_at(name)[1] == 0, 8)  # noqa: B023
            assert gone, f"{rig.standing_at(name)} of {len(stood)} stand 8 s after the death of {name}"
            spans.append(rig.history.now_s - at)
            released += len(stood)
            rig.start([name])
            assert rig.until(rig.agreed, 10), "not one view again"
            rig.run(1)
        last = datetime.now(UTC)
        rig.run(6)
        wrong = checks.records_wrong(rig, last)
        assert not wrong, f"{len(wrong)} calls without their one record: {wrong[:5]}"
        placed = sum(len(callers.calls) for callers in rig.callers.values())
        return {
            "kills": kills, "stood": released, "calls": placed, "released after, s": checks.spread_of(spans),
            "untold": rig.untold, "datagrams": rig.net.counts["sent"],
        }  # fmt: skip


@case
def lying_disks(folder: Path, seed: int) -> Figures:
    """Four kills before disks that lie: nothing promised is lost, and each call has one record."""
    return killed_again_and_again(folder, seed, 4)
