"""Loads that are uneven between serving nodes, and failures of these."""

import functools

import attrs
import ferry_decisions as decisions
import pytest

from ferry_proxy import _configuration
from ferry_proxy import _execution
from ferry_proxy import _features
from ferry_proxy import _groups
from ferry_proxy import _peer_messages
from ferry_proxy import _policy
from ferry_proxy import _queueing
from ferry_proxy import _runners
from ferry_proxy.queueing import _demand_exchange
from ferry_proxy.queueing import _demand_messages
from ferry_proxy.queueing import _demands
from ferry_proxy.tests import fakes

SLOTS = 4
EQUAL = _queueing.parallel_statements(SLOTS, 6)
EQUAL_OF_FIVE = _queueing.parallel_statements(SLOTS, 5)
BUSY = _queueing.busy_statements(SLOTS)
NAMES = ("n1", "n2", "n3", "n4", "n5", "n6")


class Node:
    """A serving node whose exchange runs over fake streams."""

    def __init__(self, lab: "Lab", name: str) -> None:
        self.lab = lab
        self.name = name
        self.is_frozen = False
        self.cut_from: set[str] = set()
        self.understands_load = True
        self.messages_received = 0
        self._kept: list[tuple[str, _demand_messages.DemandReport]] = []
        self.group = _groups.Group(
            lab.clock,
            lab.group.service,
            "hall-b",
            lab.cluster,
            lab.policy,
        )
        self.group.set_members(lab.entries(), 12, len(lab.names))
        self.runner = _runners.LocalRunner(
            lab.clock,
            lab.policy,
            _execution.Executor(lab.clock, lab.policy),
            self.group,
        )
        self.exchange = _demand_exchange.DemandExchange(
            _demand_exchange.ExchangeContext(
                clock=lab.clock,
                own=name,
                streams=lambda: {
                    n: Stream(self, lab.nodes[n]) for n in lab.present(name)
                },
                groups=lambda: {"orders": self.group},
                sharing=lambda _: lab.present(name),
                is_on=lambda: lab.is_on(_policy.Feature.SLOT_SHARING),
            )
        )
        decisions.PeriodicTimer(
            lab.clock, lab.policy.probe_s, self.group.refresh, first=0.0
        )
        decisions.PeriodicTimer(lab.clock, 0.1, self.check)

    @property
    def share(self) -> int:
        return self.group.pools["b"].parallel

    def check(self) -> None:
        if not self.is_frozen:
            self.group.share_among(1 + len(self.lab.present(self.name)))
            self.exchange.update()

    def receive(self, sender: str, body: _demand_messages.DemandReport) -> None:
        if sender in self.cut_from:
            return
        if self.is_frozen:
            self._kept.append((sender, body))
            return
        self.messages_received += 1
        self.exchange.note(sender, body)

    def wake(self) -> None:
        self.is_frozen = False
        kept, self._kept = self._kept, []
        for sender, body in kept:
            self.receive(sender, body)


class Stream:
    """The stream from one serving node to another."""

    def __init__(self, sender: Node, receiver: Node) -> None:
        self.sender = sender
        self.receiver = receiver
        self.peer = receiver.name

    @property
    def silence_s(self) -> float:
        return 0.0

    @property
    def understands_load(self) -> bool:
        return self.receiver.understands_load

    def call(self, body):
        raise NotImplementedError

    def tell(self, body) -> None:
        if self.sender.is_frozen:
            return
        data = _peer_messages.encode(0, body)
        message = _peer_messages.Decoder().feed(data)[0].body
        assert isinstance(message, _demand_messages.DemandReport)
        self.sender.lab.clock.after(
            fakes.NET_S,
            functools.partial(self.receiver.receive, self.sender.name, message),
        )


