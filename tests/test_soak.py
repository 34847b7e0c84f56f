"""Real border controllers between our own clients, call servers and notice board, with faults by seed.

All runs begin at once, each in processes and at addresses of its own.
"""

from __future__ import annotations

import json
import subprocess
from collections.abc import Iterator

import pytest

from standins.soak.cases import CASES
from tests.rigs import LONGEST_S, playing

RUNS = [*CASES, "1", "4", "10", "24"]  # seeds that broke rules once; 10 has a crowd


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, subprocess.Popen[str]]]:
    folder = tmp_path_factory.mktemp("soak")
    with playing("standins.soak", RUNS, folder) as running:
        yield running


@pytest.mark.parametrize("name", RUNS)
def test_no_rule_is_broken(played: dict[str, subprocess.Popen[str]], name: str) -> None:
    said, _ = played[name].communicate(timeout=LONGEST_S)
    verdict = json.loads(said.splitlines()[-1])
    assert verdict["counts"]["stood"] > 50, said
    assert not verdict["broken"], "\n".join(verdict["broken"])
    assert played[name].returncode == 0
