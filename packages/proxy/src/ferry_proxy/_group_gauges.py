"""Gauges of one group that a node serves."""

from collections.abc import Callable

from ferry_proxy import _groups
from ferry_proxy import _metrics
from ferry_proxy import _pools

FindGroup = Callable[[], _groups.Group | None]


def add(metrics: _metrics.Metrics, service: str, find: FindGroup) -> None:
    """Adds the gauges of a group.

    Args:
        metrics: The metrics that they are added to.
        service: The group's name.
        find: Returns the group; None once it is dropped.
    """
    metrics.gauge(
        "connections",
        lambda: float(sum(p.size for p in _pools_of(find()))),
        service=service,
    )
    metrics.gauge(
        "members_ejected",
        lambda: float(
            sum(p.contact.outcomes.is_ejected for p in _pools_of(find()))
        ),
        service=service,
    )
    metrics.gauge(
        "departures_open",
        lambda: float(_count_departures(find())),
        service=service,
    )
    metrics.gauge(
        "commits_stalled",
        lambda: float(_is_stalled(find())),
        service=service,
    )


def _pools_of(group: _groups.Group | None) -> list[_pools.Pool]:
    return [] if group is None else list(group.pools.values())


def _count_departures(group: _groups.Group | None) -> int:
    """Returns how many departed members' commits may lack a second copy."""
    return 0 if group is None else len(group.departures.open())


def _is_stalled(group: _groups.Group | None) -> bool:
    """Whether writes are refused since no replica receives commits."""
    leader = None if group is None else group.leader_pool
    if group is None or leader is None:
        return False
    return group.commits.is_stalled(leader)
