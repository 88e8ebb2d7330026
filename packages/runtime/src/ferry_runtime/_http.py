"""HTTP/1.1 on the event loop: a small client and a small server.

The protocol itself is `h11`'s; this module moves its bytes over streams. One
call occupies one connection. A connection is used again only after a whole
reply, so a lost reply never answers a later call.
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
STALLED_S = 0.4  # Many network trips without a byte of a reply that has begun.
IDLE_REUSE_S = 8.0  # Servers commonly close idle connections after 10 s.
USER_TIMEOUT_MS = 1_500  # Unacknowledged bytes end a connection.
RECV_LIMIT_BYTES = 4 * 1024 * 1024  # Several values of a megabyte, encoded.


class HttpCallFailedError(Exception):
    """A call has no reply; it may have been executed all the same."""


@attrs.frozen(slots=True)
class HttpRequest:
    """A request that a server took in.

    Attributes:
        method: GET, POST and so on.
        path: The target without its query.
        query: The rest of the target, without the question mark.
        headers: The header fields, by name in lower case.
        body: The whole body.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@attrs.frozen(slots=True)
class HttpReply:
    """A whole reply.

    Attributes:
        status: The status code.
        body: The whole body.
        headers: The header fields, by name in lower case.
    """

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = attrs.field(factory=dict, eq=False)


def _fields(raw: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Returns header fields by name in lower case."""
    return {
        name.decode("ascii").lower(): value.decode("latin-1")
        for name, value in raw
    }


class _ClientConn:
    """One connection of the client; it carries one call at a time."""

    def __init__(self, loop: _loop.EventLoop, host: str, port: int) -> None:
        self._host = f"{host}:{port}"
        self._conn = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=RECV_LIMIT_BYTES
        )
        self._fut: decisions.Future[HttpReply] | None = None
        self._status = 0
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._stream = _streams.connect(loop, host, port)
        self._stream.on_data = self._receive
        self._stream.on_closed = self._lost
        self._stream.keep_alive(USER_TIMEOUT_MS)
        self._loop = loop
        self.used = loop.now()
        self.heard: float | None = None

    @property
    def reusable(self) -> bool:
        """Whether another call may follow."""
        return not self._stream.closed and self._fut is None

    def call(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> "decisions.Future[HttpReply]":
        """Sends a request; returns the future of its reply."""
        fut: decisions.Future[HttpReply] = decisions.Future()
        self._fut = fut
        self.heard = None
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
        """Closes the connection; its reply will not be awaited any more."""
        self._stream.abort()

    def _send(self, event: h11.Event) -> None:
        data = self._conn.send(event)
        if data:
            self._stream.send(data)

    def _receive(self, data: bytes) -> None:
        self.heard = self._loop.now()
        try:
            self._conn.receive_data(data)
            while self._take(self._conn.next_event()):
                pass
        except h11.RemoteProtocolError as exc:
            self._fail(str(exc))

    def _take(self, event: typing.Any) -> bool:
        """Takes one event in; returns whether more may follow."""
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

    def _lost(self, exc: _streams.StreamClosedError) -> None:
        self._fail(str(exc))

    def _fail(self, detail: str) -> None:
        self._stream.close()
        fut, self._fut = self._fut, None
        if fut is not None:
            decisions.reject(fut, HttpCallFailedError(detail))


class HttpClient:
    """Calls one server, over connections that are kept open."""

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
        """Sends a request.

        Fails with `HttpCallFailedError` where no reply begins in time, or
        where one that has begun does not go on; the connection is then reset,
        so that nothing of it arrives later than what is already on its way. A
        reply that takes long on a narrow link is not given up: it would be
        asked for again, whole.
        """
        conn = self._conn()
        inner = conn.call(method, target, headers or {}, body)
        out: decisions.Future[HttpReply] = decisions.Future()
        self._look_after(timeout_s, conn, out)
        inner.add_done_callback(lambda fut: self._settle(conn, fut, out))
        return out

    def close(self) -> None:
        """Closes the idle connections."""
        idle, self._idle = self._idle, []
        for conn in idle:
            conn.abort()

    def _conn(self) -> _ClientConn:
        now = self._loop.now()
        while self._idle:
            conn = self._idle.pop()
            if conn.reusable and now - conn.used < IDLE_REUSE_S:
                return conn
            conn.abort()
        return _ClientConn(self._loop, self._host, self._port)

    def _settle(
        self,
        conn: _ClientConn,
        inner: "decisions.Future[HttpReply]",
        out: "decisions.Future[HttpReply]",
    ) -> None:
        if conn.reusable and len(self._idle) < MAX_IDLE_CONNS:
            conn.used = self._loop.now()
            self._idle.append(conn)
        else:
            conn.abort()
        decisions.forward(inner, out)

    def _look_after(
        self,
        pause_s: float,
        conn: _ClientConn,
        out: "decisions.Future[HttpReply]",
    ) -> None:
        """Looks after a time whether a reply comes, and again if it does."""
        timer = self._loop.after(pause_s, lambda: self._expire(conn, out))
        out.add_done_callback(lambda _: timer.cancel())

    def _expire(
        self, conn: _ClientConn, out: "decisions.Future[HttpReply]"
    ) -> None:
        heard = conn.heard
        if heard is not None and self._loop.now() - heard < STALLED_S:
            self._look_after(STALLED_S, conn, out)
            return
        conn.abort()
        decisions.reject(out, HttpCallFailedError("no reply in time"))


Handler = Callable[[HttpRequest], "HttpReply | decisions.Future[HttpReply]"]


class _ServerConn:
    """One connection of the server."""

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
            while self._take(self._conn.next_event()):
                pass
        except h11.RemoteProtocolError as exc:
            decisions.log_debug("bad HTTP request: %s", exc)
            self._stream.close()

    def _take(self, event: typing.Any) -> bool:
        if isinstance(event, h11.Request):
            self._req = event
            self._body = []
        elif isinstance(event, h11.Data):
            self._body.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._answer()
        elif isinstance(event, h11.ConnectionClosed):
            self._stream.close()
            return False
        return event not in (h11.NEED_DATA, h11.PAUSED)

    def _answer(self) -> None:
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
    """Answers each request by one handler, at once."""

    def __init__(
        self, loop: _loop.EventLoop, host: str, port: int, handler: Handler
    ) -> None:
        self._handler = handler
        self._listener = _streams.Listener(loop, host, port, self._accept)
        self.port = self._listener.port

    def close(self) -> None:
        """Stops listening."""
        self._listener.close()

    def _accept(self, stream: _streams.Stream) -> None:
        _ServerConn(stream, self._handler)
