"""Detects suspensions of the machine, which its monotonic clock leaves out."""

from ferry_proxy import _clocks

# Smaller differences come from reading the two clocks one after the other.
MIN_SUSPENSION_S = 0.1


class Suspensions:
    """Records the most recent suspension of this machine."""

    def __init__(self, clock: _clocks.Clock) -> None:
        self._clock = clock
        self._gap_s = clock.boot_now() - clock.now()
        self._resumed_at = float("-inf")
        self._suspended_s = 0.0

    def update(self) -> None:
        """Compares the two clocks; has to be called often."""
        gap_s = self._clock.boot_now() - self._clock.now()
        suspended_s = gap_s - self._gap_s
        if suspended_s > MIN_SUSPENSION_S:
            self._gap_s = gap_s
            self._suspended_s = suspended_s
            self._resumed_at = self._clock.now()

    def age_s(self, moment: float) -> float:
        """Returns the time since a moment, including the last suspension.

        Args:
            moment: A time in the clock's seconds.
        """
        self.update()
        elapsed_s = self._clock.now() - moment
        return (
            elapsed_s + self._suspended_s
            if moment <= self._resumed_at
            else elapsed_s
        )
