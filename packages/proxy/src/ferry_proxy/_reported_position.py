"""The log position that a member reported last."""

import ferry_decisions as decisions

from ferry_proxy import _clocks

# A replica that lacks a position usually reaches it within this time, so that
# a report counts no longer.
REPORT_TTL_S = 0.1


class ReportedPosition:
    """The log position that a member reported last.

    Attributes:
        position: The end of its log at that time; None before the first
            report.
    """

    def __init__(self, clock: _clocks.Clock) -> None:
        self._clock = clock
        self.position: decisions.Position | None = None
        self._at = float("-inf")

    def note(self, position: decisions.Position | None) -> None:
        """Records the end of the member's log, unless it is None."""
        if position is not None:
            self.position = position
            self._at = self._clock.now()

    def lacks(self, floor: decisions.Position | None) -> bool:
        """Whether a recent report shows that the member lacks a position."""
        known = self.position
        if floor is None or known is None or known >= floor:
            return False
        return self._clock.now() - self._at < REPORT_TTL_S
