"""What a node finds out about a group's members before it fences them."""

from collections.abc import Iterable

import attrs
import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _change_steps
from ferry_proxy import _clocks
from ferry_proxy import _departed_members
from ferry_proxy import _departure_sync
from ferry_proxy import _departures
from ferry_proxy import _fencing
from ferry_proxy import _groups
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _pools
from ferry_proxy import _records
from ferry_proxy import _store
from ferry_proxy import _voter_sync

Reports = dict[str, _members.Report]


@attrs.frozen(slots=True)
class View:
    """The members that a fence has to deal with.

    Attributes:
        old_primary: The id of the old primary; empty if it is a replica by
            now, and counts as one.
        pools: The pools of all other listed members, by id.
        departed: What members that are no longer listed replied, by id.
        sync_replicas: How many replicas must receive a commit.
        is_known_to_all: Whether all serving nodes know who has left.
    """

    old_primary: str
    pools: dict[str, _pools.Pool]
    departed: dict[str, _departed_members.Outcome]
    sync_replicas: int
    is_known_to_all: bool

    @property
    def needed(self) -> int:
        """How many of the listed members must be paused."""
        return _fencing.fence_needed(
            len(self.pools), len(self.unsure), self.sync_replicas
        )

    @property
    def unsure(self) -> list[_departed_members.Outcome]:
        """The departed members that may receive commits, out of reach."""
        known = self.is_known_to_all
        return [o for o in self.departed.values() if o.is_unsure(known)]


def failures(
    futs: "dict[str, decisions.Future[_members.Report]]",
) -> dict[str, str]:
    """Returns why members sent no report, by id."""
    return {
        name: repr(fut.exception())
        for name, fut in futs.items()
        if fut.exception() is not None
    }


