"""What a member has shown of its log, and for how long that counts."""

import ferry_decisions as decisions

from ferry_proxy import _clocks

RECHECK_S = 0.1  # A replica that lacked a position shows it this much later.


class ReportedPosition:
    """The position that a member showed last.

    Attributes:
        position: The end of its log then; None where it has told none.
    """

    def __init__(self, clock: _clocks.Clock) -> None:
        self._clock = clock
        self.position: decisions.Position | None = None
        self._at = float("-inf")

    def note(self, position: decisions.Position | None) -> None:
        """Takes in the end of the member's log, where it told."""
        if position is not None:
            self.position = position
            self._at = self._clock.now()

    def lacks(self, floor: decisions.Position | None) -> bool:
        """Whether the member lacked a position a moment ago."""
        known = self.position
        if floor is None or known is None or known >= floor:
            return False
        return self._clock.now() - self._at < RECHECK_S
