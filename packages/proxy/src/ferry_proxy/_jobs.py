"""A request at a node that serves its group."""

import attrs
import ferry_decisions as decisions

from ferry_proxy import _groups
from ferry_proxy import _links
from ferry_proxy import _policy
from ferry_proxy import _requests


@attrs.frozen(slots=True, eq=False, kw_only=True)
class Job(_requests.Request):
    """A request, and the members that may run it.

    Attributes:
        group: The members that serve the route.
    """

    group: _groups.Group

    @classmethod
    def of(cls, request: _requests.Request, group: _groups.Group) -> "Job":
        """Returns the job of a request; the two share their progress."""
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
            group=group,
        )

    def hold_end(self, policy: _policy.Policy) -> float:
        """Returns until when it may wait for a member, in clock seconds."""
        group = self.group
        return self.hold_until(
            policy, group.is_primary_changing, group.leader_found_at
        )

    def note_dispatched(self, member: str, now: float) -> None:
        """Takes in that it goes to a member now."""
        leader = self.group.leader
        at_replica = leader is None or leader.member != member
        self.progress.note_dispatched(member, at_replica, now)

    def command(
        self, floor: decisions.Position | None, prepared_as: str
    ) -> _links.Run:
        """Returns the command that runs it."""
        return _links.Run(self.statement, floor, prepared_as)
