"""How much each team may still ask for: one token bucket a team.

Answers a team that sends many times its usual, on one node or on all, while
nodes come and go and data centres are cut off. Each bucket is kept by one node,
the team's keeper, so that what all nodes let through is counted in one place.
What a team is refused below its limit is lost to it, so shares of a limit by
node are no way: of 81 nodes each would get a hundredth of it.

Whatever the keeper knew is lost with it. Its successor begins with a few
operations and the limit's rate rather than a full burst, so that the two
together stay within the limit over every span of time.
"""

from collections.abc import Collection
from collections.abc import Mapping
import math

import attrs

from ferry_proxy import _records
from ferry_proxy import _teams

BORNE_SHARE = 0.4  # Of what is borne over a limit, for each change of keeper:
# two within one window are within it.


@attrs.define(slots=True, eq=False)
class Bucket:
    """What is left of one team's limit.

    Attributes:
        tokens: Operations that may begin now.
        at: When that was so, in the clock's seconds; later than now where
            nothing comes in yet.
    """

    tokens: float
    at: float

    def refill(self, limit: _teams.Limit, share: float, now: float) -> None:
        """Adds what has come in since.

        Args:
            limit: The team's limit, as it is now.
            share: The part of it that this node may give out.
            now: The time.
        """
        gained = max(0.0, now - self.at) * limit.rate_per_s * share
        self.tokens = min(limit.burst * share, self.tokens + gained)
        self.at = max(now, self.at)

    def take(self, count: int) -> int:
        """Takes up to so many whole tokens; returns how many."""
        taken = min(count, math.floor(self.tokens))
        self.tokens -= taken
        return taken


def initial_tokens(
    limit: _teams.Limit, window_s: float, overage: float, slack: float
) -> float:
    """Returns what a keeper begins with that knows of nothing before.

    What the keeper before it let through is within the limit, so that all it
    adds has to be within what is borne over the limit. With nothing but the
    rate, callers who come back together after a loss of all nodes were refused
    below their teams' limits: 154 statements in half a second.

    Args:
        limit: The team's limit.
        window_s: The span over which limits are judged, in seconds.
        overage: The share of a limit over it that is borne.
        slack: Operations that are borne besides.
    """
    borne = overage * (limit.rate_per_s * window_s + limit.burst) + slack
    return min(limit.burst, BORNE_SHARE * borne)


def wait_s(limit: _teams.Limit, share: float, tokens: float) -> float:
    """Returns when the next operation may begin, in seconds from now.

    Args:
        limit: The team's limit.
        share: The part of it that is given out here.
        tokens: What is left, less than one.
    """
    rate_per_s = limit.rate_per_s * share
    if rate_per_s <= 0:
        return math.inf
    return (1.0 - tokens) / rate_per_s


def share_in_reach(
    own: _records.NodeEntry,
    heard: Collection[str],
    nodes: Mapping[str, _records.NodeEntry],
) -> float:
    """Returns the part of all limits that this side of a partition gives out.

    It is the share of nodes on this side. Nodes that are not heard may be gone
    or on another side, so that the parts of all sides add up to one at most
    only if nobody stands in for them.

    Args:
        own: This node.
        heard: The names of the nodes that were heard lately.
        nodes: All nodes, by name.
    """
    names = {*nodes, own.name}
    return len(names & {*heard, own.name}) / len(names)
