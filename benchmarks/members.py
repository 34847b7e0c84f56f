"""Cost and speed of membership: the tables of docs/MEASURED-MEMBERSHIP.md.

    python -m benchmarks.members detection --members 256 --seconds 120 --kills 12
    python -m benchmarks.members load
    python -m benchmarks.members heal
    python -m benchmarks.members rejoin
    python -m benchmarks.members real --seconds 120 --kills 10
    python -m benchmarks.members chart docs/membership-detection.png FILE...

All but ``real`` run the state machines of the program in virtual time and are reproducible. ``real`` starts
processes and runs in real time. Each prints a table; ``--json FILE`` writes the input of ``chart``.
"""

from __future__ import annotations

import json
import statistics
import tempfile
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path

import click

from reedmount.members.record import State
from standins.faults import checks
from standins.faults.rig import Rig
from standins.fleet.fleet import Fleet
from standins.fleet.settings import Callers, days
from standins.gossip.net import Group, Link

LOSSES = (0.0, 0.1, 0.3)
DELAY_S = (0.0042, 0.024)  # one-way delay between zones of the platform
# In seconds of a day with a restart at 15 s.
SPANS = ((5, 15), (16, 18), (18, 20), (20, 23), (23, 26), (26, 32))
IDLE_S = 20.0  # until members that know each other have disseminated themselves
SETTLED_S = 40.0  # until dissemination ends after a simultaneous start


