"""Signs of life between nodes, over streams without a network."""

import random
import typing

import attrs
import ferry_decisions as decisions
import pytest

from ferry_proxy import _forwarder
from ferry_proxy import _mesh
from ferry_proxy import _peer_messages
from ferry_proxy import _peers
from ferry_proxy import _records

GROUPS = [f"group{n}" for n in range(10)]
CALM = _peer_messages.Ping(0, 17, 3, 0.5, GROUPS, [])


class FakeLoop:
    """Time that the test sets."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


class FakeStream:
    """One end of a pair: what it sends arrives at the other at once."""

    def __init__(self) -> None:
        self.closed = False
        self.is_opening = False
        self.sent: list[bytes] = []
        self.other: FakeStream | None = None

    def on_data(self, data: bytes) -> None:
        """Is replaced by the stream's owner."""

    def send(self, data: bytes) -> None:
        self.sent.append(data)
        if self.other is not None:
            self.other.on_data(data)

    def keep_alive(self, timeout_ms: int) -> None:
        pass

    def close(self) -> None:
        self.closed = True


@attrs.define
class FakeMessageHandler(_peers.NullMessageHandler):
    """Describes its node as the test says."""

    ping: _peer_messages.Ping = CALM
    reply: typing.Any = None

    def describe(self) -> _peer_messages.Ping:
        return self.ping

    def answer(self, stream, body):
        return self.reply


class Pair:
    """Two nodes with a stream between them; `sender` tells of itself."""

    def __init__(self, timers: typing.Any = None) -> None:
        self.loop = timers or typing.cast(typing.Any, FakeLoop())
        self.desk = FakeMessageHandler()
        far = typing.cast(typing.Any, FakeStream())
        self.raw = typing.cast(typing.Any, FakeStream())
        self.raw.other, far.other = far, self.raw
        self.named: list[str] = []
        self.receiver = _peers.PeerStream(
            self.loop, far, "b", _peers.NullMessageHandler(), self._note
        )
        self.sender = _peers.PeerStream(
            self.loop, self.raw, "a", self.desk, lambda: None
        )

    def _note(self) -> None:
        self.named.append(self.receiver.peer)

    def tick(self, **changes) -> bytes:
        """Lets the sender show life after half a second; returns the bytes."""
        self.loop.time += 0.5
        self.desk.ping = attrs.evolve(self.desk.ping, **changes)
        self.sender.tick(_peers.EncodedPing.of(self.desk.ping))
        return bytes(self.raw.sent[-1])

    @property
    def seen(self) -> tuple[object, ...]:
        peer = self.receiver
        age_s = round(self.loop.time - peer.store_seen, 3)
        return peer.covered, peer.version, peer.services, peer.missed, age_s


@pytest.mark.parametrize(
    "changes",
    [
        {"covered": 18},
        {"era": 1, "covered": 2},
        {"version": 4},
        {"services": []},
        {"missed": ["group3"]},
        {"store_age_s": 2.25},
        {"covered": 19, "store_age_s": 0.0},
    ],
)
def test_a_peer_learns_of_each_change(changes):
    pair = Pair()
    pair.tick()
    pair.tick(**changes)
    ping = pair.desk.ping
    expected = (
        ping.newest,
        ping.version,
        frozenset(ping.services),
        frozenset(ping.missed),
    )
    assert pair.seen == (*expected, ping.store_age_s)
    pair.tick()
    assert pair.seen == (*expected, ping.store_age_s)


def test_pings_of_calm_nodes_are_short():
    """89 bytes each before, 10 since."""
    pair = Pair()
    assert len(_peer_messages.encode(0, CALM)) > 80
    assert all(len(pair.tick()) <= 10 for _ in range(5))


def test_a_node_that_never_heard_of_the_store_says_so():
    pair = Pair()
    pair.tick(store_age_s=-1.0)
    seen = pair.receiver.store_seen
    pair.tick()
    assert pair.receiver.store_seen == seen


def test_a_peer_that_waits_for_an_answer_is_shown_life():
    """Whatever the statement takes, its node is not taken for gone."""
    timers = decisions.VirtualTimers()
    pair = Pair(timers)
    answer: decisions.Future[_peer_messages.Message] = decisions.Future()
    pair.desk.reply = answer
    ticker = decisions.Ticker(timers, 0.1)
    mesh = _mesh.Mesh(pair.loop, _records.NodeEntry("a", "h", 1))
    mesh._desk = pair.desk
    pair.sender.peer = "b"
    mesh._in.append(pair.sender)
    ticker.subscribe(_mesh.OWING_PING_S, mesh._show_life)
    pulse = _peers.EncodedPing.of(CALM)
    ticker.subscribe(_mesh.PING_S, lambda: pair.receiver.tick(pulse))
    pair.receiver.call(_peer_messages.SyncRequest(0, 0, 0))
    for _ in range(40):
        timers.advance(0.05)
        assert pair.receiver.unresponsive_s < _forwarder.SILENT_PEER_S
    answer.set_result(_peer_messages.OpinionReply(1.0))
    sent = len(pair.raw.sent)
    timers.advance(1.0)
    assert pair.receiver.pending_calls == 0
    assert len(pair.raw.sent) == sent


def test_a_silent_stream_ends_and_tells_so():
    pair = Pair()
    assert pair.named == ["a"]
    fut = pair.receiver.call(_peer_messages.SyncRequest(0, 0, 0))
    pair.loop.time += _peers.SILENT_S + 0.1
    pair.receiver.tick(_peers.EncodedPing.of(CALM))
    assert pair.receiver.closed
    assert len(pair.named) == 2
    assert isinstance(fut.exception(), _peers.PeerLostError)
    assert isinstance(fut, decisions.Future)


@pytest.mark.parametrize("size", [7, 75, 195, 410])
def test_news_pass_the_fleet_though_half_of_it_is_gone(size):
    """In six hops. With steps of 3 a node was alone in 16 of 100 draws."""
    names = [f"n{n:04}" for n in range(size)]
    peers: dict[str, set[str]] = {n: set() for n in names}
    for name in names:
        for other in _mesh.neighbours(name, names):
            peers[name].add(other)
            peers[other].add(name)
    for seed in range(100):
        left = set(random.Random(seed).sample(names, size // 2 + 1))
        heard = {min(left)}
        for _ in range(6):
            heard |= {p for n in heard for p in peers[n] & left}
        assert heard == left
