"""Times for which a machine stood still, which its steady clock leaves out."""

from ferry_proxy import _clocks

LEAST_S = 0.1  # Below it, it is the reading of two clocks one after the other.


class Suspensions:
    """Notes the last suspension of this machine."""

    def __init__(self, clock: _clocks.Clock) -> None:
        self._clock = clock
        self._gap_s = clock.boot_now() - clock.now()
        self._resumed_at = float("-inf")
        self._lost_s = 0.0

    def update(self) -> None:
        """Compares the clocks; to be called often."""
        gap_s = self._clock.boot_now() - self._clock.now()
        lost_s = gap_s - self._gap_s
        if lost_s > LEAST_S:
            self._gap_s = gap_s
            self._lost_s = lost_s
            self._resumed_at = self._clock.now()

    def age_s(self, moment: float) -> float:
        """Returns how long ago a moment was, the last suspension included.

        Args:
            moment: In the clock's seconds.
        """
        self.update()
        passed_s = self._clock.now() - moment
        return (
            passed_s + self._lost_s if moment <= self._resumed_at else passed_s
        )
