"""The proxy's tunables, with their defaults and the reasons for them."""

from collections.abc import Mapping
import enum

import attrs


class Feature(enum.Enum):
    """An optional behaviour; the value is its name in the tunables."""

    FAIR_ADMISSION = "fair_admission"
    SLOT_SHARING = "slot_sharing"
    LOAD_REPORTS = "load_reports"
    RETRY_ADVICE = "retry_advice"
    MEMBER_OUTCOMES = "member_outcomes"


def _known_features(
    _: object,
    field: "attrs.Attribute[Mapping[str, bool]]",
    value: Mapping[str, bool],
) -> None:
    names = {f.value for f in Feature}
    unknown = sorted(value.keys() - names)
    if unknown:
        known = ", ".join(sorted(names))
        raise ValueError(f"{field.name}: {unknown[0]!r} is not one of {known}")


def _positive(_: object, field: "attrs.Attribute[float]", value: float) -> None:
    if value <= 0:
        raise ValueError(f"{field.name} must be positive")


# Time reserved for a statement in transit, its hop to another node and a timer
# that fires late.
DRAIN_MARGIN_S = 1.0

# The longest wait of a watch, as a share of the time within which a
# configuration has to take effect. The rest is for reports on their way from
# node to node.
WATCH_WAIT_SHARE = 1 / 3

# The number of missed heartbeats after which the platform unlists a member.
LAPSE_HEARTBEATS = 3


@attrs.frozen(slots=True, kw_only=True)
class Bounds:
    """The platform's requirements and properties; times are in seconds.

    Attributes:
        drain_s: How long after a member began to leave the last statement may
            reach it.
        configuration_s: The time within which a configuration has to take
            effect.
        heartbeat_s: How often a member writes its entry.
        has_teams: Whether callers belong to teams and identify themselves with
            a key.
        limit_window_s: The window over which teams' limits are measured.
        limit_overage: The tolerated excess in such a window, as a share of the
            limit.
        limit_slack: The number of operations that are tolerated in addition.
        has_contention: Whether callers compete for too little capacity.
        distrusts_health: Whether members may fail requests although their
            health check succeeds.
    """

    drain_s: float = 7.0
    configuration_s: float = 3.0
    heartbeat_s: float = 1.2
    has_teams: bool = False
    limit_window_s: float = 5.0
    limit_overage: float = 0.1
    limit_slack: float = 20.0
    has_contention: bool = False
    distrusts_health: bool = False


