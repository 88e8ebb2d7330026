"""How many links a pool may have at a moment.

Answers a loss of power of all nodes: what they had open stays at the members
for 3 s, and of 46 connections a few are left for all. Were each node to open
what it may, the first would take them all and the others have none until then.
So a pool begins with one link and grows, and one that the member turned away
gives one up, and exchanges rather than adds: in a model of six nodes and room
for nine links one node had none until the others' old links were gone.
"""

import attrs

GROWTH_INTERVAL_S = (
    0.15  # Between two more links: nodes that begin within 0.3 s of each
)
# other each get a first one before any gets a third.
FULL_BACKOFF_S = 0.1  # The member is well, and has room once a link is closed.
NO_GROWTH_S = 0.5  # For so long no link is added once a member has no room.


@attrs.define(slots=True, eq=False)
class LinkRoom:
    """The bound on one pool's links.

    Attributes:
        begun: When the pool began, in the clock's seconds.
        is_limited: Whether all links are in use at all times, as where each is
            a team's own; elsewhere few are, and nothing has to be held back.
        full_until: Until when the member is taken to have no room.
        most: How many links there may be until then.
    """

    created_at: float
    is_limited: bool
    full_until: float = float("-inf")
    max_while_full: int = 0

    def note_full(self, size: int, now: float) -> None:
        """Takes in that the member has no room for another link.

        Who has several then leaves one to those who have none.

        Args:
            size: Links that are open or being opened.
            now: The time.
        """
        self.full_until = now + NO_GROWTH_S
        self.max_while_full = max(1, size - 1)

    def bound(self, limit: int, now: float) -> int:
        """Returns how many links there may be.

        Args:
            limit: The node's part of the member's connections.
            now: The time.
        """
        if not self.is_limited:
            return limit
        if now < self.full_until:
            return min(limit, self.max_while_full)
        return min(limit, 1 + int((now - self.created_at) / GROWTH_INTERVAL_S))
