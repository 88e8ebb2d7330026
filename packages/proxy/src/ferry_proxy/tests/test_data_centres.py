"""Nodes that are cut off together with their data centre."""

import random
import typing

import attrs
import ferry_decisions as decisions
import ferry_runtime as runtime
import pytest

from ferry_proxy import _groups
from ferry_proxy import _mesh
from ferry_proxy import _peer_messages
from ferry_proxy import _policy
from ferry_proxy import _reachability
from ferry_proxy import _records
from ferry_proxy.tests import test_peers

POLICY = _policy.Policy()
GROUPS = ("books", "orders", "postings", "taxes")
CHECK_S = 0.1
# The nodes of each data centre that serve groups.
SERVING = 2


@attrs.define
class FakeGroups:
    """Groups that this node cannot serve unless the test says so."""

    served: frozenset[str] = frozenset(GROUPS)
    groups: dict[str, _groups.Group] = attrs.field(factory=dict)
    plans: tuple[str, ...] = GROUPS

    def can_serve(self, service):
        return service in self.served


@attrs.define
class FakeReports:
    """Serving nodes that serve no group, and may report it as missed."""

    missed: frozenset[str] = frozenset()

    def is_served(self, service):
        return False

    def is_missed(self, service):
        return service in self.missed


class Fleet:
    """One node's streams in a fleet of several data centres."""

    def __init__(self, monkeypatch, own: str, sizes: dict[str, int]) -> None:
        self.clock = decisions.VirtualTimers()
        self.nodes = [
            _records.NodeEntry(f"node-{dc}-{n}", f"{dc}{n}", 1, dc)
            for dc, size in sizes.items()
            for n in range(1, size + 1)
        ]
        self.by_host = {n.host: n for n in self.nodes}
        self.refused: set[str] = set()
        self.silent: set[str] = set()
        self.raws: dict[str, typing.Any] = {}
        monkeypatch.setattr(runtime, "connect", self._connect)
        entry = next(n for n in self.nodes if n.name == own)
        self.mesh = _mesh.Mesh(typing.cast(typing.Any, self.clock), entry)
        self.mesh.set_nodes(self.nodes, ())
        self.serving = [
            n for n in self.nodes if int(n.name.split("-")[-1]) <= SERVING
        ]
        self.groups = FakeGroups()
        self.reports = FakeReports()
        self.reach = _reachability.Reachability(
            self.clock, POLICY, self.mesh, self.groups, self.reports
        )

    def _connect(self, _loop, host, _port):
        raw = test_peers.FakeStream()
        self.raws[host] = raw
        self.clock.after(0.002, lambda: self._settle(host, raw))
        return raw

    def _settle(self, host, raw) -> None:
        if host in self.refused:
            raw.closed = True
            raw.on_closed(runtime.StreamClosedError("refused", True))
        elif host not in self.silent and not raw.closed:
            hello = _peer_messages.Hello(self.by_host[host].name)
            raw.on_data(_peer_messages.encode(0, hello))

    def run(self, seconds: float) -> None:
        """Plays pings and checks for a while."""
        for step in range(round(seconds / CHECK_S)):
            self.clock.advance(CHECK_S)
            if step % round(_mesh.PING_S / CHECK_S) == 0:
                self._ping()
            self.mesh.want(self.serving)
            self.reach.evaluate()

    def _ping(self) -> None:
        ping = _peer_messages.Ping(0, 17, 3, 0.5, [], [])
        for host, raw in list(self.raws.items()):
            if not raw.closed and host not in self.silent | self.refused:
                raw.on_data(_peer_messages.encode(0, ping))
        self.mesh._tick()

    def silence(self, *names: str) -> None:
        """Cuts off data centres, or single nodes."""
        self.silent |= {
            n.host
            for n in self.nodes
            if n.data_centre in names or n.name in names
        }

    def refuse(self, nodes) -> None:
        """Ends the streams to some nodes; new ones are refused."""
        self.refused = {n.host for n in nodes}
        error = runtime.StreamClosedError("reset", False)
        for host in self.refused & self.raws.keys():
            self.raws[host].closed = True
            self.raws[host].on_closed(error)

    def heal(self) -> None:
        """Ends all failures."""
        self.silent.clear()
        self.refused.clear()

    def lose(self, *services: str) -> None:
        """Leaves groups without a primary that this node reaches."""
        self.groups.served = frozenset(GROUPS) - frozenset(services)


SIZES = {"a": 30, "b": 32, "c": 32}


@pytest.fixture(name="fleet")
def _fleet(monkeypatch):
    def create(own="node-c-1", **sizes):
        fleet = Fleet(monkeypatch, own, sizes or SIZES)
        fleet.run(3.0)
        assert not fleet.reach.is_cut_off
        return fleet

    return create


