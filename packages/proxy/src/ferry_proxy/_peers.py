"""Streams between nodes: questions, answers, and signs of life."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import typing

import attrs
import ferry_decisions as decisions
import ferry_runtime as runtime

from ferry_proxy import _peer_messages

SILENT_S = 1.6  # Three pings: the stream is taken for dead.
USER_TIMEOUT_MS = 1_500
MS_PER_S = 1000


class PeerLostError(Exception):
    """The stream ended before the answer.

    Attributes:
        sent: Whether the question may have reached the peer.
    """

    def __init__(self, detail: str, sent: bool = True) -> None:
        super().__init__(detail)
        self.sent = sent


class MessageHandler(typing.Protocol):
    """What a node does with what its peers send."""

    def describe(self) -> _peer_messages.Ping:
        """Returns what the peers should know of this node now."""

    def answer(
        self, stream: "PeerStream", body: _peer_messages.Message
    ) -> "_peer_messages.Message | decisions.Future[typing.Any] | None":
        """Takes a message; returns its answer, now or later, or None."""

    def forget(self, stream: "PeerStream") -> None:
        """Takes in that a stream has ended."""


class NullMessageHandler:
    """Answers nothing: for a mesh that is not open yet."""

    def describe(self) -> _peer_messages.Ping:
        """Returns that nothing is known or served."""
        return _peer_messages.Ping(0, 0, 0, -1.0, [], [])

    def answer(
        self, stream: "PeerStream", body: _peer_messages.Message
    ) -> None:
        """Answers nothing."""

    def forget(self, stream: "PeerStream") -> None:
        """Holds nothing that could be dropped."""


class Peer(typing.Protocol):
    """What questions to another node need of a stream to it."""

    peer: str

    @property
    def silence_s(self) -> float:
        """Seconds since the peer was heard."""

    def call(
        self, body: _peer_messages.Message
    ) -> "decisions.Future[_peer_messages.Message]":
        """Sends a question; fails with `PeerLostError` without an answer."""

    def tell(self, body: _peer_messages.Message) -> None:
        """Sends a message that has no answer."""


class Peers(typing.Protocol):
    """The other nodes that are connected."""

    @property
    def streams(self) -> Sequence[Peer]:
        """One stream for each."""


class Streams(Peers, typing.Protocol):
    """The other nodes that are connected, by name."""

    @property
    def by_name(self) -> Mapping[str, Peer]:
        """The open streams by the names of the peers."""


class PeerSubset:
    """Those of the connected nodes that are of some set."""

    def __init__(
        self, mesh: Streams, names: Callable[[], Collection[str]]
    ) -> None:
        self._mesh = mesh
        self._names = names

    @property
    def streams(self) -> Sequence[Peer]:
        """One stream for each node of the set that is connected."""
        streams = self._mesh.by_name
        return [streams[n] for n in self._names() if n in streams]


@attrs.frozen(slots=True)
class EncodedPing:
    """A sign of life, encoded once for all streams.

    Attributes:
        state: What it tells but for the age of the news of the store.
        whole: The message for a stream that was told another state last.
        short: The message for the others.
    """

    state: _peer_messages.Ping
    whole: bytes
    short: bytes

    @classmethod
    def of(cls, ping: _peer_messages.Ping) -> "EncodedPing":
        """Returns the sign of life that a ping is."""
        age_s = ping.store_age_s
        age_ms = round(age_s * MS_PER_S) if age_s >= 0 else -1
        return cls(
            ping.state,
            _peer_messages.encode(0, ping),
            _peer_messages.encode(0, _peer_messages.SamePing(age_ms)),
        )


@attrs.frozen(slots=True)
class _Call:
    """A question that has no answer yet.

    Attributes:
        fut: Done with the answer.
        sent_at: When it was sent, in the clock's seconds.
    """

    fut: "decisions.Future[_peer_messages.Message]"
    sent_at: float


class PeerStream:
    """One stream to another node."""

    def __init__(
        self,
        loop: runtime.EventLoop,
        stream: runtime.Stream,
        node: str,
        desk: MessageHandler,
        on_change: Callable[[], object],
    ) -> None:
        """Wraps a stream, and greets the peer.

        Args:
            loop: The event loop.
            stream: The stream, open or opening.
            node: This node's name.
            desk: Answers the peer's questions.
            on_change: Called when the peer has said who it is, and at the end.
        """
        self._loop = loop
        self._stream = stream
        self._desk = desk
        self._on_change = on_change
        self._decoder = _peer_messages.Decoder()
        self._calls: dict[int, _Call] = {}
        self._numbers = itertools.count(1)
        self._heard = loop.now()
        self.peer = ""
        self.covered = decisions.UNREAD_REVISION
        self.version = 0
        self.store_seen = float("-inf")
        self.services: frozenset[str] = frozenset()
        self.missed: frozenset[str] = frozenset()
        self.open_transactions = 0
        self._forgotten = False
        stream.on_data = self._receive
        stream.on_closed = lambda exc: self._fail(str(exc))
        stream.keep_alive(USER_TIMEOUT_MS)
        self._told: _peer_messages.Ping | None = None
        self._owing = 0
        self.tell(_peer_messages.Hello(node))
        self._pulse(EncodedPing.of(desk.describe()))

    @property
    def closed(self) -> bool:
        """Whether the stream has ended."""
        return self._stream.closed

    @property
    def is_opening(self) -> bool:
        """Whether the peer's machine has not answered yet."""
        return self._stream.is_opening

    @property
    def silence_s(self) -> float:
        """Seconds since the peer was heard."""
        return self._loop.now() - self._heard

    @property
    def unresponsive_s(self) -> float:
        """Seconds since the peer was heard, while it owes an answer."""
        first = next(iter(self._calls.values()), None)
        if first is None:
            return 0.0
        return self._loop.now() - max(first.sent_at, self._heard)

    @property
    def pending_calls(self) -> int:
        """Questions to the peer that have no answer yet."""
        return len(self._calls)

    @property
    def is_used(self) -> bool:
        """Whether an answer or a transaction depends on the stream."""
        return bool(self._calls or self.open_transactions)

    def call(
        self, body: _peer_messages.Message
    ) -> "decisions.Future[_peer_messages.Message]":
        """Sends a question; fails with `PeerLostError` without an answer."""
        if self.closed:
            return decisions.failed(PeerLostError(self.peer, sent=False))
        fut: decisions.Future[_peer_messages.Message] = decisions.Future()
        number = next(self._numbers)
        self._calls[number] = _Call(fut, self._loop.now())
        self._stream.send(_peer_messages.encode(number, body))
        return fut

    def tell(self, body: _peer_messages.Message) -> None:
        """Sends a message that has no answer."""
        self._stream.send(_peer_messages.encode(0, body))

    def tick(self, pulse: EncodedPing) -> None:
        """Shows life, and ends a stream that shows none."""
        if self.silence_s > SILENT_S:
            self._fail("silent")
        elif not self.closed:
            self._pulse(pulse)

    @property
    def has_pending_replies(self) -> bool:
        """Whether the peer waits for an answer of this node."""
        return self._owing > 0 and not self.closed

    def _pulse(self, pulse: EncodedPing) -> None:
        is_same = pulse.state == self._told
        self._told = pulse.state
        self._stream.send(pulse.short if is_same else pulse.whole)

    def close(self) -> None:
        """Closes the stream."""
        self._fail("closed by this node")

    def _receive(self, data: bytes) -> None:
        self._heard = self._loop.now()
        try:
            for envelope in self._decoder.feed(data):
                self._take(envelope)
        except _peer_messages.PeerProtocolError as exc:
            decisions.log_warning("peer %s sent no message: %s", self.peer, exc)
            self._fail(str(exc))

    def _take(self, envelope: _peer_messages.Envelope) -> None:
        body = envelope.body
        if isinstance(body, _peer_messages.Hello):
            self.peer = body.node
            self._on_change()
        elif isinstance(body, _peer_messages.Ping):
            self.covered = body.newest
            self.version = body.version
            self._note_store(body.store_age_s)
            self.services = frozenset(body.services)
            self.missed = frozenset(body.missed)
        elif isinstance(body, _peer_messages.SamePing):
            self._note_store(body.store_age_ms / MS_PER_S)
        elif envelope.number < 0:
            call = self._calls.pop(-envelope.number, None)
            if call is not None:
                decisions.resolve(call.fut, body)
        else:
            self._answer(envelope.number, self._desk.answer(self, body))

    def _note_store(self, age_s: float) -> None:
        """Takes in when the store answered the peer; negative for never."""
        if age_s >= 0:
            self.store_seen = self._heard - age_s

    def _answer(
        self,
        number: int,
        answer: "_peer_messages.Message | decisions.Future[typing.Any] | None",
    ) -> None:
        if answer is None or not number:
            return
        if isinstance(answer, decisions.Future):
            self._owing += 1
            answer.add_done_callback(lambda fut: self._answer_late(number, fut))
            return
        self._stream.send(_peer_messages.encode(-number, answer))

    def _answer_late(
        self, number: int, fut: "decisions.Future[typing.Any]"
    ) -> None:
        self._owing -= 1
        self._answer(number, fut.result())

    def _fail(self, detail: str) -> None:
        self._stream.close()
        self._on_change()
        calls, self._calls = self._calls, {}
        for call in calls.values():
            lost = PeerLostError(f"{self.peer}: {detail}")
            decisions.reject(call.fut, lost)
        if not self._forgotten:
            self._forgotten = True
            self._desk.forget(self)
