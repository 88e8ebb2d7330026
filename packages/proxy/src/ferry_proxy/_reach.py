"""Whether a node's callers are better off at other nodes.

Answers partitions: a node on the small side of one serves less than the others
do, and the balancer sends callers elsewhere once it says so. A node must not
say so for a trouble that all nodes share, such as a crashed primary, so each
sign here also shows that others fare better.
"""

from ferry_proxy import _clocks
from ferry_proxy import _forwarder
from ferry_proxy import _groups
from ferry_proxy import _mesh
from ferry_proxy import _policy
from ferry_proxy import _served_groups

MOST = 0.5  # Of the peers, or of the groups.
CUT_OFF_S = 1.5  # Longer than a link takes to be opened and lost again.


def is_bypassed(group: _groups.Group, limit_s: float) -> bool:
    """Whether other nodes reach the primary, and this one does not.

    Args:
        group: The group.
        limit_s: For how long, in seconds.
    """
    pool = group.leader_pool
    contact = pool.contact if pool else None
    if contact and contact.troubled_s > limit_s > contact.silence_s:
        return True
    if group.floor_age_s < limit_s:
        return False
    known = group.leader.member if group.leader else group.last_leader
    return any(
        p.member.leads and p.contact.troubled_s > limit_s
        for n, p in group.pools.items()
        if n != known
    )


def is_severed(group: _groups.Group, limit_s: float) -> bool:
    """Whether this node reaches the primary, but none of its replicas.

    Where peers are out of reach too, the replicas are with them, and they have
    chosen another primary or will.

    Args:
        group: The group.
        limit_s: For how long, in seconds.
    """
    leader = group.leader_pool
    if leader is None or leader.contact.troubled_s > 0:
        return False
    others = [p for p in group.pools.values() if p is not leader]
    lost = all(p.contact.troubled_s > limit_s for p in others)
    return bool(others) and lost and group.floor_age_s > limit_s


class Reach:
    """The judgement of one node on what it reaches."""

    def __init__(
        self,
        clock: _clocks.Clock,
        policy: _policy.Policy,
        mesh: _mesh.Mesh,
        groups: _served_groups.ServedGroups,
        forwarder: _forwarder.Forwarder,
    ) -> None:
        self._clock = clock
        self._limit_s = policy.isolated_s
        self._mesh = mesh
        self._groups = groups
        self._forwarder = forwarder
        self._cut_off_until = float("-inf")

    @property
    def is_cut_off(self) -> bool:
        """Whether callers are better off at other nodes."""
        return self._clock.now() < self._cut_off_until

    def judge(self) -> None:
        """Weighs the signs, a few times a second.

        Once a node is cut off, it stays so for a while or until every group
        has a fresh floor: what shows the trouble comes and goes as links do.
        """
        unserved = self._unserved()
        if unserved and self._shows_signs(unserved):
            self._cut_off_until = self._clock.now() + CUT_OFF_S
        elif not unserved:
            self._cut_off_until = float("-inf")

    def _unserved(self) -> list[str]:
        """Returns the groups that neither this node nor a peer serves well."""
        return [
            name
            for name in self._groups.plans
            if not self._groups.serves_well(name)
            and not self._forwarder.is_served(name)
        ]

    def _shows_signs(self, unserved: list[str]) -> bool:
        found = self._groups.groups
        groups = [found[n] for n in unserved if n in found]
        limit = self._limit_s
        if any(is_bypassed(g, limit) for g in groups):
            return True
        reached = self._mesh.reached_share(limit)
        if reached < 1.0 and any(is_severed(g, limit) for g in groups):
            return True
        known = len(self._groups.plans)
        return reached < MOST and len(unserved) >= MOST * known
