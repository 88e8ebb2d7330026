"""Assignment of teams to home nodes, which run and count their statements.

A member accepts fewer connections than one for each team at each serving node:
46, for example, for 83 teams and six serving nodes. If a team's statements were
spread over all serving nodes, each node would open links of its own for the
team, and would have closed them before the team's next statement. With one node
for each team in each data centre, 16,048 statements opened 9,098 links; with a
single node for each team, 16,259 statements opened 5,366. A hop to another data
centre takes 3 ms, while a new link also takes 12 ms of a slot of the member.

The assignment balances teams of unequal size. Each serving node has the same
share of a member's slots, so if one node has twice the load of another, as it
happens with hashing alone, it refuses statements while the other has room. A
team's size is taken from its rate limit. All functions are pure functions of
the configuration and of a set of nodes, so that all nodes arrive at the same
assignment without communication.
"""

from collections.abc import Collection
from collections.abc import Mapping
import math

import ferry_decisions as decisions

# A node is full at this multiple of an even share of the load. With 1.0, nearly
# every team would be moved away from the node that hashing gives it.
MAX_LOAD_FACTOR = 1.05

# The weight of a team without a rate limit.
UNLIMITED_WEIGHT = 1.0

_Nodes = frozenset[str]


class TeamPlacement:
    """The home nodes of teams, cached for each set of nodes."""

    def __init__(self, rates: Mapping[str, float]) -> None:
        """Creates the placement of some teams.

        Args:
            rates: The rate limit of each team, in operations a second.
        """
        self.rates = dict(rates)
        self._cache: dict[_Nodes, dict[str, str]] = {}

    def home(self, team: str, nodes: Collection[str]) -> str:
        """Returns the home node of a team.

        Args:
            team: The team; an unknown one is placed by its hash.
            nodes: The names of the nodes to choose from.
        """
        key = frozenset(nodes)
        if key not in self._cache:
            self._cache[key] = _assign_teams(self.rates, key)
        return self._cache[key].get(team) or _pick_by_hash(team, key)

    def acting_node(
        self, team: str, nodes: Collection[str], present: Collection[str]
    ) -> str:
        """Returns the home node of a team, or a substitute if it is absent.

        The absence of a node affects only the teams that it is the home of.

        Args:
            team: The team.
            nodes: All nodes that teams are assigned to.
            present: The nodes that are available.

        Returns:
            The name of a node; empty if none is available.
        """
        if not present:
            return ""
        home = self.home(team, nodes) if nodes else ""
        return home if home in present else _pick_by_hash(team, present)


def _assign_teams(rates: Mapping[str, float], nodes: _Nodes) -> dict[str, str]:
    """Assigns each team to the first node by hash that is not full.

    The largest teams are assigned first, since small ones fit anywhere.
    """
    weights = {
        team: rate if math.isfinite(rate) and rate > 0 else UNLIMITED_WEIGHT
        for team, rate in rates.items()
    }
    limit = MAX_LOAD_FACTOR * sum(weights.values()) / len(nodes)
    loads = dict.fromkeys(sorted(nodes), 0.0)
    team_placement = {}
    for team in sorted(weights, key=lambda t: (-weights[t], t)):
        weight = weights[team]
        with_room = [n for n in loads if loads[n] + weight <= limit]
        least = min(loads.values())
        candidates = with_room or [n for n in loads if loads[n] == least]
        home = _pick_by_hash(team, candidates)
        loads[home] += weight
        team_placement[team] = home
    return team_placement


def _pick_by_hash(team: str, nodes: Collection[str]) -> str:
    return min(nodes, key=lambda n: decisions.rendezvous_score(team, n))
