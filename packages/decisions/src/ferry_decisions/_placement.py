"""Assignment of members to serving nodes, computed locally on each node.

By rendezvous hashing, each live node has a score for a member, and the node
with the highest score serves it. Nodes in the member's data centre are
preferred, so a single nearby node owns the member's queue and connections. A
node that joins or leaves moves only its own members.
"""

from collections.abc import Iterable

import attrs

from ferry_decisions import _databases
from ferry_decisions import _hashing


@attrs.frozen(slots=True)
class Node:
    """The identity and the addresses of a node.

    Attributes:
        name: Its name, unique in the fleet; a replacement gets a new name.
        data_centre: The data centre in which it runs.
        host: Its IP address.
        peer_port: The TCP port of its peer streams.
        probe_port: The UDP port of its membership probes.
    """

    name: str
    data_centre: str
    host: str
    peer_port: int
    probe_port: int


def ranked(key: str, nodes: Iterable[Node]) -> list[Node]:
    """Returns the nodes sorted by descending score for a key."""
    return sorted(
        nodes,
        key=lambda n: _hashing.rendezvous_score(key, n.name),
        reverse=True,
    )


def serving_node(
    database: _databases.Database,
    member: _databases.Member,
    nodes: Iterable[Node],
) -> Node | None:
    """Returns the node that serves a member, or None if `nodes` is empty."""
    live = list(nodes)
    local = [n for n in live if n.data_centre == member.data_centre]
    key = f"{database.name}/{member.name}"
    candidates = local or live
    if not candidates:
        return None
    return max(candidates, key=lambda n: _hashing.rendezvous_score(key, n.name))


def store_readers(
    data_centre: str, nodes: Iterable[Node], count: int
) -> list[Node]:
    """Returns the `count` nodes of a data centre that read the store."""
    local = [n for n in nodes if n.data_centre == data_centre]
    return ranked(f"store-reader/{data_centre}", local)[:count]
