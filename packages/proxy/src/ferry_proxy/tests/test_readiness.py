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
