"""Decisions on leases: who may order the next promotion in a group.

The platform expects promotions of a group to be ordered by one node at a time.
A node that ordered one therefore keeps the right to do so for the lease's time.
Until then only this node claims further changes, and without a delay. Others
would otherwise take turns with it, for example whenever it pauses briefly.
"""

from ferry_proxy import _policy
from ferry_proxy import _records

MS_PER_S = 1000


def remaining_s(
    held: _records.HeldLease | None, now: float, policy: _policy.Policy
) -> float:
    """Returns for how long only its holder may order promotions, in seconds.

    The lease lasts from the arrival of the order. As long as the order's answer
    is not recorded, it may have been under way as long as any call may be.

    Args:
        held: The newest lease; None if there is none.
        now: The current boot time, in seconds.
        policy: The tunable limits and intervals.
    """
    if held is None:
        return 0.0
    answered_ms = held.lease.answered_ms
    under_way_s = (
        policy.claim_takeover_s - policy.claim_valid_s
        if answered_ms is None
        else answered_ms / MS_PER_S
    )
    ends_at = held.seen_at + under_way_s + policy.lease_s
    return max(0.0, ends_at - now)
