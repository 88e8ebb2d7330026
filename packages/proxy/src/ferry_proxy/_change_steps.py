"""Steps of a change of a group's primary, and how one is given up."""

from ferry_proxy import _change_events
from ferry_proxy import _events
from ferry_proxy import _groups


class ChangeAbandonedError(Exception):
    """A change of primary was given up; another attempt may follow."""


class LeaseHeldError(ChangeAbandonedError):
    """Another node holds the lease.

    Attributes:
        remaining_s: For how much longer, in seconds.
    """

    def __init__(self, holder: str, token: int, remaining_s: float) -> None:
        super().__init__(
            f"{holder} holds the lease for {remaining_s:.3f} s,"
            f" from its order of token {token}"
        )
        self.remaining_s = remaining_s


class VetoedError(ChangeAbandonedError):
    """A peer's opinion shows that only this node lost the primary."""


def log_step(
    group: _groups.Group, step: str, token: int, member: str, detail: str
) -> None:
    """Announces a step of a change of primary, and emits its event.

    Args:
        group: The group.
        step: The step's name.
        token: The fencing token; 0 if there is none.
        member: The member that the step concerns; empty for none.
        detail: Further details.
    """
    for callback in group.on_step:
        callback(step)
    _events.emit(
        _change_events.PromotionStep(
            group.service.name, step, token, member, detail
        )
    )
