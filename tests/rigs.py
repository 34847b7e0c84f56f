"""Rigs that play with real processes: all runs of one begin at once, each a process of its own."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path

from tests.test_config import ROOT

LONGEST_S = 240


@contextmanager
def playing(
    module: str, names: Iterable[str], folder: Path, *words: str
) -> Iterator[dict[str, subprocess.Popen[str]]]:
    """Runs by name, each with a folder of its own; what is left of them ends with the tests."""
    running = {
        name: subprocess.Popen(
            [sys.executable, "-m", module, name, *words, "--folder", str(folder / name)],
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
