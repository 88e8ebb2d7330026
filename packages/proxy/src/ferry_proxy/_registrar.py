"""Registers a node in the store, and fetches from peers what it has missed."""

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

# A peer that has been asked for a copy and sends nothing for this long is
# abandoned. The limit is on silence, not on the whole transfer, since a copy
# may take long on a narrow link: with a fixed limit it was abandoned and sent
# again in full without end, 429 KB every 0.4 s.
PEER_SILENCE_LIMIT_S = 0.4

# How often the silence of a peer is checked.
POLL_INTERVAL_S = 0.1

# The period over which nodes whose entries were lost register again. 410 writes
# in this time are fewer than a store can handle, and other nodes keep a node
# whose entry is missing for longer than this.
REGISTRATION_SPREAD_S = 1.0

# How long a node that watches the store waits for a change from the store
# before it asks a peer. The store delivers a change within a round trip.
STORE_CHANGE_WAIT_S = 0.4

# How long a new node waits for the configuration version of its peers after it
# has first read the store; it connects to them in half of this time.
PEER_NEWS_WAIT_S = 1.0

# A node that has been behind its peers for this long reads the store itself.
# This is a third of the shortest time within which a configuration has to take
# effect.
STORE_READ_AFTER_S = 1.0


class PeerInfo(_peers.Peer, typing.Protocol):
    """A stream to a peer, and the state of the peer's copy of the store."""

    @property
    def covered(self) -> decisions.Revision:
        """The revision of the newest change in the peer's copy."""

    @property
    def version(self) -> int:
        """The version of the peer's configuration; 0 for none."""

    @property
    def unresponsive_s(self) -> float:
        """Seconds since the peer was last heard, while it owes a reply."""


class PeerInfoSource(typing.Protocol):
    """The streams to other nodes."""

    @property
    def streams(self) -> Sequence[PeerInfo]:
        """One stream for each peer."""


class Registrar:
    """Keeps a node registered, and its catalogue up to date through peers."""

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
        self._delay_s = REGISTRATION_SPREAD_S * decisions.stagger_fraction(
            "entry", own.name
        )
        self._is_registering = False
        self._is_fetching = False
        self._sources = _copy_sources.CopySources(
            clock, random.Random(own.name)
        )
        self._behind_since: float | None = None

    @property
    def awaits_peers(self) -> bool:
        """Whether peers may still report a newer configuration than the store.

        A store restored from a backup holds an older configuration until the
        operator has written the newer one again. A node that has just started
        would refuse callers of routes that all other nodes serve.
        """
        catalogue = self._catalogue
        first = catalogue.first_snapshot
        if first is None:
            return False
        is_new = self._clock.now() - first.read_at < PEER_NEWS_WAIT_S
        may_be_old = catalogue.revision.era > 0 and len(catalogue.nodes) > 1
        newest = max((s.version for s in self._mesh.streams), default=0)
        is_confirmed = 0 < newest <= catalogue.version
        return is_new and may_be_old and not is_confirmed

    def update(self) -> None:
        """Registers this node if needed, and fetches changes it has missed.

        A node that watches the store asks peers only if a change does not
        arrive from the store, because the watch is silent or the store rejects
        this node.
        """
        self._follower.check()
        if self._follower.is_connected and self._catalogue.is_read:
            self._register()
        ahead = [s for s in self._mesh.streams if self._is_ahead(s)]
        if not ahead:
            self._behind_since = None
            self._sources.reset()
            return
        now = self._clock.now()
        if self._behind_since is None:
            self._behind_since = now
        behind_s = now - self._behind_since
        wait_s = STORE_CHANGE_WAIT_S if self._is_expected(ahead) else 0.0
        if behind_s >= wait_s and not self._is_fetching:
            self._start_fetch(ahead)
        if behind_s >= STORE_READ_AFTER_S:
            self._follower.request_store_read()

    def _is_expected(self, ahead: Sequence[PeerInfo]) -> bool:
        """Whether the store itself may soon deliver what peers know."""
        is_written = any(self._has_change(s) for s in ahead)
        return is_written and self._follower.is_watching

    def _has_change(self, stream: PeerInfo) -> bool:
        return stream.covered > self._catalogue.covered

    def _is_ahead(self, stream: PeerInfo) -> bool:
        """Whether a peer has a newer configuration or newer changes."""
        is_newer = stream.version > self._catalogue.version
        return is_newer or self._has_change(stream)

    def _start_fetch(self, ahead: Sequence[PeerInfo]) -> None:
        """Asks one of the peers that are ahead for what this node lacks."""
        near = [s for s in ahead if self._is_near(s)]
        far = [s for s in ahead if not self._is_near(s)]
        stream = self._sources.choose(near, far)
        if stream is not None:
            self._is_fetching = True
            decisions.start_detached("fetch a copy", self._fetch(stream))

    def _is_near(self, stream: PeerInfo) -> bool:
        node = self._catalogue.nodes.get(stream.peer)
        return node is not None and node.data_centre == self._own.data_centre

    def _fetch(self, stream: PeerInfo) -> "decisions.Flow[None]":
        """Fetches missing changes from a peer while the peer is responsive."""
        request = _peer_messages.SyncRequest.of(self._catalogue)
        fut = stream.call(request)
        try:
            while not fut.done():
                if stream.unresponsive_s >= PEER_SILENCE_LIMIT_S:
                    raise _peers.PeerLostError(f"{stream.peer} is silent")
                pause = decisions.sleep(self._clock, POLL_INTERVAL_S)
                yield decisions.first_completed(decisions.settled(fut), pause)
            reply = fut.result()
            if isinstance(reply, _peer_messages.SyncReply):
                self._merge(reply.batch, stream.peer)
        except (
            _peers.PeerLostError,
            _peer_messages.PeerProtocolError,
        ) as exc:
            self._sources.note_failure(stream.peer)
            _events.emit(_events.DependencyLost("peer's copy", str(exc)))
        except Exception:
            self._sources.note_failure(stream.peer)
            raise
        finally:
            self._is_fetching = False

    def _merge(self, batch: _catalogue.Batch, peer: str) -> None:
        """Merges a peer's changes, and records whether any were new."""
        known = self._catalogue.covered, self._catalogue.version
        self._catalogue.merge_batch(batch, "peer")
        if (self._catalogue.covered, self._catalogue.version) == known:
            self._sources.note_failure(peer)
            return
        self._sources.note_success(peer)
        self._behind_since = None

    def _register(self) -> None:
        """Writes this node's entry to the store if it is missing there.

        A restored store may lack the entries of many nodes at once. Each node
        waits for its own share of `REGISTRATION_SPREAD_S`, so that they do not
        all write at the same moment.
        """
        key = _records.NODE_PREFIX + self._own.name
        known = self._catalogue.nodes.get(self._own.name)
        is_listed = self._catalogue.item(key) is not None and known == self._own
        if is_listed or self._is_registering:
            return
        if self._catalogue.grace.elapsed_s < self._delay_s:
            return
        self._is_registering = True
        fut = self._store.put_if(
            key, self._own.encode(), self._catalogue.condition(key)
        )
        fut.add_done_callback(self._on_registered)

    def _on_registered(
        self, fut: "decisions.Future[_store.Item | None]"
    ) -> None:
        self._is_registering = False
        exc = fut.exception()
        if exc is not None:
            _events.emit(_events.DependencyLost("store", str(exc)))
            return
        item = fut.result()
        if item is not None:
            self._catalogue.take((item,), "own entry")