@attrs.frozen(slots=True, kw_only=True)
class Policy:
    """Tunables; all times are in seconds.

    Attributes:
        probe_s: Pause between two rounds of status requests to a group. At
            0.4 s, each node sends a member 2.5 requests per second.
        probe_timeout_s: Timeout of a status request. An idle member answers in
            about 5 ms; one that is five times slower is still in time.
        connect_timeout_s: Timeout of a new connection. A handshake takes 12 ms
            and a network trip 3 ms.
        suspect_s: Silence after which a primary is suspected. This is the
            time of two probes.
        unanswered_s: A primary that has left everything sent to it unanswered
            for this long is suspected, too. This is longer than the pause
            between probes; idle members answer in 5 ms, busy ones every 40 ms.
        opinion_s: A peer that heard from the primary within this time confirms
            that it is alive.
        doubt_s: A commit that took longer has to be proved before it is
            acknowledged. This is twice what slow members take under normal
            load.
        stall_s: How long a primary's newest commit may remain unreceived by
            all replicas.
        claim_valid_s: How long the holder of a claim may act on it.
        claim_takeover_s: The age at which other nodes may take over a claim.
            It exceeds `claim_valid_s` by the longest time that a call may be
            in flight.
        lease_s: How long only the node that ordered a promotion may order
            further ones in the group; the platform's lease time.
        promote_wait_s: How long to wait for a promoted member to lead; a
            promotion takes 0.6 s to 1 s.
        hold_share: The share of a route's target latency for which a request
            may wait for a connection before it is refused. This is a quarter
            less the time of the hop and the network: 0.05 of the shortest
            target is 10 ms.
        failover_hold_share: The share of a route's time limit for which a
            request may wait while the primary is being changed.
        hedge_share: The share of the target latency after which a read is
            also sent to another member.
        transaction_reserve: The number of a member's connections that
            transactions leave free for single statements and status requests.
        connect_backoff_s: Pause after a failed connection attempt.
        return_grace_s: How long members missing from the store are kept after
            an outage of the store.
        idle_probe_s: A member that has been silent for this long is probed as
            well.
        isolated_s: A node that has neither heard from peers nor received
            floors for this long sends callers to other nodes. Peers send a
            message every 0.5 s, and floors arrive every 0.4 s. With 0.9 s,
            callers of a data centre that was cut off recovered 0.3 s later.
        watch_wait_s: How long a watch of the store waits for changes. Copies
            of the store grow that old in calm, and a watch that has failed
            silently goes unnoticed for that long.
        store_timeout_s: How much longer than that a store call may take.
        max_copy_age_s: The age up to which a copy of the store counts as
            current: the time within which a configuration has to take effect.
        drain_s: How long a member that is leaving may receive statements.
        entry_lapse_s: How long the platform keeps a silent member listed;
            three heartbeats.
        has_teams: Whether callers belong to teams and identify themselves with
            a key.
        limit_window_s: The window over which teams' limits are measured.
        limit_overage: The tolerated excess in such a window, as a share of the
            limit.
        limit_slack: The number of operations that are tolerated in addition.
        has_contention: Whether callers compete for too little capacity.
        distrusts_health: Whether members may fail requests although their
            health check succeeds.
        features: The operator's choices of optional features, by the name of
            the feature; others follow the settings and the configuration.
    """

    probe_s: float = attrs.field(default=0.4, validator=_positive)
    probe_timeout_s: float = attrs.field(default=0.35, validator=_positive)
    connect_timeout_s: float = attrs.field(default=0.4, validator=_positive)
    suspect_s: float = attrs.field(default=0.8, validator=_positive)
    unanswered_s: float = attrs.field(default=0.45, validator=_positive)
    opinion_s: float = attrs.field(default=0.6, validator=_positive)
    doubt_s: float = attrs.field(default=0.25, validator=_positive)
    stall_s: float = attrs.field(default=0.8, validator=_positive)
    claim_valid_s: float = attrs.field(default=1.5, validator=_positive)
    claim_takeover_s: float = attrs.field(default=2.7, validator=_positive)
    lease_s: float = attrs.field(default=3.0, validator=_positive)
    promote_wait_s: float = attrs.field(default=2.0, validator=_positive)
    hold_share: float = attrs.field(default=0.2, validator=_positive)
    failover_hold_share: float = attrs.field(default=0.8, validator=_positive)
    hedge_share: float = attrs.field(default=0.4, validator=_positive)
    transaction_reserve: int = attrs.field(
        default=1, validator=attrs.validators.ge(0)
    )
    connect_backoff_s: float = attrs.field(default=0.25, validator=_positive)
    return_grace_s: float = attrs.field(default=2.5, validator=_positive)
    idle_probe_s: float = attrs.field(default=1.5, validator=_positive)
    isolated_s: float = attrs.field(default=0.7, validator=_positive)
    watch_wait_s: float = attrs.field(default=1.0, validator=_positive)
    store_timeout_s: float = attrs.field(default=0.8, validator=_positive)
    max_copy_age_s: float = attrs.field(default=3.0, validator=_positive)
    drain_s: float = attrs.field(default=6.0, validator=_positive)
    entry_lapse_s: float = attrs.field(default=3.6, validator=_positive)
    has_teams: bool = False
    limit_window_s: float = attrs.field(default=5.0, validator=_positive)
    limit_overage: float = attrs.field(
        default=0.1, validator=attrs.validators.ge(0)
    )
    limit_slack: float = attrs.field(
        default=20.0, validator=attrs.validators.ge(0)
    )
    has_contention: bool = False
    distrusts_health: bool = False
    features: Mapping[str, bool] = attrs.field(
        factory=dict, validator=_known_features
    )

    def within(self, bounds: Bounds) -> "Policy":
        """Returns a copy that meets the platform's requirements."""
        spare = bounds.drain_s - DRAIN_MARGIN_S
        return attrs.evolve(
            self,
            drain_s=max(spare, bounds.drain_s / 2),
            entry_lapse_s=LAPSE_HEARTBEATS * bounds.heartbeat_s,
            watch_wait_s=min(
                self.watch_wait_s, bounds.configuration_s * WATCH_WAIT_SHARE
            ),
            max_copy_age_s=min(self.max_copy_age_s, bounds.configuration_s),
            has_teams=bounds.has_teams,
            limit_window_s=bounds.limit_window_s,
            limit_overage=bounds.limit_overage,
            limit_slack=bounds.limit_slack,
            has_contention=bounds.has_contention,
            distrusts_health=bounds.distrusts_health,
        )
