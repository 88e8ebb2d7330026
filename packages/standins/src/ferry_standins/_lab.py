"""The real nodes' decisions on virtual members: one database, few nodes.

Per data centre one node with the real watch, member services and dispatcher.
Requests between nodes take the virtual network's delay.
"""

from collections.abc import Callable
import random
import typing

import attrs
import ferry_decisions as decisions
from ferry_node import _peers
from ferry_node import _settings

from ferry_standins import _history
from ferry_standins import _lab_node
from ferry_standins import _log
from ferry_standins import _virtual
from ferry_standins import _virtual_store

CUSTOMER = "lone-star"
DATABASE = "plates"
PEER_SILENCE_TIMEOUT_S = 1.0


@attrs.frozen
class LabPlan:
    """What an experiment runs on.

    Attributes:
        centres: Data centres, one member and one node in each.
        delay_s: One-way delay between data centres, in seconds.
        replication_s: Replication delay, in seconds.
        apply_s: Time from receiving an entry to showing it, in seconds.
        statement_s: Time that a statement takes at a member, in seconds.
        slots: Statements at once on one member.
        staleness_s: The contract's staleness, in seconds.
        policy: The nodes' policy settings.
    """

    centres: tuple[str, ...] = ("hall-a", "hall-b", "hall-c")
    delay_s: float = 0.001
    replication_s: float = 0.002
    apply_s: float = 0.0
    statement_s: float = 0.001
    slots: int = 5
    staleness_s: float = 5.0
    policy: _settings.PolicySettings = _settings.PolicySettings()


