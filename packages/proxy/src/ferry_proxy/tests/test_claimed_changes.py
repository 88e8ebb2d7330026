"""Changes of primary that are under way according to the store, by table."""

import attrs
import pytest

from ferry_proxy import _claimed_changes
from ferry_proxy import _members
from ferry_proxy import _policy
from ferry_proxy import _records
from ferry_proxy.tests import fakes

POLICY = _policy.Policy()
ORDER = _records.PromotionOrder("c", 7, 1)
HELD = _records.Claim("n1", 7)
DONE = _records.Claim("n1", 7, done=True)


@pytest.mark.parametrize(
    ("claim", "order", "leader", "age_s", "expected"),
    [
        (None, None, "a", 0.0, False),
        (HELD, None, "a", 0.0, True),
        (HELD, None, "", 0.0, True),
        (HELD, None, "a", POLICY.claim_takeover_s - 0.1, True),
        (HELD, None, "a", POLICY.claim_takeover_s, False),
        (DONE, None, "a", 0.0, False),
        (DONE, ORDER, "a", 15.9, True),
        (DONE, ORDER, "a", 16.0, False),
        (DONE, ORDER, "c", 0.0, False),
        (HELD, ORDER, "c", 0.0, False),
        (HELD, ORDER, "", 0.0, True),
        (None, ORDER, "a", 1.0, True),
    ],
)
def test_a_change_is_under_way_until_its_outcome_is_known(
    claim, order, leader, age_s, expected
):
    held = None
    if claim is not None:
        claim = attrs.evolve(claim, order=order)
        held = _records.HeldClaim(claim, fakes.at(1), 100.0)
    recorded = _records.RecordedOrder(order, 100.0) if order else None
    change = _claimed_changes.claimed_change(held, recorded, POLICY)
    known = _members.Leader(leader, 1) if leader else None
    assert change.is_under_way(known, 100.0 + age_s) is expected
