"""Graceful shutdown of a node: callers leave before its process ends.

Callers are let go between two operations, each at a moment of its own, once the
load balancer sends no new ones. Later operations are refused, and statements
that run to the end are answered with what is known of them.
"""

from collections.abc import Callable
from collections.abc import Collection
import typing

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _events
from ferry_proxy import _operation_gate
from ferry_proxy import _serving
from ferry_proxy import _sessions

POLL_INTERVAL_S = 0.05

# Shares of the grace period. Statements that begin in its first half have the
# second half to end; callers leave before that, so that few are refused.
LEAVING_SHARE = 0.45
WORKING_SHARE = 0.5

# How long before the platform would kill the process the statements that still
# run are answered. Callers that read slowly have this time for their answers.
INTERRUPTION_MARGIN_S = 0.6

# How long before that moment the process ends by itself.
EXIT_MARGIN_S = 0.15


class FrontControl(typing.Protocol):
    """The operations on callers' connections that a shutdown needs."""

    def is_out_of_rotation(self) -> bool:
        """Whether the load balancer has stopped sending new callers."""

    def let_callers_go(self, until: float) -> None:
        """Stops accepting callers, and ends the connections one by one.

        A connection ends with the answer that it waits for, or while it is
        idle.

        Args:
            until: When the last one should end, in the clock's seconds.
        """

    def close_idle(self) -> None:
        """Ends the connections that are due and have no request."""

    def is_empty(self) -> bool:
        """Whether all connections have ended."""

    def close(self) -> None:
        """Ends all connections once their answers are sent."""


@attrs.frozen(slots=True, repr=False, eq=False)
class CallersLeaving:
    """The node begins to end its callers' connections.

    Attributes:
        sessions: How many sessions are open.
        waited_s: How long the load balancer went on sending callers.
        window_s: The time over which the connections end.
    """

    sessions: int
    waited_s: float
    window_s: float


@attrs.frozen(slots=True)
class Schedule:
    """The moments of a planned stop, in the clock's seconds.

    Attributes:
        leave_until: By when callers leave.
        refuse_at: From when on no operation may begin, and idle transactions
            are ended.
        interrupt_at: When running statements are answered.
        exit_at: When the process ends at the latest.
    """

    leave_until: float
    refuse_at: float
    interrupt_at: float
    exit_at: float

    @classmethod
    def of(cls, begun_at: float, grace_s: float) -> "Schedule":
        """Returns the schedule of a stop.

        Args:
            begun_at: When it began.
            grace_s: The time after which the platform kills the process.
        """
        return cls(
            begun_at + LEAVING_SHARE * grace_s,
            begun_at + WORKING_SHARE * grace_s,
            begun_at + grace_s - INTERRUPTION_MARGIN_S,
            begun_at + grace_s - EXIT_MARGIN_S,
        )


@attrs.frozen(slots=True)
class RemainingWork:
    """The work of a node that has to end before it stops.

    Attributes:
        sessions: The live collection of its callers' sessions.
        serving: The statements that it runs for other nodes.
        gate: Lets operations begin.
        is_primary_changing: Returns whether a change of primary is in progress.
    """

    sessions: Collection[_sessions.Session]
    serving: _serving.Serving
    gate: _operation_gate.OperationGate
    is_primary_changing: Callable[[], bool]

    @property
    def is_finished(self) -> bool:
        """Whether no work is in progress that other nodes wait for."""
        return self.serving.is_idle and not self.is_primary_changing()

    def refuse_operations(self) -> None:
        """Lets no operation begin, and ends the transactions that are idle."""
        self.gate.close()
        for session in list(self.sessions):
            session.end_transaction(decisions.TRANSACTION_LOST)
        self.serving.end_transactions(decisions.TRANSACTION_LOST)

    def interrupt(self) -> int:
        """Answers all running statements; returns how many there were."""
        self.gate.close()
        count = sum(s.interrupt() for s in list(self.sessions))
        return count + self.serving.interrupt()


def stop(
    clock: _clocks.Clock,
    grace_s: float,
    front: FrontControl,
    work: RemainingWork,
) -> "decisions.Flow[int]":
    """Waits for callers to leave; returns how many statements were cut off.

    Open transactions may continue for half of the grace period.

    Args:
        clock: The clock.
        grace_s: The time after which the process would be killed, in seconds.
        front: The callers' connections.
        work: The work that has to end first.
    """
    begun_at = clock.now()
    schedule = Schedule.of(begun_at, grace_s)
    while not front.is_out_of_rotation() and clock.now() < schedule.refuse_at:
        yield decisions.sleep(clock, POLL_INTERVAL_S)
    now = clock.now()
    _events.emit(
        CallersLeaving(
            len(work.sessions),
            round(now - begun_at, 3),
            round(max(0.0, schedule.leave_until - now), 3),
        )
    )
    front.let_callers_go(schedule.leave_until)
    while clock.now() < schedule.interrupt_at and not (
        front.is_empty() and work.is_finished
    ):
        front.close_idle()
        if clock.now() >= schedule.refuse_at:
            work.refuse_operations()
        yield decisions.sleep(clock, POLL_INTERVAL_S)
    cut = work.interrupt()
    front.close()
    while clock.now() < schedule.exit_at and not front.is_empty():
        yield decisions.sleep(clock, POLL_INTERVAL_S)
    _events.emit(_events.NodeStopped(cut))
    return cut
