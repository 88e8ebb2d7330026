"""A statement to run, and what limits its run."""

import attrs
import ferry_decisions as decisions

from ferry_proxy import _configuration
from ferry_proxy import _groups
from ferry_proxy import _links
from ferry_proxy import _policy
from ferry_proxy import _statements


@attrs.define(slots=True, eq=False)
class Job:
    """A statement on its way, and what became of it so far.

    Attributes:
        statement: What to run.
        prepared: What EXECUTE runs; None for other statements.
        route: The route that it is under.
        group: The members that serve the route.
        values: The session's values.
        arrived: When it arrived, in the clock's seconds.
        arrived_boot: When it arrived, in boot time.
        session_floor: The session's own last commit.
        member: The member that it was last handed to.
        attempts: How often it was handed to a member.
        offered_at: When it was first handed to a member.
        handed_at: When it was last handed to a member.
    """

    statement: _statements.Statement
    prepared: _statements.Prepared | None
    route: _configuration.Route
    group: _groups.Group
    values: dict[str, str]
    arrived: float
    arrived_boot: float
    session_floor: decisions.Position | None = None
    member: str = ""
    attempts: int = 0
    offered_at: float = 0.0
    handed_at: float = 0.0

    @property
    def deadline(self) -> float:
        """When its time limit is over."""
        return self.arrived + self.route.timeout_s

    @property
    def retry_until(self) -> float:
        """Until when what a member did not run may be handed over again."""
        limit_s = min(self.route.target_s, self.route.timeout_s)
        return self.arrived + limit_s

    @property
    def writes(self) -> bool:
        """Whether the statement writes."""
        if self.prepared is not None:
            return self.prepared.writes
        return self.statement.kind is _statements.Kind.WRITE

    @property
    def moment(self) -> float:
        """The boot time whose earlier commits a read has to show."""
        return self.arrived_boot - self.route.max_staleness_s

    @property
    def is_primary_only(self) -> bool:
        """Whether reads have to show every commit, whoever made it."""
        consistency = self.route.consistency
        return consistency is _configuration.Consistency.PRIMARY

    def hold_until(self, policy: _policy.Policy) -> float:
        """Returns until when it may wait for a member to be offered to.

        While a primary is being changed there is a good reason to wait: the
        change ends in about a second. At other times a caller is better off
        asking another node.
        """
        if self.group.is_changing:
            hold = self.route.timeout_s * policy.failover_hold_share
        else:
            hold = self.route.target_s * policy.hold_share
        return self.arrived + min(hold, self.route.timeout_s)

    def note_handed(self, member: str, now: float) -> None:
        """Takes in that it goes to a member now."""
        self.member = member
        self.attempts += 1
        self.handed_at = now
        if not self.offered_at:
            self.offered_at = now

    def command(
        self, floor: decisions.Position | None, prepared_as: str
    ) -> _links.Run:
        """Returns the command that runs it."""
        return _links.Run(self.statement, floor, prepared_as)
