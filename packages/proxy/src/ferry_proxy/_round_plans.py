"""Which members of a group are asked in a status round."""

from collections.abc import Collection
import typing

from ferry_proxy import _clocks
from ferry_proxy import _freshness
from ferry_proxy import _policy
from ferry_proxy import _pools


class Group(typing.Protocol):
    """The part of a group that the plan depends on.

    Attributes:
        pools: The connection pools of its members, by id.
    """

    pools: dict[str, _pools.Pool]

    @property
    def leader_pool(self) -> _pools.Pool | None:
        """The pool of the primary, or None if no primary is known."""

    @property
    def is_primary_changing(self) -> bool:
        """Whether a change of primary is in progress or expected."""

    @property
    def quorum(self) -> _freshness.Quorum:
        """The replicas that prove that the primary still leads."""

    def is_responsive(self, pool: _pools.Pool) -> bool:
        """Whether a member is reachable and owes no overdue reply."""


class RoundPlan:
    """Selects the members to ask, the replicas in rotation."""

    def __init__(
        self, clock: _clocks.Clock, policy: _policy.Policy, group: Group
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._group = group
        self._next_replica = 0

    def members_to_ask(self, asking: Collection[str]) -> list[_pools.Pool]:
        """Returns the members to request status from in this round.

        These are normally the primary, as many replicas as a proof needs, in
        rotation, and members not heard from lately. All are asked if the
        primary is in doubt. Each request briefly occupies a member's slot.

        Args:
            asking: The ids of members that owe a reply to an earlier request.
        """
        group = self._group
        pools = [p for n, p in group.pools.items() if n not in asking]
        leader = group.leader_pool
        is_stable = leader is not None and not group.is_primary_changing
        if leader is None or not is_stable or not group.is_responsive(leader):
            return pools
        others = [p for p in pools if p is not leader]
        responsive = [p for p in others if group.is_responsive(p)]
        if not responsive:
            return pools
        asked = [leader] if leader in pools else []
        asked += self._replicas_in_turn(responsive)
        asked += [p for p in others if self._is_unheard(p)]
        return list(dict.fromkeys(asked))

    def _replicas_in_turn(
        self, responsive: list[_pools.Pool]
    ) -> list[_pools.Pool]:
        """Returns the replicas of a proof, established ones first."""
        self._next_replica += 1
        quorum, turn = self._group.quorum, self._next_replica % len(responsive)
        replicas = responsive[turn:] + responsive[:turn]
        replicas.sort(key=lambda p: p.member.id not in quorum.established)
        return replicas[: quorum.size]

    def _is_unheard(self, pool: _pools.Pool) -> bool:
        cutoff = self._clock.now() - self._policy.idle_probe_s
        contact = pool.contact
        return contact.heard < cutoff or contact.link_failing_s > 0
