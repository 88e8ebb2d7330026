"""Streams between nodes: correlated requests and one-way messages."""

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

USER_TIMEOUT_MS = 1_500
PING_S = 0.3
PING_TIMEOUT_S = 1.0
CHECK_AFTER_S = 0.5
CHECK_S = 0.4
IDLE_CLOSE_S = 120.0


class PeerLostError(Exception):
    """The stream to a peer ended before its answer.

    Attributes:
        handed: Whether the request may have reached the peer.
    """

    def __init__(self, detail: str, was_sent: bool) -> None:
        super().__init__(detail)
        self.was_sent = was_sent


@attrs.define(slots=True)
class _Call:
    """A request that waits for its answer."""

    fut: "decisions.Future[_messages.Message]"
    on_part: Callable[[bytes], object] | None


class PeerStream:
    """One stream to another node."""

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
        self._numbers = itertools.count(1)
        self._heard = loop.now()
        self._open = opened
        self._spoke = float("-inf")
        self._checks: list[decisions.Future[None]] = []
        self.node = ""
        self.used = loop.now()
        self.closed = False
        self.refused = False
        self.on_closed: list[Callable[[PeerStream], object]] = []
        stream.on_data = self._receive
        stream.on_closed = self._stream_closed
        stream.on_open = self._opened
        stream.keep_alive(USER_TIMEOUT_MS)
        stream.send(_codec.encode(0, hello))

    def call(
        self,
        message: _messages.Message,
        on_part: Callable[[bytes], object] | None = None,
    ) -> "decisions.Future[_messages.Message]":
        """Sends a request; returns the future of its answer.

        Fails with `PeerLostError` when the stream ends first.
        """
        fut: decisions.Future[_messages.Message] = decisions.Future()
        if self.closed:
            return decisions.failed(PeerLostError("closed before", False))
        number = next(self._numbers)
        self.used = self._loop.now()
        self._calls[number] = _Call(fut, on_part)
        self._stream.send(_codec.encode(number, message))
        return fut

    def check(self) -> "decisions.Future[None]":
        """Returns a future that is done once the peer has shown life.

        That is at once if it did so a short while ago. Fails with
        `PeerLostError`, and nothing was handed over.
        """
        if self.closed:
            return decisions.failed(PeerLostError("closed before", False))
        if self._open and self._loop.now() - self._spoke < CHECK_AFTER_S:
            return decisions.completed(None)
        fut: decisions.Future[None] = decisions.Future()
        self._checks.append(fut)
        self.tell(_messages.Ping())
        lost = PeerLostError("shows no life", False)
        self._loop.after(CHECK_S, lambda: decisions.reject(fut, lost))
        return fut

    def tell(self, message: _messages.Message) -> None:
        """Sends a message that has no answer."""
        self._stream.send(_codec.encode(0, message))

    def answer(self, correlation: int, message: _messages.Message) -> None:
        """Sends an answer, or a part of one."""
        self._stream.send(_codec.encode(correlation, message))

    def close(self) -> None:
        """Closes the stream; what waits for an answer fails."""
        self._fail("closed by this node")

    def _stream_closed(self, exc: runtime.StreamClosedError) -> None:
        self.refused = exc.refused
        self._fail(str(exc))

    def _opened(self) -> None:
        self._open = True
        self._heard = self._loop.now()

    def _receive(self, data: bytes) -> None:
        self._heard = self._spoke = self._loop.now()
        checks, self._checks = self._checks, []
        for check in checks:
            decisions.resolve(check, None)
        try:
            for envelope in self._decoder.feed(data):
                self._take(envelope)
        except (
            _codec.PeerProtocolError,
            _probes.MalformedProbeError,
        ) as exc:
            logging.warning(
                "event=peer_protocol_error peer=%s detail=%s", self.node, exc
            )
            self._fail(str(exc))

    def _take(self, envelope: _codec.Envelope) -> None:
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
                self.used = self._loop.now()
                self._serve(self, envelope)

    def tick(self) -> None:
        """Finds a silent stream while an answer is owed."""
        now = self._loop.now()
        if not self._calls:
            self._heard = now
            if now - self.used > IDLE_CLOSE_S:
                self._fail("idle")
            return
        if now - self._heard > PING_TIMEOUT_S:
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
    """All streams of a node to the others."""

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
        self._out: dict[str, PeerStream] = {}
        self._in: set[PeerStream] = set()
        self.on_stream_closed: list[Callable[[PeerStream], object]] = []
        self._listener = runtime.Listener(loop, host, port, self._accept)
        self._ticker = decisions.PeriodicTimer(loop, PING_S, self.tick)

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
        """Sends a request to a node over its stream."""
        return self.stream(node).call(message, on_part)

    def check(self, node: decisions.Node) -> "decisions.Future[None]":
        """Returns a future that is done once a node has shown life."""
        return self.stream(node).check()

    def tell(self, node: decisions.Node, message: _messages.Message) -> None:
        """Sends a one-way message to a node."""
        self.stream(node).tell(message)

    def stream(self, node: decisions.Node) -> PeerStream:
        """Returns the stream to a node, connecting where there is none."""
        stream = self._out.get(node.name)
        if stream is None or stream.closed:
            raw = runtime.connect(self._loop, node.host, node.peer_port)
            stream = self._wrap(raw, opened=False)
            stream.node = node.name
            self._out[node.name] = stream
        return stream

    def tick(self) -> None:
        """Looks after all streams; one timer costs less than one for each."""
        for stream in [*self._out.values(), *self._in]:
            stream.tick()

    def close(self) -> None:
        """Closes the listener and all streams."""
        self._ticker.stop()
        self._listener.close()
        for stream in [*self._out.values(), *self._in]:
            stream.close()

    def _accept(self, raw: runtime.Stream) -> None:
        self._in.add(self._wrap(raw, opened=True))

    def _wrap(self, raw: runtime.Stream, opened: bool) -> PeerStream:
        stream = PeerStream(self._loop, raw, self._hello, self._serve, opened)
        stream.on_closed.append(self._forget)
        return stream

    def _forget(self, stream: PeerStream) -> None:
        self._in.discard(stream)
        if self._out.get(stream.node) is stream:
            del self._out[stream.node]
        for callback in self.on_stream_closed:
            callback(stream)
