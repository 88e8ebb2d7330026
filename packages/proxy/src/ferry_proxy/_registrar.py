"""A node's own entry in the store, and what it has missed from it."""

import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _clocks
from ferry_proxy import _events
from ferry_proxy import _peer_messages
from ferry_proxy import _peers
from ferry_proxy import _store

SYNC_WAIT_S = 0.4
SYNC_PEERS = 2  # Peers asked at a time; one may be about to end.


class Registrar:
    """Keeps a node listed, and its catalogue up to date through peers."""

    def __init__(
        self,
        clock: _clocks.Clock,
        own: _catalogue.NodeEntry,
        store: _store.Store,
        catalogue: _catalogue.Catalogue,
        mesh: _peers.Mesh,
    ) -> None:
        self._clock = clock
        self._own = own
        self._store = store
        self._catalogue = catalogue
        self._mesh = mesh
        self._registering = False
        self._newest_before = -1

    def look(self) -> None:
        """Looks after this node's entry, and after what it has missed.

        A change that peers know of comes from the store within a round trip;
        where it did not by the next look, the watch is silent or the store
        turns this node away, and the peers are asked.
        """
        if self._catalogue.is_connected:
            self._register()
        newest = self._catalogue.newest
        ahead = [s for s in self._mesh.streams if s.newest > newest]
        if newest != self._newest_before or not ahead:
            self._newest_before = newest
            return
        question = _peer_messages.SyncRequest(newest)
        for stream in ahead[:SYNC_PEERS]:
            fut = decisions.within(
                self._clock, SYNC_WAIT_S, stream.call(question)
            )
            fut.add_done_callback(self._take_sync)

    def _take_sync(
        self, fut: "decisions.Future[_peer_messages.Message]"
    ) -> None:
        if fut.exception() is not None:
            return  # The next round asks again.
        reply = fut.result()
        if isinstance(reply, _peer_messages.SyncReply):
            self._catalogue.take(reply.items, "peer")

    def _register(self) -> None:
        """Puts this node's entry into the store where it is missing."""
        known = self._catalogue.nodes.get(self._own.name)
        if known == self._own or self._registering:
            return
        key = _catalogue.NODE_PREFIX + self._own.name
        item = self._catalogue.item(key)
        self._registering = True
        fut = self._store.put_if(
            key, self._own.encode(), item.revision if item else 0
        )
        fut.add_done_callback(self._registered)

    def _registered(self, fut: "decisions.Future[_store.Item | None]") -> None:
        self._registering = False
        exc = fut.exception()
        if exc is not None:
            _events.emit(_events.DependencyLost("store", str(exc)))
            return
        item = fut.result()
        if item is not None:
            self._catalogue.take((item,), "own entry")
