"""When a node wants new sessions."""

import attrs
import pytest

from ferry_proxy import _readiness

WELL = _readiness.ReadinessInputs(
    is_stopping=False,
    has_configuration=True,
    awaits_peers=False,
    is_cut_off=False,
    knows_primary=True,
)
WHY = _readiness.Unready


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, None),
        ({"is_stopping": True}, WHY.STOPPING),
        ({"has_configuration": False}, WHY.NO_CONFIGURATION),
        ({"awaits_peers": True}, WHY.AWAITING_PEERS),
        ({"is_cut_off": True}, WHY.CUT_OFF),
        ({"knows_primary": False}, WHY.NO_PRIMARY),
        ({"is_stopping": True, "is_cut_off": True}, WHY.STOPPING),
        ({"awaits_peers": True, "knows_primary": False}, WHY.AWAITING_PEERS),
    ],
)
def test_why_a_node_wants_no_sessions(changes, expected):
    standing = attrs.evolve(WELL, **changes)
    assert _readiness.unready_reason(standing) is expected
