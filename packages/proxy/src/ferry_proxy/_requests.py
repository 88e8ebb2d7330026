"""A caller's statement in execution, and its progress."""

import attrs
import ferry_decisions as decisions

from ferry_proxy import _configuration
from ferry_proxy import _members
from ferry_proxy import _policy
from ferry_proxy import _statements
from ferry_proxy import _teams


@attrs.define(slots=True, eq=False)
class Progress:
    """The progress of a request, for logs and for decisions on retries.

    Attributes:
        member: The member that it was last sent to.
        at_replica: Whether that member was a replica.
        attempts: How many times it was sent to a member.
        offered_at: When a member was first contacted for it; 0 for never.
        dispatched_at: When it was last sent to a member.
        leader: The primary as known then; None if it was unknown.
        log_end: The end of that member's log as known before; None if it was
            unknown.
        via: The serving node that it was forwarded to; empty for none.
        is_abandoned: Whether its caller has an answer, so that it must not be
            sent to a member or to a serving node any more.
    """

    member: str = ""
    at_replica: bool = False
    attempts: int = 0
    offered_at: float = 0.0
    dispatched_at: float = 0.0
    leader: _members.Leader | None = None
    log_end: decisions.Position | None = None
    via: str = ""
    is_abandoned: bool = False

    @property
    def is_sent(self) -> bool:
        """Whether a member or a serving node may have received it."""
        return bool(self.attempts or self.via)

    def note_offered(self, now: float) -> None:
        """Records that a member is contacted for it; the first time counts."""
        if not self.offered_at:
            self.offered_at = now

    def note_dispatched(
        self, member: str, at_replica: bool, now: float
    ) -> None:
        """Records that it is sent to a member now."""
        self.member = member
        self.at_replica = at_replica
        self.attempts += 1
        self.dispatched_at = now
        self.note_offered(now)


@attrs.frozen(slots=True, eq=False, kw_only=True)
class Request:
    """A statement to run, with its limits and its session state.

    Attributes:
        statement: The statement to run.
        prepared: The prepared statement that EXECUTE runs; None for others.
        route: The route of the session's database.
        values: The settings of the session.
        arrived: When it arrived, in the clock's seconds.
        arrived_boot: When it arrived, in seconds of the boot clock.
        session_floor: The position of the session's last commit, if reads have
            to reflect it.
        caller: The team and key that it runs for.
        progress: Its progress so far.
        queued_for_s: For how long it had been queued when it arrived, in
            seconds, if its caller was refused and returned as told.
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
    queued_for_s: float = 0.0

    @property
    def deadline(self) -> float:
        """When its timeout expires, in the clock's seconds."""
        return self.arrived + self.route.timeout_s

    @property
    def queued_since(self) -> float | None:
        """When its caller was first refused; None if it has no place."""
        return self.arrived - self.queued_for_s if self.queued_for_s else None

    @property
    def retry_until(self) -> float:
        """Until when it may be sent again after a member did not run it."""
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
        """The boot time up to which a read must reflect all commits."""
        return self.arrived_boot - self.route.max_staleness_s

    @property
    def is_primary_only(self) -> bool:
        """Whether reads must reflect every commit, of any session."""
        consistency = self.route.consistency
        return consistency is _configuration.Consistency.PRIMARY

    def hold_until(
        self,
        policy: _policy.Policy,
        is_primary_changing: bool,
        leader_found_at: float = float("-inf"),
    ) -> float:
        """Returns until when it may wait for a member that can run it.

        During a change of primary, waiting is better than a refusal, since
        the change takes about a second. At other times the caller is better off
        with an early refusal, so that it can ask another node.

        Args:
            policy: The tunables.
            is_primary_changing: Whether the primary is being changed.
            leader_found_at: When the last change ended, in the clock's seconds.
                Requests held during a change all run right after it, and all
                nodes send theirs to the same member. These may wait for the
                target latency from that time on.
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
