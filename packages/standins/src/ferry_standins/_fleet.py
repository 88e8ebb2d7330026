"""A small fleet in one process, on loopback, for demos and tests.

The fakes share one event loop and each node has its own. As with separate
processes, they communicate only through sockets.
"""

from collections.abc import Callable
import concurrent.futures
import functools
import json
import secrets

import attrs
import ferry_decisions as decisions
import ferry_node as node
import ferry_runtime as runtime

from ferry_standins import _kv
from ferry_standins import _log
from ferry_standins import _member
from ferry_standins import _vms

ADMIN_TOKEN = "demo-token"  # noqa: S105 - protects fakes on loopback only

# Makes a test fail instead of hanging when a node does not close.
KILL_TIMEOUT_S = 10.0


@attrs.frozen(slots=True)
class FleetPlan:
    """The size and the settings of a fleet.

    Attributes:
        data_centres: Names of the data centres. Each has the same number of
            nodes.
        nodes_per_centre: Entry VMs in each data centre.
        databases: Names of databases; each has a member in each of the first
            three data centres.
        slots: Maximum number of concurrent statements on one member.
        connections: Maximum number of endpoint connections per database.
        delay_s: Replication delay, in seconds.
        policy: The nodes' policy settings.
    """

    data_centres: tuple[str, ...] = ("hall-a", "hall-b", "hall-c")
    nodes_per_centre: int = 1
    databases: tuple[str, ...] = ("plates",)
    slots: int = 5
    connections: int = 35
    delay_s: float = 0.002
    policy: node.PolicySettings = node.PolicySettings()


CALL_TIMEOUT_S = 5.0


class FleetNotReadyError(Exception):
    """The fleet cannot serve requests yet."""


class Fleet:
    """The fake platform, the fake databases and the real nodes."""

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.kv = _kv.KvServer()
        self.vms = _vms.VmListServer()
        self.loop = runtime.EventLoop()
        self.loop.start_thread("stand-ins")
        self.groups: dict[str, _log.Group] = {}
        self.members: dict[str, dict[str, _member.Member]] = {}
        self.nodes: dict[str, node.Node] = {}
        for name in plan.databases:
            self.on_loop(functools.partial(self._add_database, name))
        for centre in plan.data_centres:
            for index in range(plan.nodes_per_centre):
                self.add_node(f"{centre}-{index + 1}", centre)

    def add_node(self, name: str, centre: str) -> node.Node:
        """Starts a node in a data centre."""
        cfg = node.Settings(
            node=name,
            data_centre=centre,
            host="127.0.0.1",
            store_url=self.kv.url,
            vm_list_url=self.vms.url,
            admin_token=ADMIN_TOKEN,
            policy=self.plan.policy,
        )
        loop = runtime.EventLoop()
        started = node.Node(loop, cfg)
        loop.start_thread(name)
        self.nodes[name] = started
        membership = started.membership.node
        self.vms.put(
            node.Vm(
                name=name,
                kind="entry",
                state="live",
                data_centre=centre,
                host=membership.host,
                port=membership.peer_port,
                probe_port=membership.probe_port,
            )
        )
        return started

    def kill_node(self, name: str) -> None:
        """Stops a node abruptly, as the loss of its VM does.

        Returns after the node has closed, so that nothing sent afterwards
        reaches it.
        """
        stopped_node = self.nodes.pop(name)
        closed = runtime.submit_to_loop(
            stopped_node.loop, lambda: _close_node(stopped_node)
        )
        closed.result(KILL_TIMEOUT_S)
        stopped_node.loop.stop()

    def stop_node(self, name: str) -> "concurrent.futures.Future[int]":
        """Begins a planned stop.

        Returns:
            The number of callers that the stop disconnected.
        """
        stopped_node = self.nodes[name]
        return runtime.submit_to_loop(stopped_node.loop, stopped_node.stop)

    def put(self, key: str, value: object) -> None:
        """Writes a document to the store, replacing any existing one."""
        raw = json.dumps(decisions.unstructure(value)).encode()
        name = _kv.encode_key(key)
        known = self.kv.state.range(name, "")
        revision = known[0][1].revision if known else 0
        self.kv.state.put_if(name, _kv.encode_key(raw.decode()), revision, 0)

    def add_contract(
        self,
        customer: str,
        logins: dict[str, str],
        share: int = 1,
        staleness_s: float = 5.0,
        version: int = 1,
    ) -> decisions.Contract:
        """Writes a customer's contract to the store.

        Args:
            customer: The customer.
            logins: Passwords by login.
            share: The customer's weight in admission.
            staleness_s: Default maximum age of its reads, in seconds.
            version: The contract's version.
        """
        contract = decisions.Contract(
            customer=customer,
            databases=self.plan.databases,
            share=share,
            connections=10,
            staleness_s=staleness_s,
            version=version,
            logins=tuple(
                node.make_login(name, password, secrets.token_bytes(16))
                for name, password in logins.items()
            ),
        )
        self.put(decisions.CONTRACT_PREFIX + customer, contract)
        return contract

    def primary(self, database: str) -> _member.Member:
        """Returns the member that leads the latest term.

        Raises:
            FleetNotReadyError: No member is primary.
        """
        leaders = [
            m for m in self.members[database].values() if m.replica.leads
        ]
        if not leaders:
            raise FleetNotReadyError(f"{database} has no primary")
        return max(leaders, key=lambda m: m.replica.term)

    def isolate(self, database: str, name: str) -> None:
        """Isolates a member: it stops answering nodes and other members."""
        self.members[database][name].faults.silent = True
        self.groups[database].set_down(name, True)

    def heal(self, database: str, name: str) -> None:
        """Ends the isolation of a member."""
        member = self.members[database][name]
        member.faults.silent = False
        self.groups[database].set_down(name, False)

    def dsn(self, node_name: str, customer: str, login: str) -> str:
        """Returns a `psycopg` connection string, without the password."""
        port = self.nodes[node_name].caller_port
        user = f"{login}@{customer}"
        database = self.plan.databases[0]
        return f"host=127.0.0.1 port={port} user={user} dbname={database}"

    def close(self) -> None:
        """Stops all nodes and fakes."""
        for name in list(self.nodes):
            self.kill_node(name)
        self.kv.close()
        self.vms.close()
        self.loop.stop()

    def _add_database(self, name: str) -> None:
        group = _log.Group(
            self.loop, _log.LinkFaults(delay_s=self.plan.delay_s)
        )
        self.groups[name] = group
        members = {}
        described = []
        for centre in self.plan.data_centres[:3]:
            member = _member.Member(self.loop, f"{name}-{centre}", group)
            members[member.name] = member
            described.append(
                decisions.Member(member.name, centre, "127.0.0.1", member.port)
            )
            self.vms.put(
                node.Vm(
                    name=member.name,
                    kind="endpoint",
                    state="live",
                    data_centre=centre,
                    host="127.0.0.1",
                    port=member.port,
                )
            )
        self.members[name] = members
        database = decisions.Database(
            name, tuple(described), self.plan.slots, self.plan.connections
        )
        self.put(decisions.TOPOLOGY_PREFIX + name, database)

    def on_loop(self, work: Callable[[], object]) -> None:
        """Runs a callable on the fakes' loop and waits for its result."""
        fut = runtime.submit_to_loop(
            self.loop, lambda: decisions.completed(work())
        )
        fut.result(CALL_TIMEOUT_S)


def _close_node(stopped_node: node.Node) -> "decisions.Future[None]":
    """Closes a node. Runs on the node's own loop."""
    stopped_node.close()
    return decisions.completed(None)
