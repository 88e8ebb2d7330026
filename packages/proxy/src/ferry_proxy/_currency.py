"""Judges whether a node's configuration may be outdated.

A node serves what its configuration allows even if that may be outdated, so
that a data centre that is cut off keeps working. What the configuration lacks
is different: a newer version may define it, so no caller is refused
permanently while the configuration may be outdated.
"""

from collections.abc import Sequence
import enum
import math
import typing

import attrs

from ferry_proxy import _catalogue
from ferry_proxy import _clocks
from ferry_proxy import _copy_age

# The time that operators need, after the store was restored from a backup, to
# write again what the backup lacks.
RESTORE_DOUBT_S = 10.0


class Doubt(enum.Enum):
    """Why a configuration may be older than the newest confirmed version."""

    PEER_IS_AHEAD = "a peer has a newer configuration"
    OLD_COPY = "no recent proof that the copy of the store is complete"
    STORE_RESTORED = (
        "the store came back from a copy that may hold an older one"
    )


class PeerInfo(typing.Protocol):
    """The configuration version that a peer reports on its stream."""

    @property
    def version(self) -> int:
        """The version of the peer's configuration; 0 for none."""


class PeerInfoSource(typing.Protocol):
    """The streams to other nodes."""

    @property
    def streams(self) -> Sequence[PeerInfo]:
        """One stream for each peer."""


class StoreReads(typing.Protocol):
    """This node's reads of the store.

    Attributes:
        copy_age: How old the state is that the copy is complete for.
    """

    copy_age: _copy_age.CopyAge

    @property
    def answered_at(self) -> float:
        """When the store last answered this node, in the clock's seconds."""


@attrs.frozen(slots=True, kw_only=True, repr=False, eq=False)
class Evidence:
    """What a node knows about how current its configuration is.

    Events contain these fields under their names.

    Attributes:
        version: The version of the active configuration; 0 without one.
        era: The store's era that the configuration's item belongs to.
        revision: The number of that item's revision.
        source: Where the item came from, the store or a peer; empty without a
            configuration.
        held_s: Seconds since the item was received.
        store_era: The era in which the store was last read.
        copy_age_s: Seconds since the newest moment that this node's copy is
            complete for.
        reporter: The peer that reported that moment; empty if this node's own
            read showed it.
        answer_age_s: Seconds since the store answered this node itself.
        covered: The number of the newest change in this node's copy.
        peers: The number of connected peers.
        told_version: The newest configuration version that a peer reports.
        copy_read_s: Seconds since this node first read a store that had been
            restored from a backup, if no configuration has been written since;
            infinite otherwise.
    """

    version: int
    era: int
    revision: int
    source: str
    held_s: float
    store_era: int
    copy_age_s: float
    peers: int
    told_version: int
    copy_read_s: float = math.inf
    reporter: str = ""
    answer_age_s: float = math.inf
    covered: int = 0


def doubt(evidence: Evidence, max_copy_age_s: float) -> Doubt | None:
    """Returns why a configuration may be outdated; None if it is current.

    Args:
        evidence: What is known about the configuration.
        max_copy_age_s: The greatest age of a copy that counts as current, in
            seconds.
    """
    if evidence.told_version > evidence.version:
        return Doubt.PEER_IS_AHEAD
    if evidence.copy_age_s > max_copy_age_s:
        return Doubt.OLD_COPY
    if evidence.copy_read_s < RESTORE_DOUBT_S:
        return Doubt.STORE_RESTORED
    return None


class Currency:
    """Collects the evidence on one node's configuration."""

    def __init__(
        self,
        clock: _clocks.Clock,
        catalogue: _catalogue.Catalogue,
        reads: StoreReads,
        mesh: PeerInfoSource,
    ) -> None:
        self._clock = clock
        self._catalogue = catalogue
        self._reads = reads
        self._mesh = mesh

    @property
    def told_version(self) -> int:
        """The newest version that a connected peer reports; 0 for none."""
        return max((s.version for s in self._mesh.streams), default=0)

    @property
    def evidence(self) -> Evidence:
        """The evidence as of now."""
        origin = self._catalogue.active_configuration.origin
        copy_age = self._reads.copy_age
        return Evidence(
            version=self._catalogue.version,
            era=origin.item.revision.era if origin else 0,
            revision=origin.item.revision.number if origin else 0,
            source=origin.source if origin else "",
            held_s=self._clock.now() - origin.learned_at if origin else 0.0,
            store_era=self._catalogue.revision.era,
            copy_age_s=copy_age.seconds,
            peers=len(self._mesh.streams),
            told_version=self.told_version,
            copy_read_s=self._copy_read_s,
            reporter=copy_age.reporter,
            answer_age_s=self._clock.now() - self._reads.answered_at,
            covered=self._catalogue.covered.number,
        )

    @property
    def _copy_read_s(self) -> float:
        first = self._catalogue.first_snapshot
        origin = self._catalogue.active_configuration.origin
        if first is None or not first.revision.era or origin is None:
            return math.inf
        if origin.item.revision > first.revision:
            return math.inf  # It was written after the restore.
        return self._clock.now() - first.read_at
