"""Tests the HTTP client and server together and against faulty servers."""

import time

import ferry_decisions as decisions
import pytest

import ferry_runtime as runtime

# A safety net that ends a test which would otherwise hang.
TIMEOUT_S = 10.0


def run_until_done(loop, fut):
    """Runs the loop until `fut` is done or `TIMEOUT_S` has passed."""
    end = time.monotonic() + TIMEOUT_S
    while not fut.done() and time.monotonic() < end:
        loop.step()
    return fut


@pytest.fixture
def loop():
    made = runtime.EventLoop()
    made.after(0.01, lambda: None)
    return made


def serve(loop, handler):
    server = runtime.HttpServer(loop, "127.0.0.1", 0, handler)
    return runtime.HttpClient(loop, "127.0.0.1", server.port)


def test_calls_reuse_one_connection(loop):
    seen = []

    def handler(req):
        seen.append((req.method, req.path, req.query, req.body))
        return runtime.HttpReply(200, b"hello")

    client = serve(loop, handler)
    for method, body in (("GET", b""), ("POST", b"data"), ("GET", b"")):
        fut = run_until_done(
            loop, client.call(method, "/a?b=1", TIMEOUT_S, body=body)
        )
        assert fut.result() == runtime.HttpReply(200, b"hello")
    assert seen[1] == ("POST", "/a", "b=1", b"data")
    assert len(client._idle) == 1


def test_a_replys_header_fields_arrive(loop):
    def handler(_):
        return runtime.HttpReply(503, b"", {"Store-Era": "7"})

    client = serve(loop, handler)
    reply = run_until_done(loop, client.call("GET", "/", TIMEOUT_S)).result()
    assert (reply.status, reply.headers["store-era"]) == (503, "7")


def test_a_late_reply_is_no_answer_to_the_next_call(loop):
    late: decisions.Future[runtime.HttpReply] = decisions.Future()
    replies = iter([late, runtime.HttpReply(200, b"second")])
    client = serve(loop, lambda _: next(replies))
    fut = run_until_done(loop, client.call("GET", "/", 0.02))
    assert isinstance(fut.exception(), runtime.HttpCallFailedError)
    late.set_result(runtime.HttpReply(200, b"first"))
    fut = run_until_done(loop, client.call("GET", "/", TIMEOUT_S))
    assert fut.result().body == b"second"


@pytest.mark.parametrize(
    "answer", [b"nonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Le", b""]
)
def test_broken_servers_are_typed_failures(loop, answer):
    def accept(stream):
        def reply(_):
            stream.send(answer)
            stream.close_when_sent()

        stream.on_data = reply

    listener = runtime.Listener(loop, "127.0.0.1", 0, accept)
    client = runtime.HttpClient(loop, "127.0.0.1", listener.port)
    fut = run_until_done(loop, client.call("GET", "/", TIMEOUT_S))
    assert isinstance(fut.exception(), runtime.HttpCallFailedError)


def test_nobody_listens(loop):
    listener = runtime.Listener(loop, "127.0.0.1", 0, lambda _: None)
    listener.close()
    client = runtime.HttpClient(loop, "127.0.0.1", listener.port)
    fut = run_until_done(loop, client.call("GET", "/", TIMEOUT_S))
    assert isinstance(fut.exception(), runtime.HttpCallFailedError)


@pytest.mark.parametrize(
    ("gap_s", "pieces", "is_whole"), [(0.02, 12, True), (0.6, 2, False)]
)
def test_a_reply_that_has_begun_may_take_long(loop, gap_s, pieces, is_whole):
    """A reply may outlast the timeout if it progresses, not if it stalls."""
    body = b"x" * pieces

    def accept(stream):
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {pieces}\r\n\r\n"
        stream.send(head.encode())
        for number in range(pieces):
            loop.after(gap_s * (number + 1), lambda: stream.send(b"x"))

    listener = runtime.Listener(loop, "127.0.0.1", 0, accept)
    client = runtime.HttpClient(loop, "127.0.0.1", listener.port)
    fut = run_until_done(loop, client.call("GET", "/", 0.05))
    if is_whole:
        assert fut.result().body == body
    else:
        assert isinstance(fut.exception(), runtime.HttpCallFailedError)
