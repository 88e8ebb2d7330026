"""Records in the store whose values are out of range."""

import json

import pytest

from ferry_proxy import _departure_records
from ferry_proxy import _records
from ferry_proxy import _voter_records

HUGE = 10**400
HALF_A_PAIR = "\ud800"
NODE = {"host": "10.1.0.8", "port": 7440, "data_centre": "hall-a"}
ORDER = {"member": "i-1", "token": 4, "term": 2, "attempts": 1}
LEASE = {"holder": "n", "token": 4, "answered_ms": 600}
CLAIM = {"holder": "n", "token": 4, "done": False}
ROW = {
    "id": "i-1",
    "born": 1,
    "host": "10.128.0.9",
    "port": 8080,
    "data_centre": "hall-a",
    "slots": 5,
    "draining": False,
    "ended": False,
    "revision": [0, 1],
}


def decode_node(change):
    return _records.NodeEntry.decode("n", dump({**NODE, **change}))


def decode_claim(change):
    return _records.Claim.decode("orders", dump({**CLAIM, **change}))


def decode_order(change):
    return decode_claim({"order": {**ORDER, **change}})


def decode_lease(change):
    return decode_claim({"lease": {**LEASE, **change}})


def decode_departure(change):
    document = {"departures": [{**ROW, **change}]}
    return _departure_records.decode("orders", dump(document))


def decode_voter(change):
    return _voter_records.decode(
        "orders", dump({"voters": [{**ROW, **change}]})
    )


def dump(document):
    return json.dumps(document).encode()


# Guards against numbers that end a calculation with an OverflowError, and
# against values that no message between nodes can carry.
@pytest.mark.parametrize(
    ("decode", "field", "value"),
    [
        (decode_node, "cores", HUGE),
        (decode_node, "link_mbps", HUGE),
        (decode_node, "host", HALF_A_PAIR),
        (decode_node, "data_centre", HALF_A_PAIR),
        (decode_claim, "token", HUGE),
        (decode_claim, "holder", HALF_A_PAIR),
        (decode_order, "term", HUGE),
        (decode_order, "member", HALF_A_PAIR),
        (decode_lease, "answered_ms", HUGE),
        (decode_lease, "holder", HALF_A_PAIR),
        (decode_departure, "born", HUGE),
        (decode_departure, "slots", HUGE),
        (decode_departure, "revision", [0, HUGE]),
        (decode_voter, "id", HALF_A_PAIR),
        (decode_voter, "host", HALF_A_PAIR),
    ],
    ids=lambda v: getattr(v, "__name__", repr(v))[:20],
)
def test_a_record_with_a_value_out_of_range_is_refused(decode, field, value):
    assert decode({})
    with pytest.raises(_records.InvalidItemError):
        decode({field: value})
