"""Stopping the members of a group before another one is promoted.

The old primary is asked to follow, and enough replicas are paused that no
commit of its term can be acknowledged any more, whether it listens or not.
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
    """A change of primary cannot go on; another try may follow."""


class VetoedError(ChangeAbandonedError):
    """A peer's word shows that only this node lost the primary."""


def log_step(
    group: _groups.Group, step: str, token: int, member: str, detail: str
) -> None:
    """Logs a step of a change of primary."""
    _events.emit(
        _events.PromotionStep(group.service.name, step, token, member, detail)
    )


class Fence:
    """Stops one group's members, and lets them go on."""

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
        self._raised_at = clock.now()

    def raise_fence(
        self, cause: _fencing.Cause, token: int
    ) -> "decisions.Flow[dict[str, _members.Report]]":
        """Stops the old primary and pauses its replicas.

        Raises:
            ChangeAbandonedError: Too few of them could be reached.
        """
        group = self._group
        old = group.leader.member if group.leader else group.last_leader
        yield from self._list_members()
        self._raised_at = self._clock.now()
        others = {n: p for n, p in group.pools.items() if n != old}
        # Members may go on serving others: nothing stops unless enough can be.
        yield from self._check_reachable(others)
        self._check_leader(others)
        term = self._next_term()
        if cause is _fencing.Cause.LEAVING:
            yield from self._step_down(old, term)
        reports: dict[str, _members.Report] = {}
        futs = [
            decisions.start(self._pause(p, term, reports))
            for p in others.values()
        ]
        yield decisions.settle_all(futs, lambda _: False)
        unsure = yield from self._pause_vanished(old, term)
        needed = _fencing.fence_needed(
            len(others), unsure, group.service.sync_replicas
        )
        detail = f"{len(reports)} of {len(others)} paused, {needed} needed"
        log_step(self._group, "fenced", token, old, detail)
        if len(reports) < needed or not reports:
            yield from self.resume(reports)
            raise ChangeAbandonedError(detail)
        if self._may_lack_commits(reports):
            yield from self.resume(reports)
            raise ChangeAbandonedError("a member that began again held more")
        if cause is not _fencing.Cause.LEAVING:
            decisions.start(self._step_down(old, term))
        return reports

    def _may_lack_commits(self, reports: dict[str, _members.Report]) -> bool:
        """Whether a commit may be held by the old primary alone.

        A replica that began again does not hold what it acknowledged in its
        earlier life; the others may have been behind it. Until the old primary
        returns, or the others are known to hold as much as it did, nobody is
        promoted over it, for as long as the life has ended lately.
        """
        newest = self._group.floors.newest
        if not self._group.recently_restarted or newest is None:
            return False
        return all(r.received < newest.floor for r in reports.values())

    def is_broken(self, reports: dict[str, _members.Report]) -> bool:
        """Whether a member that was paused has begun again since.

        It is paused no longer, and the old primary may use it.

        Args:
            reports: What the paused members reported, by id.
        """
        ended = self._group.restarted_at
        return any(
            ended.get(name, float("-inf")) >= self._raised_at
            for name in reports
        )

    def _check_reachable(
        self, others: "dict[str, _pools.Pool]"
    ) -> "decisions.Flow[None]":
        futs = [
            decisions.start(self._group.ask(p, _links.Status()))
            for p in others.values()
        ]
        settled = yield decisions.settle_all(futs, lambda _: False)
        reached = sum(s.failure is None for s in settled)
        needed = _fencing.fence_needed(
            len(others), 0, self._group.service.sync_replicas
        )
        if reached < needed:
            raise ChangeAbandonedError(f"{reached} reached, {needed} needed")

    def _check_leader(self, others: "dict[str, _pools.Pool]") -> None:
        """Follows a primary that this node had not heard of."""
        group = self._group
        for name in others:
            report = group.last_report(name)
            if report is None or report.role is not _members.Role.PRIMARY:
                continue
            if report.term > group.term or group.leader is None:
                group.note_leader(_members.Leader(name, report.term))
                raise ChangeAbandonedError(f"{name} leads already")

    def _step_down(self, old: str, term: int) -> "decisions.Flow[None]":
        """Asks the old primary to follow; a silent one is fenced anyway."""
        pool = self._group.pools.get(old)
        if pool is None:
            return
        asked = decisions.start(self._group.ask(pool, _links.StepDown(term)))
        yield decisions.settled(asked)

    def _list_members(self) -> "decisions.Flow[None]":
        """Reads the list anew: an unknown replica could acknowledge.

        Raises:
            ChangeAbandonedError: The store came back from a copy, which may
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
            # A primary of an earlier term that was cut off until now.
            yield from group.ask(pool, _links.StepDown(term))
            report = yield from group.ask(pool, _links.Pause(term))
        is_paused = report.paused_term >= term
        if report.role is _members.Role.REPLICA and is_paused:
            reports[pool.member.id] = report

    def _pause_vanished(self, old: str, term: int) -> "decisions.Flow[int]":
        """Pauses members that are not listed any more but may still live.

        One that was leaving goes on for a while after it is unlisted; once it
        is silent, it has left.

        Returns:
            How many of them could neither be paused nor shown to be gone.
        """
        now = self._clock.now()
        unsure = 0
        for name, removed_members in list(self._group.removed_members.items()):
            if name == old or now - removed_members.at > _fencing.VANISHED_S:
                continue
            reports: dict[str, _members.Report] = {}
            pool = self._group.open_pool(removed_members.member)
            paused = decisions.start(self._pause(pool, term, reports))
            yield decisions.settled(paused)
            is_gone = pool.is_refused
            pool.close()
            has_left = is_gone or removed_members.member.draining
            if not reports and not has_left:
                unsure += 1
        return unsure

    def resume(
        self, reports: dict[str, _members.Report]
    ) -> "decisions.Flow[None]":
        """Lets paused members receive again; silent ones stay paused.

        Args:
            reports: What the paused members reported, by id.
        """
        futs = [
            decisions.start(self._group.ask(pool, _links.Resume()))
            for name, pool in self._group.pools.items()
            if name in reports
        ]
        yield decisions.settle_all(futs, lambda _: False)
