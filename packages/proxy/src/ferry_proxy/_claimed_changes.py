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
        claimed_until: Until when the holder of the claim may act, in boot time.
        claimed_for: The member that the holder ordered to lead; empty for none.
        ordered_until: Until when an order may be executed, in boot time.
        ordered: The member that it names; empty for none.
    """

    claimed_until: float
    claimed_for: str = ""
    ordered_until: float = float("-inf")
    ordered: str = ""

    def is_under_way(self, leader: _members.Leader | None, now: float) -> bool:
        """Whether another member may be promoted.

        Args:
            leader: The primary as far as known.
            now: The current boot time, in seconds.
        """
        leads = None if leader is None else leader.member
        is_claimed = now < self.claimed_until and leads != self.claimed_for
        is_ordered = now < self.ordered_until and leads != self.ordered
        return is_claimed or is_ordered


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
    claimed_until, claimed_for = float("-inf"), ""
    if held is not None and not held.claim.done:
        claimed_until = held.seen_at + policy.claim_takeover_s
        claimed_for = held.claim.order.member if held.claim.order else ""
    if recorded is None:
        return ClaimedChange(claimed_until, claimed_for)
    ordered_until = recorded.seen_at + _orders.MAX_ORDER_AGE_S
    member = recorded.order.member
    return ClaimedChange(claimed_until, claimed_for, ordered_until, member)
