"""Streams to other nodes that serve the same groups."""

from collections.abc import Mapping
import typing

import ferry_decisions as decisions

from ferry_proxy import _peers


class ServingPeer(_peers.Peer, typing.Protocol):
    """The part of a stream to a node that serves the same groups."""

    @property
    def understands_load(self) -> bool:
        """Whether the peer's build knows demands and load reports."""


class ServingStreams(_peers.Peers, typing.Protocol):
    """The connected peers as `ServingPeer`, also by name."""

    @property
    def by_name(self) -> Mapping[str, ServingPeer]:
        """The open streams, keyed by the peer's name."""


def first_connected(
    service: str, node: str, mesh: _peers.Peers
) -> _peers.Peer | None:
    """Returns the stream to the first of a group's connected serving nodes.

    It is the first by rendezvous hashing. If nodes disagree about which peers
    are connected, two of them may be the first for a while.

    Args:
        service: The group.
        node: This node's name.
        mesh: The streams to the other nodes that serve the group.

    Returns:
        The stream, or None if this node is the first.
    """
    streams = {s.peer: s for s in mesh.streams}
    first = min(
        [node, *streams],
        key=lambda n: decisions.rendezvous_score(service, n),
    )
    return streams.get(first)
