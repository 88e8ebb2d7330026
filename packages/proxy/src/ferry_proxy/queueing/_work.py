"""What a queue needs to know of a statement."""

import attrs
import ferry_decisions as decisions

# The kind under which whole transactions are recorded.
TRANSACTION_KIND = "transaction"


@attrs.frozen(slots=True, kw_only=True)
class Work:
    """A statement to run at a member.

    Attributes:
        key: Its route and kind.
        priority: The priority of its route; 0 is the most urgent.
        target_s: The route's target latency, in seconds.
        target_at: When the caller should have the answer, in the clock's
            seconds.
        deadline: When the caller stops waiting, in the clock's seconds.
        queued_since: When it was first queued, in the clock's seconds; None if
            it never was.
    """

    key: decisions.WorkKey
    priority: int
    target_s: float
    target_at: float
    deadline: float
    queued_since: float | None = None

    @property
    def transaction_key(self) -> decisions.WorkKey:
        """What whole transactions of its route are recorded by."""
        return decisions.WorkKey(self.key.route, TRANSACTION_KIND)


def unknown(priority: int, until: float) -> Work:
    """Returns work of which only the priority and the time limit are known."""
    return Work(
        key=decisions.WorkKey("", ""),
        priority=priority,
        target_s=float("inf"),
        target_at=until,
        deadline=until,
    )
