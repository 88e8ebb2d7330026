"""Who serves a group, in fleets of several sizes."""

import pytest

from ferry_proxy import _records
from ferry_proxy import _serving_plan


def fleet(size: int, places: int) -> list[_records.NodeEntry]:
    return [
        _records.NodeEntry(f"n{n}", f"h{n}", 1, f"hall-{n % places}")
        for n in range(size)
    ]


@pytest.mark.parametrize(
    ("size", "places", "connections", "serving", "links"),
    [
        (1, 1, 33, 1, 16),
        (7, 3, 33, 7, 4),
        (6, 4, 34, 6, 4),
        (8, 3, 21, 6, 3),
        (68, 3, 49, 6, 7),
        (61, 5, 157, 10, 14),
        (68, 3, 10, 3, 2),
        (410, 7, 35, 7, 4),
        (300, 3, 1, 3, 1),
    ],
)
def test_members_get_no_more_connections_than_they_take(
    size, places, connections, serving, links
):
    plan = _serving_plan.make_plan("orders", fleet(size, places), connections)
    assert (len(plan.nodes), plan.links) == (serving, links)
    assert len(plan.nodes) * plan.links <= max(connections, len(plan.nodes))


def test_each_data_centre_serves_and_groups_have_other_nodes():
    nodes = fleet(68, 3)
    plans = [_serving_plan.make_plan(f"db{n}", nodes, 49) for n in range(4)]
    for plan in plans:
        assert [len(plan.near(f"hall-{n}")) for n in range(3)] == [2, 2, 2]
    assert len({frozenset(p.nodes) for p in plans}) == 4


def test_a_node_that_comes_or_goes_moves_few_groups():
    nodes = fleet(68, 3)
    names = [f"db{n}" for n in range(100)]
    before = {n: _serving_plan.make_plan(n, nodes, 49).nodes for n in names}
    after = {n: _serving_plan.make_plan(n, nodes[1:], 49).nodes for n in names}
    moved = [n for n in names if before[n].keys() != after[n].keys()]
    assert all("n0" in before[n] for n in moved)
    assert 0 < len(moved) < 25
