"""Streams between nodes: requests, replies and keep-alive pings."""

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
from ferry_proxy import _ping_echoes

# A stream without data for this long is closed. Three pings are due in it.
PEER_TIMEOUT_S = 1.6
TCP_USER_TIMEOUT_MS = 1_500


class PeerLostError(Exception):
    """The stream ended before the reply arrived.

    Attributes:
        sent: Whether the request may have reached the peer.
    """

    def __init__(self, detail: str, sent: bool = True) -> None:
        super().__init__(detail)
        self.sent = sent


class MessageHandler(typing.Protocol):
    """Handles the messages that peers send to this node."""

    def describe(self) -> _peer_messages.Ping:
        """Returns this node's current state for its peers."""

    def answer(
        self, stream: "PeerStream", body: _peer_messages.Message
    ) -> "_peer_messages.Message | decisions.Future[typing.Any] | None":
        """Handles a message.

        Returns:
            The reply, a future of it, or None for a message without a reply.
        """

    def forget(self, stream: "PeerStream") -> None:
        """Releases what is kept for a stream that has ended."""


class NullMessageHandler:
    """Ignores all messages; used until a mesh is opened."""

    def describe(self) -> _peer_messages.Ping:
        """Returns the state of a node that knows and serves nothing."""
        return _peer_messages.Ping(0, 0, 0, -1.0, [], [])

    def answer(
        self, stream: "PeerStream", body: _peer_messages.Message
    ) -> None:
        """Ignores the message."""

    def forget(self, stream: "PeerStream") -> None:
        """Does nothing, as nothing is kept for a stream."""


class Peer(typing.Protocol):
    """The part of a stream that is needed to call another node.

    Attributes:
        peer: The name of the other node.
    """

    peer: str

    @property
    def silence_s(self) -> float:
        """Seconds since data from the peer last arrived."""

    def call(
        self, body: _peer_messages.Message
    ) -> "decisions.Future[_peer_messages.Message]":
        """Sends a request.

        Returns:
            The reply. It fails with `PeerLostError` if the stream ends first.
        """

    def tell(self, body: _peer_messages.Message) -> None:
        """Sends a message that has no reply."""


class Peers(typing.Protocol):
    """The connected peers."""

    @property
    def streams(self) -> Sequence[Peer]:
        """One open stream to each connected peer."""


class Streams(Peers, typing.Protocol):
    """The connected peers, also by name."""

    @property
    def by_name(self) -> Mapping[str, Peer]:
        """The open streams, keyed by the peer's name."""


class PeerSubset:
    """The connected peers whose names are in a given set."""

    def __init__(
        self, mesh: Streams, names: Callable[[], Collection[str]]
    ) -> None:
        self._mesh = mesh
        self._names = names

    @property
    def streams(self) -> Sequence[Peer]:
        """One open stream to each connected peer of the set."""
        streams = self._mesh.by_name
        return [streams[n] for n in self._names() if n in streams]


@attrs.frozen(slots=True)
class _Call:
    """A request that waits for its reply.

    Attributes:
        fut: Completed with the reply.
        sent_at: When the request was sent, in the clock's seconds.
    """

    fut: "decisions.Future[_peer_messages.Message]"
    sent_at: float


