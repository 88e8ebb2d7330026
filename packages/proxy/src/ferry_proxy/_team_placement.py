"""Which node each team is at home at: it runs and counts the team's statements.

Answers members that take fewer connections than there are teams, times the
nodes that serve them: 46 for 83 teams and six serving nodes. Were a team's
statements spread over the serving nodes, each would open links of its own for
it, and each link would be gone again before the team's next statement: 9,098
links for 16,048 statements where each data centre had a node for each team,
5,366 for 16,259 with one node for each team. A hop to another data centre takes
3 ms; a new link takes 12 ms of a slot of the member besides.

Answers teams of unequal size, too. Each serving node has the same share of a
member's slots, so that where hashing alone gives one node twice as much as
another, the one refuses while the other has room. Sizes are told: teams'
limits. Pure functions of the configuration and of a set of nodes, so that all
nodes find the same without asking.
"""

from collections.abc import Collection
from collections.abc import Mapping
import math

import ferry_decisions as decisions

FULL = 1.05  # Of an even part: above it a node takes no more teams. Were it
# one, nearly every team would be moved away from where hashing puts it.
UNLIMITED = 1.0  # How much a team weighs that has no limit.

_Nodes = frozenset[str]


class TeamPlacement:
    """The teams' homes, for each set of nodes that is asked for."""

    def __init__(self, rates: Mapping[str, float]) -> None:
        """Makes an account of teams.

        Args:
            rates: Operations a second that each team may ask for.
        """
        self.rates = dict(rates)
        self._found: dict[_Nodes, dict[str, str]] = {}

    def home(self, team: str, nodes: Collection[str]) -> str:
        """Returns the node among some that is a team's home.

        Args:
            team: The team; one that is not known is hashed.
            nodes: The nodes' names.
        """
        key = frozenset(nodes)
        if key not in self._found:
            self._found[key] = _deal_out(self.rates, key)
        return self._found[key].get(team) or _hashed(team, key)

    def acting_node(
        self, team: str, nodes: Collection[str], present: Collection[str]
    ) -> str:
        """Returns the team's home, or who stands in for it.

        A node that is away moves its own teams alone.

        Args:
            team: The team.
            nodes: All nodes that teams are dealt out among.
            present: Those that are there; empty for none.

        Returns:
            A name, empty where nobody is there.
        """
        if not present:
            return ""
        home = self.home(team, nodes) if nodes else ""
        return home if home in present else _hashed(team, present)


def _deal_out(rates: Mapping[str, float], nodes: _Nodes) -> dict[str, str]:
    """Returns each team's home: the first by hash that is not full.

    The largest teams come first, since small ones fit anywhere.
    """
    weights = {
        team: rate if math.isfinite(rate) and rate > 0 else UNLIMITED
        for team, rate in rates.items()
    }
    limit = FULL * sum(weights.values()) / len(nodes)
    loads = dict.fromkeys(sorted(nodes), 0.0)
    team_placement = {}
    for team in sorted(weights, key=lambda t: (-weights[t], t)):
        weight = weights[team]
        fitting = [n for n in loads if loads[n] + weight <= limit]
        least = min(loads.values())
        candidates = fitting or [n for n in loads if loads[n] == least]
        home = _hashed(team, candidates)
        loads[home] += weight
        team_placement[team] = home
    return team_placement


def _hashed(team: str, nodes: Collection[str]) -> str:
    return min(nodes, key=lambda n: decisions.rendezvous_score(team, n))
