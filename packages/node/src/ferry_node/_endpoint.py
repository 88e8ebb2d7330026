"""A connection to an endpoint.

At most one request runs on it at a time. A connection with an outstanding
answer is never reused but closed, so that a late answer cannot reach another
caller.
"""

import collections
from collections.abc import Callable

import attrs
import ferry_decisions as decisions
import ferry_runtime as runtime

from ferry_node import _wire

# Size of a buffered answer above which it is passed on in parts.
STREAM_THRESHOLD_BYTES = 1 << 18
# How long sent bytes may stay unacknowledged, in milliseconds.
TCP_USER_TIMEOUT_MS = 1_500
# The last frames of an answer, which carry its outcome, are never passed on
# as a part.
HELD_BACK_FRAMES = 2

Sink = Callable[[bytes], object]


class EndpointLostError(Exception):
    """The connection ended before the answer: the outcome is unknown."""


class EndpointLoginError(Exception):
    """The endpoint refused the login or the connection.

    Attributes:
        sqlstate: The SQLSTATE of the refusal.
    """

    def __init__(self, sqlstate: str, message: str) -> None:
        super().__init__(f"{sqlstate} {message}")
        self.sqlstate = sqlstate


@attrs.define(slots=True)
class Answer:
    """The answer to one request.

    Attributes:
        frames: The frames that were not yet passed to the sink, in order.
        streamed: Whether a part was already passed to the sink.
        status: The transaction status after it: I (idle), T (open) or E
            (failed).
        sqlstate: The SQLSTATE of its error; empty without one.
        position: The member's last reported position; None without one.
    """

    frames: collections.deque[_wire.Frame] = attrs.field(
        factory=collections.deque
    )
    streamed: bool = False
    status: str = ""
    sqlstate: str = ""
    position: decisions.Position | None = None

    @property
    def data(self) -> bytes:
        """The bytes that were not yet passed to the sink."""
        return b"".join(f.data for f in self.frames)


@attrs.define(slots=True)
class _Pending:
    """A request that awaits its answer."""

    fut: "decisions.Future[Answer]"
    sink: Sink | None
    answer: Answer = attrs.field(factory=Answer)
    buffered: int = 0


