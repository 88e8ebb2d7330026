"""Concurrency limits and expected queueing times for statements at a member.

A database can be overloaded: both replicas lag or a burst arrives, and only
the primary is left. A member queues statements in order of arrival. If nodes
sent it all their statements, urgent ones would wait behind the others, and all
would be late. Each node therefore sends a member only its share of the
statements that keep the member busy. The others wait at the node, by priority,
and a statement that would wait too long is rejected at once. All functions are
pure.
"""

import math

# The minimum per node. With two, six nodes have 12 statements in progress for
# three slots, and urgent ones wait behind them in the queue of the member. On a
# day on which a group had one member left for all reads, two scored 0.816 and
# one scored 0.832.
MIN_PARALLEL = 1
# Statements in progress per slot, over all nodes: one runs, and one is in
# transit or next. A statement takes at most twice its execution time.
STATEMENTS_PER_SLOT = 2.0
# With fewer, a slot idles while a statement is in transit; with more, urgent
# statements wait at the member behind others.
BUSY_STATEMENTS_PER_SLOT = 1.25


def parallel_statements(slots: int, nodes: int) -> int:
    """Returns how many statements a node may have in progress at a member.

    Args:
        slots: The number of statements that the member runs concurrently.
        nodes: The number of nodes that send it statements.
    """
    return max(
        MIN_PARALLEL, math.ceil(STATEMENTS_PER_SLOT * slots / max(1, nodes))
    )


def busy_statements(slots: int) -> int:
    """Returns how many statements keep all slots of a member busy."""
    return math.ceil(BUSY_STATEMENTS_PER_SLOT * slots)


def expected_wait_s(ahead: int, parallel: int, latency_s: float) -> float:
    """Returns the expected queueing time at this node, in seconds.

    Args:
        ahead: The number of waiting statements that precede it.
        parallel: The number of statements in progress, all places being taken.
        latency_s: The recent latency of a statement at the member.
    """
    return (ahead + 1) * latency_s / max(1, parallel)
