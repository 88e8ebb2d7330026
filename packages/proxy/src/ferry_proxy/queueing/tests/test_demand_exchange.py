"""Loads that are uneven between serving nodes, and failures of these."""

import ferry_decisions as decisions
import pytest

from ferry_proxy.queueing import _demand_exchange
from ferry_proxy.queueing import _demand_messages
from ferry_proxy.queueing import _demands
from ferry_proxy.queueing.tests import exchange_lab
from ferry_proxy.tests import fakes

# A node can run some 500 reads a second with its equal part of three members,
# and some 1,100 with all slots.
FLOOD_PER_S = 900


@pytest.mark.parametrize(
    ("enabled", "least", "most"), [(False, 0.0, 0.7), (True, 0.95, 1.0)]
)
def test_a_flood_at_one_node_uses_the_idle_slots(enabled, least, most):
    """A team sends many times its usual number to its home node."""
    lab = exchange_lab.Lab(enabled)
    lab.offer("n1", FLOOD_PER_S, 2.0)
    lab.run(3.0)
    assert len(lab.outcomes["n1"]) == 2 * FLOOD_PER_S
    assert least <= lab.served("n1") <= most


@pytest.mark.parametrize(
    ("enabled", "least", "most"), [(False, 0.0, 0.9), (True, 0.95, 1.0)]
)
def test_a_wave_at_one_data_centre_leaves_the_others_their_slots(
    enabled, least, most
):
    lab = exchange_lab.Lab(enabled)
    for name in ("n1", "n2"):
        lab.offer(name, 430, 2.0)
    for name in ("n3", "n4", "n5", "n6"):
        lab.offer(name, 30, 2.0)
    lab.offer("n1", 170, 2.0)
    lab.run(3.0)
    assert least <= lab.served("n1") <= most
    assert all(lab.served(n) > 0.95 for n in exchange_lab.NAMES[1:])


def test_a_flood_does_not_take_the_slots_of_a_busy_node():
    lab = exchange_lab.Lab()
    lab.offer("n1", 3_000, 2.0)
    lab.offer("n2", 300, 2.0)
    lab.run(3.0)
    assert lab.served("n2") > 0.95


def test_a_share_moves_within_two_trips_and_returns():
    lab = exchange_lab.Lab()
    lab.offer("n1", 3_000, 0.5)
    lab.run(0.03 + 4 * fakes.NET_S)
    assert lab.nodes["n1"].share > exchange_lab.EQUAL
    lab.run(2.0)
    assert {n.share for n in lab.nodes.values()} == {exchange_lab.EQUAL}


def test_no_messages_pass_while_nobody_waits():
    lab = exchange_lab.Lab()
    lab.run(0.035)  # No statement meets a status request at a member.
    for name in exchange_lab.NAMES:
        lab.offer(name, 25, 1.0)
    lab.run(2.0)
    assert sum(n.exchange.messages_sent for n in lab.nodes.values()) == 0


def test_messages_are_bounded_while_statements_wait():
    lab = exchange_lab.Lab()
    lab.offer("n1", 3_000, 1.0)
    lab.run(1.0)
    received = [n.messages_received for n in lab.nodes.values()]
    assert max(received) <= 5 * 1.0 / _demand_exchange.TELL_INTERVAL_S + 5


@pytest.mark.parametrize("enabled", [False, True])
def test_without_news_the_share_is_equal(enabled):
    lab = exchange_lab.Lab(enabled)
    for name in exchange_lab.NAMES[1:]:
        lab.nodes[name].understands_load = False
        lab.nodes[name].cut_from = set(exchange_lab.NAMES)
    lab.offer("n1", FLOOD_PER_S, 0.5)
    lab.run(0.4)
    assert lab.nodes["n1"].share == exchange_lab.EQUAL


def _flood_all(lab: exchange_lab.Lab, seconds: float) -> None:
    for name in exchange_lab.NAMES:
        lab.offer(name, 400, seconds)


def test_the_share_of_a_node_that_dies_goes_to_the_others():
    lab = exchange_lab.Lab()
    _flood_all(lab, 1.0)
    lab.run(0.5)
    lab.nodes["n6"].is_frozen = True
    lab.run(_demands.DEMAND_TTL_S)
    lab.names.discard("n6")
    lab.run(0.15)
    shares = [lab.nodes[n].share for n in exchange_lab.NAMES[:5]]
    assert set(shares) == {exchange_lab.EQUAL_OF_FIVE}


def test_a_node_that_joins_gets_its_share():
    lab = exchange_lab.Lab()
    lab.names.discard("n6")
    lab.offer("n1", 3_000, 1.5)
    lab.run(0.5)
    before = lab.nodes["n1"].share
    lab.names.add("n6")
    lab.offer("n6", 3_000, 1.0)
    lab.run(0.4)
    assert lab.nodes["n1"].share < before == exchange_lab.BUSY
    assert lab.nodes["n1"].share == lab.nodes["n6"].share


