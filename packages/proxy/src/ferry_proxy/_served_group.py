"""A group that a node serves, with the objects that work on it."""

import attrs

from ferry_proxy import _departure_sync
from ferry_proxy import _groups
from ferry_proxy import _promotions
from ferry_proxy import _runners
from ferry_proxy import _surveys


@attrs.define(slots=True, eq=False)
class ServedGroup:
    """A group that this node serves, with the objects that work on it.

    Attributes:
        group: The group's members and links.
        promoter: Replaces the primary when necessary.
        surveys: Keeps the floor up to date.
        departures: Shares the open departures with other nodes.
        runner: Runs the group's statements.
        retires_at: When this node drops the group, as it is no longer one of
            its serving nodes; None while it is one.
    """

    group: _groups.Group
    promoter: _promotions.Promoter
    surveys: _surveys.Surveys
    departures: _departure_sync.DepartureSync
    runner: _runners.LocalRunner
    retires_at: float | None = None

    def has_confirmed_leader(self, limit_s: float) -> bool:
        """Whether the group's primary is reachable and confirmed to lead.

        Args:
            limit_s: For how long the links to it may have failed, and how old
                the floor may be, in seconds.
        """
        pool = self.group.leader_pool
        if pool is None or pool.contact.link_failing_s > limit_s:
            return False
        return self.group.floor_age_s < limit_s

    def survey(self) -> None:
        """Updates the group's floor, and closes surplus links."""
        self.surveys.survey(self.group)
        for pool in self.group.pools.values():
            pool.trim()

    def exclude_pause(self, late_s: float, recent: float) -> None:
        """Excludes a pause of this process from the members' silence.

        Args:
            late_s: How long the pause was, in seconds.
            recent: The earliest time since when the group counts as without a
                primary, in the clock's seconds.
        """
        group = self.group
        group.leaderless_since = max(group.leaderless_since, recent)
        for pool in group.pools.values():
            pool.exclude_pause(late_s)
