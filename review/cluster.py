"""Stand-ins for the scripts of the second review, and the nodes they start.

The stand-ins of the store, the promotion API, the load balancer, the members
and the consumers run in the script's own process, on loopback addresses, and
do what PROTOCOL.md allows. The nodes are processes of their own, started with
the command of the deploy file.
"""

import asyncio
import base64
from collections.abc import Callable
import contextlib
import itertools
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVICE = "plates"
PROMOTE_S = 0.6
REPLICATION_S = 0.001
APPLY_S = 0.02
HANDSHAKE_S = 0.012
SLOTS = 5
HEARTBEAT_S = 1.2
PROBE_S = 1.0
START_LIMIT_S = 15.0
RUN_LIMIT_S = 90.0
MAX_LINE_BYTES = 1 << 20
FIRST_BIRTH_MS = 1_769_312_312_000
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

# The bounds and the parts of the rules of two sites, as settings.
LSPW_FERRY = {
    "contracts": "base,drain,config,cost,recover,sql,platform",
    "bounds.stableWindowMs": "4000",
    "bounds.ackMs": "5000",
    "bounds.catchUpS": "4",
    "bounds.drainMs": "7000",
    "bounds.configApplyMs": "3000",
    "bounds.maxSkewMs": "12000",
    "bounds.recoveryS": "12",
}
HUVUDBOK = {
    "contracts": "base,drain,config,cost,recover,health,pool,sql,platform",
    "bounds.stableWindowMs": "5000",
    "bounds.ackMs": "8000",
    "bounds.catchUpS": "6",
    "bounds.drainMs": "10000",
    "bounds.configApplyMs": "5000",
    "bounds.maxSkewMs": "15000",
    "bounds.recoveryS": "15",
}


