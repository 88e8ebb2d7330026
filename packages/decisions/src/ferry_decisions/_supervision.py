"""Flows that run on their own, without a caller that reads their outcome."""

from collections.abc import Callable
import typing

from ferry_decisions import _flows
from ferry_decisions import _logs
from ferry_decisions import _timers

# The delay doubles with each failure in a row.
FIRST_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 1.0

# A flow that ran for longer than this is restarted after the first delay again.
STABLE_RUN_S = 2 * MAX_RESTART_DELAY_S


def start_detached(
    name: str, flow: "_flows.Flow[typing.Any]"
) -> "_flows.Future[None]":
    """Starts a flow whose outcome nobody reads, and logs its error.

    Args:
        name: What the flow does, for the log.
        flow: The flow.

    Returns:
        A future that is done when the flow is, even if it failed.
    """
    fut = _flows.start(flow)
    fut.add_done_callback(lambda done: _log_failure(name, done))
    return _flows.settled(fut)


def _log_failure(name: str, fut: "_flows.Future[typing.Any]") -> None:
    exc = fut.exception()
    if exc is not None:
        _logs.log_failure(exc, "event=flow_failed flow=%s", name)


class Supervisor:
    """Runs a lasting flow, and runs it anew after each error.

    Attributes:
        restarts: How often the flow was run anew.
    """

    def __init__(
        self,
        timers: _timers.TimerService,
        name: str,
        make_flow: "Callable[[], _flows.Flow[None]]",
        on_failure: Callable[[], object],
    ) -> None:
        """Creates a supervisor of a flow that does not run yet.

        Args:
            timers: The timer service.
            name: What the flow does, for the log.
            make_flow: Returns the flow. It is not run anew once it returns.
            on_failure: Called after each error; brings what the flow works on
                into a state that a new run can begin with.
        """
        self._timers = timers
        self._name = name
        self._make_flow = make_flow
        self._on_failure = on_failure
        self._delay_s = FIRST_RESTART_DELAY_S
        self._started_at = 0.0
        self.restarts = 0

    def start(self) -> None:
        """Runs the flow."""
        self._started_at = self._timers.now()
        _flows.start(self._make_flow()).add_done_callback(self._on_done)

    def _on_done(self, fut: "_flows.Future[None]") -> None:
        _log_failure(self._name, fut)
        if fut.exception() is None:
            return
        if self._timers.now() - self._started_at > STABLE_RUN_S:
            self._delay_s = FIRST_RESTART_DELAY_S
        delay_s = self._delay_s
        self._delay_s = min(MAX_RESTART_DELAY_S, 2 * delay_s)
        self._timers.after(delay_s, self._restart)

    def _restart(self) -> None:
        self.restarts += 1
        try:
            self._on_failure()
        finally:
            self.start()
