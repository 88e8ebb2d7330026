"""Stand-ins for the scripts of this review: store, promotion API, members.

They follow PROTOCOL.md and the news pages and need the standard library only.
Members, store and callers run in one process, so that all times come from one
clock; the nodes are processes of the project, started as the deploy file says.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
STORE_ANSWER_S = 0.004  # SYSTEM.md: 4 ms an answer.
HEARTBEAT_S = 1.2
LAPSE_HEARTBEATS = 3
NETWORK_S = 0.001
HOST = "127.0.0.1"


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        path = pathlib.Path(path)
        self._file = path.open("w", encoding="utf-8")  # noqa: SIM115
        self._began = time.monotonic()

    def now(self):
        """Returns the seconds since the start."""
        return time.monotonic() - self._began

    def note(self, text):
        """Writes a line with the time."""
        self._file.write(f"{self.now():9.4f} {text}\n")

    def close(self):
        """Closes the file."""
        self._file.close()


async def serve_http(handler, port=0):
    """Serves HTTP/1.1; `handler(method, path, query, headers, body)`."""

    async def on_conn(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ", 2)
                headers = {}
                for line in lines:
                    name, colon, value = line.partition(":")
                    if colon:
                        headers[name.lower()] = value.strip()
                body = await reader.readexactly(
                    int(headers.get("content-length", 0))
                )
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query))
                status, reply = await handler(
                    method, path, query, headers, body
                )
                data = json.dumps(reply).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_conn, HOST, port)
    return server, server.sockets[0].getsockname()[1]


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self._record = record
        self.items = {}
        self.revision = 1
        self._changed = asyncio.Event()
        self.port = 0

    async def start(self):
        """Starts to listen."""
        self._server, self.port = await serve_http(self._handle)

    def put(self, key, value):
        """Writes an item."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self._wake()

    def remove(self, key):
        """Removes an item."""
        if "value" in self.items.get(key, {}):
            self.revision += 1
            self.items[key] = {
                "key": key,
                "revision": self.revision,
                "deleted": True,
            }
            self._wake()

    def _wake(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _live(self):
        return {k: i for k, i in self.items.items() if "value" in i}

    async def _handle(self, method, path, query, _, body):
        await asyncio.sleep(STORE_ANSWER_S)
        name = path.rpartition("/")[2]
        if name == "kv-key":
            item = self._live().get(query["key"])
            if item is None:
                return 404, {"currentRev": self.revision}
            return 200, {**item, "currentRev": self.revision}
        if name == "kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(
                k for k in self._live() if k.startswith(prefix) and k > after
            )
            page = [self.items[k] for k in keys[:500]]
            more = len(keys) > 500
            found = {"items": page, "hasMore": more}
            return 200, {**found, "currentRev": self.revision}
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transact(json.loads(body))
        return 404, {}

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = sorted(
                (
                    i
                    for k, i in self.items.items()
                    if k.startswith(prefix) and i["revision"] > after
                ),
                key=lambda i: i["revision"],
            )
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            changed = self._changed
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _transact(self, txn):
        live = self._live()
        for row in txn.get("expected", ()):
            known = live.get(row["key"])
            if (known["revision"] if known else 0) != row["revision"]:
                keys = [r["key"] for r in txn["expected"]]
                return 412, {"items": [live[k] for k in keys if k in live]}
        for put in txn.get("puts", ()):
            self.put(put["key"], base64.b64decode(put["value"]))
        for key in txn.get("remove", ()):
            self.remove(key)
        return 200, {"revision": self.revision}


class Entry:
    """A commit in a log."""

    __slots__ = ("term", "writes")

    def __init__(self, term, writes):
        self.term = term
        self.writes = writes


