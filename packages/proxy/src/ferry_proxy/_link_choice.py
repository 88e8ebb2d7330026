"""Which link of a pool a request gets, and which one makes room for another.

Answers members that take fewer connections than there are teams: a link runs
the statements of one team alone, and opening one costs the member a slot for
about as long as a short statement. Pure functions of a pool's idle links.
"""

import collections
from collections.abc import Collection
import math

from ferry_proxy import _pooled_links

USE_DECAY_S = (
    4.0  # Uses are forgotten so fast; a wave of traffic takes 11 s, and
)
# a team that sends ten statements a second is known within half a second.
IDLE_LINK_S = (
    5.0  # A new connection costs 12 ms of a slot; bursts last seconds.
)
MIN_IDLE_LINKS = 2  # One for statements, one for status questions.
MIN_USE_WEIGHT = 0.01  # A use of 18 s ago.

PooledLink = _pooled_links.PooledLink


def for_control(idle: Collection[PooledLink]) -> PooledLink | None:
    """Returns the link for a question of ours: whichever was silent longest.

    A question is asked in nobody's name, and checks the link as well.
    """
    return min(idle, key=lambda t: t.last_reply_at, default=None)


def for_team(
    idle: Collection[PooledLink], team: str, values: dict[str, str]
) -> PooledLink | None:
    """Returns the link of a team that needs the least to be set on it.

    Args:
        idle: The links that are free.
        team: The team in whose name the statement runs.
        values: Its session's values.
    """
    return min(
        (t for t in idle if t.team == team),
        key=lambda t: (t.distance(values), -t.last_reply_at),
        default=None,
    )


def unneeded(idle: Collection[PooledLink], now: float) -> list[PooledLink]:
    """Returns the links that nobody needed for a while, but for a few.

    Args:
        idle: The links that are free.
        now: The time, in the clock's seconds.
    """
    spare = max(0, len(idle) - MIN_IDLE_LINKS)
    oldest = sorted(idle, key=lambda t: t.last_used_at)[:spare]
    return [t for t in oldest if t.last_used_at < now - IDLE_LINK_S]


class TeamUsage:
    """How often teams have asked for a pool's links lately."""

    def __init__(self) -> None:
        self._weights: dict[str, float] = {}
        self._at = 0.0

    def note(self, team: str, now: float) -> None:
        """Takes in that a statement of a team asks for a link."""
        self._fade(now)
        self._weights[team] = self._weights.get(team, 0.0) + 1.0

    def of(self, team: str) -> float:
        """Returns how often a team did, on a scale of this pool's own."""
        return self._weights.get(team, 0.0)

    def _fade(self, now: float) -> None:
        """Forgets a part; what is next to nothing is dropped."""
        factor = math.exp((self._at - now) / USE_DECAY_S)
        self._at = now
        self._weights = {
            team: weight * factor
            for team, weight in self._weights.items()
            if weight * factor > MIN_USE_WEIGHT
        }


def to_close(
    idle: Collection[PooledLink], uses: TeamUsage, waited_for: Collection[str]
) -> PooledLink | None:
    """Returns the link that makes room: the one likely to be idle longest.

    That is a second one that a team leaves idle, or else the one of the team
    that asks least. Were it the one least recently used, teams that ask seldom
    would take the links of those that ask often, by turns.

    Args:
        idle: The links that are free.
        uses: How often the teams ask for one.
        waited_for: Teams whose statements wait; their links go last.
    """
    counts = collections.Counter(t.team for t in idle)
    return min(
        idle,
        key=lambda t: (
            t.team in waited_for,
            counts[t.team] == 1,
            uses.of(t.team),
            t.last_used_at,
        ),
        default=None,
    )
