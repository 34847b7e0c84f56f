"""Fault cases with real processes; each returns figures for a table or raises AssertionError."""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path

from standins.faults import checks
from standins.faults.rig import Rig

Figures = dict[str, object]
Case = Callable[[Path, int], Figures]
CASES: dict[str, Case] = {}

# Bound on detection with 8 members: at most two probe rounds until a member is probed (7 s if it is the last
# of one round and the first of the next), and a suspicion of 2.5 s if the first probes agree. Typical: 3 s.
DETECTION_S = 10.0
CONVERGENCE_S = 10.0
ACTIONS = ("kill", "stop", "cut", "cut", "cut", "loss", "heal", "start", "start", "go_on", "go_on")
CONTACT_LOSS_S = 6.0  # loss of contact takes ten probe intervals, and one more to notice it
CALL_RATE = 3.0  # calls per second at each member


def case(work: Case) -> Case:
    """Register a case under its function name."""
    CASES[work.__name__] = work
    return work


def _final_checks(rig: Rig, excluded: tuple[str, ...] = ()) -> Figures:
    """Check what must hold at the end of every case, and return the common figures."""
    last = datetime.now(UTC)
    rig.run(4.5)  # the longest time that a caller waits
    assert not rig.violations(), rig.violations()
    assert not checks.decreased_incarnations(rig.history)
    lost = checks.calls_without_one_final(rig, last, excluded)
    assert not lost, lost[:5]
    calls = sum(len(callers.calls) for callers in rig.callers.values())
    return {"calls": calls, "untold": rig.lost_reports, "datagrams": rig.net.counts["sent"]}


def _convergence_time(rig: Rig, within_s: float) -> float:
    """Wait until the views of all running members agree; returns the seconds it took."""
    since = rig.history.now_s
    assert rig.until(rig.views_agree, within_s), (
        f"no one view within {within_s} s: {rig.views} {rig.quorum_states}"
    )
    duration_s = rig.history.now_s - since
    for by in rig.running_members():
        there = [name for name in rig.views[by] if rig.state(by, name) == "alive"]
        assert sorted([*there, by]) == sorted(rig.running_members()), (
            "a member is missing from a view or counted twice"
        )
    return round(duration_s, 2)


@case
def stopped(folder: Path, seed: int) -> Figures:
    """One of eight members is stopped for 3 s and resumed: it refutes, accuses nobody, and nothing flaps."""
    with Rig(folder, 8, seed, call_rate=CALL_RATE) as rig:
        rig.start_and_wait()
        rig.call(16)
        rig.run(2)
        since = rig.history.now_s
        rig.stop("n3")
        rig.run(3)
        rig.resume("n3")
        duration_s = _convergence_time(rig, CONVERGENCE_S)
        rig.run(8)
        assert not checks.reported_dead(rig.history, since, ("n3",)), checks.reported_dead(
            rig.history, since, ("n3",)
        )
        assert checks.max_state_changes(rig.history, since) <= 4, "members flap"
        others = [name for name in rig.names if name != "n3"]
        assert checks.observed_quorum_states(rig.history, others, since, rig.history.now_s) == {"majority"}
        changes = checks.max_state_changes(rig.history, since)
        return {"one view after, s": duration_s, "changes in a view": changes} | _final_checks(rig, ("n3",))


@case
def partition(folder: Path, seed: int) -> Figures:
    """Members are split five to three for 20 s: the three detect the loss of quorum, then views agree."""
    with Rig(folder, 8, seed, call_rate=CALL_RATE) as rig:
        rig.start_and_wait()
        rig.call(30)
        majority, minority = rig.names[:5], rig.names[5:]
        boot_ids = {about: rig.views["n0"][about]["life"] for about in rig.views["n0"]}
        since = rig.history.now_s
        rig.cut(majority, minority)
        found = rig.until(
            lambda: all(rig.quorum_states[name] == "minority" for name in minority), DETECTION_S
        )
        assert found, f"{rig.quorum_states} after {DETECTION_S} s"
        known = rig.history.now_s - since
        rig.run(20 - known)
        unsure = [
            line["t"] - since for line in rig.history.entries_since(since, "standing")
            if line["by"] in minority and line["old"] == "majority"
        ]  # fmt: skip
        assert len(unsure) == len(minority) and max(unsure) < CONTACT_LOSS_S, f"majority kept for {unsure} s"
        minority_states = checks.observed_quorum_states(
            rig.history, minority, since + known + 0.1, rig.history.now_s
        )
        assert minority_states == {"minority"}, (
            f"the minority changed its quorum state while it was cut off: {minority_states}"
        )
        assert {rig.quorum_states[name] for name in majority} == {"majority"}
        assert "minority" not in checks.observed_quorum_states(
            rig.history, majority, since, rig.history.now_s
        )
        rig.heal()
        duration_s = _convergence_time(rig, CONVERGENCE_S)
        assert rig.until(lambda: set(rig.quorum_states.values()) == {"majority"}, 2)
        assert {a: rig.views["n0"][a]["life"] for a in rig.views["n0"]} == boot_ids, "a boot id has changed"
        return {
            "unsure after, s": checks.median_and_max(unsure), "minority after, s": round(known, 2),
            "one view after, s": duration_s,
        } | _final_checks(rig)  # fmt: skip


