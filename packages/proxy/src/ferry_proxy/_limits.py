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

LEAST_OWN_SHARE = 0.25  # Of the own data centre's nodes: with fewer in reach,
# a node takes itself for cut off from them, and not them for gone.
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


def first_tokens(
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
    overage: float,
) -> float:
    """Returns the part of all limits that this side of a partition gives out.

    A data centre that is out of reach gives out its own part, by its number of
    nodes. One in which a node is heard counts whole: its others are likely to
    be gone, and their callers elsewhere. Sides' parts add up to one at most,
    but for nodes that are cut off from their own data centre, which counts
    whole elsewhere: all of these together give out what is borne over a limit.

    Args:
        own: This node.
        heard: The names of the nodes that were heard lately.
        nodes: All nodes, by name.
        overage: The share of a limit over it that is borne.
    """
    size: dict[str, int] = {}
    reached: dict[str, int] = {}
    for name, node in {**nodes, own.name: own}.items():
        place = node.data_centre
        size[place] = size.get(place, 0) + 1
        if name in heard or name == own.name:
            reached[place] = reached.get(place, 0) + 1
    total = sum(size.values())
    share = sum(size[p] for p in reached if p != own.data_centre) / total
    own_size, own_reached = size[own.data_centre], reached[own.data_centre]
    if own_reached < LEAST_OWN_SHARE * own_size:
        return share + own_reached / total * overage
    return share + own_size / total
