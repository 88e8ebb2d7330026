"""What a node gave of teams' limits, for the log: the largest teams alone."""

import attrs

from ferry_proxy import _events

SPAN_S = 0.5
MOST_TEAMS = 4  # Lines a node writes for one span.
LEAST = 4  # Operations in a span; teams with fewer are left out.


@attrs.define(slots=True)
class Use:
    """What was given of one team's limit in one span.

    Attributes:
        begun: Operations that began here by this node's own bucket.
        advanced: Those that began by what another node had given.
        given: Operations that other nodes were given.
        refused: Operations that were refused for the limit.
        began_with: What a bucket held that was begun; None without one.
    """

    begun: int = 0
    advanced: int = 0
    given: int = 0
    refused: int = 0
    began_with: float | None = None

    @property
    def asked(self) -> int:
        """All operations that were asked for."""
        return self.begun + self.advanced + self.given + self.refused


class LimitUse:
    """The uses of all teams in the present span."""

    def __init__(self) -> None:
        self._uses: dict[str, Use] = {}
        self._since = float("-inf")

    def of(self, team: str) -> Use:
        """Returns what was given of a team's limit in this span."""
        return self._uses.setdefault(team, Use())

    def report(self, now: float, share: float) -> None:
        """Logs the span once it is over.

        Args:
            now: In the clock's seconds.
            share: The part of all limits that is given out here.
        """
        if now - self._since < SPAN_S:
            return
        ranked = sorted(self._uses.items(), key=lambda u: -u[1].asked)
        for team, use in ranked[:MOST_TEAMS]:
            if use.asked >= LEAST or use.began_with is not None:
                _events.emit(_events.LimitUsed(team, round(share, 4), use))
        self._uses.clear()
        self._since = now
