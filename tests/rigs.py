"""Starts the runs of the tests with real processes: all at once, each run in its own process."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path

from tests.test_config import ROOT

RUN_TIMEOUT_S = 240


@contextmanager
def started_runs(
    module: str, names: Iterable[str], folder: Path, *arguments: str
) -> Iterator[dict[str, subprocess.Popen[str]]]:
    """Start runs, each with its own folder, yield them by name, and end the remaining ones on exit."""
    running = {
        name: subprocess.Popen(
            [sys.executable, "-m", module, name, *arguments, "--folder", str(folder / name)],
            cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
        )
        for name in names
    }  # fmt: skip
    try:
        yield running
    finally:
        for process in running.values():
            process.terminate()
            process.wait()
            assert process.stdout is not None
            process.stdout.close()
