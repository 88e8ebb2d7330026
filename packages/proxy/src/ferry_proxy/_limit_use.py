"""Logs how the rate limits of the busiest teams are used at this node."""

import attrs

from ferry_proxy import _events

# The time between two reports.
REPORT_INTERVAL_S = 0.5

# The most log lines in one report.
MAX_REPORTED_TEAMS = 4

# Teams with fewer operations in an interval are not reported.
MIN_REPORTED_OPERATIONS = 4


@attrs.define(slots=True)
class Use:
    """The use of one team's limit in one interval.

    Attributes:
        begun: Operations that started on tokens of this node's own bucket.
        advanced: Operations that started on tokens that another node had
            granted in advance.
        given: Tokens granted to other nodes.
        refused: Operations refused because the limit was reached.
        began_with: The initial tokens of a bucket that was created; None if
            none was.
    """

    begun: int = 0
    advanced: int = 0
    given: int = 0
    refused: int = 0
    began_with: float | None = None

    @property
    def asked(self) -> int:
        """The number of operations that were requested."""
        return self.begun + self.advanced + self.given + self.refused


class LimitUse:
    """The use of all teams' limits in the current interval."""

    def __init__(self) -> None:
        self._uses: dict[str, Use] = {}
        self._since = float("-inf")

    def of(self, team: str) -> Use:
        """Returns the counters of a team in the current interval."""
        return self._uses.setdefault(team, Use())

    def report(self, now: float, share: float) -> None:
        """Logs the interval once it has ended, and starts the next.

        Args:
            now: The current time, in the clock's seconds.
            share: The share of all limits that this node may grant.
        """
        if now - self._since < REPORT_INTERVAL_S:
            return
        ranked = sorted(self._uses.items(), key=lambda u: -u[1].asked)
        for team, use in ranked[:MAX_REPORTED_TEAMS]:
            if (
                use.asked >= MIN_REPORTED_OPERATIONS
                or use.began_with is not None
            ):
                _events.emit(_events.LimitUsed(team, round(share, 4), use))
        self._uses.clear()
        self._since = now
