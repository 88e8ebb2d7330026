"""Which serving node gets the statements of an entry node's callers."""

from collections.abc import Callable
from collections.abc import Mapping
import typing

import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _peers
from ferry_proxy import _policy
from ferry_proxy import _records
from ferry_proxy import _serving_plan
from ferry_proxy import _team_placement

SILENT_PEER_S = (
    0.3  # A peer that owes an answer is heard several times in this, or
)
# is gone: others are preferred, and reads asked there.


class Stream(_peers.Peer, typing.Protocol):
    """What forwarding needs of a stream to a serving node.

    Attributes:
        services: The groups that the peer can serve well now.
        missed: The groups that others serve and the peer has lost.
        held: Transactions of this node that depend on the stream.
    """

    services: frozenset[str]
    missed: frozenset[str]
    open_transactions: int

    @property
    def closed(self) -> bool:
        """Whether the stream has ended."""

    @property
    def unresponsive_s(self) -> float:
        """Seconds since the peer was heard, while it owes an answer."""

    @property
    def pending_calls(self) -> int:
        """Questions to the peer that have no answer yet."""


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
    ) -> None:
        """Makes a forwarder.

        Args:
            clock: The clock.
            policy: The tunables.
            own: The entry node.
            mesh: Its streams.
            plan: Returns who serves a group.
            seek: Called where no serving node is left: connects to those that
                are `wanted` now.
            homes: Returns where teams are at home.
        """
        self.clock = clock
        self.policy = policy
        self.open_streams = open_streams
        self._team_placement = team_placement
        self._own = own
        self._mesh = mesh
        self._plan = plan

    def is_served(self, service: str) -> bool:
        """Whether a peer that was heard lately serves a group well."""
        return bool(self._capable_streams(service))

    def is_missed(self, service: str) -> bool:
        """Whether a serving node that was heard lately has lost a group."""
        return any(
            service in s.missed and self._is_responsive(s)
            for s in self._streams(service)
        )

    def wanted(self, service: str) -> list[_records.NodeEntry]:
        """Returns the nodes to keep streams to: near ones, or all in need.

        Where callers belong to teams, the statements of one go to one node,
        near or far, and streams to all are kept.

        A near one that has fallen silent serves nobody. Were it waited for
        until its stream ends, 1.6 s after a cut, each statement meanwhile
        would be refused.
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
        """Returns the stream to the best serving node.

        Args:
            service: The group.
            tried: Nodes to pass over.
            team: The caller's team; empty where callers have none.
        """
        streams = [s for s in self._streams(service) if s.peer not in tried]
        heard = [s for s in streams if self._is_responsive(s)]
        well = [s for s in heard if service in s.services]
        plan = self._plan(service)
        if plan is None or not (well or heard):
            return None
        if team:
            present = [s.peer for s in well or heard]
            name = self._team_placement().acting_node(team, plan.nodes, present)
            return self._mesh.by_name[name]
        near = {n.name for n in plan.near(self._own.data_centre)}
        return min(
            well or heard,
            key=lambda s: (
                s.peer not in near,
                s.pending_calls,
                decisions.rendezvous_score(self._own.name, s.peer),
            ),
        )

    def is_served_by_peer(self, service: str, team: str) -> bool:
        """Whether a team's statements run at a peer, and not at this node.

        Args:
            service: A group that this node serves well.
            team: The caller's team; empty where callers have none.
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
        """Returns the streams to peers that serve a group well now."""
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
        heard = stream.silence_s < self.policy.isolated_s
        return heard and stream.unresponsive_s < SILENT_PEER_S
