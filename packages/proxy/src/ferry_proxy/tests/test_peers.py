"""Pings between nodes, over streams without a network."""

import random
import typing

import attrs
import ferry_decisions as decisions
import pytest

from ferry_proxy import _forwarder
from ferry_proxy import _mesh
from ferry_proxy import _opinion_messages
from ferry_proxy import _peer_messages
from ferry_proxy import _peers
from ferry_proxy import _ping_echoes
from ferry_proxy import _records

GROUPS = [f"group{n}" for n in range(10)]
IDLE_PING = _peer_messages.Ping(0, 17, 3, 0.5, GROUPS, [])


class FakeLoop:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time

    def boot_now(self) -> float:
        return self.time


class FakeStream:
    """One end of a pair; what it sends arrives at the other end at once."""

    def __init__(self) -> None:
        self.closed = False
        self.is_opening = False
        self.sent: list[bytes] = []
        self.other: FakeStream | None = None

    def on_data(self, data: bytes) -> None:
        """Does nothing; the stream's owner replaces it."""

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
    """Describes its node and replies as the test says."""

    ping: _peer_messages.Ping = IDLE_PING
    reply: typing.Any = None

    def describe(self) -> _peer_messages.Ping:
        return self.ping

    def answer(self, stream, body):
        return self.reply


class Pair:
    """Two nodes with a stream between them; `sender` sends the pings."""

    def __init__(self, timers: typing.Any = None) -> None:
        self.loop = timers or typing.cast(typing.Any, FakeLoop())
        self.handler = FakeMessageHandler()
        far = typing.cast(typing.Any, FakeStream())
        self.raw = typing.cast(typing.Any, FakeStream())
        self.raw.other, far.other = far, self.raw
        self.names_seen: list[str] = []
        self.receiver = _peers.PeerStream(
            self.loop, far, "b", _peers.NullMessageHandler(), self._record_name
        )
        self.sender = _peers.PeerStream(
            self.loop, self.raw, "a", self.handler, lambda: None
        )

    def _record_name(self) -> None:
        self.names_seen.append(self.receiver.peer)

    def tick(self, **changes) -> bytes:
        """Sends a ping half a second later and returns its bytes."""
        self.loop.time += 0.5
        self.handler.ping = attrs.evolve(self.handler.ping, **changes)
        self.sender.tick(self.handler.ping)
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
    ping = pair.handler.ping
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
    """Unchanged state takes 10 bytes for each ping; full pings took 89."""
    pair = Pair()
    assert len(_peer_messages.encode(0, IDLE_PING)) > 80
    assert all(len(pair.tick()) <= 10 for _ in range(5))


def test_a_node_that_never_heard_of_the_store_says_so():
    pair = Pair()
    pair.tick(store_age_s=-1.0)
    seen = pair.receiver.store_seen
    pair.tick()
    assert pair.receiver.store_seen == seen


def test_a_peer_that_waits_for_an_answer_is_shown_life():
    """A node that works on a long statement is not taken for lost."""
    timers = decisions.VirtualTimers()
    pair = Pair(timers)
    answer: decisions.Future[_peer_messages.Message] = decisions.Future()
    pair.handler.reply = answer
    ticker = decisions.Ticker(timers, 0.1)
    mesh = _mesh.Mesh(pair.loop, _records.NodeEntry("a", "h", 1))
    mesh._handler = pair.handler
    pair.sender.peer = "b"
    mesh._inbound.append(pair.sender)
    ticker.subscribe(_mesh.PENDING_REPLY_PING_S, mesh._ping_waiting_peers)
    ticker.subscribe(_mesh.PING_S, lambda: pair.receiver.tick(IDLE_PING))
    pair.receiver.call(_peer_messages.SyncRequest(0, 0, 0))
    for _ in range(40):
        timers.advance(0.05)
        assert pair.receiver.unresponsive_s < _forwarder.SILENT_PEER_S
    answer.set_result(_opinion_messages.OpinionReply(1.0))
    sent = len(pair.raw.sent)
    timers.advance(1.0)
    assert pair.receiver.pending_calls == 0
    assert len(pair.raw.sent) == sent


def test_a_silent_stream_ends_and_tells_so():
    pair = Pair()
    assert pair.names_seen == ["a"]
    fut = pair.receiver.call(_peer_messages.SyncRequest(0, 0, 0))
    pair.loop.time += _peers.PEER_TIMEOUT_S + 0.1
    pair.receiver.tick(IDLE_PING)
    assert pair.receiver.closed
    assert len(pair.names_seen) == 2
    assert isinstance(fut.exception(), _peers.PeerLostError)
    assert isinstance(fut, decisions.Future)


@pytest.mark.parametrize("size", [7, 75, 195, 410])
def test_news_pass_the_fleet_though_half_of_it_is_gone(size):
    """News reach every remaining node within six hops.

    With steps that grow by a factor of 3, a node was isolated in 16 of 100
    random choices of the remaining nodes.
    """
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


def test_peers_learn_that_this_build_understands_load():
    pair = Pair()
    assert pair.receiver.understands_load


def test_older_builds_get_no_messages_that_they_do_not_know():
    """Their `Hello` has the call number 0, and they ignore that of ours."""
    pair = Pair()
    hello = _peer_messages.encode(0, _peer_messages.Hello("a"))
    pair.raw.other.on_data(hello)
    assert not pair.receiver.understands_load
    first = _peer_messages.Decoder().feed(pair.raw.sent[0])[0]
    assert first.body == _peer_messages.Hello("a")


def test_a_delayed_report_is_as_old_as_the_last_ping_that_it_returns():
    pair = Pair()
    far = pair.raw.other
    pair.receiver.tick(IDLE_PING)
    returned_at = pair.loop.time
    deliver = far.on_data
    delayed: list[bytes] = []
    far.on_data = delayed.append
    pair.tick(store_age_s=0.25)
    pair.receiver.tick(IDLE_PING)
    pair.loop.time += 1.0
    for data in delayed:
        deliver(data)
    assert pair.receiver.complete_at == returned_at - 0.25


def test_a_build_that_returns_no_pings_proves_nothing():
    pair = Pair()
    pair.raw.other.on_data(_peer_messages.encode(0, IDLE_PING))
    assert pair.receiver.complete_at == float("-inf")


@pytest.mark.parametrize("count", [1, 2, 126, 127, 128, 254, 255, 1000])
@pytest.mark.parametrize("under_way", [0, 1, 60])
def test_echoes_name_the_ping_that_they_return(count, under_way):
    near, far = _ping_echoes.PingEchoes(), _ping_echoes.PingEchoes()
    for number in range(1, count + 1):
        near.note_sent(float(number))
        far.note_received()
        assert near.note_returned(far.echo) == number
    echo = far.echo
    for number in range(under_way):
        near.note_sent(float(count + 1 + number))
    assert near.note_returned(echo) == count


@pytest.mark.parametrize("under_way", [126, 127, 128, 300])
def test_an_echo_that_waited_behind_many_pings_is_not_taken_for_a_newer_one(
    under_way,
):
    near, far = _ping_echoes.PingEchoes(), _ping_echoes.PingEchoes()
    for number in range(1, 11):
        near.note_sent(float(number))
        far.note_received()
    assert near.note_returned(far.echo) == 10.0
    for number in range(11, 11 + under_way):
        near.note_sent(float(number))
    assert near.note_returned(far.echo) in (10.0, None)
    for _ in range(under_way):
        far.note_received()
    found = near.note_returned(far.echo)
    assert found is None or found <= 10.0 + under_way
