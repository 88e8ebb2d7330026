"""Which nodes count, while many come at once.

Answers the start of a fleet: 195 nodes list themselves within 0.3 s, and each
that saw the list grow one by one connected to its neighbours of that moment,
356 connections a node, two thirds of the bytes between data centres of the
first 15 s. A list that changes is taken over after a pause, as a whole.
"""

import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _records

GATHER_S = 0.4  # A fleet lists itself within 0.3 s; reading it takes the rest.
SETTLE_S = 0.5  # Between two changes: callers of a node that came or went wait
# for streams no longer than they do for signs of its silence.


class Roster:
    """The nodes by which a node chooses its peers and who serves.

    Attributes:
        nodes: The nodes by name.
        is_known: Whether a list was taken over yet, be it empty.
    """

    def __init__(
        self,
        clock: decisions.TimerService,
        catalogue: _catalogue.Catalogue,
        own: str,
    ) -> None:
        """Makes an empty roster.

        Args:
            clock: The clock.
            catalogue: The copy of the store, with the nodes that are listed.
            own: This node's name.
        """
        self._clock = clock
        self._catalogue = catalogue
        self._own = own
        self._next_at: float | None = None
        self.nodes: dict[str, _records.NodeEntry] = {}
        self.is_known = False

    def update(self) -> bool:
        """Takes over what is listed now; returns whether that is a change.

        A node that finds itself listed was started again in a fleet that
        stands: its first list is whole.
        """
        listed = self._catalogue.nodes
        if not self._catalogue.is_read:
            return False
        if self.is_known and listed == self.nodes:
            return False
        now = self._clock.now()
        if self._next_at is None:
            is_new = self._own not in listed
            self._next_at = now + (GATHER_S if is_new else 0.0)
        if now < self._next_at:
            return False
        self._next_at = now + SETTLE_S
        self.nodes = dict(listed)
        self.is_known = True
        return True
