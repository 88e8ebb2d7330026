"""Simulates one database with a few nodes in virtual time.

Each data centre has one node, with the real watch, member services and
dispatcher. The members, the store and the network are fakes; requests between
nodes take the delay of the virtual network.
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
# How often a pending request between nodes checks whether its nodes are cut
# off from each other. If so, it fails as on a lost stream.
PEER_SILENCE_TIMEOUT_S = 1.0


@attrs.frozen
class LabPlan:
    """The topology and the timing of a simulation.

    Attributes:
        centres: Names of the data centres. Each has one node, and each of the
            first three has one member.
        delay_s: One-way delay between data centres, in seconds.
        replication_s: Replication delay, in seconds.
        apply_s: Time from receiving an entry to applying it, in seconds.
        statement_s: Execution time of a statement at a member, in seconds.
        slots: Maximum number of concurrent statements on one member.
        staleness_s: Maximum age of reads in the contract, in seconds.
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
    """The nodes, the members and the store of one simulation."""

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
        descriptions = tuple(
            decisions.Member(f"{DATABASE}-{c}", c, "127.0.0.1", i + 1)
            for i, c in enumerate(plan.centres[:3])
        )
        self.database = decisions.Database(
            DATABASE, descriptions, plan.slots, 35
        )
        self.members = {
            m.name: _virtual.VirtualMember(self.timers, m, self.group)
            for m in descriptions
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
        """Activates a contract on every node."""
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
        """Returns the links from a data centre to all members, by name."""
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
        """Isolates a member from all nodes and members."""
        for other in [*self.plan.centres, *self.members]:
            if other != member:
                self.net.cut.add(frozenset((other, member)))
        self.group.set_down(member, True)

    def heal(self, member: str) -> None:
        """Ends the isolation of a member."""
        self.net.cut = {c for c in self.net.cut if member not in c}
        self.group.set_down(member, False)

    def crash(self, member: str) -> None:
        """Crashes a member; its machine refuses connections."""
        found = self.members[member]
        found.crashed = True
        self.group.set_down(member, True)
        found.drop_conns()

    def restart(self, member: str, keeps_log: bool = True) -> None:
        """Restarts a crashed member.

        Args:
            member: The member.
            keeps_log: Whether it still has its log and its promises.
        """
        found = self.members[member]
        if not keeps_log:
            found.lose_log()
        found.crashed = False
        self.group.set_down(member, False)

    def cut_centre(self, centre: str) -> None:
        """Isolates a data centre from the others and from the store."""
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
        """Ends all network cuts, and the store's cut in this centre."""
        self.net.cut.clear()
        self.link_faults.cut.clear()
        self.node_in(centre).store.cut = False

    def call(
        self,
        centre: str,
        target: _lab_node.LabNode,
        work: "Callable[[], decisions.Future[typing.Any]]",
    ) -> "decisions.Future[typing.Any]":
        """Calls a function at another node and returns its result.

        Args:
            centre: The data centre of the calling node.
            target: The node that is called.
            work: The function to call there.
        """
        fut: decisions.Future[typing.Any] = decisions.Future()
        delay = self.net.delay(centre, target.centre)

        def reply(done: "decisions.Future[typing.Any]") -> None:
            if not self.net.is_cut(centre, target.centre):
                self.timers.after(
                    delay, lambda: decisions.resolve(fut, done.result())
                )

        def arrive() -> None:
            if not self.net.is_cut(centre, target.centre):
                work().add_done_callback(reply)

        target.timers.after(delay, arrive)
        self.timers.after(
            PEER_SILENCE_TIMEOUT_S,
            lambda: self._fail_if_cut(centre, target, fut),
        )
        return fut

    def _fail_if_cut(
        self,
        centre: str,
        target: _lab_node.LabNode,
        fut: "decisions.Future[typing.Any]",
    ) -> None:
        """Fails a pending request if the network between its nodes is cut."""
        if fut.done():
            return
        if self.net.is_cut(centre, target.centre):
            lost = _peers.PeerLostError("silent", was_sent=True)
            decisions.reject(fut, lost)
            return
        self.timers.after(
            PEER_SILENCE_TIMEOUT_S,
            lambda: self._fail_if_cut(centre, target, fut),
        )

    def ask_opinions(
        self,
        asker: _lab_node.LabNode,
        database: decisions.Database,
        member: str,
        term: int,
        enough: Callable[[set[str]], bool],
    ) -> "decisions.Future[set[str]]":
        """Asks the other nodes whether they suspect the primary as well.

        Args:
            asker: The node that asks.
            database: The database of the primary.
            member: Name of the primary.
            term: The term of the primary.
            enough: Tells whether the votes so far are sufficient.
        """
        futs = []
        for node in self.nodes_by_name.values():
            if node is asker:
                continue
            ask = lambda n=node: decisions.completed(  # noqa: E731
                n.watch.opinion(member, term)
            )
            call = self.call(asker.centre, node, ask)
            futs.append(decisions.with_timeout(asker.timers, 0.3, call))

        def collect_votes(
            done: "list[decisions.Settled[set[str]]]",
        ) -> set[str]:
            votes: set[str] = set()
            for each in done:
                if each.failure is None:
                    votes |= each.result
            return votes

        def flow() -> "decisions.Flow[set[str]]":
            settled = yield decisions.settle_all(
                futs, lambda done: enough(collect_votes(done))
            )
            return collect_votes(settled)

        return decisions.start(flow())

    def publish(
        self, source: _lab_node.LabNode, record: decisions.Record
    ) -> None:
        """Sends a record to every reachable node."""
        source.apply_record(record)
        for node in self.nodes_by_name.values():
            if not self.net.is_cut(source.centre, node.centre):
                delay = self.net.delay(source.centre, node.centre)
                node.timers.after(delay, lambda n=node: n.apply_record(record))  # type: ignore[misc]

    def sync_records(self) -> None:
        """Applies the stored record at every node that reaches the store."""
        entry = self.store.entries.get(decisions.record_key(DATABASE))
        if entry is None:
            return
        for node in self.nodes_by_name.values():
            if node.store.reachable:
                node.apply_record(decisions.decode_record(entry.value))

    def stored(self) -> list[tuple[str, int]]:
        """Returns the log of the current primary, as pairs of key and value."""
        log = self.primary().replica.log
        pairs = []
        for entry in log:
            for statement in entry.statements:
                value = statement.values[0]
                assert isinstance(value, int)
                pairs.append((statement.sql, value))
        return pairs

    def verdict(self) -> _history.Verdict:
        """Counts the violations of consistency guarantees so far."""
        return _history.check(self.operations, self.stored())
