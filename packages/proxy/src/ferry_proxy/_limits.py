"""Token buckets for the rate limits of teams.

The limits hold while a team sends many times its usual load, at one node or at
all, and while nodes come and go and data centres are partitioned. Each team's
bucket is kept by one node, its owner, so that the operations that all nodes
admit are counted in one place. Splitting a limit among the nodes is no option:
a team would be refused below its limit, as each of 81 nodes would get about a
hundredth of it.

The state of a bucket is lost with its owner. The next owner starts with a few
tokens and the limit's rate instead of a full burst, so that both owners
together stay within the limit over any span of time.
"""

from collections.abc import Collection
from collections.abc import Mapping
import math

import attrs

from ferry_proxy import _records
from ferry_proxy import _teams

# The share of the tolerated excess over a limit that each change of owner may
# use up, so that two changes in one window stay within it.
OWNER_CHANGE_SHARE = 0.4


@attrs.define(slots=True, eq=False)
class Bucket:
    """The token bucket of one team.

    Attributes:
        tokens: The number of operations that may start.
        at: The time of the last refill, in the clock's seconds. A time in the
            future means that the bucket is not refilled until then.
    """

    tokens: float
    at: float

    def refill(self, limit: _teams.Limit, share: float, now: float) -> None:
        """Adds the tokens that have accrued since the last refill.

        Args:
            limit: The current limit of the team.
            share: The share of the limit that this node may grant.
            now: The current time, in the clock's seconds.
        """
        gained = max(0.0, now - self.at) * limit.rate_per_s * share
        self.tokens = min(limit.burst * share, self.tokens + gained)
        self.at = max(now, self.at)

    def take(self, count: int) -> int:
        """Removes at most `count` whole tokens; returns how many it removed."""
        taken = min(count, math.floor(self.tokens))
        self.tokens -= taken
        return taken


def initial_tokens(
    limit: _teams.Limit, window_s: float, overage: float, slack: float
) -> float:
    """Returns the tokens that a new owner without earlier state starts with.

    The previous owner may have admitted all that the limit allows, so these
    tokens must be covered by the tolerated excess over the limit. Starting with
    none was too strict: when callers reconnected together after a loss of all
    nodes, 154 statements were refused below their teams' limits in half a
    second.

    Args:
        limit: The team's limit.
        window_s: The window over which limits are measured, in seconds.
        overage: The tolerated excess, as a share of the limit.
        slack: The number of further operations that are tolerated.
    """
    tolerated = overage * (limit.rate_per_s * window_s + limit.burst) + slack
    return min(limit.burst, OWNER_CHANGE_SHARE * tolerated)


def wait_s(limit: _teams.Limit, share: float, tokens: float) -> float:
    """Returns the time until the next operation may start, in seconds.

    Args:
        limit: The team's limit.
        share: The share of the limit that this node may grant.
        tokens: The tokens that are left, less than one.
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
    """Returns the share of all limits that this side of a partition grants.

    It is the share of all nodes that are on this side. A node that is not heard
    may be down, or on another side. The shares of all sides add up to at most
    one only if no side counts the nodes that it does not hear.

    Args:
        own: This node.
        heard: The names of the nodes that were heard recently.
        nodes: All nodes by name.
    """
    names = {*nodes, own.name}
    return len(names & {*heard, own.name}) / len(names)
