"""Priority bands: opening, closing, and first choices by weight."""

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


def test_only_the_lowest_priority_is_open_at_first_whatever_the_record_order() -> None:
    made = bands(far=(30, 1), near=(10, 1), next=(20, 1))
    assert made.open == [10] and made.is_open("near") and not made.is_open("next")


def test_a_waiting_call_opens_one_band_per_step() -> None:
    made = bands(near=(10, 1), next=(20, 1), far=(30, 1))
    assert not made.update(T0, 49 * MS)
    assert made.update(T0, 50 * MS) and made.open == [10, 20]
    assert not made.update(T0 + 199 * MS, 60 * MS), "one step at a time"
    assert made.update(T0 + 200 * MS, 60 * MS) and made.open == [10, 20, 30]


def test_a_band_closes_when_unneeded_and_does_not_flap() -> None:
    made = bands(near=(10, 1), next=(20, 1))
    made.update(T0, 50 * MS)
    changes = 0
    for step in range(1, 600):  # one minute with an overflow call every 5 s
        now = T0 + step * 100 * MS
        if step % 50 == 0:
            made.record_sent(now, "next")
        changes += made.update(now, ZERO)
    assert changes == 0
    last = T0 + 55 * timedelta(seconds=1)
    assert not made.update(last + timedelta(seconds=9.9), ZERO)
    assert made.update(last + timedelta(seconds=10.1), ZERO) and made.open == [10]


def test_a_band_opens_at_once_when_no_lower_member_is_up() -> None:
    made = bands(near=(10, 1), beside=(10, 1), next=(20, 1))
    for _ in range(3):
        made.record_failure(T0, "near")
    assert not made.update(T0, ZERO)
    for _ in range(3):
        made.record_failure(T0, "beside")
    assert made.update(T0, ZERO) and made.open == [10, 20]
    made.record_established("near")
    assert not made.update(T0 + timedelta(seconds=9), ZERO)
    assert made.update(T0 + timedelta(seconds=11), ZERO) and made.open == [10]


def test_the_next_band_takes_over_when_all_members_leave() -> None:
    made = bands(near=(10, 1), next=(20, 1))
    made.remove("near")
    assert made.open == [20]
    made.record_sent(T0, "next")
    made.put("near", 1, 10, 1)
    assert made.open == [10, 20], "the band in use stays open until it is unneeded"
    assert made.update(T0 + timedelta(seconds=11), ZERO) and made.open == [10]


def test_a_server_that_moves_between_bands_keeps_its_failures() -> None:
    made = bands(near=(10, 1), next=(20, 1))
    for _ in range(3):
        made.record_failure(T0, "next")
    made.put("next", 2, 10, 1)
    assert made.is_open("next") and made.open == [10] and not made.members["next"].is_up(T0)
    made.put("next", 2, 30, 1)
    assert not made.is_open("next")


@pytest.mark.parametrize("weights", [(60, 40), (1, 2, 3, 4), (10, 0, 90), (0, 0, 0), (65535, 1), (7,) * 50])
def test_first_choices_follow_the_weights(weights: tuple[int, ...]) -> None:
    """Shares are within 2 points over 100,000 numbers, and pass a chi-square test."""
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


def test_the_first_choice_of_a_number_does_not_depend_on_the_order_of_records() -> None:
    one, other = bands(a=(1, 3), b=(1, 5)), Bands(BandSettings())
    other.put("b", 2, 1, 5)
    other.put("a", 1, 1, 3)
    assert [one.first_choice(str(n)) for n in range(99)] == [other.first_choice(str(n)) for n in range(99)]
    assert Bands(BandSettings()).first_choice("4711") is None


# --- routing by bands ---


def test_calls_go_to_the_lowest_band_with_room() -> None:
    bench = with_pool(max_attempts=1)
    bench.feed(pool(entry("a"), replace(entry("b"), band=20), replace(entry("c"), band=20)))
    calls = [bench.call(first=None) for _ in range(4)]
    where = [bench.where(call) for call in calls]
    assert where[:2] == ["a", "a"] and set(where[2:]) <= {"b", "c"}, "its window is two at first"
    bench.answer_call(calls[0])
    assert bench.where(bench.call(first=2)) == "a", "also where the first choice lies in a higher band"


def test_a_standby_server_gets_no_calls() -> None:
    bench = with_pool("a", "b")
    bench.feed(pool(replace(entry("b"), state=i.ServerState.STANDBY), version=2, kind=i.ListKind.CHANGES))
    where = {bench.where(bench.call(first=2)) for _ in range(6)}
    assert where == {"a", None}
    bench.run_for(1 * S)
    bench.feed(pool(entry("b"), version=3, kind=i.ListKind.CHANGES))
    assert "b" in {bench.where(call) for call in bench.out}, "waiting calls go there at once"
