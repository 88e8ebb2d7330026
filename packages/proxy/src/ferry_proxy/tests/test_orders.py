"""Decisions on promotion orders that may be executed late, by table."""

import json

import ferry_decisions as decisions
import pytest

from ferry_proxy import _members
from ferry_proxy import _orders
from ferry_proxy import _records
from ferry_proxy import _store
from ferry_proxy import _stored_claims
from ferry_proxy.tests import fakes

ORDER = _records.PromotionOrder("c", 7, 1)
REPEATED = _records.PromotionOrder("c", 7, 1, attempts=2)


def reports(**received):
    return {
        name: _members.Report(
            _members.Role.REPLICA, 1, decisions.Position(1, index), 2, 0.0
        )
        for name, index in received.items()
    }


@pytest.mark.parametrize(
    ("received", "order", "expected"),
    [
        ({"b": 5, "c": 5}, None, "c"),
        ({"b": 6, "c": 5}, None, "b"),
        ({"b": 5, "c": 5}, _records.PromotionOrder("b", 7, 1), "b"),
        ({"b": 6, "c": 5}, _records.PromotionOrder("c", 7, 1), None),
        ({"b": 5, "c": 6}, _records.PromotionOrder("c", 7, 1), "c"),
        ({"b": 5}, _records.PromotionOrder("c", 7, 1), None),
    ],
)
def test_the_member_that_was_ordered_before_is_promoted(
    received, order, expected
):
    chosen = _orders.choose_successor(reports(**received), {}, order)
    assert chosen == expected


@pytest.mark.parametrize(
    ("order", "leader", "term", "expected"),
    [
        (ORDER, "c", 2, True),
        (ORDER, "c", 1, False),
        (ORDER, "a", 2, False),
        (REPEATED, "c", 2, False),
    ],
)
def test_an_order_is_over_once_its_member_leads(order, leader, term, expected):
    assert _orders.has_taken_effect(order, leader, term) is expected
    recorded = _records.RecordedOrder(order, 0.0)
    pending = _orders.pending(recorded, 1.0, leader, term)
    assert (pending is None) is expected


@pytest.mark.parametrize(
    ("age_s", "expected"),
    [(0.0, ORDER), (15.9, ORDER), (16.0, None)],
)
def test_an_order_counts_for_a_limited_time(age_s, expected):
    recorded = _records.RecordedOrder(ORDER, 100.0)
    assert _orders.pending(recorded, 100.0 + age_s, "a", 1) == expected


@pytest.mark.parametrize(
    ("order", "old_primary", "listed", "expected"),
    [
        (None, "a", "abc", False),
        (ORDER, "a", "abc", False),
        (ORDER, "c", "abc", True),
        (ORDER, "a", "ab", True),
    ],
)
def test_no_change_begins_that_can_promote_nobody(
    order, old_primary, listed, expected
):
    prevented = _orders.prevents_change(order, old_primary, listed)
    assert prevented is expected


@pytest.mark.parametrize(
    ("member", "before", "attempts"),
    [("c", None, 1), ("c", ORDER, 2), ("c", REPEATED, 3), ("b", ORDER, 1)],
)
def test_repeats_are_counted(member, before, attempts):
    order = _orders.next_order(member, 8, 3, before)
    assert order == _records.PromotionOrder(member, 8, 3, attempts)


@pytest.mark.parametrize("order", [None, ORDER, REPEATED])
def test_a_claim_keeps_its_order(order):
    claim = _records.Claim("n1", 7, order=order)
    assert _records.Claim.decode("orders", claim.encode()) == claim


def test_a_claim_of_an_older_version_has_no_order():
    value = b'{"holder": "n1", "token": 7, "done": false}'
    assert _records.Claim.decode("orders", value).order is None


@pytest.mark.parametrize(
    "order",
    [
        "c",
        [],
        {},
        {"member": "", "token": 1, "term": 1, "attempts": 1},
        {"member": 3, "token": 1, "term": 1, "attempts": 1},
        {"member": "c", "token": True, "term": 1, "attempts": 1},
        {"member": "c", "token": 1, "term": -1, "attempts": 1},
        {"member": "c", "token": 1, "term": 1},
        {"member": "c", "token": 1, "term": 1, "attempts": 1.5},
    ],
)
def test_a_malformed_order_is_refused(order):
    value = {"holder": "n1", "token": 7, "done": False, "order": order}
    with pytest.raises(_records.InvalidItemError):
        _records.Claim.decode("orders", json.dumps(value).encode())


def stored(number, order, era=0, token=7):
    key = _records.claim_key(era, "orders")
    claim = _records.Claim("n1", token, order=order)
    return _store.Item(key, claim.encode(), fakes.at(number, era))


def test_the_age_of_an_order_counts_from_its_first_record():
    """Later claims, and their release, carry the order on."""
    known = _stored_claims.StoredClaims()
    known.apply(stored(1, ORDER), era=0, now=10.0)
    known.apply(stored(2, ORDER, token=8), era=0, now=12.0)
    assert known.orders["orders"] == _records.RecordedOrder(ORDER, 10.0)
    known.apply(stored(3, REPEATED), era=0, now=13.0)
    assert known.orders["orders"].seen_at == 13.0
    known.apply(stored(4, None), era=0, now=14.0)
    assert known.orders == {}


def test_an_order_outlives_a_restore_of_the_store():
    known = _stored_claims.StoredClaims()
    known.apply(stored(1, ORDER), era=0, now=10.0)
    known.begin_era()
    assert known.claims == {}
    known.apply(stored(1, None, era=1), era=1, now=11.0)
    assert known.orders["orders"].order == ORDER