@case
def one_way(folder: Path, seed: int) -> Figures:
    """Datagrams from n0 are lost to n1, later to all members, while n0 receives everything."""
    with Rig(folder, 8, seed) as rig:
        rig.start_and_wait()
        since = rig.history.now_s
        rig.cut(["n0"], ["n1"], both=False)
        rig.run(12)
        assert not checks.reported_dead(rig.history, since), checks.reported_dead(rig.history, since)
        alone = checks.suspicion_count(rig.history, since)
        rig.heal()
        others = rig.names[1:]
        since = rig.history.now_s
        rig.cut(["n0"], others, both=False)
        assert rig.until(lambda: all(rig.state(name, "n0") == "dead" for name in others), 2 * DETECTION_S)
        dead_after = rig.history.now_s - since
        assert not checks.reported_dead(rig.history, since, ("n0", *others)) and not [
            line for line in rig.history.state_changes(since, "dead")
            if line["by"] != "n0" and line["about"] != "n0"
        ], "members that reach each other declared one of themselves dead"  # fmt: skip
        assert rig.until(lambda: rig.quorum_states["n0"] in ("minority", "unsure"), 2 * DETECTION_S)
        rig.heal()
        return {
            "suspicions by the one way, 12 s": alone,
            "unheard by all, dead after, s": round(dead_after, 2),
            "one view after, s": _convergence_time(rig, CONVERGENCE_S),
        } | _final_checks(rig)


@case
def loss(folder: Path, seed: int) -> Figures:
    """All links lose 30 % of datagrams, duplicate 10 % and reorder them."""
    with Rig(folder, 8, seed, call_rate=CALL_RATE) as rig:
        rig.start_and_wait()
        rig.call(40)
        since = rig.history.now_s
        rig.net.set_links(loss=0.3, duplicate=0.1, delay_s=0.004, jitter_s=0.03)
        rig.run(40)
        assert not checks.reported_dead(rig.history, since), checks.reported_dead(rig.history, since)
        suspicions = checks.suspicion_count(rig.history, since)
        at = rig.history.now_s
        rig.kill("n3")
        others = [name for name in rig.names if name != "n3"]
        assert rig.until(lambda: all(rig.state(name, "n3") == "dead" for name in others), 60)
        found = checks.detection_times(rig.history, "n3", at, others)
        return {
            "suspicions in 40 s": suspicions,
            "death known, s": checks.median_and_max(found),
        } | _final_checks(rig, ("n3",))


@case
def half(folder: Path, seed: int) -> Figures:
    """Four of eight members are killed at once and restart within a second, knowing only the voter set."""
    with Rig(folder, 8, seed, call_rate=CALL_RATE) as rig:
        rig.start_and_wait()
        rig.call(14)
        rig.run(2)
        since = rig.history.now_s
        rig.kill(*rig.names[:4])
        rig.run(0.3)
        rig.start(rig.names[:4])
        duration_s = _convergence_time(rig, CONVERGENCE_S)
        assert rig.until(lambda: set(rig.quorum_states.values()) == {"majority"}, CONVERGENCE_S)
        rig.run(8)
        assert rig.views_agree() and not checks.reported_dead(rig.history, since, rig.names[:4])
        return {"one view after, s": duration_s} | _final_checks(rig, tuple(rig.names[:4]))


