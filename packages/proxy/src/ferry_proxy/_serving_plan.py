"""Which nodes serve a group: hold links to its members and watch them.

Answers fleets that have more nodes than a member takes connections. Where
every node gets a few links to each member, all nodes serve. Otherwise a few
nodes of each data centre do, and the others forward statements to them. Pure
functions of what the store lists, so all nodes agree without asking.
"""

from collections.abc import Collection

import attrs
import ferry_decisions as decisions

from ferry_proxy import _records

SPARE_NODES = 1  # One more node may come while a leaving one still runs.
MIN_LINKS = 3  # A transaction, a single statement, a status question.
MAX_NEAR = 2  # Serving nodes in a data centre: one may be away.


@attrs.frozen(slots=True)
class ServingPlan:
    """Who serves one group.

    Attributes:
        nodes: The serving nodes, by name.
        links: Links to each member that one of them may open.
    """

    nodes: dict[str, _records.NodeEntry]
    links: int

    def near(self, data_centre: str) -> list[_records.NodeEntry]:
        """Returns the serving nodes of a data centre."""
        return [n for n in self.nodes.values() if n.data_centre == data_centre]


def make_plan(
    service: str,
    nodes: Collection[_records.NodeEntry],
    max_connections: int,
) -> ServingPlan:
    """Returns who serves a group.

    Args:
        service: The group's name.
        nodes: All nodes of the fleet.
        max_connections: Connections that a member takes, of all nodes.
    """
    chosen = list(nodes)
    if max_connections // (len(chosen) + SPARE_NODES) < MIN_LINKS:
        chosen = _choose(service, nodes, max_connections)
    links = max(1, max_connections // (len(chosen) + SPARE_NODES))
    return ServingPlan({n.name: n for n in chosen}, links)


def _choose(
    service: str,
    nodes: Collection[_records.NodeEntry],
    max_connections: int,
) -> list[_records.NodeEntry]:
    by_place: dict[str, list[_records.NodeEntry]] = {}
    for node in nodes:
        by_place.setdefault(node.data_centre, []).append(node)
    wanted = max_connections // MIN_LINKS - SPARE_NODES
    count = max(1, min(MAX_NEAR, wanted // len(by_place)))
    chosen = []
    for place in sorted(by_place):
        ranked = sorted(
            by_place[place],
            key=lambda n: decisions.rendezvous_score(service, n.name),
        )
        chosen += ranked[:count]
    return chosen
