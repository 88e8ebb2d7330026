"""Entries of nodes that are gone for good."""

import pytest

from ferry_proxy import _lost_nodes
from ferry_proxy import _mesh
from ferry_proxy import _records
from ferry_proxy.tests import test_followers


class FakeReach:
    """Which peers a node reaches."""

    def __init__(self) -> None:
        self.connected: set[str] = set()
        self.share = 1.0

    def reached_share(self, limit_s: float) -> float:
        return self.share


class Lab(test_followers.Lab):
    """A node that watches the next one on the ring."""

    def __init__(self) -> None:
        super().__init__()
        self.mesh = FakeReach()
        node = self.reader
        self.lost = _lost_nodes.LostNodes(
            self.clock, node.own, node.store, node.copy,
            node.follower, self.mesh,
        )  # fmt: skip
        self.next = _mesh.successor(node.own.name, node.copy.nodes)
        self.mesh.connected.add(self.next)

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * 10)):
            self.lost.check()
            self.clock.advance(0.1)

    @property
    def is_listed(self) -> bool:
        key = _records.NODE_PREFIX + self.next
        return self.store.items[key].value is not None


def test_a_node_that_is_long_out_of_reach_is_removed_once():
    lab = Lab()
    lab.run(5.0)
    lab.mesh.connected.clear()
    lab.run(_lost_nodes.REMOVE_AFTER_S - 1.0)
    assert lab.is_listed
    lab.run(2.0)
    assert not lab.is_listed
    assert lab.reader.store.calls.count("remove_if") == 1


@pytest.mark.parametrize(
    "spoil",
    [
        lambda lab: setattr(lab.mesh, "share", 0.2),
        lambda lab: setattr(lab.store, "down", True),
        lambda lab: lab.mesh.connected.add(lab.next),
    ],
    ids=["alone itself", "store away", "back again"],
)
def test_nobody_is_removed_by_a_node_that_may_be_wrong(spoil):
    lab = Lab()
    lab.mesh.connected.clear()
    lab.run(_lost_nodes.REMOVE_AFTER_S - 6.0)
    spoil(lab)
    lab.run(12.0)
    assert lab.is_listed
    assert "remove_if" not in lab.reader.store.calls


@pytest.mark.parametrize(
    ("own", "names", "expected"),
    [
        ("b", ["a", "b", "c"], "c"),
        ("c", ["a", "b", "c"], "a"),
        ("a", ["a"], ""),
        ("a", [], ""),
    ],
)
def test_the_next_node_on_the_ring(own, names, expected):
    assert _mesh.successor(own, names) == expected
