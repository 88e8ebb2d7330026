"""Tests of expected service times by route and kind."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

import ferry_decisions as decisions
from ferry_decisions import _service_times

READ = decisions.WorkKey("r", "read")
WRITE = decisions.WorkKey("r", "write")


class Clock:
    """A clock that tests set."""

    now = 0.0

    def __call__(self):
        return self.now


def times_of(*samples, is_crowded=False):
    """Returns service times with samples of (key, seconds)."""
    times = decisions.ServiceTimes(Clock())
    for key, elapsed_s in samples:
        times.note(key, elapsed_s, is_crowded)
    return times


def test_kinds_of_different_times_are_told_apart():
    times = times_of(*[(READ, 0.008), (WRITE, 0.04)] * 50)
    assert times.mean_s(READ) == pytest.approx(0.008, rel=0.1)
    assert times.mean_s(WRITE) == pytest.approx(0.04, rel=0.1)


def test_a_kind_never_seen_takes_as_long_as_the_others():
    times = times_of(*[(READ, 0.02)] * 20)
    assert times.mean_s(WRITE) == pytest.approx(0.02, rel=0.01)
    assert decisions.ServiceTimes(Clock()).mean_s(READ) > 0.0


def test_a_kind_seen_only_at_a_crowded_member_is_known_nevertheless():
    times = times_of(*[(READ, 0.01)] * 20)
    for _ in range(10):
        times.note(WRITE, 0.05, is_crowded=True)
    assert times.mean_s(WRITE) > 2 * times.mean_s(READ)


def test_waits_at_a_crowded_member_count_for_the_pace_only():
    times = times_of(*[(READ, 0.01)] * 50)
    for _ in range(50):
        times.note(READ, 0.03, is_crowded=True)
    assert times.mean_s(READ) == pytest.approx(0.01, rel=0.05)
    assert times.pace == pytest.approx(3.0, rel=0.1)


def test_the_pace_follows_a_member_that_turns_slow():
    times = times_of(*[(READ, 0.01)] * 100)
    for _ in range(10):
        times.note(READ, 0.05, is_crowded=True)
    assert times.mean_s(READ) * times.pace > 0.025


def test_the_pace_fades_once_nothing_runs():
    clock = Clock()
    times = decisions.ServiceTimes(clock)
    for _ in range(50):
        times.note(READ, 0.01, is_crowded=False)
    for _ in range(50):
        times.note(READ, 0.1, is_crowded=True)
    assert times.pace > 5.0
    clock.now += 5.0
    assert times.pace == pytest.approx(1.0, abs=0.1)


def test_a_long_tail_does_not_look_like_a_slow_member():
    draw = random.Random(3)
    times = decisions.ServiceTimes(Clock())
    paces = []
    for _ in range(2000):
        elapsed_s = 0.07 if draw.random() < 0.03 else 0.01
        times.note(READ, elapsed_s, draw.random() < 0.5)
        paces.append(times.pace)
    assert max(paces) < 2.0
    assert times.mean_s(READ) == pytest.approx(0.0118, rel=0.25)
    assert times.high_s(READ) < 0.02


def test_a_statement_in_the_tail_has_most_of_its_time_ahead():
    times = times_of(*([(READ, 0.01)] * 32 + [(READ, 0.07)]) * 6)
    assert times.remaining_s(READ, 0.0) < 0.02
    assert times.remaining_s(READ, 0.02) > 0.04


def test_the_number_of_kinds_is_bounded_and_the_oldest_unused_goes():
    times = times_of(*[(READ, 0.05)] * 20)
    for number in range(1000):
        times.note(decisions.WorkKey(str(number), "read"), 0.01, False)
        times.note(READ, 0.05, False)
    assert len(times) == _service_times.MAX_KINDS
    assert times.mean_s(READ) == pytest.approx(0.05, rel=0.1)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from([READ, WRITE]),
            st.floats(allow_nan=True, allow_infinity=True),
            st.booleans(),
        ),
        max_size=60,
    ),
    st.floats(min_value=0.0, max_value=100.0),
)
def test_any_samples_yield_usable_times(samples, age_s):
    times = decisions.ServiceTimes(Clock())
    for key, elapsed_s, is_crowded in samples:
        times.note(key, elapsed_s, is_crowded)
    for key in (READ, WRITE):
        assert 0.0 < times.mean_s(key) <= 1.001 * _service_times.MAX_TIME_S
        assert 0.0 <= times.spread_s(key) < 100.0
        assert 0.0 <= times.remaining_s(key, age_s) < 5000.0
    assert _service_times.MIN_PACE <= times.pace <= _service_times.MAX_PACE


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    st.lists(st.floats(min_value=0.001, max_value=10.0), min_size=1)
)
def test_the_mean_lies_between_the_samples(samples):
    histogram = decisions.TimeHistogram()
    for time_s in samples:
        histogram.note(time_s)
    assert min(samples) * 0.999 <= histogram.mean_s <= max(samples) * 1.001
    assert histogram.quantile_s(0.9) <= max(samples) * 1.26
    assert histogram.quantile_s(0.1) <= histogram.quantile_s(0.9)
