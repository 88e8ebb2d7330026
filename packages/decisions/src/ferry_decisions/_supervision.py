"""Flows that run on their own, without a caller that reads their outcome."""

import typing

from ferry_decisions import _flows
from ferry_decisions import _logs


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
