"""The list of nodes that a node acts on, while many nodes register at once."""

import attrs
import ferry_decisions as decisions
import pytest

from ferry_proxy import _records
from ferry_proxy import _roster


@attrs.define
class FakeCatalogue:
    """A copy of the store that holds only nodes."""

    is_read: bool = False
    nodes: dict[str, _records.NodeEntry] = attrs.field(factory=dict)

    def add(self, name: str) -> None:
        self.is_read = True
        self.nodes[name] = _records.NodeEntry(name, "h", 1)


class Lab:
    """A roster that is updated as often as a node does so."""

    def __init__(self, *listed: str) -> None:
        self.clock = decisions.VirtualTimers()
        self.catalogue = FakeCatalogue()
        for name in listed:
            self.catalogue.add(name)
        self.roster = _roster.Roster(
            self.clock,
            self.catalogue,  # type: ignore[arg-type]
            "own",
        )
        self.changes: list[float] = []
        self.update()
        decisions.PeriodicTimer(self.clock, 0.1, self.update)

    def update(self) -> None:
        if self.roster.update():
            self.changes.append(round(self.clock.now(), 2))


def test_a_fleet_that_starts_is_taken_over_as_a_whole():
    """195 nodes register within 0.3 s; each of them used to be a change."""
    lab = Lab("n0")
    for n in range(195):
        lab.clock.advance(0.3 / 195)
        lab.catalogue.add(f"n{n:03}")
        lab.update()
    lab.clock.advance(2.0)
    assert len(lab.changes) == 1
    assert len(lab.roster.nodes) == 196


def test_a_node_that_is_back_takes_the_list_over_at_once():
    lab = Lab("own", "n1", "n2")
    assert lab.changes == [0.0]


def test_a_single_change_is_taken_over_at_once_and_more_after_a_pause():
    lab = Lab("own", "n1")
    lab.clock.advance(5.0)
    lab.catalogue.add("n2")
    lab.update()
    lab.catalogue.add("n3")
    lab.update()
    lab.clock.advance(2.0)
    assert lab.changes == [0.0, 5.0, 5.6]
    assert set(lab.roster.nodes) == {"own", "n1", "n2", "n3"}


def test_a_node_that_cannot_list_itself_is_known_to_be_alone():
    lab = Lab()
    lab.clock.advance(1.0)
    assert not lab.roster.is_known
    lab.catalogue.is_read = True  # The store holds no nodes.
    lab.clock.advance(1.0)
    assert lab.roster.is_known
    assert len(lab.changes) == 1


@pytest.mark.parametrize(
    ("is_store_read", "waited_s", "expected"),
    [(False, 0.1, False), (False, 0.3, True), (True, 0.3, False)],
)
def test_seeds_are_needed_once_the_store_is_late(
    is_store_read, waited_s, expected
):
    assert _roster.needs_seeds(is_store_read, waited_s) is expected
