"""Follows the store with a single watch over all keys.

A few nodes of each data centre watch the store. The others learn of changes
from peers. They read the store themselves only when their copy becomes old, and
watch it while no peer has recent news of it, so store calls are far fewer than
nodes.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import math
import typing

import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _clocks
from ferry_proxy import _copy_age
from ferry_proxy import _events
from ferry_proxy import _policy
from ferry_proxy import _records
from ferry_proxy import _serving_plan
from ferry_proxy import _store

RETRY_FIRST_S = 0.1

# The longest pause between two attempts. It is below the time within which a
# configuration has to take effect.
RETRY_MAX_S = 0.6
ALL_KEYS = ""

# How many nodes of a data centre watch the store; two of them may fail at once.
READERS_PER_DATA_CENTRE = 3

# How often a node that does not watch the store checks whether it should.
ROLE_CHECK_S = 0.2

# The pause between two watches after nodes have changed, so that one watch
# returns several changes. All nodes of a starting fleet register within 0.3 s,
# and each registration ends a watch: among 24 starting nodes, 6.3 watches per
# node without this pause, 0.75 with it.
BATCHING_PAUSE_S = 0.3

# A watch is answered every second while nothing changes, and reports of it take
# up to a second a hop. A longer silence means that the store is unreachable.
MAX_STORE_AGE_S = 5.0

# A node that does not watch the store reads it once its copy is older than this
# share of the time within which a configuration has to take effect. The rest is
# for the read itself.
MAX_COPY_AGE_SHARE = 0.8


class PeerInfo(_copy_age.PeerInfo, typing.Protocol):
    """What a peer reports on its stream about the store.

    Attributes:
        store_seen: The moment that the peer's copy is complete for, in the
            clock's seconds.
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

    Strong nodes are preferred: a configuration of 1,800 routes takes 570 KB in
    the store's answer, which is half a second on a link of 10 Mbit/s.

    Args:
        own: The node.
        nodes: All registered nodes.
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
    """Whether changes are not empty and concern only nodes' entries."""
    items = changes.items
    prefix = _records.NODE_PREFIX
    return bool(items) and all(i.key.startswith(prefix) for i in items)


