"""Items of the store whose decoding fails with an unexpected error."""

import json

import pytest

from ferry_proxy import _catalogue
from ferry_proxy import _configuration
from ferry_proxy import _departure_records
from ferry_proxy import _members
from ferry_proxy import _records
from ferry_proxy import _voter_records
from ferry_proxy.tests import test_followers

BAD = b"fails"
NODE = json.dumps({"host": "10.1.0.8", "port": 7440}).encode()


def decode_member(member: str, value: bytes) -> _members.Member:
    if value == BAD:
        raise ZeroDivisionError(member)
    return _members.Member(member, "orders", "h", 1, "hall-a", 5)


def decode_configuration(value: bytes) -> _configuration.Configuration:
    if value == BAD:
        raise ZeroDivisionError("configuration")
    return _configuration.Configuration(int(value), {}, {}, 3.0, 1 << 20)


class FailingLab(test_followers.Lab):
    """A lab whose decoders fail for some values with an unexpected error."""

    layout = _catalogue.Layout(
        "config", "members/", decode_configuration, decode_member
    )


@pytest.fixture
def lab(monkeypatch):
    def fail(*_):
        raise ZeroDivisionError("record")

    for decoder in (_records.Claim, _records.NodeEntry):
        decode = decoder.decode
        monkeypatch.setattr(
            decoder,
            "decode",
            lambda n, v, d=decode: fail() if v == BAD else d(n, v),
        )
    for records in (_departure_records, _voter_records):
        monkeypatch.setattr(records, "decode", fail)
    return FailingLab()


KEYS = [
    "config",
    "members/i-9",
    _records.NODE_PREFIX + "n9",
    _records.claim_key(0, "orders"),
    _records.group_key(_records.DEPARTURE_PREFIX, 0, "orders"),
    _records.group_key(_records.VOTER_PREFIX, 0, "orders"),
]


# Guards against one item that ends the following of the store at all nodes.
@pytest.mark.parametrize("key", KEYS)
def test_all_nodes_apply_what_follows_an_item_that_fails(lab, key, caplog):
    lab.store.put(key, BAD)
    lab.clock.advance(1.0)
    lab.store.put("members/i-1", b"good")
    lab.store.put("config", b"8")
    lab.clock.advance(2.0)
    for node in (lab.reader, lab.other):
        assert "i-1" in node.copy.members
        assert node.copy.version == 8
        assert node.copy.refused == 1
    assert "ZeroDivisionError" in caplog.text


# Guards against nodes that cannot start while such an item is stored.
@pytest.mark.parametrize("key", KEYS)
def test_a_node_that_starts_beside_an_item_that_fails_reads_the_others(
    lab, key
):
    lab.store.put(key, BAD)
    lab.store.put("members/i-1", b"good")
    started = test_followers.Node(lab, "n10")
    lab.clock.advance(1.0)
    assert started.copy.is_read
    assert "i-1" in started.copy.members


# Guards against parts that miss a change because another part fails.
def test_a_callback_that_fails_keeps_no_change_from_others(lab, caplog):
    copy = lab.reader.copy
    heard = []

    def fail():
        raise ZeroDivisionError("callback")

    copy.on_change.insert(0, fail)
    copy.on_change.append(lambda: heard.append(copy.version))
    lab.store.put("config", b"9")
    lab.clock.advance(1.0)
    assert heard[-1] == 9
    lab.store.put("config", b"10")
    lab.clock.advance(1.0)
    assert heard[-1] == 10
    assert "change_callback_failed" in caplog.text


# Guards against nodes that stop following the store for an unexpected error.
@pytest.mark.parametrize("method", ["changes", "list"])
def test_a_node_follows_the_store_again_after_an_error(
    lab, method, monkeypatch
):
    reader = lab.reader
    answer = getattr(lab.store, method)
    failures = iter(range(3))

    def fail_at_first(*args):
        if next(failures, None) is not None:
            raise ZeroDivisionError(method)
        return answer(*args)

    monkeypatch.setattr(lab.store, method, fail_at_first, raising=False)
    if method == "list":
        reader = test_followers.Node(lab, "n10")
    lab.store.put("config", b"11")
    lab.clock.advance(3.0)
    lab.store.put("config", b"12")
    lab.clock.advance(1.0)
    assert reader.copy.version == 12
    assert reader.follower.restarts == 3


# Guards against a copy that is fetched without a pause, as its merge fails.
def test_a_peer_whose_copy_cannot_be_merged_is_asked_after_pauses(
    lab, monkeypatch
):
    def fail(*_):
        raise ZeroDivisionError("merge")

    monkeypatch.setattr(lab.other.copy, "merge_batch", fail)
    lab.other.store.rejects_calls = True
    lab.store.put("config", b"13")
    lab.stream.calls = 0
    lab.clock.advance(10.0)
    assert 1 <= lab.stream.calls <= 15
