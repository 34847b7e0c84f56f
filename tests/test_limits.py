"""Limits on the source files of the whole program, not only of the decision module."""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


MAX_FILE_LINES = 680  # not blank, including comments


def test_every_file_of_the_program_stays_short_and_narrow() -> None:
    for source in sorted((ROOT / "reedmount").rglob("*.py")):
        lines = source.read_text().splitlines()
        assert sum(1 for line in lines if line.strip()) <= MAX_FILE_LINES, source.name
        assert all(len(line) <= 110 for line in lines), source.name


def test_only_the_module_is_named_as_policy() -> None:
    text = (ROOT / "deploy" / "balancer.toml").read_text()
    assert 'policy = ["reedmount/control.py"]' in text
