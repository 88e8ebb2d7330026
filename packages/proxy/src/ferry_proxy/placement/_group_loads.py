"""The load of a group at the node that serves it."""

from collections.abc import Collection

from ferry_proxy import _groups
from ferry_proxy import _pools
from ferry_proxy import _queueing
from ferry_proxy.placement import _load_reports


def load_of(group: _groups.Group) -> _load_reports.Load:
    """Returns the expected waits for a group's members.

    No wait is told for what this node cannot judge: without a usable member,
    or while the primary is being changed and requests are held for it.
    """
    usable = [p for p in group.pools.values() if _is_usable(group, p)]
    leader = group.leader_pool
    is_settled = leader in usable and not group.is_primary_changing
    primary = [leader] if leader is not None and is_settled else []
    if not usable:
        return _load_reports.IDLE
    return _load_reports.Load(
        min(_step_s(p) for p in usable), _waits_s(usable), _waits_s(primary)
    )


def _is_usable(group: _groups.Group, pool: _pools.Pool) -> bool:
    return pool.accepts_statements and group.is_responsive(pool)


def _step_s(pool: _pools.Pool) -> float:
    return _queueing.expected_wait_s(0, pool.parallel, pool.contact.latency_s)


def _waits_s(pools: Collection[_pools.Pool]) -> tuple[float, ...]:
    """Returns the shortest wait at some members by priority."""
    return tuple(
        min((p.expected_wait_s(rank) for p in pools), default=0.0)
        for rank in range(_load_reports.PRIORITIES)
    )
