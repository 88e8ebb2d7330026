"""Removes the entries of nodes that are permanently gone.

VMs may be replaced at any time, and nothing tells whether one will return. Each
node monitors its successor on the ring, and removes the successor's entry after
it has been unreachable for a long time. A node that was removed by mistake
registers itself again.
"""

import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _clocks
from ferry_proxy import _events
from ferry_proxy import _followers
from ferry_proxy import _mesh
from ferry_proxy import _records
from ferry_proxy import _store

# This is longer than restarts, freezes and most partitions last.
REMOVE_AFTER_S = 15.0

# A node that reaches a smaller share of its peers removes no other node, since
# it may be the one that is cut off.
MIN_REACHED_SHARE = 0.5

# Peers that were heard from within this time count as reached.
REACHED_WITHIN_S = 2.0


class LostNodes:
    """Monitors one other node, and removes its entry once it is gone."""

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
        """Checks whether the next node on the ring is gone."""
        now = self._clock.now()
        watched = _mesh.successor(self._own.name, self._catalogue.nodes)
        reached = watched in self._mesh.connected
        if watched != self._watched or reached or not self._may_remove():
            self._watched = watched
            self._missing_since = now
            return
        if now - self._missing_since > REMOVE_AFTER_S:
            self._missing_since = now
            self._remove(watched)

    def _may_remove(self) -> bool:
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
        fut.add_done_callback(self._on_removed)

    def _on_removed(self, fut: "decisions.Future[bool]") -> None:
        exc = fut.exception()
        # The removal is repeated after another `REMOVE_AFTER_S`.
        if exc is not None:
            _events.emit(_events.DependencyLost("store", str(exc)))
