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

# How long a stream that has sent all it had to waits for its peer to close.
LINGER_S = 1.0

_READ = selectors.EVENT_READ
_WRITE = selectors.EVENT_WRITE


class StreamClosedError(ConnectionError):
    """The stream is closed or could not be opened.

    Attributes:
        refused: Whether the remote host refused the connection.
    """

    def __init__(self, detail: str, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused


class Stream:
    """A byte stream that reports received data through callbacks.

    Attributes:
        closed: Whether the stream is closed, or closes once all is sent.
        on_data: Receives each chunk of data.
        on_closed: Receives the reason, once, when the stream fails or the peer
            closes it. Closing it locally does not call it.
        on_open: Called when an outgoing connection is established.
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
        "_is_finishing",
        "_is_released",
        "_on_finished",
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
        self._is_finishing = False
        self._is_released = False
        self._on_finished: Callable[[], object] = _no_op
        self.closed = False
        self.on_data: Callable[[bytes], object] = _ignore
        self.on_closed: Callable[[StreamClosedError], object] = _ignore
        self.on_open: Callable[[], object] = _no_op
        sock.setblocking(False)
        self._events = _WRITE if opening else _READ
        loop.register(sock, self._events, self._ready)

    @property
    def queued(self) -> int:
        """Number of bytes that are queued for sending."""
        return len(self._out) if self._out else 0

    @property
    def is_opening(self) -> bool:
        """Whether an outgoing connection is still being established."""
        return self._opening and not self.closed

    @property
    def is_tls(self) -> bool:
        """Whether TLS has been started on this stream."""
        return self._tls is not None

    def send(self, data: bytes) -> None:
        """Sends bytes and queues those that the socket does not accept yet."""
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

    def read_arrived(self) -> None:
        """Reads what has arrived; a pause of the process may have hidden it."""
        if self.closed or self._opening or self._handshaking or self._paused:
            return
        self._receive()

    def pause(self) -> None:
        """Stops reading until `resume` is called."""
        self._paused = True
        self._update_events()

    def resume(self) -> None:
        """Resumes reading after `pause`."""
        self._paused = False
        self._update_events()

    def start_tls(self, context: "ssl.SSLContext") -> None:
        """Starts TLS as the server; data is sent only after the handshake."""
        from ferry_runtime import _tls

        assert isinstance(self._sock, socket.socket)
        self._loop.unregister(self._sock)
        self._tls = self._sock = _tls.TlsSocket(self._sock, context)
        self._handshaking = True
        self._events = _READ
        self._loop.register(self._sock, self._events, self._ready)

    def keep_alive(self, timeout_ms: int) -> None:
        """Makes the kernel close the connection if the peer stops responding.

        Args:
            timeout_ms: Time within which the peer must acknowledge sent bytes.
        """
        sock = self._sock
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def close(self) -> None:
        """Closes immediately, without calling `on_closed`."""
        self.closed = True
        if self._is_released:
            return
        self._is_released = True
        self._out = None
        if self._events:
            self._loop.unregister(self._sock)
        self._sock.close()
        self._on_finished()

    def abort(self) -> None:
        """Closes with a TCP reset, which discards bytes not yet delivered."""
        if self._is_released:
            return
        linger = struct.pack("ii", 1, 0)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close()

    def close_when_sent(
        self, on_finished: Callable[[], object] | None = None
    ) -> None:
        """Sends all queued bytes, and closes once the peer has closed, too.

        To close a socket with unread bytes resets the connection, and a reset
        discards bytes that the peer has not read yet. So this side only ends
        its direction, and ignores what still arrives.

        Args:
            on_finished: Called when the connection has ended.
        """
        if self.closed:
            if on_finished is not None:
                on_finished()
            return
        if on_finished is not None:
            self._on_finished = on_finished
        if self._opening or self._handshaking:
            self.close()
            return
        self.closed = True
        self._is_finishing = True
        self.on_data = _ignore
        self.resume()
        if not self._out:
            self._end_sending()

    def _end_sending(self) -> None:
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()  # The peer has reset the connection.
        else:
            self._loop.after(LINGER_S, self.close)

    def _queue(self, data: bytes) -> None:
        if self._out is None:
            self._out = bytearray()
        self._out += data
        self._update_events()

    def _update_events(self) -> None:
        if self._is_released or self._opening or self._handshaking:
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
        if events & _READ and not self._is_released:
            self._receive()

    def _finish_opening(self) -> None:
        assert isinstance(self._sock, socket.socket)
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._fail(errno.errorcode.get(code, str(code)), _is_refusal(code))
            return
        self._opening = False
        self._update_events()
        self.on_open()

    def _continue_handshake(self) -> None:
        from ferry_runtime import _tls

        assert self._tls is not None
        try:
            need = self._tls.handshake()
        except OSError as exc:
            self._fail(str(exc))
            return
        self._handshaking = need is not _tls.HandshakeWait.DONE
        events = _WRITE if need is _tls.HandshakeWait.WRITE else _READ
        if events != self._events:
            self._loop.modify(self._sock, events, self._ready)
            self._events = events
        self._update_events()

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
            if self._is_finishing:
                self._end_sending()
        self._update_events()

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
        is_closed = self.closed
        self.close()
        if is_closed:
            return
        self.on_closed(StreamClosedError(detail, refused))


class Listener:
    """A listening TCP socket that passes accepted streams to a callback."""

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

    def accept_waiting(self) -> None:
        """Accepts the connections that peers have already established."""
        if self._open:
            self._accept(_READ)

    def close(self) -> None:
        """Stops listening; resets connections that are not accepted yet."""
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
        loop.call_soon(lambda: stream._fail(detail, _is_refusal(code)))
    return stream


def _is_refusal(code: int) -> bool:
    return code == errno.ECONNREFUSED


def _ignore(_: object) -> None:
    return None


def _no_op() -> None:
    return None