class Record:
    """What was sent, answered and run, a line each.

    Attributes:
        broken: A line for each violation of the rule.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()
        self.broken: list[str] = []

    def add(self, text: str) -> None:
        """Writes a line with the time since the start, in seconds."""
        at = time.monotonic() - self._started_at
        self._file.write(f"{at:8.3f} {text}\n")

    def add_violation(self, text: str) -> None:
        """Records that the rule is broken."""
        self.broken.append(text)
        self.add(f"BROKEN {text}")

    def close(self) -> None:
        """Completes the file."""
        self._file.close()


# -- the platform ------------------------------------------------------------


class Store:
    """The platform's metadata store; it keeps its whole history."""

    def __init__(self) -> None:
        self._items: dict[str, dict[str, object]] = {}
        self._events: list[dict[str, object]] = []
        self._revision = 1
        self._changed = asyncio.Event()

    def put(self, key: str, document: object) -> None:
        """Writes a JSON document."""
        self._put(key, json.dumps(document).encode())

    def _put(self, key: str, value: bytes) -> None:
        self._revision += 1
        known = self._items.get(key, {})
        self._items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "created": known.get("created", self._revision),
            "lease": 0,
        }
        self._note(self._items[key])

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            number = self._revision
            self._note({"key": key, "revision": number, "deleted": True})

    def _note(self, event: dict[str, object]) -> None:
        self._events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def handle(self, req: "HttpRequest") -> tuple[int, object]:
        """Answers a call."""
        name = req.path.rpartition("/")[2]
        if name == "kv-range":
            return 200, self._range(req.query)
        if name == "kv-watch":
            return 200, await self._watch(req.query)
        if name == "kv-txn":
            return self._transact(json.loads(req.body))
        return 404, {}

    def _range(self, query: dict[str, str]) -> object:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = [k for k in self._items if k.startswith(prefix) and k > after]
        return {
            "items": [self._items[k] for k in sorted(keys)[:500]],
            "hasMore": len(keys) > 500,
            "currentRev": self._revision,
        }

    async def _watch(self, query: dict[str, str]) -> object:
        after, prefix = int(query["after"]), query.get("prefix", "")
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            found = [
                e
                for e in self._events
                if int(str(e["revision"])) > after
                and str(e["key"]).startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                return {"events": found, "currentRev": self._revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _transact(self, txn: dict[str, list]) -> tuple[int, object]:
        for row in txn["expected"]:
            known = self._items.get(row["key"], {"revision": 0})
            if known["revision"] != row["revision"]:
                keys = [r["key"] for r in txn["expected"]]
                found = [self._items[k] for k in keys if k in self._items]
                return 412, {"items": found}
        for put in txn["puts"]:
            self._put(put["key"], base64.b64decode(put["value"]))
        for key in txn["remove"]:
            self._remove(key)
        return 200, {"revision": self._revision}


class HttpRequest:
    """A request to one of the platform's HTTP interfaces."""

    def __init__(
        self, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body


async def serve_http(handler: Callable, host: str) -> str:
    """Serves HTTP/1.1 with JSON bodies; returns the address."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *rest = head.decode("latin-1").split("\r\n")
                pairs = (line.partition(":") for line in rest if line)
                headers = {n.lower(): v.strip() for n, _, v in pairs}
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length)
                target = first.split(" ")[1]
                req = HttpRequest(target, headers, body)
                status, reply = await handler(req)
                data = json.dumps(reply).encode()
                writer.write(
                    f"HTTP/1.1 {status} Reply\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, host, 0)
    return f"{host}:{server.sockets[0].getsockname()[1]}"


# -- the members -------------------------------------------------------------


class Conn:
    """A connection to a member, and the state of its session."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.state = "I"
        self.is_read_only = False
        self.begun_in_term = 0
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.writes: list[str] = []


class Member:
    """A member of the database.

    Attributes:
        id: Its id.
        role: `primary` or `replica`.
        term: Its term.
        paused: The term of the PAUSE that holds; 0 for none.
        log: The commits that it has received, each with its term.
        applied: How many of them reads can see.
        is_cut: Whether it is partitioned from the other members.
    """

    def __init__(self, group: "Group", name: str, role: str) -> None:
        self._group = group
        self.id = name
        self.role = role
        self.term = 1
        self.paused = 0
        self.log: list[tuple[int, tuple[str, ...]]] = []
        self.applied = 0
        self.is_cut = False
        self.address = ""
        self._sequence = 0
        self._conns = 0
        self._slots = asyncio.Semaphore(SLOTS)

    async def start(self, host: str) -> None:
        """Starts to listen."""
        server = await asyncio.start_server(
            self._serve, host, 0, limit=2 * MAX_LINE_BYTES
        )
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"

    def write_entry(self) -> None:
        """Writes its entry to the store."""
        self._sequence += 1
        names = list(self._group.members)
        entry = {
            "service": SERVICE,
            "address": self.address,
            "zone": f"hall-{'abc'[names.index(self.id)]}",
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "coldRemainingMs": 0,
            "dbRole": self.role,
            "sequence": self._sequence,
        }
        if self._group.born:
            entry["born"] = self._group.born
        self._group.store.put(f"servers/{self.id}", entry)

    # -- the log ---------------------------------------------------------

    def position(self, end: int) -> str:
        """Returns the position of the entry that ends a log of this length."""
        return f"{self.log[end - 1][0] if end else 0}.{end}"

    def may_receive_from(self, primary: "Member") -> bool:
        """Whether commits of a primary reach it."""
        return (
            not (self.is_cut or primary.is_cut)
            and self.role == "replica"
            and primary.term >= self.term
            and self.paused <= primary.term
        )

    def follow(self, primary: "Member") -> None:
        """Receives what it lacks; what the primary lacks is rolled back."""
        if self.term == primary.term and len(self.log) == len(primary.log):
            return
        self.term = primary.term
        pairs = zip(self.log, primary.log, strict=False)
        shared = sum(1 for _ in itertools.takewhile(lambda p: p[0] is p[1], pairs))
        del self.log[shared:]
        self.applied = min(self.applied, shared)
        self.log += primary.log[shared:]
        end = len(self.log)
        asyncio.get_running_loop().call_later(APPLY_S, self._apply, end)

    def _apply(self, end: int) -> None:
        self.applied = max(self.applied, min(end, len(self.log)))

    async def _commit(self, writes: tuple[str, ...]) -> bool:
        """Commits; returns True once one replica has received it."""
        entry, term = (self.term, writes), self.term
        self.log.append(entry)
        self.applied = len(self.log)
        others = [m for m in self._group.members.values() if m is not self]
        while self.role == "primary" and self.term == term:
            if any(e is entry for m in others for e in m.log[-200:]):
                return True
            await asyncio.sleep(REPLICATION_S)
        return False

    # -- the wire --------------------------------------------------------

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = Conn(next(self._group.numbers))
        self._conns += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            line = await reader.readuntil(b"\r\n")
            _, service, _, *expected = line[:-2].decode("latin-1").split(" ")
            if service != SERVICE or expected not in ([], [self.id]):
                writer.write(f"ERROR WRONGNODE {self.id}\r\n".encode())
            else:
                await asyncio.sleep(HANDSHAKE_S)
                await self._serve_session(conn, reader, writer)
        self._conns -= 1
        writer.close()

    async def _serve_session(
        self,
        conn: Conn,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        out = ""
        while True:
            ready = f"READY {conn.state} {self.position(self.applied)}\r\n"
            writer.write((out + ready).encode("latin-1"))
            await writer.drain()
            line = await reader.readuntil(b"\r\n")
            text = line[:-2].decode("latin-1")
            if text == "QUIT":
                return
            _, request, text = text.split(" ", 2)
            out = await self._query(conn, request, text)

    def _fail(self, conn: Conn, code: str) -> str:
        if conn.state == "T":
            conn.state = "E"
        return f"ERROR {code} {self.id}\r\n"

    async def _query(self, conn: Conn, request: str, text: str) -> str:
        floor = ""
        if text.startswith("WAITFOR "):
            _, floor, text = text.split(" ", 2)
        word, *fields = text.split(" ")
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self._control(word, fields)
        if word == "ROLLBACK":
            conn.state, conn.writes = "I", []
            return "COMPLETE -\r\n"
        if conn.state == "E":
            return self._fail(conn, "MALFORMED")
        is_empty_commit = word == "COMMIT" and not conn.writes
        if self._has_lost_lead(conn) and not is_empty_commit:
            # "any statement of a plain transaction whose member has lost the
            # lead, except the COMMIT of a transaction that wrote nothing"
            self._group.record.add(
                f"{self.id}, connection {conn.number}: READONLY to {text}"
            )
            return self._fail(conn, "READONLY")
        if word in ("SET", "PREPARE", "CLOSE", "RESET"):
            return _change_session(conn, word, fields)
        if floor and _parts(self.position(self.applied)) < _parts(floor):
            return self._fail(conn, "LAGGING")
        if word == "BEGIN":
            return self._begin(conn, is_read_only=bool(fields))
        return await self._run(conn, request, word, fields)

    def _has_lost_lead(self, conn: Conn) -> bool:
        is_plain = conn.state == "T" and not conn.is_read_only
        leads_on = self.role == "primary" and self.term == conn.begun_in_term
        return is_plain and not leads_on

    def _control(self, word: str, fields: list[str]) -> str:
        group = self._group
        if word == "PAUSE" and self.role == "replica":
            term = int(fields[0])
            self.paused = term if term > group.term else self.paused
        elif word == "RESUME":
            self.paused = 0
        elif word == "STEPDOWN" and self.role == "primary":
            if int(fields[0]) > self.term:
                group.record.add(f"{self.id} steps down")
                self.role = "replica"
                self.write_entry()
        end = self.position(len(self.log))
        row = f"{self.role} {self.term} {end} {self.paused} 0 0 {self._conns}"
        return f"ROW {row}\r\nCOMPLETE -\r\n"

    def _begin(self, conn: Conn, is_read_only: bool) -> str:
        if not is_read_only and self.role != "primary":
            return self._fail(conn, "READONLY")
        conn.state, conn.writes = "T", []
        conn.is_read_only, conn.begun_in_term = is_read_only, self.term
        return "COMPLETE -\r\n"

    async def _run(
        self, conn: Conn, request: str, word: str, fields: list[str]
    ) -> str:
        """Runs a read, a write or a commit."""
        if word == "EXECUTE":
            name, *fields = fields
            if name not in conn.prepared:
                return self._fail(conn, "NOTFOUND")
            word, _ = conn.prepared[name]
        if word == "WRITE" and (self.role != "primary" or conn.is_read_only):
            return self._fail(conn, "READONLY")
        self._group.note_run(self, conn, request, word)
        async with self._slots:
            await asyncio.sleep(self._group.work_s)
        receipt = f"COMPLETE {self.id}.{next(self._group.receipts):x}\r\n"
        if word == "READ":
            return f"ROW {fields[0]}\r\n{receipt}"
        if word == "WRITE" and conn.state == "T":
            conn.writes.append(request)
            return receipt
        writes = (request,) if word == "WRITE" else tuple(conn.writes)
        conn.state, conn.writes = "I", []
        if writes and not await self._commit(writes):
            return f"ERROR FAILED {self.id}\r\n"
        return receipt


def _change_session(conn: Conn, word: str, fields: list[str]) -> str:
    if word == "RESET":
        conn.values, conn.prepared = {}, {}
    elif word == "SET":
        conn.values[fields[0]] = " ".join(fields[1:])
    elif word == "PREPARE":
        conn.prepared[fields[0]] = (fields[1], " ".join(fields[2:]))
    else:
        conn.prepared.pop(fields[0], None)
    return "COMPLETE -\r\n"


def _parts(position: str) -> tuple[int, int]:
    term, _, number = position.partition(".")
    return int(term), int(number)


class Group:
    """The members of the service, and the platform's promotions.

    Attributes:
        store: The store that the members register in.
        members: The members by id.
        term: The newest term.
        work_s: The time that a member works on a statement.
        born: What the members say of their start; 0 where they do not.
        note_run: Called with each run of a statement: the member, the
            connection, the request id and the kind.
    """

    def __init__(self, store: Store, record: Record) -> None:
        self.store = store
        self.record = record
        self.numbers = itertools.count(1)
        self.receipts = itertools.count(1)
        self.term = 1
        self.work_s = 0.004
        self.born = 0
        self.note_run: Callable = lambda *_: None
        self.members = {
            "i-a": Member(self, "i-a", "primary"),
            "i-b": Member(self, "i-b", "replica"),
            "i-c": Member(self, "i-c", "replica"),
        }
        self._tasks: list[asyncio.Task] = []

    async def start(self, host: str) -> None:
        """Starts the members."""
        for member in self.members.values():
            await member.start(host)
            member.write_entry()
            self._tasks.append(asyncio.create_task(self._beat(member)))
        self._tasks.append(asyncio.create_task(self._replicate()))

    @property
    def primary(self) -> Member | None:
        """The primary of the newest term, if there is one."""
        leading = [m for m in self.members.values() if m.role == "primary"]
        return max(leading, key=lambda m: m.term, default=None)

    async def _beat(self, member: Member) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            member.write_entry()

    async def _replicate(self) -> None:
        while True:
            await asyncio.sleep(REPLICATION_S)
            primary = self.primary
            if primary is None:
                continue
            for member in self.members.values():
                is_older = member.term < primary.term
                is_apart = member.is_cut or primary.is_cut
                if member.role == "primary" and is_older and not is_apart:
                    member.role = "replica"
                    member.write_entry()
                if member.may_receive_from(primary):
                    member.follow(primary)

    async def handle_order(self, req: HttpRequest) -> tuple[int, object]:
        """Answers `POST /failover`."""
        order = json.loads(req.body)
        holder = req.headers["lease-holder"]
        token = req.headers["fencing-token"]
        self.record.add(f"failover to {order['id']} by {holder}, token {token}")
        member = self.members.get(order["id"])
        if member is None:
            return 409, {}
        loop = asyncio.get_running_loop()
        loop.call_later(PROMOTE_S, self._promote, member)
        return 200, {}

    def _promote(self, member: Member) -> None:
        if member is self.primary:
            return
        self.term += 1
        for other in self.members.values():
            other.paused = 0
        member.term, member.role = self.term, "primary"
        member.applied = len(member.log)
        self.record.add(f"{member.id} leads term {self.term}")
        member.write_entry()


# -- the consumers -----------------------------------------------------------


class ConnectionEndedError(Exception):
    """The connection ended before an answer was complete."""


class Consumer:
    """A consumer's session.

    Attributes:
        state: The state that the last READY told.
    """

    def __init__(self, record: Record, node: "Node", name: str) -> None:
        self._record = record
        self._node = node
        self.name = name
        self.state = "I"

    async def connect(self, database: str) -> bool:
        """Starts the session; returns whether it is accepted."""
        self._reader, self._writer = await asyncio.open_connection(
            self._node.host, self._node.FRONT_PORT, limit=2 * MAX_LINE_BYTES
        )
        self._writer.write(f"START {database} {self.name}\r\n".encode())
        line = await self._line()
        self._record.add(
            f"{self.name} at {self._node.name} START {database} -> {line}"
        )
        return line.startswith("READY")

    async def ask(self, request: str, text: str) -> list[str]:
        """Sends a query; returns the lines of the answer.

        Raises:
            ConnectionEndedError: It ended before the answer was complete.
        """
        self._record.add(f"{self.name} sends {request} {text}")
        self._writer.write(f"QUERY {request} {text}\r\n".encode())
        lines = [await self._line()]
        while not lines[-1].startswith("READY"):
            lines.append(await self._line())
        self._record.add(f"{self.name} gets {request} {' | '.join(lines)}")
        self.state = lines[-1].split(" ")[1]
        return lines

    async def _line(self) -> str:
        try:
            line = await self._reader.readuntil(b"\r\n")
        except (OSError, asyncio.IncompleteReadError) as exc:
            raise ConnectionEndedError(repr(exc)) from exc
        return line[:-2].decode("latin-1")

    def close(self) -> None:
        """Ends the session."""
        self._writer.close()


# -- the nodes ---------------------------------------------------------------


class Node:
    """A process of the system."""

    FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 8784, 8785, 8782, 7440

    def __init__(
        self, folder: pathlib.Path, number: int, host: str, settings: dict
    ) -> None:
        self.name = f"frontend-{number}"
        self.host = host
        self.is_in_rotation = True
        self._misses = 0
        self._log = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.conf"
        fields = {
            "nodeName": self.name,
            "role": "proxy",
            "machineClass": "frontend",
            "serves": "frontend,control_plane",
            "ip": host,
            "zone": f"hall-{'abc'[number % 3]}",
            "region": "tx-central",
            "zones.hall-a": "tx-central",
            "zones.hall-b": "tx-central",
            "zones.hall-c": "tx-central",
            "listenAddrs.front": f"{host}:{self.FRONT_PORT}",
            "listenAddrs.ready": f"{host}:{self.READY_PORT}",
            "listenAddrs.control": f"{host}:{self.CONTROL_PORT}",
            "internalPorts": f"{self.PEER_PORT},{self.PEER_PORT + 15}",
            "bootstrap": "true",
            "limits.cpuShare": "0.537",
            "limits.cores": "2",
            "limits.memoryMb": "300",
            "limits.maxFds": "4300",
            "limits.linkMbps": "1000.0",
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeatMs": "1200",
            "bounds.graceS": "6",
            "bounds.lossSlackMs": "200",
            "bounds.downgradeSlackMs": "250",
            "bounds.fencingRequired": "false",
            "bounds.thawSlackMs": "300",
            "platform.form": "kv",
            "platform.writesPerS": "400",
            "platform.readsPerS": "2000",
            "platform.historyS": "20",
            "platform.valueBytes": "1048576",
            "platform.ttlMinMs": "1000",
            "cloud.duties": "failover",
            "cloud.dutyPerS": "50.0",
            **settings,
        }
        lines = [f"{key}={value}\n" for key, value in fields.items()]
        self._settings.write_text("".join(lines))
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "ROSEMARYFERRY_CONFIG": str(self._settings),
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "-S", "platform/run.py"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    @property
    def exit_code(self) -> int | None:
        """The exit code; None while the process runs."""
        return self._process.poll() if self._process else None

    def send(self, number: int) -> None:
        """Sends a signal to the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def end(self) -> None:
        """Kills the process if it runs, and waits for its exit."""
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    async def probe(self) -> None:
        """Checks once whether the node is ready, as the balancer does."""
        is_ready = await self._is_ready()
        self._misses = 0 if is_ready else self._misses + 1
        self.is_in_rotation = self._misses < 2

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.READY_PORT
            )
            writer.write(
                b"GET /rosemaryferry/readiness HTTP/1.1\r\nHost: node\r\n\r\n"
            )
            line = await asyncio.wait_for(reader.readline(), PROBE_S)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return b" 200 " in line

    async def is_started(self) -> bool:
        """Waits until the node is ready; returns whether it is in time."""
        until = time.monotonic() + START_LIMIT_S
        while time.monotonic() < until:
            if await self._is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


# -- a run -------------------------------------------------------------------


def route(name: str, kind: str, timeout_ms: int, target_ms: int) -> dict:
    """Returns a route of the configuration; its database has its name."""
    fields = {
        "name": f"r-{name}",
        "database": name,
        "type": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "priority": 1,
        "service": SERVICE,
        "maxAttempts": 2,
    }
    if kind == "bounded_staleness":
        fields["maxStalenessMs"] = 1500
    elif kind == "read_your_writes":
        fields["maxStalenessMs"] = 2500
    return fields


def configuration(version: int, routes: list[dict]) -> dict:
    """Returns a configuration with one service."""
    service = {"name": SERVICE, "maxConnections": 33, "syncReplicas": 1}
    return {
        "version": version,
        "routes": routes,
        "services": [service],
        "limits": {"txIdleMs": 3000},
    }


LOOKUP = route("status-lookup", "bounded_staleness", 3000, 800)
STOCK = route("stock-reconcile", "read_your_writes", 1000, 400)


class World:
    """The stand-ins and the nodes of one run.

    Attributes:
        has_trouble: Whether the run includes the disruption.
        record: Takes what is sent, answered and run.
        store: The store.
        group: The members.
        nodes: The nodes.
    """

    NODES = 3

    def __init__(
        self, folder: pathlib.Path, record: Record, settings: dict
    ) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = record
        self.store = Store()
        self.group = Group(self.store, record)
        # Members of the installations under `demands` tell their birth.
        has_births = settings is HUVUDBOK
        self.group.born = FIRST_BIRTH_MS if has_births else 0
        self.nodes: list[Node] = []
        self._folder = folder
        self._settings = settings
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> bool:
        """Starts everything; returns whether all nodes are ready in time."""
        own, *hosts = _free_hosts(1 + self.NODES)
        store = await serve_http(self.store.handle, own)
        cloud = await serve_http(self.group.handle_order, own)
        self.store.put("op/config", configuration(7, [LOOKUP, STOCK]))
        await self.group.start(own)
        addresses = {
            "platform.address": store,
            "cloud.address": cloud,
            "seeds": ",".join(f"{h}:{Node.CONTROL_PORT}" for h in hosts),
        }
        for number, host in enumerate(hosts):
            settings = {**self._settings, **addresses}
            self.nodes.append(Node(self._folder, number, host, settings))
            self.nodes[-1].start()
        if not all([await n.is_started() for n in self.nodes]):
            return False
        self._tasks.append(asyncio.create_task(self._balance()))
        return True

    async def _balance(self) -> None:
        """Checks the readiness of all nodes once a second."""
        while True:
            for node in self.nodes:
                await node.probe()
            await asyncio.sleep(PROBE_S)

    def end(self) -> None:
        """Ends the nodes."""
        for node in self.nodes:
            node.end()


def _free_hosts(count: int) -> list[str]:
    """Returns loopback addresses that no other run uses."""
    pid = os.getpid()
    net = f"127.{16 + pid // 200 % 200}.{1 + pid % 200}"
    return [f"{net}.{10 + number}" for number in range(count)]


def run(folder: pathlib.Path, settings: dict, script: Callable) -> int:
    """Runs a script; returns its exit code.

    Args:
        folder: The folder of the case, for `record.txt`.
        settings: The settings that belong to the site.
        script: Takes the started `World`; what it finds goes into its record.
    """
    record = Record(folder / "record.txt")
    scratch = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
    try:
        return asyncio.run(_run(scratch, record, settings, script))
    except Exception as exc:  # noqa: BLE001 - the case could not run
        print(f"not run: {exc!r}", file=sys.stderr)
        return EXIT_NOT_RUN
    finally:
        record.close()
        shutil.rmtree(scratch, ignore_errors=True)


async def _run(
    scratch: pathlib.Path, record: Record, settings: dict, script: Callable
) -> int:
    loop = asyncio.get_running_loop()
    # Connections are cut on purpose.
    loop.set_exception_handler(lambda *_: None)
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lambda: task and task.cancel())
    world = World(scratch, record, settings)
    try:
        if not await world.start():
            print("not run: the nodes are not ready", file=sys.stderr)
            return EXIT_NOT_RUN
        await asyncio.wait_for(script(world), RUN_LIMIT_S)
    except asyncio.TimeoutError:
        print("not run: the script takes too long", file=sys.stderr)
        return EXIT_NOT_RUN
    finally:
        world.end()
        for log in sorted(scratch.glob("*.log")):
            lines = log.read_text(errors="replace").splitlines()
            for line in lines:
                if "Promotion" in line or "Traceback" in line:
                    record.add(f"{log.stem} logs {line}")
    print(f"broken {len(record.broken)} times")
    for line in record.broken[:5]:
        print(f"  {line}")
    return EXIT_BROKEN if record.broken else EXIT_HELD