@case
def twice(folder: Path, seed: int) -> Figures:
    """A member is killed and restarted twice within one suspicion timeout."""
    with Rig(folder, 8, seed) as rig:
        rig.start_and_wait()
        since = rig.history.now_s
        for _ in range(2):
            rig.kill("n3")
            rig.run(0.8)
            rig.start(["n3"])
            rig.run(0.2)
        duration_s = _convergence_time(rig, CONVERGENCE_S)
        rig.run(8)
        assert rig.views_agree() and not checks.reported_dead(rig.history, since, ("n3",))
        boot_ids = {str(rig.views[name]["n3"]["life"]) for name in rig.names if name != "n3"}
        assert len(boot_ids) == 1, "views differ in the boot id of n3"
        return {"one view after, s": duration_s} | _final_checks(rig)


@case
def clocks(folder: Path, seed: int) -> Figures:
    """Wall clocks are skewed by up to 30 s either way, without any effect on membership."""
    with Rig(folder, 8, seed, call_rate=CALL_RATE) as rig:
        skews = {name: (-30.0, 0.0, 30.0)[number % 3] for number, name in enumerate(rig.names)}
        rig.start(skew_s=lambda name: skews[name])
        assert rig.until(rig.views_agree, 20)
        rig.call(12)
        rig.run(6)
        assert not list(rig.history.state_changes(0.0, "suspect"))
        at = rig.history.now_s
        rig.kill("n2")
        others = [name for name in rig.names if name != "n2"]
        assert rig.until(lambda: all(rig.state(name, "n2") == "dead" for name in others), DETECTION_S)
        found = checks.detection_times(rig.history, "n2", at, others)
        assert not checks.reported_dead(rig.history, 0.0, ("n2",))
        return {"death known, s": checks.median_and_max(found)} | _final_checks(rig, ("n2",))


@case
def retired(folder: Path, seed: int) -> Figures:
    """A member leaves; its datagrams are replayed a minute later and do not bring it back."""
    with Rig(folder, 8, seed) as rig:
        rig.start_and_wait()
        rig.net.capturing = True
        rig.run(3)
        rig.net.capturing = False
        late = [(to, data) for sender, to, data in rig.net.captured if sender == "n7"]
        others = rig.names[:7]
        at = rig.history.now_s
        rig.terminate("n7")
        assert rig.until(lambda: all(rig.state(name, "n7") == "left" for name in others), 3)
        left = rig.history.now_s - at
        rig.run(60)
        assert not rig.processes["n7"].running, "n7 has not ended within 60 s"
        since = rig.history.now_s
        for to, data in late:
            rig.net.inject("n7", to, data)
        rig.run(5)
        assert late and not list(rig.history.state_changes(since)), "a late datagram changed a view"
        assert not checks.reported_dead(rig.history, 0.0)
        return {"leave known after, s": round(left, 2), "late datagrams": len(late)} | _final_checks(rig)


@case
def stalled_link(folder: Path, seed: int) -> Figures:
    """One direction of a link queues everything for 6 s and then delivers it at once."""
    with Rig(folder, 8, seed) as rig:
        rig.start_and_wait()
        since = rig.history.now_s
        rig.net.stall("n0", "n1")
        rig.run(6)
        rig.heal()
        duration_s = _convergence_time(rig, CONVERGENCE_S)
        rig.run(5)
        assert not checks.reported_dead(rig.history, since), checks.reported_dead(rig.history, since)
        assert checks.max_state_changes(rig.history, since) <= 4
        return {"one view after, s": duration_s} | _final_checks(rig)


@case
def storm(folder: Path, seed: int) -> Figures:
    """50 s of random kills, restarts, stops, cuts and loss, after which all views agree.

    Meanwhile no member reports a majority once it has been cut off from one for longer than the detection of
    lost contact takes.
    """
    with Rig(folder, 8, seed) as rig:
        rig.start_and_wait()
        end, wrong, checked = rig.history.now_s + 50, [], 0
        cut_since: dict[str, float] = {}  # since when a member has been cut off, restarting at each resume
        while rig.history.now_s < end:
            action = rig.rng.choice(ACTIONS)
            name = rig.rng.choice(rig.names)
            one = rig.processes[name]
            if action == "kill" and one.running:
                rig.kill(name)
            elif action == "start" and not one.running:
                rig.start([name])
            elif action == "stop" and name in rig.running_members():
                rig.stop(name)
            elif action == "go_on" and one.stopped:
                rig.resume(name)
                if name in cut_since:
                    cut_since[name] = rig.history.now_s
            elif action == "cut":
                minority = rig.rng.sample(rig.names, rig.rng.randint(1, 3))
                rig.cut(minority, [other for other in rig.names if other not in minority])
                cut_since |= {one: rig.history.now_s for one in minority if one not in cut_since}
            elif action == "heal":
                rig.heal()
                cut_since.clear()
            elif action == "loss":
                rig.net.set_links(loss=rig.rng.choice([0.0, 0.1, 0.3]), jitter_s=0.02)
            rig.run(rig.rng.uniform(0.2, 2.5))
            long = [name for name, since in cut_since.items() if rig.history.now_s - since > CONTACT_LOSS_S]
            checked += len([name for name in long if name in rig.running_members()])
            wrong += [
                name
                for name in long
                if name in rig.running_members() and rig.quorum_states.get(name) == "majority"
            ]
        assert not wrong, f"cut off and reporting a majority: {wrong}"
        rig.heal()
        rig.net.set_links(loss=0.0, jitter_s=0.0)
        for name, one in rig.processes.items():
            if one.stopped:
                rig.resume(name)
            if not one.running:
                rig.start([name])
        duration_s = _convergence_time(rig, 60)
        changes = checks.max_state_changes(rig.history, 0.0)
        return {
            "one view after, s": duration_s,
            "changes in a view": changes,
            "looked at": checked,
        } | _final_checks(rig)


