"""Graceful shutdown of a node: callers leave before its process ends."""

from collections.abc import Callable
from collections.abc import Collection
import typing

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _events
from ferry_proxy import _serving
from ferry_proxy import _sessions

POLL_INTERVAL_S = 0.05

# How long before the platform would kill the process it has to end by itself.
END_MARGIN_S = 0.6


class FrontControl(typing.Protocol):
    """The operations on callers' connections that a shutdown needs."""

    def is_out_of_rotation(self) -> bool:
        """Whether the load balancer has stopped sending new callers."""

    def close_idle(self) -> None:
        """Stops accepting callers, and disconnects those without a request."""

    def is_empty(self) -> bool:
        """Whether all callers have disconnected."""


@attrs.frozen(slots=True)
class RemainingWork:
    """The work of a node that has to end before it stops.

    Attributes:
        sessions: The live collection of its callers' sessions.
        serving: The statements that it runs for other nodes.
        is_primary_changing: Returns whether a change of primary is in progress.
    """

    sessions: Collection[_sessions.Session]
    serving: _serving.Serving
    is_primary_changing: Callable[[], bool]

    @property
    def is_finished(self) -> bool:
        """Whether no work is in progress that other nodes wait for."""
        return self.serving.is_idle and not self.is_primary_changing()

    def end_transactions(self) -> None:
        """Ends the transactions that are idle."""
        for session in list(self.sessions):
            session.end_transaction(decisions.TRANSACTION_LOST)
        self.serving.end_transactions(decisions.TRANSACTION_LOST)


def stop(
    clock: _clocks.Clock,
    grace_s: float,
    front: FrontControl,
    work: RemainingWork,
) -> "decisions.Flow[int]":
    """Waits for callers to leave, and returns how many sessions were cut off.

    Open transactions may continue for half of the grace period.

    Args:
        clock: The clock.
        grace_s: The time after which the process would be killed, in seconds.
        front: The callers' connections.
        work: The work that has to end first.
    """
    begun_at = clock.now()
    half_s = grace_s / 2
    end_at = begun_at + grace_s - END_MARGIN_S
    while not front.is_out_of_rotation() and clock.now() - begun_at < half_s:
        yield decisions.sleep(clock, POLL_INTERVAL_S)
    while clock.now() < end_at and not (front.is_empty() and work.is_finished):
        front.close_idle()
        if clock.now() - begun_at >= half_s:
            work.end_transactions()
        yield decisions.sleep(clock, POLL_INTERVAL_S)
    cut = len(work.sessions)
    _events.emit(_events.NodeStopped(cut))
    return cut
