"""Several processes of the program with faults between them: the hard cases of membership, played by the rig.

All begin at once, each rig in processes and addresses of its own, so that they take as long as the longest.
"""

from __future__ import annotations

import json
import subprocess
from collections.abc import Iterator

import pytest

from standins.faults.cases import CASES
from tests.rigs import RUN_TIMEOUT_S, started_runs


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, subprocess.Popen[str]]]:
    folder = tmp_path_factory.mktemp("faults")
    with started_runs("standins.faults", CASES, folder, "--seed", "1") as running:
        yield running


@pytest.mark.parametrize("name", CASES)
def test_a_hard_case_holds_with_real_processes(played: dict[str, subprocess.Popen[str]], name: str) -> None:
    said, _ = played[name].communicate(timeout=RUN_TIMEOUT_S)
    assert played[name].returncode == 0, said
    figures = json.loads(said.splitlines()[-1])
    assert figures["case"] == name and figures["untold"] == 0 and figures["datagrams"] > 100
