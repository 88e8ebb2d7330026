"""The list of nodes that a node acts on, updated in batches.

When a fleet starts, 195 nodes register within 0.3 s. A node that saw the list
grow one by one connected to its neighbours of each moment: 356 connections per
node, and two thirds of the bytes between data centres in the first 15 s. A
changed list is therefore adopted as a whole after a pause.
"""

import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _records

# The delay before a new node adopts its first list: a fleet registers within
# 0.3 s, and the rest is for reading the list.
FIRST_DELAY_S = 0.4

# The pause between two changes. Callers of a node that joined or left wait for
# streams no longer than it takes to detect that a node is silent.
MIN_UPDATE_INTERVAL_S = 0.5

# Seeds are used if the store has not answered within this time, which allows
# for many round trips to it, also on a loaded VM.
SEED_DELAY_S = 0.2


def needs_seeds(is_store_read: bool, waited_s: float) -> bool:
    """Whether a node connects to the seeds instead of registered nodes.

    While a fleet starts, the store answers within milliseconds. Without the
    delay all nodes would connect to the same three seeds.

    Args:
        is_store_read: Whether the store has answered.
        waited_s: Seconds since the node's start.
    """
    return not is_store_read and waited_s > SEED_DELAY_S


class Roster:
    """The nodes among which a node chooses its peers and the serving nodes.

    Attributes:
        nodes: The nodes by name.
        is_known: Whether a list, even an empty one, has been adopted.
    """

    def __init__(
        self,
        clock: decisions.TimerService,
        catalogue: _catalogue.Catalogue,
        own: str,
    ) -> None:
        """Creates an empty roster.

        Args:
            clock: The clock.
            catalogue: The copy of the store, with the registered nodes.
            own: This node's name.
        """
        self._clock = clock
        self._catalogue = catalogue
        self._own = own
        self._next_at: float | None = None
        self.nodes: dict[str, _records.NodeEntry] = {}
        self.is_known = False

    def update(self) -> bool:
        """Adopts the current list if it is due; returns whether it changed.

        A node that is listed already has been restarted in a running fleet, so
        its first list is complete and is adopted at once.
        """
        listed = self._catalogue.nodes
        if not self._catalogue.is_read:
            return False
        if self.is_known and listed == self.nodes:
            return False
        now = self._clock.now()
        if self._next_at is None:
            is_new = self._own not in listed
            self._next_at = now + (FIRST_DELAY_S if is_new else 0.0)
        if now < self._next_at:
            return False
        self._next_at = now + MIN_UPDATE_INTERVAL_S
        self.nodes = dict(listed)
        self.is_known = True
        return True
