"""Records when a member was asked and answered, to tell whether it is alive.

Silence alone proves little, since nothing may have been sent to the member.
What counts is how long it has left unanswered what was sent to it after it was
last heard from, compared to the recent duration of its statements. Slow members
answer late but often, since they have several slots; a dead member answers
nothing at all.
"""

from ferry_proxy import _clocks
from ferry_proxy.placement import _member_outcomes

# The weight of the newest sample in the moving average, which then spans about
# 5 samples.
LATENCY_WEIGHT = 0.2

# This allows for many network trips, and is longer than any statement takes
# under normal load.
MIN_REPLY_LIMIT_S = 0.15

# A saturated member leaves everything unanswered for some tenths of a second;
# status requests are sent every 0.4 s.
SILENT_S = 0.45

# The longest reply time of a live member, as a multiple of the mean time of a
# statement. The p99 of a lognormal distribution of times with a spread of 0.7
# is 4.1 times its mean.
REPLY_LIMIT_FACTOR = 4.0


class Contact:
    """One node's recent communication with one member.

    Attributes:
        heard: When the member last answered this node, in the clock's seconds.
        reported: When the member last answered a peer, as the peer reports.
        refused_since: Since when its machine has refused connections; infinite
            if it does not.
        latency_s: The moving average of the time of its statements.
        outcomes: What became of the statements sent to it.
    """

    def __init__(self, clock: _clocks.Clock) -> None:
        self._clock = clock
        self._asked_at: float | None = None
        self._link_failing_since: float | None = None
        self.heard = self.reported = clock.now()
        self.refused_since = float("inf")
        self.latency_s = 0.0
        self.outcomes = _member_outcomes.MemberOutcomes()

    @property
    def silence_s(self) -> float:
        """Seconds since the member last answered this node or a peer."""
        return self._clock.now() - max(self.heard, self.reported)

    @property
    def link_failing_s(self) -> float:
        """Seconds since the first connection failure after the last answer."""
        if self._link_failing_since is None:
            return 0.0
        return self._clock.now() - self._link_failing_since

    @property
    def unanswered_s(self) -> float:
        """Seconds since the first message that the member has not answered.

        Only messages sent after the member last answered count.
        """
        if self._asked_at is None:
            return 0.0
        return self._clock.now() - self._asked_at

    @property
    def max_reply_s(self) -> float:
        """How long a live member may leave every message unanswered."""
        return max(MIN_REPLY_LIMIT_S, REPLY_LIMIT_FACTOR * self.latency_s)

    @property
    def is_unresponsive(self) -> bool:
        """Whether messages went unanswered for longer than `max_reply_s`."""
        return self.unanswered_s > self.max_reply_s

    @property
    def is_silent(self) -> bool:
        """Whether it is unresponsive for longer than a busy member would be."""
        return self.unanswered_s > max(SILENT_S, self.max_reply_s)

    def note_asked(self) -> None:
        """Records that a message was sent that the member has to answer."""
        if self._asked_at is None:
            self._asked_at = self._clock.now()

    def note_heard(self, elapsed_s: float = 0.0) -> None:
        """Records an answer of the member.

        Args:
            elapsed_s: The time that a statement took; 0 for other answers.
        """
        self.heard = self._clock.now()
        self.refused_since = float("inf")
        self._link_failing_since = None
        self._asked_at = None
        if elapsed_s:
            self.latency_s += (elapsed_s - self.latency_s) * LATENCY_WEIGHT

    def note_link_failure(self) -> None:
        """Records that a connection was lost or could not be opened."""
        if self._link_failing_since is None:
            self._link_failing_since = self._clock.now()

    def note_refused(self) -> None:
        """Records that the member's machine refused a connection."""
        self.refused_since = min(self.refused_since, self._clock.now())

    def exclude_pause(self, late_s: float) -> None:
        """Excludes a pause of this process from the silence of the member.

        Args:
            late_s: The length of the pause, in seconds.
        """
        now = self._clock.now()
        self.outcomes.note_pause(now)
        self.heard = min(now, self.heard + late_s)
        if self._asked_at is not None:
            self._asked_at = min(now, self._asked_at + late_s)
