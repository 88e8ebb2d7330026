"""Whether a node's callers are better off at other nodes.

Answers partitions: a node on the small side of one serves less than the others
do, and the balancer sends callers elsewhere once it says so. A node must not
say so for a trouble that all nodes share, such as a crashed primary, so each
sign here also shows that others fare better.
"""

from collections.abc import Collection
import typing

from ferry_proxy import _clocks
from ferry_proxy import _forwarder
from ferry_proxy import _groups
from ferry_proxy import _mesh
from ferry_proxy import _policy

MOST = 0.5  # Of the peers, or of the groups.
CUT_OFF_S = 1.5  # Longer than a link takes to be opened and lost again.


def others_reach_primary(group: _groups.Group, limit_s: float) -> bool:
    """Whether other nodes reach the primary, and this one does not.

    Args:
        group: The group.
        limit_s: For how long, in seconds.
    """
    pool = group.leader_pool
    if (
        pool is not None
        and pool.contact.link_failing_s > limit_s > pool.contact.silence_s
    ):
        return True
    if group.floor_age_s < limit_s:
        return False
    known = group.leader.member if group.leader else group.last_leader
    return any(
        p.member.leads and p.contact.link_failing_s > limit_s
        for n, p in group.pools.items()
        if n != known
    )


def reaches_primary_only(group: _groups.Group, limit_s: float) -> bool:
    """Whether this node reaches the primary, but none of its replicas.

    Where peers are out of reach too, the replicas are with them, and they have
    chosen another primary or will.

    Args:
        group: The group.
        limit_s: For how long, in seconds.
    """
    leader = group.leader_pool
    if leader is None or leader.contact.link_failing_s > 0:
        return False
    others = [p for p in group.pools.values() if p is not leader]
    lost = all(p.contact.link_failing_s > limit_s for p in others)
    return bool(others) and lost and group.floor_age_s > limit_s


class Groups(typing.Protocol):
    """What is needed of the groups of a node."""

    @property
    def plans(self) -> Collection[str]:
        """All groups, by name."""

    @property
    def groups(self) -> "dict[str, _groups.Group]":
        """The groups that this node serves, by name."""

    def can_serve(self, service: str) -> bool:
        """Whether this node reaches a primary that is known to lead."""


class Reachability:
    """The judgement of one node on what it reaches."""

    def __init__(
        self,
        clock: _clocks.Clock,
        policy: _policy.Policy,
        mesh: _mesh.Connectivity,
        groups: Groups,
        forwarder: _forwarder.Forwarder,
    ) -> None:
        self._clock = clock
        self._limit_s = policy.isolated_s
        self._mesh = mesh
        self._groups = groups
        self._forwarder = forwarder
        self._cut_off_until = float("-inf")
        self._missed: set[str] = set()

    @property
    def is_cut_off(self) -> bool:
        """Whether callers are better off at other nodes."""
        return self._clock.now() < self._cut_off_until

    @property
    def missed(self) -> list[str]:
        """The groups that other nodes serve and this node has lost."""
        return sorted(self._missed)

    def judge(self) -> None:
        """Weighs the signs, a few times a second.

        Once a node is cut off, it stays so for a while or until every group
        has a fresh floor: what shows the trouble comes and goes as links do.
        """
        unserved = self._unserved()
        reached = self._mesh.reached_share(self._limit_s)
        self._missed = {n for n in unserved if self._is_missed(n, reached)}
        if self._missed or self._is_apart(unserved, reached):
            self._cut_off_until = self._clock.now() + CUT_OFF_S
        elif not unserved:
            self._cut_off_until = float("-inf")

    def _unserved(self) -> list[str]:
        """Returns the groups that neither this node nor a peer serves well."""
        return [
            name
            for name in self._groups.plans
            if not self._groups.can_serve(name)
            and not self._forwarder.is_served(name)
        ]

    def _is_missed(self, service: str, reached: float) -> bool:
        """Whether others serve a group that this node has lost.

        A node without links to the group's members goes by the word of those
        that have some: it cannot see for itself that others fare better.
        """
        group = self._groups.groups.get(service)
        if group is None:
            return self._forwarder.is_missed(service)
        if others_reach_primary(group, self._limit_s):
            return True
        return reached < 1.0 and reaches_primary_only(group, self._limit_s)

    def _is_apart(self, unserved: list[str], reached: float) -> bool:
        """Whether most peers and most groups are out of reach."""
        known = len(self._groups.plans)
        return reached < MOST and len(unserved) >= max(1, MOST * known)
