"""Which nodes serve a group: hold links to its members and watch them.

Answers fleets that have more nodes than a member takes connections. Where
every node gets a few links to each member, all nodes serve. Otherwise a few
nodes of each data centre do, and the others forward statements to them. Pure
functions of what the store lists, so all nodes agree without asking.
"""

from collections.abc import Collection
import functools
import math

import attrs
import ferry_decisions as decisions

from ferry_proxy import _records

SPARE_NODES = 1  # One more node may come while a leaving one still runs.
MIN_LINKS = 3  # A transaction, a single statement, a status question.
SPARE_LINKS = 3  # What a node needs that comes while a leaving one still runs.
MAX_NEAR = 2  # Serving nodes in a data centre: one may be away.
STRONG_SHARE = 0.5  # Of the strongest VM: a statement that is served takes
# twice the processor of one that is passed on, and all its bytes twice. Where
# VMs differ less, spreading the groups over more of them gains more.
KEEPERS = ""  # Stands for no group, and ranks nodes like one.
MOST_GROUPS = 20  # That a strong node serves before all help out: at one round
# of questions each 0.4 s and 3 members a group, 150 questions a second.


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


class Planner:
    """Chooses the serving nodes of all groups of a fleet.

    What a node that comes or goes does not touch is taken over from the
    planner before: with 410 nodes and 740 groups a plan takes 0.7 s of a core
    from nothing, and 0.02 s where one node has changed.
    """

    def __init__(
        self,
        nodes: Collection[_records.NodeEntry],
        groups: int,
        before: "Planner | None" = None,
        has_teams: bool = False,
    ) -> None:
        """Sorts the nodes by data centre and strength.

        Args:
            nodes: All nodes of the fleet.
            groups: How many groups they serve.
            before: The planner of a moment ago.
            has_teams: Whether links belong to teams, so that all are open at
                all times. One for each node then stays free: after a loss of
                power the old ones linger for 3 s.
        """
        self._has_teams = has_teams
        self._nodes = list(nodes)
        by_place: dict[str, list[_records.NodeEntry]] = {}
        for node in self._nodes:
            by_place.setdefault(node.data_centre, []).append(node)
        known: dict[str, _Place] = before._places if before else {}
        self._places: dict[str, _Place] = {
            name: _place(by_place[name], groups, known.get(name))
            for name in sorted(by_place)
        }

    def bucket_owners(self) -> frozenset[str]:
        """Returns the names of the nodes that count what teams ask for.

        As many as serve a group, and the same where few nodes are strong, so
        that what runs a team's statements can count them.
        """
        return frozenset(
            node.name
            for place in self._places.values()
            for node in place.first(KEEPERS, MAX_NEAR)
        )

    def plan(self, service: str, max_connections: int) -> ServingPlan:
        """Returns who serves a group.

        Args:
            service: The group's name.
            max_connections: Connections that a member takes, of all nodes.
        """
        chosen = self._nodes
        if max_connections // (len(chosen) + SPARE_NODES) < MIN_LINKS:
            wanted = max_connections // MIN_LINKS - SPARE_NODES
            count = max(1, min(MAX_NEAR, wanted // len(self._places)))
            chosen = [
                n
                for place in self._places.values()
                for n in place.first(service, count)
            ]
        spare = SPARE_LINKS
        if self._has_teams:
            spare = max(SPARE_LINKS, len(chosen))
        links = max(1, (max_connections - spare) // len(chosen))
        return ServingPlan({n.name: n for n in chosen}, links)


def _place(
    nodes: list[_records.NodeEntry], groups: int, before: "_Place | None"
) -> "_Place":
    """Returns the nodes of a data centre; the object before if it is alike."""
    strong = strong_nodes(nodes)
    needed = math.ceil(groups * MAX_NEAR / MOST_GROUPS)
    place = _Place(nodes, strong if len(strong) >= needed else nodes, before)
    if before is not None and before.is_like(place):
        return before
    return place


class _Place:
    """The nodes of one data centre."""

    def __init__(
        self,
        nodes: list[_records.NodeEntry],
        candidates: list[_records.NodeEntry],
        before: "_Place | None",
    ) -> None:
        """Takes over what was chosen before.

        Args:
            nodes: All nodes of the data centre.
            candidates: Those that serve groups first.
            before: The data centre a moment ago.
        """
        self._candidates = set(candidates)
        self._others = [n for n in nodes if n not in self._candidates]
        known = before._candidates if before else set()
        self._added = self._candidates - known
        self._before = before._chosen if before else {}
        self._chosen: dict[tuple[str, int], list[_records.NodeEntry]] = {}

    def is_like(self, other: "_Place") -> bool:
        """Whether both choose the same nodes for every group."""
        return (
            self._candidates == other._candidates
            and self._others == other._others
        )

    def first(self, service: str, count: int) -> list[_records.NodeEntry]:
        """Returns the nodes that serve a group; strong ones come first."""
        key = (service, count)
        if key not in self._chosen:
            self._chosen[key] = self._choose(service, count)
        return self._chosen[key]

    def _choose(self, service: str, count: int) -> list[_records.NodeEntry]:
        rank = functools.partial(_rank, service)
        known = self._before.get((service, count), ())
        if len(known) == count and self._candidates.issuperset(known):
            # Only those that came since can rank before these.
            return sorted({*known, *self._added}, key=rank)[:count]
        chosen = sorted(self._candidates, key=rank)[:count]
        if len(chosen) < count:
            chosen += sorted(self._others, key=rank)[: count - len(chosen)]
        return chosen


def _rank(service: str, node: _records.NodeEntry) -> int:
    return decisions.rendezvous_score(service, node.name)


def strong_nodes(
    nodes: Collection[_records.NodeEntry],
) -> list[_records.NodeEntry]:
    """Returns those that have about as much as the best in each respect."""
    cores = max(n.cores for n in nodes) * STRONG_SHARE
    link_mbps = max(n.link_mbps for n in nodes) * STRONG_SHARE
    strong = [n for n in nodes if n.cores >= cores and n.link_mbps >= link_mbps]
    return strong or list(nodes)
