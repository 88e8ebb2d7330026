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
import attrs
import ferry_decisions as decisions
import ferry_runtime as runtime
import urllib3

CALL_TIMEOUT_S = 1.0
WATCH_READ_TIMEOUT_S = 30.0
WORKERS = 4
ERA_HEADER = "Store-Era"  # How often the store came back from a copy.


def _b64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _prefix_end(prefix: str) -> bytes:
    """Returns the first key after all that begin with `prefix`."""
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return bytes(raw)


def _entry(raw: dict[str, typing.Any], era: int) -> decisions.StoreEntry:
    return decisions.StoreEntry(
        base64.b64decode(raw["key"]).decode(),
        base64.b64decode(raw.get("value", "")),
        decisions.Revision(era, int(raw["mod_revision"])),
    )


def _era_of(reply: urllib3.BaseHTTPResponse) -> int:
    """Returns the era of an answer; a store that names none has one."""
    text = reply.headers.get(ERA_HEADER, "")
    return int(text) if text.isascii() and text.isdigit() else 0


@attrs.frozen(slots=True)
class _Reply:
    """An answer of the store.

    Attributes:
        raw: Its body.
        era: The era that it was given in.
    """

    raw: dict[str, typing.Any]
    era: int


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
        self.era = 0

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
        self, key: str, value: bytes, revision: decisions.Revision
    ) -> "decisions.Future[decisions.StoreEntry | None]":
        """Writes a key if its revision is still `revision`."""
        name = _b64(key.encode())
        body = {
            "compare": [
                {
                    "key": name,
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(revision.number),
                }
            ],
            "success": [{"request_put": {"key": name, "value": _b64(value)}}],
        }

        def work() -> decisions.StoreEntry | None:
            reply = self._post("/v3/kv/txn", body)
            if reply.era != revision.era:
                # The number means something else there, if anything.
                raise decisions.StoreUnavailableError(
                    f"era {reply.era}, not {revision.era}"
                )
            if not reply.raw.get("succeeded"):
                return None
            number = int(reply.raw["header"]["revision"])
            written = decisions.Revision(reply.era, number)
            return decisions.StoreEntry(key, value, written)

        return self._submit(work)

    def watch(
        self,
        prefix: str,
        notify: Callable[[decisions.StoreEntry], None],
        restored: Callable[[], None],
    ) -> "HttpWatch":
        """Reports each change below a prefix from now on."""
        return HttpWatch(self._loop, self._url, prefix, notify, restored)

    def close(self) -> None:
        """Ends the executor; calls under way are left to time out."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _submit(self, work: Callable[[], T]) -> "decisions.Future[T]":
        self.calls += 1
        return runtime.relay_to_loop(self._loop, self._executor.submit(work))

    def _range(
        self, body: dict[str, typing.Any]
    ) -> "builtins.list[decisions.StoreEntry]":
        reply = self._post("/v3/kv/range", body)
        return [_entry(raw, reply.era) for raw in reply.raw.get("kvs", [])]

    def _post(self, path: str, body: dict[str, typing.Any]) -> _Reply:
        try:
            reply = self._http.request(
                "POST", self._url + path, body=json.dumps(body)
            )
            if reply.status != 200:
                raise decisions.StoreUnavailableError(f"HTTP {reply.status}")
            found = _Reply(json.loads(reply.data), _era_of(reply))
        except (urllib3.exceptions.HTTPError, ValueError) as exc:
            raise decisions.StoreUnavailableError(repr(exc)) from exc
        self.era = max(self.era, found.era)
        return found


class HttpWatch:
    """A waiting watch; it reconnects by itself and misses nothing known."""

    def __init__(
        self,
        loop: runtime.EventLoop,
        url: str,
        prefix: str,
        notify: Callable[[decisions.StoreEntry], None],
        restored: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._url = url
        self._prefix = prefix
        self._notify = notify
        self._restored = restored
        self._stopped = threading.Event()
        self._revision = 0
        self._era: int | None = None
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
            if self._is_restored(_era_of(reply)):
                return
            rest = b""
            for chunk in reply.stream():
                *lines, rest = (rest + chunk).split(b"\n")
                for line in lines:
                    self._take(line)
                if self._stopped.is_set():
                    return
        finally:
            reply.close()

    def _is_restored(self, era: int) -> bool:
        """Notes the store's era; returns whether it is another one.

        The number that was asked after lies in a history that is gone: the
        store would say nothing until it has reached it again.
        """
        before, self._era = self._era, era
        if before is None or before == era:
            return False
        self._revision = 0
        self._loop.call_soon(self._restored)
        return True

    def _take(self, line: bytes) -> None:
        if not line.strip():
            return
        result = json.loads(line)["result"]
        for event in result.get("events", []):
            entry = _entry(event["kv"], self._era or 0)
            self._revision = max(self._revision, entry.revision.number)
            self._loop.call_soon(lambda e=entry: self._notify(e))  # type: ignore[misc]