class Conn:
    """A connection to a member."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.state = "I"
        self.read_only = False
        self.writes = []
        self.prepared = {}


class Member:
    """A member: a log, a role, and the line protocol."""

    def __init__(self, lab, service, name, zone):
        self.lab = lab
        self.service = service
        self.id = name
        self.zone = zone
        self.port = 0
        self.conns = set()
        self.server = None
        self.reaches_store = True
        self.beat_at = 0.0
        self._started = asyncio.Event()
        self._forget()

    def _forget(self):
        self.role = "replica"
        self.term = 0
        self.paused = 0
        self.log = []
        self.applied = 0
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.waiting = []

    @property
    def group(self):
        """The members of its service."""
        return self.lab.groups[self.service]

    @property
    def is_running(self):
        """Whether its process runs."""
        return self._started.is_set()

    async def start(self):
        """Starts to listen, and registers."""
        if self.server is None:
            self.server = await asyncio.start_server(
                self._serve, HOST, self.port, limit=1 << 21
            )
        self.port = self.server.sockets[0].getsockname()[1]
        self._started.set()
        self.register()

    def crash(self, refuses=True):
        """Ends the process: its connections are reset.

        Args:
            refuses: Whether its address refuses new connections; otherwise
                they wait until it has started again.
        """
        self._started.clear()
        if refuses:
            self.server.close()
            self.server = None
        for conn in list(self.conns):
            conn.writer.transport.abort()
        self.conns.clear()

    async def start_again(self):
        """Starts again under its id; it holds and knows nothing of before."""
        self._forget()
        await self.start()
        self.lab.record.note(f"{self.id} starts again, born {self.born}")
        leaders = [
            m for m in self.group if m.is_running and m.role == "primary"
        ]
        if leaders:
            self.follow(max(leaders, key=lambda m: m.term))

    def register(self):
        """Writes its entry, unless it is cut off from the store."""
        if not self.is_running or not self.reaches_store:
            return
        self.sequence += 1
        self.beat_at = time.monotonic()
        entry = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.lab.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "dbRole": self.role,
            "sequence": self.sequence,
            "born": self.born,
        }
        shown = {k: v for k, v in entry.items() if k != "sequence"}
        key = "servers/" + self.id
        if self.lab.shown.get(key) != shown:
            self.lab.shown[key] = shown
            self.lab.store.put(key, json.dumps(entry).encode())

    # -- replication -----------------------------------------------------

    def end(self, count=None):
        """Returns the position of the end of its log."""
        count = len(self.log) if count is None else count
        return f"{self.log[count - 1].term}.{count}" if count else "0.0"

    async def commit(self, writes):
        """Appends a commit; returns once one replica has received it."""
        entry = Entry(self.term, writes)
        self.log.append(entry)
        self.applied = len(self.log)
        received = asyncio.get_running_loop().create_future()
        for member in self.group:
            if member is not self:
                asyncio.ensure_future(member.receive(self, received))
        while not received.done():
            # A replica that lacked something or was paused may follow later.
            await asyncio.wait([received], timeout=0.05)
            if not self.is_running or entry not in self.log:
                return None
            for member in self.group:
                if member is not self and not received.done():
                    asyncio.ensure_future(member.receive(self, received))
        return entry

    async def receive(self, primary, received):
        """Receives what it lacks of a primary's log, if it follows it."""
        end = len(primary.log)
        await asyncio.sleep(NETWORK_S)
        follows = (
            self.is_running
            and primary.is_running
            and self.role == "replica"
            and self.term == primary.term
            and self.paused <= primary.term
        )
        if not follows:
            return
        if len(self.log) < end:
            self.log += primary.log[len(self.log) : end]
            asyncio.get_running_loop().call_later(
                self.lab.apply_s, self._apply, self.born, end
            )
        if len(self.log) >= end and not received.done():
            received.set_result(None)

    def _apply(self, born, end):
        if born == self.born:
            self.applied = max(self.applied, min(end, len(self.log)))

    def lead(self, term):
        """Becomes the primary of a term."""
        self.role, self.term, self.paused = "primary", term, 0
        self.applied = len(self.log)
        self.register()

    def follow(self, primary):
        """Becomes a replica of a new primary; rolls back what it lacks."""
        self.role, self.term, self.paused = "replica", primary.term, 0
        shared = 0
        for one, other in zip(self.log, primary.log, strict=False):
            if one is not other:
                break
            shared += 1
        del self.log[shared:]
        self.log += primary.log[shared:]
        self.applied = min(self.applied, shared)
        asyncio.get_running_loop().call_later(
            self.lab.apply_s, self._apply, self.born, len(self.log)
        )
        self.register()

    # -- the wire --------------------------------------------------------

    async def _serve(self, reader, writer):
        await self._started.wait()
        conn = Conn(reader, writer)
        self.conns.add(conn)
        born = self.born
        try:
            while True:
                line = await reader.readuntil(b"\r\n")
                reply = await self._answer(conn, line[:-2].decode("latin-1"))
                if born != self.born or not self.is_running or reply is None:
                    return
                writer.write(reply.encode("latin-1"))
                if reply.startswith("ERROR WRONGNODE"):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.conns.discard(conn)
            writer.close()

    def _ready(self, conn):
        return f"READY {conn.state} {self.end(self.applied)}\r\n"

    async def _answer(self, conn, line):
        word, _, rest = line.partition(" ")
        if word == "START":
            service, *others = rest.split(" ")
            expected = others[1] if len(others) > 1 else self.id
            if (service, expected) != (self.service, self.id):
                return f"ERROR WRONGNODE {self.id}\r\n"
            await asyncio.sleep(self.lab.connect_s)
            return self._ready(conn)
        if word != "QUERY":
            return None
        request, _, text = rest.partition(" ")
        return await self._query(conn, request, text) + self._ready(conn)

    def _error(self, conn, code):
        if conn.state == "T":
            conn.state = "E"
        return f"ERROR {code} {self.id}\r\n"

    async def _query(self, conn, request, text):
        if text.startswith("WAITFOR "):
            _, position, text = text.split(" ", 2)
            term, number = map(int, position.split("."))
            own = tuple(map(int, self.end(self.applied).split(".")))
            if own < (term, number):
                return self._error(conn, "LAGGING")
        word, *fields = text.split(" ")
        if conn.state == "E" and word not in ("ROLLBACK", "COMMIT"):
            return f"ERROR MALFORMED {self.id}\r\n"
        return await getattr(self, "_do_" + word.lower())(conn, request, fields)

    def _report(self):
        row = f"{self.role} {self.term} {self.end()} {self.paused} 0 0 9"
        return f"ROW {row}\r\nCOMPLETE -\r\n"

    async def _do_status(self, *_):
        return self._report()

    async def _do_pause(self, conn, request, fields):
        if self.role == "replica":
            self.paused = max(self.paused, int(fields[0]))
        return self._report()

    async def _do_resume(self, *_):
        self.paused = 0
        return self._report()

    async def _do_stepdown(self, conn, request, fields):
        if self.role == "primary" and self.term < int(fields[0]):
            self.role = "replica"
            self.register()
        return self._report()

    async def _do_set(self, *_):
        return "COMPLETE -\r\n"

    async def _do_reset(self, conn, *_):
        conn.prepared.clear()
        return "COMPLETE -\r\n"

    async def _do_begin(self, conn, request, fields):
        conn.read_only = bool(fields)
        if not conn.read_only and self.role != "primary":
            return self._error(conn, "READONLY")
        conn.state, conn.writes = "T", []
        return "COMPLETE -\r\n"

    async def _do_rollback(self, conn, *_):
        conn.state, conn.writes = "I", []
        return "COMPLETE -\r\n"

    async def _do_commit(self, conn, request, _):
        writes, conn.writes = conn.writes, []
        failed, conn.state = conn.state == "E", "I"
        if failed:
            return f"ERROR ABORTED {self.id}\r\n"
        if not writes:
            return f"COMPLETE {self.id}.{request}\r\n"
        return await self._write(conn, request, writes)

    async def _do_read(self, conn, request, fields):
        await asyncio.sleep(self.lab.work_s)
        self.lab.judge_read(self, request, fields[0])
        visible = self.log[: self.applied]
        value = "none"
        for entry in reversed(visible):
            if any(item == fields[0] for _, item, _ in entry.writes):
                value = next(
                    d for _, item, d in entry.writes if item == fields[0]
                )
                break
        return f"ROW {value}\r\nCOMPLETE {self.id}.{request}\r\n"

    async def _do_write(self, conn, request, fields):
        await asyncio.sleep(self.lab.work_s)
        write = (request, fields[0], " ".join(fields[1:]))
        if self.role != "primary":
            return self._error(conn, "READONLY")
        if conn.state == "T":
            conn.writes.append(write)
            return f"COMPLETE {self.id}.{request}\r\n"
        return await self._write(conn, request, [write])

    async def _write(self, conn, request, writes):
        if self.role != "primary":
            return self._error(conn, "READONLY")
        self.lab.record.note(f"run {request} commit at {self.id}")
        if await self.commit(writes) is None:
            return self._error(conn, "UNKNOWN")
        return f"COMPLETE {self.id}.{request}\r\n"


