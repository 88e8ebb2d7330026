"""Minimal HTTP/1.1 client and server on the event loop.

`h11` implements the protocol; this module carries its bytes over streams. A
connection serves one call at a time and is reused only after a complete reply,
so a reply that arrives late is never taken for the reply to a later call.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import typing

import attrs
import ferry_decisions as decisions
import h11

from ferry_runtime import _loop
from ferry_runtime import _streams

MAX_IDLE_CONNS = 4

# A reply that has begun fails after this long without another byte. The limit
# covers many network round trips.
STALL_TIMEOUT_S = 0.4

# Idle connections are reused for less time than the 10 s after which servers
# commonly close them.
IDLE_REUSE_S = 8.0

# The kernel ends a connection whose sent bytes stay unacknowledged this long.
TCP_USER_TIMEOUT_MS = 1_500

# Largest incomplete HTTP event. It has room for several encoded values of
# 1 MB each.
MAX_EVENT_BYTES = 4 * 1024 * 1024


class HttpCallFailedError(Exception):
    """A call got no complete reply; the server may still have executed it."""


@attrs.frozen(slots=True)
class HttpRequest:
    """A complete request that a server received.

    Attributes:
        method: GET, POST and so on.
        path: The request target without its query.
        query: The query string, without the question mark.
        headers: Header fields by lower-case name.
        body: The complete body.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@attrs.frozen(slots=True)
class HttpReply:
    """A complete reply.

    Attributes:
        status: The HTTP status code.
        body: The complete body.
        headers: Header fields by lower-case name.
    """

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = attrs.field(factory=dict, eq=False)


