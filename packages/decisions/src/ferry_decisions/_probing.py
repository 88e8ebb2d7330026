"""Messages and settings of the probes that membership is made of."""

import enum
import typing

import attrs

from ferry_decisions import _placement


class Health(enum.IntEnum):
    """What is thought of a node; a higher value wins at equal incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@attrs.frozen(slots=True)
class Update:
    """News of a node, passed on with probes.

    Attributes:
        node: The node.
        incarnation: Raised by the node itself when it refutes a suspicion.
        health: What is thought of it.
    """

    node: _placement.Node
    incarnation: int
    health: Health


@attrs.frozen(slots=True)
class Probe:
    """Asks for a sign of life.

    Attributes:
        number: The sender's number for the probe.
        sender: Who asks.
        updates: News that travels along.
    """

    number: int
    sender: _placement.Node
    updates: tuple[Update, ...]


@attrs.frozen(slots=True)
class Ack:
    """A sign of life.

    Attributes:
        number: The number of the probe that it answers.
        sender: Who is alive.
        incarnation: Its incarnation.
        updates: News that travels along.
    """

    number: int
    sender: _placement.Node
    incarnation: int
    updates: tuple[Update, ...]


@attrs.frozen(slots=True)
class IndirectProbe:
    """Asks a node to probe another one.

    Attributes:
        number: The number that the Ack is to carry.
        sender: Who asks.
        target: Who is to be probed.
        updates: News that travels along.
    """

    number: int
    sender: _placement.Node
    target: _placement.Node
    updates: tuple[Update, ...]


ProbeMessage = Probe | Ack | IndirectProbe


class ProbeTransport(typing.Protocol):
    """Sends probe messages; they may be lost."""

    def send(self, node: _placement.Node, message: ProbeMessage) -> None:
        """Sends a message to a node."""


@attrs.frozen(slots=True)
class MembershipSettings:
    """The pace of the probes.

    Attributes:
        period_s: One probe is sent in each period, in seconds.
        timeout_s: Time for a direct answer, in seconds.
        helpers: Nodes that are asked for an indirect probe.
        suspicion_s: Time to refute a suspicion, in seconds; longer than any
            pause that must not count as a death.
        refused_s: The same for a node whose machine refuses connections.
        push_s: How long news is gathered before it is pushed, in seconds.
        fanout: Nodes to which it is pushed.
        near_share: Share of the probes that stay in the own data centre.
        dead_every: Each so-many-th probe goes to a node held to be dead.
        max_updates: Most pieces of news in one message.
        lateness_s: A timer that is later than this shows an own pause.
    """

    period_s: float = 1.0
    timeout_s: float = 0.3
    helpers: int = 3
    suspicion_s: float = 3.0
    refused_s: float = 0.6
    push_s: float = 0.05
    fanout: int = 3
    near_share: float = 0.75
    dead_every: int = 5
    max_updates: int = 8
    lateness_s: float = 0.2
