"""How current the configuration is that a node decides by.

What a configuration allows may be done by an older one, too: that is how a data
centre that is cut off goes on. What it lacks is another matter. A newer one may
have it, so nobody is refused for good while there is any doubt.
"""

from collections.abc import Sequence
import enum
import math
import typing

import attrs

from ferry_proxy import _catalogue
from ferry_proxy import _clocks
from ferry_proxy import _suspensions

COPY_DOUBT_S = 10.0  # In which the operators write again what a copy lacks.


class Doubt(enum.Enum):
    """Why a configuration may be older than the newest confirmed one."""

    PEER_IS_AHEAD = "a peer has a newer configuration"
    STORE_SILENT = "no recent news of the store"
    STORE_RESTORED = (
        "the store came back from a copy that may hold an older one"
    )


class PeerInfo(typing.Protocol):
    """A stream to a peer, as far as its configuration goes."""

    @property
    def version(self) -> int:
        """The version of the configuration that the peer has; 0 for none."""


class PeerInfoSource(typing.Protocol):
    """The streams to other nodes."""

    @property
    def streams(self) -> Sequence[PeerInfo]:
        """One stream for each peer."""


class StoreNews(typing.Protocol):
    """What is known of the store's answers."""

    @property
    def seen_at(self) -> float:
        """When the store last answered this node or one that tells it."""


@attrs.frozen(slots=True, kw_only=True, repr=False, eq=False)
class Evidence:
    """What a node knows of how current its configuration is.

    Attributes:
        version: The version in force; 0 without one.
        era: The era of the store that its item is of.
        revision: The number of that item's revision.
        source: Who told it: the store or a peer; empty without one.
        held_s: Seconds since the source told it.
        store_era: The era in which the store was last read.
        store_age_s: Seconds since the store answered this node or a peer that
            told it so.
        peers: How many peers are connected.
        told_version: The newest version that one of them has.
        copy_read_s: Seconds since this node first read a store that had come
            back from a copy, if no configuration was written since; infinite
            otherwise.
    """

    version: int
    era: int
    revision: int
    source: str
    held_s: float
    store_era: int
    store_age_s: float
    peers: int
    told_version: int
    copy_read_s: float = math.inf


def doubt(evidence: Evidence, max_store_age_s: float) -> Doubt | None:
    """Returns why a configuration may be outdated; None if it is current.

    Args:
        evidence: What is known of it.
        max_store_age_s: How often there is news of a store that is in reach, in
            seconds.
    """
    if evidence.told_version > evidence.version:
        return Doubt.PEER_IS_AHEAD
    if evidence.store_age_s > max_store_age_s:
        return Doubt.STORE_SILENT
    if evidence.copy_read_s < COPY_DOUBT_S:
        return Doubt.STORE_RESTORED
    return None


class Currency:
    """Collects the evidence of one node."""

    def __init__(
        self,
        clock: _clocks.Clock,
        catalogue: _catalogue.Catalogue,
        news: StoreNews,
        mesh: PeerInfoSource,
    ) -> None:
        self._clock = clock
        self._catalogue = catalogue
        self._news = news
        self._mesh = mesh
        self._suspensions = _suspensions.Suspensions(clock)

    def update(self) -> None:
        """Notes suspensions of this machine; to be called often."""
        self._suspensions.update()

    @property
    def told_version(self) -> int:
        """The newest version that a connected peer has; 0 for none."""
        return max((s.version for s in self._mesh.streams), default=0)

    @property
    def evidence(self) -> Evidence:
        """What is known now."""
        origin = self._catalogue.active_configuration.origin
        return Evidence(
            version=self._catalogue.version,
            era=origin.item.revision.era if origin else 0,
            revision=origin.item.revision.number if origin else 0,
            source=origin.source if origin else "",
            held_s=self._clock.now() - origin.learned_at if origin else 0.0,
            store_era=self._catalogue.revision.era,
            store_age_s=self._suspensions.age_s(self._news.seen_at),
            peers=len(self._mesh.streams),
            told_version=self.told_version,
            copy_read_s=self._copy_read_s,
        )

    @property
    def _copy_read_s(self) -> float:
        first = self._catalogue.first_reading
        origin = self._catalogue.active_configuration.origin
        if first is None or not first.revision.era or origin is None:
            return math.inf
        if first.has_news or origin.item.revision > first.revision:
            return math.inf  # Written since the store came back.
        return self._clock.now() - first.read_at
