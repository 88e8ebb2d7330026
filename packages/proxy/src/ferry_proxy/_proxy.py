"""A node of the proxy: connects catalogue, groups, peers and sessions."""

import ferry_decisions as decisions
import ferry_runtime as runtime

from ferry_proxy import _access
from ferry_proxy import _catalogue
from ferry_proxy import _currency
from ferry_proxy import _events
from ferry_proxy import _features
from ferry_proxy import _followers
from ferry_proxy import _forwarder
from ferry_proxy import _forwarding
from ferry_proxy import _gauges
from ferry_proxy import _identity
from ferry_proxy import _lost_nodes
from ferry_proxy import _mesh
from ferry_proxy import _metrics
from ferry_proxy import _operation_gate
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

# The resolution of the ticker that runs all periodic work of a node.
TICK_S = 0.1
# How often the state of primaries, peers and limits is checked.
CHECK_S = 0.1
# How often sessions are checked for idle transactions.
IDLE_CHECK_S = 0.3


class Proxy:
    """A node without the fronts, which speak the callers' protocols.

    Attributes:
        metrics: The node's counters and gauges.
        ticker: Runs the node's periodic work.
        stopping: Whether the node is shutting down.
        catalogue: The local copy of the store.
        mesh: The streams to other nodes.
        reach: Whether callers are better served by other nodes.
    """

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
        self._announced_state: _peer_messages.Ping | None = None
        self._own = _records.NodeEntry(
            identity.name,
            identity.host,
            identity.peer_port,
            identity.data_centre,
            identity.cores,
            identity.link_mbps,
        )
        self.metrics = _metrics.Metrics()
        self.ticker = decisions.Ticker(loop, TICK_S)
        self.stopping = False
        self._started_at = loop.now()
        self.catalogue = _catalogue.Catalogue(loop, platform.layout, policy)
        self.catalogue.on_change.append(self._apply)
        self._features = _features.Features(
            policy, lambda: self.catalogue.configuration
        )
        self._roster = _roster.Roster(loop, self.catalogue, self._own.name)
        refusals = _refusals.Refusals(
            lambda: self._currency.evidence, policy.max_copy_age_s
        )
        access = _access.Access(
            policy.has_teams, lambda: self.catalogue.configuration, refusals
        )
        self._gate = _operation_gate.OperationGate()
        self._serving = _serving.Serving(
            loop, self._own_runner, access, self._gate
        )
        self._connect_peers()
        self._session_context = _sessions.SessionContext(
            clock=loop,
            metrics=self.metrics,
            configuration=lambda: self.catalogue.configuration,
            runner=self._runner,
            access=access,
            refusals=refusals,
            features=self._features,
            gate=self._gate,
        )
        self.ticker.subscribe(policy.probe_s, self._groups.survey)
        self.ticker.subscribe(CHECK_S, self._check)
        self.ticker.subscribe(IDLE_CHECK_S, self._end_idle_transactions)
        loop.on_process_pause(self._groups.exclude_pause)
        _gauges.add(
            self.metrics,
            _gauges.Sources(
                catalogue=self.catalogue,
                follower=self._follower,
                mesh=self.mesh,
                rate_limiter=self._rate_limiter,
                currency=self._currency,
                groups=self._groups,
                features=self._features,
                reach=self.reach,
                loads=self._forwarder.loads,
            ),
            lambda: self.session_count,
        )

    def _connect_peers(self) -> None:
        """Creates the parts that call other nodes and that serve them."""
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
                features=self._features,
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
            self._features,
        )
        self.reach = _reachability.Reachability(
            loop, self._policy, self.mesh, self._groups, self._forwarder
        )
        self._message_handler = _peer_handler.PeerMessageHandler(
            loop,
            self.catalogue,
            self._follower,
            self._groups,
            self._serving,
            self.reach,
            self._rate_limiter,
        )
        self.mesh.open(self._message_handler, self.ticker)
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
        """Starts to follow the store."""
        _events.emit(_events.NodeStarted(self._identity.data_centre))
        self._follower.start()

    @property
    def is_ready(self) -> bool:
        """Whether this node accepts new sessions."""
        return self._unready_reason is None

    @property
    def readiness(self) -> str:
        """Why this node accepts new sessions or does not, as text."""
        reason = self._unready_reason
        return "members are known" if reason is None else reason.value

    @property
    def _unready_reason(self) -> _readiness.Unready | None:
        inputs = _readiness.ReadinessInputs(
            is_stopping=self.stopping,
            has_configuration=self.has_configuration,
            awaits_peers=self._registrar.awaits_peers,
            is_cut_off=self.reach.is_cut_off,
            knows_primary=self._knows_primary,
        )
        return _readiness.unready_reason(inputs)

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
        """Whether routes are known; until then no route can be refused."""
        return self.catalogue.configuration is not None

    def plan_of(self, service: str) -> list[str]:
        """Returns the names of the nodes that serve a group."""
        plan = self._groups.plans.get(service)
        return sorted(plan.nodes) if plan else []

    @property
    def session_count(self) -> int:
        """How many sessions are open."""
        return len(self._sessions)

    def open_session(self, database: str, key: str) -> _sessions.Session:
        """Opens a session; the front has to check whether it is admitted.

        Args:
            database: The database that the caller asks for.
            key: The key that the caller presents.
        """
        session = _sessions.Session(self._session_context, database, key)
        self._sessions[session.id] = session
        return session

    def close_session(self, session: _sessions.Session) -> None:
        """Closes a session whose caller has disconnected."""
        self._sessions.pop(session.id, None)
        session.close()

    def close(self) -> None:
        """Stops all parts of the node."""
        self.ticker.stop()
        self._follower.stop()
        self.mesh.close()
        self._groups.close()

    # -- updates from the catalogue --------------------------------------

    def _apply(self) -> None:
        """Updates groups and peers from the catalogue."""
        if self._roster.update():
            self._apply_roster()
        elif self._roster.is_known:
            self._apply_groups()

    def _apply_roster(self) -> None:
        self._apply_groups()
        self._set_peers()

    def _apply_groups(self) -> None:
        cfg = self.catalogue.configuration
        if cfg is not None:
            self._groups.apply(cfg)

    def _set_peers(self) -> None:
        """Sets the nodes to connect to, with the seeds if they are needed."""
        seeds = self._identity.seeds if self._needs_seeds else ()
        self.mesh.set_nodes(self._roster.nodes.values(), seeds)
        self._want_peers()

    @property
    def _needs_seeds(self) -> bool:
        waited_s = self._loop.now() - self._started_at
        return _roster.needs_seeds(self.catalogue.is_read, waited_s)

    def _want_peers(self) -> None:
        extra = self._groups.peers()
        for service in self._groups.plans:
            extra += self._forwarder.wanted(service)
        self.mesh.want(extra)

    def _runner(self, service: str, team: str) -> _runners.Runner | None:
        """Returns what runs a group's statements: this node or a peer.

        Args:
            service: The group.
            team: The caller's team; empty if callers have none.

        Returns:
            The runner, or None if the group is unknown.
        """
        served = self._groups.find(service)
        if served is not None and self._runs_here(service, team):
            return served.runner
        if service in self._groups.plans:
            return _forwarding.RemoteRunner(self._forwarder, service)
        return None

    def _runs_here(self, service: str, team: str) -> bool:
        """Whether no peer should run the statements instead of this node."""
        if self._groups.can_serve(service):
            return not self._forwarder.is_served_by_peer(service, team)
        return not self._forwarder.is_served(service)

    def _own_runner(self, service: str) -> _runners.Runner | None:
        served = self._groups.find(service)
        return None if served is None else served.runner

    # -- periodic work ---------------------------------------------------

    def _check(self) -> None:
        self.reach.evaluate()
        self._rate_limiter.check()
        self._groups.check()
        if self._needs_seeds:
            self._set_peers()
        elif self._roster.update():
            self._apply_roster()
        else:
            self._want_peers()
        self._announce_changes()
        if not self.stopping:
            self._registrar.update()
            self._lost_nodes.check()

    def _announce_changes(self) -> None:
        """Pings the peers at once if this node's state has changed."""
        new_state = self._message_handler.describe().state
        if new_state != self._announced_state:
            self._announced_state = new_state
            self.mesh.announce()

    def _end_idle_transactions(self) -> None:
        for session in self._sessions.values():
            session.end_if_idle(self._loop.now())

    # -- shutdown --------------------------------------------------------

    def stop(
        self, front: _planned_stop.FrontControl
    ) -> "decisions.Future[int]":
        """Shuts the node down in order.

        Args:
            front: The front, which closes its callers' connections.

        Returns:
            How many sessions were cut off.
        """
        self.stopping = True
        self.mesh.announce()
        _events.emit(_events.NodeStopping(self.session_count))
        work = _planned_stop.RemainingWork(
            sessions=self._sessions.values(),
            serving=self._serving,
            gate=self._gate,
            is_primary_changing=lambda: self._groups.is_busy,
        )
        return decisions.start(
            _planned_stop.stop(self._loop, self._identity.grace_s, front, work)
        )