class Node:
    """A node process, started as the deploy file says."""

    def __init__(self, lab, number, zone, host):
        self.lab = lab
        self.name = f"frontend-{zone}-{number}"
        self.zone = zone
        self.host = host
        self.process = None
        self.is_ready = False
        self.path = lab.folder / f"{self.name}.conf"
        self.log = lab.folder / f"{self.name}.log"

    def write_settings(self):
        """Writes the settings file, with the fields of DEPLOY.md."""
        lab, ports = self.lab, self.lab.ports
        seeds = ",".join(f"{n.host}:{ports['control']}" for n in lab.nodes[:3])
        fields = {
            "nodeName": self.name,
            "role": "proxy",
            "machineClass": "frontend",
            "serves": "frontend,control_plane",
            "ip": self.host,
            "zone": self.zone,
            "region": "region-1",
            **{f"zones.{z}": "region-1" for z in lab.zones},
            "listenAddrs.front": f"{self.host}:{ports['front']}",
            "listenAddrs.ready": f"{self.host}:{ports['ready']}",
            "listenAddrs.control": f"{self.host}:{ports['control']}",
            "internalPorts": f"{ports['peer']},{ports['peer'] + 15}",
            "seeds": seeds,
            "bootstrap": "true",
            "countedInTolerance": "false",
            "heartbeatMs": str(int(HEARTBEAT_S * 1000)),
            "platform.address": f"{HOST}:{lab.store.port}",
            "cloud.address": f"{HOST}:{lab.cloud_port}",
            **lab.settings,
        }
        self.path.write_text("".join(f"{k}={v}\n" for k, v in fields.items()))

    def start(self):
        """Starts the process."""
        keep = ("PATH", "HOME", "LANG")
        env = {k: os.environ[k] for k in keep if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["ROSEMARYFERRY_CONFIG"] = str(self.path)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "platform/run.py"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    def end(self):
        """Kills the process that this script started."""
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()

    async def ask_ready(self):
        """Asks for its readiness as the platform does, once a second."""
        misses = 0
        while True:
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(self.host, self.lab.ports["ready"]),
                    0.8,
                )
                writer.write(
                    b"GET /rosemaryferry/readiness HTTP/1.1\r\n"
                    b"Host: x\r\nConnection: close\r\n\r\n"
                )
                line = await asyncio.wait_for(reader.readline(), 0.8)
                writer.close()
                is_good = b" 200 " in line
            except (TimeoutError, OSError):
                is_good = False
            misses = 0 if is_good else misses + 1
            if is_good or misses >= 2:
                self.is_ready = is_good
            await asyncio.sleep(1.0)


