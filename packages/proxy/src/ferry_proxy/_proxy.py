"""A node: wires the catalogue, the groups, the peers and the sessions."""

import ferry_decisions as decisions
import ferry_runtime as runtime

from ferry_proxy import _access
from ferry_proxy import _catalogue
from ferry_proxy import _currency
from ferry_proxy import _events
from ferry_proxy import _followers
from ferry_proxy import _forwarder
from ferry_proxy import _forwarding
from ferry_proxy import _gauges
from ferry_proxy import _identity
from ferry_proxy import _lost_nodes
from ferry_proxy import _mesh
from ferry_proxy import _metrics
from ferry_proxy import _peer_handler
from ferry_proxy import _peer_messages
from ferry_proxy import _planned_stop
from ferry_proxy import _policy
from ferry_proxy import _rate_limiter
from ferry_proxy import _reachability
from ferry_proxy import _readiness
from ferry_proxy import _records
from ferry_proxy import _refusals
from ferry_proxy import _registrar
from ferry_proxy import _roster
from ferry_proxy import _runners
from ferry_proxy import _served_groups
from ferry_proxy import _serving
from ferry_proxy import _sessions

STEP_S = 0.1  # All periodic work of a node falls on one grid.
CHECK_S = 0.1  # How often the evidence on primaries is weighed.
SWEEP_S = 0.3  # How often idle transactions are looked for.
SEEDS_AFTER_S = 0.2  # Many round trips to the store, and a loaded machine's.


