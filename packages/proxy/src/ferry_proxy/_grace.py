"""A grace period for entries that are missing from the store."""

from ferry_proxy import _clocks


class GracePeriod:
    """The time that writers of entries have after the store returns.

    Entries may have lapsed during an outage of the store, or may be missing
    from a backup that it was restored from. Their writers are still running and
    need a moment to write again, so the entries are kept during this time.
    """

    def __init__(self, clock: _clocks.Clock, grace_s: float) -> None:
        """Creates a grace period that has not begun.

        Args:
            clock: The clock.
            grace_s: The length of the period, in seconds.
        """
        self._clock = clock
        self._grace_s = grace_s
        self._begun_at = float("-inf")

    def begin(self) -> None:
        """Starts the period, because the store has just returned."""
        self._begun_at = self._clock.now()

    @property
    def elapsed_s(self) -> float:
        """Seconds since the store last returned; infinite if it never has."""
        return self._clock.now() - self._begun_at

    @property
    def left_s(self) -> float:
        """Seconds until the period ends; zero or less once it has."""
        return self._grace_s - self.elapsed_s
