"""A node: wires the catalogue, the groups, the peers and the sessions."""

import typing

import attrs
import ferry_decisions as decisions
import ferry_runtime as runtime

from ferry_proxy import _catalogue
from ferry_proxy import _configuration
from ferry_proxy import _events
from ferry_proxy import _execution
from ferry_proxy import _groups
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _metrics
from ferry_proxy import _peer_messages
from ferry_proxy import _peers
from ferry_proxy import _policy
from ferry_proxy import _promotions
from ferry_proxy import _reach
from ferry_proxy import _registrar
from ferry_proxy import _sessions
from ferry_proxy import _store
from ferry_proxy import _surveys

CHECK_S = 0.1  # How often the evidence on primaries is weighed.
SYNC_S = 0.4  # How often peers are asked while the store does not answer.
SWEEP_S = 0.25  # How often idle transactions are looked for.
STOP_STEP_S = 0.05
MIN_LINKS = 1
SPARE_NODES = 1  # One more node may come while a leaving one still runs.
END_MARGIN_S = 0.6  # A process is gone this long before it would be killed.


@attrs.frozen(slots=True)
class NodeIdentity:
    """Who a node is and how it is stopped.

    Attributes:
        name: Its name, unique among nodes.
        host: Its IP number.
        data_centre: Where it runs.
        peer_port: The port that peers connect to.
        seeds: Addresses of peers, to begin with when the store is away.
        grace_s: Seconds from the stop signal to the kill.
    """

    name: str
    host: str
    data_centre: str
    peer_port: int
    seeds: tuple[tuple[str, int], ...]
    grace_s: float


@attrs.frozen(slots=True)
class Platform:
    """The adapters through which a node reaches the outside.

    Attributes:
        store: The key-value store.
        layout: Where the store keeps what, and how it is decoded.
        connector: Opens links to members.
        promotions: The call that makes a member the primary.
    """

    store: _store.Store
    layout: _catalogue.Layout
    connector: _links.Connector
    promotions: _store.Promotions


class FrontControl(typing.Protocol):
    """What a stop needs of the callers' side."""

    def is_noticed(self) -> bool:
        """Whether the balancer sends no new callers any more."""

    def close_resting(self) -> None:
        """Takes no more callers, and lets go those without a request."""

    def is_empty(self) -> bool:
        """Whether no caller is left."""


