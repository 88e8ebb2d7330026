"""The proxy's own tunables, with their defaults and where they come from."""

import attrs


def _positive(_: object, field: "attrs.Attribute[float]", value: float) -> None:
    if value <= 0:
        raise ValueError(f"{field.name} must be positive")


DRAIN_MARGIN_S = 1.0  # A statement on its way, its hop and a late timer.
LAPSE_HEARTBEATS = 3  # After so many without a word a member is unlisted.


@attrs.frozen(slots=True, kw_only=True)
class Bounds:
    """What the platform demands, or says of itself; times are in seconds.

    Attributes:
        drain_s: When the last statement may reach a member after it began to
            leave.
        configuration_s: When a configuration must be in force.
        heartbeat_s: How often a member writes its entry.
        has_teams: Whether callers belong to teams, and say so by a key.
        limit_window_s: The span over which teams' limits are judged.
        limit_overage: The share of a limit over it that is borne in such a
            span.
        limit_slack: Operations that are borne besides.
    """

    drain_s: float = 7.0
    configuration_s: float = 3.0
    heartbeat_s: float = 1.2
    has_teams: bool = False
    limit_window_s: float = 5.0
    limit_overage: float = 0.1
    limit_slack: float = 20.0


@attrs.frozen(slots=True, kw_only=True)
class Policy:
    """Tunables; all times are in seconds.

    Attributes:
        probe_s: Pause between two rounds of status questions to a group. At
            0.4 s a node costs a member 2.5 questions a second.
        probe_timeout_s: How long a status may take. Calm members answer in
            about 5 ms; a member five times slower still fits.
        connect_timeout_s: How long a new connection may take; a handshake
            costs 12 ms and a network trip 3 ms.
        suspect_s: Silence after which a primary is suspected: two probes.
        unanswered_s: A primary that has answered nothing of what was sent to
            it for so long is suspected, too. Longer than a pause between
            probes; calm members answer in 5 ms, busy ones every 40 ms.
        opinion_s: A peer that heard the primary within this speaks for it.
        doubt_s: A commit that took longer is proved before it counts; twice
            what slow members take in calm.
        stall_s: How long no replica may receive a primary's newest commit.
        claim_valid_s: How long a claim may be acted upon by its holder.
        claim_takeover_s: When others may take a claim over; longer than
            `claim_valid_s` by the longest time that a call may be under way.
        promote_wait_s: How long to wait for a promoted member to lead; a
            promotion takes 0.6 s to 1 s.
        hold_share: The share of a route's target latency for which a request
            may wait for a connection before it is refused. A quarter, less
            the hop and the network: 0.05 of the shortest target is 10 ms.
        failover_hold_share: The share of a route's time limit for which a
            request may wait while a change of primary is under way.
        hedge_share: The share of the target latency after which a read is
            asked at another member too.
        transaction_reserve: Connections of a member that transactions leave
            free for single statements and status questions.
        connect_backoff_s: Pause after a failed connect.
        return_grace_s: After a time without the store, members missing from
            it are kept for this long.
        idle_probe_s: A member that was not heard for so long is asked too.
        isolated_s: Without peers and floors for so long, a node sends callers
            to others. Peers are heard each 0.5 s, floors come each 0.4 s. At
            0.9 s, callers of a data centre that was cut off came back 0.3 s
            later.
        watch_wait_s: How long a watch of the store waits. A silent watch goes
            unnoticed for as long; peers tell of changes meanwhile.
        store_timeout_s: How long a call of the store may take beyond that.
        drain_s: For how long a member that is leaving may get statements.
        entry_lapse_s: How long the platform lists a member that is silent:
            three heartbeats.
        has_teams: Whether callers belong to teams, and say so by a key.
        limit_window_s: The span over which teams' limits are judged.
        limit_overage: The share of a limit over it that is borne in such a
            span.
        limit_slack: Operations that are borne besides.
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
    watch_wait_s: float = attrs.field(default=3.0, validator=_positive)
    store_timeout_s: float = attrs.field(default=0.8, validator=_positive)
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

    @property
    def max_store_age_s(self) -> float:
        """How often a watch of the store brings news, or ends without any."""
        return self.watch_wait_s + self.store_timeout_s

    def within(self, bounds: Bounds) -> "Policy":
        """Returns the tunables that keep what the platform demands."""
        spare = bounds.drain_s - DRAIN_MARGIN_S
        return attrs.evolve(
            self,
            drain_s=max(spare, bounds.drain_s / 2),
            entry_lapse_s=LAPSE_HEARTBEATS * bounds.heartbeat_s,
            watch_wait_s=min(self.watch_wait_s, bounds.configuration_s),
            has_teams=bounds.has_teams,
            limit_window_s=bounds.limit_window_s,
            limit_overage=bounds.limit_overage,
            limit_slack=bounds.limit_slack,
        )
