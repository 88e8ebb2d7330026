"""Tests of expected waits."""

import ferry_decisions as decisions
import hypothesis
from hypothesis import strategies as st
import pytest

from ferry_proxy.queueing import _waits

TIMES = st.lists(st.floats(min_value=0.0, max_value=1.0), max_size=12)


@pytest.mark.parametrize(
    ("running", "ahead", "places", "expected_s"),
    [
        ([], [], 2, 0.0),
        ([0.1], [], 2, 0.0),
        ([0.1, 0.3], [], 2, 0.1),
        ([0.1, 0.3], [0.5], 2, 0.3),
        # A count of four would say the same for short and long ones.
        ([0.04], [0.008] * 4, 1, 0.072),
        ([0.008], [0.04] * 4, 1, 0.168),
        # More run than there are places: the surplus has to end first.
        ([0.1, 0.2, 0.3], [], 2, 0.2),
        ([0.1], [], 0, 0.1),
    ],
)
def test_the_wait_is_that_for_the_work_ahead(
    running, ahead, places, expected_s
):
    found = _waits.start_delay_s(running, ahead, places)
    assert found == pytest.approx(expected_s)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(TIMES, TIMES, st.integers(min_value=1, max_value=5))
def test_the_wait_is_at_most_the_work_over_the_places(running, ahead, places):
    found = _waits.start_delay_s(running[:places], ahead, places)
    assert 0.0 <= found <= sum([*running[:places], *ahead]) / places + 1e-9


def estimate(wait_s, margin_s=0.0, own_s=0.01):
    return _waits.Estimate(wait_s=wait_s, margin_s=margin_s, own_s=own_s)


@pytest.mark.parametrize(
    ("wait_s", "target_s", "expected_s"),
    [
        (0.5, 0.2, 0.5 + 0.01 + _waits.TRANSIT_S - 0.2),
        (0.1, 0.2, decisions.MIN_RETRY_DELAY_S),
        (0.1, float("inf"), decisions.MIN_RETRY_DELAY_S),
    ],
)
def test_the_time_to_room_is_what_exceeds_the_target(
    wait_s, target_s, expected_s
):
    found = _waits.time_to_room_s(estimate(wait_s), target_s)
    assert found == pytest.approx(expected_s)


def test_margins_of_independent_work_add_less_than_the_work():
    alone = _waits.margin_s([], 0.01, 2)
    many = _waits.margin_s([0.01] * 16, 0.0, 2)
    assert alone == pytest.approx(0.01)
    assert many == pytest.approx(0.02)
