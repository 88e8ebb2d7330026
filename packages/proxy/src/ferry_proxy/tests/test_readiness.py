"""When a node is ready for new sessions."""

import attrs
import pytest

from ferry_proxy import _readiness

READY = _readiness.ReadinessInputs(
    is_stopping=False,
    has_configuration=True,
    awaits_peers=False,
    is_cut_off=False,
    knows_primary=True,
)
UNREADY = _readiness.Unready


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, None),
        ({"is_stopping": True}, UNREADY.STOPPING),
        ({"has_configuration": False}, UNREADY.NO_CONFIGURATION),
        ({"awaits_peers": True}, UNREADY.AWAITING_PEERS),
        ({"is_cut_off": True}, UNREADY.CUT_OFF),
        ({"knows_primary": False}, UNREADY.NO_PRIMARY),
        ({"is_stopping": True, "is_cut_off": True}, UNREADY.STOPPING),
        (
            {"awaits_peers": True, "knows_primary": False},
            UNREADY.AWAITING_PEERS,
        ),
    ],
)
def test_why_a_node_is_not_ready(changes, expected):
    inputs = attrs.evolve(READY, **changes)
    assert _readiness.unready_reason(inputs) is expected


@pytest.mark.parametrize(
    ("is_out_of_rotation", "no_caller_s", "expected"),
    [
        (True, 1.0, True),
        (False, 1.0, False),
        # The balancer still sends callers, as too few other nodes are ready.
        (True, 0.1, False),
    ],
)
def test_callers_are_let_go_if_they_would_not_come_back(
    is_out_of_rotation, no_caller_s, expected
):
    found = _readiness.lets_callers_go(is_out_of_rotation, no_caller_s)
    assert found is expected


@pytest.mark.parametrize(
    ("silence_s", "usual_pause_s", "expected"),
    [
        (0.04, 0.01, False),
        (0.05, 0.01, True),
        # Its next request may follow right after one of its usual pauses.
        (0.05, 0.049, False),
        (0.15, 0.049, True),
        # Its pauses tell nothing of the next moment.
        (0.49, 60.0, False),
        (0.5, 60.0, True),
        # It has just connected, so that its first request is on the way.
        (0.05, None, False),
        (0.5, None, True),
    ],
)
def test_an_idle_caller_is_kept_while_a_request_may_be_on_the_way(
    silence_s, usual_pause_s, expected
):
    found = _readiness.may_close_idle(silence_s, usual_pause_s)
    assert found is expected


@pytest.mark.parametrize(
    ("before_s", "pause_s", "expected"),
    [(0.0, 0.02, 0.02), (0.02, 0.05, 0.05), (0.05, 0.0, 0.045)],
)
def test_a_usual_pause_is_a_long_recent_one(before_s, pause_s, expected):
    found = _readiness.usual_pause_s(before_s, pause_s)
    assert found == pytest.approx(expected)


@pytest.mark.parametrize(
    ("pause_s", "expected"), [(0.0, False), (0.004, False), (0.005, True)]
)
def test_a_caller_without_pauses_gets_no_end_with_its_answer(pause_s, expected):
    assert _readiness.may_close_with_answer(pause_s) is expected
