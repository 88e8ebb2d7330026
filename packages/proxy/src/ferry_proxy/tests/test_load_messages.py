"""The wire format of loads, and that of builds without them."""

import attrs
import msgpack

from ferry_proxy import _forward_messages
from ferry_proxy import _peer_messages
from ferry_proxy.placement import _load_reports
from ferry_proxy.queueing import _demand_messages

REPLY = _forward_messages.RunReply(
    "idle", [], "", "", "", 0, -1, "a", False, 1, 0.0
)


def _fields(message) -> list[object]:
    fields: list[object] = msgpack.unpackb(_peer_messages.encode(1, message))
    return fields


def _decode(fields: list[object]) -> object:
    data = msgpack.packb(fields)
    return _peer_messages.Decoder().feed(data)[0].body


def test_a_reply_without_a_load_has_only_the_fields_of_older_builds():
    assert len(_fields(REPLY)) <= 2 + 12
    assert _decode(_fields(REPLY)) == REPLY


def test_a_reply_with_a_load_is_understood():
    reply = attrs.evolve(REPLY, load=[1, 2, 3, 4, 5, 6, 7])
    assert _decode(_fields(reply)) == reply


def test_fields_that_are_missing_have_their_defaults():
    fields = ["ran", 1, "idle", [], "", "", "", 0, -1, "a", False, 1, 0.0]
    assert _decode(fields) == REPLY


def test_fields_of_newer_builds_are_ignored():
    reply = attrs.evolve(REPLY, load=[1])
    assert _decode([*_fields(reply), False, "new", 7]) == reply


def test_sizes_of_loads_and_demands():
    """Bounds the bytes that docs/CAPACITY.md reckons with."""
    idle = attrs.evolve(REPLY, load=_load_reports.IDLE.encode())
    busy_load = _load_reports.Load(0.003, (0.02, 0.05, 0.12), (0.01, 0.1, 0.3))
    busy = attrs.evolve(REPLY, load=busy_load.encode())
    plain = len(_peer_messages.encode(1, REPLY))
    assert len(_peer_messages.encode(1, idle)) - plain <= 2
    assert len(_peer_messages.encode(1, busy)) - plain <= 23
    members = {f"i-{n:010x}": (12, 340) for n in range(3)}
    one = _demand_messages.DemandReport({"plate-orders-1": members})
    assert len(_peer_messages.encode(0, one)) <= 90
