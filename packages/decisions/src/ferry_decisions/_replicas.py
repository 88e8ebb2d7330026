"""What a node knows of a database's members, and how old a replica's data is.

The age of a replica is counted from the last moment at which the primary's
position was known and the replica had applied it. A replica whose primary is
gone therefore grows older, whatever it says of its own lag.
"""

import collections
import enum
import math

import attrs

from ferry_decisions import _databases
from ferry_decisions import _positions
from ferry_decisions import _timers

MAX_SAMPLES = 512


@attrs.frozen(slots=True)
class _Sample:
    """The primary's position, known no later than a moment."""

    at: float
    position: _positions.Position


class Eligibility(enum.Enum):
    """Whether a replica may answer a read."""

    ELIGIBLE = "fit"
    BELOW_FLOOR = "below_floor"
    TOO_OLD = "too_old"


class ReplicaTracker:
    """Positions and ages of the members of one database."""

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
        """Takes in the starts of terms of a record."""
        self.history = self.history.merged(history)

    def note_applied(self, member: str, applied: _positions.Position) -> None:
        """Takes in what a member has applied."""
        known = self._applied.get(member, _positions.ZERO_POSITION)
        if applied >= known:
            self._applied[member] = applied

    def note_primary(self, position: _positions.Position, at: float) -> None:
        """Takes in the primary's position.

        Args:
            position: What the primary answered.
            at: When it was asked, in seconds; its answer is no older.
        """
        newest = self._samples[-1] if self._samples else None
        if newest is not None and position < newest.position:
            return
        if newest is not None and position == newest.position:
            self._samples[-1] = _Sample(max(at, newest.at), position)
            return
        self._samples.append(_Sample(at, position))

    def applied(self, member: str) -> _positions.Position:
        """Returns the last position that a member is known to have applied."""
        return self._applied.get(member, _positions.ZERO_POSITION)

    def age(self, member: str) -> float:
        """Returns the age of a member's data in seconds, or infinity."""
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
