"""Priority bands: which are open, when they close, and first choices by weight."""

from __future__ import annotations

from dataclasses import replace
from datetime import UTC, datetime, timedelta

import pytest
from scipy.stats import chisquare

from reedmount import interface as i
from reedmount.pool.bands import Bands, BandSettings
from tests.support import S, entry, pool, with_pool

T0 = datetime(2026, 12, 1, tzinfo=UTC)
MS = timedelta(milliseconds=1)
ZERO = timedelta(0)


def bands(**members: tuple[int, int]) -> Bands:
    made = Bands(BandSettings())
    for number, (name, (priority, weight)) in enumerate(members.items(), 1):
        made.put(name, number, priority, weight)
    return made


def test_the_lowest_priority_alone_is_open_at_first_whatever_the_order_of_the_records() -> None:
    made = bands(far=(30, 1), near=(10, 1), next=(20, 1))
    assert made.open == [10] and made.is_open("near") and not made.is_open("next")


def test_a_call_that_waits_opens_the_next_band_and_after_a_step_the_one_beyond() -> None:
    made = bands(near=(10, 1), next=(20, 1), far=(30, 1))
    assert not made.look(T0, 49 * MS)
    assert made.look(T0, 50 * MS) and made.open == [10, 20]
    assert not made.look(T0 + 199 * MS, 60 * MS), "one step at a time"
    assert made.look(T0 + 200 * MS, 60 * MS) and made.open == [10, 20, 30]


def test_a_band_closes_once_it_was_not_needed_and_does_not_flap_while_it_is() -> None:
    made = bands(near=(10, 1), next=(20, 1))
    made.look(T0, 50 * MS)
    changes = 0
    for tenth in range(1, 600):  # a minute in which the overflow comes every 5 s
        now = T0 + tenth * 100 * MS
        if tenth % 50 == 0:
            made.sent(now, "next")
        changes += made.look(now, ZERO)
    assert changes == 0
    last = T0 + 55 * timedelta(seconds=1)
    assert not made.look(last + timedelta(seconds=9.9), ZERO)
    assert made.look(last + timedelta(seconds=10.1), ZERO) and made.open == [10]


def test_bands_open_at_once_where_no_member_below_is_up() -> None:
    made = bands(near=(10, 1), beside=(10, 1), next=(20, 1))
    for _ in range(3):
        made.failed(T0, "near")
    assert not made.look(T0, ZERO)
    for _ in range(3):
        made.failed(T0, "beside")
    assert made.look(T0, ZERO) and made.open == [10, 20]
    made.stood("near")
    assert not made.look(T0 + timedelta(seconds=9), ZERO)
    assert made.look(T0 + timedelta(seconds=11), ZERO) and made.open == [10]


def test_a_band_whose_members_all_leave_hands_over_to_the_next() -> None:
    made = bands(near=(10, 1), next=(20, 1))
    made.take("near")
    assert made.open == [20]
    made.sent(T0, "next")
    made.put("near", 1, 10, 1)
    assert made.open == [10, 20], "what serves now goes on until the other is found to do without it"
    assert made.look(T0 + timedelta(seconds=11), ZERO) and made.open == [10]


def test_a_server_that_moves_between_bands_keeps_what_was_seen_of_it() -> None:
    made = bands(near=(10, 1), next=(20, 1))
    for _ in range(3):
        made.failed(T0, "next")
    made.put("next", 2, 10, 1)
    assert made.is_open("next") and made.open == [10] and not made.members["next"].up(T0)
    made.put("next", 2, 30, 1)
    assert not made.is_open("next")


@pytest.mark.parametrize("weights", [(60, 40), (1, 2, 3, 4), (10, 0, 90), (0, 0, 0), (65535, 1), (7,) * 50])
def test_first_choices_follow_the_weights(weights: tuple[int, ...]) -> None:
    """Within 2 points over 100,000 numbers, and no worse than chance by chi-square."""
    made = bands(**{f"s{index:02}": (10, weight) for index, weight in enumerate(weights)}, far=(20, 99))
    counts = [0] * (len(weights) + 2)
    for number in range(100_000):
        choice = made.first_choice(f"+4179{number:07}")
        assert choice is not None
        counts[choice] += 1
    counts = counts[1:-1]
    shares = [weight * 100 or 1 for weight in weights] if any(weights) else [1] * len(weights)
    expected = [share / sum(shares) * 100_000 for share in shares]
    assert all(abs(count - wanted) < 2_000 for count, wanted in zip(counts, expected, strict=True))
    assert chisquare(counts, expected).pvalue > 1e-4


def test_the_same_number_has_the_same_first_choice_whatever_the_order_of_the_records() -> None:
    one, other = bands(a=(1, 3), b=(1, 5)), Bands(BandSettings())
    other.put("b", 2, 1, 5)
    other.put("a", 1, 1, 3)
    assert [one.first_choice(str(n)) for n in range(99)] == [other.first_choice(str(n)) for n in range(99)]
    assert Bands(BandSettings()).first_choice("4711") is None


# --- the hook in the module ---


def test_the_route_takes_the_lowest_band_that_has_room() -> None:
    bench = with_pool(max_attempts=1)
    bench.feed(pool(entry("a"), replace(entry("b"), band=20), replace(entry("c"), band=20)))
    calls = [bench.call(first=None) for _ in range(4)]
    where = [bench.where(call) for call in calls]
    assert where[:2] == ["a", "a"] and set(where[2:]) <= {"b", "c"}, "its window is two at first"
    bench.answer_call(calls[0])
    assert bench.where(bench.call(first=2)) == "a", "also where the first choice lies in a higher band"


def test_a_standby_server_gets_nothing() -> None:
    bench = with_pool("a", "b")
    bench.feed(pool(replace(entry("b"), state=i.ServerState.STANDBY), version=2, kind=i.ListKind.CHANGES))
    where = {bench.where(bench.call(first=2)) for _ in range(6)}
    assert where == {"a", None}
    bench.run_for(1 * S)
    bench.feed(pool(entry("b"), version=3, kind=i.ListKind.CHANGES))
    assert "b" in {bench.where(call) for call in bench.out}, "what waited goes there at once"
