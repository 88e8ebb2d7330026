"""Which node serves which member, computed by each node without asking.

By rendezvous hashing, each live node gets a score for the member and the
highest wins. Nodes in the member's data centre go
first, so one node next to a member owns its queue and its connections, and a
node that comes or goes moves only its own members.
"""

from collections.abc import Iterable

import attrs

from ferry_decisions import _databases
from ferry_decisions import _hashing


@attrs.frozen(slots=True)
class Node:
    """A node as the others know it.

    Attributes:
        name: Unique in the fleet, new with each replacement.
        data_centre: Where it runs.
        host: Its IP number.
        peer_port: TCP port of its peer streams.
        probe_port: UDP port of its probes.
    """

    name: str
    data_centre: str
    host: str
    peer_port: int
    probe_port: int


def ranked(key: str, nodes: Iterable[Node]) -> list[Node]:
    """Returns nodes by descending score for a key."""
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
    """Returns the node that serves a member; None where no node is live."""
    live = list(nodes)
    near = [n for n in live if n.data_centre == member.data_centre]
    key = f"{database.name}/{member.name}"
    candidates = near or live
    if not candidates:
        return None
    return max(candidates, key=lambda n: _hashing.rendezvous_score(key, n.name))


def store_readers(
    data_centre: str, nodes: Iterable[Node], count: int
) -> list[Node]:
    """Returns the few nodes of a data centre that ask the store."""
    near = [n for n in nodes if n.data_centre == data_centre]
    return ranked(f"store-reader/{data_centre}", near)[:count]