def test_a_frozen_node_wakes_without_old_news():
    """What it was told before has expired, and what arrives next counts."""
    lab = exchange_lab.Lab()
    lab.offer("n1", 3_000, 0.6)
    lab.run(0.3)
    node = lab.nodes["n2"]
    node.is_frozen = True
    lab.run(2.0)
    assert lab.nodes["n1"].share == exchange_lab.EQUAL
    node.is_frozen = False
    node.check()
    assert node.share == exchange_lab.EQUAL
    lab.offer("n2", FLOOD_PER_S, 1.0)
    lab.run(1.5)
    assert lab.served("n2") > 0.9


def test_messages_that_a_frozen_node_finds_do_not_last():
    lab = exchange_lab.Lab()
    node = lab.nodes["n2"]
    node.is_frozen = True
    lab.offer("n1", 3_000, 0.5)
    lab.run(2.0)
    node.wake()
    assert exchange_lab.EQUAL <= node.share <= exchange_lab.BUSY
    lab.run(_demands.DEMAND_TTL_S + 0.15)
    assert node.share == exchange_lab.EQUAL


@pytest.mark.parametrize("sides", [("n1",), ("n1", "n2")])
def test_a_node_that_is_cut_off_in_one_direction_keeps_its_share(sides):
    lab = exchange_lab.Lab()
    for name in exchange_lab.NAMES:
        if name != "n1":
            lab.nodes[name].cut_from = {"n1"}
            if "n2" in sides:
                lab.nodes["n1"].cut_from.add(name)
    _flood_all(lab, 0.6)
    lab.run(0.5)
    shares = {n: node.share for n, node in lab.nodes.items()}
    assert set(shares.values()) == {exchange_lab.EQUAL}


def test_a_flood_is_served_while_a_member_restarts():
    lab = exchange_lab.Lab()
    lab.offer("n1", FLOOD_PER_S, 2.0)
    lab.run(0.5)
    lab.cluster.restart("b")
    for node in lab.nodes.values():
        node.group.set_members(lab.entries(), 12, len(lab.names))
        node.exchange.apply()
    lab.run(0.1)
    assert lab.nodes["n1"].share > exchange_lab.EQUAL
    lab.run(2.0)
    assert lab.served("n1") > 0.95
    assert {n.share for n in lab.nodes.values()} == {exchange_lab.EQUAL}


def test_a_member_that_stops_answering_gets_no_more_statements():
    """They would all hang there until their callers give up."""
    lab = exchange_lab.Lab()
    lab.offer("n1", FLOOD_PER_S, 2.0)
    lab.run(0.5)
    assert lab.nodes["n1"].share == exchange_lab.BUSY
    lab.cluster.members["b"].dark = True
    lab.run(_demand_exchange.MIN_ANSWER_S + 0.02)
    assert lab.nodes["n1"].share == exchange_lab.EQUAL


@pytest.mark.parametrize(
    "demands",
    [
        None,
        [],
        {"orders": None},
        {"orders": {"b": None}},
        {"orders": {"b": [1]}},
        {"orders": {"b": [-5, 3]}},
        {"orders": {"b": [float("nan"), float("inf")]}},
        {"orders": {"b": [10**30, 0]}},
        {"orders": {"b": "ab", "unknown": [1, 1]}},
        {"other": {"b": [1, 1]}},
    ],
)
def test_invalid_figures_do_no_harm(demands):
    lab = exchange_lab.Lab()
    message = _demand_messages.DemandReport(demands)
    for name in exchange_lab.NAMES[1:]:
        lab.nodes["n1"].exchange.note(name, message)
    assert lab.nodes["n1"].share >= exchange_lab.EQUAL
    lab.run(1.0)
    assert lab.nodes["n1"].share == exchange_lab.EQUAL


def test_a_node_that_tells_too_much_leaves_the_others_their_part():
    lab = exchange_lab.Lab()
    huge = {"orders": dict.fromkeys("abc", (0, _demands.MAX_DEMAND))}
    lab.offer("n1", 300, 1.0)
    for number in range(40):
        lab.clock.after(
            number * 0.025,
            lambda: lab.nodes["n1"].exchange.note(
                "n6", _demand_messages.DemandReport(huge)
            ),
        )
    lab.run(1.5)
    assert lab.served("n1") > 0.95


def test_a_single_statement_in_progress_is_not_told():
    meter = _demands.DemandMeter()
    assert meter.sample("orders", {"a": decisions.Demand(2, 0)}) == {}
    waiting = decisions.Demand(2, 1)
    assert meter.sample("orders", {"a": waiting}) == {"a": (2, 1)}
    for _ in range(10):
        rows = meter.sample("orders", {"a": decisions.Demand(2, 0)})
    assert rows == {"a": (2, 0)}
    meter.keep([])
    assert not meter._means


def test_the_table_holds_only_recent_demands():
    clock = decisions.VirtualTimers()
    table = _demands.DemandTable(clock)
    for number in range(100):
        table.note(f"s{number}", "n2", {"a": [1, 1]}, {"a"})
    clock.advance(2 * _demands.DEMAND_TTL_S)
    table.trim()
    assert not table._told
