"""Decides whether a node is cut off together with its data centre.

A node on the smaller side of a partition serves callers worse than the nodes on
the larger side. Peers are weighed by data centre: which peers a node has
streams to says nothing about the size of either side.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

# A single silent data centre may just as well have lost its power. Two at once
# are a partition.
MIN_SILENT_DATA_CENTRES = 2

# A VM that restarts refuses connections, and so does a firewall that separates
# two data centres. If at least this share of the peers in the node's own data
# centre refuses, too, VMs restart everywhere.
RESTARTING_SHARE = 0.25


@attrs.frozen(slots=True, kw_only=True)
class Contact:
    """A node's contact with a data centre that it has streams to or from.

    Attributes:
        nodes: The number of nodes listed there, this one included.
        peers: How many of them this node keeps streams to, itself excluded; 0
            if streams only come from there.
        heard: How many of these peers were heard recently.
        refused: How many of them have recently refused connections.
        silence_s: Seconds since any of its nodes was heard.
    """

    nodes: int
    peers: int = 0
    heard: int = 0
    refused: int = 0
    silence_s: float = 0.0


@attrs.frozen(slots=True, kw_only=True)
class FleetContact:
    """A node's contact with all data centres.

    Attributes:
        own: The contact with the other nodes of its own data centre.
        others: The contact with other data centres.
    """

    own: Contact
    others: tuple[Contact, ...] = ()

    @property
    def has_restarts(self) -> bool:
        """Whether refused connections are due to VMs that restart."""
        if not self.own.heard:
            return False
        return self.own.refused >= RESTARTING_SHARE * self.own.peers

    @property
    def reached_share(self) -> float:
        """The estimated share of the fleet's nodes that the node reaches."""
        own = self.own
        reached = 1.0
        if own.peers:
            reached += (own.nodes - 1) * self._reached(own) / own.peers
        nodes = max(1, own.nodes if own.peers else 1)
        for other in self.others:
            if other.peers:
                nodes += other.nodes
                reached += other.nodes * self._reached(other) / other.peers
        return reached / nodes

    def _reached(self, contact: Contact) -> int:
        restarting = contact.refused if self.has_restarts else 0
        return contact.heard + restarting

    def is_separated(self, limit_s: float) -> bool:
        """Whether the node is on the smaller side of a partition.

        Args:
            limit_s: The silence that counts as a loss of contact, in seconds.
        """
        silent = [c for c in self.others if self._is_silent(c, limit_s)]
        if len(silent) < MIN_SILENT_DATA_CENTRES:
            return False
        silent_nodes = sum(c.nodes for c in silent)
        nodes = self.own.nodes + sum(c.nodes for c in self.others)
        return silent_nodes > nodes - silent_nodes

    def _is_silent(self, contact: Contact, limit_s: float) -> bool:
        if contact.refused and self.has_restarts:
            return False
        return contact.silence_s > limit_s


class Silences:
    """When a node last heard from each data centre."""

    def __init__(self) -> None:
        self._heard_at: dict[str, float] = {}

    def note(self, data_centre: str, at: float) -> None:
        """Records that a node of a data centre was heard.

        Args:
            data_centre: The data centre.
            at: When, in the clock's seconds.
        """
        known = self._heard_at.get(data_centre, at)
        self._heard_at[data_centre] = max(known, at)

    def retain(self, data_centres: Iterable[str], now: float) -> None:
        """Forgets all others; the silence of a new one begins now.

        Args:
            data_centres: The data centres that the node keeps streams to.
            now: The current time, in the clock's seconds.
        """
        self._heard_at = {
            name: self._heard_at.get(name, now) for name in data_centres
        }

    def at(self, now: float) -> Mapping[str, float]:
        """Returns each data centre's silence in seconds.

        Args:
            now: The current time, in the clock's seconds.
        """
        return {name: now - at for name, at in self._heard_at.items()}
