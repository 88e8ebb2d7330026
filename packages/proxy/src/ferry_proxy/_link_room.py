"""The current bound on the number of links of a pool.

When all nodes lose power at once, their old connections stay open at the
members for 3 s, so that only a few of 46 connections are left for all nodes.
If each node opened as many as it may, the first nodes would take them all and
the others would have none until the old ones are closed. A pool therefore
starts with one link and grows gradually. A pool that the member rejects gives
up one link, and then replaces links instead of adding any: in a model of six
nodes and room for nine links, one node otherwise had none until the old links
of the others were gone.
"""

import attrs

# The bound grows by one link per interval. Of nodes that start within 0.3 s of
# each other, each gets a first link before any gets a third.
GROWTH_INTERVAL_S = 0.15
# The delay before another attempt to connect to a full member. The member works
# and has room as soon as a link is closed.
FULL_BACKOFF_S = 0.1
# No links are added for this long after a member reports that it is full.
NO_GROWTH_S = 0.5


@attrs.define(slots=True, eq=False)
class LinkRoom:
    """The bound on one pool's links.

    Attributes:
        created_at: When the pool was created, in the clock's seconds.
        is_limited: Whether the bound applies: where each link belongs to one
            team, pools use all the links they may have. Elsewhere few links
            are in use, and growth need not be slowed.
        full_until: Until when the member is assumed to be full.
        max_while_full: The bound until then.
    """

    created_at: float
    is_limited: bool
    full_until: float = float("-inf")
    max_while_full: int = 0

    def note_full(self, size: int, now: float) -> None:
        """Records that the member rejected a link because it is full.

        A pool with several links then leaves one to nodes that have none.

        Args:
            size: The number of links that are open or being opened.
            now: The time, in the clock's seconds.
        """
        self.full_until = now + NO_GROWTH_S
        self.max_while_full = max(1, size - 1)

    def bound(self, limit: int, now: float) -> int:
        """Returns how many links the pool may have now.

        Args:
            limit: The node's share of the member's connections.
            now: The time, in the clock's seconds.
        """
        if not self.is_limited:
            return limit
        if now < self.full_until:
            return min(limit, self.max_while_full)
        return min(limit, 1 + int((now - self.created_at) / GROWTH_INTERVAL_S))
