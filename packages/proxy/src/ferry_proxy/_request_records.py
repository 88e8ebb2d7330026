"""Metrics and the log line of a request whose outcome is known."""

from ferry_proxy import _events
from ferry_proxy import _links
from ferry_proxy import _metrics
from ferry_proxy import _requests


def record(
    metrics: _metrics.Metrics,
    now: float,
    session: int,
    request: _requests.Request,
    answer: _links.Reply,
) -> None:
    """Records the outcome of a request at its entry node.

    Args:
        metrics: The node's metrics.
        now: The time, in the clock's seconds.
        session: The number of the caller's session.
        request: The request.
        answer: What its caller is told.
    """
    outcome = answer.reason.name if answer.reason else "ran"
    _count(metrics, now, request, answer, outcome)
    progress = request.progress
    offered = progress.offered_at or now
    _events.emit(
        _events.RequestDone(
            request=request.statement.request_id,
            session=session,
            team=request.caller.team,
            route=request.route.name,
            kind=request.statement.kind.value,
            outcome=outcome,
            detail=answer.detail,
            via=progress.via,
            member=progress.member,
            elapsed_s=round(now - request.arrived, 4),
            waited_s=round(offered - request.arrived, 4),
            attempts=progress.attempts,
            retry_after_s=round(answer.retry_after_s or 0.0, 4),
        )
    )


def _count(
    metrics: _metrics.Metrics,
    now: float,
    request: _requests.Request,
    answer: _links.Reply,
    outcome: str,
) -> None:
    if answer.not_run:
        metrics.record_refusal(outcome, request.route.priority)
    metrics.record_request(
        request.route.name,
        request.statement.kind,
        outcome,
        now - request.arrived,
        request.progress.at_replica and not answer.reason,
    )
    if request.caller.team:
        metrics.record_team_statement(request.caller.team, outcome)
