"""Fencing of the members of a group before another one is promoted.

The old primary is ordered to step down. Enough replicas are paused that no
commit of its term can be acknowledged any more, even if it does not obey. The
paused replicas must also hold every commit acknowledged before, with replicas
that have left since among them: see `_departures`.
"""

from collections.abc import Callable
from collections.abc import Iterable

import attrs
import ferry_decisions as decisions

from ferry_proxy import _acknowledgements
from ferry_proxy import _catalogue
from ferry_proxy import _change_events
from ferry_proxy import _change_steps
from ferry_proxy import _clocks
from ferry_proxy import _control_commands
from ferry_proxy import _departed_members
from ferry_proxy import _departures
from ferry_proxy import _events
from ferry_proxy import _fence_views
from ferry_proxy import _fencing
from ferry_proxy import _groups
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _newcomers
from ferry_proxy import _pools
from ferry_proxy import _resumption
from ferry_proxy import _store

# A primary that was lost for longer is replaced although not all
# acknowledgements are known. A crashed process is back sooner. Any member that
# reported a longer log is waited for as long.
MAX_LOST_PRIMARY_S = 15.0


@attrs.frozen(slots=True)
class Change:
    """The change of primary that a fence is raised for.

    Attributes:
        cause: Why the primary is replaced.
        token: The fencing token of the claim.
        acks: The acknowledgements known to the serving nodes.
    """

    cause: _fencing.Cause
    token: int
    acks: _acknowledgements.Acknowledgements


