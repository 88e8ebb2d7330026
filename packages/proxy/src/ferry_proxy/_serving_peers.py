"""Streams to other nodes that serve the same groups."""

from collections.abc import Mapping
import typing

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
