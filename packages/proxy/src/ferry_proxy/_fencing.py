"""Decisions on a change of primary: when, who must be stopped, who follows.

Pure functions. They answer crashes, partitions and planned departures of a
primary; how patient each is stands in `Policy`.
"""

import enum

import attrs
import ferry_decisions as decisions

from ferry_proxy import _freshness
from ferry_proxy import _members
from ferry_proxy import _peer_messages
from ferry_proxy import _policy

MISSING_S = 1.2  # Members that start together are listed within a heartbeat.
REFUSED_S = 0.25  # A crashed process refuses at once; one retry confirms it.
VANISHED_S = 30.0  # A member that vanished may live on, cut off, for longer
# than any partition that is known to have passed.


class Cause(enum.Enum):
    """Why a primary is to be replaced."""

    SILENT = "silent"
    REFUSED = "refused"
    STALLED = "stalled"
    LEAVING = "leaving"
    MISSING = "missing"


@attrs.frozen(slots=True)
class Evidence:
    """What a node knows of a group's primary.

    Attributes:
        has_leader: Whether a primary is known.
        silence_s: Seconds since it was heard.
        unanswered_s: For how long it has answered none of the questions that
            were sent since.
        refused_s: Seconds for which its machine has refused connections.
        stalled_s: Seconds for which no replica received its newest commit.
        leaderless_s: Seconds for which no primary has been known, and no
            member has come or gone.
        is_draining: Whether it is about to leave.
        successors: Members that could lead: heard lately, not leaving.
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
    """Returns why the primary is to be replaced; None if it is not."""
    if evidence.successors == 0:
        return None
    if not evidence.has_leader:
        missing = evidence.leaderless_s >= MISSING_S
        return Cause.MISSING if missing else None
    if evidence.refused_s >= REFUSED_S:
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
    opinions: list[_peer_messages.OpinionReply],
    policy: _policy.Policy,
) -> bool:
    """Whether a peer's word shows that only this node lost the primary.

    Args:
        cause: Why this node wants a change.
        opinions: What each peer knows of its contact with the primary.
        policy: The tunables.
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
        replicas: Members that are listed, without the old primary.
        unsure: Members that went without leaving in order and may still
            receive commits.
        sync_replicas: How many replicas must receive a commit.
    """
    return _freshness.fence_size(replicas + unsure, sync_replicas)


class StallDetector:
    """Finds a primary whose commits no replica receives any more."""

    LATE_S = 0.25  # A replica asked this much later should have the commit.

    def __init__(self) -> None:
        self._awaited: decisions.Position | None = None
        self._since = 0.0
        self.stalled_s = 0.0

    def take(
        self,
        primary: _members.Report | None,
        replicas: list[_members.Report],
        now: float,
    ) -> None:
        """Takes a round of reports in.

        Args:
            primary: The primary's own; None where it did not answer.
            replicas: The others'.
            now: Boot time, in seconds.
        """
        for report in replicas:
            awaited = self._awaited
            if awaited is None or report.received >= awaited:
                self._awaited = None
                self.stalled_s = 0.0
            elif report.asked_at >= self._since + self.LATE_S:
                self.stalled_s = now - self._since
        if self._awaited is None and primary is not None:
            self._awaited = primary.received
            self._since = primary.asked_at


def choose_successor(
    reports: dict[str, _members.Report], members: dict[str, _members.Member]
) -> str:
    """Returns the member that is to lead: the one that received most.

    Among equals, one that stays goes before one that leaves.

    Args:
        reports: The paused members' reports; at least one.
        members: All members, by id.
    """

    def rank(name: str) -> tuple[object, bool, str]:
        member = members.get(name)
        stays = member is not None and not member.draining
        return (reports[name].received, stays, name)

    return max(reports, key=rank)
