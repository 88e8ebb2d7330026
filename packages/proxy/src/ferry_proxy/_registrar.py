"""A node's own entry in the store, and what it has missed from it."""

from collections.abc import Sequence
import random
import typing

import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _clocks
from ferry_proxy import _copy_sources
from ferry_proxy import _events
from ferry_proxy import _followers
from ferry_proxy import _peer_messages
from ferry_proxy import _peers
from ferry_proxy import _records
from ferry_proxy import _store

SILENT_S = 0.4  # A peer that owes a copy and sends nothing for so long is
# passed over. A copy may take long, on narrow links; one that was given up
# after a fixed time was sent again whole, for ever: 429 KB each 0.4 s.
LOOK_S = 0.1
SPREAD_S = 1.0  # 410 writes: below what a store takes a second; others miss a
# node later.
PATIENCE_S = 0.4  # A change comes from the store within a round trip.
PEER_NEWS_WAIT_S = (
    1.0  # After its first reading a node reaches its peers in half.
)
STORE_READ_AFTER_S = 1.0  # Behind for so long, a node reads the store itself: a
# third of the shortest time in which a configuration must be in force.


class PeerInfo(_peers.Peer, typing.Protocol):
    """A stream to a peer, and what it knows."""

    @property
    def covered(self) -> decisions.Revision:
        """The newest change in the peer's copy of the store."""

    @property
    def version(self) -> int:
        """The version of the configuration that the peer has; 0 for none."""

    @property
    def unresponsive_s(self) -> float:
        """Seconds since the peer was heard, while it owes an answer."""


class PeerInfoSource(typing.Protocol):
    """The streams to other nodes."""

    @property
    def streams(self) -> Sequence[PeerInfo]:
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
        mesh: PeerInfoSource,
    ) -> None:
        self._clock = clock
        self._own = own
        self._store = store
        self._catalogue = catalogue
        self._follower = follower
        self._mesh = mesh
        self._delay_s = SPREAD_S * decisions.stagger_fraction("entry", own.name)
        self._registering = False
        self._asking = False
        self._sources = _copy_sources.CopySources(
            clock, random.Random(own.name)
        )
        self._behind_since: float | None = None

    @property
    def awaits_peers(self) -> bool:
        """Whether peers may yet tell of a newer configuration than the store.

        A store that came back from a copy holds an older one until the
        operator has written it again; a node that has just started would
        refuse callers of routes that all others serve.
        """
        catalogue = self._catalogue
        first = catalogue.first_reading
        if first is None:
            return False
        is_new = self._clock.now() - first.read_at < PEER_NEWS_WAIT_S
        may_be_old = catalogue.revision.era > 0 and len(catalogue.nodes) > 1
        told = max((s.version for s in self._mesh.streams), default=0)
        is_told = 0 < told <= catalogue.version
        return is_new and may_be_old and not is_told

    def update(self) -> None:
        """Looks after this node's entry, and after what it has missed.

        A node that watches the store asks peers only where the change does
        not come: the watch is silent, or the store turns this node away.
        """
        self._follower.check()
        if self._follower.is_connected and self._catalogue.is_read:
            self._register()
        ahead = [s for s in self._mesh.streams if self._is_ahead(s)]
        if not ahead:
            self._behind_since = None
            self._sources.forget()
            return
        now = self._clock.now()
        if self._behind_since is None:
            self._behind_since = now
        behind_s = now - self._behind_since
        patience = PATIENCE_S if self._may_come(ahead) else 0.0
        if behind_s >= patience and not self._asking:
            self._ask(ahead)
        if behind_s >= STORE_READ_AFTER_S:
            self._follower.request_store_read()

    def _may_come(self, ahead: Sequence[PeerInfo]) -> bool:
        """Whether what peers know may soon come from the store itself."""
        is_written = any(self._has_change(s) for s in ahead)
        return is_written and self._follower.is_watching

    def _has_change(self, stream: PeerInfo) -> bool:
        return stream.covered > self._catalogue.covered

    def _is_ahead(self, stream: PeerInfo) -> bool:
        """Whether a peer knows what this node does not."""
        is_newer = stream.version > self._catalogue.version
        return is_newer or self._has_change(stream)

    def _ask(self, ahead: Sequence[PeerInfo]) -> None:
        """Asks one of the peers that know more for its copy."""
        near = [s for s in ahead if self._is_near(s)]
        far = [s for s in ahead if not self._is_near(s)]
        stream = self._sources.choose(near, far)
        if stream is not None:
            self._asking = True
            decisions.start(self._copy(stream))

    def _is_near(self, stream: PeerInfo) -> bool:
        node = self._catalogue.nodes.get(stream.peer)
        return node is not None and node.data_centre == self._own.data_centre

    def _copy(self, stream: PeerInfo) -> "decisions.Flow[None]":
        """Asks a peer for what is lacking, for as long as it shows life."""
        question = _peer_messages.SyncRequest.of(self._catalogue)
        fut = stream.call(question)
        try:
            while not fut.done():
                if stream.unresponsive_s >= SILENT_S:
                    raise _peers.PeerLostError(f"{stream.peer} is silent")
                pause = decisions.sleep(self._clock, LOOK_S)
                yield decisions.first_completed(decisions.settled(fut), pause)
            reply = fut.result()
            if isinstance(reply, _peer_messages.SyncReply):
                self._take(reply.batch, stream.peer)
        except (
            _peers.PeerLostError,
            _peer_messages.PeerProtocolError,
        ) as exc:
            self._sources.note_failure(stream.peer)
            _events.emit(_events.DependencyLost("peer's copy", str(exc)))
        finally:
            self._asking = False

    def _take(self, batch: _catalogue.Batch, peer: str) -> None:
        """Merges a peer's copy in, and notes whether it brought anything."""
        known = self._catalogue.covered, self._catalogue.version
        self._catalogue.merge_batch(batch, "peer")
        if (self._catalogue.covered, self._catalogue.version) == known:
            self._sources.note_failure(peer)
            return
        self._sources.note_success(peer)
        self._behind_since = None

    def _register(self) -> None:
        """Puts this node's entry into the store where it is missing.

        Entries that a copy of the store lacks are missing for many nodes at
        one moment; each waits for a part of a while that is its own.
        """
        key = _records.NODE_PREFIX + self._own.name
        known = self._catalogue.nodes.get(self._own.name)
        is_listed = self._catalogue.item(key) is not None and known == self._own
        if is_listed or self._registering:
            return
        if self._catalogue.grace.elapsed_s < self._delay_s:
            return
        self._registering = True
        fut = self._store.put_if(
            key, self._own.encode(), self._catalogue.condition(key)
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