@pytest.mark.parametrize("own", [f"node-c-{n}" for n in range(1, 33)])
def test_each_node_of_a_cut_off_data_centre_leaves(fleet, own):
    """Two nodes that stay keep the callers of all 32.

    A serving node has as many streams within its data centre as beyond it.
    """
    lab = fleet(own)
    lab.silence("a", "b")
    lab.lose(*GROUPS)
    lab.run(POLICY.isolated_s + 2 * CHECK_S)
    assert lab.reach.is_cut_off
    assert lab.reach.missed == sorted(GROUPS)


def test_an_entry_with_few_streams_goes_by_its_serving_nodes(fleet):
    """Its ring of streams reaches only one other data centre."""
    lab = fleet("node-b-8")
    lab.serving = [n for n in lab.serving if n.data_centre == "b"]
    lab.run(3.0)
    lab.silence("a", "c")
    lab.lose(*GROUPS)
    lab.reports.missed = frozenset(GROUPS)
    lab.run(1.0)
    assert lab.reach.is_cut_off


def test_one_group_without_a_primary_is_enough(fleet):
    """The data centre has a primary, which serves reads for a while."""
    lab = fleet()
    lab.silence("a", "b")
    lab.lose("books")
    lab.run(1.0)
    assert lab.reach.is_cut_off


def test_a_data_centre_that_serves_all_groups_keeps_its_callers(fleet):
    lab = fleet()
    lab.silence("a", "b")
    lab.run(3.0)
    assert not lab.reach.is_cut_off


@pytest.mark.parametrize("own", ["node-a-1", "node-b-2", "node-b-30"])
def test_the_larger_side_stays(fleet, own):
    lab = fleet(own)
    lab.silence("c")
    lab.lose(*GROUPS)
    lab.run(3.0)
    assert not lab.reach.is_cut_off


def test_a_data_centre_with_most_of_the_fleet_stays(fleet):
    lab = fleet(a=10, b=10, c=40)
    lab.silence("a", "b")
    lab.lose("books")
    lab.run(3.0)
    assert not lab.reach.is_cut_off


@pytest.mark.parametrize("own", ["node-a-1", "node-b-1"])
def test_neither_of_two_equal_data_centres_leaves(fleet, own):
    lab = fleet(own, a=8, b=8)
    lab.silence("b" if own == "node-a-1" else "a")
    lab.lose(*GROUPS)
    lab.run(3.0)
    assert not lab.reach.is_cut_off


@pytest.mark.parametrize("services", [("books",), GROUPS])
def test_a_failure_that_all_nodes_share_sends_nobody_away(fleet, services):
    """A primary has crashed, or the store is away and none is replaced."""
    lab = fleet()
    lab.lose(*services)
    lab.run(5.0)
    assert not lab.reach.is_cut_off


@pytest.mark.parametrize("sizes", [SIZES, {"a": 8, "b": 8}, {"a": 8}])
def test_a_node_that_is_cut_off_alone_leaves(fleet, sizes):
    lab = fleet("node-a-1", **sizes)
    lab.silence(*sizes)
    lab.lose(*GROUPS)
    lab.run(1.0)
    assert lab.reach.is_cut_off


def test_silence_in_one_direction_is_a_cut(fleet):
    """Peers get this node's messages, but none of theirs arrives."""
    lab = fleet()
    lab.silence("a", "b")
    lab.lose(*GROUPS)
    lab.run(1.0)
    assert lab.reach.is_cut_off
    assert all(lab.raws[h].sent for h in lab.silent if h in lab.raws)


def test_streams_that_ended_in_the_cut_stay_silent(fleet):
    lab = fleet()
    lab.silence("a", "b")
    lab.lose(*GROUPS)
    for _ in range(8):
        lab.run(1.0)
        assert lab.reach.is_cut_off


def test_a_cut_that_heals_and_comes_again(fleet):
    lab = fleet()
    for _ in range(3):
        lab.silence("a", "b")
        lab.lose(*GROUPS)
        lab.run(2.5)
        assert lab.reach.is_cut_off
        lab.heal()
        lab.lose()
        lab.run(1.0)
        assert not lab.reach.is_cut_off


@pytest.mark.parametrize("seed", range(5))
def test_half_of_the_fleet_restarts(fleet, seed):
    """VMs whose processes restart refuse connections; they are not silent."""
    lab = fleet()
    gone = random.Random(seed).sample(lab.nodes, len(lab.nodes) // 2)
    lab.refuse(n for n in gone if n.name != "node-c-1")
    lab.lose(*GROUPS)
    for _ in range(30):
        lab.run(CHECK_S)
        assert not lab.reach.is_cut_off


@pytest.mark.parametrize("cut", [("a", "b"), ("a", "b", "c")])
def test_a_firewall_that_refuses_connections_cuts_off_too(fleet, cut):
    """What refuses is not the VM: no peer nearby refuses, or all do."""
    lab = fleet()
    lab.refuse(n for n in lab.nodes if n.data_centre in cut)
    lab.lose(*GROUPS)
    lab.run(1.0)
    assert lab.reach.is_cut_off