class Lab(fakes.Lab):
    """Six serving nodes and a group of three members of four slots each."""

    def __init__(self, enabled: bool = True) -> None:
        self.names = set(NAMES)
        super().__init__(_configuration.Consistency.SESSION)
        features = {_policy.Feature.SLOT_SHARING.value: enabled}
        self._features = _features.Features(
            _policy.Policy(features=features), lambda: None
        )
        for member in self.cluster.members.values():
            member.slots = SLOTS
        self.nodes = {n: Node(self, n) for n in NAMES}
        self.outcomes: dict[str, list[str]] = {n: [] for n in NAMES}
        self.run(0.5)

    def is_on(self, feature: _policy.Feature) -> bool:
        return self._features.is_on(feature)

    def entries(self):
        found = self.cluster.entries()
        return {n: attrs.evolve(e, slots=SLOTS) for n, e in found.items()}

    def present(self, name: str) -> set[str]:
        return self.names - {name}

    def offer(self, name: str, per_s: float, seconds: float) -> None:
        """Sends reads to a serving node at a steady rate."""
        for number in range(int(per_s * seconds)):
            self.clock.after(number / per_s, lambda: self._ask(name))

    def _ask(self, name: str) -> None:
        node = self.nodes[name]
        self.runner = node.runner
        fut = self.session().run(fakes.statement("READ x"))
        node.exchange.note_statement("orders")
        fut.add_done_callback(
            lambda done: self.outcomes[name].append(
                done.result().reason.name if done.result().reason else "ran"
            )
        )

    def served(self, name: str) -> float:
        outcomes = self.outcomes[name]
        return outcomes.count("ran") / len(outcomes)


# A node can run some 500 reads a second with its equal part of three members,
# and some 1,100 with all slots.
FLOOD_PER_S = 900


@pytest.mark.parametrize(
    ("enabled", "least", "most"), [(False, 0.0, 0.7), (True, 0.95, 1.0)]
)
def test_a_flood_at_one_node_uses_the_idle_slots(enabled, least, most):
    """A team sends many times its usual number to its home node."""
    lab = Lab(enabled)
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
    lab = Lab(enabled)
    for name in ("n1", "n2"):
        lab.offer(name, 430, 2.0)
    for name in ("n3", "n4", "n5", "n6"):
        lab.offer(name, 30, 2.0)
    lab.offer("n1", 170, 2.0)
    lab.run(3.0)
    assert least <= lab.served("n1") <= most
    assert all(lab.served(n) > 0.95 for n in NAMES[1:])


def test_a_flood_does_not_take_the_slots_of_a_busy_node():
    lab = Lab()
    lab.offer("n1", 3_000, 2.0)
    lab.offer("n2", 300, 2.0)
    lab.run(3.0)
    assert lab.served("n2") > 0.95


def test_a_share_moves_within_two_trips_and_returns():
    lab = Lab()
    lab.offer("n1", 3_000, 0.5)
    lab.run(0.03 + 4 * fakes.NET_S)
    assert lab.nodes["n1"].share > EQUAL
    lab.run(2.0)
    assert {n.share for n in lab.nodes.values()} == {EQUAL}


def test_no_messages_pass_while_nobody_waits():
    lab = Lab()
    lab.run(0.035)  # No statement meets a status request at a member.
    for name in NAMES:
        lab.offer(name, 25, 1.0)
    lab.run(2.0)
    assert sum(n.exchange.messages_sent for n in lab.nodes.values()) == 0


def test_messages_are_bounded_while_statements_wait():
    lab = Lab()
    lab.offer("n1", 3_000, 1.0)
    lab.run(1.0)
    received = [n.messages_received for n in lab.nodes.values()]
    assert max(received) <= 5 * 1.0 / _demand_exchange.TELL_INTERVAL_S + 5


@pytest.mark.parametrize("enabled", [False, True])
def test_without_news_the_share_is_equal(enabled):
    lab = Lab(enabled)
    for name in NAMES[1:]:
        lab.nodes[name].understands_load = False
        lab.nodes[name].cut_from = set(NAMES)
    lab.offer("n1", FLOOD_PER_S, 0.5)
    lab.run(0.4)
    assert lab.nodes["n1"].share == EQUAL