class EndpointConn:
    """A connection to one member, opened for one term.

    Attributes:
        ready: The future of this connection once its login is done.
        closed: Whether it can no longer be used.
        customer: The customer that used it last.
        term: The term for which it was opened.
        idle_since: When its last answer was complete, in seconds.
        on_closed: Called once when it is closed.
    """

    def __init__(
        self,
        loop: runtime.EventLoop,
        host: str,
        port: int,
        parameters: dict[str, str],
        connect_timeout_s: float,
    ) -> None:
        self._loop = loop
        self._host = host
        self._port = port
        self._stream = runtime.connect(loop, host, port)
        self._stream.keep_alive(TCP_USER_TIMEOUT_MS)
        self._splitter = _wire.FrameSplitter()
        self._pending: collections.deque[_Pending] = collections.deque()
        self._backend_key = (0, b"")
        self._position: decisions.Position | None = None
        self.ready: decisions.Future[EndpointConn] = decisions.Future()
        self.closed = False
        self.customer = ""
        self.term = int(parameters.get(_wire.TERM_PARAMETER, "0"))
        self.idle_since = loop.now()
        self.on_closed: Callable[[EndpointConn], object] | None = None
        self._timer = loop.after(connect_timeout_s, self._on_connect_timeout)
        self._stream.on_open = lambda: self._stream.send(
            _wire.encode_startup(parameters)
        )
        self._stream.on_data = self._receive
        self._stream.on_closed = self._on_stream_closed

    @property
    def process_id(self) -> int:
        """The process id that the endpoint gave this connection."""
        return self._backend_key[0]

    @property
    def position(self) -> decisions.Position | None:
        """The last position that the member reported; None without one."""
        return self._position

    def execute(
        self, payload: bytes, sink: Sink | None = None
    ) -> "decisions.Future[Answer]":
        """Sends a request; returns the future of its answer.

        The future fails with `EndpointLostError` if the connection ends
        first.

        Args:
            payload: Messages that exactly one ReadyForQuery answers.
            sink: Called with the parts of a long answer, all but its last
                frames; None to collect the whole answer.
        """
        if self.closed:
            return decisions.failed(EndpointLostError("closed before"))
        pending = _Pending(decisions.Future(), sink)
        self._pending.append(pending)
        self._stream.send(payload)
        return pending.fut

    def close(self, cancel: bool = False) -> None:
        """Closes the connection.

        Args:
            cancel: Whether to ask the endpoint to cancel a running request.
        """
        if self.closed:
            return
        if cancel and self._pending:
            self._send_cancel()
        elif not self._pending:
            self._stream.send(_wire.TERMINATE_BYTES)
        self._finish(EndpointLostError("closed by this node"))
        self._stream.close_when_sent()

    def cancel(self) -> None:
        """Asks the endpoint to cancel the running request.

        The answer to that request tells whether it was cancelled.
        """
        if self._pending and not self.closed:
            self._send_cancel()

    def _send_cancel(self) -> None:
        stream = runtime.connect(self._loop, self._host, self._port)
        request = _wire.encode_cancel(*self._backend_key)

        def send() -> None:
            stream.send(request)
            stream.close_when_sent()

        stream.on_open = send

    def _receive(self, data: bytes) -> None:
        try:
            for frame in self._splitter.feed(data):
                self._handle_frame(frame)
        except (_wire.MalformedMessageError, ValueError) as exc:
            self._stream.close()
            self._finish(EndpointLostError(str(exc)))

    def _handle_frame(self, frame: _wire.Frame) -> None:
        if not self.ready.done():
            self._handle_startup(frame)
            return
        if frame.kind == _wire.PARAMETER:
            self._handle_parameter(frame)
            return
        if not self._pending:
            return
        pending = self._pending[0]
        answer = pending.answer
        if frame.kind == _wire.ERROR:
            answer.sqlstate = _wire.error_fields(frame).get("C", "XX000")
        answer.frames.append(frame)
        if frame.kind == _wire.READY:
            self._complete(pending, frame)
            return
        pending.buffered += len(frame.data)
        if (
            pending.sink is not None
            and pending.buffered > STREAM_THRESHOLD_BYTES
        ):
            self._stream_out(pending)

    def _stream_out(self, pending: _Pending) -> None:
        """Passes on all frames but the last ones, which hold the outcome."""
        assert pending.sink is not None
        parts = []
        frames = pending.answer.frames
        while len(frames) > HELD_BACK_FRAMES:
            parts.append(frames.popleft().data)
        pending.buffered = sum(len(f.data) for f in frames)
        pending.answer.streamed = True
        pending.sink(b"".join(parts))

    def _complete(self, pending: _Pending, frame: _wire.Frame) -> None:
        self._pending.popleft()
        pending.answer.status = _wire.ready_status(frame)
        pending.answer.position = self._position
        self.idle_since = self._loop.now()
        decisions.resolve(pending.fut, pending.answer)

    def _handle_parameter(self, frame: _wire.Frame) -> None:
        name, value = _wire.parameter(frame)
        if name == _wire.POSITION_PARAMETER:
            self._position = decisions.Position.from_text(value)

    def _handle_startup(self, frame: _wire.Frame) -> None:
        if frame.kind == _wire.ERROR:
            fields = _wire.error_fields(frame)
            self._fail_login(fields.get("C", "XX000"), fields.get("M", ""))
        elif frame.kind == _wire.AUTHENTICATION:
            if _wire.authentication_code(frame) != 0:
                self._fail_login("28000", "endpoint asks for an unknown login")
        elif frame.kind == _wire.PARAMETER:
            self._handle_parameter(frame)
        elif frame.kind == _wire.BACKEND_KEY:
            self._backend_key = _wire.backend_key(frame)
        elif frame.kind == _wire.READY:
            self._timer.cancel()
            self.idle_since = self._loop.now()
            decisions.resolve(self.ready, self)

    def _fail_login(self, sqlstate: str, message: str) -> None:
        self._stream.close()
        self._finish(EndpointLoginError(sqlstate, message))

    def _on_connect_timeout(self) -> None:
        self._stream.close()
        self._finish(decisions.EndpointUnreachableError("connection timed out"))

    def _on_stream_closed(self, exc: runtime.StreamClosedError) -> None:
        if not self.ready.done():
            self._finish(
                decisions.EndpointUnreachableError(str(exc), exc.refused)
            )
            return
        self._finish(EndpointLostError(str(exc)))

    def _finish(self, exc: Exception) -> None:
        if self.closed:
            return
        self.closed = True
        self._timer.cancel()
        decisions.reject(self.ready, exc)
        pending, self._pending = self._pending, collections.deque()
        for unanswered in pending:
            decisions.reject(unanswered.fut, exc)
        if self.on_closed is not None:
            self.on_closed(self)
