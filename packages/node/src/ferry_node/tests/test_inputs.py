"""Tests the parsers of external input: settings, callers, endpoints, peers.

Any input has to give a valid value or a typed error.
"""

import attrs
import ferry_decisions as decisions
import hypothesis
from hypothesis import strategies as st
import pytest

import ferry_node as node
from ferry_node import _batches
from ferry_node import _codec
from ferry_node import _messages
from ferry_node import _probes
from ferry_node import _wire

DETERMINISTIC = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)

VALID_SETTINGS = """{
  // A comment, and a trailing comma.
  "node": "hall-a-1", "data_centre": "hall-a", "host": "127.0.0.1",
  "store_url": "http://127.0.0.1:1", "vm_list_url": "http://127.0.0.1:2",
  "policy": {"probe_s": 0.5, "silence_s": 2},
}"""


def test_settings_with_comments():
    cfg = node.settings_from_text(VALID_SETTINGS)
    assert cfg.policy.silence_s == 2.0
    assert cfg.endpoints.driver == "standin"


@pytest.mark.parametrize(
    ("name", "old", "new", "paths"),
    [
        ("unknown key", '"node"', '"nodes": 1, "node"', ["settings"]),
        ("bad host", "127.0.0.1", "localhost", ["settings"]),
        ("wrong type", '"hall-a-1"', "5", ["settings.node"]),
        ("nested", "0.5", '"x"', ["settings.policy.probe_s"]),
        ("silence below probe", "2}", "0.2}", ["settings.policy"]),
    ],
)
def test_mistakes_in_settings_have_paths(name, old, new, paths):
    with pytest.raises(decisions.InvalidDocumentError) as found:
        node.settings_from_text(VALID_SETTINGS.replace(old, new, 1))
    found_paths = [getattr(e, "path", "") for e in found.value.exceptions]
    assert found_paths == paths, name


def test_every_mistake_is_reported():
    text = VALID_SETTINGS.replace('"hall-a-1"', "5").replace("0.5", '"x"')
    with pytest.raises(decisions.InvalidDocumentError) as found:
        node.settings_from_text(text)
    assert len(found.value.exceptions) == 2


@DETERMINISTIC
@hypothesis.given(st.text())
def test_any_text_is_settings_or_a_typed_error(text):
    try:
        node.settings_from_text(text)
    except (node.SettingsUnreadableError, decisions.InvalidDocumentError):
        return


@DETERMINISTIC
@hypothesis.given(st.lists(st.binary(max_size=60), max_size=6))
def test_any_caller_bytes_are_messages_or_a_typed_error(chunks):
    for ready in (False, True):
        decoder = _wire.CallerDecoder()
        reader = _batches.BatchReader()
        if ready:
            decoder.expect_statements()
        try:
            for chunk in chunks:
                for msg in decoder.feed(chunk):
                    if ready:
                        reader.add(msg)
        except (_wire.MalformedMessageError, decisions.RequestFailedError):
            continue


@DETERMINISTIC
@hypothesis.given(st.lists(st.binary(max_size=60), max_size=6))
def test_any_endpoint_bytes_are_frames_or_a_typed_error(chunks):
    splitter = _wire.FrameSplitter()
    try:
        frames = [f for chunk in chunks for f in splitter.feed(chunk)]
    except _wire.MalformedMessageError:
        return
    whole = b"".join(chunks)
    assert whole.startswith(b"".join(f.data for f in frames))


@DETERMINISTIC
@hypothesis.given(st.lists(st.binary(max_size=80), max_size=6))
def test_any_peer_bytes_are_messages_or_a_typed_error(chunks):
    decoder = _codec.MessageDecoder()
    try:
        for chunk in chunks:
            list(decoder.feed(chunk))
    except _codec.PeerProtocolError:
        return


@DETERMINISTIC
@hypothesis.given(st.binary(max_size=120))
def test_any_datagram_is_a_probe_or_a_typed_error(data):
    try:
        _probes.decode_probe(data)
    except _probes.MalformedProbeError:
        return


EXECUTE = _messages.ExecuteRequest(
    customer="c",
    database="d",
    member="m",
    as_primary=True,
    read=False,
    begin=False,
    may_end=True,
    channel=0,
    floor="1:2",
    staleness_s=0.5,
    budget_s=1.0,
    idempotency_key="",
    session="s@c",
    cancel_key=7,
    payload=b"\x00\xff",
)


@pytest.mark.parametrize(
    "message",
    [
        EXECUTE,
        _messages.Hello("n", "dc"),
        _messages.ExecuteReply(data=b"x", channel=4),
        _messages.OpinionReply(True, ["hall-a"]),
        _messages.SyncReply(True, [["k", b"v", 2, 3]], {"k": [2, 3, 5, 1]}),
        _messages.VmsPush([], ["n1"]),
    ],
    ids=lambda m: type(m).__name__,
)
def test_message_round_trip_in_any_cut(message):
    data = _codec.encode(7, message)
    for cut in range(len(data)):
        decoder = _codec.MessageDecoder()
        found = [*decoder.feed(data[:cut]), *decoder.feed(data[cut:])]
        assert found == [_codec.Envelope(7, message)]


@pytest.mark.parametrize(
    ("name", "row"),
    [
        ("version", [9, 1, 0, "n", "dc"]),
        ("unknown code", [1, 99, 0]),
        ("too few fields", [1, 1, 0, "n"]),
        ("wrong type", [1, 1, 0, 5, "dc"]),
        ("no array", 7),
    ],
)
def test_wrong_message_is_a_typed_error(name, row):
    import msgpack

    decoder = _codec.MessageDecoder()
    with pytest.raises(_codec.PeerProtocolError):
        list(decoder.feed(msgpack.packb(row)))
    assert name


def node_named(name):
    return decisions.Node(name, "dc", "127.0.0.1", 1, 2)


@pytest.mark.parametrize(
    "message",
    [
        decisions.Probe(
            1,
            node_named("a"),
            (decisions.Update(node_named("b"), 2, decisions.Health.SUSPECT),),
        ),
        decisions.Ack(1, node_named("a"), 3, ()),
        decisions.IndirectProbe(1, node_named("a"), node_named("b"), ()),
    ],
    ids=lambda m: type(m).__name__,
)
def test_probe_round_trip(message):
    assert _probes.decode_probe(_probes.encode_probe(message)) == message


def batch_of(*messages):
    reader = _batches.BatchReader()
    found = [reader.add(m) for m in messages]
    return found[-1]


def test_named_statement_is_sent_again_and_hidden():
    reader = _batches.BatchReader()
    parse = _wire.Parse(statement="s1", query="SELECT 1", param_types=[])
    first = [reader.add(parse), reader.add(_wire.Sync())][-1]
    assert first is not None and first.hidden == frozenset()
    bind = _wire.Bind(portal="", statement="s1")
    execute = _wire.Execute(portal="", max_rows=0)
    taken = [reader.add(m) for m in (bind, execute, _wire.Sync())]
    second = taken[-1]
    assert second is not None
    assert second.hidden == frozenset({0})
    assert second.is_read


def test_settings_are_immutable():
    cfg = node.settings_from_text(VALID_SETTINGS)
    with pytest.raises(attrs.exceptions.FrozenInstanceError):
        cfg.node = "other"  # type: ignore[misc]