def quantile(values: list[float], share: float) -> float:
    """Return the value that the given share of values does not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")


def _group(members: int, seed: int, loss: float) -> Group:
    group = Group(members, seed, link=Link(loss=loss, delay_s=DELAY_S))
    group.start()
    group.run(SETTLED_S)
    group.history.clear()
    return group


def _suspicions(group: Group) -> tuple[int, int]:
    """Count suspicions, each once for the whole group, and members declared dead."""
    first = [seen for seen in group.history if seen.state is State.SUSPECT]
    spread: dict[str, float] = {}
    count = 0
    for seen in first:
        if seen.at_s - spread.get(seen.about, -1e9) > 1.0:
            count += 1
        spread[seen.about] = seen.at_s
    return count, len({(seen.about) for seen in group.history if seen.state is State.DEAD})


def detect(members: int, seed: int, loss: float, seconds: float, kills: int) -> dict[str, object]:
    """Count false alarms while idle, then time successive kills until the first and until all know."""
    group = _group(members, seed, loss)
    group.run(seconds)
    false, wrongly_dead = _suspicions(group)
    firsts, alls = [], []
    for number in range(kills):
        name, at = f"n{number}", group.now_s
        group.kill(name)
        group.history.clear()
        others = [node.name for node in group.running()]
        known: set[str] = set()

        def all_know(others: list[str] = others, name: str = name, known: set[str] = known) -> bool:
            known |= {other for other in others if group.state(other, name) is State.DEAD}
            return len(known) == len(others)

        while group.now_s < at + 120 and not all_know():
            group.run(0.1)
        deaths = [seen.at_s - at for seen in group.history if seen.about == name and seen.state is State.DEAD]
        firsts.append(min(deaths, default=120.0))
        alls.append(group.now_s - at)
    hours = members * seconds / 3600
    return {
        "members": members, "loss": loss, "first": firsts, "all": alls, "false": false,
        "hours": hours, "wrongly dead": wrongly_dead,
    }  # fmt: skip


def _table_row(name: str, result: dict[str, object]) -> str:
    first, every = result["first"], result["all"]
    assert isinstance(first, list) and isinstance(every, list)
    hours = float(str(result["hours"]))
    return (
        f"| {name} | {float(str(result['loss'])):.0%} | {statistics.median(first):.2f} | "
        f"{quantile(first, 0.99):.2f} | {statistics.median(every):.2f} | {quantile(every, 0.99):.2f} | "
        f"{float(str(result['false'])) / hours:.1f} | {result['wrongly dead']} in {hours:.1f} h |"
    )


TABLE_HEAD = (
    "| members | loss | first knows, s: median | p99 | all know, s: median | p99 | "
    "false suspicions a member-hour | wrongly dead |\n| --- | --- | --- | --- | --- | --- | --- | --- |"
)


@click.group()
def main() -> None:
    """Measurements of membership."""


@main.command()
@click.option("--members", default=8, show_default=True)
@click.option(
    "--seconds", default=900.0, show_default=True, help="idle time in which false alarms are counted"
)
@click.option("--kills", default=4, show_default=True, help="successive kills in each run")
@click.option("--seeds", default=8, show_default=True)
@click.option("--json", "json_file", type=click.Path(path_type=Path), default=None)
def detection(members: int, seconds: float, kills: int, seeds: int, json_file: Path | None) -> None:
    """Detection times and false suspicions, in virtual time."""
    results = []
    with ProcessPoolExecutor(max_workers=3) as pool:
        runs = {
            loss: [pool.submit(detect, members, seed, loss, seconds, kills) for seed in range(1, seeds + 1)]
            for loss in LOSSES
        }
        click.echo(TABLE_HEAD)
        for loss, found in runs.items():
            parts = [run.result() for run in found]
            merged: dict[str, object] = {
                "members": members, "loss": loss, "hours": sum(float(str(part["hours"])) for part in parts),
                "false": sum(int(str(part["false"])) for part in parts),
                "wrongly dead": sum(int(str(part["wrongly dead"])) for part in parts),
            }  # fmt: skip
            for key in ("first", "all"):
                merged[key] = [span for part in parts for span in part[key]]  # type: ignore[attr-defined]
            results.append(merged)
            click.echo(_table_row(f"{members}, virtual time", merged))
    if json_file is not None:
        json_file.write_text(json.dumps(results))


@main.command()
@click.option("--sizes", default="8,64,256,1000", show_default=True)
@click.option("--seconds", default=20.0, show_default=True)
def load(sizes: str, seconds: float) -> None:
    """Bytes and datagrams per second of a member, in an idle group and after a death."""
    click.echo("| members | bytes/s | datagrams/s | bytes/s for 20 s after a death | longest datagram |")
    click.echo("| --- | --- | --- | --- | --- |")
    for count in (int(text) for text in sizes.split(",")):
        group = Group(count, 1, link=Link(delay_s=DELAY_S))
        group.start()
        group.introduce_all()
        group.run(IDLE_S)
        assert group.agreed() and not group.pending_updates(), "the group is not idle"
        before = sum(group.bytes.values()), sum(group.datagrams.values())
        group.run(seconds)
        bytes_s = (sum(group.bytes.values()) - before[0]) / count / seconds
        datagrams_s = (sum(group.datagrams.values()) - before[1]) / count / seconds
        at = sum(group.bytes.values())
        group.kill("n0")
        group.run(20)
        death = (sum(group.bytes.values()) - at) / count / 20
        click.echo(f"| {count} | {bytes_s:.0f} | {datagrams_s:.1f} | {death:.0f} | {group.max_length} |")


@main.command()
@click.option("--sizes", default="8,64,256", show_default=True)
@click.option("--seeds", default=5, show_default=True)
def heal(sizes: str, seeds: int) -> None:
    """Partition three eighths for 20 s: time until these lose their quorum, and until all views agree."""
    click.echo("| members | few not sure any more, s: median | most | one view after, s: median | most |")
    click.echo("| --- | --- | --- | --- | --- |")
    for count in (int(text) for text in sizes.split(",")):
        detected, agreed = [], []
        for seed in range(1, seeds + 1):
            group = _group(count, seed, 0.0)
            few = [f"n{number}" for number in range(count * 3 // 8)]
            at = group.now_s
            group.cut(few, [name for name in group.nodes if name not in few])
            while {item.has_quorum for item in group.quorum_states(few)} != {False} and group.now_s < at + 20:
                group.run(0.1)
            detected.append(group.now_s - at)
            group.run(20 - detected[-1])
            at = group.now_s
            group.heal()
            while not group.agreed() and group.now_s < at + 120:
                group.run(0.1)
            agreed.append(group.now_s - at)
        click.echo(
            f"| {count} | {statistics.median(detected):.1f} | {max(detected):.1f} | "
            f"{statistics.median(agreed):.1f} | {max(agreed):.1f} |"
        )


def _rejoin(load: float, exchange: bool, seed: int) -> list[tuple[float, float]]:
    day = replace(
        days()["calm"], instances=8, servers=4, length_s=32.0, callers=Callers(load=load, variation=0.3),
        faults=(("restart", 15.0, 0.5),), exchange=exchange,
    )  # fmt: skip
    fleet = Fleet(day, seed)
    fleet.run()
    down, others = range(4), range(4, 8)
    return [
        (fleet.figures.service_of(down, *span), fleet.figures.service_of(others, *span)) for span in SPANS
    ]


@main.command()
@click.option("--load", default=0.9, show_default=True, help="share of the capacity of the call servers")
@click.option("--seeds", default=16, show_default=True)
def rejoin(load: float, seeds: int) -> None:
    """Four of eight instances restart at 15 s: service of both halves, with and without an exchange."""
    click.echo("| | " + " | ".join(f"{begin} to {end} s" for begin, end in SPANS) + " |")
    click.echo("| --- |" + " --- |" * len(SPANS))
    with ProcessPoolExecutor(max_workers=4) as pool:
        for exchange in (False, True):
            runs = list(pool.map(_rejoin, [load] * seeds, [exchange] * seeds, range(1, seeds + 1)))
            for place, who in enumerate(("restarted", "others")):
                means = [statistics.mean(run[span][place] for run in runs) for span in range(len(SPANS))]
                name = f"{who}, {'with' if exchange else 'without'}"
                click.echo(f"| {name} | " + " | ".join(f"{mean:.3f}" for mean in means) + " |")
            gaps = [[run[span][1] - run[span][0] for run in runs] for span in range(len(SPANS))]
            shown = (
                f"{statistics.mean(gap):.3f} ± {statistics.stdev(gap) / len(gap) ** 0.5:.3f}" for gap in gaps
            )
            click.echo("| behind the others (standard error) | " + " | ".join(shown) + " |")


def _real(loss: float, seconds: float, kills: int, folder: str) -> dict[str, object]:
    firsts, alls = [], []
    with Rig(Path(folder), 8, 1) as rig:
        rig.start_and_wait()
        rig.net.set_links(loss=loss, delay_s=DELAY_S[0], jitter_s=DELAY_S[1] - DELAY_S[0])
        rig.run(10)
        since = rig.history.now_s
        rig.run(seconds)
        false = checks.suspicion_count(rig.history, since)
        dead = len(checks.reported_dead(rig.history, since))
        for number in range(kills):
            name = rig.names[number % 8]
            others = [other for other in rig.names if other != name]
            at = rig.history.now_s
            rig.kill(name)
            rig.until(lambda: all(rig.state(other, name) == "dead" for other in others), 90)  # noqa: B023
            found = checks.detection_times(rig.history, name, at, others)
            firsts.append(found[0])
            alls.append(found[-1])
            rig.start([name])
            rig.until(rig.views_agree, 30)
            rig.run(5)
    return {
        "members": 8, "loss": loss, "first": firsts, "all": alls, "false": false,
        "hours": 8 * seconds / 3600, "wrongly dead": dead,
    }  # fmt: skip


@main.command()
@click.option("--seconds", default=120.0, show_default=True)
@click.option("--kills", default=10, show_default=True)
@click.option("--json", "json_file", type=click.Path(path_type=Path), default=None)
def real(seconds: float, kills: int, json_file: Path | None) -> None:
    """Measure detection with eight real processes on the simulated network of the fault rig."""
    with tempfile.TemporaryDirectory() as folder, ProcessPoolExecutor(max_workers=3) as pool:
        runs = [pool.submit(_real, loss, seconds, kills, f"{folder}/{loss}") for loss in LOSSES]
        click.echo(TABLE_HEAD)
        results = [run.result() for run in runs]
    for result in results:
        click.echo(_table_row("8 processes", result))
    if json_file is not None:
        json_file.write_text(json.dumps(results))


@main.command()
@click.argument("picture", type=click.Path(path_type=Path))
@click.argument("files", nargs=-1, type=click.Path(path_type=Path, exists=True))
def chart(picture: Path, files: tuple[Path, ...]) -> None:
    """Plot the distribution of the time until all members know, from files written by ``--json``."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(figsize=(8, 4.5))
    for file in files:
        for result in json.loads(file.read_text()):
            spans = sorted(result["all"])
            shares = [(place + 1) / len(spans) for place in range(len(spans))]
            name = f"{file.stem}, {result['members']} members, {result['loss']:.0%} loss"
            axes.step([0.0, *spans], [0.0, *shares], where="post", label=name)
    axes.set_xlabel("seconds from a kill until all others declare it dead")
    axes.set_ylabel("share of kills")
    axes.set_xlim(left=0)
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(picture, dpi=110)


if __name__ == "__main__":
    main()
