"""The number of bytes that a changed configuration takes between two nodes.

The whole document is sent, compressed. A difference alone would take some
hundred bytes whatever the size of the document.
"""

import json

import pytest

from ferry_proxy import _catalogue
from ferry_proxy import _peer_messages
from ferry_proxy import _store
from ferry_proxy.tests import fakes

# The narrowest links carry 10 Mbit/s.
LINK_BYTES_PER_S = 10e6 / 8

# The time within which a configuration has to take effect.
BOUND_S = 6.0

# How many copies each of the three nodes that watch the store sends in a data
# centre of 30 nodes.
COPIES = 9


def document(routes: int) -> bytes:
    """Returns a configuration of this many routes, all different."""
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


def sync_reply_bytes(routes: int) -> int:
    """Returns the size of a reply that contains a changed configuration."""
    revision = fakes.at(7)
    item = _store.Item("config", document(routes), revision)
    batch = _catalogue.Batch((item,), revision, revision, False)
    return len(_peer_messages.encode(1, _peer_messages.SyncReply.of(batch)))


@pytest.mark.parametrize(
    ("routes", "max_bytes"),
    [(30, 1_000), (1_400, 30_000), (10_000, 200_000)],
)
def test_bytes_of_a_change(routes, max_bytes):
    assert sync_reply_bytes(routes) <= max_bytes


@pytest.mark.parametrize("routes", [1_400, 2_000])
def test_copies_for_a_data_centre_pass_a_narrow_link_in_time(routes):
    seconds = COPIES * sync_reply_bytes(routes) / LINK_BYTES_PER_S
    assert seconds <= BOUND_S / 2
