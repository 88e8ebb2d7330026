"""Choice of the serving node for the statements of an entry node."""

from collections.abc import Callable
from collections.abc import Mapping
import typing

import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _features
from ferry_proxy import _peers
from ferry_proxy import _policy
from ferry_proxy import _records
from ferry_proxy import _serving_plan
from ferry_proxy import _team_placement

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


class Forwarder:
    """Chooses the serving nodes of one entry node."""

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

    def choose(self, service: str, tried: set[str], team: str) -> Stream | None:
        """Returns the stream to the best serving node, or None.

        Args:
            service: The group.
            tried: The names of nodes to skip.
            team: The caller's team; empty if callers have none.
        """
        streams = [s for s in self._streams(service) if s.peer not in tried]
        responsive = [s for s in streams if self._is_responsive(s)]
        capable = [s for s in responsive if service in s.services]
        plan = self._plan(service)
        if plan is None or not (capable or responsive):
            return None
        if team:
            present = [s.peer for s in capable or responsive]
            name = self._team_placement().acting_node(team, plan.nodes, present)
            return self._mesh.by_name[name]
        near = {n.name for n in plan.near(self._own.data_centre)}
        return min(
            capable or responsive,
            key=lambda s: (
                s.peer not in near,
                s.pending_calls,
                decisions.rendezvous_score(self._own.name, s.peer),
            ),
        )

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
