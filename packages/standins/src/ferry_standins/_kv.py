"""A stand-in for the platform's key-value service.

It speaks the part of etcd's JSON gateway that the node uses: range, txn with
one comparison, watch, and leases. It can be made unavailable, slow, or to
lose answers after the change took effect.
"""

import base64
import http.server
import json
import queue
import threading
import time
import typing

import attrs

ERA_HEADER = "Store-Era"


@attrs.define
class KvFaults:
    """What is wrong with the service at present.

    Attributes:
        down: Whether every call fails.
        delay_s: Time that each call takes, in seconds.
        replies_to_drop: How many of the next writes take effect unanswered.
    """

    down: bool = False
    delay_s: float = 0.0
    replies_to_drop: int = 0


@attrs.frozen
class KvValue:
    """A value in the service.

    Attributes:
        value: Base64 text.
        revision: The revision that last changed it.
        lease: The lease that it hangs on; 0 for none.
    """

    value: str
    revision: int
    lease: int = 0


@attrs.frozen
class KvBackup:
    """What the service held at a moment."""

    values: dict[str, KvValue]
    revision: int


class KvState:
    """The service's contents, for any number of threads.

    Attributes:
        era: How often the service came back from a copy.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._values: dict[str, KvValue] = {}
        self._watchers: list[queue.Queue[tuple[str, KvValue]]] = []
        self._leases: dict[int, float] = {}
        self.revision = 1
        self.era = 0
        self.calls = 0

    def copy(self) -> KvBackup:
        """Returns what a later `restore` brings back."""
        with self._lock:
            return KvBackup(dict(self._values), self.revision)

    def restore(self, copy: KvBackup) -> None:
        """Comes back from a copy; all that was written since is gone."""
        with self._lock:
            self.era += 1
            self._values = dict(copy.values)
            self._leases.clear()
            self.revision = copy.revision

    def range(self, key: str, end: str) -> list[tuple[str, KvValue]]:
        """Returns the values of one key, or of all in `[key, end)`."""
        with self._lock:
            self._expire()
            self.calls += 1
            if not end:
                found = self._values.get(key)
                return [(key, found)] if found else []
            first, last = _raw(key), _raw(end)
            return sorted(
                (k, v)
                for k, v in self._values.items()
                if first <= _raw(k) < last
            )

    def put_if(self, key: str, value: str, revision: int, lease: int) -> bool:
        """Writes a key if its revision is `revision`; 0 for no key."""
        with self._lock:
            self._expire()
            self.calls += 1
            known = self._values.get(key)
            if (known.revision if known else 0) != revision:
                return False
            self.revision += 1
            written = KvValue(value, self.revision, lease)
            self._values[key] = written
            for watcher in self._watchers:
                watcher.put((key, written))
            return True

    def grant(self, ttl_s: float) -> int:
        """Returns a new lease."""
        with self._lock:
            self.calls += 1
            number = len(self._leases) + 1
            self._leases[number] = time.monotonic() + ttl_s
            return number

    def watch(self) -> "queue.Queue[tuple[str, KvValue]]":
        """Returns a queue that gets each change from now on."""
        watcher: queue.Queue[tuple[str, KvValue]] = queue.Queue()
        with self._lock:
            self.calls += 1
            self._watchers.append(watcher)
        return watcher

    def unwatch(self, watcher: "queue.Queue[tuple[str, KvValue]]") -> None:
        """Ends a watch."""
        with self._lock:
            self._watchers.remove(watcher)

    def since(self, revision: int) -> list[tuple[str, KvValue]]:
        """Returns the values that are as new as a revision, oldest first."""
        with self._lock:
            found = [
                (k, v)
                for k, v in self._values.items()
                if v.revision >= revision
            ]
        return sorted(found, key=lambda pair: pair[1].revision)

    def _expire(self) -> None:
        now = time.monotonic()
        gone = {n for n, end in self._leases.items() if end < now}
        for key, value in list(self._values.items()):
            if value.lease in gone:
                del self._values[key]


def encode_key(text: str) -> str:
    """Returns a key or value as the service's protocol carries it."""
    return base64.b64encode(text.encode()).decode()


def _raw(key: str) -> bytes:
    return base64.b64decode(key)