class FenceViews:
    """Asks the members of one group, without a change to any of them."""

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

    def refresh_members(self) -> "decisions.Flow[None]":
        """Reads the members from the store again.

        A replica that this node does not know could still acknowledge commits.
        One that left before this node began to serve the group may have done
        so, and the records of voters and of departures name it.

        Raises:
            ChangeAbandonedError: The store was restored from a copy, which may
                lack a replica.
        """
        recorded = self._store.list(_records.DEPARTURE_PREFIX)
        era = self._catalogue.revision.era
        voter_key = _voter_sync.record_key(self._group, era)
        voters = self._store.list(voter_key)
        listed = yield self._store.list(self._catalogue.member_prefix)
        if listed.revision.era != self._catalogue.revision.era:
            raise _change_steps.ChangeAbandonedError(
                "the store has come back from a copy"
            )
        self._catalogue.take(listed.items, "store")
        items = (yield recorded).items
        now = self._clock.boot_now()
        _departure_sync.adopt_items(self._group, items, now)
        for item in (yield voters).items:
            if item.key == voter_key:
                _voter_sync.adopt_item(self._group, item, now)

    def survey(self, is_known_to_all: bool) -> "decisions.Flow[View]":
        """Asks the members that may hold or receive commits for their status.

        They may still serve other nodes, so none of them is paused unless
        enough of them can be.

        Args:
            is_known_to_all: Whether all serving nodes know who has left.

        Raises:
            ChangeAbandonedError: Too few members answer, or one leads already.
        """
        group = self._group
        leader = group.leader.member if group.leader else ""
        asked = {n: p for n, p in group.pools.items() if n != leader}
        futs = {
            name: decisions.start(group.ask(pool, _links.Status()))
            for name, pool in asked.items()
        }
        old_primary = leader or group.last_leader
        departed = yield from self._ask_departed(old_primary)
        yield decisions.settle_all(list(futs.values()), lambda _: False)
        answered = {n for n, fut in futs.items() if fut.exception() is None}
        self._adopt_current_leader(answered)
        if not leader and old_primary in answered:
            old_primary = ""  # It has stepped down, and counts as a replica.
        pools = {n: p for n, p in asked.items() if n != old_primary}
        sync_replicas = group.service.sync_replicas
        view = View(
            old_primary, pools, departed, sync_replicas, is_known_to_all
        )
        reached = len(answered & pools.keys())
        if reached < view.needed:
            unsure = [o.describe() for o in view.unsure]
            raise _change_steps.ChangeAbandonedError(
                f"{reached} reached, {view.needed} needed,"
                f" of {sorted(pools)}: {failures(futs)} {unsure}"
            )
        return view

    def _adopt_current_leader(self, answered: set[str]) -> None:
        """Checks that no member leads already in a newer term.

        Raises:
            ChangeAbandonedError: One does. The group now follows it.
        """
        group = self._group
        for name in answered:
            report = group.last_report(name)
            if report is None or report.role is not _members.Role.PRIMARY:
                continue
            if report.term > group.term or (
                report.term == group.term and group.leader is None
            ):
                group.note_leader(_members.Leader(name, report.term))
                raise _change_steps.ChangeAbandonedError(
                    f"{name} leads already"
                )

    def require_caught_up(self, view: View) -> "decisions.Flow[None]":
        """Checks that a replica holds all that the primary does at the moment.

        Others may hold commits that the listed replicas lack: members that
        left, and members that are not listed yet.

        Raises:
            ChangeAbandonedError: None has; the primary goes on leading.
            decisions.RequestFailedError: The primary does not answer.
        """
        group = self._group
        leader, pool = group.leader, group.leader_pool
        if leader is None or pool is None:
            raise _change_steps.ChangeAbandonedError("the primary is unknown")
        end = yield from group.ask(pool, _links.Status())
        futs = [
            decisions.start(group.ask(p, _links.Status()))
            for p in view.pools.values()
        ]
        yield decisions.settle_all(futs, lambda _: False)
        reports = self.last_reports(view.pools)
        level = sum(r.received >= end.received for r in reports.values())
        if level < max(1, view.sync_replicas):
            held = {n: str(r.received) for n, r in reports.items()}
            raise _change_steps.ChangeAbandonedError(
                f"no replica has caught up with {end.received}: {held}"
            )
        group.departures.cover_before(end.asked_at)

    def last_reports(self, names: Iterable[str]) -> Reports:
        """Returns the latest reports of members, by id."""
        found = {n: self._group.last_report(n) for n in names}
        return {n: r for n, r in found.items() if r is not None}

    def ahead(
        self, received: decisions.Position, max_age_s: float
    ) -> dict[str, float]:
        """Returns the listed members that lately reported a longer log.

        Args:
            received: The end of a log.
            max_age_s: How old a report may be, in seconds.

        Returns:
            The ages of their reports in seconds, by id.
        """
        now = self._clock.boot_now()
        reports = self.last_reports(self._group.pools)
        ages = {
            n: now - r.asked_at
            for n, r in reports.items()
            if r.received > received
        }
        return {n: age_s for n, age_s in ages.items() if age_s < max_age_s}

    def next_term(self, view: View) -> int:
        """Returns a term above all terms that members have reported."""
        group = self._group
        reports = list(self.last_reports(group.pools).values())
        reports += [o.report for o in view.departed.values() if o.report]
        terms = [t for r in reports for t in (r.term, r.paused_term)]
        return max([group.term, *terms]) + 1

    def open_departures(self, old_primary: str) -> list[_departures.Departure]:
        """Returns the open departures of members other than the primary."""
        if not self._group.service.sync_replicas:
            return []  # No commit waits for a replica.
        return [
            d
            for d in self._group.departures.open()
            if d.member.id != old_primary
        ]

    def uncovered_departures(
        self, old_primary: str, reports: Reports
    ) -> list[_departures.Departure]:
        """Returns those whose commits no replica is known to hold.

        Args:
            old_primary: The id of the old primary.
            reports: The reports of the replicas, by id.
        """
        departures = self.open_departures(old_primary)
        floor = self._group.floors.newest
        if floor is None or not reports:
            return departures
        received = max(r.received for r in reports.values())
        return [d for d in departures if not d.is_covered_by(floor, received)]

    def _ask_departed(
        self, old_primary: str
    ) -> "decisions.Flow[dict[str, _departed_members.Outcome]]":
        """Asks departed members that may still be running for their status."""
        group = self._group
        now = self._clock.boot_now()
        running = [
            d for d in self.open_departures(old_primary) if d.ended_at > now
        ]
        return (
            yield from _departed_members.reach_all(
                self._clock,
                group,
                running,
                lambda pool: group.ask(pool, _links.Status()),
            )
        )
