"""Buffered streams over non-blocking sockets, with optional TLS."""

from collections.abc import Callable
import errno
import selectors
import socket
import struct
import typing

from ferry_runtime import _loop

if typing.TYPE_CHECKING:
    import ssl

    from ferry_runtime import _tls

RECV_BYTES = 65_536
MAX_READS_PER_EVENT = 4

_READ = selectors.EVENT_READ
_WRITE = selectors.EVENT_WRITE


class StreamClosedError(ConnectionError):
    """The stream is closed.

    Attributes:
        refused: Whether the other machine refused the connection.
    """

    def __init__(self, detail: str, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused


class Stream:
    """A byte stream that calls back with what arrives.

    `on_data` gets each chunk, `on_closed` the reason once, `on_open` runs when
    a connection that this side began is established.
    """

    __slots__ = (
        "_loop",
        "_sock",
        "_tls",
        "_out",
        "_events",
        "_opening",
        "_handshaking",
        "_paused",
        "_closing",
        "closed",
        "on_data",
        "on_closed",
        "on_open",
    )

    def __init__(
        self, loop: _loop.EventLoop, sock: socket.socket, opening: bool = False
    ) -> None:
        self._loop = loop
        self._sock: socket.socket | _tls.TlsSocket = sock
        self._tls: _tls.TlsSocket | None = None
        self._out: bytearray | None = None
        self._opening = opening
        self._handshaking = False
        self._paused = False
        self._closing = False
        self.closed = False
        self.on_data: Callable[[bytes], object] = _ignore
        self.on_closed: Callable[[StreamClosedError], object] = _ignore
        self.on_open: Callable[[], object] = _nothing
        sock.setblocking(False)
        self._events = _WRITE if opening else _READ
        loop.register(sock, self._events, self._ready)

    @property
    def queued(self) -> int:
        """Bytes that wait to be sent."""
        return len(self._out) if self._out else 0

    @property
    def is_opening(self) -> bool:
        """Whether the connection is not established yet."""
        return self._opening and not self.closed

    @property
    def is_tls(self) -> bool:
        """Whether the stream is encrypted."""
        return self._tls is not None

    def send(self, data: bytes) -> None:
        """Sends bytes, or queues what the socket does not take now."""
        if self.closed:
            return
        if self._out or self._opening or self._handshaking:
            self._queue(data)
            return
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError as exc:
            detail = str(exc)
            self._loop.call_soon(lambda: self._fail(detail))
            return
        if sent < len(data):
            self._queue(data[sent:])

    def pause(self) -> None:
        """Stops reading until `resume`."""
        self._paused = True
        self._update()

    def resume(self) -> None:
        """Reads again."""
        self._paused = False
        self._update()

    def start_tls(self, context: "ssl.SSLContext") -> None:
        """Starts TLS as the server; data flows after the handshake."""
        from ferry_runtime import _tls

        assert isinstance(self._sock, socket.socket)
        self._loop.unregister(self._sock)
        self._tls = self._sock = _tls.TlsSocket(self._sock, context)
        self._handshaking = True
        self._events = _READ
        self._loop.register(self._sock, self._events, self._ready)

    def keep_alive(self, timeout_ms: int) -> None:
        """Lets the kernel end a connection whose other end is silent.

        Args:
            timeout_ms: Time for sent bytes to be acknowledged.
        """
        sock = self._sock
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def close(self) -> None:
        """Closes at once, without calling `on_closed`."""
        if self.closed:
            return
        self.closed = True
        self._out = None
        self._loop.unregister(self._sock)
        self._sock.close()

    def abort(self) -> None:
        """Closes with a reset, so that queued bytes are not delivered."""
        if self.closed:
            return
        linger = struct.pack("ii", 1, 0)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close()

    def close_when_sent(self) -> None:
        """Closes once all queued bytes are sent."""
        if not self._out:
            self.close()
            return
        self._closing = True

    def _queue(self, data: bytes) -> None:
        if self._out is None:
            self._out = bytearray()
        self._out += data
        self._update()

    def _update(self) -> None:
        if self.closed or self._opening or self._handshaking:
            return
        events = 0 if self._paused else _READ
        if self._out:
            events |= _WRITE
        if events == self._events:
            return
        if events == 0:
            self._loop.unregister(self._sock)
        elif self._events == 0:
            self._loop.register(self._sock, events, self._ready)
        else:
            self._loop.modify(self._sock, events, self._ready)
        self._events = events

    def _ready(self, events: int) -> None:
        if self._opening:
            self._finish_opening()
            return
        if self._handshaking:
            self._continue_handshake()
            return
        if events & _WRITE:
            self._flush()
        if events & _READ and not self.closed:
            self._receive()

    def _finish_opening(self) -> None:
        assert isinstance(self._sock, socket.socket)
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._fail(errno.errorcode.get(code, str(code)), _refused(code))
            return
        self._opening = False
        self._update()
        self.on_open()

    def _continue_handshake(self) -> None:
        from ferry_runtime import _tls

        assert self._tls is not None
        try:
            need = self._tls.handshake()
        except OSError as exc:
            self._fail(str(exc))
            return
        self._handshaking = need is not _tls.Need.NOTHING
        events = _WRITE if need is _tls.Need.WRITE else _READ
        if events != self._events:
            self._loop.modify(self._sock, events, self._ready)
            self._events = events
        self._update()

    def _flush(self) -> None:
        if not self._out:
            return
        try:
            sent = self._sock.send(self._out)
        except BlockingIOError:
            return
        except OSError as exc:
            self._fail(str(exc))
            return
        del self._out[:sent]
        if not self._out:
            self._out = None
            if self._closing:
                self.close()
                return
        self._update()

    def _receive(self) -> None:
        for _ in range(MAX_READS_PER_EVENT):
            try:
                data = self._sock.recv(RECV_BYTES)
            except BlockingIOError:
                return
            except OSError as exc:
                self._fail(str(exc))
                return
            if not data:
                self._fail("closed by the other side")
                return
            self.on_data(data)
            if self.closed or self._paused:
                return
            if len(data) < RECV_BYTES and not self._pending_tls():
                return

    def _pending_tls(self) -> bool:
        return self._tls is not None and self._tls.has_pending

    def _fail(self, detail: str, refused: bool = False) -> None:
        if self.closed:
            return
        self.close()
        self.on_closed(StreamClosedError(detail, refused))


class Listener:
    """A listening TCP socket that hands over accepted streams."""

    def __init__(
        self,
        loop: _loop.EventLoop,
        host: str,
        port: int,
        on_stream: Callable[[Stream], object],
    ) -> None:
        self._loop = loop
        self._on_stream = on_stream
        self._sock = socket.create_server((host, port), backlog=1024)
        self._sock.setblocking(False)
        self.port: int = self._sock.getsockname()[1]
        self._open = True
        loop.register(self._sock, _READ, self._accept)

    def _accept(self, _: int) -> None:
        for _i in range(64):
            try:
                sock, _addr = self._sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._on_stream(Stream(self._loop, sock))

    def close(self) -> None:
        """Stops listening."""
        if self._open:
            self._open = False
            self._loop.unregister(self._sock)
            self._sock.close()


def connect(loop: _loop.EventLoop, host: str, port: int) -> Stream:
    """Begins a TCP connection; the stream's callbacks tell how it went."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    code = sock.connect_ex((host, port))
    stream = Stream(loop, sock, opening=True)
    if code not in (0, errno.EINPROGRESS):
        detail = errno.errorcode.get(code, str(code))
        loop.call_soon(lambda: stream._fail(detail, _refused(code)))
    return stream


def _refused(code: int) -> bool:
    return code == errno.ECONNREFUSED


def _ignore(_: object) -> None:
    return None


def _nothing() -> None:
    return None
