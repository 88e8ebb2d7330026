"""Registration of a node's gauges.

A gauge of each member is a function of its pool, registered by a decorator.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import itertools
import sys

import attrs

from ferry_proxy import _catalogue
from ferry_proxy import _currency
from ferry_proxy import _features
from ferry_proxy import _followers
from ferry_proxy import _groups
from ferry_proxy import _mesh
from ferry_proxy import _metrics
from ferry_proxy import _policy
from ferry_proxy import _pools
from ferry_proxy import _rate_limiter
from ferry_proxy import _reachability
from ferry_proxy import _served_groups
from ferry_proxy.placement import _load_reports

# The most members with gauges of their own.
MAX_MEMBERS = 500

# The queue rank behind all others.
LAST_RANK = sys.maxsize

Labels = dict[str, str]
MemberGauge = Callable[[_pools.Pool], float]
_member_gauges: dict[str, MemberGauge] = {}


def _member_gauge(name: str) -> Callable[[MemberGauge], MemberGauge]:
    """Returns a decorator that registers a gauge of each member."""

    def register(read: MemberGauge) -> MemberGauge:
        _member_gauges[name] = read
        return read

    return register


@_member_gauge("member_running")
def _running(pool: _pools.Pool) -> float:
    """Returns the statements of this node that the member runs."""
    return pool.demand.running


@_member_gauge("member_waiting")
def _waiting(pool: _pools.Pool) -> float:
    """Returns the statements that wait at this node."""
    return pool.demand.waiting


@_member_gauge("member_share")
def _share(pool: _pools.Pool) -> float:
    """Returns how many statements this node may have in progress there."""
    return pool.parallel


@_member_gauge("member_expected_wait_seconds")
def _expected_wait(pool: _pools.Pool) -> float:
    """Returns how long the least urgent statement would wait now."""
    return pool.expected_wait_s(LAST_RANK)


@attrs.frozen(slots=True, kw_only=True)
class Sources:
    """The components of a node that the gauges read."""

    catalogue: _catalogue.Catalogue
    follower: _followers.Follower
    mesh: _mesh.Mesh
    rate_limiter: _rate_limiter.RateLimiter
    currency: _currency.Currency
    groups: _served_groups.ServedGroups
    features: _features.Features
    reach: _reachability.Reachability
    loads: _load_reports.LoadReports


def add(
    metrics: _metrics.Metrics,
    sources: Sources,
    session_count: Callable[[], int],
) -> None:
    """Adds the gauges of a node to its metrics.

    Args:
        metrics: The metrics that the gauges are added to.
        sources: The components that they read.
        session_count: Returns the number of open sessions.
    """
    catalogue = sources.catalogue
    demands = sources.groups.demands
    gauges: dict[str, Callable[[], float]] = {
        "sessions": session_count,
        "store_age_seconds": lambda: sources.follower.age_s,
        "copy_age_seconds": lambda: sources.follower.copy_age.seconds,
        "store_follow_restarts": lambda: sources.follower.restarts,
        "store_era": lambda: catalogue.revision.era,
        "store_revision": lambda: catalogue.revision.number,
        "configuration_version": lambda: catalogue.version,
        "configuration_version_told": lambda: sources.currency.told_version,
        "documents_refused": lambda: catalogue.refused,
        "limit_share": lambda: sources.rate_limiter.share,
        "peers": lambda: len(sources.mesh.connected),
        "cut_off": lambda: sources.reach.is_cut_off,
        "entry_refusals": lambda: sources.loads.refusals,
        "load_reports": lambda: len(sources.loads),
        "load_reports_invalid": lambda: sources.loads.invalid,
        "demand_messages": lambda: demands.messages_sent,
        "demand_reports_invalid": lambda: demands.table.invalid,
        "groups_sharing_slots": lambda: len(demands.shared_groups),
    }
    for name, read in gauges.items():
        metrics.gauge(name, lambda read=read: float(read()))  # type: ignore[misc]
    _add_member_gauges(metrics, lambda: sources.groups.groups)
    metrics.family(
        "admission_refusals",
        lambda: _admission_refusals(sources.groups.groups),
    )
    metrics.family("feature_on", lambda: _features_on(sources.features))


def _add_member_gauges(
    metrics: _metrics.Metrics,
    groups: Callable[[], Mapping[str, _groups.Group]],
) -> None:
    for name, read in _member_gauges.items():
        metrics.family(
            name,
            lambda read=read: (  # type: ignore[misc]
                (labels, float(read(pool)))
                for labels, pool in itertools.islice(
                    _members(groups()), MAX_MEMBERS
                )
            ),
        )
    metrics.gauge(
        "members_not_shown",
        lambda: float(
            max(0, sum(len(g.pools) for g in groups().values()) - MAX_MEMBERS)
        ),
    )


def _members(
    groups: Mapping[str, _groups.Group],
) -> Iterator[tuple[Labels, _pools.Pool]]:
    for service, group in sorted(groups.items()):
        for member, pool in sorted(group.pools.items()):
            yield {"service": service, "member": member}, pool


def _admission_refusals(
    groups: Mapping[str, _groups.Group],
) -> Iterator[tuple[Labels, float]]:
    """Yields how many requests the members' queues did not let in."""
    for labels, pool in itertools.islice(_members(groups), MAX_MEMBERS):
        if pool.admission is None:
            continue
        counts: collections.Counter[tuple[str, str]] = collections.Counter()
        for (why, rank), count in pool.admission.refusals.items():
            counts[why.value, _metrics.priority_label(rank)] += count
        for (why_text, priority), count in counts.items():
            yield {**labels, "why": why_text, "priority": priority}, count


def _features_on(
    features: _features.Features,
) -> Iterator[tuple[Labels, float]]:
    for feature in _policy.Feature:
        yield {"feature": feature.value}, float(features.is_on(feature))
