"""Choice of the serving node for the statements of an entry node."""

from collections.abc import Callable
from collections.abc import Mapping
import itertools
import typing

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _features
from ferry_proxy import _peers
from ferry_proxy import _policy
from ferry_proxy import _records
from ferry_proxy import _requests
from ferry_proxy import _serving_plan
from ferry_proxy import _team_placement
from ferry_proxy.placement import _load_reports

# A peer that owes a reply and was not heard from for this long is regarded as
# gone, since a live one sends several messages in that time. Other nodes are
# preferred to it, and its reads are sent to them.
SILENT_PEER_S = 0.3


class Stream(_peers.Peer, typing.Protocol):
    """The part of a stream to a serving node that forwarding depends on.

    Attributes:
        services: The groups that the peer can currently serve.
        missed: The groups that other nodes serve and the peer cannot reach.
        open_transactions: How many of this node's transactions use it.
    """

    services: frozenset[str]
    missed: frozenset[str]
    open_transactions: int

    @property
    def closed(self) -> bool:
        """Whether the stream has ended."""

    @property
    def unresponsive_s(self) -> float:
        """Seconds since the peer was heard from, while it owes a reply."""

    @property
    def pending_calls(self) -> int:
        """The number of requests to the peer without a reply."""


class Mesh(typing.Protocol):
    """The streams to other nodes."""

    @property
    def by_name(self) -> Mapping[str, Stream]:
        """The open streams by the names of the peers."""


@attrs.frozen(slots=True)
class Need:
    """What a request needs of the serving node that runs it.

    Attributes:
        team: The caller's team; empty if callers have none.
        needs_primary: Whether only the primary can run it.
        priority: The queue priority; 0 goes first.
        allowed_s: How long it may wait at a serving node, in seconds.
    """

    team: str = ""
    needs_primary: bool = False
    priority: int = 0
    allowed_s: float = float("inf")

    @classmethod
    def of(
        cls,
        request: _requests.Request,
        needs_primary: bool,
        allowed_s: float,
    ) -> "Need":
        """Returns the need of a request.

        Args:
            request: The request.
            needs_primary: Whether it belongs to a transaction that writes.
            allowed_s: How long it may wait, in seconds.
        """
        return cls(
            request.caller.team,
            needs_primary or request.writes or request.is_primary_only,
            request.route.priority,
            allowed_s,
        )


