"""The node, which runs as a daemon on every entry VM.

All nodes run the same code, and none has a fixed role.
"""

from collections.abc import Callable
import itertools
import secrets
import ssl

from absl import logging
import ferry_decisions as decisions
import ferry_runtime as runtime

from ferry_node import _admin
from ferry_node import _board
from ferry_node import _callers
from ferry_node import _controllers
from ferry_node import _conversation
from ferry_node import _directory_sync
from ferry_node import _entry
from ferry_node import _membership
from ferry_node import _messages
from ferry_node import _metrics
from ferry_node import _observers
from ferry_node import _peer_server
from ferry_node import _peers
from ferry_node import _serving
from ferry_node import _settings
from ferry_node import _store
from ferry_node import _tracing
from ferry_node import _vms

SECRET_BYTES = 32
# The low bits of a caller's process id count the callers of one node; the
# bits above are derived from the node's name.
CALLER_ID_BITS = 20
DRAIN_POLL_S = 0.02
# How long a stop waits for callers to read the answers that were sent last.
SEND_WAIT_S = 1.0


class Node:
    """Assembles and runs the components of one node on an event loop."""

    def __init__(
        self, loop: runtime.EventLoop, cfg: _settings.Settings
    ) -> None:
        self.cfg = cfg
        self.loop = loop
        self.board = decisions.Blackboard()
        self.contracts = decisions.ContractBook()
        self.directory = decisions.Directory()
        self.metrics = _metrics.Metrics()
        self.tracer = _tracing.Tracer(cfg.tracing)
        self.store = _store.HttpStore(loop, cfg.store_url)
        self.stopping = False
        self._callers: dict[int, _callers.CallerConn] = {}
        self._process_ids = itertools.count(
            _process_id_base(cfg.node) + secrets.randbelow(1 << 10)
        )
        self._peer_server = _peer_server.PeerServer(self)
        self._observers = _observers.Observers(self)
        hello = _messages.Hello(cfg.node, cfg.data_centre)
        self.peers = _peers.Peers(
            loop, hello, cfg.host, cfg.peer_port, self._peer_server.serve
        )
        self.peers.on_stream_closed.append(self._peer_server.on_stream_closed)
        self.directory_sync = _directory_sync.DirectorySync(
            loop, cfg, self.board, self.directory, self.store, self.peers
        )
        self.membership = _membership.MembershipService(
            loop,
            cfg,
            self.board,
            _vms.HttpVmListSource(loop, cfg.vm_list_url),
            self.peers,
        )
        self.controller = self._make_controller()
        self.dispatcher = _entry.Dispatcher(
            _entry.EntryContext(
                timers=loop,
                cfg=cfg,
                peers=self.peers,
                nodes=lambda: self.board.read(_board.NODES),
                database=lambda n: self.board.read(_board.DATABASES).get(n),
                record=lambda n: self.board.read(_board.RECORDS).get(n),
                leaving=lambda: self.board.read(_board.LEAVING),
                execute=self.execute,
                drop=self.controller.drop_channel,
                cancel=self.controller.cancel,
                position=self.position,
            )
        )
        self._caller_ctx = _callers.CallerContext(
            loop=loop,
            cfg=cfg,
            contracts=self.contracts,
            is_current=lambda: self.directory_sync.is_current,
            sessions=_conversation.ConversationContext(
                timers=loop,
                dispatcher=self.dispatcher,
                metrics=self.metrics.record,
                tracer=self.tracer,
                cancel_keys=itertools.count(secrets.randbits(60)),
            ),
            tls=_tls_context(cfg.callers),
            secret=secrets.token_bytes(SECRET_BYTES),
            cancel=self._cancel_caller,
        )
        self._listener = runtime.Listener(
            loop, cfg.callers.host, cfg.callers.port, self._accept
        )
        self.admin = _admin.AdminServer(self)
        self._subscribe()
        loop.on_process_pause(self._note_process_pause)

    @property
    def caller_port(self) -> int:
        """The TCP port that callers connect to."""
        return self._listener.port

    @property
    def caller_count(self) -> int:
        """The number of connected callers."""
        return len(self._callers)

    def execute(
        self,
        req: _messages.ExecuteRequest,
        sink: Callable[[bytes], object] | None,
    ) -> "decisions.Future[_messages.ExecuteReply]":
        """Runs a request on a member that this node serves.

        Args:
            req: The request.
            sink: Receives parts of a long result.
        """
        service = self.controller.services.get((req.database, req.member))
        if req.channel:
            service = self.controller.find_holder(req.channel)
        if service is None and req.channel:
            return decisions.completed(
                _messages.ExecuteReply(reason=decisions.TRANSACTION_LOST.name)
            )
        if service is None:
            return decisions.completed(
                _messages.ExecuteReply(reason=decisions.NO_SERVING_NODE.name)
            )
        span = self.tracer.begin("endpoint", req.trace)
        fut = service.execute(req, sink)
        fut.add_done_callback(lambda f: span.end(f.result().reason or "ran"))
        return fut

    def position(
        self, req: _messages.PositionRequest
    ) -> "decisions.Future[_messages.PositionReply]":
        """Returns a primary's confirmed position, if this node serves it."""
        service = self.controller.services.get((req.database, req.member))
        return _serving.answer_position(service, req)

    def publish(self, record: decisions.Record) -> None:
        """Applies a new record here and distributes it to all nodes."""
        fut = decisions.start(self._publish_entry(record))
        fut.add_done_callback(_log_publish_failure)
        records = self.board.read(_board.RECORDS)
        if record.newer_than(records.get(record.database)):
            self.board.write(
                _board.RECORDS, {**records, record.database: record}
            )

    def stop(self) -> "decisions.Future[int]":
        """Begins a graceful shutdown.

        Returns:
            A future of the number of batches and transactions cut off.
        """
        self.stopping = True
        self._listener.close()
        for conn in list(self._callers.values()):
            conn.stop()
        return decisions.start(self._drain())

    def close(self) -> None:
        """Stops the node immediately."""
        for conn in list(self._callers.values()):
            conn.close()
        self._listener.close()
        self.admin.close()
        self.membership.close()
        self.directory_sync.close()
        self.controller.close()
        self.peers.close()
        self.store.close()

    def _drain(self) -> "decisions.Flow[int]":
        """Releases the members, then waits for work in progress."""
        deadline = self.loop.now() + self.cfg.policy.stop_s
        for service in list(self.controller.services.values()):
            yield service.ownership.release()
        self.membership.leave()
        while self.busy and self.loop.now() < deadline:
            yield decisions.sleep(self.loop, DRAIN_POLL_S)
        cut_off = self.busy
        for conn in list(self._callers.values()):
            conn.interrupt()
        sent_by = self.loop.now() + SEND_WAIT_S
        while self._callers and self.loop.now() < sent_by:
            yield decisions.sleep(self.loop, DRAIN_POLL_S)
        return cut_off

    @property
    def busy(self) -> int:
        """The number of batches and transactions in progress."""
        callers = sum(c.busy for c in self._callers.values())
        services = [
            *self.controller.services.values(),
            *self.controller.retired,
        ]
        return callers + sum(s.busy for s in services)

    def _make_controller(self) -> _controllers.ServiceController:
        ctx = decisions.WatchContext(
            timers=self.loop,
            node=self.cfg.node,
            data_centre=self.cfg.data_centre,
            cfg=decisions.WatchSettings(
                probe_s=self.cfg.policy.probe_s,
                silence_s=self.cfg.policy.silence_s,
                refused_s=self.cfg.policy.refused_s,
            ),
            store=self.store,
            ask_opinions=lambda *a: decisions.start(
                self._observers.ask_opinions(*a)
            ),
            publish=self.publish,
            leaving=lambda: self.board.read(_board.LEAVING),
            rank=self._observers.rank,
            new_id=lambda: secrets.token_hex(8),
        )
        return _controllers.ServiceController(
            self.loop, self.cfg, self.contracts, ctx
        )

    def _subscribe(self) -> None:
        reader = _controllers.DirectoryReader(self.board, self.contracts)
        self.directory.subscribe(reader.apply)
        self.board.subscribe(_controllers.PlacementController(self.cfg.node))
        self.board.subscribe(_controllers.StoreReaderController(self.cfg))
        self.board.subscribe(self.controller)
        self.board.subscribe(
            _controllers.RecordController(self.dispatcher.note_record)
        )
        self.board.subscribe(self.directory_sync)

    def _accept(self, stream: runtime.Stream) -> None:
        if len(self._callers) >= self.cfg.callers.max_connections:
            stream.close()
            return
        process_id = next(self._process_ids)
        self._callers[process_id] = _callers.CallerConn(
            self._caller_ctx, stream, process_id, self._caller_closed
        )

    def cancel_own_caller(self, process_id: int, secret: bytes) -> bool:
        """Cancels the running batch of a caller of this node.

        Returns:
            Whether a caller with this process id is connected here.
        """
        conn = self._callers.get(process_id)
        if conn is not None:
            conn.cancel(secret)
        return conn is not None

    def _cancel_caller(self, process_id: int, secret: bytes) -> None:
        """Cancels a caller's running batch, on whichever node it is.

        The load balancer may route a cancel request to any node.
        """
        if self.cancel_own_caller(process_id, secret):
            return
        message = _messages.CancelCaller(process_id, secret)
        for node in self.board.read(_board.NODES):
            base = _process_id_base(node.name)
            is_in_range = base == process_id >> CALLER_ID_BITS << CALLER_ID_BITS
            if is_in_range and node.name != self.cfg.node:
                self.peers.tell(node, message)

    def _caller_closed(self, conn: _callers.CallerConn) -> None:
        self._callers.pop(conn.process_id, None)

    def _note_process_pause(self, pause_s: float) -> None:
        for watch in self.controller.watches.values():
            watch.note_process_pause(pause_s)

    def _publish_entry(
        self, record: decisions.Record
    ) -> "decisions.Flow[None]":
        """Reads the record's entry back to distribute it with its revision."""
        entry = yield self.store.get(decisions.record_key(record.database))
        if entry is not None:
            self.directory_sync.publish([entry])


def _process_id_base(node: str) -> int:
    """Returns the first process id of a node's range, derived from its name."""
    return (
        decisions.rendezvous_score("process-id", node) % (1 << 11)
        << CALLER_ID_BITS
    )


def _tls_context(cfg: _settings.CallerSettings) -> ssl.SSLContext | None:
    if not cfg.tls_certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(cfg.tls_certificate, cfg.tls_key or None)
    return context


def _log_publish_failure(fut: "decisions.Future[None]") -> None:
    exc = fut.exception()
    if exc is not None:
        logging.warning("event=publish_failed detail=%r", exc)