class Fence:
    """Pauses the members of one group, and resumes them.

    Attributes:
        guard: Raises an error once this node may no longer send commands that
            change a member's state: its claim is too old by then, and another
            node may have raised a fence of its own.
        may_resume: Returns whether paused members may be resumed: no earlier
            order to promote one of them may still be executed.
    """

    def __init__(
        self,
        clock: _clocks.Clock,
        store: _store.Store,
        catalogue: _catalogue.Catalogue,
        group: _groups.Group,
    ) -> None:
        self._clock = clock
        self._catalogue = catalogue
        self._group = group
        self._views = _fence_views.FenceViews(clock, store, catalogue, group)
        self._fence_started_at = clock.now()
        self._token = 0
        self._newcomers = _newcomers.Newcomers(group)
        self.guard: _control_commands.Guard = _control_commands.no_guard
        self.may_resume: Callable[[], bool] = lambda: True

    def require_successor(self, change: Change) -> "decisions.Flow[None]":
        """Checks, without a change to any member, that one may be promoted.

        Args:
            change: The change that a fence would be raised for.

        Raises:
            ChangeAbandonedError: None may at present.
        """
        view = yield from self._survey(change)
        reports = self._views.last_reports(view.pools)
        refusal = self._missing(change, view, reports) if reports else ""
        if refusal:
            raise _change_steps.ChangeAbandonedError(refusal)

    def raise_fence(
        self, change: Change
    ) -> "decisions.Flow[dict[str, _members.Report]]":
        """Demotes the old primary and pauses its replicas.

        Args:
            change: The change that the fence is raised for.

        Returns:
            The reports of the paused members, by id.

        Raises:
            ChangeAbandonedError: Too few replicas could be paused, or they may
                lack acknowledged commits.
        """
        self._token = change.token
        yield from self._views.refresh_members()
        self._fence_started_at = self._clock.now()
        view = yield from self._survey(change)
        term = self._views.next_term(view)
        if change.cause is _fencing.Cause.LEAVING:
            view = yield from self._step_down(view, term)
        reports = yield from self._pause_members(change, view, term)
        if change.cause is _fencing.Cause.STALLED:
            yield from self._demote(view.old_primary, term)
        elif change.cause is not _fencing.Cause.LEAVING:
            demoted = self._demote(view.old_primary, term)
            decisions.start_detached("demote", demoted)
        self._newcomers.begin(view.old_primary, term, reports)
        return reports

    def _pause_members(
        self, change: Change, view: _fence_views.View, term: int
    ) -> "decisions.Flow[dict[str, _members.Report]]":
        """Pauses all members that may receive commits; returns their reports.

        Raises:
            ChangeAbandonedError: None of them may be promoted. They are
                resumed.
        """
        reports, failed = yield from self._pause_listed(view, term)
        departed = yield from self._pause_departed(view, term)
        view = attrs.evolve(view, departed=departed)
        self._log_fence(change, view, reports, failed)
        refusal = self._refusal(change, view, reports)
        if refusal:
            yield from self.resume(reports, departed.values())
            raise _change_steps.ChangeAbandonedError(refusal)
        return reports

    def pause_newcomers(self) -> None:
        """Begins to pause members that were listed after the fence."""
        self._newcomers.pause(self.guard)

    def _survey(self, change: Change) -> "decisions.Flow[_fence_views.View]":
        view = yield from self._views.survey(change.acks.is_complete)
        if self._needs_level_replica(change.cause, view):
            yield from self._views.require_caught_up(view)
        return view

    def _needs_level_replica(
        self, cause: _fencing.Cause, view: _fence_views.View
    ) -> bool:
        """Whether the primary goes on leading until a replica holds it all.

        On a stall no replica does, but all commits acknowledged are on
        replicas unless some have left.
        """
        if not self._group.service.sync_replicas:
            return False
        if cause is _fencing.Cause.STALLED:
            reports = self._views.last_reports(view.pools)
            return bool(
                self._views.uncovered_departures(view.old_primary, reports)
            )
        return cause is _fencing.Cause.LEAVING

    # -- the fence -------------------------------------------------------

    def _step_down(
        self, view: _fence_views.View, term: int
    ) -> "decisions.Flow[_fence_views.View]":
        """Demotes a primary that answers; it then counts as a replica.

        It leads again if it alone holds a commit of the last moment.
        """
        yield from self._demote(view.old_primary, term)
        pool = self._group.pools.get(view.old_primary)
        report = self._group.last_report(view.old_primary)
        if pool is None or report is None:
            return view
        if report.role is not _members.Role.REPLICA:
            return view
        return attrs.evolve(view, pools={**view.pools, view.old_primary: pool})

    def _demote(self, old_primary: str, term: int) -> "decisions.Flow[None]":
        """Orders the old primary to step down.

        A failure is only logged, as the paused replicas fence it anyway.
        """
        pool = self._group.pools.get(old_primary)
        if pool is None:
            return
        asked = decisions.start(self._command(pool, _links.StepDown(term)))
        yield decisions.settled(asked)
        exc = asked.exception()
        if exc is not None:
            _change_steps.log_step(
                self._group, "not demoted", self._token, old_primary, repr(exc)
            )

    def _pause_listed(
        self, view: _fence_views.View, term: int
    ) -> "decisions.Flow[tuple[dict[str, _members.Report], dict[str, str]]]":
        """Pauses the listed members.

        Returns:
            The reports of those that are paused, and why others are not.
        """
        futs = {
            name: decisions.start(self._pause(pool, term))
            for name, pool in view.pools.items()
        }
        yield decisions.settle_all(list(futs.values()), lambda _: False)
        reports = {
            name: fut.result()
            for name, fut in futs.items()
            if fut.exception() is None
        }
        return reports, _fence_views.failures(futs)

    def _pause(
        self, pool: _pools.Pool, term: int
    ) -> "decisions.Flow[_members.Report]":
        """Pauses a member, and returns its report.

        Raises:
            decisions.RequestFailedError: It is not paused.
        """
        try:
            report = yield from self._command(pool, _links.Pause(term))
        except decisions.RequestFailedError:
            report = yield from self._command(pool, _links.Pause(term))
        if report.role is _members.Role.PRIMARY and report.term < term:
            # This is the primary of an earlier term, cut off until now.
            yield from self._command(pool, _links.StepDown(term))
            report = yield from self._command(pool, _links.Pause(term))
        is_replica = report.role is _members.Role.REPLICA
        if not is_replica or report.paused_term < term:
            detail = f"{report.role.value}, paused for {report.paused_term}"
            raise decisions.RequestFailedError(decisions.NOT_PRIMARY, detail)
        return report

    def _pause_departed(
        self, view: _fence_views.View, term: int
    ) -> "decisions.Flow[dict[str, _departed_members.Outcome]]":
        """Pauses the departed members that answered; returns all outcomes."""
        running = [
            o.departure for o in view.departed.values() if not o.has_ended
        ]
        paused = yield from _departed_members.reach_all(
            self._clock,
            self._group,
            running,
            lambda pool: self._pause(pool, term),
        )
        return {**view.departed, **paused}

    def _command(
        self, pool: _pools.Pool, command: _links.Command
    ) -> "decisions.Flow[_members.Report]":
        return self._group.ask(pool, command, self.guard)

    # -- the decision ----------------------------------------------------

    def _refusal(
        self,
        change: Change,
        view: _fence_views.View,
        reports: dict[str, _members.Report],
    ) -> str:
        """Returns why no paused member may be promoted; empty if one may."""
        needed = view.needed
        detail = f"{len(reports)} of {len(view.pools)} paused, {needed} needed"
        _change_steps.log_step(
            self._group, "fenced", change.token, view.old_primary, detail
        )
        if len(reports) < needed or not reports:
            return detail
        received = max(r.received for r in reports.values())
        for name, outcome in view.departed.items():
            if outcome.report and outcome.report.received > received:
                return f"{name} is not listed and holds more"
        return self._missing(change, view, reports)

    def _missing(
        self,
        change: Change,
        view: _fence_views.View,
        reports: dict[str, _members.Report],
    ) -> str:
        """Returns which commits a successor may lack; empty if it may lead."""
        received = max(r.received for r in reports.values())
        missing = _departures.missing_commits(
            received,
            self._views.uncovered_departures(view.old_primary, reports),
            change.acks,
            self._group.floors.covering(change.acks.since),
        )
        if missing is None or not view.sync_replicas:
            return ""
        ahead = self._views.ahead(received, MAX_LOST_PRIMARY_S)
        is_overdue = self._lost_for_s() > MAX_LOST_PRIMARY_S and not ahead
        if is_overdue and not missing.is_known:
            _change_steps.log_step(
                self._group, "unproved", change.token, "", missing.detail
            )
            return ""
        detail = f"commits may be missing: {missing.detail}"
        return f"{detail}; reported more, s ago: {ahead}" if ahead else detail

    def _lost_for_s(self) -> float:
        """Returns for how long the primary has not answered, in seconds."""
        pool = self._group.leader_pool
        if pool is not None:
            return pool.contact.silence_s
        return self._clock.now() - self._group.leaderless_since

    def _log_fence(
        self,
        change: Change,
        view: _fence_views.View,
        reports: dict[str, _members.Report],
        failed: dict[str, str],
    ) -> None:
        """Logs what the decision to promote is based on."""
        group = self._group
        last = group.last_report(view.old_primary)
        revision = self._catalogue.revision
        event = _change_events.MembersFenced(
            service=group.service.name,
            token=change.token,
            cause=change.cause.value,
            old_primary=view.old_primary,
            old_end=str(last.received) if last else "",
            acknowledged=str(change.acks.at_least),
            list_revision=f"{revision.era}:{revision.number}",
            listed=[
                f"{n} leaving" if p.member.draining else n
                for n, p in group.pools.items()
            ],
            paused={n: str(r.received) for n, r in reports.items()},
            failed=failed,
            departed={n: o.describe() for n, o in view.departed.items()},
            needed=view.needed,
        )
        _events.emit(event)

    def is_broken(self, reports: dict[str, _members.Report]) -> bool:
        """Whether a paused member has restarted since.

        Such a member is no longer paused, so the old primary may use it to
        acknowledge commits.

        Args:
            reports: The reports of the paused members, by id.
        """
        restarted = self._group.membership.restarted_at
        return any(
            restarted.get(name, float("-inf")) >= self._fence_started_at
            for name in reports
        )

    # -- giving up -------------------------------------------------------

    def resume(
        self,
        reports: dict[str, _members.Report],
        departed: Iterable[_departed_members.Outcome] = (),
    ) -> "decisions.Flow[None]":
        """Lets paused members receive commits again.

        Members that cannot be reached stay paused, as do those that a later
        fence has paused, and all once this node may no longer act.

        Args:
            reports: The reports of the paused members, by id.
            departed: Members that are not listed, the paused ones among them.
        """
        if not self.may_resume():
            detail = "an earlier order may still be executed"
            _change_steps.log_step(
                self._group, "kept paused", self._token, "", detail
            )
            return
        yield from _resumption.resume(
            self._group, reports, self._token, self.guard
        )
        yield from _resumption.resume_departed(
            self._clock, self._group, departed, self._token, self.guard
        )
