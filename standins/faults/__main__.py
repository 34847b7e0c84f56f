"""Run cases of the fault rig: ``python -m standins.faults partition --seed 1 --folder found/partition``."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from standins.faults.cases import CASES


@click.command()
@click.argument("name", type=click.Choice(sorted(CASES)))
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--folder",
    type=click.Path(path_type=Path),
    required=True,
    help="where settings, logs and the history are written",
)
def main(name: str, seed: int, folder: Path) -> None:
    """Run one case, print its figures as a line of JSON, and exit with status 1 if a check failed."""
    try:
        figures = CASES[name](folder, seed)
    except AssertionError as error:
        click.echo(json.dumps({"case": name, "seed": seed, "broken": str(error)}))
        sys.exit(1)
    click.echo(json.dumps({"case": name, "seed": seed, **figures}))


if __name__ == "__main__":
    main()
