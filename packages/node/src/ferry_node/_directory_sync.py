"""Spreading configuration and records from the few store readers to all.

The readers of each data centre hold one watch each. What is new goes at once
to every node of the reader's own data centre, and records that this node
made itself to all nodes. Besides, each node compares digests with one random
node now and then, which repairs whatever was missed, and is how a new VM
learns everything while the store is down.
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

COMPARE_S = 2.0
COMPARE_TIMEOUT_S = 1.5
CURRENT_S = 8.0  # Two comparisons, of which one may fail.
STORE_REREAD_S = 5.0
STORE_BACKOFF_LAST_S = 30.0
PREFIXES = (
    decisions.CONTRACT_PREFIX,
    decisions.TOPOLOGY_PREFIX,
    decisions.RECORD_PREFIX,
)


class DirectorySync:
    """Keeps this node's directory up to date, and others' with it."""

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
            timers, COMPARE_S * self._random.uniform(0.8, 1.2), self._compare
        )
        self._read_timer = decisions.PeriodicTimer(timers, 0.5, self._reread)

    def run(self, _: decisions.BoardView) -> None:
        """Starts or ends the watches when the reader's part changes."""
        is_reader = self._board.read(_board.STORE_READER)
        if is_reader and not self._watches:
            self._watches = [
                self._store.watch(prefix, self._notified, self._note_restored)
                for prefix in PREFIXES
            ]
            self._next_read = 0.0
        elif not is_reader and self._watches:
            for watch in self._watches:
                watch.cancel()
            self._watches = []

    @property
    def is_current(self) -> bool:
        """Whether this node knew as much as another one a short while ago.

        What is missing from a directory that has not been compared may well
        exist: nobody is refused for good by it.
        """
        return self._timers.now() - self._confirmed_at < CURRENT_S

    def close(self) -> None:
        """Ends timers and watches."""
        self._timer.stop()
        self._read_timer.stop()
        for watch in self._watches:
            watch.cancel()

    def merge(self, entries: list[decisions.StoreEntry]) -> None:
        """Takes in entries from anywhere; a reader passes on what is new."""
        taken = self._directory.merge(entries)
        is_reader = self._board.read(_board.STORE_READER)
        if taken and is_reader:
            self._push(taken, everywhere=False)

    def publish(self, entries: list[decisions.StoreEntry]) -> None:
        """Takes in entries that this node wrote, and tells every node."""
        self._directory.merge(entries)
        self._push(entries, everywhere=True)

    def answer(self, req: _messages.SyncRequest) -> _messages.SyncReply:
        """Answers another node's comparison."""
        if req.digest == self._directory.digest:
            return _messages.SyncReply(False, [], {})
        if not req.full:
            return _messages.SyncReply(True, [], {})
        theirs = _codec.unpack_versions(req.versions)
        newer = self._directory.newer_than(theirs)
        own = _codec.pack_versions(self._directory.versions())
        return _messages.SyncReply(True, _codec.pack_entries(newer), own)

    def _note_restored(self) -> None:
        """Has the store read at once: it came back from a copy."""
        self._next_read = 0.0

    def _notified(self, entry: decisions.StoreEntry) -> None:
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

    def _reread(self) -> None:
        """Reads the store now and then, with a pause that grows in outages."""
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
        pause = min(
            STORE_BACKOFF_LAST_S, STORE_REREAD_S * 1.5 ** min(self._failures, 8)
        )
        if not len(self._directory):
            pause = 0.5
        self._next_read = self._timers.now() + pause * self._random.uniform(
            0.5, 1.5
        )
        if exc is not None:
            logging.warning("event=store_unavailable detail=%s", exc)

    def _read(self) -> "decisions.Flow[None]":
        listed: dict[str, decisions.StoreEntry] = {}
        for prefix in PREFIXES:
            entries = yield self._store.list(prefix)
            self.merge(entries)
            listed.update({e.key: e for e in entries})
        self._restorer.look(listed)
        # A store that came back from a copy may lack what peers know.
        if not self._store.era or not self._others():
            self._confirm()

    def _confirm(self) -> None:
        self._confirmed_at = self._timers.now()

    def _compare(self) -> None:
        others = self._others()
        if others:
            node = self._random.choice(others)
            fut = decisions.start(self._compare_with(node))
            fut.add_done_callback(_log_failure)

    def _compare_with(self, node: decisions.Node) -> "decisions.Flow[None]":
        digest = self._directory.digest
        reply = yield self._ask(
            node, _messages.SyncRequest(digest, {}, full=False)
        )
        if not reply.differs:
            self._confirm()
            return
        reply = yield self._ask(
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

    def _ask(
        self, node: decisions.Node, req: _messages.SyncRequest
    ) -> "decisions.Future[_messages.SyncReply]":
        return decisions.with_timeout(
            self._timers, COMPARE_TIMEOUT_S, self._peers.call(node, req)
        )


def _log_failure(fut: "decisions.Future[None]") -> None:
    exc = fut.exception()
    if exc is not None:
        logging.debug("event=compare_failed detail=%r", exc)
