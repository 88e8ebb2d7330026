"""Which groups a node serves while nodes join and leave."""

import attrs
import ferry_decisions as decisions
import pytest

from ferry_proxy import _catalogue
from ferry_proxy import _configuration
from ferry_proxy import _features
from ferry_proxy import _gates
from ferry_proxy import _metrics
from ferry_proxy import _peers
from ferry_proxy import _policy
from ferry_proxy import _pools
from ferry_proxy import _queueing
from ferry_proxy import _records
from ferry_proxy import _served_groups
from ferry_proxy import _serving_peers
from ferry_proxy import _serving_plan
from ferry_proxy import _statements
from ferry_proxy import _store
from ferry_proxy.queueing import _demand_messages
from ferry_proxy.tests import fakes

# With fewer than three connections for each node of the fleet, only some of
# the nodes serve a group.
CONNECTIONS = 14
FLEET = 12


@attrs.define
class FakePeer:
    """A stream to another node whose calls are never answered."""

    peer: str
    silence_s: float = 0.0
    understands_load: bool = True

    def call(self, body):
        return decisions.Future()

    def tell(self, body):
        pass


class FakeMesh:
    """The streams to other nodes, initially none."""

    def __init__(self) -> None:
        self.by_name: dict[str, _serving_peers.ServingPeer] = {}

    @property
    def streams(self) -> list[_peers.Peer]:
        return list(self.by_name.values())


class Lab:
    """One serving node of a fleet, and a group of three members."""

    def __init__(
        self,
        halls: tuple[str, ...] = ("hall-b",),
        features: _features.Features = _features.NONE,
    ) -> None:
        self.clock = decisions.VirtualTimers()
        self.policy = _policy.Policy()
        self.cluster = fakes.FakeCluster(self.clock)
        self.entries = [
            _records.NodeEntry(f"n{n}", "h", 1, halls[n % len(halls)])
            for n in range(FLEET)
        ]
        layout = _catalogue.Layout(
            "config",
            "members/",
            fakes._no_document,
            lambda name, _: self.cluster.members[name].entry(),
        )
        self.catalogue = _catalogue.Catalogue(self.clock, layout, self.policy)
        service = _configuration.Service("orders", CONNECTIONS, 1)
        self.cfg = _configuration.Configuration(
            1, {}, {"orders": service}, 3.0, 1 << 20
        )
        planner = _serving_plan.Planner(self.entries, 1)
        plan = planner.plan("orders", CONNECTIONS)
        self.serving = sorted(plan.nodes)
        self.own = next(e for e in self.entries if e.name in plan.nodes)
        self.stopping = False
        self.mesh = FakeMesh()
        store = fakes.FakeStore(self.clock)
        self.groups = _served_groups.ServedGroups(
            _served_groups.GroupsContext(
                clock=self.clock,
                policy=self.policy,
                own=self.own,
                catalogue=self.catalogue,
                nodes=lambda: self.catalogue.nodes,
                store=store,
                connector=self.cluster,
                promotions=self.cluster,
                mesh=self.mesh,
                metrics=_metrics.Metrics(),
                gate=_gates.OPEN,
                features=features,
                is_stopping=lambda: self.stopping,
            )
        )
        decisions.PeriodicTimer(self.clock, 0.1, self.groups.check)
        decisions.PeriodicTimer(self.clock, 0.4, self.groups.survey)
        self._last_revision = 0
        self.list_nodes(self.entries)
        for name in "abc":
            self.put("members/" + name, b"x")

    def put(self, key: str, value: bytes | None) -> None:
        self._last_revision += 1
        item = _store.Item(key, value, fakes.at(self._last_revision))
        self.catalogue.take((item,), "test")
        self.groups.apply(self.cfg)

    def list_nodes(self, entries) -> None:
        for entry in entries:
            self.put(_records.NODE_PREFIX + entry.name, entry.encode())


def test_a_serving_node_serves_well_once_it_has_found_the_primary():
    lab = Lab()
    assert not lab.groups.can_serve("orders")
    lab.clock.advance(1.0)
    assert lab.groups.can_serve("orders")
    assert {n.name for n in lab.groups.peers()} == set(lab.serving) - {
        lab.own.name
    }


def test_the_number_of_ejected_members_is_a_gauge_of_each_group():
    lab = Lab()
    lab.clock.advance(1.0)
    line = b'members_ejected{service="orders"}'
    metrics = lab.groups._ctx.metrics
    assert line + b" 0" in metrics.render()
    outcomes = lab.groups.groups["orders"].pools["b"].contact.outcomes
    outcomes.is_ejected = True
    assert line + b" 1" in metrics.render()


def test_a_stopping_node_serves_nobody_well():
    lab = Lab()
    lab.clock.advance(1.0)
    lab.stopping = True
    assert not lab.groups.can_serve("orders")


def test_nodes_that_do_not_serve_open_no_links():
    lab = Lab()
    others = [e for e in lab.entries if e.name not in lab.serving]
    lab.groups._ctx = attrs.evolve(lab.groups._ctx, own=others[0])
    lab.groups._served.clear()
    lab.groups.apply(lab.cfg)
    assert lab.groups.find("orders") is None
    assert "orders" in lab.groups.plans