class Lab:
    """Nodes, members and the store of one experiment."""

    def __init__(self, plan: LabPlan, seed: int) -> None:
        self.plan = plan
        self.random = random.Random(seed)
        self.timers = decisions.VirtualTimers()
        self.net = _virtual.VirtualNet(delay_s=plan.delay_s)
        self.store = _virtual_store.StoreState()
        self.leaving: set[str] = set()
        self.link_faults = _log.LinkFaults(
            delay_s=plan.replication_s, apply_s=plan.apply_s
        )
        self.group = _log.Group(self.timers, self.link_faults)
        described = tuple(
            decisions.Member(f"{DATABASE}-{c}", c, "127.0.0.1", i + 1)
            for i, c in enumerate(plan.centres[:3])
        )
        self.database = decisions.Database(DATABASE, described, plan.slots, 35)
        self.members = {
            m.name: _virtual.VirtualMember(self.timers, m, self.group)
            for m in described
        }
        for member in self.members.values():
            member.statement_s = plan.statement_s
        self.contracts = decisions.ContractBook()
        self.add_contract(CUSTOMER, 10, plan.staleness_s)
        self.nodes = tuple(
            decisions.Node(f"{c}-1", c, "127.0.0.1", 1, 1) for c in plan.centres
        )
        self.nodes_by_name: dict[str, _lab_node.LabNode] = {}
        for node in self.nodes:
            self.nodes_by_name[node.name] = _lab_node.LabNode(
                self, node.data_centre, node
            )
        self.operations: list[_history.Operation] = []

    def add_contract(
        self, customer: str, share: int, staleness_s: float
    ) -> None:
        """Puts a contract in force at every node."""
        self.contracts.merge(
            decisions.Contract(
                customer=customer,
                databases=(DATABASE,),
                share=share,
                connections=10,
                staleness_s=staleness_s,
                queue=5_000,
            )
        )

    def links(self, centre: str) -> dict[str, _virtual.Link]:
        """Returns the ways from a data centre to all members."""
        return {
            name: _virtual.Link(self.timers, self.net, centre, member)
            for name, member in self.members.items()
        }

    def node_in(self, centre: str) -> _lab_node.LabNode:
        """Returns the node of a data centre."""
        return self.nodes_by_name[f"{centre}-1"]

    def primary(self) -> _virtual.VirtualMember:
        """Returns the member that leads the latest term."""
        leaders = [m for m in self.members.values() if m.replica.leads]
        return max(leaders, key=lambda m: m.replica.term)

    def isolate(self, member: str) -> None:
        """Cuts a member off from all nodes and members."""
        for place in [*self.plan.centres, *self.members]:
            if place != member:
                self.net.cut.add(frozenset((place, member)))
        self.group.set_down(member, True)

    def heal(self, member: str) -> None:
        """Ends the isolation of a member."""
        self.net.cut = {c for c in self.net.cut if member not in c}
        self.group.set_down(member, False)

    def crash(self, member: str) -> None:
        """Stops a member: its machine refuses connections."""
        found = self.members[member]
        found.crashed = True
        self.group.set_down(member, True)
        found.drop_conns()

    def restart(self, member: str) -> None:
        """Starts a member again, with its log."""
        self.members[member].crashed = False
        self.group.set_down(member, False)

    def cut_centre(self, centre: str) -> None:
        """Cuts a data centre off from the others and from the store."""
        for other in self.plan.centres:
            if other != centre:
                self.net.cut.add(frozenset((centre, other)))
        for member in self.members.values():
            if member.described.data_centre == centre:
                for other in self.members:
                    if other != member.name:
                        pair = frozenset((member.name, other))
                        self.link_faults.cut.add(pair)
        self.node_in(centre).store.cut = True

    def heal_centre(self, centre: str) -> None:
        """Ends the cut of a data centre."""
        self.net.cut.clear()
        self.link_faults.cut.clear()
        self.node_in(centre).store.cut = False

    def call(
        self,
        centre: str,
        target: _lab_node.LabNode,
        work: "Callable[[], decisions.Future[typing.Any]]",
    ) -> "decisions.Future[typing.Any]":
        """Runs work at another node and brings its result back."""
        fut: decisions.Future[typing.Any] = decisions.Future()
        delay = self.net.delay(centre, target.centre)

        def answer(done: "decisions.Future[typing.Any]") -> None:
            if not self.net.is_cut(centre, target.centre):
                self.timers.after(
                    delay, lambda: decisions.resolve(fut, done.result())
                )

        def arrive() -> None:
            if not self.net.is_cut(centre, target.centre):
                work().add_done_callback(answer)

        target.timers.after(delay, arrive)
        self.timers.after(
            PEER_SILENCE_TIMEOUT_S, lambda: self._lose(centre, target, fut)
        )
        return fut

    def _lose(
        self,
        centre: str,
        target: _lab_node.LabNode,
        fut: "decisions.Future[typing.Any]",
    ) -> None:
        """Ends a request over a stream that is silent."""
        if fut.done():
            return
        if self.net.is_cut(centre, target.centre):
            lost = _peers.PeerLostError("silent", was_sent=True)
            decisions.reject(fut, lost)
            return
        self.timers.after(
            PEER_SILENCE_TIMEOUT_S, lambda: self._lose(centre, target, fut)
        )

    def ask_opinions(
        self,
        asker: _lab_node.LabNode,
        database: decisions.Database,
        member: str,
        term: int,
        enough: Callable[[set[str]], bool],
    ) -> "decisions.Future[set[str]]":
        """Asks the other nodes whether the primary is gone."""
        futs = []
        for node in self.nodes_by_name.values():
            if node is asker:
                continue
            ask = lambda n=node: decisions.completed(  # noqa: E731
                n.watch.opinion(member, term)
            )
            call = self.call(asker.centre, node, ask)
            futs.append(decisions.with_timeout(asker.timers, 0.3, call))

        def union(done: "list[decisions.Settled[set[str]]]") -> set[str]:
            votes: set[str] = set()
            for each in done:
                if each.failure is None:
                    votes |= each.result
            return votes

        def flow() -> "decisions.Flow[set[str]]":
            settled = yield decisions.settle_all(
                futs, lambda done: enough(union(done))
            )
            return union(settled)

        return decisions.start(flow())

    def publish(
        self, source: _lab_node.LabNode, record: decisions.Record
    ) -> None:
        """Spreads a record to every node that can be reached."""
        source.take(record)
        for node in self.nodes_by_name.values():
            if not self.net.is_cut(source.centre, node.centre):
                delay = self.net.delay(source.centre, node.centre)
                node.timers.after(delay, lambda n=node: n.take(record))  # type: ignore[misc]

    def sync_records(self) -> None:
        """Lets every node that reaches the store learn the records."""
        entry = self.store.entries.get(decisions.record_key(DATABASE))
        if entry is None:
            return
        for node in self.nodes_by_name.values():
            if node.store.reachable:
                node.take(decisions.decode_record(entry.value))

    def stored(self) -> list[tuple[str, int]]:
        """Returns the log of the present primary."""
        log = self.primary().replica.log
        pairs = []
        for entry in log:
            for statement in entry.statements:
                value = statement.values[0]
                assert isinstance(value, int)
                pairs.append((statement.sql, value))
        return pairs

    def verdict(self) -> _history.Verdict:
        """Returns how often each promise was broken so far."""
        return _history.check(self.operations, self.stored())
