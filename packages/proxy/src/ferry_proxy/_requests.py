"""A caller's statement on its way, and what became of it so far."""

import attrs
import ferry_decisions as decisions

from ferry_proxy import _configuration
from ferry_proxy import _policy
from ferry_proxy import _statements
from ferry_proxy import _teams


@attrs.define(slots=True, eq=False)
class Progress:
    """What became of a request so far, for logs and later decisions.

    Attributes:
        member: The member that it was last handed to.
        at_replica: Whether that member was a replica.
        attempts: How often it was handed to a member.
        offered_at: When it was first handed to a member; 0 for never.
        dispatched_at: When it was last handed to a member.
        via: The serving node that it was forwarded to; empty for none.
    """

    member: str = ""
    at_replica: bool = False
    attempts: int = 0
    offered_at: float = 0.0
    dispatched_at: float = 0.0
    via: str = ""

    def note_offered(self, now: float) -> None:
        """Takes in that a member is asked on its behalf."""
        if not self.offered_at:
            self.offered_at = now

    def note_dispatched(
        self, member: str, at_replica: bool, now: float
    ) -> None:
        """Takes in that it goes to a member now."""
        self.member = member
        self.at_replica = at_replica
        self.attempts += 1
        self.dispatched_at = now
        self.note_offered(now)


@attrs.frozen(slots=True, eq=False, kw_only=True)
class Request:
    """A statement to run, and what limits its run.

    Attributes:
        statement: What to run.
        prepared: What EXECUTE runs; None for other statements.
        route: The route that it is under.
        values: The session's values.
        arrived: When it arrived, in the clock's seconds.
        arrived_boot: When it arrived, in boot time.
        session_floor: The session's own last commit.
        caller: In whose name it runs.
        progress: What became of it so far.
    """

    statement: _statements.Statement
    prepared: _statements.Prepared | None
    route: _configuration.Route
    values: dict[str, str]
    arrived: float
    arrived_boot: float
    session_floor: decisions.Position | None = None
    caller: _teams.Caller = _teams.ANONYMOUS
    progress: Progress = attrs.field(factory=Progress)

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
    def freshness_cutoff(self) -> float:
        """The boot time whose earlier commits a read has to show."""
        return self.arrived_boot - self.route.max_staleness_s

    @property
    def is_primary_only(self) -> bool:
        """Whether reads have to show every commit, whoever made it."""
        consistency = self.route.consistency
        return consistency is _configuration.Consistency.PRIMARY

    def hold_until(
        self,
        policy: _policy.Policy,
        is_primary_changing: bool,
        leader_found_at: float = float("-inf"),
    ) -> float:
        """Returns until when it may wait for a member to be offered to.

        While a primary is being changed there is a good reason to wait: the
        change ends in about a second. At other times a caller is better off
        asking another node.

        Args:
            policy: The tunables.
            is_primary_changing: Whether a primary is being changed.
            leader_found_at: When the last change ended, in the clock's seconds.
                What waited until then comes at once, and all nodes wait for
                the same member: it may wait for a target's time from there.
        """
        longest = self.arrived + self.route.timeout_s * min(
            1.0, policy.failover_hold_share
        )
        if is_primary_changing:
            return longest
        usual = self.arrived + self.route.target_s * policy.hold_share
        if leader_found_at < self.arrived:
            return min(longest, usual)
        return min(longest, leader_found_at + self.route.target_s)
