"""How current the configuration is that a node decides by."""

from collections.abc import Sequence
import typing

import attrs

from ferry_proxy import _catalogue
from ferry_proxy import _clocks


class Informant(typing.Protocol):
    """A stream to a peer, as far as its configuration goes."""

    @property
    def version(self) -> int:
        """The version of the configuration that the peer has; 0 for none."""


class Informants(typing.Protocol):
    """The streams to other nodes."""

    @property
    def streams(self) -> Sequence[Informant]:
        """One stream for each peer."""


class StoreNews(typing.Protocol):
    """What is known of the store's answers."""

    @property
    def age_s(self) -> float:
        """Seconds since the store answered this node or one that tells it."""


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


class Currency:
    """Collects the evidence of one node."""

    def __init__(
        self,
        clock: _clocks.Clock,
        catalogue: _catalogue.Catalogue,
        news: StoreNews,
        mesh: Informants,
    ) -> None:
        self._clock = clock
        self._catalogue = catalogue
        self._news = news
        self._mesh = mesh

    @property
    def told_version(self) -> int:
        """The newest version that a connected peer has; 0 for none."""
        return max((s.version for s in self._mesh.streams), default=0)

    @property
    def evidence(self) -> Evidence:
        """What is known now."""
        origin = self._catalogue.in_force.origin
        return Evidence(
            version=self._catalogue.version,
            era=origin.item.revision.era if origin else 0,
            revision=origin.item.revision.number if origin else 0,
            source=origin.source if origin else "",
            held_s=self._clock.now() - origin.learned_at if origin else 0.0,
            store_era=self._catalogue.revision.era,
            store_age_s=self._news.age_s,
            peers=len(self._mesh.streams),
            told_version=self.told_version,
        )
