"""Gauges of one group that a node serves."""

from collections.abc import Callable
from collections.abc import Collection

from ferry_proxy import _metrics
from ferry_proxy import _pools


def add(
    metrics: _metrics.Metrics,
    service: str,
    pools: Callable[[], Collection[_pools.Pool]],
) -> None:
    """Adds the gauges of a group.

    Args:
        metrics: The metrics that they are added to.
        service: The group's name.
        pools: Returns the pools of its members; none once it is dropped.
    """
    metrics.gauge(
        "connections",
        lambda: float(sum(p.size for p in pools())),
        service=service,
    )
    metrics.gauge(
        "members_ejected",
        lambda: float(sum(p.contact.outcomes.is_ejected for p in pools())),
        service=service,
    )