def _fields(raw: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Returns decoded header fields by lower-case name."""
    return {
        name.decode("ascii").lower(): value.decode("latin-1")
        for name, value in raw
    }


class _ClientConn:
    """A client connection, which carries one call at a time."""

    def __init__(self, loop: _loop.EventLoop, host: str, port: int) -> None:
        self._host = f"{host}:{port}"
        self._conn = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_EVENT_BYTES
        )
        self._fut: decisions.Future[HttpReply] | None = None
        self._status = 0
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._stream = _streams.connect(loop, host, port)
        self._stream.on_data = self._receive
        self._stream.on_closed = self._on_closed
        self._stream.keep_alive(TCP_USER_TIMEOUT_MS)
        self._loop = loop
        self.last_used_at = loop.now()
        self.last_received_at: float | None = None

    @property
    def reusable(self) -> bool:
        """Whether the connection is open and has no call in progress."""
        return not self._stream.closed and self._fut is None

    def call(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> "decisions.Future[HttpReply]":
        """Sends a request and returns a future of its reply."""
        fut: decisions.Future[HttpReply] = decisions.Future()
        self._fut = fut
        self.last_received_at = None
        self._status = 0
        self._body = []
        fields = {"Host": self._host, **headers}
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        event = h11.Request(
            method=method, target=target, headers=list(fields.items())
        )
        self._send(event)
        if body:
            self._send(h11.Data(data=body))
        self._send(h11.EndOfMessage())
        return fut

    def abort(self) -> None:
        """Resets the connection, which discards any reply still to come."""
        self._stream.abort()

    def _send(self, event: h11.Event) -> None:
        data = self._conn.send(event)
        if data:
            self._stream.send(data)

    def _receive(self, data: bytes) -> None:
        self.last_received_at = self._loop.now()
        try:
            self._conn.receive_data(data)
            while self._handle_event(self._conn.next_event()):
                pass
        except h11.RemoteProtocolError as exc:
            self._fail(str(exc))

    def _handle_event(self, event: typing.Any) -> bool:
        """Handles an `h11` event and returns whether to ask for another."""
        if isinstance(event, h11.Response):
            self._status = event.status_code
            self._headers = _fields(event.headers)
        elif isinstance(event, h11.Data):
            self._body.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._finish()
            return False
        return event not in (h11.NEED_DATA, h11.PAUSED)

    def _finish(self) -> None:
        fut, self._fut = self._fut, None
        if self._conn.our_state is h11.DONE is self._conn.their_state:
            self._conn.start_next_cycle()
        else:
            self._stream.close()
        if fut is not None:
            body = b"".join(self._body)
            reply = HttpReply(self._status, body, self._headers)
            decisions.resolve(fut, reply)

    def _on_closed(self, exc: _streams.StreamClosedError) -> None:
        self._fail(str(exc))

    def _fail(self, detail: str) -> None:
        self._stream.close()
        fut, self._fut = self._fut, None
        if fut is not None:
            decisions.reject(fut, HttpCallFailedError(detail))


class HttpClient:
    """Calls one server and keeps idle connections for later calls."""

    def __init__(self, loop: _loop.EventLoop, host: str, port: int) -> None:
        self._loop = loop
        self._host = host
        self._port = port
        self._idle: list[_ClientConn] = []

    def call(
        self,
        method: str,
        target: str,
        timeout_s: float,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> "decisions.Future[HttpReply]":
        """Sends a request and returns a future of its reply.

        The future fails with `HttpCallFailedError` if no reply begins within
        `timeout_s`, or if a reply that has begun stalls for `STALL_TIMEOUT_S`.
        The connection is then reset, so the server receives nothing beyond
        what is already in flight. A reply that is slow but makes progress, as
        on a narrow link, has no time limit: after a failure the caller would
        request all of it again.
        """
        conn = self._conn()
        inner = conn.call(method, target, headers or {}, body)
        out: decisions.Future[HttpReply] = decisions.Future()
        self._watch_progress(timeout_s, conn, out)
        inner.add_done_callback(lambda fut: self._finish_call(conn, fut, out))
        return out

    def close(self) -> None:
        """Closes all idle connections."""
        idle, self._idle = self._idle, []
        for conn in idle:
            conn.abort()

    def _conn(self) -> _ClientConn:
        now = self._loop.now()
        while self._idle:
            conn = self._idle.pop()
            if conn.reusable and now - conn.last_used_at < IDLE_REUSE_S:
                return conn
            conn.abort()
        return _ClientConn(self._loop, self._host, self._port)

    def _finish_call(
        self,
        conn: _ClientConn,
        inner: "decisions.Future[HttpReply]",
        out: "decisions.Future[HttpReply]",
    ) -> None:
        if conn.reusable and len(self._idle) < MAX_IDLE_CONNS:
            conn.last_used_at = self._loop.now()
            self._idle.append(conn)
        else:
            conn.abort()
        decisions.forward(inner, out)

    def _watch_progress(
        self,
        wait_s: float,
        conn: _ClientConn,
        out: "decisions.Future[HttpReply]",
    ) -> None:
        """Checks after `wait_s`, and repeatedly, that the reply progresses."""
        timer = self._loop.after(
            wait_s, lambda: self._check_progress(conn, out)
        )
        out.add_done_callback(lambda _: timer.cancel())

    def _check_progress(
        self, conn: _ClientConn, out: "decisions.Future[HttpReply]"
    ) -> None:
        last_received_at = conn.last_received_at
        if (
            last_received_at is not None
            and self._loop.now() - last_received_at < STALL_TIMEOUT_S
        ):
            self._watch_progress(STALL_TIMEOUT_S, conn, out)
            return
        conn.abort()
        decisions.reject(out, HttpCallFailedError("no reply in time"))


Handler = Callable[[HttpRequest], "HttpReply | decisions.Future[HttpReply]"]


class _ServerConn:
    """A server connection, which passes each request to the handler."""

    def __init__(self, stream: _streams.Stream, handler: Handler) -> None:
        self._stream = stream
        self._handler = handler
        self._conn = h11.Connection(h11.SERVER)
        self._req: h11.Request | None = None
        self._body: list[bytes] = []
        stream.on_data = self._receive

    def _receive(self, data: bytes) -> None:
        try:
            if data:
                self._conn.receive_data(data)
            while self._handle_event(self._conn.next_event()):
                pass
        except h11.RemoteProtocolError as exc:
            decisions.log_debug("invalid HTTP request: %s", exc)
            self._stream.close()

    def _handle_event(self, event: typing.Any) -> bool:
        if isinstance(event, h11.Request):
            self._req = event
            self._body = []
        elif isinstance(event, h11.Data):
            self._body.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._handle_request()
        elif isinstance(event, h11.ConnectionClosed):
            self._stream.close()
            return False
        return event not in (h11.NEED_DATA, h11.PAUSED)

    def _handle_request(self) -> None:
        req = self._req
        if req is None:
            return
        path, _, query = req.target.decode("ascii").partition("?")
        headers = _fields(req.headers)
        method = req.method.decode("ascii")
        body = b"".join(self._body)
        reply = self._handler(HttpRequest(method, path, query, headers, body))
        if isinstance(reply, HttpReply):
            self._send(reply)
        else:
            reply.add_done_callback(lambda fut: self._send(fut.result()))

    def _send(self, reply: HttpReply) -> None:
        if self._stream.closed:
            return
        headers = [
            *reply.headers.items(),
            ("Content-Length", str(len(reply.body))),
        ]
        head = h11.Response(status_code=reply.status, headers=headers)
        out = self._conn.send(head) or b""
        if reply.body:
            out += self._conn.send(h11.Data(data=reply.body)) or b""
        out += self._conn.send(h11.EndOfMessage()) or b""
        self._stream.send(out)
        if self._conn.our_state is h11.DONE is self._conn.their_state:
            self._conn.start_next_cycle()
            self._receive(b"")
        else:
            self._stream.close_when_sent()


class HttpServer:
    """Accepts connections and passes each request to one handler."""

    def __init__(
        self, loop: _loop.EventLoop, host: str, port: int, handler: Handler
    ) -> None:
        self._handler = handler
        self._listener = _streams.Listener(loop, host, port, self._accept)
        self.port = self._listener.port

    def close(self) -> None:
        """Stops listening; open connections remain."""
        self._listener.close()

    def _accept(self, stream: _streams.Stream) -> None:
        _ServerConn(stream, self._handler)
