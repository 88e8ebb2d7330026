"""The groups that this node serves, updated from the copy of the store."""

from collections.abc import Callable
from collections.abc import Mapping

import attrs

from ferry_proxy import _catalogue
from ferry_proxy import _claimed_changes
from ferry_proxy import _clocks
from ferry_proxy import _configuration
from ferry_proxy import _departure_sync
from ferry_proxy import _execution
from ferry_proxy import _features
from ferry_proxy import _gates
from ferry_proxy import _group_gauges
from ferry_proxy import _groups
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _metrics
from ferry_proxy import _peers
from ferry_proxy import _policy
from ferry_proxy import _promotions
from ferry_proxy import _rate_limiter
from ferry_proxy import _records
from ferry_proxy import _runners
from ferry_proxy import _served_group
from ferry_proxy import _serving_peers
from ferry_proxy import _serving_plan
from ferry_proxy import _store
from ferry_proxy import _surveys
from ferry_proxy.placement import _group_loads
from ferry_proxy.queueing import _demand_exchange

# A node that has just started counts all serving nodes as present for this
# long. Streams to peers open within a second, with one retry.
STARTUP_S = 2.0
# A node keeps a group that other nodes serve now for this long, so that
# commits of its open transactions can still be confirmed.
RETIREMENT_S = 8.0


@attrs.frozen(slots=True)
class GroupsContext:
    """The dependencies of a node's groups.

    Attributes:
        clock: The clock.
        policy: The tunable limits and intervals.
        own: This node's entry.
        catalogue: The local copy of the store.
        nodes: Returns the nodes that take part in the plans, by name.
        store: The store.
        connector: Opens links to members.
        promotions: The platform's call that makes a member the primary.
        mesh: The streams to other nodes.
        metrics: Receives counters and gauges.
        gate: Admits the operations of teams, within their limits.
        features: The optional features that are on.
        is_stopping: Returns whether this node is shutting down.
    """

    clock: _clocks.Clock
    policy: _policy.Policy
    own: _records.NodeEntry
    catalogue: _catalogue.Catalogue
    nodes: Callable[[], Mapping[str, _records.NodeEntry]]
    store: _store.Store
    connector: _links.Connector
    promotions: _store.Promotions
    mesh: "_serving_peers.ServingStreams"
    metrics: _metrics.Metrics
    gate: _gates.Gate
    features: _features.Features
    is_stopping: Callable[[], bool]


_PlanInputs = tuple[dict[str, _records.NodeEntry], dict[str, int]]


