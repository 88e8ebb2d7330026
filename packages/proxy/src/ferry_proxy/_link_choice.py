"""Selection of the link for a request and of the link to close.

Members accept fewer connections than there are teams. A link runs the
statements of a single team, and opening one occupies a slot of the member for
about as long as a short statement. The functions are pure functions of a
pool's idle links.
"""

import collections
from collections.abc import Collection
import math

from ferry_proxy import _pooled_links

# The time constant of the exponential decay of a team's use. A wave of traffic
# lasts 11 s, and a team that sends ten statements per second is recognized
# within half a second.
USE_DECAY_S = 4.0
# A link unused for this long may be closed. Opening one occupies a slot for
# 12 ms, and bursts last seconds.
IDLE_LINK_S = 5.0
MIN_IDLE_LINKS = 2  # One for statements and one for status requests.
# A smaller weight is dropped; a single use decays to it in 18 s.
MIN_USE_WEIGHT = 0.01

PooledLink = _pooled_links.PooledLink


def for_control(idle: Collection[PooledLink]) -> PooledLink | None:
    """Returns the link for a control command: the one silent for longest.

    A control command belongs to no team, and verifies the link as well.
    """
    return min(idle, key=lambda t: t.last_reply_at, default=None)


def for_team(
    idle: Collection[PooledLink], team: str, values: dict[str, str]
) -> PooledLink | None:
    """Returns the team's link whose session state needs the fewest changes.

    Args:
        idle: The idle links.
        team: The team whose statement is to run.
        values: The values of its session.
    """
    return min(
        (t for t in idle if t.team == team),
        key=lambda t: (t.state.distance(values), -t.last_reply_at),
        default=None,
    )


def unneeded(idle: Collection[PooledLink], now: float) -> list[PooledLink]:
    """Returns the links unused for `IDLE_LINK_S`, except for a few.

    Args:
        idle: The idle links.
        now: The time, in the clock's seconds.
    """
    spare = max(0, len(idle) - MIN_IDLE_LINKS)
    oldest = sorted(idle, key=lambda t: t.last_used_at)[:spare]
    return [t for t in oldest if t.last_used_at < now - IDLE_LINK_S]


class TeamUsage:
    """How often each team has recently requested a link of a pool."""

    def __init__(self) -> None:
        self._weights: dict[str, float] = {}
        self._at = 0.0

    def note(self, team: str, now: float) -> None:
        """Records that a statement of a team requests a link."""
        self._fade(now)
        self._weights[team] = self._weights.get(team, 0.0) + 1.0

    def of(self, team: str) -> float:
        """Returns a team's request weight, comparable within this pool."""
        return self._weights.get(team, 0.0)

    def _fade(self, now: float) -> None:
        """Decays all weights and drops negligible ones."""
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
    """Returns the link to close: the one expected to stay idle for longest.

    A team's second idle link goes first, then the link of the team with the
    fewest requests. Closing the least recently used one instead would let
    teams with few requests evict, in turn, the links of those with many.

    Args:
        idle: The idle links.
        uses: The teams' recent use of links.
        waited_for: Teams with waiting statements; their links go last.
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
