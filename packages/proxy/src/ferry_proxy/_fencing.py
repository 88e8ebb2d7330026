"""Decisions on a change of primary, as pure functions.

They decide when a primary is replaced, how many members must be paused first,
and which member is promoted. They cover crashes, partitions and planned
departures of a primary; most time limits are in `Policy`.
"""

import enum

import attrs
import ferry_decisions as decisions

from ferry_proxy import _acknowledgements
from ferry_proxy import _freshness
from ferry_proxy import _members
from ferry_proxy import _opinion_messages
from ferry_proxy import _policy

# A group without a primary gets one after this time. Members that start
# together are all listed within a heartbeat.
MISSING_LEADER_S = 1.2
# A primary whose VM has refused connections for this long is replaced. A
# crashed process refuses at once, and one retry confirms it.
REFUSED_PRIMARY_S = 0.25


class Cause(enum.Enum):
    """Why a primary is to be replaced.

    Attributes:
        SILENT: It does not answer.
        REFUSED: Its VM refuses connections.
        STALLED: No replica receives its commits.
        LEAVING: It is draining before a planned departure.
        MISSING: No primary is known.
    """

    SILENT = "silent"
    REFUSED = "refused"
    STALLED = "stalled"
    LEAVING = "leaving"
    MISSING = "missing"


@attrs.frozen(slots=True)
class Evidence:
    """What a node has observed of a group's primary.

    Attributes:
        has_leader: Whether a primary is known.
        silence_s: Seconds since it last answered.
        unanswered_s: Seconds for which requests sent since then have been
            pending.
        refused_s: Seconds for which its VM has refused connections.
        stalled_s: Seconds for which no replica has received its newest commit.
        leaderless_s: Seconds for which no primary has been known and no member
            has joined or left.
        is_draining: Whether it is about to leave.
        successors: How many other members could be promoted: they answered
            recently and are not leaving.
    """

    has_leader: bool
    silence_s: float
    unanswered_s: float
    refused_s: float
    stalled_s: float
    leaderless_s: float
    is_draining: bool
    successors: int


def cause_of_change(evidence: Evidence, policy: _policy.Policy) -> Cause | None:
    """Returns why the primary is to be replaced, or None if it is not."""
    if evidence.successors == 0:
        return None
    if not evidence.has_leader:
        missing = evidence.leaderless_s >= MISSING_LEADER_S
        return Cause.MISSING if missing else None
    if evidence.refused_s >= REFUSED_PRIMARY_S:
        return Cause.REFUSED
    if evidence.silence_s >= policy.suspect_s:
        return Cause.SILENT
    if evidence.unanswered_s >= policy.unanswered_s:
        return Cause.SILENT
    if evidence.stalled_s >= policy.stall_s:
        return Cause.STALLED
    if evidence.is_draining:
        return Cause.LEAVING
    return None


def is_vetoed(
    cause: Cause,
    opinions: list[_opinion_messages.OpinionReply],
    policy: _policy.Policy,
) -> bool:
    """Whether a peer's opinion shows that only this node lost the primary.

    Args:
        cause: Why this node wants to replace the primary.
        opinions: The peers' contacts with the primary.
        policy: The tunable limits and intervals.
    """
    if cause not in (Cause.SILENT, Cause.REFUSED):
        return False
    return any(
        0 <= o.heard_ago_s < policy.opinion_s
        and o.unanswered_s < policy.unanswered_s / 2
        for o in opinions
    )


def fence_needed(replicas: int, unsure: int, sync_replicas: int) -> int:
    """Returns how many members must be paused before a promotion.

    Args:
        replicas: Listed members without the old primary.
        unsure: Members that are no longer listed, and may still receive
            commits that callers are told of.
        sync_replicas: How many replicas must receive a commit before it is
            acknowledged.
    """
    return _freshness.fence_size(replicas + unsure, sync_replicas)


class StallDetector:
    """Detects that no replica receives a primary's commits any more.

    Attributes:
        stalled_s: Seconds for which no replica has received the commit that
            is waited for; 0 if there is no stall.
    """

    # A replica that is asked this much later than the primary should have
    # received the commit.
    REPLICATION_DELAY_S = 0.25

    def __init__(self) -> None:
        self._leader: _members.Leader | None = None
        self._awaited_position: decisions.Position | None = None
        self._awaited_since = 0.0
        self.stalled_s = 0.0

    def observe(
        self,
        leader: _members.Leader | None,
        primary: _members.Report | None,
        replicas: list[_members.Report],
        now: float,
    ) -> None:
        """Updates `stalled_s` from the reports of a status round.

        Args:
            leader: The primary as far as known. A stall of another one says
                nothing of it.
            primary: The primary's report; None if it did not answer.
            replicas: The replicas' reports.
            now: The current boot time, in seconds.
        """
        if leader != self._leader:
            self._leader = leader
            self._awaited_position = None
            self.stalled_s = 0.0
        for report in replicas:
            awaited_position = self._awaited_position
            if awaited_position is None or report.received >= awaited_position:
                self._awaited_position = None
                self.stalled_s = 0.0
            elif (
                report.asked_at
                >= self._awaited_since + self.REPLICATION_DELAY_S
            ):
                self.stalled_s = now - self._awaited_since
        if self._awaited_position is None and primary is not None:
            self._awaited_position = primary.received
            self._awaited_since = primary.asked_at


def is_stall_refuted(
    acks: _acknowledgements.Acknowledgements, stalled_s: float, now: float
) -> bool:
    """Whether commits were acknowledged while no known replica received any.

    A replica that is not listed yet has received them then, and would not be
    fenced.

    Args:
        acks: The acknowledgements known to the serving nodes.
        stalled_s: For how long the primary's commits have been stalled.
        now: The current boot time, in seconds.
    """
    began_at = now - stalled_s + StallDetector.REPLICATION_DELAY_S
    return acks.newest_at > began_at


def choose_successor(
    reports: dict[str, _members.Report], members: dict[str, _members.Member]
) -> str:
    """Returns the member to promote: the one that has received the most.

    Among equals, a member that stays is preferred to one that is leaving.

    Args:
        reports: The reports of the paused members, by id; at least one.
        members: All members, by id.
    """

    def preference(name: str) -> tuple[object, bool, str]:
        member = members.get(name)
        is_staying = member is not None and not member.draining
        return (reports[name].received, is_staying, name)

    return max(reports, key=preference)
