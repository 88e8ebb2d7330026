"""How a caller sends its requests, and when its connection may end.

A connection ends while no request of its caller is likely to be on the way, as
such a request would get no answer.
"""

# How long a caller has to be silent before its connection may end: a network
# round trip, in which its next request may be on the way, and several of its
# usual pauses. One that pauses for longer than the maximum is as likely to send
# at one moment as at another.
QUIET_S = 0.05
QUIET_PAUSES = 3.0
MAX_QUIET_S = 0.5
# By how much a longer pause counts less with each shorter one after it.
PAUSE_DECAY = 0.9
# How long a caller has to be silent that has sent no request yet: it has just
# connected in order to send one.
FIRST_REQUEST_S = 0.5
# A caller that pauses for less than this, as seen from here, may send its next
# request before it notices that the connection has ended: a network round trip
# is part of the pause.
SHORT_PAUSE_S = 0.005


class CallerPace:
    """The pace of one caller."""

    def __init__(self, now: float) -> None:
        """Begins with a caller that has just connected.

        Args:
            now: The time, in the clock's seconds.
        """
        self._active_at = now
        self._pause_s = 0.0
        self._usual_pause_s: float | None = None
        self._leaves_at: float | None = None

    def note_received(
        self, now: float, continues: bool, is_pipelined: bool
    ) -> None:
        """Records that bytes of the caller have arrived.

        Args:
            now: The time, in the clock's seconds.
            continues: Whether they continue a request that has begun before.
            is_pipelined: Whether it does not wait for the answers to others.
        """
        if is_pipelined:
            self._pause_s = 0.0
        elif not continues:
            self._pause_s = now - self._active_at
        self._active_at = now

    def note_request(self) -> None:
        """Records that the bytes which arrived last complete a request."""
        before_s = self._usual_pause_s or 0.0
        self._usual_pause_s = max(self._pause_s, PAUSE_DECAY * before_s)

    def note_answered(self, now: float) -> None:
        """Records that an answer is sent to it."""
        self._active_at = now

    def leave_at(self, moment: float) -> None:
        """Makes its connection due to end, in the clock's seconds."""
        self._leaves_at = moment

    def is_due(self, now: float) -> bool:
        """Whether the moment has come at which its connection is to end."""
        return self._leaves_at is not None and now >= self._leaves_at

    def may_end_with_answer(self) -> bool:
        """Whether its connection may end right after an answer.

        The next request of a caller that waits for answers, and pauses then,
        cannot be on the way.
        """
        return self._pause_s >= SHORT_PAUSE_S

    def may_end_idle(self, now: float) -> bool:
        """Whether its connection may end while it is idle."""
        if self._leaves_at is not None and now < self._leaves_at:
            return False
        return now - self._active_at >= self._quiet_s

    @property
    def _quiet_s(self) -> float:
        if self._usual_pause_s is None:
            return FIRST_REQUEST_S
        if self._leaves_at is None:
            # The node is cut off: its callers are better served elsewhere.
            return QUIET_S
        return min(
            MAX_QUIET_S, max(QUIET_S, QUIET_PAUSES * self._usual_pause_s)
        )
