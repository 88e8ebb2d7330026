"""TLS on a non-blocking socket.

This is a separate module so that a process whose callers use no TLS does not
load `ssl`, which costs 4.9 MB of resident memory and 20 ms of CPU at startup.
"""

from collections.abc import Callable
import enum
import socket
import ssl
import typing

T = typing.TypeVar("T")


class HandshakeWait(enum.Enum):
    """The socket event that a TLS handshake waits for, if any."""

    READ = "read"
    WRITE = "write"
    DONE = "nothing"


class TlsSocket:
    """The server side of a TLS connection, with the socket methods of streams.

    Like a plain non-blocking socket, `send` and `recv` raise `BlockingIOError`
    when TLS itself must first read or write.
    """

    def __init__(self, sock: socket.socket, context: ssl.SSLContext) -> None:
        self._sock = context.wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False
        )

    def handshake(self) -> HandshakeWait:
        """Continues the handshake; returns what it waits for.

        Raises:
            OSError: The handshake failed: the peer does not use TLS or
                violated the protocol.
        """
        try:
            self._sock.do_handshake()
        except ssl.SSLWantReadError:
            return HandshakeWait.READ
        except ssl.SSLWantWriteError:
            return HandshakeWait.WRITE
        return HandshakeWait.DONE

    @property
    def has_pending(self) -> bool:
        """Whether decrypted bytes are waiting to be read."""
        return bool(self._sock.pending())

    def send(self, data: bytes | bytearray) -> int:
        """Sends bytes and returns how many were accepted."""
        return _call(lambda: self._sock.send(data))

    def recv(self, size: int) -> bytes:
        """Receives up to `size` decrypted bytes."""
        return _call(lambda: self._sock.recv(size))

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        """Sets an option of the underlying socket."""
        self._sock.setsockopt(level, option, value)

    def shutdown(self, how: int) -> None:
        """Ends one or both directions of the connection."""
        self._sock.shutdown(how)

    def fileno(self) -> int:
        """Returns the file descriptor of the underlying socket."""
        return self._sock.fileno()

    def close(self) -> None:
        """Closes the underlying socket."""
        self._sock.close()


def _call(work: Callable[[], T]) -> T:
    try:
        return work()
    except (ssl.SSLWantReadError, ssl.SSLWantWriteError) as exc:
        raise BlockingIOError(str(exc)) from exc
