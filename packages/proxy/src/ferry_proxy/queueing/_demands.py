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

# A peer with invalid figures sends several messages a second.
INVALID_PER_LINE = 1_000

# The weight of a new sample in the mean of statements in progress. With several
# samples a second, the mean covers about half a second.
SAMPLE_WEIGHT = 0.2

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
    """The latest demands of peers by group.

    Attributes:
        invalid: How many invalid messages were ignored.
    """

    def __init__(self, clock: _clocks.Clock) -> None:
        self._clock = clock
        self._told: dict[str, dict[str, _Told]] = {}
        self.invalid = 0

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
        by_member = _decode(rows, members)
        if by_member is None:
            self._note_invalid(service, peer, rows)
            return
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

    def _note_invalid(self, service: str, peer: str, rows: object) -> None:
        """Logs one of `INVALID_PER_LINE` invalid messages."""
        if self.invalid % INVALID_PER_LINE == 0:
            decisions.log_warning(
                "invalid demands of %s from %s: %.80r", service, peer, rows
            )
        self.invalid += 1

    def trim(self) -> None:
        """Drops everything that no longer counts."""
        cutoff = self._clock.now() - DEMAND_TTL_S
        for service, told in list(self._told.items()):
            kept = {p: t for p, t in told.items() if t.at >= cutoff}
            if kept:
                self._told[service] = kept
            else:
                del self._told[service]


class DemandMeter:
    """Smooths the demands of this node before they are told.

    A told demand counts for several statements' time, so a single statement or
    status request that is in progress at that moment should not count. Where
    statements wait, all that are in progress count.
    """

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], float] = {}

    def sample(self, service: str, demands: Demands) -> dict[str, Row]:
        """Adds a sample, and returns the demands to tell, by member.

        Args:
            service: The group.
            demands: The demands for its members now.
        """
        rows: dict[str, Row] = {}
        for member, demand in demands.items():
            mean = self._means.get((service, member), 0.0)
            mean += SAMPLE_WEIGHT * (demand.running - mean)
            self._means[(service, member)] = mean
            running = demand.running if demand.waiting else round(mean)
            if running:
                rows[member] = (running, demand.waiting)
        return rows

    def keep(self, services: Collection[str]) -> None:
        """Drops the samples of all other groups."""
        self._means = {k: m for k, m in self._means.items() if k[0] in services}


def is_queued(demands: Demands) -> bool:
    """Whether a statement waits for any of the members."""
    return any(d.waiting for d in demands.values())


def _decode(
    rows: object, members: Collection[str]
) -> dict[str, decisions.Demand] | None:
    """Returns the demands that a peer sent; None if one is invalid."""
    if not isinstance(rows, Mapping):
        return None
    found: dict[str, decisions.Demand] = {}
    for member in rows.keys() & set(members):
        demand = _demand(rows[member])
        if demand is None:
            return None
        found[member] = demand
    return found


def _demand(value: object) -> decisions.Demand | None:
    """Returns the demand that a peer sent; None if it is invalid."""
    match value:
        case [int(running), int(waiting)]:
            if 0 <= running <= MAX_DEMAND and 0 <= waiting <= MAX_DEMAND:
                return decisions.Demand(running, waiting)
    return None
