"""Changes of primary that are under way according to the store.

A replica that restarts while the others are paused is not paused. It receives
commits that the next primary lacks, and it would prove that the old one leads.
Commits are therefore not confirmed while a change is under way.
"""

import attrs

from ferry_proxy import _members
from ferry_proxy import _orders
from ferry_proxy import _policy
from ferry_proxy import _records


@attrs.frozen(slots=True)
class ClaimedChange:
    """A change that a node has claimed and that may still be carried out.

    Attributes:
        expires_at: Until when it may be, in boot time.
        ordered: The member that was ordered to lead; empty for none.
    """

    expires_at: float
    ordered: str = ""

    def is_under_way(self, leader: _members.Leader | None, now: float) -> bool:
        """Whether another member may be promoted.

        Args:
            leader: The primary as far as known.
            now: The current boot time, in seconds.
        """
        leads = leader is not None and leader.member == self.ordered
        return now < self.expires_at and not leads


NONE = ClaimedChange(float("-inf"))


def claimed_change(
    held: _records.HeldClaim | None,
    recorded: _records.RecordedOrder | None,
    policy: _policy.Policy,
) -> ClaimedChange:
    """Returns the change that a group's claim and its order stand for.

    Args:
        held: The newest claim; None if there is none.
        recorded: The newest order that may have been sent.
        policy: The tunable limits and intervals.
    """
    expires_at = float("-inf")
    if held is not None and not held.claim.done:
        expires_at = held.seen_at + policy.claim_takeover_s
    if recorded is None:
        return ClaimedChange(expires_at)
    order_end = recorded.seen_at + _orders.MAX_ORDER_AGE_S
    return ClaimedChange(max(expires_at, order_end), recorded.order.member)
