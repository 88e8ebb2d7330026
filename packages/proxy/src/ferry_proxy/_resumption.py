"""Lets members that a fence has paused receive commits again."""

from collections.abc import Iterable

import ferry_decisions as decisions

from ferry_proxy import _change_events
from ferry_proxy import _change_steps
from ferry_proxy import _clocks
from ferry_proxy import _control_commands
from ferry_proxy import _departed_members
from ferry_proxy import _events
from ferry_proxy import _fence_views
from ferry_proxy import _groups
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _pools


class PausedAgainError(Exception):
    """A member is paused by another fence than the one that is undone."""


def resume(
    group: _groups.Group,
    reports: dict[str, _members.Report],
    token: int,
    guard: _control_commands.Guard,
) -> "decisions.Flow[None]":
    """Resumes members that are still paused for the term that they reported.

    Args:
        group: The group.
        reports: The reports of the paused members, by id.
        token: The fencing token of the claim, for the log.
        guard: Raises an error once this node may send no more commands.
    """
    futs = {
        name: decisions.start(
            resume_member(group, pool, reports[name].paused_term, guard)
        )
        for name, pool in group.pools.items()
        if name in reports
    }
    yield decisions.settle_all(list(futs.values()), lambda _: False)
    event = _change_events.MembersResumed(
        group.service.name, token, sorted(futs), _fence_views.failures(futs)
    )
    _events.emit(event)


def resume_departed(
    clock: _clocks.Clock,
    group: _groups.Group,
    outcomes: Iterable[_departed_members.Outcome],
    token: int,
    guard: _control_commands.Guard,
) -> "decisions.Flow[None]":
    """Resumes paused members that are no longer listed.

    Args:
        clock: The clock.
        group: The group.
        outcomes: Members that are not listed, the paused ones among them.
        token: The fencing token of the claim, for the log.
        guard: Raises an error once this node may send no more commands.
    """
    paused = {o.departure: o.report for o in outcomes if o.report}
    terms = {d.member.id: r.paused_term for d, r in paused.items()}
    resumed = yield from _departed_members.reach_all(
        clock,
        group,
        list(paused),
        lambda p: resume_member(group, p, terms[p.member.id], guard),
    )
    for name, outcome in resumed.items():
        _change_steps.log_step(
            group, "resumed", token, name, outcome.describe()
        )


def resume_member(
    group: _groups.Group,
    pool: _pools.Pool,
    term: int,
    guard: _control_commands.Guard,
) -> "decisions.Flow[_members.Report]":
    """Resumes a member that is still paused for `term`.

    Args:
        group: The member's group.
        pool: The pool of links to it.
        term: The term that it was paused for.
        guard: Raises an error once this node may send no more commands.

    Raises:
        PausedAgainError: It is paused for another term.
        decisions.RequestFailedError: It did not answer.
    """
    report = yield from group.ask(pool, _links.Status())
    if report.paused_term == term:
        return (yield from group.ask(pool, _links.Resume(), guard))
    if report.paused_term:
        raise PausedAgainError(f"for term {report.paused_term}")
    return report
