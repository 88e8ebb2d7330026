"""Simulates membership and directory sync of many nodes in virtual time.

Each node runs the real `Membership` and the real `DirectorySync`. The store and
the network between the nodes, with its delay, loss and cuts, are fakes.
"""

from collections.abc import Callable
import random
import typing

import attrs
import ferry_decisions as decisions
from ferry_node import _board
from ferry_node import _codec
from ferry_node import _directory_sync
from ferry_node import _messages
from ferry_node import _peers
from ferry_node import _probes
from ferry_node import _settings

from ferry_standins import _virtual
from ferry_standins import _virtual_store

# Size of the IP and UDP, or IP and TCP, headers of a packet.
UDP_HEADER_BYTES = 28
TCP_HEADER_BYTES = 40
REGION_COUNT = 3
# How long a request to a peer waits for its reply.
PEER_TIMEOUT_S = 1.0


@attrs.frozen
class SwarmPlan:
    """The topology and the network of a swarm.

    Attributes:
        nodes: Number of nodes.
        centres: Number of data centres, distributed over three regions.
        local_delay_s: One-way delay inside a data centre, in seconds.
        intra_region_delay_s: One-way delay between data centres of a region,
            in seconds.
        inter_region_delay_s: One-way delay between regions, in seconds.
        loss: Share of the datagrams that are lost.
        spreads: Whether the nodes also run directory sync.
    """

    nodes: int = 410
    centres: int = 7
    local_delay_s: float = 0.0003
    intra_region_delay_s: float = 0.001
    inter_region_delay_s: float = 0.04
    loss: float = 0.0
    spreads: bool = False


class SwarmNode:
    """The membership of one node, and its directory sync if enabled.

    Attributes:
        alive: Whether the node runs.
        bytes_sent: Bytes of probe messages sent, with headers.
        stream_bytes: Bytes of messages sent over streams, with headers.
    """

    def __init__(
        self, swarm: "Swarm", node: decisions.Node, rng: random.Random
    ) -> None:
        self.node = node
        self.swarm = swarm
        self.timers = _virtual.PausableTimers(swarm.timers)
        self.alive = True
        self.bytes_sent = 0
        self.stream_bytes = 0
        self.board = decisions.Blackboard()
        self.directory = decisions.Directory()
        self.view = decisions.Membership(
            self.timers,
            self,
            node,
            decisions.MembershipSettings(),
            rng,
            self._on_membership_changed,
        )
        self.timers.on_process_pause(self.view.note_process_pause)
        self.store = _virtual_store.VirtualStore(self.timers, swarm.store)
        self.directory_sync: _directory_sync.DirectorySync | None = None
        if swarm.plan.spreads:
            self.directory_sync = self._start_directory_sync()

    def send(
        self, node: decisions.Node, message: decisions.ProbeMessage
    ) -> None:
        """Sends a probe message."""
        if not self.alive:
            return
        size = len(_probes.encode_probe(message)) + UDP_HEADER_BYTES
        self.bytes_sent += size
        self.swarm.deliver_probe(self, node.name, message)

    def call(
        self,
        node: decisions.Node,
        message: _messages.Message,
        on_part: Callable[[bytes], object] | None = None,
    ) -> "decisions.Future[typing.Any]":
        """Sends a request to another node's directory sync."""
        fut: decisions.Future[typing.Any] = decisions.Future()
        self._count(message)

        def answer(target: "SwarmNode") -> None:
            if target.directory_sync is None:
                return
            reply = target.directory_sync.answer(message)
            target._count(reply)
            self.swarm.deliver(
                target, self.node.name, lambda _: decisions.resolve(fut, reply)
            )

        self.swarm.deliver(self, node.name, answer)
        lost = _peers.PeerLostError("lost", was_sent=True)
        self.timers.after(PEER_TIMEOUT_S, lambda: decisions.reject(fut, lost))
        return fut

    def check(self, node: decisions.Node) -> "decisions.Future[None]":
        """Succeeds at once: directory sync does not check its streams."""
        return decisions.completed(None)

    def tell(self, node: decisions.Node, message: _messages.Message) -> None:
        """Sends a one-way message to another node's directory sync."""
        self._count(message)

        def merge(target: "SwarmNode") -> None:
            if target.directory_sync is not None:
                entries = _codec.unpack_entries(message.entries)
                target.directory_sync.merge(entries)

        self.swarm.deliver(self, node.name, merge)

    def _count(self, message: _messages.Message) -> None:
        size = len(_codec.encode(1, message)) + TCP_HEADER_BYTES
        self.stream_bytes += size

    def _on_membership_changed(self) -> None:
        if self.swarm.plan.spreads:
            self.board.write(_board.NODES, self.view.alive())

    def _start_directory_sync(self) -> _directory_sync.DirectorySync:
        cfg = _settings.Settings(
            node=self.node.name,
            data_centre=self.node.data_centre,
            host=self.node.host,
            store_url="",
            vm_list_url="",
        )
        directory_sync = _directory_sync.DirectorySync(
            self.timers, cfg, self.board, self.directory, self.store, self
        )
        readers = self.swarm.readers(self.node.data_centre)
        self.board.write(_board.STORE_READER, self.node.name in readers)
        self.board.subscribe(directory_sync)
        return directory_sync


