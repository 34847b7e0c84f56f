"""Real border controllers between our own clients, call servers and notice board, with faults by seed.

All runs begin at once, each in processes and at addresses of its own.
"""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.soak.cases import CASES
from tests.test_config import ROOT

LONGEST_S = 240
RUNS = [*CASES, "1", "4", "10", "24"]  # seeds that broke rules once; 10 has a crowd


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, subprocess.Popen[str]]]:
    folder: Path = tmp_path_factory.mktemp("soak")
    running = {
        name: subprocess.Popen(
            [sys.executable, "-m", "standins.soak", name, "--folder", str(folder)],
            cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
        )
        for name in RUNS
    }  # fmt: skip
    yield running
    for process in running.values():
        process.terminate()
        process.wait()
        assert process.stdout is not None
        process.stdout.close()


@pytest.mark.parametrize("name", RUNS)
def test_no_rule_is_broken(played: dict[str, subprocess.Popen[str]], name: str) -> None:
    said, _ = played[name].communicate(timeout=LONGEST_S)
    verdict = json.loads(said.splitlines()[-1])
    assert verdict["counts"]["stood"] > 50, said
    assert not verdict["broken"], "\n".join(verdict["broken"])
    assert played[name].returncode == 0
