"""How streams end: all that was sent arrives, what follows is ignored."""

import select
import socket
import time
import typing

import pytest

import ferry_runtime as runtime
from ferry_runtime import _streams

TEST_TIMEOUT_S = 10.0
ANSWER = b"answer\r\n"


class Server:
    """Accepts a single connection; collects what happens to its stream."""

    def __init__(self, loop):
        self.loop = loop
        self.stream: typing.Any = None
        self.received = b""
        self.ends = []
        self._listener = runtime.Listener(loop, "127.0.0.1", 0, self._accept)
        self.client = socket.create_connection(
            ("127.0.0.1", self._listener.port)
        )
        self.client.settimeout(TEST_TIMEOUT_S)
        self.run_until(lambda: self.stream is not None)

    def _accept(self, stream):
        self.stream = stream
        stream.on_data = self._receive
        stream.on_closed = lambda exc: self.ends.append(str(exc))

    def _receive(self, data):
        self.received += data

    def run_until(self, condition):
        end = time.monotonic() + TEST_TIMEOUT_S
        while not condition():
            assert time.monotonic() < end, "the test hangs"
            self.loop.after(0.01, lambda: None)
            self.loop.step()

    def run_for(self, seconds):
        end = time.monotonic() + seconds
        self.run_until(lambda: time.monotonic() >= end)

    def finish(self):
        self.stream.close_when_sent(lambda: self.ends.append("finished"))

    def close(self):
        self._listener.close()
        self.client.close()


@pytest.fixture
def server():
    made = Server(runtime.EventLoop())
    yield made
    made.close()


# Guards against a reset that destroys an answer which the peer has not read.
def test_an_answer_arrives_although_the_peer_has_sent_more(server):
    server.client.sendall(b"request that nobody reads any more\r\n")
    select.select([], [], [], 0.05)
    server.stream.send(ANSWER)
    server.finish()
    server.client.sendall(b"another one\r\n")
    server.run_for(0.1)
    assert server.client.recv(100) == ANSWER
    assert server.client.recv(100) == b""
    assert server.received == b""


def test_a_stream_ends_once_its_peer_closes(server):
    server.stream.send(ANSWER)
    server.finish()
    assert server.stream.closed
    server.run_for(0.1)
    assert server.ends == []
    server.client.close()
    server.run_until(lambda: server.ends == ["finished"])


def test_a_peer_that_does_not_close_is_not_waited_for_without_end(server):
    began_at = time.monotonic()
    server.finish()
    server.run_until(lambda: server.ends == ["finished"])
    elapsed_s = time.monotonic() - began_at
    assert _streams.LINGER_S <= elapsed_s < _streams.LINGER_S + 1.0


def test_a_slow_reader_gets_all_that_was_queued(server):
    data = bytes(range(256)) * 20_000
    server.stream.send(data)
    assert server.stream.queued
    server.finish()
    server.stream.send(b"too late")
    server.run_for(_streams.LINGER_S + 0.2)
    assert server.ends == []
    received = b""
    while len(received) < len(data):
        server.run_for(0.001)
        received += server.client.recv(1 << 20)
    server.run_until(lambda: not server.stream.queued)
    assert received == data
    assert server.client.recv(100) == b""


def test_a_paused_stream_can_be_closed(server):
    server.stream.pause()
    server.stream.close()
    server.stream.close()
    assert server.client.recv(100) == b""


def test_a_peer_that_resets_ends_the_wait(server):
    server.stream.send(bytes(8_000_000))
    server.finish()
    server.client.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
    )
    server.client.close()
    server.run_until(lambda: server.ends == ["finished"])


def test_connections_that_wait_are_accepted_before_listening_ends():
    loop = runtime.EventLoop()
    accepted: list[runtime.Stream] = []
    listener = runtime.Listener(loop, "127.0.0.1", 0, accepted.append)
    client = socket.create_connection(("127.0.0.1", listener.port))
    listener.accept_waiting()
    listener.close()
    assert len(accepted) == 1
    accepted[0].close()
    client.close()


# Guards against a connection that is closed for silence although a request has
# arrived while the process was paused.
def test_what_has_arrived_can_be_read_before_the_next_step(server):
    server.client.sendall(b"request")
    select.select([server.stream._sock], [], [], 1.0)
    assert server.received == b""
    server.stream.read_arrived()
    assert server.received == b"request"
    server.stream.read_arrived()
    server.stream.close()
    server.stream.read_arrived()
    assert server.received == b"request"
