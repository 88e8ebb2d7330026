"""A whole small fleet in one process, on loopback, for demos and tests.

The stand-ins run on one loop and each node on a loop of its own, as in
processes of their own; they meet over sockets only.
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

ADMIN_TOKEN = "demo-token"  # noqa: S105 - of a stand-in on loopback

KILL_TIMEOUT_S = 10.0  # Bounds a run that hangs.


@attrs.frozen(slots=True)
class FleetPlan:
    """What a fleet consists of.

    Attributes:
        data_centres: Their names; each has the same number of nodes.
        nodes_per_centre: Entry VMs in each.
        databases: Names of databases; each has a member in each of the first
            three data centres.
        slots: Statements at once on one member.
        connections: Endpoint connections per database.
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
    """The fleet did not come up in time."""


class Fleet:
    """The platform, the databases and the nodes."""

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
        """Ends a node at once, as the loss of its VM does.

        Returns once it has ended: nothing that is sent later reaches it.
        """
        found = self.nodes.pop(name)
        closed = runtime.submit_to_loop(found.loop, lambda: _closed(found))
        closed.result(KILL_TIMEOUT_S)
        found.loop.stop()

    def stop_node(self, name: str) -> "concurrent.futures.Future[int]":
        """Begins a planned stop; the future counts what was cut off."""
        found = self.nodes[name]
        return runtime.submit_to_loop(found.loop, found.stop)

    def put(self, key: str, value: object) -> None:
        """Writes a document to the store, over whatever is there."""
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
            share: Its weight.
            staleness_s: Its reads' default age, in seconds.
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
            FleetNotReadyError: None does.
        """
        leaders = [
            m for m in self.members[database].values() if m.replica.leads
        ]
        if not leaders:
            raise FleetNotReadyError(f"{database} has no primary")
        return max(leaders, key=lambda m: m.replica.term)

    def isolate(self, database: str, name: str) -> None:
        """Cuts a member off: silent to all nodes and to the other members."""
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
        """Ends everything."""
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
        """Runs work on the stand-ins' loop and waits for it."""
        fut = runtime.submit_to_loop(
            self.loop, lambda: decisions.completed(work())
        )
        fut.result(CALL_TIMEOUT_S)


def _closed(found: node.Node) -> "decisions.Future[None]":
    """Closes a node, on its own loop."""
    found.close()
    return decisions.completed(None)
