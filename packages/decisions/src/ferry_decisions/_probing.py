"""Messages and settings of the membership protocol's probes."""

import enum
import typing

import attrs

from ferry_decisions import _placement


class Health(enum.IntEnum):
    """A node's health; the higher value wins at equal incarnations."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@attrs.frozen(slots=True)
class Update:
    """A change of a node's health, piggybacked on probes.

    Attributes:
        node: The node that the update is about.
        incarnation: Incremented by the node when it refutes a suspicion.
        health: The node's health in the sender's view.
    """

    node: _placement.Node
    incarnation: int
    health: Health


@attrs.frozen(slots=True)
class Probe:
    """Asks a node to confirm that it is alive.

    Attributes:
        number: The sender's sequence number of the probe.
        sender: The node that sends the probe.
        updates: Piggybacked membership updates.
    """

    number: int
    sender: _placement.Node
    updates: tuple[Update, ...]


@attrs.frozen(slots=True)
class Ack:
    """Confirms that a probed node is alive.

    Attributes:
        number: The sequence number of the probe.
        sender: The node that was probed.
        incarnation: The incarnation of that node.
        updates: Piggybacked membership updates.
    """

    number: int
    sender: _placement.Node
    incarnation: int
    updates: tuple[Update, ...]


@attrs.frozen(slots=True)
class IndirectProbe:
    """Asks a helper to probe another node.

    Attributes:
        number: The sequence number to return in the `Ack`.
        sender: The node that requests the probe.
        target: The node to probe.
        updates: Piggybacked membership updates.
    """

    number: int
    sender: _placement.Node
    target: _placement.Node
    updates: tuple[Update, ...]


ProbeMessage = Probe | Ack | IndirectProbe


class ProbeTransport(typing.Protocol):
    """An unreliable datagram transport for probe messages."""

    def send(self, node: _placement.Node, message: ProbeMessage) -> None:
        """Sends a message to a node; it may be lost."""


@attrs.frozen(slots=True)
class MembershipSettings:
    """Intervals, timeouts and limits of the membership protocol.

    Attributes:
        period_s: Interval between probes, in seconds.
        timeout_s: Timeout of a direct probe, in seconds.
        helpers: Number of nodes asked for an indirect probe.
        suspicion_s: Time a suspected node has to refute, in seconds; longer
            than any pause that must not count as a failure.
        refused_s: The same for a node whose host refuses connections.
        push_s: How long updates are collected before they are pushed, in
            seconds.
        fanout: Number of nodes to which updates are pushed.
        local_share: Fraction of the probes sent within the node's own data
            centre.
        dead_probe_interval: One probe out of this many goes to a dead node.
        max_updates: Maximum number of updates in one message.
        pause_threshold_s: A timer delayed by this much or more indicates that
            this process was paused.
    """

    period_s: float = 1.0
    timeout_s: float = 0.3
    helpers: int = 3
    suspicion_s: float = 3.0
    refused_s: float = 0.6
    push_s: float = 0.05
    fanout: int = 3
    local_share: float = 0.75
    dead_probe_interval: int = 5
    max_updates: int = 8
    pause_threshold_s: float = 0.2
