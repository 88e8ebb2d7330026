"""Decisions on promotion orders that may be executed late.

The platform may execute an order whose answer was lost seconds later. If
another member has been promoted meanwhile, the late order makes the first one
the primary, without the commits acknowledged since. An order is therefore
recorded in the claim before it is sent, and later changes repeat it or wait.
"""

from collections.abc import Collection

from ferry_proxy import _fencing
from ferry_proxy import _members
from ferry_proxy import _records

# An order is taken into account for this long. A promoter waits no longer than
# this for a member that it has ordered to lead.
MAX_ORDER_AGE_S = 16.0


def has_taken_effect(
    order: _records.PromotionOrder, leader: str, term: int
) -> bool:
    """Whether the ordered member is known to have led since.

    Of several orders, only the first may have had this effect. The others may
    be executed later, and are not known to be over.

    Args:
        order: The order.
        leader: The member that led last.
        term: The newest known term.
    """
    has_led = order.member == leader and term > order.term
    return has_led and order.attempts == 1


def pending(
    recorded: _records.RecordedOrder | None, now: float, leader: str, term: int
) -> _records.PromotionOrder | None:
    """Returns the order that may still be executed, or None.

    Args:
        recorded: The newest recorded order; None if there is none.
        now: The current boot time, in seconds.
        leader: The member that led last.
        term: The newest known term.
    """
    if recorded is None or now - recorded.seen_at >= MAX_ORDER_AGE_S:
        return None
    order = recorded.order
    return None if has_taken_effect(order, leader, term) else order


def prevents_change(
    order: _records.PromotionOrder | None, leader: str, listed: Collection[str]
) -> bool:
    """Whether a change can promote no member, so that it must not begin.

    Args:
        order: An earlier order that may still be executed.
        leader: The member that is to be replaced; empty if unknown.
        listed: The ids of the listed members.
    """
    if order is None:
        return False
    return order.member == leader or order.member not in listed


def next_order(
    member: str, token: int, term: int, before: _records.PromotionOrder | None
) -> _records.PromotionOrder:
    """Returns the order to record.

    Args:
        member: The member to promote.
        token: The fencing token.
        term: The newest known term.
        before: An earlier order that may still be executed.
    """
    is_repeat = before is not None and before.member == member
    attempts = before.attempts + 1 if before and is_repeat else 1
    return _records.PromotionOrder(member, token, term, attempts)


def choose_successor(
    reports: dict[str, _members.Report],
    members: dict[str, _members.Member],
    order: _records.PromotionOrder | None,
) -> str | None:
    """Returns the member to promote, or None if none may be at present.

    Args:
        reports: The reports of the paused members, by id; at least one.
        members: All members, by id.
        order: An earlier order that may still be executed. No other member may
            be promoted, and this one only if no paused member holds more.
    """
    best = _fencing.choose_successor(reports, members)
    if order is None:
        return best
    ordered = reports.get(order.member)
    if ordered is None or ordered.received < reports[best].received:
        return None
    return order.member