@case
def shares(folder: Path, seed: int) -> Figures:
    """Two of eight are killed: the servers are shared among seven (the floor), then among eight."""
    with Rig(folder, 8, seed) as rig:
        rig.start_and_wait()
        rig.kill("n6", "n7")
        assert rig.until(rig.views_agree, 2 * DETECTION_S)
        rig.run(0.5)
        after = rig.sharing_count("n0")
        rig.start(["n6", "n7"])
        assert rig.until(rig.views_agree, 2 * DETECTION_S)
        rig.run(0.5)
        again = rig.sharing_count("n0")
        assert (after, again) == (7, 8), f"shared among {after}, then {again}"
        return {"among, two dead": after, "among, all back": again} | _final_checks(rig)


def remove_server_everywhere(folder: Path, seed: int, more: str = "") -> tuple[Figures, list[float]]:
    """Remove a call server from the settings of one member after the other, a second apart. Returns when it
    still received calls, in seconds after the first removal."""
    with Rig(folder, 8, seed, servers=4, call_rate=6.0, more=more) as rig:
        rig.start_and_wait()
        rig.call(12)
        rig.run(3)
        server = rig.servers[0]
        assert len(server.invites) > 20, "the server received too few of the calls"
        at = datetime.now(UTC)
        for name in rig.names:
            rig.remove_servers(name, server)
            rig.run(1)
        sent = [(came - at).total_seconds() for came in server.invites if came > at]
        rig.run(2)
        return _final_checks(rig), sent


@case
def hearsay(folder: Path, seed: int) -> Figures:
    """A call server is removed at one member first: the others stop sending it calls within half a second."""
    figures, sent = remove_server_everywhere(folder, seed)
    late = [after for after in sent if after > 0.5]
    assert not late, (
        f"{len(late)} calls to a server that another member had removed, the last after {late[-1]} s"
    )
    return {"calls after it was taken out at one": len(sent), "the last, s": max(sent, default=0.0)} | figures


@case
def by_name(folder: Path, seed: int) -> Figures:
    """The only seeds are an SRV name: its name server is down while all start, comes up, and fails again."""
    with Rig(folder, 8, seed, by_name=True) as rig:
        names = rig.name_server
        assert names is not None
        names.kill()
        rig.start()
        assert not rig.until(lambda: any(rig.views.values()), 6), "members were discovered without a seed"
        at = rig.history.now_s
        names.revive()
        assert rig.until(rig.views_agree, 20), (
            f"no group {rig.history.now_s - at} s after the name server came up"
        )
        joined = rig.history.now_s - at
        assert rig.until(lambda: set(rig.quorum_states.values()) == {"majority"}, CONVERGENCE_S)
        names.kill()
        rig.kill("n3")
        rig.run(0.5)
        rig.start(["n3"])
        again = _convergence_time(rig, CONVERGENCE_S)
        rig.run(5)
        assert rig.views_agree(), "a failed name lookup changed the membership"
        return {
            "met after, s": round(joined, 2),
            "one view after a restart without it, s": again,
        } | _final_checks(rig)


REPLICA_SETTINGS = """
[replicas]
faults = 1
folder = "store-NAME"
"""


