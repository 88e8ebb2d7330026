"""When the connection of a caller may end."""

import pytest

from ferry_proxy import _caller_pace


def pace_of(pauses_s, now=0.0, is_pipelined=False):
    """Returns the pace of a caller after requests, and the time of it."""
    pace = _caller_pace.CallerPace(now)
    for pause_s in pauses_s:
        now += pause_s
        pace.note_received(now, False, is_pipelined)
        pace.note_request()
        pace.note_answered(now)
    return pace, now


@pytest.mark.parametrize(
    ("silence_s", "pauses_s", "expected"),
    [
        (0.04, [1.0], False),
        (0.05, [1.0], True),
        # It has just connected, so that its first request is on the way.
        (0.05, [], False),
        (0.5, [], True),
    ],
)
def test_callers_of_a_node_that_is_cut_off_are_kept_for_a_moment(
    silence_s, pauses_s, expected
):
    pace, now = pace_of(pauses_s)
    assert pace.may_end_idle(now + silence_s) is expected


@pytest.mark.parametrize(
    ("silence_s", "pauses_s", "expected"),
    [
        (0.04, [0.01], False),
        (0.05, [0.01], True),
        # Its next request may follow right after one of its usual pauses.
        (0.05, [0.049], False),
        (0.15, [0.049], True),
        (0.12, [0.01, 0.05, 0.0], False),
        (0.14, [0.01, 0.05, 0.0], True),
        # Its pauses tell nothing of the next moment.
        (0.49, [60.0], False),
        (0.5, [60.0], True),
        (0.05, [], False),
        (0.5, [], True),
    ],
)
def test_an_idle_caller_is_kept_while_a_request_may_be_on_the_way(
    silence_s, pauses_s, expected
):
    pace, now = pace_of(pauses_s)
    pace.leave_at(now)
    assert pace.may_end_idle(now + silence_s) is expected


def test_no_connection_ends_before_its_moment():
    pace, now = pace_of([0.01])
    pace.leave_at(now + 2.0)
    assert not pace.may_end_idle(now + 1.9)
    assert not pace.is_due(now + 1.9)
    assert pace.may_end_idle(now + 2.0)
    assert pace.is_due(now + 2.0)


@pytest.mark.parametrize(
    ("pause_s", "expected"), [(0.0, False), (0.004, False), (0.006, True)]
)
def test_a_caller_without_pauses_gets_no_end_with_its_answer(pause_s, expected):
    pace, _ = pace_of([pause_s])
    assert pace.may_end_with_answer() is expected


def test_a_caller_that_pipelines_gets_no_end_with_its_answer():
    pace, _ = pace_of([1.0, 1.0], is_pipelined=True)
    assert not pace.may_end_with_answer()


def test_the_parts_of_a_request_are_no_pauses():
    pace, now = pace_of([0.02])
    pace.note_received(now + 0.02, False, False)
    for part in range(1, 5):
        pace.note_received(now + 0.02 + 0.001 * part, True, False)
    pace.note_request()
    assert pace.may_end_with_answer()
