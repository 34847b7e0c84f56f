"""Fault cases with several real processes of the program, run by the rig of ``standins.faults``.

All cases run in parallel, each with its own processes and addresses, and take as long as the longest one.
"""

from __future__ import annotations

import json
import subprocess
from collections.abc import Iterator

import pytest

from standins.faults.cases import CASES
from tests.rigs import RUN_TIMEOUT_S, started_runs


@pytest.fixture(scope="module")
def cases(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, subprocess.Popen[str]]]:
    folder = tmp_path_factory.mktemp("faults")
    with started_runs("standins.faults", CASES, folder, "--seed", "1") as processes:
        yield processes


@pytest.mark.parametrize("name", CASES)
def test_fault_case_passes_with_real_processes(cases: dict[str, subprocess.Popen[str]], name: str) -> None:
    output, _ = cases[name].communicate(timeout=RUN_TIMEOUT_S)
    assert cases[name].returncode == 0, output
    figures = json.loads(output.splitlines()[-1])
    assert figures["case"] == name and figures["untold"] == 0 and figures["datagrams"] > 100
