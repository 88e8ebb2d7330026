"""A planned stop of a node: callers leave before its process ends."""

from collections.abc import Callable
from collections.abc import Collection
import typing

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _events
from ferry_proxy import _serving
from ferry_proxy import _sessions

STEP_S = 0.05
END_MARGIN_S = 0.6  # A process is gone this long before it would be killed.


class FrontControl(typing.Protocol):
    """What a stop needs of the callers' side."""

    def is_out_of_rotation(self) -> bool:
        """Whether the balancer sends no new callers any more."""

    def close_idle(self) -> None:
        """Takes no more callers, and lets go those without a request."""

    def is_empty(self) -> bool:
        """Whether no caller is left."""


@attrs.frozen(slots=True)
class RemainingWork:
    """What a node still has to do.

    Attributes:
        sessions: Its callers' sessions, as they come and go.
        serving: Other nodes' statements.
        is_primary_changing: Whether a change of primary is under way.
    """

    sessions: Collection[_sessions.Session]
    serving: _serving.Serving
    is_primary_changing: Callable[[], bool]

    @property
    def is_finished(self) -> bool:
        """Whether nothing is under way that others wait for."""
        return self.serving.is_idle and not self.is_primary_changing()

    def end_transactions(self) -> None:
        """Ends the transactions that rest."""
        for session in list(self.sessions):
            session.end_transaction(decisions.TRANSACTION_LOST)
        self.serving.end_transactions(decisions.TRANSACTION_LOST)


def stop(
    clock: _clocks.Clock,
    grace_s: float,
    front: FrontControl,
    work: RemainingWork,
) -> "decisions.Flow[int]":
    """Waits until callers have left, then returns how many had not.

    Open transactions have half of the time to end.

    Args:
        clock: The clock.
        grace_s: After how long the process would be killed, in seconds.
        front: The callers' side.
        work: What the node still has to do.
    """
    begun = clock.now()
    half = grace_s / 2
    end = begun + grace_s - END_MARGIN_S
    while not front.is_out_of_rotation() and clock.now() - begun < half:
        yield decisions.sleep(clock, STEP_S)
    while clock.now() < end and not (front.is_empty() and work.is_finished):
        front.close_idle()
        if clock.now() - begun >= half:
            work.end_transactions()
        yield decisions.sleep(clock, STEP_S)
    cut = len(work.sessions)
    _events.emit(_events.NodeStopped(cut))
    return cut
