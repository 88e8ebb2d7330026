"""Many nodes' membership and configuration spread, in virtual time.

Each node is the real `Membership` and the real `Spreader`; only the messages
between them are carried by a fake network with delay, loss and cuts.
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

UDP_HEADER_BYTES = 28
TCP_HEADER_BYTES = 40
REGIONS = 3
PEER_TIMEOUT_S = 1.0


@attrs.frozen
class SwarmPlan:
    """What a swarm consists of.

    Attributes:
        nodes: How many nodes.
        centres: How many data centres, spread over three regions.
        local_delay_s: One-way delay inside a data centre, in seconds.
        intra_region_delay_s: The same between data centres of a region.
        inter_region_delay_s: The same between regions.
        loss: Share of the datagrams that are lost.
        spreads: Whether configuration is spread too.
    """

    nodes: int = 410
    centres: int = 7
    local_delay_s: float = 0.0003
    intra_region_delay_s: float = 0.001
    inter_region_delay_s: float = 0.04
    loss: float = 0.0
    spreads: bool = False


class SwarmNode:
    """One node's membership, and its spreader where asked for."""

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
            self._changed,
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
        self.swarm.carry_probe(self, node.name, message)

    def call(
        self,
        node: decisions.Node,
        message: _messages.Message,
        on_part: Callable[[bytes], object] | None = None,
    ) -> "decisions.Future[typing.Any]":
        """Sends a request to another node's spreader."""
        fut: decisions.Future[typing.Any] = decisions.Future()
        self._count(message)

        def answer(target: "SwarmNode") -> None:
            if target.directory_sync is None:
                return
            reply = target.directory_sync.answer(message)
            target._count(reply)
            self.swarm.carry(
                target, self.node.name, lambda _: decisions.resolve(fut, reply)
            )

        self.swarm.carry(self, node.name, answer)
        lost = _peers.PeerLostError("lost", was_sent=True)
        self.timers.after(PEER_TIMEOUT_S, lambda: decisions.reject(fut, lost))
        return fut

    def check(self, node: decisions.Node) -> "decisions.Future[None]":
        """Is not asked here: spreaders hand nothing over."""
        return decisions.completed(None)

    def tell(self, node: decisions.Node, message: _messages.Message) -> None:
        """Sends a one-way message to another node's spreader."""
        self._count(message)

        def merge(target: "SwarmNode") -> None:
            if target.directory_sync is not None:
                entries = _codec.unpack_entries(message.entries)
                target.directory_sync.merge(entries)

        self.swarm.carry(self, node.name, merge)

    def _count(self, message: _messages.Message) -> None:
        size = len(_codec.encode(1, message)) + TCP_HEADER_BYTES
        self.stream_bytes += size

    def _changed(self) -> None:
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
    """Many nodes on one fake network."""

    def __init__(self, plan: SwarmPlan, seed: int) -> None:
        self.plan = plan
        self.random = random.Random(seed)
        self.timers = decisions.VirtualTimers()
        self.store = _virtual_store.StoreState()
        self.cut: set[frozenset[str]] = set()
        self.alone: set[str] = set()
        self._described = [
            decisions.Node(
                f"n{i:03d}", f"dc-{i % plan.centres}", "127.0.0.1", 1, 1
            )
            for i in range(plan.nodes)
        ]
        self.nodes: dict[str, SwarmNode] = {}
        for node in self._described:
            rng = random.Random(self.random.random())
            self.nodes[node.name] = SwarmNode(self, node, rng)
        for found in self.nodes.values():
            found.view.note_listed(self._described)

    def readers(self, centre: str) -> list[str]:
        """Returns the store's readers of a data centre."""
        chosen = decisions.store_readers(centre, self._described, 2)
        return [n.name for n in chosen]

    def kill(self, name: str) -> None:
        """Ends a node at once."""
        self.nodes[name].alive = False
        self.nodes[name].view.close()

    def restart(self, name: str) -> SwarmNode:
        """Ends a node and begins it again, with nothing kept."""
        self.kill(name)
        rng = random.Random(self.random.random())
        begun = SwarmNode(self, self.nodes[name].node, rng)
        self.nodes[name] = begun
        begun.view.note_listed(self._described)
        return begun

    def carry_probe(
        self, source: SwarmNode, name: str, message: decisions.ProbeMessage
    ) -> None:
        """Carries a datagram, or loses it."""
        if self.random.random() < self.plan.loss:
            return
        self.carry(source, name, lambda t: t.view.receive(message))

    def carry(
        self,
        source: SwarmNode,
        name: str,
        work: Callable[[SwarmNode], object],
    ) -> None:
        """Runs work at another node after the delay, if it gets there."""
        target = self.nodes.get(name)
        if target is None or self._is_cut(source, target):
            return

        def arrive() -> None:
            if target.alive and not self._is_cut(source, target):
                work(target)

        target.timers.after(self._delay(source, target), arrive)

    def _is_cut(self, source: SwarmNode, target: SwarmNode) -> bool:
        if self.alone & {source.node.name, target.node.name}:
            return True
        pair = (source.node.data_centre, target.node.data_centre)
        return frozenset(pair) in self.cut and pair[0] != pair[1]

    def _delay(self, source: SwarmNode, target: SwarmNode) -> float:
        here, there = source.node.data_centre, target.node.data_centre
        if here == there:
            return self.plan.local_delay_s
        same = int(here[3:]) % REGIONS == int(there[3:]) % REGIONS
        return (
            self.plan.intra_region_delay_s
            if same
            else self.plan.inter_region_delay_s
        )
