"""Removing the entries of nodes that are gone for good.

VMs are replaced at any time, and nothing tells whether one comes back. Each
node watches the next one on the ring; one that is out of its reach for long is
taken off the list. A node that is removed by mistake lists itself anew.
"""

import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _clocks
from ferry_proxy import _events
from ferry_proxy import _followers
from ferry_proxy import _mesh
from ferry_proxy import _records
from ferry_proxy import _store

REMOVE_AFTER_S = 15.0  # Longer than restarts, freezes and most partitions last.
MIN_REACHED_SHARE = 0.5  # A node that reaches fewer of its peers judges nobody.
REACHED_WITHIN_S = 2.0  # Peers that were heard within this are reached.


class LostNodes:
    """Watches one other node, and takes it off the list when it is gone."""

    def __init__(
        self,
        clock: _clocks.Clock,
        own: _records.NodeEntry,
        store: _store.Store,
        catalogue: _catalogue.Catalogue,
        follower: _followers.Follower,
        mesh: _mesh.Connectivity,
    ) -> None:
        self._clock = clock
        self._own = own
        self._store = store
        self._catalogue = catalogue
        self._follower = follower
        self._mesh = mesh
        self._watched = ""
        self._missing_since = 0.0

    def check(self) -> None:
        """Weighs whether the next node on the ring is gone."""
        now = self._clock.now()
        watched = _mesh.successor(self._own.name, self._catalogue.nodes)
        reached = watched in self._mesh.connected
        if watched != self._watched or reached or not self._may_judge():
            self._watched = watched
            self._missing_since = now
            return
        if now - self._missing_since > REMOVE_AFTER_S:
            self._missing_since = now
            self._remove(watched)

    def _may_judge(self) -> bool:
        reached = (
            self._mesh.reached_share(REACHED_WITHIN_S) >= MIN_REACHED_SHARE
        )
        return reached and self._follower.is_connected

    def _remove(self, node: str) -> None:
        key = _records.NODE_PREFIX + node
        item = self._catalogue.item(key)
        if item is None:
            return
        _events.emit(_events.NodeRemoved(node))
        fut = self._store.remove_if(key, item.revision)
        fut.add_done_callback(self._removed)

    def _removed(self, fut: "decisions.Future[bool]") -> None:
        exc = fut.exception()
        if exc is not None:  # The next check that finds it missing repeats it.
            _events.emit(_events.DependencyLost("store", str(exc)))
