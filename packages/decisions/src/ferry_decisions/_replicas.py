"""Tracks the positions of a database's members and the age of their data.

The age of a replica is measured from the latest time for which the primary's
position is known and the replica has applied it. The age of a replica whose
primary is unreachable therefore grows, whatever lag the replica itself reports.
"""

import collections
import enum
import math

import attrs

from ferry_decisions import _databases
from ferry_decisions import _positions
from ferry_decisions import _timers

# Maximum number of retained samples of the primary's position.
MAX_SAMPLES = 512


@attrs.frozen(slots=True)
class _Sample:
    """An upper bound of the primary's position at the time `at`."""

    at: float
    position: _positions.Position


class Eligibility(enum.Enum):
    """Whether a replica may answer a read."""

    ELIGIBLE = "fit"
    BELOW_FLOOR = "below_floor"
    TOO_OLD = "too_old"


class ReplicaTracker:
    """Tracks the applied positions of the members of one database."""

    def __init__(
        self, timers: _timers.TimerService, database: _databases.Database
    ) -> None:
        self._timers = timers
        self.database = database
        self.history = _positions.History()
        self._applied: dict[str, _positions.Position] = {}
        self._samples: collections.deque[_Sample] = collections.deque(
            maxlen=MAX_SAMPLES
        )

    def note_history(self, history: _positions.History) -> None:
        """Merges the starts of terms from a record."""
        self.history = self.history.merged(history)

    def note_applied(self, member: str, applied: _positions.Position) -> None:
        """Records the position that a member has applied."""
        known = self._applied.get(member, _positions.ZERO_POSITION)
        if applied >= known:
            self._applied[member] = applied

    def forget(self, member: str) -> None:
        """Discards the position of a member that has lost its log."""
        self._applied.pop(member, None)

    def note_primary(self, position: _positions.Position, at: float) -> None:
        """Records the primary's position.

        Args:
            position: The position that the primary reported.
            at: Time at which the request was sent, in seconds; the reported
                position is no older.
        """
        newest = self._samples[-1] if self._samples else None
        if newest is not None and position < newest.position:
            return
        if newest is not None and position == newest.position:
            self._samples[-1] = _Sample(max(at, newest.at), position)
            return
        self._samples.append(_Sample(at, position))

    def applied(self, member: str) -> _positions.Position:
        """Returns the latest position a member is known to have applied."""
        return self._applied.get(member, _positions.ZERO_POSITION)

    def age(self, member: str) -> float:
        """Returns the age of a member's data in seconds.

        The age is infinite if it is unknown.
        """
        applied = self.applied(member)
        for sample in reversed(self._samples):
            if _positions.satisfies(applied, sample.position, self.history):
                return self._timers.now() - sample.at
        return math.inf

    def eligibility(
        self, member: str, floor: _positions.Position, staleness_s: float
    ) -> Eligibility:
        """Returns whether a member may answer a read."""
        if not _positions.satisfies(self.applied(member), floor, self.history):
            return Eligibility.BELOW_FLOOR
        if self.age(member) > staleness_s:
            return Eligibility.TOO_OLD
        return Eligibility.ELIGIBLE
