"""Bytes that a changed configuration takes between two nodes.

Whole documents travel, compressed: what differs alone would take some hundred
bytes at any size.
"""

import json

import pytest

from ferry_proxy import _catalogue
from ferry_proxy import _peer_messages
from ferry_proxy import _store
from ferry_proxy.tests import fakes

LINK_BYTES_PER_S = 10e6 / 8  # The narrowest links of 10 Mbit/s.
BOUND_S = 6.0  # In which a configuration must be in force.
COPIES = 9  # One reader of three sends so many in a data centre of 30 nodes.


def document(routes: int) -> bytes:
    """Returns a configuration of so many routes, none like another."""
    rows = [
        {
            "name": f"r-{number * 7919 % 104_729:x}",
            "database": f"db{number * 6007 % 99_991:x}",
            "type": ("primary", "bounded", "session")[number % 3],
            "timeoutMs": 1000 + number % 7 * 250,
            "targetLatencyMs": 200 + number % 5 * 50,
            "priority": number % 4,
            "service": f"service-{number % 4}",
        }
        for number in range(routes)
    ]
    return json.dumps({"version": 1, "routes": rows}).encode()


def sent(routes: int) -> int:
    """Returns the bytes of a copy that holds a changed configuration."""
    revision = fakes.at(7)
    item = _store.Item("config", document(routes), revision)
    batch = _catalogue.Batch((item,), revision, revision, False)
    return len(_peer_messages.encode(1, _peer_messages.SyncReply.of(batch)))


@pytest.mark.parametrize(
    ("routes", "most"),
    [(30, 1_000), (1_400, 30_000), (10_000, 200_000)],
)
def test_bytes_of_a_change(routes, most):
    assert sent(routes) <= most


@pytest.mark.parametrize("routes", [1_400, 2_000])
def test_copies_for_a_data_centre_pass_a_narrow_link_in_time(routes):
    seconds = COPIES * sent(routes) / LINK_BYTES_PER_S
    assert seconds <= BOUND_S / 2
