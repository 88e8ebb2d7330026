"""Tests of the times at which refused requests should return."""

import math

import pytest

import ferry_decisions as decisions


def refusal(number, at=0.0, priority=1, wait_s=0.1, remaining_s=1.0):
    return decisions.Refusal(
        request=f"id{number}",
        priority=priority,
        at=at,
        wait_s=wait_s,
        remaining_s=remaining_s,
    )


def test_returns_are_spread_over_the_time_that_the_queue_needs():
    schedule = decisions.ReturnSchedule()
    delays = [schedule.advise(refusal(n), 200.0).delay_s for n in range(60)]
    assert delays == sorted(delays)
    assert delays[0] >= 0.1  # The backlog leaves first.
    assert delays[-1] == pytest.approx(0.1 + 60 / 150, abs=0.01)
    per_tenth = [sum(t <= d < t + 0.1 for d in delays) for t in (0.1, 0.2, 0.3)]
    assert max(per_tenth) <= 16  # A fixed time would bring all 60 in one.


def test_promised_returns_count_until_their_time_has_passed():
    schedule = decisions.ReturnSchedule()
    for number in range(60):
        schedule.advise(refusal(number), 200.0)
    assert (
        schedule.advise(refusal("a", at=0.2, wait_s=0.0), 200.0).delay_s > 0.25
    )
    assert (
        schedule.advise(refusal("b", at=0.6, wait_s=0.0), 200.0).delay_s < 0.02
    )


def test_urgent_requests_do_not_return_behind_others():
    schedule = decisions.ReturnSchedule()
    for number in range(60):
        schedule.advise(refusal(number, priority=2), 200.0)
    urgent_s = schedule.advise(refusal("u", priority=0), 200.0).delay_s
    assert urgent_s < 0.11


def test_others_return_behind_urgent_requests():
    schedule = decisions.ReturnSchedule()
    for number in range(60):
        schedule.advise(refusal(number, priority=0), 200.0)
    assert schedule.advise(refusal("o", priority=2), 200.0).delay_s > 0.45


def test_a_slot_after_the_deadline_is_not_promised():
    schedule = decisions.ReturnSchedule()
    for number in range(1000):
        delay_s = schedule.advise(
            refusal(number, remaining_s=0.3), 200.0
        ).delay_s
        assert delay_s <= 0.3
    # Only the slots within 0.3 s are taken, whatever the number of requests.
    assert schedule.advise(refusal("x", remaining_s=9.0), 200.0).delay_s < 0.35


def test_less_capacity_means_a_later_time():
    fast, slow = decisions.ReturnSchedule(), decisions.ReturnSchedule()
    for number in range(10):
        fast_s = fast.advise(refusal(number), 200.0).delay_s
        slow_s = slow.advise(refusal(number), 50.0).delay_s
    assert slow_s > fast_s + 0.1


def test_no_delay_is_shorter_than_a_round_trip():
    schedule = decisions.ReturnSchedule()
    found_s = schedule.advise(
        refusal(1, wait_s=0.0, remaining_s=0.0), 1e6
    ).delay_s
    assert found_s == pytest.approx(0.01)


@pytest.mark.parametrize("wait_s", [math.nan, math.inf, -5.0])
def test_invalid_waits_count_as_none(wait_s):
    schedule = decisions.ReturnSchedule()
    assert schedule.advise(refusal(1, wait_s=wait_s), 200.0).delay_s < 0.02


def test_drain_rate_follows_the_mean_time_of_statements():
    drain = decisions.DrainRate()
    assert drain.per_s(4) == 0.0
    for _ in range(100):
        drain.note(0.02)
    assert drain.per_s(4) == pytest.approx(200.0)
    drain.note(0.14)  # One long statement hardly moves it.
    assert drain.per_s(4) > 150.0
    for _ in range(100):
        drain.note(0.04)
    assert drain.per_s(4) == pytest.approx(100.0, rel=0.05)


def test_drain_rate_is_that_of_a_full_member():
    drain = decisions.DrainRate()
    for _ in range(100):
        drain.note(0.01, is_full=False)
    assert drain.per_s(4) == pytest.approx(200.0)


@pytest.mark.parametrize("elapsed_s", [math.nan, math.inf, -1.0, 0.0])
def test_drain_rate_ignores_invalid_times(elapsed_s):
    drain = decisions.DrainRate()
    drain.note(elapsed_s)
    assert drain.per_s(4) == 0.0


@pytest.mark.parametrize(
    ("delay_s", "expected"),
    [
        (None, None),
        (0.2, 0.2),
        (math.nan, None),
        (math.inf, None),
        (-1.0, None),
        (1e9, None),
    ],
)
def test_delays_of_other_nodes(delay_s, expected):
    assert decisions.usable_delay_s(delay_s) == expected


def test_spread_delays_fill_the_second_half():
    delays = [decisions.spread_delay_s(1.0, 5.0, f"id{n}") for n in range(100)]
    assert min(delays) >= 0.5
    assert max(delays) <= 1.0
    assert len(set(delays)) == 100
    assert decisions.spread_delay_s(1.0, 0.4, "id1") <= 0.4