@case
def owner_killed(folder: Path, seed: int) -> Figures:
    """A border controller with established calls is killed: survivors release both sides within 8 s."""
    with Rig(folder, 5, seed, servers=4, call_rate=4.0, more=REPLICA_SETTINGS, hold_s=60.0) as rig:
        rig.start_and_wait()
        rig.run(2)
        rig.call(8)
        rig.run(9)
        established = rig.established_calls("n2")
        others = {name: rig.established_calls(name) for name in rig.names if name != "n2"}
        assert min(established) > 10, "too few calls established before the kill"
        at = rig.history.now_s
        rig.kill("n2")
        released = rig.until(lambda: rig.established_calls("n2") == (0, 0), 8)
        duration_s = rig.history.now_s - at
        assert released, f"of {established} {rig.established_calls('n2')} are still established after 8 s"
        now = {name: rig.established_calls(name) for name in others}
        assert now == others, f"calls of other members changed: {others}, {now}"
        rig.start(["n2"])
        one = _convergence_time(rig, CONVERGENCE_S)
        found: Figures = {"released": established, "after, s": round(duration_s, 2), "one view after, s": one}
        return found | _final_checks(rig, ("n2",))


@case
def owner_cut_off(folder: Path, seed: int) -> Figures:
    """A border controller is cut off from the other members, not from callers and call servers: the others
    release its replicated calls. It keeps serving, and calls never replicated survive its return."""
    with Rig(folder, 5, seed, servers=4, call_rate=4.0, more=REPLICA_SETTINGS, hold_s=60.0) as rig:
        rig.start_and_wait()
        rig.run(2)
        rig.call(30)
        rig.run(6)
        calls = rig.callers["n2"].calls
        replicated = {name for name, call in calls.items() if call.final == 200}
        at = rig.history.now_s
        rig.cut(["n2"], [name for name in rig.names if name != "n2"])
        assert rig.until(lambda: all(calls[name].released for name in replicated), 10), (
            "replicated calls were not released within 10 s"
        )
        duration_s = rig.history.now_s - at
        before = set(calls)
        rig.run(4)
        alone = {name for name, call in calls.items() if name not in before and call.final == 200}
        assert len(alone) > 5, "too few calls served while it was cut off"
        rig.heal()
        one = _convergence_time(rig, CONVERGENCE_S)
        rig.run(4)
        ended = [name for name in alone if calls[name].released]
        assert not ended, f"{len(ended)} of {len(alone)} unreplicated calls were released"
        found: Figures = {
            "released": len(replicated),
            "after, s": round(duration_s, 2),
            "one view after, s": one,
        }
        return found | {"served alone": len(alone)} | _final_checks(rig)


DISK_FAULT_SETTINGS = """
[replicas.disk_faults]
seed = 3
lying_sync = 0.3
torn_write = 0.5
turned_bits = 2
"""


def repeated_kills(folder: Path, seed: int, kills: int) -> Figures:
    """Repeated kills under load, on disks that report writes falsely and flip bits: each replicated call is
    released, and each call has one record."""
    with Rig(
        folder, 5, seed, servers=4, call_rate=6.0, more=REPLICA_SETTINGS + DISK_FAULT_SETTINGS, hold_s=4.0
    ) as rig:
        rig.start_and_wait()
        rig.run(2)
        durations, released = [], 0
        for _ in range(kills):
            rig.call(3)
            rig.run(3)
            name = rig.rng.choice(rig.names)
            calls = rig.callers[name].calls
            established = {key for key, call in calls.items() if call.final == 200 and not call.released}
            rig.kill(name)
            at = rig.history.now_s
            done = rig.until(lambda: rig.established_calls(name)[1] == 0, 8)  # noqa: B023
            assert done, (
                f"{rig.established_calls(name)} of {len(established)} are up 8 s after {name} was killed"
            )
            durations.append(rig.history.now_s - at)
            released += len(established)
            rig.start([name])
            assert rig.until(rig.views_agree, 10), "the views did not agree after the restart"
            rig.run(1)
        last = datetime.now(UTC)
        rig.run(6)
        wrong = checks.record_errors(rig, last)
        assert not wrong, f"{len(wrong)} calls that do not have exactly one record: {wrong[:5]}"
        placed = sum(len(callers.calls) for callers in rig.callers.values())
        return {
            "kills": kills, "stood": released, "calls": placed,
            "released after, s": checks.median_and_max(durations), "untold": rig.lost_reports,
            "datagrams": rig.net.counts["sent"],
        }  # fmt: skip


@case
def lying_disks(folder: Path, seed: int) -> Figures:
    """Four kills on disks that report writes falsely: no replicated call is lost, and each has one record."""
    return repeated_kills(folder, seed, 4)
