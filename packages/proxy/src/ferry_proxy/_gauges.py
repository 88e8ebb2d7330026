"""The figures of a node that are read when its metrics are asked for."""

from collections.abc import Callable

import attrs

from ferry_proxy import _catalogue
from ferry_proxy import _currency
from ferry_proxy import _followers
from ferry_proxy import _mesh
from ferry_proxy import _metrics
from ferry_proxy import _rate_limiter


@attrs.frozen(slots=True)
class Sources:
    """The parts of a node that know the figures."""

    catalogue: _catalogue.Catalogue
    follower: _followers.Follower
    mesh: _mesh.Mesh
    rate_limiter: _rate_limiter.RateLimiter
    currency: _currency.Currency


def add(
    metrics: _metrics.Metrics,
    sources: Sources,
    session_count: Callable[[], int],
) -> None:
    """Adds the gauges of a node.

    Args:
        metrics: Where to.
        sources: Who knows the figures.
        session_count: Returns how many sessions are open.
    """
    catalogue = sources.catalogue
    gauges: dict[str, Callable[[], float]] = {
        "sessions": session_count,
        "store_age_seconds": lambda: sources.follower.age_s,
        "store_era": lambda: catalogue.revision.era,
        "store_revision": lambda: catalogue.revision.number,
        "configuration_version": lambda: catalogue.version,
        "configuration_version_told": lambda: sources.currency.told_version,
        "documents_refused": lambda: catalogue.refused,
        "limit_share": lambda: sources.rate_limiter.share,
        "peers": lambda: len(sources.mesh.connected),
    }
    for name, read in gauges.items():
        metrics.gauge(name, lambda read=read: float(read()))  # type: ignore[misc]
