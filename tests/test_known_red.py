"""The list of known failures: its format and its maximum length."""

from __future__ import annotations

import pytest

from tests.conftest import MAX_KNOWN, KnownFailure, read_known


def test_a_line_has_a_test_its_cause_and_its_issue() -> None:
    found = read_known("tests/test_a.py::test_b[c] | a cause | issue 1\n\n")
    assert found == [KnownFailure("tests/test_a.py::test_b[c]", "a cause", "issue 1")]


@pytest.mark.parametrize("text", ["tests/test_a.py::test_b", "a | b", "a | b | ", "a | b | c | d"])
def test_a_line_in_another_format_is_an_error(text: str) -> None:
    with pytest.raises(pytest.UsageError):
        read_known(text)


def test_there_may_be_at_most_three_lines() -> None:
    read_known("a | b | c\n" * MAX_KNOWN)
    with pytest.raises(pytest.UsageError):
        read_known("a | b | c\n" * (MAX_KNOWN + 1))
