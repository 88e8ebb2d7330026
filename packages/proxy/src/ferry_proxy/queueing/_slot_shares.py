"""Shares of a member's slots by the demand of the nodes that use it.

Demand is uneven between serving nodes: it comes in waves, a team's statements
all run at one node, and the nodes of a lost data centre leave theirs to
others. With equal shares, a busy node queues statements while slots are idle.
All functions are pure, so that nodes that know the same demands arrive at the
same shares.
"""

from collections.abc import Mapping
import math

MIN_SHARE = 1


def shares(
    total: int, demands: Mapping[str, int], unknown: int = 0
) -> dict[str, int]:
    """Returns how many statements each node may have in progress at a member.

    The shares are max-min fair by demand and rounded up. While more than
    `total` is demanded, the shares of nodes with demand add up to at most the
    larger of `total` and their number, plus less than their number for the
    rounding. A node without demand gets `MIN_SHARE` in addition to that, so
    that it can start a statement before the others know of it. While less is
    demanded, each node gets at least an equal share.

    Args:
        total: The number of statements in progress over all nodes.
        demands: The number of statements in progress and waiting by node.
        unknown: The number of nodes whose demand is unknown; an equal share is
            reserved for each.
    """
    reserved = unknown * total // max(1, unknown + len(demands))
    active = [n for n in demands if demands[n] > 0]
    found = dict.fromkeys(demands, MIN_SHARE)
    left = max(0, total - reserved - len(active))
    _fill(found, active, left, demands)
    if sum(demands.values()) <= total - reserved:
        equal = math.ceil(total / max(1, unknown + len(demands)))
        found = {n: max(s, equal) for n, s in found.items()}
    return found


def _fill(
    found: dict[str, int],
    nodes: list[str],
    left: int,
    demands: Mapping[str, int],
) -> None:
    """Raises the smallest shares first, up to each node's demand.

    A remainder is rounded up: with 1 and 2 statements in progress, nodes of
    equal demand would differ twofold.
    """
    while left > 0:
        short = [n for n in nodes if found[n] < demands[n]]
        if not short:
            break
        least = min(found[n] for n in short)
        lowest = [n for n in short if found[n] == least]
        for node in lowest:
            found[node] += 1
        left -= len(lowest)