class Proxy:
    """All parts of a node but its fronts."""

    def __init__(
        self,
        loop: runtime.EventLoop,
        identity: _identity.NodeIdentity,
        platform: _identity.Platform,
        policy: _policy.Policy,
    ) -> None:
        self._loop = loop
        self._identity = identity
        self._platform = platform
        self._policy = policy
        self._sessions: dict[int, _sessions.Session] = {}
        self._announced: _peer_messages.Ping | None = None
        self._own = _records.NodeEntry(
            identity.name,
            identity.host,
            identity.peer_port,
            identity.data_centre,
            identity.cores,
            identity.link_mbps,
        )
        self.metrics = _metrics.Metrics()
        self.ticker = decisions.Ticker(loop, STEP_S)
        self.stopping = False
        self._begun = loop.now()
        self.catalogue = _catalogue.Catalogue(loop, platform.layout, policy)
        self.catalogue.on_change.append(self._apply)
        self._roster = _roster.Roster(loop, self.catalogue, self._own.name)
        refusals = _refusals.Refusals(
            lambda: self._currency.evidence, policy.max_store_age_s
        )
        access = _access.Access(
            policy.has_teams, lambda: self.catalogue.configuration, refusals
        )
        self._serving = _serving.Serving(loop, self._own_runner, access)
        self._connect_peers()
        self._ctx = _sessions.SessionContext(
            clock=loop,
            metrics=self.metrics,
            configuration=lambda: self.catalogue.configuration,
            runner=self._runner,
            access=access,
            refusals=refusals,
        )
        self.ticker.subscribe(policy.probe_s, self._groups.survey)
        self.ticker.subscribe(CHECK_S, self._check)
        self.ticker.subscribe(SWEEP_S, self._sweep)
        loop.on_process_pause(self._groups.exclude_pause)
        _gauges.add(
            self.metrics,
            _gauges.Sources(
                self.catalogue,
                self._follower,
                self.mesh,
                self._rate_limiter,
                self._currency,
            ),
            lambda: self.session_count,
        )

    def _connect_peers(self) -> None:
        """Wires what speaks to other nodes and what serves them."""
        loop, platform = self._loop, self._platform
        self.mesh = _mesh.Mesh(loop, self._own)
        self._follower = _followers.Follower(
            loop,
            platform.store,
            self.catalogue,
            self._own,
            self.mesh,
            self._policy,
        )
        self._currency = _currency.Currency(
            loop, self.catalogue, self._follower, self.mesh
        )
        self._rate_limiter = _rate_limiter.RateLimiter(
            _rate_limiter.RateLimiterContext(
                clock=loop,
                policy=self._policy,
                own=self._own,
                limit_of=self.catalogue.limit_of,
                bucket_owners=lambda: self._groups.bucket_owners,
                team_placement=lambda: self.catalogue.team_placement,
                nodes=lambda: self._roster.nodes,
                streams=lambda: self.mesh.by_name,
            )
        )
        self._groups = _served_groups.ServedGroups(
            _served_groups.GroupsContext(
                clock=loop,
                policy=self._policy,
                own=self._own,
                catalogue=self.catalogue,
                nodes=lambda: self._roster.nodes,
                store=platform.store,
                connector=platform.connector,
                promotions=platform.promotions,
                mesh=self.mesh,
                metrics=self.metrics,
                gate=self._rate_limiter,
                is_stopping=lambda: self.stopping,
            )
        )
        self._forwarder = _forwarder.Forwarder(
            loop,
            self._policy,
            self._own,
            self.mesh,
            lambda s: self._groups.plans.get(s),
            self._want_peers,
            lambda: self.catalogue.team_placement,
        )
        self.reach = _reachability.Reachability(
            loop, self._policy, self.mesh, self._groups, self._forwarder
        )
        self._desk = _peer_handler.PeerMessageHandler(
            loop,
            self.catalogue,
            self._follower,
            self._groups,
            self._serving,
            self.reach,
            self._rate_limiter,
        )
        self.mesh.open(self._desk, self.ticker)
        self._registrar = _registrar.Registrar(
            loop,
            self._own,
            platform.store,
            self.catalogue,
            self._follower,
            self.mesh,
        )
        self._lost_nodes = _lost_nodes.LostNodes(
            loop,
            self._own,
            platform.store,
            self.catalogue,
            self._follower,
            self.mesh,
        )

    def start(self) -> None:
        """Begins to work."""
        _events.emit(_events.NodeStarted(self._identity.data_centre))
        self._follower.start()

    @property
    def is_ready(self) -> bool:
        """Whether new sessions are wanted."""
        return self._why_not is None

    @property
    def readiness(self) -> str:
        """What decides whether new sessions are wanted, in words."""
        why = self._why_not
        return "members are known" if why is None else why.value

    @property
    def _why_not(self) -> _readiness.Unready | None:
        standing = _readiness.ReadinessInputs(
            is_stopping=self.stopping,
            has_configuration=self.has_configuration,
            awaits_peers=self._registrar.awaits_peers,
            is_cut_off=self.reach.is_cut_off,
            knows_primary=self._knows_primary,
        )
        return _readiness.unready_reason(standing)

    @property
    def _knows_primary(self) -> bool:
        groups = self._groups.groups.values()
        if any(g.leader is not None for g in groups):
            return True
        cfg = self.catalogue.configuration
        names = cfg.services if cfg is not None else ()
        return any(self._forwarder.is_served(n) for n in names)

    @property
    def has_configuration(self) -> bool:
        """Whether routes are known; before, nothing can be refused by name."""
        return self.catalogue.configuration is not None

    def plan_of(self, service: str) -> list[str]:
        """Returns the names of the nodes that serve a group."""
        plan = self._groups.plans.get(service)
        return sorted(plan.nodes) if plan else []

    @property
    def session_count(self) -> int:
        """Sessions that are open."""
        return len(self._sessions)

    def open_session(self, database: str, key: str) -> _sessions.Session:
        """Begins a session; the front asks whether it may go on.

        Args:
            database: The database that the caller names.
            key: What the caller says of itself.
        """
        session = _sessions.Session(self._ctx, database, key)
        self._sessions[session.id] = session
        return session

    def close_session(self, session: _sessions.Session) -> None:
        """Ends a session whose caller is gone."""
        self._sessions.pop(session.id, None)
        session.close()

    def close(self) -> None:
        """Ends all parts."""
        self.ticker.stop()
        self._follower.stop()
        self.mesh.close()
        self._groups.close()

    # -- what the catalogue says -----------------------------------------

    def _apply(self) -> None:
        """Brings groups and peers in line with the catalogue."""
        if self._roster.update():
            self._take_roster()
        elif self._roster.is_known:
            self._apply_groups()

    def _take_roster(self) -> None:
        self._apply_groups()
        self._set_peers()

    def _apply_groups(self) -> None:
        cfg = self.catalogue.configuration
        if cfg is not None:
            self._groups.apply(cfg)

    def _set_peers(self) -> None:
        """Connects to neighbours; to seeds while nobody else is known."""
        seeds = self._identity.seeds if self._needs_seeds else ()
        self.mesh.set_nodes(self._roster.nodes.values(), seeds)
        self._want_peers()

    @property
    def _needs_seeds(self) -> bool:
        """Whether the store has not answered for so long that peers have to.

        In a fleet that starts it answers within milliseconds, and all nodes
        would connect to the same three.
        """
        waited = self._loop.now() - self._begun
        return not self.catalogue.is_read and waited > SEEDS_AFTER_S

    def _want_peers(self) -> None:
        extra = self._groups.peers()
        for service in self._groups.plans:
            extra += self._forwarder.wanted(service)
        self.mesh.want(extra)

    def _runner(self, service: str, team: str) -> _runners.Runner | None:
        """Returns who runs a group's statements: this node if it can.

        Args:
            service: The group.
            team: The caller's team; empty where callers have none.
        """
        served = self._groups.find(service)
        if served is not None and self._is_best(service, team):
            return served.runner
        if service in self._groups.plans:
            return _forwarding.RemoteRunner(self._forwarder, service)
        return None

    def _is_best(self, service: str, team: str) -> bool:
        """Whether no peer is better for a group that this node serves."""
        if self._groups.can_serve(service):
            return not self._forwarder.is_served_by_peer(service, team)
        return not self._forwarder.is_served(service)

    def _own_runner(self, service: str) -> _runners.Runner | None:
        served = self._groups.find(service)
        return None if served is None else served.runner

    # -- periodic work ---------------------------------------------------

    def _check(self) -> None:
        self._currency.update()
        self.reach.judge()
        self._rate_limiter.check()
        self._groups.check()
        if self._needs_seeds:
            self._set_peers()
        elif self._roster.update():
            self._take_roster()
        else:
            self._want_peers()
        self._announce()
        if not self.stopping:
            self._registrar.update()
            self._lost_nodes.check()

    def _announce(self) -> None:
        """Tells the peers at once of what they should not wait for."""
        news = self._desk.describe().state
        if news != self._announced:
            self._announced = news
            self.mesh.announce()

    def _sweep(self) -> None:
        now = self._loop.now()
        for session in self._sessions.values():
            session.end_if_idle(now)

    # -- the end ---------------------------------------------------------

    def stop(
        self, front: _planned_stop.FrontControl
    ) -> "decisions.Future[int]":
        """Stops in order; the future tells how many sessions were cut."""
        self.stopping = True
        self.mesh.announce()
        _events.emit(_events.NodeStopping(self.session_count))
        work = _planned_stop.RemainingWork(
            sessions=self._sessions.values(),
            serving=self._serving,
            is_primary_changing=lambda: self._groups.is_busy,
        )
        return decisions.start(
            _planned_stop.stop(self._loop, self._identity.grace_s, front, work)
        )
