"""Message streams between nodes, for requests and one-way messages."""

from collections.abc import Callable
import itertools
import typing

from absl import logging
import attrs
import ferry_decisions as decisions
import ferry_runtime as runtime

from ferry_node import _codec
from ferry_node import _messages
from ferry_node import _probes

TCP_USER_TIMEOUT_MS = 1_500
PING_INTERVAL_S = 0.3
# A stream with pending requests fails after this much silence of the peer.
MAX_SILENCE_S = 1.0
# A peer that sent anything within this time counts as alive.
RECENTLY_ALIVE_S = 0.5
CHECK_TIMEOUT_S = 0.4
IDLE_CLOSE_S = 120.0


class PeerLostError(Exception):
    """The stream to a peer failed before the reply arrived.

    Attributes:
        was_sent: Whether the request may have reached the peer.
    """

    def __init__(self, detail: str, was_sent: bool) -> None:
        super().__init__(detail)
        self.was_sent = was_sent


@attrs.define(slots=True)
class _Call:
    """A request that awaits its reply.

    Attributes:
        fut: Completed with the reply.
        on_part: Receives parts of a long reply; None to ignore them.
    """

    fut: "decisions.Future[_messages.Message]"
    on_part: Callable[[bytes], object] | None


class PeerStream:
    """A message stream to another node.

    Attributes:
        node: The name of the peer; empty until it is known.
        used_at: When the stream last carried a request, in either direction.
        closed: Whether the stream is closed.
        refused: Whether the peer refused the connection.
        on_closed: Callbacks for when the stream closes.
    """

    def __init__(
        self,
        loop: runtime.EventLoop,
        stream: runtime.Stream,
        hello: _messages.Hello,
        serve: "Serve",
        opened: bool,
    ) -> None:
        self._loop = loop
        self._stream = stream
        self._serve = serve
        self._decoder = _codec.MessageDecoder()
        self._calls: dict[int, _Call] = {}
        self._correlation_ids = itertools.count(1)
        self._silent_since = loop.now()
        self._open = opened
        self._received_at = float("-inf")
        self._checks: list[decisions.Future[None]] = []
        self.node = ""
        self.used_at = loop.now()
        self.closed = False
        self.refused = False
        self.on_closed: list[Callable[[PeerStream], object]] = []
        stream.on_data = self._receive
        stream.on_closed = self._stream_closed
        stream.on_open = self._opened
        stream.keep_alive(TCP_USER_TIMEOUT_MS)
        stream.send(_codec.encode(0, hello))

    def call(
        self,
        message: _messages.Message,
        on_part: Callable[[bytes], object] | None = None,
    ) -> "decisions.Future[_messages.Message]":
        """Sends a request and returns a future of its reply.

        The future fails with `PeerLostError` if the stream fails first.
        """
        fut: decisions.Future[_messages.Message] = decisions.Future()
        if self.closed:
            return decisions.failed(PeerLostError("closed before", False))
        correlation = next(self._correlation_ids)
        self.used_at = self._loop.now()
        self._calls[correlation] = _Call(fut, on_part)
        self._stream.send(_codec.encode(correlation, message))
        return fut

    def check(self) -> "decisions.Future[None]":
        """Returns a future that completes once the peer proves to be alive.

        It completes at once if the peer sent something recently. Otherwise
        the peer is pinged, and the future fails with `PeerLostError`, with
        `was_sent` false, if nothing arrives in time.
        """
        if self.closed:
            return decisions.failed(PeerLostError("closed before", False))
        if (
            self._open
            and self._loop.now() - self._received_at < RECENTLY_ALIVE_S
        ):
            return decisions.completed(None)
        fut: decisions.Future[None] = decisions.Future()
        self._checks.append(fut)
        self.tell(_messages.Ping())
        lost = PeerLostError("shows no life", False)
        self._loop.after(CHECK_TIMEOUT_S, lambda: decisions.reject(fut, lost))
        return fut

    def tell(self, message: _messages.Message) -> None:
        """Sends a one-way message."""
        self._stream.send(_codec.encode(0, message))

    def answer(self, correlation: int, message: _messages.Message) -> None:
        """Sends a reply, or a part of one."""
        self._stream.send(_codec.encode(correlation, message))

    def close(self) -> None:
        """Closes the stream; pending requests fail."""
        self._fail("closed by this node")

    def _stream_closed(self, exc: runtime.StreamClosedError) -> None:
        self.refused = exc.refused
        self._fail(str(exc))

    def _opened(self) -> None:
        self._open = True
        self._silent_since = self._loop.now()

    def _receive(self, data: bytes) -> None:
        self._silent_since = self._received_at = self._loop.now()
        checks, self._checks = self._checks, []
        for check in checks:
            decisions.resolve(check, None)
        try:
            for envelope in self._decoder.feed(data):
                self._handle(envelope)
        except (
            _codec.PeerProtocolError,
            _probes.MalformedProbeError,
        ) as exc:
            logging.warning(
                "event=peer_protocol_error peer=%s detail=%s", self.node, exc
            )
            self._fail(str(exc))

    def _handle(self, envelope: _codec.Envelope) -> None:
        message = envelope.message
        call = self._calls.get(envelope.correlation)
        match message:
            case _messages.Hello():
                self.node = message.node
            case _messages.Ping():
                self.tell(_messages.Pong())
            case _messages.Pong():
                pass
            case _messages.AnswerPart():
                if call is not None and call.on_part is not None:
                    call.on_part(message.data)
            case (
                _messages.ExecuteReply()
                | _messages.OpinionReply()
                | _messages.SyncReply()
                | _messages.PositionReply()
            ):
                if call is not None:
                    del self._calls[envelope.correlation]
                    decisions.resolve(call.fut, message)
            case _:
                self.used_at = self._loop.now()
                self._serve(self, envelope)

    def tick(self) -> None:
        """Closes an idle stream, and one that is silent with replies pending.

        Otherwise pings the peer while replies are pending.
        """
        now = self._loop.now()
        if not self._calls:
            self._silent_since = now
            if now - self.used_at > IDLE_CLOSE_S:
                self._fail("idle")
            return
        if now - self._silent_since > MAX_SILENCE_S:
            self._fail("silent")
            return
        if self._open:
            self.tell(_messages.Ping())

    def _fail(self, detail: str) -> None:
        if self.closed:
            return
        self.closed = True
        self._stream.close()
        calls, self._calls = self._calls, {}
        for call in calls.values():
            decisions.reject(call.fut, PeerLostError(detail, self._open))
        for callback in self.on_closed:
            callback(self)


