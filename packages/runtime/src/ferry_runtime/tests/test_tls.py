"""Tests TLS on streams against the standard library's client."""

from collections.abc import Iterator
import pathlib
import socket
import ssl

import pytest

import ferry_runtime as runtime

CERTIFICATE = pathlib.Path(__file__).parent / "data" / "server.pem"
HOST = "127.0.0.1"
TIMEOUT_S = 10.0


class EchoServer:
    """Starts TLS on each accepted stream and echoes the received bytes."""

    def __init__(self) -> None:
        self.loop = runtime.EventLoop()
        self.closed: list[str] = []
        self.streams: list[runtime.Stream] = []
        self._context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self._context.load_cert_chain(CERTIFICATE)
        self._listener = runtime.Listener(self.loop, HOST, 0, self._accept)
        self.port = self._listener.port
        self.thread = self.loop.start_thread("tls-echo")

    def _accept(self, stream: runtime.Stream) -> None:
        stream.on_data = stream.send
        stream.on_closed = lambda exc: self.closed.append(str(exc))
        stream.start_tls(self._context)
        self.streams.append(stream)

    def stop(self) -> None:
        self.loop.stop()
        self.thread.join(TIMEOUT_S)
        self.loop.close()


@pytest.fixture
def server() -> Iterator[EchoServer]:
    echo_server = EchoServer()
    yield echo_server
    echo_server.stop()


def connect(server: EchoServer) -> ssl.SSLSocket:
    context = ssl.create_default_context(cafile=str(CERTIFICATE))
    raw = socket.create_connection((HOST, server.port), TIMEOUT_S)
    return context.wrap_socket(raw, server_hostname="localhost")


@pytest.mark.parametrize("size", [1, 20_000, 3_000_000])
def test_bytes_pass_whole_in_both_directions(server, size):
    """The sizes exceed one TLS record and the socket buffers in between."""
    sent = bytes(n % 251 for n in range(size))
    client = connect(server)
    client.sendall(sent)  # The server queues what is not read yet.
    received = bytearray()
    while len(received) < size:
        received += client.recv(65_536)
    assert bytes(received) == sent
    assert server.streams[0].is_tls
    client.close()


def test_a_caller_without_tls_is_closed_and_others_go_on(server):
    plain = socket.create_connection((HOST, server.port), TIMEOUT_S)
    plain.sendall(b"START orders u1\r\n" * 20)
    plain.settimeout(TIMEOUT_S)
    while True:
        try:
            if not plain.recv(4096):
                break
        except ConnectionResetError:
            break
    client = connect(server)
    client.sendall(b"hello")
    assert client.recv(5) == b"hello"
    assert len(server.closed) == 1
    client.close()
