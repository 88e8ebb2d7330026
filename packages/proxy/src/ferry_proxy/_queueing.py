"""How many statements a node runs at a member, and who waits or is refused.

Answers the load of a database whose members cannot do all that is asked of
them: both replicas lag, or a burst comes, and the primary alone is left. A
member queues what it cannot run at once, first come first served. If nodes
sent all they have, the urgent would wait behind the rest, and all would be
late. So each node sends a member only its part of what keeps the member busy;
the rest waits here by priority, and who would wait too long hears so at once.
Pure functions.
"""

import math

MIN_PARALLEL = 1  # With two, six nodes have 12 statements under way for three
# slots, and what is urgent waits behind them in the member's own queue: worth
# 0.816 of a day on which a group had one member left for all reads, 0.832 so.
STATEMENTS_PER_SLOT = (
    2.0  # Statements under way for each slot, over all nodes: one
)
# runs, one is on its way or next. Twice the work's time, at most.


def parallel_statements(slots: int, nodes: int) -> int:
    """Returns how many statements a node may have under way at a member.

    Args:
        slots: Statements that the member runs at the same time.
        nodes: Nodes that send it statements.
    """
    return max(
        MIN_PARALLEL, math.ceil(STATEMENTS_PER_SLOT * slots / max(1, nodes))
    )


def expected_wait_s(ahead: int, parallel: int, latency_s: float) -> float:
    """Returns how long a statement is likely to wait here, in seconds.

    Args:
        ahead: Statements that wait and go before it.
        parallel: How many are under way at a time; all are busy.
        latency_s: How long one takes at the member, lately.
    """
    return (ahead + 1) * latency_s / max(1, parallel)