class Swarm:
    """Many nodes on one fake network.

    Attributes:
        cut: Pairs of data centres that cannot reach each other.
        isolated_nodes: Names of nodes that cannot reach any other node.
    """

    def __init__(self, plan: SwarmPlan, seed: int) -> None:
        self.plan = plan
        self.random = random.Random(seed)
        self.timers = decisions.VirtualTimers()
        self.store = _virtual_store.StoreState()
        self.cut: set[frozenset[str]] = set()
        self.isolated_nodes: set[str] = set()
        self._descriptions = [
            decisions.Node(
                f"n{i:03d}", f"dc-{i % plan.centres}", "127.0.0.1", 1, 1
            )
            for i in range(plan.nodes)
        ]
        self.nodes: dict[str, SwarmNode] = {}
        for node in self._descriptions:
            rng = random.Random(self.random.random())
            self.nodes[node.name] = SwarmNode(self, node, rng)
        for found in self.nodes.values():
            found.view.note_listed(self._descriptions)

    def readers(self, centre: str) -> list[str]:
        """Returns the names of the store readers of a data centre."""
        chosen = decisions.store_readers(centre, self._descriptions, 2)
        return [n.name for n in chosen]

    def kill(self, name: str) -> None:
        """Stops a node abruptly."""
        self.nodes[name].alive = False
        self.nodes[name].view.close()

    def restart(self, name: str) -> SwarmNode:
        """Replaces a node by a new one without its state."""
        self.kill(name)
        rng = random.Random(self.random.random())
        restarted = SwarmNode(self, self.nodes[name].node, rng)
        self.nodes[name] = restarted
        restarted.view.note_listed(self._descriptions)
        return restarted

    def deliver_probe(
        self, source: SwarmNode, name: str, message: decisions.ProbeMessage
    ) -> None:
        """Delivers a datagram, or drops it at random."""
        if self.random.random() < self.plan.loss:
            return
        self.deliver(source, name, lambda t: t.view.receive(message))

    def deliver(
        self,
        source: SwarmNode,
        name: str,
        work: Callable[[SwarmNode], object],
    ) -> None:
        """Runs a callable at another node after the network delay.

        Nothing happens if the network between them is cut.
        """
        target = self.nodes.get(name)
        if target is None or self._is_cut(source, target):
            return

        def arrive() -> None:
            if target.alive and not self._is_cut(source, target):
                work(target)

        target.timers.after(self._delay(source, target), arrive)

    def _is_cut(self, source: SwarmNode, target: SwarmNode) -> bool:
        if self.isolated_nodes & {source.node.name, target.node.name}:
            return True
        pair = (source.node.data_centre, target.node.data_centre)
        return frozenset(pair) in self.cut and pair[0] != pair[1]

    def _delay(self, source: SwarmNode, target: SwarmNode) -> float:
        here, there = source.node.data_centre, target.node.data_centre
        if here == there:
            return self.plan.local_delay_s
        same_region = (
            int(here[3:]) % REGION_COUNT == int(there[3:]) % REGION_COUNT
        )
        return (
            self.plan.intra_region_delay_s
            if same_region
            else self.plan.inter_region_delay_s
        )