class Follower:
    """Keeps a node's copy of the store up to date.

    Attributes:
        copy_age: How old the state is that the copy is complete for.
    """

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
        self.copy_age = _copy_age.CopyAge(clock, catalogue, mesh)
        self._needs_snapshot = True
        self._answered_at = float("-inf")
        self._last_seen_at = float("-inf")
        self._is_unavailable = False
        self._is_reader = True
        self._is_read_requested = False
        self._stopped = False
        self._supervisor = decisions.Supervisor(
            clock, "follow the store", self._follow, self._read_anew
        )
        catalogue.on_change.append(self._update_role)

    def start(self) -> None:
        """Starts following the store."""
        self._supervisor.start()

    def stop(self) -> None:
        """Stops following the store."""
        self._stopped = True

    @property
    def restarts(self) -> int:
        """How often following the store ended with an error."""
        return self._supervisor.restarts

    @property
    def is_watching(self) -> bool:
        """Whether this node watches the store itself."""
        is_new = not self._catalogue.is_read
        if self._is_reader or self._is_read_requested or is_new:
            return True
        max_age_s = self._policy.max_copy_age_s * MAX_COPY_AGE_SHARE
        is_copy_old = self.copy_age.seconds > max_age_s
        return is_copy_old or self.copy_age.reported_s > MAX_STORE_AGE_S

    def request_store_read(self) -> None:
        """Makes this node watch the store until the store next answers."""
        self._is_read_requested = True

    @property
    def answered_at(self) -> float:
        """When the store last answered this node itself."""
        return self._answered_at

    @property
    def seen_at(self) -> float:
        """When the store last answered this node or a peer that reports it."""
        return max(self._answered_at, self._reported_at)

    @property
    def age_s(self) -> float:
        """Seconds since the store last answered, as `seen_at` has it."""
        return self._clock.now() - self.seen_at

    @property
    def is_connected(self) -> bool:
        """Whether the store is likely to answer now."""
        return self.age_s < MAX_STORE_AGE_S

    def check(self) -> None:
        """Takes peers' reports of the store into account.

        They may show that an outage of the store has ended.
        """
        self._publish_age()
        seen, before = self.seen_at, self._last_seen_at
        self._last_seen_at = seen
        if math.isfinite(before) and seen - before > MAX_STORE_AGE_S:
            self._catalogue.note_store_return()

    @property
    def _reported_at(self) -> float:
        return max(
            (s.store_seen for s in self._mesh.streams), default=float("-inf")
        )

    def _update_role(self) -> None:
        nodes = self._catalogue.nodes.values()
        self._is_reader = is_reader(self._own, nodes)

    def _read_anew(self) -> None:
        """Makes the next run read all items.

        The changes that were being applied may not all be part of the copy.
        """
        self._needs_snapshot = True

    def _follow(self) -> "decisions.Flow[None]":
        pause_s = RETRY_FIRST_S
        while not self._stopped:
            if not self.is_watching:
                yield decisions.sleep(self._clock, ROLE_CHECK_S)
                continue
            try:
                yield from self._follow_once()
            except _store.HistoryLostError as exc:
                self._needs_snapshot = True
                _events.emit(_events.DependencyLost("history", str(exc)))
            except _store.StoreUnavailableError as exc:
                if not self._is_unavailable:
                    self._is_unavailable = True
                    _events.emit(_events.DependencyLost("store", str(exc)))
                yield decisions.sleep(self._clock, pause_s)
                pause_s = min(RETRY_MAX_S, pause_s * 2)
                continue
            pause_s = RETRY_FIRST_S

    def _follow_once(self) -> "decisions.Flow[None]":
        catalogue = self._catalogue
        if self._needs_snapshot:
            asked_at = self._clock.boot_now()
            snapshot = yield self._store.list(ALL_KEYS)
            self._note_answer()
            catalogue.merge_snapshot(snapshot, "store")
            self._note_complete(snapshot, asked_at)
            self._needs_snapshot = False
            yield decisions.sleep(self._clock, BATCHING_PAUSE_S)
        while not self._stopped and self.is_watching:
            wait_s, asked_at = self._watch_wait_s, self._clock.boot_now()
            changes = yield self._store.changes(
                ALL_KEYS, catalogue.revision, wait_s
            )
            self._note_answer()
            catalogue.merge_changes(changes, "store")
            # Only an empty answer tells when it was sent.
            waited_s = 0.0 if changes.items else wait_s
            self._note_complete(changes, asked_at + waited_s)
            if _is_of_nodes(changes):
                yield decisions.sleep(self._clock, BATCHING_PAUSE_S)

    @property
    def _watch_wait_s(self) -> float:
        """How long the next watch waits; less if the copy is old already."""
        wait_s = self._policy.watch_wait_s
        return min(wait_s, max(0.0, wait_s - self.copy_age.seconds))

    def _note_complete(self, merged: _store.Changes, moment: float) -> None:
        """Records a moment that the copy is complete for after a read.

        Args:
            merged: The items that were read; ignored by a copy that is in a
                later era by now.
            moment: The moment that they are complete for, in boot time.
        """
        if merged.revision.era == self._catalogue.revision.era:
            self.copy_age.confirm(min(moment, self._clock.boot_now()))
            self._publish_age()

    def _publish_age(self) -> None:
        """Lets other parts know how old the copy is."""
        now = self._clock.boot_now()
        self._catalogue.complete_at = now - self.copy_age.seconds

    def _note_answer(self) -> None:
        self._answered_at = self._clock.now()
        self._is_read_requested = False
        if self._is_unavailable:
            self._is_unavailable = False
            self._catalogue.note_store_return()
            _events.emit(_events.DependencyBack("store"))
