"""The demands for members that serving nodes tell each other."""

from collections.abc import Collection
from collections.abc import Mapping

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks

# How long a told demand counts: some messages may be late or lost.
DEMAND_TTL_S = 0.3

# No node has more statements for one member; a larger figure is invalid.
MAX_DEMAND = 100_000

Demands = Mapping[str, decisions.Demand]
# A demand as it is sent: the statements in progress, and those waiting.
Row = tuple[int, int]


@attrs.frozen(slots=True)
class _Told:
    """What a peer told about a group.

    Attributes:
        at: When it arrived, in the clock's seconds.
        by_member: The peer's demand for each member that it uses.
    """

    at: float
    by_member: Demands


class DemandTable:
    """The latest demands of peers by group."""

    def __init__(self, clock: _clocks.Clock) -> None:
        self._clock = clock
        self._told: dict[str, dict[str, _Told]] = {}

    def note(
        self,
        service: str,
        peer: str,
        rows: object,
        members: Collection[str],
    ) -> None:
        """Records what a peer told; ignored if a figure is invalid.

        Args:
            service: The group, which this node serves.
            peer: A serving node of the group.
            rows: The demands by member, as received.
            members: The ids of the group's members.
        """
        by_member: dict[str, decisions.Demand] = {}
        if not isinstance(rows, Mapping):
            return
        for member in rows.keys() & set(members):
            demand = _demand(rows[member])
            if demand is None:
                return
            by_member[member] = demand
        told = self._told.setdefault(service, {})
        told[peer] = _Told(self._clock.now(), by_member)

    def fresh(self, service: str, peers: Collection[str]) -> dict[str, Demands]:
        """Returns the demands of those peers that told theirs recently."""
        cutoff = self._clock.now() - DEMAND_TTL_S
        told = self._told.get(service, {})
        return {
            peer: told[peer].by_member
            for peer in peers
            if peer in told and told[peer].at >= cutoff
        }

    def trim(self) -> None:
        """Drops everything that no longer counts."""
        cutoff = self._clock.now() - DEMAND_TTL_S
        for service, told in list(self._told.items()):
            kept = {p: t for p, t in told.items() if t.at >= cutoff}
            if kept:
                self._told[service] = kept
            else:
                del self._told[service]


def is_queued(demands: Demands) -> bool:
    """Whether a statement waits for any of the members."""
    return any(d.waiting for d in demands.values())


def row(demand: decisions.Demand) -> Row:
    """Returns a demand in the form in which it is sent."""
    return demand.running, demand.waiting


def _demand(value: object) -> decisions.Demand | None:
    """Returns the demand that a peer sent; None if it is invalid."""
    match value:
        case [int(running), int(waiting)]:
            if 0 <= running <= MAX_DEMAND and 0 <= waiting <= MAX_DEMAND:
                return decisions.Demand(running, waiting)
    return None