def test_a_group_is_kept_for_a_while_when_another_node_serves_it():
    lab = Lab()
    lab.clock.advance(1.0)
    opened = sum(m.opened for m in lab.cluster.members.values())
    assert opened > 0
    # Nodes that rank before this one join, so it serves the group no longer.
    rank = decisions.rendezvous_score
    preferred_names = [
        n
        for n in (f"x{k}" for k in range(1000))
        if rank("orders", n) < rank("orders", lab.own.name)
    ]
    new_nodes = [
        _records.NodeEntry(n, "h", 1, "hall-b") for n in preferred_names[:2]
    ]
    lab.list_nodes(new_nodes)
    assert not lab.groups.can_serve("orders")
    served = lab.groups.find("orders")
    assert served is not None
    lab.put("members/a", None)
    assert set(served.group.pools) == {"b", "c"}
    lab.clock.advance(_served_groups.RETIREMENT_S + 0.2)
    assert lab.groups.find("orders") is None
    lab.clock.advance(1.0)
    links = [k for m in lab.cluster.members.values() for k in m.links]
    assert all(k.lost for k in links)
    assert all(k.state is _statements.TransactionState.IDLE for k in links)


def test_a_group_that_comes_back_is_kept():
    lab = Lab()
    lab.clock.advance(1.0)
    served = lab.groups.find("orders")
    assert served is not None
    served.retires_at = lab.clock.now() + 0.1
    lab.groups.apply(lab.cfg)
    lab.clock.advance(1.0)
    assert lab.groups.find("orders") is served


@pytest.mark.parametrize(
    ("heard", "silent", "after_s", "sharing"),
    [
        (0, 0, 0.5, 3),  # Just started, so all nodes count as present.
        (2, 0, 3.0, 3),
        (1, 1, 3.0, 2),  # One node has fallen silent or is cut off.
        (0, 0, 3.0, 1),
    ],
)
def test_members_are_shared_among_the_nodes_that_are_heard(
    heard, silent, after_s, sharing
):
    lab = Lab(("hall-a", "hall-b", "hall-c"))
    others = [n for n in lab.serving if n != lab.own.name]
    assert len(others) == 2
    for number, name in enumerate(others[: heard + silent]):
        silence_s = 0.1 if number < heard else 5.0
        lab.mesh.by_name[name] = FakePeer(name, silence_s)
    lab.clock.advance(after_s)
    pool = lab.groups.groups["orders"].pools["a"]
    expected = _queueing.parallel_statements(pool.member.slots, sharing)
    assert pool.parallel == expected


ENABLED = _features.Features(
    _policy.Policy(features={f.value: True for f in _policy.Feature}),
    lambda: None,
)
IDLE = _demand_messages.DemandReport({"orders": {}, "unknown": {"a": (1, 1)}})


def _shared_lab(features: _features.Features) -> tuple[Lab, list[str]]:
    """Returns a lab in which all serving nodes are heard, and the others."""
    lab = Lab(("hall-a", "hall-b", "hall-c"), features)
    others = [n for n in lab.serving if n != lab.own.name]
    for name in others:
        lab.mesh.by_name[name] = FakePeer(name)
    lab.clock.advance(3.0)
    return lab, others


def _queue_statements(lab: Lab) -> _pools.Pool:
    pool = lab.groups.groups["orders"].pools["b"]
    for _ in range(30):
        until = lab.clock.now() + 10.0
        pool.acquire(_pools.Use.STATEMENT, 1, until)
    return pool


@pytest.mark.parametrize(
    ("features", "grows"), [(_features.NONE, False), (ENABLED, True)]
)
def test_a_busy_node_gets_slots_that_the_others_leave(features, grows):
    lab, others = _shared_lab(features)
    pool = _queue_statements(lab)
    equal = pool.parallel
    for name in others:
        lab.groups.demands.note(name, IDLE)
    assert (pool.parallel > equal) is grows
    for _ in range(3):  # A check and a change of the store in between.
        lab.clock.advance(0.04)
        pool.contact.note_heard()
    lab.put("members/c", b"y")
    assert (pool.parallel > equal) is grows
    lab.clock.advance(1.0)
    assert pool.parallel == equal


def test_demands_of_nodes_that_do_not_serve_the_group_are_ignored():
    lab, _ = _shared_lab(ENABLED)
    pool = _queue_statements(lab)
    equal = pool.parallel
    other = next(e.name for e in lab.entries if e.name not in lab.serving)
    lab.mesh.by_name[other] = FakePeer(other)
    lab.groups.demands.note(other, IDLE)
    assert pool.parallel == equal


def test_loads_are_told_only_by_nodes_with_the_feature():
    lab, _ = _shared_lab(_features.NONE)
    assert lab.groups.told_load("orders") is None
    lab, _ = _shared_lab(ENABLED)
    assert lab.groups.told_load("orders") == []
    assert lab.groups.told_load("unknown") is None


@pytest.mark.parametrize(("done", "expected"), [(False, True), (True, False)])
def test_a_served_group_knows_of_a_claimed_change(done, expected):
    lab = Lab()
    lab.clock.advance(1.0)
    claim = _records.Claim("n9", 1, done=done)
    lab.put(_records.claim_key(0, "orders"), claim.encode())
    group = lab.groups.groups["orders"]
    now = lab.clock.boot_now()
    assert group.claimed_change.is_under_way(group.leader, now) is expected
