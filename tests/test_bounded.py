"""The table that forgets its oldest entries."""

from __future__ import annotations

from reedmount.core.bounded import BoundedDict


def test_the_oldest_entry_is_dropped_and_one_that_is_set_again_keeps_its_age() -> None:
    table = BoundedDict[str, int](2)
    table["a"], table["b"], table["a"] = 1, 2, 3
    assert table.setdefault("c", 4) == 4 and table.setdefault("b", 5) == 2
    assert table == {"b": 2, "c": 4}
