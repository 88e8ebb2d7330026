"""How old the state is that a node's copy of the store is complete for.

A copy is complete for a moment if it contains every change that the store had
acknowledged by then. A node learns of such moments from its own reads. It also
learns of them from a peer's reports, as long as its copy contains everything
that the peer's copy contains.
"""

from collections.abc import Sequence
import math
import typing

import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _clocks


class PeerInfo(typing.Protocol):
    """What a peer reports on its stream about its copy of the store.

    Attributes:
        peer: The name of the peer.
        complete_at: The moment that the peer's copy is complete for, in boot
            time.
    """

    peer: str
    complete_at: float

    @property
    def covered(self) -> decisions.Revision:
        """The revision of the newest change in the peer's copy."""

    @property
    def version(self) -> int:
        """The version of the peer's configuration; 0 for none."""


class PeerInfoSource(typing.Protocol):
    """The streams to other nodes."""

    @property
    def streams(self) -> Sequence[PeerInfo]:
        """One stream for each peer."""


class CopyAge:
    """Records the newest moment that a node's copy is complete for."""

    def __init__(
        self,
        clock: _clocks.Clock,
        catalogue: _catalogue.Catalogue,
        mesh: PeerInfoSource,
    ) -> None:
        self._clock = clock
        self._catalogue = catalogue
        self._mesh = mesh
        self._complete_at = float("-inf")
        self._reported_at = float("-inf")
        self._reporter = ""

    def confirm(self, moment: float) -> None:
        """Records a moment that this node's own read has shown.

        Args:
            moment: The moment that the copy is complete for, in boot time.
        """
        if moment > self._complete_at:
            self._complete_at = moment
            self._reporter = ""

    @property
    def seconds(self) -> float:
        """Seconds since the newest moment that the copy is complete for."""
        self._adopt_reports()
        return self._clock.boot_now() - self._complete_at

    @property
    def reported_s(self) -> float:
        """Seconds since the newest such moment that a peer has reported.

        Infinite without connected peers.
        """
        if not self._mesh.streams:
            return math.inf
        self._adopt_reports()
        return self._clock.boot_now() - self._reported_at

    @property
    def reporter(self) -> str:
        """The peer that reported the moment; empty for this node's own read."""
        self._adopt_reports()
        return self._reporter

    def _adopt_reports(self) -> None:
        for stream in self._mesh.streams:
            if not self._contains_copy_of(stream):
                continue
            self._reported_at = max(self._reported_at, stream.complete_at)
            if stream.complete_at > self._complete_at:
                self._complete_at = stream.complete_at
                self._reporter = stream.peer

    def _contains_copy_of(self, stream: PeerInfo) -> bool:
        known, reported = self._catalogue.covered, stream.covered
        is_included = reported.era == known.era and reported <= known
        return is_included and stream.version <= self._catalogue.version
