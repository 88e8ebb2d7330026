"""Tests of the shares of a member's slots."""

import hypothesis
from hypothesis import strategies
import pytest

from ferry_proxy.queueing import _slot_shares

NODES = ("n1", "n2", "n3", "n4", "n5", "n6")


def shares(total, equal, *demands, unknown=0):
    by_name = dict(zip(NODES, demands, strict=False))
    return _slot_shares.shares(total, equal, by_name, unknown)


def test_a_busy_node_gets_all_slots_while_the_others_are_idle():
    found = shares(8, 2, 30, 0, 0, 0, 0, 0)
    assert found["n1"] == 8
    assert all(found[n] == 2 for n in NODES[1:])


def test_it_need_not_ask_for_each_statement():
    assert shares(8, 2, 3, 0, 0, 0, 0, 0)["n1"] == 8
    assert shares(8, 2, 3, 1, 0, 0, 0, 0)["n1"] == 5


def test_shares_return_to_equal_when_all_are_busy():
    found = shares(8, 2, 30, 30, 30, 30, 30, 30)
    assert found == dict.fromkeys(NODES, 2)


def test_a_flood_does_not_take_what_others_use():
    assert shares(8, 2, 500, 1, 1, 1, 1, 1)["n1"] == 3
    assert shares(8, 2, 500, 2, 0, 0, 2, 0)["n1"] == 4
    assert shares(8, 2, 500, 500, 0, 0, 0, 0)["n1"] == 4


def test_equal_demands_get_equal_shares():
    assert set(shares(8, 1, 9, 9, 9, 9, 9, 9).values()) == {1}
    assert set(shares(8, 1, 9, 9, 9, 9, 9).values()) == {2}


@pytest.mark.parametrize(("unknown", "expected"), [(0, 8), (1, 6), (5, 2)])
def test_a_part_is_kept_for_nodes_without_news(unknown, expected):
    assert shares(8, 2, 100, unknown=unknown)["n1"] == expected


@hypothesis.given(
    total=strategies.integers(1, 20),
    equal=strategies.integers(1, 4),
    demands=strategies.lists(strategies.integers(0, 40), max_size=6),
    unknown=strategies.integers(0, 5),
)
def test_shares_are_bounded_fair_and_use_all_slots(
    total, equal, demands, unknown
):
    by_name = dict(zip(NODES, demands, strict=False))
    found = _slot_shares.shares(total, equal, by_name, unknown)
    turned = dict(reversed(by_name.items()))
    assert _slot_shares.shares(total, equal, turned, unknown) == found
    assert all(s >= equal for s in found.values())
    active = [n for n in by_name if by_name[n]]
    grown = [n for n in active if found[n] > equal]
    if grown:
        free = total - unknown * equal
        assert sum(found[n] for n in grown) <= free + len(active) / 2
    used = sum(min(found[n], by_name[n]) for n in active)
    free = total - unknown * equal
    # Less than half a statement for each node of equal demand is left over.
    assert used >= min(free, sum(demands)) - len(active) / 2
    for node in active:
        for other in active:
            if found[node] < by_name[node]:
                assert found[other] <= found[node]
