"""The limits that the operators hold the module to."""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_the_module_stays_short_and_narrow() -> None:
    lines = (ROOT / "reedmount" / "control.py").read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 650
    for source in sorted((ROOT / "reedmount").glob("*.py")):
        assert all(len(line) <= 110 for line in source.read_text().splitlines()), source.name


def test_only_the_module_is_named_as_policy() -> None:
    text = (ROOT / "deploy" / "balancer.toml").read_text()
    assert 'policy = ["reedmount/control.py"]' in text
