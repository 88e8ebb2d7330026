"""How long entries that are missing from the store are still believed."""

from ferry_proxy import _clocks


class GracePeriod:
    """The time in which writers of entries come back to the store.

    Answers a store that was away, in which entries have lapsed, or that came
    back from an older copy, which lacks entries: their writers need a moment
    to write again, and are not gone meanwhile.
    """

    def __init__(self, clock: _clocks.Clock, grace_s: float) -> None:
        """Makes a grace that has not begun.

        Args:
            clock: The clock.
            grace_s: How long it lasts, in seconds.
        """
        self._clock = clock
        self._grace_s = grace_s
        self._begun = float("-inf")

    def begin(self) -> None:
        """Notes that the store has just come back."""
        self._begun = self._clock.now()

    @property
    def elapsed_s(self) -> float:
        """Seconds since the store came back; infinite before it ever did."""
        return self._clock.now() - self._begun

    @property
    def left_s(self) -> float:
        """Seconds until it ends; zero or less once it has."""
        return self._grace_s - self.elapsed_s
