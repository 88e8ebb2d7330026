"""The identity of a node and its adapters to the platform."""

import attrs

from ferry_proxy import _catalogue
from ferry_proxy import _links
from ferry_proxy import _store


@attrs.frozen(slots=True)
class NodeIdentity:
    """The identity and the resources of a node.

    Attributes:
        name: Its name, unique among nodes.
        host: Its IP address.
        data_centre: The data centre that it runs in.
        peer_port: The port that peers connect to.
        seeds: Addresses of peers to contact first if the store is unreachable.
        grace_s: The time from the stop signal to the kill, in seconds.
        cores: The processor time that it gets, in cores; 0 if unknown.
        link_mbps: The bandwidth of its network link, in Mbit/s; 0 if unknown.
    """

    name: str
    host: str
    data_centre: str
    peer_port: int
    seeds: tuple[tuple[str, int], ...]
    grace_s: float
    cores: float = 0.0
    link_mbps: float = 0.0


@attrs.frozen(slots=True)
class Platform:
    """The adapters between a node and the platform that it runs on.

    Attributes:
        store: The key-value store.
        layout: The keys of the store and the decoding of their values.
        connector: Opens links to members.
        promotions: The API that promotes a member to primary.
    """

    store: _store.Store
    layout: _catalogue.Layout
    connector: _links.Connector
    promotions: _store.Promotions
