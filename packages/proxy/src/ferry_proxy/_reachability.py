"""Detects that a node's callers are better served by other nodes.

In a partition, a node on the minority side can serve less than the others do.
Once it reports itself as cut off, the load balancer sends callers elsewhere.
It must not do so for a failure that affects all nodes alike, such as a crashed
primary, so each criterion here also shows that other nodes are better off.
"""

from collections.abc import Collection
import typing

from ferry_proxy import _clocks
from ferry_proxy import _groups
from ferry_proxy import _mesh
from ferry_proxy import _policy
from ferry_proxy.placement import _data_centres

# A node is isolated if it reaches less than this share of the fleet, and at
# least this share of the groups is not served.
MAJORITY_SHARE = 0.5
# A node stays cut off for this long after the last sign of it. Opening a link
# and losing it again takes less.
CUT_OFF_S = 1.5


def others_reach_primary(group: _groups.Group, limit_s: float) -> bool:
    """Whether other nodes reach the primary while this one does not.

    Args:
        group: The group.
        limit_s: For how long this must have lasted, in seconds.
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

    If peers are unreachable too, the replicas are on their side of a
    partition, where another primary has been promoted or will be.

    Args:
        group: The group.
        limit_s: For how long this must have lasted, in seconds.
    """
    leader = group.leader_pool
    if leader is None or leader.contact.link_failing_s > 0:
        return False
    replicas = [p for p in group.pools.values() if p is not leader]
    replicas_lost = all(p.contact.link_failing_s > limit_s for p in replicas)
    return bool(replicas) and replicas_lost and group.floor_age_s > limit_s


class Mesh(_mesh.Connectivity, typing.Protocol):
    """The view of the streams that reachability depends on."""

    def contact(self, limit_s: float) -> _data_centres.FleetContact:
        """Returns the contact with all data centres that have streams.

        Args:
            limit_s: The greatest silence of a peer in contact, in seconds.
        """


class Groups(typing.Protocol):
    """The view of a node's groups that reachability depends on."""

    @property
    def plans(self) -> Collection[str]:
        """The names of all groups of the fleet."""

    @property
    def groups(self) -> "dict[str, _groups.Group]":
        """The groups that this node serves, by name."""

    def can_serve(self, service: str) -> bool:
        """Whether this node reaches a confirmed primary of a group."""


class Reports(typing.Protocol):
    """What serving nodes report about the groups that they serve."""

    def is_served(self, service: str) -> bool:
        """Whether a responsive peer can currently serve a group."""

    def is_missed(self, service: str) -> bool:
        """Whether a responsive serving node reports a group as missed."""


class Reachability:
    """Evaluates whether this node is cut off from groups or peers."""

    def __init__(
        self,
        clock: _clocks.Clock,
        policy: _policy.Policy,
        mesh: Mesh,
        groups: Groups,
        forwarder: Reports,
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
        """Whether callers are better served by other nodes."""
        return self._clock.now() < self._cut_off_until

    @property
    def missed(self) -> list[str]:
        """The groups that other nodes serve and this node has lost."""
        return sorted(self._missed)

    def evaluate(self) -> None:
        """Updates the state; called a few times a second.

        A node that is cut off stays so for `CUT_OFF_S` or until every group is
        served. The criteria alone would flap, as links are opened and lost.
        """
        unserved = self._unserved()
        reached = self._mesh.reached_share(self._limit_s)
        self._missed = {n for n in unserved if self._is_missed(n, reached)}
        contact = self._mesh.contact(self._limit_s)
        if contact.is_separated(self._limit_s):
            self._missed.update(unserved)
        if self._missed or self._is_isolated(unserved, contact):
            self._cut_off_until = self._clock.now() + CUT_OFF_S
        elif not unserved:
            self._cut_off_until = float("-inf")

    def _unserved(self) -> list[str]:
        """Returns the groups that neither this node nor a peer can serve."""
        return [
            name
            for name in self._groups.plans
            if not self._groups.can_serve(name)
            and not self._forwarder.is_served(name)
        ]

    def _is_missed(self, service: str, reached: float) -> bool:
        """Whether other nodes serve a group that this node has lost.

        A node without links to the group's members cannot see this itself, so
        it relies on the reports of the group's serving nodes.
        """
        group = self._groups.groups.get(service)
        if group is None:
            return self._forwarder.is_missed(service)
        if others_reach_primary(group, self._limit_s):
            return True
        return reached < 1.0 and reaches_primary_only(group, self._limit_s)

    def _is_isolated(
        self, unserved: list[str], contact: _data_centres.FleetContact
    ) -> bool:
        """Whether most nodes are unreachable and most groups unserved."""
        known_groups = len(self._groups.plans)
        is_minority = contact.reached_share < MAJORITY_SHARE
        return is_minority and len(unserved) >= max(
            1, MAJORITY_SHARE * known_groups
        )
