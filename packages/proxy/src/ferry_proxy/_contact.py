"""When a member was asked and heard: the evidence on whether it lives.

Silence alone says little: nobody may have asked. What counts is for how long a
member has left unanswered what was sent to it after it was last heard, against
the time that its statements take lately. Slow members answer late but often,
since they have several slots; a dead one answers nothing at all.
"""

from ferry_proxy import _clocks

LATENCY_WEIGHT = 0.2  # Of the newest sample in a moving mean; about 5 samples.
QUIET_S = 0.15  # Many network trips, and longer than any calm statement.
QUIET_FACTOR = 4.0  # Of the mean time of a statement: the p99 of a lognormal
# distribution of times with a spread of 0.7 is 4.1 times its mean.


class Contact:
    """What one node knows of its contact with one member.

    Attributes:
        heard: When it last answered, in the clock's seconds.
        reported: When a peer last heard it.
        refused_since: Since when its machine has refused connections.
        latency_s: The mean time of a statement there, lately.
    """

    def __init__(self, clock: _clocks.Clock) -> None:
        self._clock = clock
        self._asked_at: float | None = None
        self._troubled_since: float | None = None
        self.heard = self.reported = clock.now()
        self.refused_since = float("inf")
        self.latency_s = 0.0

    @property
    def silence_s(self) -> float:
        """Seconds since this node or a peer heard the member."""
        return self._clock.now() - max(self.heard, self.reported)

    @property
    def link_failing_s(self) -> float:
        """Seconds for which every contact with the member has failed."""
        if self._troubled_since is None:
            return 0.0
        return self._clock.now() - self._troubled_since

    @property
    def unanswered_s(self) -> float:
        """Seconds since the first question that it has not answered.

        Questions count that were sent after it was last heard.
        """
        if self._asked_at is None:
            return 0.0
        return self._clock.now() - self._asked_at

    @property
    def max_reply_s(self) -> float:
        """For how long a member that lives may leave all unanswered."""
        return max(QUIET_S, QUIET_FACTOR * self.latency_s)

    @property
    def is_unresponsive(self) -> bool:
        """Whether it has been silent for longer than it usually is."""
        return self.unanswered_s > self.max_reply_s

    def note_asked(self) -> None:
        """Takes in that something was sent that it has to answer."""
        if self._asked_at is None:
            self._asked_at = self._clock.now()

    def note_heard(self, elapsed_s: float = 0.0) -> None:
        """Takes in that it answered.

        Args:
            elapsed_s: How long a statement took; 0 for other answers.
        """
        self.heard = self._clock.now()
        self.refused_since = float("inf")
        self._troubled_since = None
        self._asked_at = None
        if elapsed_s:
            self.latency_s += (elapsed_s - self.latency_s) * LATENCY_WEIGHT

    def note_link_failure(self) -> None:
        """Takes in that a link was lost or could not be opened."""
        if self._troubled_since is None:
            self._troubled_since = self._clock.now()

    def note_refused(self) -> None:
        """Takes in that its machine answered that nothing listens there."""
        self.refused_since = min(self.refused_since, self._clock.now())

    def exclude_pause(self, late_s: float) -> None:
        """Leaves out a pause of this process.

        Args:
            late_s: How long it was.
        """
        now = self._clock.now()
        self.heard = min(now, self.heard + late_s)
        if self._asked_at is not None:
            self._asked_at = min(now, self._asked_at + late_s)
