"""Shares of a member's slots by the demand of the nodes that use it.

Demand is uneven between serving nodes: it comes in waves, a team's statements
all run at one node, and the nodes of a lost data centre leave theirs to
others. With equal shares, a busy node queues statements while slots are idle.
All functions are pure, so that nodes that know the same demands arrive at the
same shares.
"""

from collections.abc import Mapping


def shares(
    total: int, equal: int, demands: Mapping[str, int], unknown: int = 0
) -> dict[str, int]:
    """Returns how many statements each node may have in progress at a member.

    No node gets less than an equal share. Beyond that, `total` is divided
    max-min fairly by demand, and what nobody demands goes to the nodes with
    demand. The shares that exceed `equal` therefore add up to at most `total`
    and half of their number, for rounding.

    Args:
        total: The number of statements that keeps all slots busy.
        equal: The share of a node while demands are not known.
        demands: The number of statements in progress and waiting by node.
        unknown: The number of nodes whose demand is unknown; an equal share is
            reserved for each.
    """
    active = [n for n in demands if demands[n] > 0]
    found = dict.fromkeys(demands, 0)
    left = _fill(found, active, total - unknown * equal, demands)
    if all(found[n] == demands[n] for n in active):
        for node in active:
            found[node] += max(0, left) // len(active)
    return {n: max(share, equal) for n, share in found.items()}


def _fill(
    found: dict[str, int],
    nodes: list[str],
    left: int,
    demands: Mapping[str, int],
) -> int:
    """Raises the smallest shares first, up to each node's demand.

    Nodes of equal demand get equal shares, so a remainder is rounded.

    Returns:
        How much of `left` is not used.
    """
    while True:
        short = [n for n in nodes if found[n] < demands[n]]
        least = min((found[n] for n in short), default=0)
        lowest = [n for n in short if found[n] == least]
        if not lowest or left <= 0 or 2 * left < len(lowest):
            return left
        for node in lowest:
            found[node] += 1
        left -= len(lowest)
