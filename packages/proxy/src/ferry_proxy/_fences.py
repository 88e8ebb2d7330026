"""Fencing of the members of a group before another one is promoted.

The old primary is ordered to step down. Enough replicas are paused that no
commit of its term can be acknowledged any more, even if it does not obey.
"""

import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _clocks
from ferry_proxy import _events
from ferry_proxy import _fencing
from ferry_proxy import _groups
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _pools
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
        _events.PromotionStep(group.service.name, step, token, member, detail)
    )


class Fence:
    """Pauses the members of one group, and resumes them."""

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
        yield decisions.settle_all(futs, lambda _: False)
        unsure = yield from self._pause_removed(old_primary, term)
        needed = _fencing.fence_needed(
            len(other_members), unsure, group.service.sync_replicas
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
        asked = decisions.start(self._group.ask(pool, _links.StepDown(term)))
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
        group = self._group
        try:
            report = yield from group.ask(pool, _links.Pause(term))
        except decisions.RequestFailedError:
            report = yield from group.ask(pool, _links.Pause(term))
        if report.role is _members.Role.PRIMARY and report.term < term:
            # This is the primary of an earlier term, cut off until now.
            yield from group.ask(pool, _links.StepDown(term))
            report = yield from group.ask(pool, _links.Pause(term))
        is_paused = report.paused_term >= term
        if report.role is _members.Role.REPLICA and is_paused:
            reports[pool.member.id] = report

    def _pause_removed(
        self, old_primary: str, term: int
    ) -> "decisions.Flow[int]":
        """Pauses members that are no longer listed but may still be running.

        A member that was leaving runs on for a while after its removal from
        the list. Once it does not answer, it has left.

        Returns:
            How many of them could neither be paused nor shown to have ended.
        """
        now = self._clock.now()
        unsure = 0
        for name, removed in list(self._group.removed_members.items()):
            if (
                name == old_primary
                or now - removed.at > _fencing.MAX_REMOVED_MEMBER_S
            ):
                continue
            reports: dict[str, _members.Report] = {}
            pool = self._group.open_pool(removed.member)
            paused = decisions.start(self._pause(pool, term, reports))
            yield decisions.settled(paused)
            is_gone = pool.is_refused
            pool.close()
            has_departed = is_gone or removed.member.draining
            if not reports and not has_departed:
                unsure += 1
        return unsure

    def resume(
        self, reports: dict[str, _members.Report]
    ) -> "decisions.Flow[None]":
        """Lets paused members receive commits again.

        Members that cannot be reached stay paused.

        Args:
            reports: The reports of the paused members, by id.
        """
        futs = [
            decisions.start(self._group.ask(pool, _links.Resume()))
            for name, pool in self._group.pools.items()
            if name in reports
        ]
        yield decisions.settle_all(futs, lambda _: False)