Serve = Callable[[PeerStream, _codec.Envelope], object]


class Peers:
    """Manages a node's streams to all other nodes.

    Attributes:
        on_stream_closed: Callbacks for when any of the streams closes.
    """

    def __init__(
        self,
        loop: runtime.EventLoop,
        hello: _messages.Hello,
        host: str,
        port: int,
        serve: Serve,
    ) -> None:
        self._loop = loop
        self._hello = hello
        self._serve = serve
        self._outgoing: dict[str, PeerStream] = {}
        self._incoming: set[PeerStream] = set()
        self.on_stream_closed: list[Callable[[PeerStream], object]] = []
        self._listener = runtime.Listener(loop, host, port, self._accept)
        self._ticker = decisions.PeriodicTimer(loop, PING_INTERVAL_S, self.tick)

    @property
    def port(self) -> int:
        """The TCP port that peers connect to."""
        return self._listener.port

    def call(
        self,
        node: decisions.Node,
        message: _messages.Message,
        on_part: Callable[[bytes], object] | None = None,
    ) -> "decisions.Future[typing.Any]":
        """Sends a request to a node and returns a future of its reply."""
        return self.stream(node).call(message, on_part)

    def check(self, node: decisions.Node) -> "decisions.Future[None]":
        """Returns a future that completes once a node proves to be alive."""
        return self.stream(node).check()

    def tell(self, node: decisions.Node, message: _messages.Message) -> None:
        """Sends a one-way message to a node."""
        self.stream(node).tell(message)

    def stream(self, node: decisions.Node) -> PeerStream:
        """Returns the stream to a node; connects if there is none."""
        stream = self._outgoing.get(node.name)
        if stream is None or stream.closed:
            raw = runtime.connect(self._loop, node.host, node.peer_port)
            stream = self._wrap(raw, opened=False)
            stream.node = node.name
            self._outgoing[node.name] = stream
        return stream

    def tick(self) -> None:
        """Checks all streams; one shared timer is cheaper than one each."""
        for stream in [*self._outgoing.values(), *self._incoming]:
            stream.tick()

    def close(self) -> None:
        """Closes the listener and all streams."""
        self._ticker.stop()
        self._listener.close()
        for stream in [*self._outgoing.values(), *self._incoming]:
            stream.close()

    def _accept(self, raw: runtime.Stream) -> None:
        self._incoming.add(self._wrap(raw, opened=True))

    def _wrap(self, raw: runtime.Stream, opened: bool) -> PeerStream:
        stream = PeerStream(self._loop, raw, self._hello, self._serve, opened)
        stream.on_closed.append(self._remove)
        return stream

    def _remove(self, stream: PeerStream) -> None:
        self._incoming.discard(stream)
        if self._outgoing.get(stream.node) is stream:
            del self._outgoing[stream.node]
        for callback in self.on_stream_closed:
            callback(stream)
