"""A fleet of nodes that serve one group and follow one store."""

from collections.abc import Sequence

import attrs
import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _configuration
from ferry_proxy import _departure_records
from ferry_proxy import _features
from ferry_proxy import _followers
from ferry_proxy import _gates
from ferry_proxy import _groups
from ferry_proxy import _members
from ferry_proxy import _metrics
from ferry_proxy import _opinion_messages
from ferry_proxy import _opinions
from ferry_proxy import _peer_messages
from ferry_proxy import _peers
from ferry_proxy import _policy
from ferry_proxy import _records
from ferry_proxy import _served_groups
from ferry_proxy import _serving_peers
from ferry_proxy.tests import fakes

SERVICE = "orders"
MEMBERS = "members/"
STARTUP_S = 3.0


@attrs.define
class NodeStream:
    """A stream to another node of the fleet."""

    peer: str
    node: "Node"
    silence_s: float = 0.0
    understands_load: bool = False

    def call(
        self, body: _peer_messages.Message
    ) -> "decisions.Future[_peer_messages.Message]":
        served = self.node.groups.find(SERVICE)
        reply: _peer_messages.Message = _peer_messages.NO_SURVEY
        match body:
            case _peer_messages.SurveyRequest() if served:
                reply = served.surveys.answer(served.group, body.departures)
            case _opinion_messages.OpinionRequest() if served:
                reply = _opinions.opinion_of(
                    self.node.clock, served.group, body
                )
        encoded = _peer_messages.encode(1, reply)
        return decisions.completed(
            _peer_messages.Decoder().feed(encoded)[0].body
        )

    def tell(self, body: _peer_messages.Message) -> None:
        served = self.node.groups.find(SERVICE)
        if served and isinstance(body, _peer_messages.LeaderNotice):
            leader = _members.Leader(body.member, body.term)
            served.group.note_leader(leader)


class Mesh:
    """The streams of one node to the running nodes that it is connected to."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self._fleet = fleet
        self._name = name

    @property
    def by_name(self) -> dict[str, _serving_peers.ServingPeer]:
        cut = self._fleet.cut_off
        return {
            n: NodeStream(n, node)
            for n, node in self._fleet.nodes.items()
            if n != self._name and not {n, self._name} & cut
        }

    @property
    def streams(self) -> Sequence[_peers.Peer]:
        return list(self.by_name.values())


class NoReaders:
    """The node's peers report nothing about the store."""

    streams: list[_followers.PeerInfo] = []


class Node:
    """A process of a node; its memory ends with it."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self.name = name
        self.clock = fleet.clock
        clock, policy = fleet.clock, _policy.Policy()
        layout = _catalogue.Layout(
            "config",
            MEMBERS,
            fakes._no_document,
            lambda member, _: fleet.cluster.members[member].entry(),
        )
        self.catalogue = _catalogue.Catalogue(clock, layout, policy)
        own = fleet.entry(name)
        self.follower = _followers.Follower(
            clock, fleet.store, self.catalogue, own, NoReaders(), policy
        )
        self.groups = _served_groups.ServedGroups(
            _served_groups.GroupsContext(
                clock=clock,
                policy=policy,
                own=own,
                catalogue=self.catalogue,
                nodes=lambda: self.catalogue.nodes,
                store=fleet.store,
                connector=fleet.cluster,
                promotions=fleet.cluster,
                mesh=Mesh(fleet, name),
                metrics=_metrics.Metrics(),
                gate=_gates.OPEN,
                features=_features.NONE,
                is_stopping=lambda: False,
            )
        )
        self.catalogue.on_change.append(lambda: self.groups.apply(fleet.cfg))
        self.follower.start()
        self._timers = [
            decisions.PeriodicTimer(clock, 0.1, self.groups.check),
            decisions.PeriodicTimer(clock, 0.4, self.groups.survey),
        ]

    @property
    def group(self) -> _groups.Group:
        return self.groups.groups[SERVICE]

    def stop(self) -> None:
        for timer in self._timers:
            timer.stop()
        self.follower.stop()
        for name in self.groups.groups:
            self.groups._drop(name)


class Fleet:
    """Nodes and a group of three members, in virtual time.

    Attributes:
        nodes: The running nodes, by name.
        cut_off: The names of nodes without streams to other nodes.
    """

    def __init__(self, *names: str) -> None:
        self.clock = decisions.VirtualTimers()
        self.cluster = fakes.FakeCluster(self.clock)
        self.store = fakes.FakeStore(self.clock)
        service = _configuration.Service(SERVICE, 100, 1)
        self.cfg = _configuration.Configuration(
            1, {}, {SERVICE: service}, 3.0, 1 << 20
        )
        self.nodes: dict[str, Node] = {}
        self.cut_off: set[str] = set()
        for member in self.cluster.members:
            self.enlist(member)
        for name in names:
            self.add(name)
        self.run(STARTUP_S)

    def entry(self, name: str) -> _records.NodeEntry:
        return _records.NodeEntry(name, "h", 1, "hall-b")

    def add(self, name: str) -> Node:
        """Starts a process of a node, which registers itself."""
        entry = self.entry(name)
        self.store.put(_records.NODE_PREFIX + name, entry.encode())
        self.nodes[name] = Node(self, name)
        return self.nodes[name]

    def restart(self, *names: str) -> None:
        """Restarts the processes of nodes, which lose their memory."""
        for name in names:
            self.nodes.pop(name).stop()
        for name in names:
            self.add(name)

    def enlist(self, member: str) -> None:
        """Writes the entry of a member."""
        self.store.put(MEMBERS + member, b"x")

    def delist(self, member: str) -> None:
        """Removes the entry of a member, which may run on."""
        self.store.delete(MEMBERS + member)

    def run(self, seconds: float) -> None:
        self.clock.advance(seconds)

    def commit(self, name: str) -> None:
        """Commits through the first node; fails unless it is acknowledged."""
        primary = self.primary
        end_before = primary.end
        primary.log.append((primary.term, name))
        assert self.cluster.replicate(primary)
        self.cluster.acknowledged.append(name)
        node = next(iter(self.nodes.values()))
        node.group.acks.note_replied(primary.end)
        node.group.acks.note_confirmed(node.group.leader, end_before)

    @property
    def primary(self) -> fakes.FakeMember:
        """The primary, if its process runs."""
        return next(
            m
            for m in self.cluster.members.values()
            if m.role is _members.Role.PRIMARY and not m.crashed
        )

    def catch_up(self) -> None:
        """Lets all replicas receive what the primary holds."""
        for member in self.cluster.members.values():
            member.isolated = False
        assert self.cluster.replicate(self.primary)

    def recorded(self, era: int = 0) -> list[str] | None:
        """Returns the keys of the recorded departures; None without a record.

        Args:
            era: The era in which they were recorded.
        """
        prefix = _records.DEPARTURE_PREFIX
        item = self.store.items.get(_records.group_key(prefix, era, SERVICE))
        if item is None or item.value is None:
            return None
        entries = _departure_records.decode(SERVICE, item.value)
        return [e.key for e in entries]

    def open_departures(self) -> dict[str, list[str]]:
        """Returns the keys of the departures open at each node."""
        return {
            name: [d.key for d in node.group.departures.open()]
            for name, node in self.nodes.items()
        }