class Lab:
    """The platform, the members, the nodes and what callers saw."""

    work_s = 0.003
    connect_s = 0.012

    def __init__(self, record_path, site):
        self.record = Record(record_path)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.site = site
        self.zones = zones = site.zones
        self.settings = site.settings
        self.slots = site.slots
        self.apply_s = site.apply_s
        self.promote_s = site.promote_s
        self.store = Store(self.record)
        self.shown = {}
        self.ports = {}
        self.cloud_port = 0
        self.orders = []
        self.members = {}
        self.groups = {}
        self._ids = itertools.count(1)
        net = random.randrange(20, 120)
        self.nodes = []
        for number in range(site.nodes):
            zone = zones[number % len(zones)]
            host = f"127.{net}.{random.randrange(1, 250)}.{10 + number}"
            self.nodes.append(Node(self, number // len(zones) + 1, zone, host))
        for service in site.services:
            self.groups[service] = [
                Member(self, service, f"i-{random.getrandbits(40):010x}", zone)
                for zone in zones
            ]
        self.sent = {}  # The time of each statement's first byte.
        self.route_of = {}  # The route and the session of each statement.
        self.acked = {name: [] for name in site.services}
        self.stale = []
        self.reads = 0
        self.commits = 0
        self.lost = []

    async def start(self, routes):
        """Starts everything, and waits until the nodes are ready."""
        await self.store.start()
        self._cloud, self.cloud_port = await serve_http(self._order)
        for group in self.groups.values():
            for member in group:
                await member.start()
                self.members[member.id] = member
                member.term = 1
            group[0].lead(1)
        services = [
            {
                "name": name,
                "healthCheckPath": "/health",
                "maxConnections": self.site.max_connections,
                "protocol": "h1",
                "tls": False,
                "syncReplicas": 1,
            }
            for name in self.groups
        ]
        self.routes = {r["database"]: r for r in routes}
        document = {
            "version": 7,
            "routes": routes,
            "services": services,
            "limits": {"txIdleMs": 3000},
        }
        self.store.put("op/config", json.dumps(document).encode())
        self._choose_ports()
        self._tasks = [asyncio.ensure_future(self._beat())]
        for node in self.nodes:
            node.write_settings()
            node.start()
            self._tasks.append(asyncio.ensure_future(node.ask_ready()))
        for _ in range(300):
            if all(n.is_ready for n in self.nodes):
                return True
            await asyncio.sleep(0.1)
        return False

    def _choose_ports(self):
        base = random.randrange(20_000, 30_000)
        while not self._are_free(base):
            base = random.randrange(20_000, 30_000)
        names = ("front", "ready", "control")
        self.ports = {name: base + n for n, name in enumerate(names)}
        self.ports["peer"] = base + 10

    def _are_free(self, base):
        for node in self.nodes:
            for port in range(base, base + 26):
                with socket.socket() as sock:
                    try:
                        sock.bind((node.host, port))
                    except OSError:
                        return False
        return True

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S / 4)
            now = time.monotonic()
            for member in self.members.values():
                if now - member.beat_at >= HEARTBEAT_S:
                    member.register()
                silence_s = now - member.beat_at
                key = "servers/" + member.id
                lapsed = silence_s > LAPSE_HEARTBEATS * HEARTBEAT_S
                if lapsed and key in self.shown:
                    del self.shown[key]
                    self.store.remove(key)
                    self.record.note(f"the entry of {member.id} lapsed")

    def end(self):
        """Ends all processes that were started, and removes the files."""
        # Handlers that are cancelled at the end are no failures.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        for node in self.nodes:
            node.end()
        if os.environ.get("KEEP"):
            shutil.copytree(self.folder, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()

    # -- the promotion API -----------------------------------------------

    async def _order(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        raw = json.loads(body)
        holder = headers.get("lease-holder", "")
        token = int(headers.get("fencing-token", 0))
        now = self.record.now()
        self.orders.append((now, raw["service"], raw["id"], holder, token))
        self.record.note(
            f"failover {raw['service']} to {raw['id']} from {holder},"
            f" token {token}"
        )
        member = self.members.get(raw["id"])
        if member is None or not member.is_running:
            return 409, {}
        if member.role != "primary":
            asyncio.get_running_loop().call_later(
                self.promote_s, self._promote, member, member.born
            )
        return 200, {}

    def _promote(self, chosen, born):
        if not chosen.is_running or chosen.born != born:
            return
        group = chosen.group
        held = set(chosen.log)
        for at, entry in self.acked[chosen.service]:
            if entry not in held:
                self.lost.append((at, entry))
        # Commits that a promote rolls back do not count for STALE.
        kept = [a for a in self.acked[chosen.service] if a[1] in held]
        self.acked[chosen.service] = kept
        chosen.lead(max(m.term for m in group) + 1)
        self.record.note(f"{chosen.id} leads term {chosen.term}")
        for member in group:
            if member is chosen or not member.is_running:
                continue
            if member.role == "primary":
                asyncio.get_running_loop().call_later(
                    1.0, self._rejoin, member, chosen
                )
            else:
                member.follow(chosen)

    def _rejoin(self, member, chosen):
        if member.is_running and member.term < chosen.term:
            member.follow(chosen)

    # -- the judge -------------------------------------------------------

    def judge_read(self, member, request, item):
        """Checks what a read's log lacks, as the rule STALE says."""
        if request not in self.sent:
            return
        self.reads += 1
        sent = self.sent[request]
        route = self.routes[self.route_of[request]]
        moment = sent
        if route["type"] != "primary":
            moment = sent - route["maxStalenessMs"] / 1000
        held = set(member.log[: member.applied])
        lacking = [
            entry
            for at, entry in self.acked[member.service]
            if at < moment and entry not in held
        ]
        self.record.note(
            f"run {request} READ {item} at {member.id}"
            f" ({member.role}, {member.end(member.applied)})"
            + (
                f", lacks {len(lacking)} acknowledged commits"
                if lacking
                else ""
            )
        )
        if lacking:
            self.stale.append(
                (self.record.now(), request, member.id, len(lacking))
            )

    def note_acknowledged(self, service, request):
        """Records that a caller was told of a commit."""
        self.commits += 1
        for member in self.groups[service]:
            for entry in reversed(member.log[-200:]):
                if any(r == request for r, _, _ in entry.writes):
                    self.acked[service].append((self.record.now(), entry))
                    return

    def leader(self, service):
        """Returns the primary of the newest term."""
        leading = [m for m in self.groups[service] if m.role == "primary"]
        return max(leading, key=lambda m: m.term)

    def new_id(self):
        """Returns a new request id."""
        return f"{random.getrandbits(32):08x}{next(self._ids):08x}"


class Counts:
    """What a list of callers saw, for the last line of a case."""

    def __init__(self, callers, bench):
        self.text = (
            f"served {sum(c.ok for c in callers)},"
            f" refused {sum(c.refused for c in callers)},"
            f" failed {sum(c.failed for c in callers)},"
            f" commits {bench.commits}, reads {bench.reads},"
            f" orders {len(bench.orders)}, stale reads {len(bench.stale)},"
            f" lost commits {len(bench.lost)}"
        )


class Caller:
    """A caller with one session after another on ready nodes."""

    def __init__(self, lab, number, database, writes):
        self.lab = lab
        self.number = number
        self.database = database
        self.writes = writes
        self.service = lab.routes[database]["service"]
        self.ok = self.refused = self.failed = 0
        self._conn = None

    async def _connect(self):
        ready = [n for n in self.lab.nodes if n.is_ready] or self.lab.nodes
        node = random.choice(ready)
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(
                node.host, self.lab.ports["front"], limit=1 << 21
            ),
            2.0,
        )
        writer.write(f"START {self.database} u{self.number}\r\n".encode())
        line = await asyncio.wait_for(reader.readuntil(b"\r\n"), 2.0)
        if not line.startswith(b"READY"):
            writer.close()
            raise ConnectionError(line.decode("latin-1").strip())
        self._conn = reader, writer, node

    def _drop(self):
        if self._conn is not None:
            self._conn[1].close()
            self._conn = None

    async def repeat(self, pause_s):
        """Runs operations until it is cancelled."""
        while True:
            await asyncio.sleep(random.uniform(0.5, 1.5) * pause_s)
            try:
                if self._conn is None:
                    await self._connect()
                await self.operate()
            except (TimeoutError, OSError, asyncio.IncompleteReadError):
                self.failed += 1
                self._drop()

    async def operate(self):
        """Runs one statement."""
        lab = self.lab
        reader, writer, node = self._conn
        request = lab.new_id()
        item = f"k{random.randrange(20)}"
        is_write = random.random() < self.writes
        text = f"WRITE {item} v{request}" if is_write else f"READ {item}"
        lab.route_of[request] = self.database
        lab.sent[request] = lab.record.now()
        lab.record.note(
            f"sent {request} {text} on {self.database} to {node.name}"
        )
        writer.write(f"QUERY {request} {text}\r\n".encode())
        lines = []
        while not lines or not lines[-1].startswith("READY"):
            line = await asyncio.wait_for(reader.readuntil(b"\r\n"), 4.0)
            lines.append(line[:-2].decode("latin-1"))
        lab.record.note(f"answered {request}: {' | '.join(lines)}")
        error = next((x for x in lines if x.startswith("ERROR")), "")
        if error:
            self.refused += 1
            return
        self.ok += 1
        if is_write:
            lab.note_acknowledged(self.service, request)


def run(main):
    """Runs a case; returns its exit status, 2 if it could not run."""
    # A stop from outside ends the nodes, too, as the end of a case does.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        return asyncio.run(main())
    except Exception:  # noqa: BLE001 - tells it apart from a broken rule
        traceback.print_exc()
        return 2