class KvServer:
    """Serves a `KvState` over HTTP, with faults."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self.state = KvState()
        self.faults = KvFaults()
        self._closing = threading.Event()
        server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            """Hands each request to the server."""

            protocol_version = "HTTP/1.1"

            def do_POST(self) -> None:  # noqa: N802 - the library's name
                server.handle(self)

            def log_message(self, format: str, *args: object) -> None:
                """Logs nothing."""

        self._server = http.server.ThreadingHTTPServer((host, port), Handler)
        self._server.daemon_threads = True
        self.url = f"http://{host}:{self._server.server_address[1]}"
        threading.Thread(
            target=self._server.serve_forever, name="kv", daemon=True
        ).start()

    def close(self) -> None:
        """Stops serving."""
        self._closing.set()
        self._server.shutdown()
        self._server.server_close()

    def handle(self, request: http.server.BaseHTTPRequestHandler) -> None:
        """Answers one request, as the faults allow."""
        length = int(request.headers.get("Content-Length", "0"))
        body = json.loads(request.rfile.read(length) or b"{}")
        if self.faults.delay_s:
            time.sleep(self.faults.delay_s)
        if self.faults.down:
            request.close_connection = True
            return
        if request.path == "/v3/watch":
            self._watch(request, body["create_request"])
            return
        reply = self._reply(request.path, body)
        wrote = request.path == "/v3/kv/txn" and reply.get("succeeded")
        if wrote and self.faults.replies_to_drop > 0:
            self.faults.replies_to_drop -= 1
            request.close_connection = True
            return
        data = json.dumps(reply).encode()
        request.send_response(200 if reply else 404)
        request.send_header("Content-Type", "application/json")
        request.send_header("Content-Length", str(len(data)))
        request.send_header(ERA_HEADER, str(self.state.era))
        request.end_headers()
        request.wfile.write(data)

    def _reply(self, path: str, body: typing.Any) -> dict[str, typing.Any]:
        header = {"revision": str(self.state.revision)}
        if path == "/v3/kv/range":
            found = self.state.range(body["key"], body.get("range_end", ""))
            return {"header": header, "kvs": [_kv(k, v) for k, v in found]}
        if path == "/v3/kv/txn":
            put = body["success"][0]["request_put"]
            revision = int(body["compare"][0]["mod_revision"])
            done = self.state.put_if(
                put["key"], put["value"], revision, int(put.get("lease", 0))
            )
            header = {"revision": str(self.state.revision)}
            return {"header": header, "succeeded": done}
        if path == "/v3/lease/grant":
            number = self.state.grant(float(body["TTL"]))
            return {"header": header, "ID": str(number), "TTL": body["TTL"]}
        return {}

    def _watch(
        self, request: http.server.BaseHTTPRequestHandler, create: typing.Any
    ) -> None:
        watcher = self.state.watch()
        era = self.state.era
        request.close_connection = True
        try:
            request.send_response(200)
            request.send_header("Transfer-Encoding", "chunked")
            request.send_header(ERA_HEADER, str(self.state.era))
            request.end_headers()
            if "start_revision" in create:
                for key, value in self.state.since(
                    int(create["start_revision"])
                ):
                    self._send_event(request, create, key, value)
            # A service that comes back from a copy keeps no connection.
            while not self._closing.is_set() and not self.faults.down:
                if self.state.era != era:
                    return
                try:
                    key, value = watcher.get(timeout=0.1)
                except queue.Empty:
                    continue
                self._send_event(request, create, key, value)
        except OSError:
            return
        finally:
            self.state.unwatch(watcher)

    def _send_event(
        self,
        request: http.server.BaseHTTPRequestHandler,
        create: typing.Any,
        key: str,
        value: KvValue,
    ) -> None:
        first, last = _raw(create["key"]), _raw(create["range_end"])
        if not first <= _raw(key) < last:
            return
        event = {"result": {"events": [{"kv": _kv(key, value)}]}}
        line = json.dumps(event).encode() + b"\n"
        request.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))
        request.wfile.flush()


def _kv(key: str, value: KvValue) -> dict[str, str]:
    return {
        "key": key,
        "value": value.value,
        "mod_revision": str(value.revision),
    }
