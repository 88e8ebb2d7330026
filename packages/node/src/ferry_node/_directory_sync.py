"""Distribution of configuration and records from store readers to all nodes.

Each store reader of a data centre watches the store. It pushes new entries at
once to every node of its own data centre. A node pushes entries that it wrote
itself to all nodes. In addition, each node periodically compares digests with
one random node. This anti-entropy exchange repairs whatever a push missed, and
it is how a new VM obtains all entries while the store is down.
"""

import random
import typing

from absl import logging
import ferry_decisions as decisions

from ferry_node import _board
from ferry_node import _codec
from ferry_node import _entry
from ferry_node import _messages
from ferry_node import _restoring
from ferry_node import _settings

COMPARE_INTERVAL_S = 2.0
COMPARE_TIMEOUT_S = 1.5
# Long enough for two comparisons, one of which may fail.
CURRENT_FOR_S = 8.0
STORE_READ_INTERVAL_S = 5.0
MAX_STORE_BACKOFF_S = 30.0
PREFIXES = (
    decisions.CONTRACT_PREFIX,
    decisions.TOPOLOGY_PREFIX,
    decisions.RECORD_PREFIX,
)


class DirectorySync:
    """Keeps the directories of this node and of its peers in sync.

    Attributes:
        store_reachable: Whether the store answered most recently.
    """

    reads: tuple[decisions.BoardKey[typing.Any], ...] = (_board.STORE_READER,)
    writes: tuple[decisions.BoardKey[typing.Any], ...] = ()

    def __init__(
        self,
        timers: decisions.TimerService,
        cfg: _settings.Settings,
        board: decisions.Blackboard,
        directory: decisions.Directory,
        store: decisions.Store,
        peers: _entry.PeerCalls,
    ) -> None:
        self._timers = timers
        self._cfg = cfg
        self._board = board
        self._directory = directory
        self._store = store
        self._peers = peers
        self._random = random.Random(cfg.node)
        self._watches: list[decisions.StoreWatch] = []
        self._restorer = _restoring.Restorer(timers, cfg.node, store, directory)
        self._reading = False
        self._failures = 0
        self._next_read = 0.0
        self.store_reachable = False
        self._confirmed_at = float("-inf")
        self._timer = decisions.PeriodicTimer(
            timers,
            COMPARE_INTERVAL_S * self._random.uniform(0.8, 1.2),
            self._compare,
        )
        self._read_timer = decisions.PeriodicTimer(
            timers, 0.5, self._read_if_due
        )

    def run(self, _: decisions.BoardView) -> None:
        """Watches the store exactly while this node is a store reader."""
        is_reader = self._board.read(_board.STORE_READER)
        if is_reader and not self._watches:
            self._watches = [
                self._store.watch(
                    prefix, self._on_change, self._on_store_restored
                )
                for prefix in PREFIXES
            ]
            self._next_read = 0.0
        elif not is_reader and self._watches:
            for watch in self._watches:
                watch.cancel()
            self._watches = []

    @property
    def is_current(self) -> bool:
        """Whether this node recently was in sync with another node.

        An entry missing from a directory that has not been compared may well
        exist, so nobody may be rejected permanently because of its absence.
        """
        return self._timers.now() - self._confirmed_at < CURRENT_FOR_S

    def close(self) -> None:
        """Stops the timers and watches."""
        self._timer.stop()
        self._read_timer.stop()
        for watch in self._watches:
            watch.cancel()

    def merge(self, entries: list[decisions.StoreEntry]) -> None:
        """Merges entries from any source; a store reader pushes new ones."""
        new = self._directory.merge(entries)
        is_reader = self._board.read(_board.STORE_READER)
        if new and is_reader:
            self._push(new, everywhere=False)

    def publish(self, entries: list[decisions.StoreEntry]) -> None:
        """Merges entries that this node wrote and pushes them to all nodes."""
        self._directory.merge(entries)
        self._push(entries, everywhere=True)

    def answer(self, req: _messages.SyncRequest) -> _messages.SyncReply:
        """Returns the reply to another node's comparison."""
        if req.digest == self._directory.digest:
            return _messages.SyncReply(False, [], {})
        if not req.full:
            return _messages.SyncReply(True, [], {})
        theirs = _codec.unpack_versions(req.versions)
        newer = self._directory.newer_than(theirs)
        own = _codec.pack_versions(self._directory.versions())
        return _messages.SyncReply(True, _codec.pack_entries(newer), own)

    def _on_store_restored(self) -> None:
        """Schedules an immediate read: the store was restored from a backup."""
        self._next_read = 0.0

    def _on_change(self, entry: decisions.StoreEntry) -> None:
        self.store_reachable = True
        self.merge([entry])

    def _push(
        self, entries: list[decisions.StoreEntry], everywhere: bool
    ) -> None:
        push = _messages.EntriesPush(_codec.pack_entries(entries))
        for node in self._others():
            if everywhere or node.data_centre == self._cfg.data_centre:
                self._peers.tell(node, push)

    def _others(self) -> list[decisions.Node]:
        nodes = self._board.read(_board.NODES)
        return [n for n in nodes if n.name != self._cfg.node]

    def _read_if_due(self) -> None:
        """Reads the store if due; the interval grows during outages."""
        now = self._timers.now()
        if self._reading or now < self._next_read:
            return
        if not self._board.read(_board.STORE_READER):
            return
        self._reading = True
        decisions.start(self._read()).add_done_callback(self._read_done)

    def _read_done(self, fut: "decisions.Future[None]") -> None:
        self._reading = False
        exc = fut.exception()
        self.store_reachable = exc is None
        self._failures = 0 if exc is None else self._failures + 1
        interval_s = min(
            MAX_STORE_BACKOFF_S,
            STORE_READ_INTERVAL_S * 1.5 ** min(self._failures, 8),
        )
        if not len(self._directory):
            interval_s = 0.5
        self._next_read = (
            self._timers.now() + interval_s * self._random.uniform(0.5, 1.5)
        )
        if exc is not None:
            logging.warning("event=store_unavailable detail=%s", exc)

    def _read(self) -> "decisions.Flow[None]":
        listed: dict[str, decisions.StoreEntry] = {}
        for prefix in PREFIXES:
            entries = yield self._store.list(prefix)
            self.merge(entries)
            listed.update({e.key: e for e in entries})
        self._restorer.restore_lost(listed)
        # A store that was restored from a backup may lack entries that peers
        # have, so then only a comparison with a peer confirms the directory.
        if not self._store.era or not self._others():
            self._confirm()

    def _confirm(self) -> None:
        self._confirmed_at = self._timers.now()

    def _compare(self) -> None:
        others = self._others()
        if others:
            node = self._random.choice(others)
            fut = decisions.start(self._compare_with(node))
            fut.add_done_callback(_log_compare_failure)

    def _compare_with(self, node: decisions.Node) -> "decisions.Flow[None]":
        digest = self._directory.digest
        reply = yield self._request_sync(
            node, _messages.SyncRequest(digest, {}, full=False)
        )
        if not reply.differs:
            self._confirm()
            return
        reply = yield self._request_sync(
            node,
            _messages.SyncRequest(
                digest,
                _codec.pack_versions(self._directory.versions()),
                full=True,
            ),
        )
        self.merge(_codec.unpack_entries(reply.entries))
        self._confirm()
        theirs = _codec.unpack_versions(reply.versions)
        newer = self._directory.newer_than(theirs)
        if newer:
            self._peers.tell(
                node, _messages.EntriesPush(_codec.pack_entries(newer))
            )

    def _request_sync(
        self, node: decisions.Node, req: _messages.SyncRequest
    ) -> "decisions.Future[_messages.SyncReply]":
        return decisions.with_timeout(
            self._timers, COMPARE_TIMEOUT_S, self._peers.call(node, req)
        )


def _log_compare_failure(fut: "decisions.Future[None]") -> None:
    exc = fut.exception()
    if exc is not None:
        logging.debug("event=compare_failed detail=%r", exc)
