"""Selection of the member that runs a read.

The cost model covers the normal load, which is many short reads with some slow
members and with traffic between data centres that costs money. It also covers
two kinds of overload: both replicas lag, so that asking them costs time while
reads queue at the primary; or some replicas are unreachable and the others get
more reads than they can run. Where links belong to teams, a team's reads stay
at the replica that it has a link to, as long as that costs less than opening a
new one. All functions are pure.
"""

import attrs

# A member in another data centre costs a network round trip of 2 ms, and the
# traffic.
REMOTE_FACTOR = 1.5

# This keeps reads away from the primary unless the replicas are slow.
PRIMARY_FACTOR = 20.0

# The wait at a replica beyond which the primary takes reads, too: about one
# statement.
MAX_REPLICA_WAIT_S = 0.03

# This offsets `PRIMARY_FACTOR` for a member with a longer wait than that.
QUEUED_FACTOR = 20.0

# The cost of opening a link: 12 ms of a slot and two round trips of 2 ms.
NEW_LINK_COST_S = 0.016

# The cost of a failed attempt beside its own time: a new link, a pause and the
# statement's time at another member.
RETRY_COST_S = 0.05

# With this factor, an unresponsive member is selected only if no other is left.
UNRESPONSIVE_FACTOR = 1000.0

# Differences between latencies below this are noise.
MIN_LATENCY_S = 0.005


@attrs.frozen(slots=True)
class Candidate:
    """A member that may run a read.

    Attributes:
        member: Its id.
        is_primary: Whether it is the primary.
        is_near: Whether it is in this node's data centre.
        is_responsive: Whether it has answered recently.
        is_behind: Whether it recently lacked a position that the read needs.
        in_flight: The number of this node's statements there, queued ones
            included.
        slots: The number of statements that it can run in parallel.
        latency_s: The recent mean latency of its statements.
        wait_s: The expected wait in this node's queue for it.
        has_link: Whether a free link exists that the read may run on.
        failure_share: The recent share of its statements that failed.
        is_ejected: Whether it fails so many that others are preferred.
        is_silent: Whether it has answered nothing for long.
    """

    member: str
    is_primary: bool
    is_near: bool
    is_responsive: bool
    is_behind: bool
    in_flight: int
    slots: int
    latency_s: float
    wait_s: float = 0.0
    has_link: bool = True
    failure_share: float = 0.0
    is_ejected: bool = False
    is_silent: bool = False


def cost(candidate: Candidate) -> float:
    """Returns the expected cost of a read at a member, in weighted seconds."""
    load = 1.0 + candidate.in_flight
    value = max(candidate.latency_s, MIN_LATENCY_S) * load
    if not candidate.has_link:
        value += NEW_LINK_COST_S
    value += candidate.failure_share * RETRY_COST_S
    if not candidate.is_near:
        value *= REMOTE_FACTOR
    if candidate.is_primary:
        value *= PRIMARY_FACTOR
    if candidate.wait_s > MAX_REPLICA_WAIT_S:
        value *= QUEUED_FACTOR
    if not candidate.is_responsive:
        value *= UNRESPONSIVE_FACTOR
    return value


def best(candidates: list[Candidate]) -> Candidate | None:
    """Returns the member that runs the read; None without candidates.

    A member that recently lacked a position may have it now, and otherwise says
    so at once; a silent one makes the read wait.
    """
    return min(candidates, key=_rank, default=None)


def _rank(candidate: Candidate) -> tuple[bool, bool, bool, float, str]:
    return (
        candidate.is_silent,
        candidate.is_behind,
        candidate.is_ejected,
        cost(candidate),
        candidate.member,
    )