class ServedGroups:
    """The plans of all groups, and the groups that this node serves.

    Attributes:
        bucket_owners: The nodes that own the teams' token buckets.
        demands: The exchange of demands with the other serving nodes.
    """

    def __init__(self, ctx: GroupsContext) -> None:
        self._ctx = ctx
        self._executor = _execution.Executor(
            ctx.clock, ctx.policy, ctx.features
        )
        self._served: dict[str, _served_group.ServedGroup] = {}
        self._plans: dict[str, _serving_plan.ServingPlan] = {}
        self._plan_inputs: _PlanInputs | None = None
        self._planner: _serving_plan.Planner | None = None
        self._started_at = ctx.clock.now()
        self.bucket_owners = _rate_limiter.BucketOwners()
        self.demands = _demand_exchange.DemandExchange(
            _demand_exchange.ExchangeContext(
                clock=ctx.clock,
                own=ctx.own.name,
                streams=lambda: ctx.mesh.by_name,
                groups=lambda: self.groups,
                sharing=self._sharing_peers,
                is_on=lambda: ctx.features.is_on(_policy.Feature.SLOT_SHARING),
            )
        )

    @property
    def plans(self) -> Mapping[str, _serving_plan.ServingPlan]:
        """The plans of all groups, by the group's name."""
        return self._plans

    @property
    def groups(self) -> dict[str, _groups.Group]:
        """The groups that this node serves, by name."""
        return {n: s.group for n, s in self._served.items()}

    @property
    def is_busy(self) -> bool:
        """Whether this node is changing the primary of a group."""
        return any(s.promoter.is_busy for s in self._served.values())

    def find(self, service: str) -> _served_group.ServedGroup | None:
        """Returns a group, or None if this node does not serve it."""
        return self._served.get(service)

    def can_serve(self, service: str) -> bool:
        """Whether this node reaches a confirmed primary of a group."""
        served = self._served.get(service)
        if served is None or self._ctx.is_stopping():
            return False
        if served.retires_at is not None:
            return False
        return served.has_confirmed_leader(self._ctx.policy.isolated_s)

    def told_load(self, service: str) -> list[int] | None:
        """Returns a group's load for entry nodes; None if it is not told."""
        served = self._served.get(service)
        feature = _policy.Feature.LOAD_REPORTS
        if served is None or not self._ctx.features.is_on(feature):
            return None
        return _group_loads.load_of(served.group).encode()

    def peers(self) -> list[_records.NodeEntry]:
        """Returns the nodes that this node needs streams to.

        They serve a group together with this node, or own the teams' token
        buckets.
        """
        peers_by_name = {
            node.name: node
            for service in self._served
            if service in self._plans
            for node in self._plans[service].nodes.values()
        }
        if peers_by_name and self._ctx.policy.has_teams:
            nodes = self._ctx.nodes()
            names = self.bucket_owners.names
            peers_by_name.update({n: nodes[n] for n in names if n in nodes})
        peers_by_name.pop(self._ctx.own.name, None)
        return list(peers_by_name.values())

    # -- updates from the catalogue --------------------------------------

    def apply(self, cfg: _configuration.Configuration) -> None:
        """Updates all plans and served groups from the catalogue."""
        by_service: dict[str, dict[str, _members.Member]] = {}
        for member in self._ctx.catalogue.members.values():
            by_service.setdefault(member.service, {})[member.id] = member
        self._update_plans(cfg)
        for name, service in cfg.services.items():
            if self._is_served_here(name) or name in self._served:
                self._apply_service(service, by_service.get(name, {}))
        for name, served in self._served.items():
            if self._is_served_here(name):
                served.retires_at = None
            elif served.retires_at is None:
                served.retires_at = self._ctx.clock.now() + RETIREMENT_S
        self._expect_claimed_changes()
        self.demands.apply()

    def _is_served_here(self, service: str) -> bool:
        plan = self._plans.get(service)
        return plan is not None and self._ctx.own.name in plan.nodes

    def _update_plans(self, cfg: _configuration.Configuration) -> None:
        """Makes new plans if nodes, groups or connection limits have changed.

        Most changes of the store affect none of them, and planning 10 groups
        among 195 nodes takes 4 ms of a core.
        """
        own = self._ctx.own
        nodes = {**self._ctx.nodes(), own.name: own}
        limits = {n: s.max_connections for n, s in cfg.services.items()}
        if (nodes, limits) == self._plan_inputs:
            return
        self._plan_inputs = (nodes, limits)
        planner = _serving_plan.Planner(
            nodes.values(),
            len(limits),
            self._planner,
            self._ctx.policy.has_teams,
        )
        self._planner = planner
        self._set_keepers(planner)
        self._plans = {n: planner.plan(n, m) for n, m in limits.items()}

    def _set_keepers(self, planner: _serving_plan.Planner) -> None:
        names = planner.bucket_owners()
        if names != self.bucket_owners.names:
            since = self._ctx.clock.now()
            self.bucket_owners = _rate_limiter.BucketOwners(names, since)

    def _apply_service(
        self,
        service: _configuration.Service,
        members: dict[str, _members.Member],
    ) -> None:
        served = self._served.get(service.name) or self._add(service)
        group = served.group
        members_before = set(group.pools)
        leaders_before = {n for n, p in group.pools.items() if p.member.leads}
        group.service = service
        plan = self._plans[service.name]
        nodes = 1 + len(self._sharing_peers(service.name))
        group.set_members(members, plan.links, nodes)
        leaders = {n for n, m in members.items() if m.leads}
        if members_before != members.keys() or leaders != leaders_before:
            served.surveys.note_members_changed(group)
        served.departures.read()
        served.promoter.check()

    def _add(
        self, service: _configuration.Service
    ) -> _served_group.ServedGroup:
        ctx = self._ctx
        name = service.name
        group = _groups.Group(
            ctx.clock,
            service,
            ctx.own.data_centre,
            ctx.connector,
            ctx.policy,
            ctx.features,
        )
        group.copy_complete_at = lambda: ctx.catalogue.complete_at
        mesh = _peers.PeerSubset(ctx.mesh, lambda: self._serving_names(name))
        promoter = _promotions.Promoter(
            self._promoter_context(name, mesh), group
        )
        served = _served_group.ServedGroup(
            group,
            promoter,
            _surveys.Surveys(ctx.clock, ctx.own.name, mesh, ctx.policy.probe_s),
            _departure_sync.DepartureSync(
                ctx.clock, ctx.own.name, ctx.store, ctx.catalogue, group, mesh
            ),
            _runners.LocalRunner(
                ctx.clock,
                ctx.policy,
                self._executor,
                group,
                ctx.gate,
                ctx.features,
            ),
        )
        self._served[name] = served
        _group_gauges.add(ctx.metrics, name, lambda: self.groups.get(name))
        return served

    def _promoter_context(
        self, service: str, mesh: _peers.Peers
    ) -> _promotions.PromoterContext:
        ctx = self._ctx
        return _promotions.PromoterContext(
            clock=ctx.clock,
            policy=ctx.policy,
            node=ctx.own.name,
            nodes=lambda: self._serving_names(service),
            catalogue=ctx.catalogue,
            store=ctx.store,
            promotions=ctx.promotions,
            mesh=mesh,
            note_promoted=self._note_promoted,
            is_stopping=ctx.is_stopping,
        )

    def _serving_names(self, service: str) -> set[str]:
        """Returns the names of the group's serving nodes."""
        plan = self._plans.get(service)
        return set(plan.nodes) if plan else set()

    def _drop(self, service: str) -> None:
        """Stops serving a group; links in use close once they are released."""
        served = self._served.pop(service)
        served.promoter.stop()
        served.group.set_members({}, 0)

    def _expect_claimed_changes(self) -> None:
        ctx = self._ctx
        stored = ctx.catalogue.stored_claims
        for service, served in self._served.items():
            held = stored.claims.get(service)
            served.group.claimed_change = _claimed_changes.claimed_change(
                held, stored.orders.get(service), ctx.policy
            )
            if held is None or held.claim.done:
                continue
            if ctx.clock.boot_now() - held.seen_at < ctx.policy.claim_valid_s:
                served.group.expect_primary_change()

    def _note_promoted(self, cause: str, elapsed_s: float) -> None:
        self._ctx.metrics.count("promotions_total", cause=cause)

    # -- periodic work ---------------------------------------------------

    def survey(self) -> None:
        """Updates the floors of all groups, and closes surplus links."""
        for served in self._served.values():
            served.survey()

    def check(self) -> None:
        """Checks all primaries, and drops the groups whose time is over."""
        now = self._ctx.clock.now()
        for name, served in list(self._served.items()):
            if served.retires_at is not None and now >= served.retires_at:
                self._drop(name)
                continue
            served.group.share_among(1 + len(self._sharing_peers(name)))
            if served.retires_at is None and not self._ctx.is_stopping():
                served.departures.update()
            served.promoter.check()
        self.demands.update()

    def _sharing_peers(self, service: str) -> set[str]:
        """Returns the other nodes that send statements to a group's members.

        A node that has just started counts all serving nodes as present. Many
        nodes may start together, and with lower counts they would overload
        the members.
        """
        names = self._serving_names(service) - {self._ctx.own.name}
        if self._ctx.clock.now() - self._started_at < STARTUP_S:
            return names
        limit_s = self._ctx.policy.isolated_s
        streams = self._ctx.mesh.by_name
        return {
            n for n in names if n in streams and streams[n].silence_s < limit_s
        }

    def exclude_pause(self, late_s: float) -> None:
        """Excludes a pause of this process from the members' silence.

        Args:
            late_s: How long the pause was, in seconds.
        """
        policy = self._ctx.policy
        if late_s < policy.probe_timeout_s:
            return
        recent = self._ctx.clock.now() - policy.probe_s
        for served in self._served.values():
            served.exclude_pause(late_s, recent)

    def close(self) -> None:
        """Removes all members, which closes their links."""
        for served in self._served.values():
            served.group.set_members({}, 0)