class PeerStream:
    """A stream to another node.

    Attributes:
        peer: The name of the peer; empty until its `Hello` has arrived.
        covered: The newest change in the peer's copy of the store.
        version: The version of the configuration that the peer has.
        store_seen: The moment that the peer's copy of the store is complete
            for, in the clock's seconds.
        complete_at: The same moment in boot time, or an earlier one if the
            report may have been delayed.
        services: The groups whose statements the peer can run.
        missed: The groups that other nodes serve and the peer has lost.
        open_transactions: Transactions of this node that run over the stream.
        refused_at: When the peer's VM refused the connection, in the clock's
            seconds; infinitely long ago if it did not.
    """

    def __init__(
        self,
        loop: runtime.EventLoop,
        stream: runtime.Stream,
        node: str,
        handler: MessageHandler,
        on_change: Callable[[], object],
    ) -> None:
        """Wraps a stream, and sends `Hello` and a first ping.

        Args:
            loop: The event loop.
            stream: The stream; its connection may still be opening.
            node: This node's name.
            handler: Handles the peer's messages.
            on_change: Called when the peer's name has arrived, and when the
                stream ends.
        """
        self._loop = loop
        self._stream = stream
        self._handler = handler
        self._on_change = on_change
        self._decoder = _peer_messages.Decoder()
        self._calls: dict[int, _Call] = {}
        self._numbers = itertools.count(1)
        self._heard_at = loop.now()
        self.peer = ""
        self._protocol = 0
        self.covered = decisions.UNREAD_REVISION
        self.version = 0
        self.store_seen = float("-inf")
        self.complete_at = float("-inf")
        self.services: frozenset[str] = frozenset()
        self.missed: frozenset[str] = frozenset()
        self.open_transactions = 0
        self.refused_at = float("-inf")
        self._is_forgotten = False
        stream.on_data = self._receive
        stream.on_closed = self._end
        stream.keep_alive(TCP_USER_TIMEOUT_MS)
        self._last_sent_state: _peer_messages.Ping | None = None
        self._echoes = _ping_echoes.PingEchoes()
        self._pending_replies = 0
        protocol = _peer_messages.PROTOCOL
        stream.send(_peer_messages.encode(protocol, _peer_messages.Hello(node)))
        self._send_ping(handler.describe())

    @property
    def closed(self) -> bool:
        """Whether the stream has ended."""
        return self._stream.closed

    @property
    def understands_load(self) -> bool:
        """Whether the peer's build knows demands and load reports."""
        return self._protocol >= _peer_messages.LOAD_PROTOCOL

    @property
    def is_opening(self) -> bool:
        """Whether the connection is not established yet."""
        return self._stream.is_opening

    @property
    def silence_s(self) -> float:
        """Seconds since data from the peer last arrived."""
        return self._loop.now() - self._heard_at

    @property
    def unresponsive_s(self) -> float:
        """Seconds without data from the peer while a call is pending.

        They count from the oldest pending call at the earliest, and are 0 if
        no call is pending.
        """
        first = next(iter(self._calls.values()), None)
        if first is None:
            return 0.0
        return self._loop.now() - max(first.sent_at, self._heard_at)

    @property
    def pending_calls(self) -> int:
        """How many requests to the peer wait for a reply."""
        return len(self._calls)

    @property
    def is_used(self) -> bool:
        """Whether a pending call or a transaction depends on the stream."""
        return bool(self._calls or self.open_transactions)

    def call(
        self, body: _peer_messages.Message
    ) -> "decisions.Future[_peer_messages.Message]":
        """Sends a request.

        Returns:
            The reply. It fails with `PeerLostError` if the stream ends first.
        """
        if self.closed:
            return decisions.failed(PeerLostError(self.peer, sent=False))
        fut: decisions.Future[_peer_messages.Message] = decisions.Future()
        number = next(self._numbers)
        self._calls[number] = _Call(fut, self._loop.now())
        self._stream.send(_peer_messages.encode(number, body))
        return fut

    def tell(self, body: _peer_messages.Message) -> None:
        """Sends a message that has no reply."""
        self._stream.send(_peer_messages.encode(0, body))

    def tick(self, ping: _peer_messages.Ping) -> None:
        """Sends a ping, or closes the stream if the peer has timed out."""
        if self.silence_s > PEER_TIMEOUT_S:
            self._fail("silent")
        elif not self.closed:
            self._send_ping(ping)

    @property
    def has_pending_replies(self) -> bool:
        """Whether the peer waits for a reply from this node."""
        return self._pending_replies > 0 and not self.closed

    def _send_ping(self, ping: _peer_messages.Ping) -> None:
        state = ping.state
        is_same = state == self._last_sent_state
        self._last_sent_state = state
        body = _peer_messages.SamePing.of(ping) if is_same else ping
        self._echoes.note_sent(self._loop.boot_now())
        self._stream.send(_peer_messages.encode(self._echoes.echo, body))

    def close(self) -> None:
        """Closes the stream."""
        self._fail("closed by this node")

    def _receive(self, data: bytes) -> None:
        self._heard_at = self._loop.now()
        try:
            for envelope in self._decoder.feed(data):
                self._dispatch(envelope)
        except _peer_messages.PeerProtocolError as exc:
            decisions.log_warning(
                "invalid message from peer %s: %s", self.peer, exc
            )
            self._fail(str(exc))

    def _dispatch(self, envelope: _peer_messages.Envelope) -> None:
        body = envelope.body
        if isinstance(body, _peer_messages.Hello):
            self.peer = body.node
            self._protocol = envelope.number
            self._on_change()
        elif isinstance(body, _peer_messages.Ping):
            self.covered = body.newest
            self.version = body.version
            self._note_report(envelope.number, body.store_age_s)
            self.services = frozenset(body.services)
            self.missed = frozenset(body.missed)
        elif isinstance(body, _peer_messages.SamePing):
            self._note_report(envelope.number, body.store_age_s)
        elif envelope.number < 0:
            call = self._calls.pop(-envelope.number, None)
            if call is not None:
                decisions.resolve(call.fut, body)
        else:
            self._send_answer(envelope.number, self._handler.answer(self, body))

    def _note_report(self, echo: int, age_s: float) -> None:
        """Records the moment that the peer's copy is complete for.

        Args:
            echo: How many pings the peer had received, modulo a constant.
            age_s: Seconds since that moment; negative if there is none.
        """
        self._echoes.note_received()
        if age_s < 0:
            return
        self.store_seen = self._heard_at - age_s
        sent_at = self._echoes.note_returned(echo)
        if sent_at is not None:
            self.complete_at = sent_at - age_s

    def _send_answer(
        self,
        number: int,
        answer: "_peer_messages.Message | decisions.Future[typing.Any] | None",
    ) -> None:
        if answer is None or not number:
            return
        if isinstance(answer, decisions.Future):
            self._pending_replies += 1
            answer.add_done_callback(
                lambda fut: self._send_late_answer(number, fut)
            )
            return
        self._stream.send(_peer_messages.encode(-number, answer))

    def _send_late_answer(
        self, number: int, fut: "decisions.Future[typing.Any]"
    ) -> None:
        self._pending_replies -= 1
        self._send_answer(number, fut.result())

    def _end(self, exc: runtime.StreamClosedError) -> None:
        if exc.refused:
            self.refused_at = self._loop.now()
        self._fail(str(exc))

    def _fail(self, detail: str) -> None:
        self._stream.close()
        self._on_change()
        calls, self._calls = self._calls, {}
        for call in calls.values():
            lost = PeerLostError(f"{self.peer}: {detail}")
            decisions.reject(call.fut, lost)
        if not self._is_forgotten:
            self._is_forgotten = True
            self._handler.forget(self)