def _flood_all(lab: Lab, seconds: float) -> None:
    for name in NAMES:
        lab.offer(name, 400, seconds)


def test_the_share_of_a_node_that_dies_goes_to_the_others():
    lab = Lab()
    _flood_all(lab, 1.0)
    lab.run(0.5)
    lab.nodes["n6"].is_frozen = True
    lab.run(_demands.DEMAND_TTL_S)
    lab.names.discard("n6")
    lab.run(0.15)
    shares = [lab.nodes[n].share for n in NAMES[:5]]
    assert set(shares) == {EQUAL_OF_FIVE}


def test_a_node_that_joins_gets_its_share():
    lab = Lab()
    lab.names.discard("n6")
    lab.offer("n1", 3_000, 1.5)
    lab.run(0.5)
    before = lab.nodes["n1"].share
    lab.names.add("n6")
    lab.offer("n6", 3_000, 1.0)
    lab.run(0.4)
    assert lab.nodes["n1"].share < before == BUSY
    assert lab.nodes["n1"].share == lab.nodes["n6"].share


def test_a_frozen_node_wakes_without_old_news():
    """What it was told before has expired, and what arrives next counts."""
    lab = Lab()
    lab.offer("n1", 3_000, 0.6)
    lab.run(0.3)
    node = lab.nodes["n2"]
    node.is_frozen = True
    lab.run(2.0)
    assert lab.nodes["n1"].share == EQUAL
    node.is_frozen = False
    node.check()
    assert node.share == EQUAL
    lab.offer("n2", FLOOD_PER_S, 1.0)
    lab.run(1.5)
    assert lab.served("n2") > 0.9


def test_messages_that_a_frozen_node_finds_do_not_last():
    lab = Lab()
    node = lab.nodes["n2"]
    node.is_frozen = True
    lab.offer("n1", 3_000, 0.5)
    lab.run(2.0)
    node.wake()
    assert EQUAL <= node.share <= BUSY
    lab.run(_demands.DEMAND_TTL_S + 0.15)
    assert node.share == EQUAL


@pytest.mark.parametrize("sides", [("n1",), ("n1", "n2")])
def test_a_node_that_is_cut_off_in_one_direction_keeps_its_share(sides):
    lab = Lab()
    for name in NAMES:
        if name != "n1":
            lab.nodes[name].cut_from = {"n1"}
            if "n2" in sides:
                lab.nodes["n1"].cut_from.add(name)
    _flood_all(lab, 0.6)
    lab.run(0.5)
    shares = {n: node.share for n, node in lab.nodes.items()}
    assert set(shares.values()) == {EQUAL}


def test_a_flood_is_served_while_a_member_restarts():
    lab = Lab()
    lab.offer("n1", FLOOD_PER_S, 2.0)
    lab.run(0.5)
    lab.cluster.restart("b")
    for node in lab.nodes.values():
        node.group.set_members(lab.entries(), 12, len(lab.names))
        node.exchange.apply()
    lab.run(0.1)
    assert lab.nodes["n1"].share > EQUAL
    lab.run(2.0)
    assert lab.served("n1") > 0.95
    assert {n.share for n in lab.nodes.values()} == {EQUAL}


def test_a_member_that_stops_answering_gets_no_more_statements():
    """They would all hang there until their callers give up."""
    lab = Lab()
    lab.offer("n1", FLOOD_PER_S, 2.0)
    lab.run(0.5)
    assert lab.nodes["n1"].share == BUSY
    lab.cluster.members["b"].dark = True
    lab.run(_demand_exchange.MIN_ANSWER_S + 0.02)
    assert lab.nodes["n1"].share == EQUAL


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
    lab = Lab()
    message = _demand_messages.DemandReport(demands)
    for name in NAMES[1:]:
        lab.nodes["n1"].exchange.note(name, message)
    assert lab.nodes["n1"].share >= EQUAL
    lab.run(1.0)
    assert lab.nodes["n1"].share == EQUAL


def test_a_node_that_tells_too_much_leaves_the_others_their_part():
    lab = Lab()
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
