"""The platform's key-value service, over etcd's JSON gateway.

Blocking calls run on an executor of their own; their futures complete on the
node's loop. A call without an answer fails as `StoreUnavailableError`: the
change may have taken effect.
"""

import base64
import builtins
from collections.abc import Callable
import concurrent.futures
import json
import threading
import typing

from absl import logging
import ferry_decisions as decisions
import ferry_runtime as runtime
import urllib3

CALL_TIMEOUT_S = 1.0
WATCH_READ_TIMEOUT_S = 30.0
WORKERS = 4


def _b64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _prefix_end(prefix: str) -> bytes:
    """Returns the first key after all that begin with `prefix`."""
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return bytes(raw)


def _entry(raw: dict[str, typing.Any]) -> decisions.StoreEntry:
    return decisions.StoreEntry(
        base64.b64decode(raw["key"]).decode(),
        base64.b64decode(raw.get("value", "")),
        int(raw["mod_revision"]),
    )


T = typing.TypeVar("T")


class HttpStore:
    """A client of the store, for one node."""

    def __init__(self, loop: runtime.EventLoop, url: str) -> None:
        self._loop = loop
        self._url = url.rstrip("/")
        self._http = urllib3.PoolManager(
            maxsize=WORKERS, retries=False, timeout=CALL_TIMEOUT_S
        )
        self._executor = concurrent.futures.ThreadPoolExecutor(
            WORKERS, thread_name_prefix="store"
        )
        self.calls = 0

    def get(self, key: str) -> "decisions.Future[decisions.StoreEntry | None]":
        """Reads a key."""

        def work() -> decisions.StoreEntry | None:
            found = self._range({"key": _b64(key.encode())})
            return found[0] if found else None

        return self._submit(work)

    def list(
        self, prefix: str
    ) -> "decisions.Future[list[decisions.StoreEntry]]":
        """Reads all keys that begin with `prefix`."""
        body = {
            "key": _b64(prefix.encode()),
            "range_end": _b64(_prefix_end(prefix)),
        }
        return self._submit(lambda: self._range(body))

    def put_if(
        self, key: str, value: bytes, revision: int
    ) -> "decisions.Future[decisions.StoreEntry | None]":
        """Writes a key if its revision is still `revision`; 0 for no key."""
        name = _b64(key.encode())
        body = {
            "compare": [
                {
                    "key": name,
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(revision),
                }
            ],
            "success": [{"request_put": {"key": name, "value": _b64(value)}}],
        }

        def work() -> decisions.StoreEntry | None:
            reply = self._post("/v3/kv/txn", body)
            if not reply.get("succeeded"):
                return None
            written = int(reply["header"]["revision"])
            return decisions.StoreEntry(key, value, written)

        return self._submit(work)

    def watch(
        self, prefix: str, notify: Callable[[decisions.StoreEntry], None]
    ) -> "HttpWatch":
        """Reports each change below a prefix from now on."""
        return HttpWatch(self._loop, self._url, prefix, notify)

    def close(self) -> None:
        """Ends the executor; calls under way are left to time out."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _submit(self, work: Callable[[], T]) -> "decisions.Future[T]":
        self.calls += 1
        return runtime.on_loop(self._loop, self._executor.submit(work))

    def _range(
        self, body: dict[str, typing.Any]
    ) -> "builtins.list[decisions.StoreEntry]":
        reply = self._post("/v3/kv/range", body)
        return [_entry(raw) for raw in reply.get("kvs", [])]

    def _post(
        self, path: str, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        try:
            reply = self._http.request(
                "POST", self._url + path, body=json.dumps(body)
            )
            if reply.status != 200:
                raise decisions.StoreUnavailableError(f"HTTP {reply.status}")
            return typing.cast(dict[str, typing.Any], json.loads(reply.data))
        except (urllib3.exceptions.HTTPError, ValueError) as exc:
            raise decisions.StoreUnavailableError(repr(exc)) from exc


class HttpWatch:
    """A waiting watch; it reconnects by itself and misses nothing known."""

    def __init__(
        self,
        loop: runtime.EventLoop,
        url: str,
        prefix: str,
        notify: Callable[[decisions.StoreEntry], None],
    ) -> None:
        self._loop = loop
        self._url = url
        self._prefix = prefix
        self._notify = notify
        self._stopped = threading.Event()
        self._revision = 0
        self._http = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(
                connect=CALL_TIMEOUT_S, read=WATCH_READ_TIMEOUT_S
            ),
        )
        threading.Thread(
            target=self._run, name="store-watch", daemon=True
        ).start()

    def cancel(self) -> None:
        """Ends the watch."""
        self._stopped.set()

    def _run(self) -> None:
        pause = CALL_TIMEOUT_S
        while not self._stopped.is_set():
            try:
                self._follow()
            except (
                urllib3.exceptions.HTTPError,
                ValueError,
                KeyError,
                OSError,
            ) as exc:
                logging.debug("event=watch_ended detail=%r", exc)
            self._stopped.wait(pause)

    def _follow(self) -> None:
        create: dict[str, typing.Any] = {
            "key": _b64(self._prefix.encode()),
            "range_end": _b64(_prefix_end(self._prefix)),
        }
        if self._revision:
            create["start_revision"] = str(self._revision + 1)
        reply = self._http.request(
            "POST",
            self._url + "/v3/watch",
            body=json.dumps({"create_request": create}),
            preload_content=False,
        )
        try:
            rest = b""
            for chunk in reply.stream():
                *lines, rest = (rest + chunk).split(b"\n")
                for line in lines:
                    self._take(line)
                if self._stopped.is_set():
                    return
        finally:
            reply.close()

    def _take(self, line: bytes) -> None:
        if not line.strip():
            return
        result = json.loads(line)["result"]
        for event in result.get("events", []):
            entry = _entry(event["kv"])
            self._revision = max(self._revision, entry.revision)
            self._loop.call_soon(lambda e=entry: self._notify(e))  # type: ignore[misc]
