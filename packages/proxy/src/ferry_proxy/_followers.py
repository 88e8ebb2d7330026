"""Following the store: one watch over all keys, and what to do without it.

A few nodes of each data centre watch the store; the others learn of changes
from peers, and watch it themselves only while no peer has news. So the store's
calls do not grow with the fleet.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import math
import typing

import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _clocks
from ferry_proxy import _events
from ferry_proxy import _policy
from ferry_proxy import _records
from ferry_proxy import _serving_plan
from ferry_proxy import _store

RETRY_FIRST_S = 0.1
RETRY_MAX_S = 0.6  # Below the time in which a configuration must be in force.
ALL_KEYS = ""
READERS_PER_DATA_CENTRE = (
    3  # Nodes of a data centre that watch: two may be away at once.
)
LOOK_S = 0.2  # How often a node that does not watch asks itself whether to.
GATHER_S = 0.3  # All nodes of a fleet list themselves within 0.3 s of a start.
# A watch ends with each: 6.3 watches a node among 24 that start, 0.75 so.
MAX_STORE_AGE_S = (
    5.0  # A watch in calm brings news each 3 s, and 4 s if it ends.
)


class PeerInfo(typing.Protocol):
    """A stream to a peer, as far as news of the store go.

    Attributes:
        store_seen: When the store last answered the peer, or a node that the
            peer has its news from, in the clock's seconds.
    """

    store_seen: float


class PeerInfoSource(typing.Protocol):
    """The streams to other nodes."""

    @property
    def streams(self) -> Sequence[PeerInfo]:
        """One stream for each peer."""


def is_reader(
    own: _records.NodeEntry, nodes: Iterable[_records.NodeEntry]
) -> bool:
    """Whether a node is one of those that watch the store.

    Strong nodes come first: a configuration of 1,800 routes is 570 KB in the
    store's answer, half a second of a link of 10 Mbit/s.

    Args:
        own: The node.
        nodes: All nodes that are listed.
    """
    near = {n.name: n for n in nodes if n.data_centre == own.data_centre}
    near[own.name] = own
    strong = {n.name for n in _serving_plan.strong_nodes(near.values())}
    ranked = sorted(
        near,
        key=lambda n: (
            n not in strong,
            decisions.rendezvous_score("store-reader", n),
        ),
    )
    return own.name in ranked[:READERS_PER_DATA_CENTRE]


def _is_of_nodes(changes: _store.Changes) -> bool:
    """Whether changes only tell of nodes that come and go, in numbers."""
    items = changes.items
    prefix = _records.NODE_PREFIX
    return bool(items) and all(i.key.startswith(prefix) for i in items)


class Follower:
    """Keeps a node's copy of the store up to date."""

    def __init__(
        self,
        clock: _clocks.Clock,
        store: _store.Store,
        catalogue: _catalogue.Catalogue,
        own: _records.NodeEntry,
        mesh: PeerInfoSource,
        policy: _policy.Policy,
    ) -> None:
        self._clock = clock
        self._store = store
        self._catalogue = catalogue
        self._own = own
        self._mesh = mesh
        self._policy = policy
        self._needs_snapshot = True
        self._heard_at = float("-inf")
        self._seen_before = float("-inf")
        self._is_lost = False
        self._is_reader = True
        self._reads_once = False
        self._stopped = False
        catalogue.on_change.append(self._note_nodes)

    def start(self) -> None:
        """Begins to follow the store."""
        decisions.start(self._follow())

    def stop(self) -> None:
        """Ceases to follow the store."""
        self._stopped = True

    @property
    def is_watching(self) -> bool:
        """Whether this node itself watches the store."""
        is_new = not self._catalogue.is_read
        if self._is_reader or self._reads_once or is_new:
            return True
        return self._clock.now() - self._told_at > MAX_STORE_AGE_S

    def request_store_read(self) -> None:
        """Has this node ask the store itself until that has answered."""
        self._reads_once = True

    @property
    def seen_at(self) -> float:
        """When the store last answered this node or one that tells it."""
        return max(self._heard_at, self._told_at)

    @property
    def age_s(self) -> float:
        """Seconds since then."""
        return self._clock.now() - self.seen_at

    @property
    def is_connected(self) -> bool:
        """Whether the store is likely to answer now."""
        return self.age_s < MAX_STORE_AGE_S

    def check(self) -> None:
        """Notes a return of the store that peers tell of."""
        seen, before = self.seen_at, self._seen_before
        self._seen_before = seen
        if math.isfinite(before) and seen - before > MAX_STORE_AGE_S:
            self._catalogue.note_store_return()

    @property
    def _told_at(self) -> float:
        return max(
            (s.store_seen for s in self._mesh.streams), default=float("-inf")
        )

    def _note_nodes(self) -> None:
        nodes = self._catalogue.nodes.values()
        self._is_reader = is_reader(self._own, nodes)

    def _follow(self) -> "decisions.Flow[None]":
        pause = RETRY_FIRST_S
        while not self._stopped:
            if not self.is_watching:
                yield decisions.sleep(self._clock, LOOK_S)
                continue
            try:
                yield from self._follow_once()
            except _store.HistoryLostError as exc:
                self._needs_snapshot = True
                _events.emit(_events.DependencyLost("history", str(exc)))
            except _store.StoreUnavailableError as exc:
                if not self._is_lost:
                    self._is_lost = True
                    _events.emit(_events.DependencyLost("store", str(exc)))
                yield decisions.sleep(self._clock, pause)
                pause = min(RETRY_MAX_S, pause * 2)
                continue
            pause = RETRY_FIRST_S

    def _follow_once(self) -> "decisions.Flow[None]":
        catalogue = self._catalogue
        if self._needs_snapshot:
            snapshot = yield self._store.list(ALL_KEYS)
            self._note_answer()
            catalogue.merge_snapshot(snapshot, "store")
            self._needs_snapshot = False
            yield decisions.sleep(self._clock, GATHER_S)
        while not self._stopped and self.is_watching:
            changes = yield self._store.changes(
                ALL_KEYS, catalogue.revision, self._policy.watch_wait_s
            )
            self._note_answer()
            catalogue.merge_changes(changes, "store")
            if _is_of_nodes(changes):
                yield decisions.sleep(self._clock, GATHER_S)

    def _note_answer(self) -> None:
        self._heard_at = self._clock.now()
        self._reads_once = False
        if self._is_lost:
            self._is_lost = False
            self._catalogue.note_store_return()
            _events.emit(_events.DependencyBack("store"))
