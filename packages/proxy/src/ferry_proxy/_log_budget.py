"""A bound on the number of log lines a second."""

import time

# An unused budget accumulates for at most this time.
BURST_S = 2.0


class LogBudget:
    """A token bucket for log lines."""

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._tokens = per_s * BURST_S
        self._refilled_at = time.monotonic()

    def take(self) -> bool:
        """Takes a token; returns whether there was one."""
        now = time.monotonic()
        gained = (now - self._refilled_at) * self._per_s
        self._tokens = min(self._per_s * BURST_S, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
