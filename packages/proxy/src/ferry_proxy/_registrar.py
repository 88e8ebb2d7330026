"""A node's own entry in the store, and what it has missed from it."""

from collections.abc import Sequence
import typing

import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _clocks
from ferry_proxy import _events
from ferry_proxy import _followers
from ferry_proxy import _peer_messages
from ferry_proxy import _peers
from ferry_proxy import _records
from ferry_proxy import _store

SYNC_WAIT_S = 0.4
PATIENCE_S = 0.4  # A change comes from the store within a round trip.


class Informant(_peers.Peer, typing.Protocol):
    """A stream to a peer, and what it knows."""

    @property
    def covered(self) -> int:
        """The newest change in the peer's copy of the store."""


class Informants(typing.Protocol):
    """The streams to other nodes."""

    @property
    def streams(self) -> Sequence[Informant]:
        """One stream for each peer."""


class Registrar:
    """Keeps a node listed, and its catalogue up to date through peers."""

    def __init__(
        self,
        clock: _clocks.Clock,
        own: _records.NodeEntry,
        store: _store.Store,
        catalogue: _catalogue.Catalogue,
        follower: _followers.Follower,
        mesh: Informants,
    ) -> None:
        self._clock = clock
        self._own = own
        self._store = store
        self._catalogue = catalogue
        self._follower = follower
        self._mesh = mesh
        self._registering = False
        self._asking = False
        self._behind_since: float | None = None

    def look(self) -> None:
        """Looks after this node's entry, and after what it has missed.

        A node that watches the store asks peers only where the change does
        not come: the watch is silent, or the store turns this node away.
        """
        self._follower.check()
        if self._follower.is_connected and self._catalogue.revision:
            self._register()
        covered = self._catalogue.covered
        ahead = [s for s in self._mesh.streams if s.covered > covered]
        if not ahead:
            self._behind_since = None
            return
        now = self._clock.now()
        if self._behind_since is None:
            self._behind_since = now
        patience = PATIENCE_S if self._follower.is_watching else 0.0
        if now - self._behind_since >= patience and not self._asking:
            self._ask(min(ahead, key=self._distance))

    def _distance(self, stream: Informant) -> bool:
        """Whether a peer is in another data centre, whose bytes cost more."""
        node = self._catalogue.nodes.get(stream.peer)
        return node is None or node.data_centre != self._own.data_centre

    def _ask(self, stream: Informant) -> None:
        self._asking = True
        question = _peer_messages.SyncRequest(self._catalogue.revision)
        fut = decisions.within(self._clock, SYNC_WAIT_S, stream.call(question))
        fut.add_done_callback(self._take_sync)

    def _take_sync(
        self, fut: "decisions.Future[_peer_messages.Message]"
    ) -> None:
        self._asking = False
        exc = fut.exception()
        if exc is not None:  # The next look asks again.
            _events.emit(_events.DependencyLost("peer's copy", str(exc)))
            return
        reply = fut.result()
        if isinstance(reply, _peer_messages.SyncReply):
            self._behind_since = None
            self._catalogue.take_batch(reply.batch, "peer")

    def _register(self) -> None:
        """Puts this node's entry into the store where it is missing."""
        known = self._catalogue.nodes.get(self._own.name)
        if known == self._own or self._registering:
            return
        key = _records.NODE_PREFIX + self._own.name
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
