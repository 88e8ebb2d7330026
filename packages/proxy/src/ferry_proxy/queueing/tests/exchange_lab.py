"""Six serving nodes that exchange demands over fake streams."""

import functools

import attrs
import ferry_decisions as decisions

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
