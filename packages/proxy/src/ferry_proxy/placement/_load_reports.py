"""Expected waits at serving nodes, and the choice of a node by them.

Serving nodes are unevenly loaded: demand comes in waves, and an entry node
sees only the statements that it sends itself. Each serving node therefore
tells its expected waits with each reply. A request goes to a node that can run
it in time, and one that no node can run in time is refused without a hop.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import math

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks

# How long a report counts.
REPORT_TTL_S = 0.5

# Waits are told for the priorities below this; others count as the last one.
PRIORITIES = 3

# A told wait is a whole number of these.
UNIT_S = 0.0001

# A longer wait than this is not plausible: callers have left by then.
MAX_WAIT_S = 60.0

# A hop to another data centre and back, and its traffic: about one statement.
FAR_S = 0.01

# Nodes whose expected times differ by less are comparable.
COMPARABLE_S = 0.005

# The time that one more statement adds at a node that told no report.
USUAL_STEP_S = 0.005

# A peer with invalid reports sends one with each reply.
INVALID_PER_LINE = 1_000

# The largest number of reports that are kept, for 24 groups of a large fleet.
MAX_REPORTS = 512


@attrs.frozen(slots=True)
class Load:
    """The load of a serving node for one group; times are in seconds.

    Attributes:
        step_s: What one more statement adds to the wait.
        read_s: The wait of a read by priority, at the best member.
        primary_s: The wait at the primary by priority.
    """

    step_s: float = 0.0
    read_s: tuple[float, ...] = (0.0,) * PRIORITIES
    primary_s: tuple[float, ...] = (0.0,) * PRIORITIES

    def wait_s(self, needs_primary: bool, priority: int) -> float:
        """Returns the expected wait of a statement."""
        waits = self.primary_s if needs_primary else self.read_s
        return waits[min(max(priority, 0), PRIORITIES - 1)]

    def with_wait(self, needs_primary: bool, wait_s: float) -> "Load":
        """Returns a load in which such statements wait at least so long."""
        if needs_primary:
            waits = tuple(max(t, wait_s) for t in self.primary_s)
            return attrs.evolve(self, primary_s=waits)
        waits = tuple(max(t, wait_s) for t in self.read_s)
        return attrs.evolve(self, read_s=waits)

    def encode(self) -> list[int]:
        """Returns the load as it is sent: empty if nothing waits."""
        waits = (*self.read_s, *self.primary_s)
        if not any(waits):
            return []
        return [round(t / UNIT_S) for t in (self.step_s, *waits)]


IDLE = Load()


def decode(units: object) -> Load | None:
    """Returns the load that a peer told; None if a figure is invalid."""
    if not isinstance(units, Sequence) or isinstance(units, str | bytes):
        return None
    if not units:
        return IDLE
    if len(units) != 1 + 2 * PRIORITIES:
        return None
    times = []
    for value in units:
        if not isinstance(value, int | float) or not math.isfinite(value):
            return None
        if not 0 <= value * UNIT_S <= MAX_WAIT_S:
            return None
        times.append(value * UNIT_S)
    step_s, *waits = times
    return Load(step_s, tuple(waits[:PRIORITIES]), tuple(waits[PRIORITIES:]))


@attrs.define(slots=True, eq=False)
class _Report:
    """A load as it was told.

    Attributes:
        load: The load.
        at: When it arrived, in the clock's seconds.
        sent_since: How many statements this node has sent there since.
    """

    load: Load
    at: float
    sent_since: int = 0


class LoadReports:
    """The latest reports by stream and group.

    A stream belongs to one run of a peer, so reports from before a restart
    count for nothing.

    Attributes:
        refusals: How many requests were refused because of reports.
        invalid: How many invalid reports were ignored.
    """

    def __init__(self, clock: _clocks.Clock) -> None:
        self._clock = clock
        self._reports: dict[tuple[object, str], _Report] = {}
        self._trim_at = float("-inf")
        self.refusals = 0
        self.invalid = 0

    def __len__(self) -> int:
        """Returns the number of reports that are kept."""
        return len(self._reports)

    def note(self, stream: object, service: str, units: object) -> None:
        """Records what the peer at the other end of a stream told.

        Args:
            stream: The stream.
            service: The group.
            units: The load as received; None if there was none. An invalid
                one is ignored.
        """
        if units is None:
            return
        load = decode(units)
        if load is None:
            self._note_invalid(service, units)
            return
        now = self._clock.now()
        if now >= self._trim_at or len(self._reports) >= MAX_REPORTS:
            self._trim_at = now + REPORT_TTL_S
            self._trim()
        self._reports[(stream, service)] = _Report(load, now)

    def note_refusal(
        self, stream: object, service: str, needs_primary: bool, wait_s: float
    ) -> None:
        """Records that a node refused a statement as overloaded.

        It may have told no wait, for example if all replicas are behind.

        Args:
            stream: The stream to the node.
            service: The group.
            needs_primary: Whether only the primary could run the statement.
            wait_s: How long the statement would have waited.
        """
        report = self._fresh(stream, service)
        if report is not None:
            report.load = report.load.with_wait(needs_primary, wait_s)

    def note_sent(self, stream: object, service: str) -> None:
        """Records that a statement is sent over a stream."""
        report = self._reports.get((stream, service))
        if report is not None:
            report.sent_since += 1

    def wait_s(
        self, stream: object, service: str, needs_primary: bool, priority: int
    ) -> float | None:
        """Returns the told wait less its age; None without a fresh report.

        The queue that was told is being served meanwhile, so a request is not
        refused because of a queue that may be empty by now.
        """
        report = self._fresh(stream, service)
        if report is None:
            return None
        told_s = report.load.wait_s(needs_primary, priority)
        return max(0.0, told_s - (self._clock.now() - report.at))

    def added_s(self, stream: object, service: str) -> float:
        """Returns what statements sent since the report add to the wait."""
        report = self._fresh(stream, service)
        if report is None:
            return 0.0
        return report.sent_since * report.load.step_s

    def _note_invalid(self, service: str, units: object) -> None:
        """Logs one of `INVALID_PER_LINE` invalid reports."""
        if self.invalid % INVALID_PER_LINE == 0:
            decisions.log_warning("invalid load of %s: %.80r", service, units)
        self.invalid += 1

    def _fresh(self, stream: object, service: str) -> _Report | None:
        report = self._reports.get((stream, service))
        if report is None:
            return None
        age_s = self._clock.now() - report.at
        return report if age_s < REPORT_TTL_S else None

    def _trim(self) -> None:
        """Drops old reports, and the oldest ones if none is old."""
        cutoff = self._clock.now() - REPORT_TTL_S
        kept = [(k, r) for k, r in self._reports.items() if r.at > cutoff]
        kept.sort(key=lambda item: item[1].at)
        self._reports = dict(kept[-MAX_REPORTS // 2 :])


@attrs.frozen(slots=True)
class Candidate:
    """A serving node that may run a request.

    Attributes:
        node: Its name.
        is_near: Whether it is in this node's data centre.
        wait_s: Its expected wait; None if it told none lately.
        added_s: What this node's statements since then add to it.
        pending: How many of this node's calls to it have no reply.
    """

    node: str
    is_near: bool
    wait_s: float | None
    added_s: float
    pending: int

    @property
    def cost_s(self) -> float:
        """The expected time until a statement runs there, in seconds."""
        way_s = 0.0 if self.is_near else FAR_S
        if self.wait_s is None:
            return self.pending * USUAL_STEP_S + way_s
        return self.wait_s + self.added_s + way_s


def choose(candidates: Collection[Candidate], salt: str) -> Candidate:
    """Returns the node that a request goes to.

    Of the comparable nodes, two are drawn and the one with fewer pending calls
    is taken, so that entry nodes do not all turn to the same one.

    Args:
        candidates: The nodes; at least one.
        salt: Varies with each request; decides which two are drawn.
    """
    bound_s = min(c.cost_s for c in candidates) + COMPARABLE_S
    comparable = [c for c in candidates if c.cost_s <= bound_s]
    drawn = sorted(
        comparable, key=lambda c: decisions.rendezvous_score(salt, c.node)
    )[:2]
    return min(drawn, key=lambda c: (not c.is_near, c.pending))


def relief(
    home: Candidate, candidates: Iterable[Candidate], allowed_s: float
) -> Candidate | None:
    """Returns the node that replaces a team's home for one request.

    Args:
        home: The team's home.
        candidates: All nodes that may run the request.
        allowed_s: How long the request may wait.

    Returns:
        The best node that told a wait that is short enough; None if the home
        is not known to be too slow, or no other node is known to be better.
    """
    if home.wait_s is None or home.wait_s <= allowed_s:
        return None
    in_time = [
        c
        for c in candidates
        if c.wait_s is not None and c.cost_s <= allowed_s and c is not home
    ]
    return min(in_time, key=lambda c: c.cost_s, default=None)


def shortest_late_wait_s(
    candidates: Collection[Candidate], allowed_s: float
) -> float | None:
    """Returns the shortest wait if all nodes told one that is too long.

    Args:
        candidates: All nodes that may run a request.
        allowed_s: How long it may wait.

    Returns:
        The wait in seconds; None if some node may run it in time.
    """
    waits = [c.wait_s for c in candidates if c.wait_s is not None]
    if not waits or len(waits) < len(candidates):
        return None
    shortest = min(waits)
    return shortest if shortest > allowed_s else None