class Proxy:
    """All parts of a node but its fronts."""

    def __init__(
        self,
        loop: runtime.EventLoop,
        identity: NodeIdentity,
        platform: Platform,
        policy: _policy.Policy,
    ) -> None:
        self._loop = loop
        self._identity = identity
        self._platform = platform
        self._policy = policy
        self._groups: dict[str, _groups.Group] = {}
        self._promoters: dict[str, _promotions.Promoter] = {}
        self._sessions: dict[int, _sessions.Session] = {}
        self._own = _catalogue.NodeEntry(
            identity.name, identity.host, identity.peer_port
        )
        self.metrics = _metrics.Metrics()
        self.stopping = False
        self.catalogue = _catalogue.Catalogue(
            loop, platform.store, platform.layout, policy
        )
        self.mesh = _peers.Mesh(
            loop, self._own, self._answer_peer, lambda: self.catalogue.newest
        )
        self._surveys = _surveys.Surveys(loop, identity.name, self.mesh)
        self.reach = _reach.Reach(loop, policy, self.mesh, self._groups)
        self.catalogue.on_change.append(self._apply)
        self._registrar = _registrar.Registrar(
            loop, self._own, platform.store, self.catalogue, self.mesh
        )
        self._executor = _execution.Executor(loop, policy)
        self._ctx = _sessions.SessionContext(
            clock=loop,
            policy=policy,
            executor=self._executor,
            metrics=self.metrics,
            configuration=lambda: self.catalogue.configuration,
            group=self._groups.get,
        )
        self._timers = [
            decisions.PeriodicTimer(loop, policy.probe_s, self._probe),
            decisions.PeriodicTimer(loop, CHECK_S, self._check_primaries),
            decisions.PeriodicTimer(loop, SYNC_S, self._look),
            decisions.PeriodicTimer(loop, SWEEP_S, self._sweep),
        ]
        loop.on_late(self._forgive)
        self._add_gauges()

    def start(self) -> None:
        """Begins to work."""
        _events.emit(_events.NodeStarted(self._identity.data_centre))
        self.mesh.want([], list(self._identity.seeds))
        self.catalogue.start()

    @property
    def is_ready(self) -> bool:
        """Whether new sessions are wanted."""
        cfg = self.catalogue.configuration
        if self.stopping or cfg is None or not self._groups:
            return False
        if self.reach.is_cut_off:
            return False
        return any(g.leader is not None for g in self._groups.values())

    @property
    def readiness(self) -> str:
        """What decides whether new sessions are wanted, in words."""
        if self.stopping:
            return "stopping"
        if not self.has_configuration:
            return "no configuration yet"
        return "cut off" if self.reach.is_cut_off else "members are known"

    @property
    def has_configuration(self) -> bool:
        """Whether routes are known; before, nothing can be refused by name."""
        return self.catalogue.configuration is not None

    @property
    def session_count(self) -> int:
        """Sessions that are open."""
        return len(self._sessions)

    def open_session(self, database: str) -> _sessions.Session:
        """Begins a session; the front asks whether its database is known."""
        session = _sessions.Session(self._ctx, database)
        self._sessions[session.id] = session
        return session

    def close_session(self, session: _sessions.Session) -> None:
        """Ends a session whose caller is gone."""
        self._sessions.pop(session.id, None)
        session.close()

    def close(self) -> None:
        """Ends all parts."""
        for timer in self._timers:
            timer.stop()
        self.catalogue.stop()
        self.mesh.close()
        for group in self._groups.values():
            group.set_members({}, 0)

    # -- what the catalogue says -----------------------------------------

    def _apply(self) -> None:
        """Brings groups and peers in line with the catalogue."""
        catalogue = self.catalogue
        cfg = catalogue.configuration
        nodes = list(catalogue.nodes.values())
        self.mesh.want(nodes, list(self._identity.seeds))
        if cfg is None:
            return
        by_service: dict[str, dict[str, _members.Member]] = {}
        for member in catalogue.members.values():
            by_service.setdefault(member.service, {})[member.id] = member
        for name, service in cfg.services.items():
            self._apply_service(name, service, by_service.get(name, {}))
        self._expect_changes()

    def _apply_service(
        self,
        name: str,
        service: _configuration.Service,
        members: dict[str, _members.Member],
    ) -> None:
        group = self._groups.get(name)
        if group is None:
            group = self._add_group(name, service)
        before = set(group.pools)
        led = {n for n, p in group.pools.items() if p.member.leads}
        group.service = service
        group.set_members(members, self._limit(service))
        leads = {n for n, m in members.items() if m.leads}
        if before != members.keys() or leads != led:
            group.refresh()
        self._promoters[name].check()

    def _add_group(
        self, name: str, service: _configuration.Service
    ) -> _groups.Group:
        group = _groups.Group(
            self._loop,
            service,
            self._identity.data_centre,
            self._platform.connector,
            self._policy,
        )
        self._groups[name] = group
        ctx = _promotions.PromoterContext(
            clock=self._loop,
            policy=self._policy,
            node=self._identity.name,
            catalogue=self.catalogue,
            store=self._platform.store,
            promotions=self._platform.promotions,
            mesh=self.mesh,
            note_promoted=self._note_promoted,
            is_stopping=lambda: self.stopping,
        )
        self._promoters[name] = _promotions.Promoter(ctx, group)
        self.metrics.gauge(
            "connections",
            lambda: sum(p.size for p in group.pools.values()),
            service=name,
        )
        return group

    def _limit(self, service: _configuration.Service) -> int:
        """Returns this node's share of a member's connections."""
        names = {*self.catalogue.nodes, self._identity.name}
        share = service.max_connections // (len(names) + SPARE_NODES)
        return max(MIN_LINKS, share)

    def _expect_changes(self) -> None:
        for service, held in self.catalogue.claims.items():
            group = self._groups.get(service)
            age = self._loop.boot_now() - held.seen_at
            fresh = age < self._policy.claim_valid_s
            if group is not None and not held.claim.done and fresh:
                group.expect_change()

    def _note_promoted(self, cause: str, elapsed_s: float) -> None:
        self.metrics.count("promotions_total", cause=cause)

    # -- periodic work ---------------------------------------------------

    def _probe(self) -> None:
        for group in self._groups.values():
            self._surveys.survey(group)

    def _check_primaries(self) -> None:
        self.reach.judge()
        for promoter in self._promoters.values():
            promoter.check()

    def _forgive(self, late_s: float) -> None:
        """A pause of this process is not held against the members."""
        if late_s < self._policy.probe_timeout_s:
            return
        now = self._loop.now()
        for group in self._groups.values():
            group.leaderless_since = max(
                group.leaderless_since, now - self._policy.probe_s
            )
            for pool in group.pools.values():
                pool.heard = min(now, pool.heard + late_s)

    def _look(self) -> None:
        if not self.stopping:
            self._registrar.look()

    def _sweep(self) -> None:
        now = self._loop.now()
        for session in self._sessions.values():
            session.end_if_idle(now)

    # -- peers -----------------------------------------------------------

    def _answer_peer(
        self, body: _peer_messages.Message
    ) -> "_peer_messages.Message | None":
        if isinstance(body, _peer_messages.SyncRequest):
            rows = [
                (i.key, i.value, i.revision)
                for i in self.catalogue.newer_than(body.after)
            ]
            return _peer_messages.SyncReply(rows)
        if isinstance(body, _peer_messages.SurveyRequest):
            group = self._groups.get(body.service)
            if group is None:
                return _peer_messages.NO_SURVEY
            return self._surveys.answer(group)
        if isinstance(body, _peer_messages.OpinionRequest):
            return self._opinion(body)
        if isinstance(body, _peer_messages.LeaderNotice):
            group = self._groups.get(body.service)
            if group is not None:
                group.note_leader(_members.Leader(body.member, body.term))
                group.refresh()
        return None

    def _opinion(
        self, body: _peer_messages.OpinionRequest
    ) -> _peer_messages.OpinionReply:
        group = self._groups.get(body.service)
        pool = group.pools.get(body.member) if group else None
        if pool is None:
            return _peer_messages.OpinionReply(-1.0)
        return _peer_messages.OpinionReply(self._loop.now() - pool.heard)

    # -- the end ---------------------------------------------------------

    def stop(self, front: "FrontControl") -> "decisions.Future[int]":
        """Stops in order; the future tells how many sessions were cut."""
        self.stopping = True
        _events.emit(_events.NodeStopping(self.session_count))
        return decisions.start(self._stop(front))

    def _stop(self, front: "FrontControl") -> "decisions.Flow[int]":
        loop = self._loop
        begun = loop.now()
        half = self._identity.grace_s / 2
        end = begun + self._identity.grace_s - END_MARGIN_S
        while not front.is_noticed() and loop.now() - begun < half:
            yield decisions.sleep(loop, STOP_STEP_S)
        while loop.now() < end and not (front.is_empty() and self._is_calm):
            front.close_resting()
            if loop.now() - begun >= half:
                for session in list(self._sessions.values()):
                    session.end_transaction(decisions.TRANSACTION_LOST)
            yield decisions.sleep(loop, STOP_STEP_S)
        cut = self.session_count
        _events.emit(_events.NodeStopped(cut))
        return cut

    @property
    def _is_calm(self) -> bool:
        """Whether no change of primary is under way here."""
        return not any(p.is_busy for p in self._promoters.values())

    def _add_gauges(self) -> None:
        metrics = self.metrics
        metrics.gauge("sessions", lambda: float(self.session_count))
        metrics.gauge("store_age_seconds", lambda: self.catalogue.age_s)
        metrics.gauge(
            "configuration_version",
            lambda: float(
                self.catalogue.configuration.version
                if self.catalogue.configuration
                else 0
            ),
        )
        metrics.gauge("peers", lambda: float(len(self.mesh.connected)))
