"""A request and the database group that serves it."""

import attrs
import ferry_decisions as decisions

from ferry_proxy import _groups
from ferry_proxy import _links
from ferry_proxy import _policy
from ferry_proxy import _requests
from ferry_proxy.queueing import _work


@attrs.frozen(slots=True, eq=False, kw_only=True)
class Job(_requests.Request):
    """A request to run at the members of a group.

    Attributes:
        group: The group that serves the route.
    """

    group: _groups.Group

    @classmethod
    def of(cls, request: _requests.Request, group: _groups.Group) -> "Job":
        """Returns a job for a request; both share one progress record."""
        return cls(
            statement=request.statement,
            prepared=request.prepared,
            route=request.route,
            values=request.values,
            arrived=request.arrived,
            arrived_boot=request.arrived_boot,
            session_floor=request.session_floor,
            caller=request.caller,
            progress=request.progress,
            queued_for_s=request.queued_for_s,
            group=group,
        )

    @property
    def work(self) -> _work.Work:
        """What the queue of a member needs to know of it."""
        kind = "write" if self.writes else self.statement.kind.value
        return _work.Work(
            key=decisions.WorkKey(self.route.name, kind),
            priority=self.route.priority,
            target_s=self.route.target_s,
            target_at=self.arrived + self.route.target_s,
            deadline=self.deadline,
            queued_since=self.queued_since,
        )

    def hold_end(self, policy: _policy.Policy) -> float:
        """Returns how long it may wait for a member, as a clock time."""
        group = self.group
        return self.hold_until(
            policy, group.is_primary_changing, group.leader_found_at
        )

    def note_dispatched(self, member: str, now: float) -> None:
        """Records that the request is now sent to a member."""
        leader = self.group.leader
        at_replica = leader is None or leader.member != member
        pool = self.group.pools.get(member)
        self.progress.leader = leader
        self.progress.log_end = pool.reported.position if pool else None
        self.progress.note_dispatched(member, at_replica, now)

    def command(
        self, floor: decisions.Position | None, prepared_as: str
    ) -> _links.Run:
        """Returns the link command that runs the statement.

        Args:
            floor: The position that the member must have applied.
            prepared_as: The name of the prepared statement on the link.
        """
        return _links.Run(self.statement, floor, prepared_as)
