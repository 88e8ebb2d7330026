"""Fencing of the members of a group before another one is promoted.

The old primary is ordered to step down. Enough replicas are paused that no
commit of its term can be acknowledged any more, even if it does not obey.
"""

from collections.abc import Callable

import attrs
import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _change_events
from ferry_proxy import _clocks
from ferry_proxy import _control_commands
from ferry_proxy import _events
from ferry_proxy import _fencing
from ferry_proxy import _groups
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _pools
from ferry_proxy import _resumption
from ferry_proxy import _store


class ChangeAbandonedError(Exception):
    """A change of primary was given up; another attempt may follow."""


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


@attrs.frozen(slots=True)
class RemovedOutcome:
    """What became of a member that is listed no more.

    Attributes:
        member: Its last entry.
        age_s: Seconds since it was removed from the list.
        report: Its report, if it was paused.
        is_refused: Whether its address refuses connections or is now another
            member's.
        failure: Why it was not paused.
    """

    member: _members.Member
    age_s: float
    report: _members.Report | None
    is_refused: bool
    failure: str

    @property
    def is_unsure(self) -> bool:
        """Whether it may still receive commits."""
        has_departed = self.is_refused or self.member.draining
        return self.report is None and not has_departed

    def describe(self) -> str:
        """Returns a description for the log."""
        if self.report is not None:
            state = f"paused at {self.report.received}"
        elif self.is_refused:
            state = "ended"
        else:
            state = f"unreachable: {self.failure}"
        leaving = "leaving, " if self.member.draining else ""
        return f"{leaving}{state}, removed {self.age_s:.1f} s ago"


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
        self._store = store
        self._catalogue = catalogue
        self._group = group
        self._fence_started_at = clock.now()
        self._token = 0
        self.guard: _control_commands.Guard = _control_commands.no_guard
        self.may_resume: Callable[[], bool] = lambda: True

    def raise_fence(
        self, cause: _fencing.Cause, token: int
    ) -> "decisions.Flow[dict[str, _members.Report]]":
        """Demotes the old primary and pauses its replicas.

        Args:
            cause: Why the primary is replaced.
            token: The fencing token of the claim.

        Returns:
            The reports of the paused members, by id.

        Raises:
            ChangeAbandonedError: Too few replicas could be paused, or they may
                lack acknowledged commits.
        """
        group = self._group
        self._token = token
        old_primary = group.leader.member if group.leader else group.last_leader
        yield from self._refresh_members()
        self._fence_started_at = self._clock.now()
        other_members = {
            n: p for n, p in group.pools.items() if n != old_primary
        }
        # The members may still serve other nodes, so none of them is paused
        # unless enough of them can be.
        yield from self._require_reachable(other_members)
        self._adopt_current_leader(other_members)
        term = self._next_term()
        if cause is _fencing.Cause.LEAVING:
            yield from self._demote(old_primary, term)
        reports: dict[str, _members.Report] = {}
        futs = [
            decisions.start(self._pause(p, term, reports))
            for p in other_members.values()
        ]
        settled = yield decisions.settle_all(futs, lambda _: False)
        failed = _control_commands.failures(other_members, settled)
        removed = yield from self._pause_removed(old_primary, term)
        unsure = sum(r.is_unsure for r in removed.values())
        needed = _fencing.fence_needed(
            len(other_members), unsure, group.service.sync_replicas
        )
        self._log_fence(
            cause, token, old_primary, reports, failed, removed, needed
        )
        detail = (
            f"{len(reports)} of {len(other_members)} paused, {needed} needed"
        )
        log_step(self._group, "fenced", token, old_primary, detail)
        if len(reports) < needed or not reports:
            yield from self.resume(reports)
            raise ChangeAbandonedError(detail)
        if self._may_lack_commits(reports):
            yield from self.resume(reports)
            raise ChangeAbandonedError("a member that began again held more")
        if cause is not _fencing.Cause.LEAVING:
            decisions.start(self._demote(old_primary, term))
        return reports

    def _log_fence(
        self,
        cause: _fencing.Cause,
        token: int,
        old_primary: str,
        reports: dict[str, _members.Report],
        failed: dict[str, str],
        removed: "dict[str, RemovedOutcome]",
        needed: int,
    ) -> None:
        """Logs what the decision to promote is based on."""
        group = self._group
        last = group.last_report(old_primary)
        revision = self._catalogue.revision
        event = _change_events.MembersFenced(
            service=group.service.name,
            token=token,
            cause=cause.value,
            old_primary=old_primary,
            old_end=str(last.received) if last else "",
            list_revision=f"{revision.era}:{revision.number}",
            listed=[
                f"{n} leaving" if p.member.draining else n
                for n, p in group.pools.items()
            ],
            paused={n: str(r.received) for n, r in reports.items()},
            failed=failed,
            removed={n: r.describe() for n, r in removed.items()},
            needed=needed,
        )
        _events.emit(event)

    def _may_lack_commits(self, reports: dict[str, _members.Report]) -> bool:
        """Whether the old primary alone may hold an acknowledged commit.

        A replica that restarted has lost what it acknowledged before, and the
        other replicas may have been behind it. If one restarted recently, no
        member is promoted until the old primary returns or a paused replica
        is known to have received everything up to the newest floor.
        """
        newest = self._group.floors.newest
        if not self._group.recently_restarted or newest is None:
            return False
        return all(r.received < newest.floor for r in reports.values())

    def is_broken(self, reports: dict[str, _members.Report]) -> bool:
        """Whether a paused member has restarted since.

        Such a member is no longer paused, so the old primary may use it to
        acknowledge commits.

        Args:
            reports: The reports of the paused members, by id.
        """
        restarted = self._group.restarted_at
        return any(
            restarted.get(name, float("-inf")) >= self._fence_started_at
            for name in reports
        )

    def _require_reachable(
        self, other_members: "dict[str, _pools.Pool]"
    ) -> "decisions.Flow[None]":
        futs = [
            decisions.start(self._group.ask(p, _links.Status()))
            for p in other_members.values()
        ]
        settled = yield decisions.settle_all(futs, lambda _: False)
        reached = sum(s.failure is None for s in settled)
        needed = _fencing.fence_needed(
            len(other_members), 0, self._group.service.sync_replicas
        )
        if reached < needed:
            raise ChangeAbandonedError(f"{reached} reached, {needed} needed")

    def _adopt_current_leader(
        self, other_members: "dict[str, _pools.Pool]"
    ) -> None:
        """Checks that no member leads already in a newer term.

        Raises:
            ChangeAbandonedError: One does. The group now follows it.
        """
        group = self._group
        for name in other_members:
            report = group.last_report(name)
            if report is None or report.role is not _members.Role.PRIMARY:
                continue
            if report.term > group.term or group.leader is None:
                group.note_leader(_members.Leader(name, report.term))
                raise ChangeAbandonedError(f"{name} leads already")

    def _demote(self, old_primary: str, term: int) -> "decisions.Flow[None]":
        """Orders the old primary to step down.

        A failure is ignored, as the paused replicas fence it anyway.
        """
        pool = self._group.pools.get(old_primary)
        if pool is None:
            return
        asked = decisions.start(self._command(pool, _links.StepDown(term)))
        yield decisions.settled(asked)

    def _refresh_members(self) -> "decisions.Flow[None]":
        """Reads the members from the store again.

        A replica that this node does not know could still acknowledge commits.

        Raises:
            ChangeAbandonedError: The store was restored from a copy, which may
                lack a replica.
        """
        prefix = self._catalogue.member_prefix
        listed = yield self._store.list(prefix)
        if listed.revision.era != self._catalogue.revision.era:
            raise ChangeAbandonedError("the store has come back from a copy")
        self._catalogue.take(listed.items, "store")

    def _next_term(self) -> int:
        group = self._group
        terms = [group.term]
        for name in group.pools:
            report = group.last_report(name)
            if report is not None:
                terms += [report.term, report.paused_term]
        return max(terms) + 1

    def _pause(
        self,
        pool: _pools.Pool,
        term: int,
        reports: dict[str, _members.Report],
    ) -> "decisions.Flow[None]":
        try:
            report = yield from self._command(pool, _links.Pause(term))
        except decisions.RequestFailedError:
            report = yield from self._command(pool, _links.Pause(term))
        if report.role is _members.Role.PRIMARY and report.term < term:
            # This is the primary of an earlier term, cut off until now.
            yield from self._command(pool, _links.StepDown(term))
            report = yield from self._command(pool, _links.Pause(term))
        is_paused = report.paused_term >= term
        if report.role is _members.Role.REPLICA and is_paused:
            reports[pool.member.id] = report

    def _pause_removed(
        self, old_primary: str, term: int
    ) -> "decisions.Flow[dict[str, RemovedOutcome]]":
        """Pauses members that are no longer listed but may still be running.

        A member that was leaving runs on for a while after its removal from
        the list. Once it does not answer, it has left.

        Returns:
            What became of each of them, by id.
        """
        now = self._clock.now()
        outcomes: dict[str, RemovedOutcome] = {}
        for name, removed in list(self._group.removed_members.items()):
            age_s = now - removed.at
            if name == old_primary or age_s > _fencing.MAX_REMOVED_MEMBER_S:
                continue
            reports: dict[str, _members.Report] = {}
            pool = self._group.open_pool(removed.member)
            fut = decisions.start(self._pause(pool, term, reports))
            yield decisions.settled(fut)
            outcomes[name] = RemovedOutcome(
                removed.member,
                age_s,
                reports.get(name),
                pool.is_refused,
                repr(fut.exception()),
            )
            pool.close()
        return outcomes

    def resume(
        self, reports: dict[str, _members.Report]
    ) -> "decisions.Flow[None]":
        """Lets paused members receive commits again.

        Members that cannot be reached stay paused, as do those that a later
        fence has paused, and all once this node may no longer act.

        Args:
            reports: The reports of the paused members, by id.
        """
        if not self.may_resume():
            detail = "an earlier order may still be executed"
            log_step(self._group, "kept paused", self._token, "", detail)
            return
        yield from _resumption.resume(
            self._group, reports, self._token, self.guard
        )

    def _command(
        self, pool: _pools.Pool, command: _links.Command
    ) -> "decisions.Flow[_members.Report]":
        return self._group.ask(pool, command, self.guard)