class Forwarder:
    """Chooses the serving nodes of one entry node.

    Attributes:
        loads: The expected waits that serving nodes told.
    """

    def __init__(
        self,
        clock: _clocks.Clock,
        policy: _policy.Policy,
        own: _records.NodeEntry,
        mesh: Mesh,
        plan: Callable[[str], _serving_plan.ServingPlan | None],
        open_streams: Callable[[], object],
        team_placement: Callable[[], _team_placement.TeamPlacement],
        features: _features.Features = _features.NONE,
    ) -> None:
        """Initializes the forwarder.

        Args:
            clock: The clock.
            policy: The tunables.
            own: The entry node.
            mesh: Its streams.
            plan: Returns the serving plan of a group.
            open_streams: Called when no serving node is left; connects to the
                nodes that are `wanted` now.
            team_placement: Returns the placement of teams on nodes.
            features: The optional features that are on.
        """
        self.features = features
        self.clock = clock
        self.policy = policy
        self.open_streams = open_streams
        self._team_placement = team_placement
        self._own = own
        self._mesh = mesh
        self._plan = plan
        self._draws = itertools.count()
        self.loads = _load_reports.LoadReports(clock)

    @property
    def uses_loads(self) -> bool:
        """Whether nodes are chosen by the waits that they told."""
        return self.features.is_on(_policy.Feature.LOAD_REPORTS)

    def is_served(self, service: str) -> bool:
        """Whether a responsive peer can currently serve a group."""
        return bool(self._capable_streams(service))

    def is_missed(self, service: str) -> bool:
        """Whether a responsive serving node reports a group as missed."""
        return any(
            service in s.missed and self._is_responsive(s)
            for s in self._streams(service)
        )

    def wanted(self, service: str) -> list[_records.NodeEntry]:
        """Returns the nodes to keep streams to: nearby ones, or all if needed.

        If callers belong to teams, all statements of a team go to one node,
        which may be remote, so streams to all nodes are kept.

        A nearby node that stopped responding does not count. Its stream ends
        only 1.6 s after a network partition, and every statement would be
        refused until then.
        """
        plan = self._plan(service)
        if plan is None or self._own.name in plan.nodes:
            return []
        if self.policy.has_teams:
            return list(plan.nodes.values())
        near = plan.near(self._own.data_centre)
        streams = self._mesh.by_name
        for node in near:
            stream = streams.get(node.name)
            if stream is None or service not in stream.services:
                continue
            if self._is_responsive(stream):
                return near
        return list(plan.nodes.values())

    def choose(
        self, service: str, tried: set[str], need: Need
    ) -> Stream | None:
        """Returns the stream to the best serving node, or None.

        Args:
            service: The group.
            tried: The names of nodes to skip.
            need: What the request needs.
        """
        plan = self._plan(service)
        streams = self._usable_streams(service, tried)
        if plan is None or not streams:
            return None
        candidates = self._candidates(service, plan, streams, need)
        if need.team:
            name = self._choose_for_team(plan, candidates, need)
        elif self.uses_loads:
            salt = f"{self._own.name} {next(self._draws)}"
            name = _load_reports.choose(candidates, salt).node
        else:
            name = min(
                candidates,
                key=lambda c: (
                    not c.is_near,
                    c.pending,
                    decisions.rendezvous_score(self._own.name, c.node),
                ),
            ).node
        return self._mesh.by_name[name]

    def late_wait_s(self, service: str, need: Need) -> float | None:
        """Returns the shortest wait if no serving node can help in time.

        Returns:
            The wait in seconds; None if some node may run the request in time.
        """
        plan = self._plan(service)
        if plan is None or not self.uses_loads:
            return None
        streams = self._usable_streams(service, set())
        candidates = self._candidates(service, plan, streams, need)
        return _load_reports.shortest_late_wait_s(candidates, need.allowed_s)

    def admitted_until(self, request: _requests.Request) -> float:
        """Returns until when serving nodes let a request wait for a member.

        With fair admission, one that can meet its target may wait; without it,
        requests are refused sooner.

        Args:
            request: The request.

        Returns:
            The clock time in seconds.
        """
        if self.features.is_on(_policy.Feature.FAIR_ADMISSION):
            return request.arrived + request.route.target_s
        return request.hold_until(self.policy, False)

    def _usable_streams(self, service: str, tried: set[str]) -> list[Stream]:
        """Returns the streams to nodes that may run a group's statements."""
        streams = [s for s in self._streams(service) if s.peer not in tried]
        responsive = [s for s in streams if self._is_responsive(s)]
        capable = [s for s in responsive if service in s.services]
        return capable or responsive

    def _candidates(
        self,
        service: str,
        plan: _serving_plan.ServingPlan,
        streams: list[Stream],
        need: Need,
    ) -> list[_load_reports.Candidate]:
        near = {n.name for n in plan.near(self._own.data_centre)}
        loads = self.loads
        return [
            _load_reports.Candidate(
                node=s.peer,
                is_near=s.peer in near,
                wait_s=loads.wait_s(
                    s, service, need.needs_primary, need.priority
                ),
                added_s=loads.added_s(s, service),
                pending=s.pending_calls,
            )
            for s in streams
        ]

    def _choose_for_team(
        self,
        plan: _serving_plan.ServingPlan,
        candidates: list[_load_reports.Candidate],
        need: Need,
    ) -> str:
        """Returns the team's home, or another node if the home is too slow."""
        by_name = {c.node: c for c in candidates}
        home = self._team_placement().acting_node(
            need.team, plan.nodes, by_name
        )
        if not self.uses_loads:
            return home
        found = _load_reports.relief(by_name[home], candidates, need.allowed_s)
        return found.node if found else home

    def is_served_by_peer(self, service: str, team: str) -> bool:
        """Whether a team's statements run at a peer instead of this node.

        Args:
            service: A group that this node can currently serve.
            team: The caller's team; empty if callers have none.
        """
        plan = self._plan(service)
        if plan is None or not team:
            return False
        present = [s.peer for s in self._capable_streams(service)]
        present.append(self._own.name)
        acting_node = self._team_placement().acting_node(
            team, plan.nodes, present
        )
        return acting_node != self._own.name

    def _capable_streams(self, service: str) -> list[Stream]:
        """Returns the streams to responsive peers that can serve a group."""
        return [
            s
            for s in self._streams(service)
            if service in s.services and self._is_responsive(s)
        ]

    def _streams(self, service: str) -> list[Stream]:
        plan = self._plan(service)
        if plan is None:
            return []
        streams = self._mesh.by_name
        return [
            streams[n]
            for n in plan.nodes
            if n != self._own.name and n in streams
        ]

    def _is_responsive(self, stream: Stream) -> bool:
        was_heard = stream.silence_s < self.policy.isolated_s
        return was_heard and stream.unresponsive_s < SILENT_PEER_S
