"""Decisions on a change of primary: when, who must be stopped, who follows.

Pure functions. They answer crashes, partitions and planned departures of a
primary; how patient each is stands in `Policy`.
"""

import enum

import attrs

from ferry_proxy import _freshness
from ferry_proxy import _members
from ferry_proxy import _policy

REFUSED_S = 0.25  # A crashed process refuses at once; one retry confirms it.
VANISHED_S = 10.0  # A member that vanished may hold commits; it may return.


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
        refused_s: Seconds for which its machine has refused connections.
        stalled_s: Seconds for which no replica received its newest commit.
        leaderless_s: Seconds for which no primary has been known.
        is_draining: Whether it is about to leave.
        successors: Members that could lead: heard lately, not leaving.
    """

    has_leader: bool
    silence_s: float
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
        missing = evidence.leaderless_s >= policy.suspect_s
        return Cause.MISSING if missing else None
    if evidence.refused_s >= REFUSED_S:
        return Cause.REFUSED
    if evidence.silence_s >= policy.suspect_s:
        return Cause.SILENT
    if evidence.stalled_s >= policy.stall_s:
        return Cause.STALLED
    if evidence.is_draining:
        return Cause.LEAVING
    return None


def is_vetoed(
    cause: Cause, peers_heard_s: list[float], policy: _policy.Policy
) -> bool:
    """Whether a peer's word shows that only this node lost the primary.

    Args:
        cause: Why this node wants a change.
        peers_heard_s: How long ago each peer heard the primary; negative for
            never.
        policy: The tunables.
    """
    if cause not in (Cause.SILENT, Cause.REFUSED):
        return False
    return any(0 <= heard < policy.opinion_s for heard in peers_heard_s)


def fence_needed(
    replicas: int, vanished_s: list[float], sync_replicas: int
) -> int:
    """Returns how many members must be paused before a promotion.

    Args:
        replicas: Members that are listed, without the old primary.
        vanished_s: For each member that went without leaving in order, the
            seconds since; it may hold a commit that nobody else does.
        sync_replicas: How many replicas must receive a commit.
    """
    recent = sum(since < VANISHED_S for since in vanished_s)
    return _freshness.fence_size(replicas + recent, sync_replicas)


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
