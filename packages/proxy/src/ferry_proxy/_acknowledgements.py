"""The commits of a group that nodes passed on as acknowledged."""

import math

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _members

NO_POSITION = decisions.Position(0, 0)


@attrs.frozen(slots=True)
class Acknowledgements:
    """What is known of the commits acknowledged in a group.

    Attributes:
        at_least: A position at or before the newest commit that the nodes
            heard from have passed on as acknowledged.
        at_most: A position at or after all of these commits.
        since: Since when all nodes that may have passed on acknowledgements
            have been observing them, in boot time; infinite if one of them
            was not heard from.
        newest_at: When the newest known one was passed on, in boot time; minus
            infinity if none is known.
    """

    at_least: decisions.Position
    at_most: decisions.Position
    since: float
    newest_at: float = float("-inf")

    @property
    def is_complete(self) -> bool:
        """Whether all nodes that may have passed on commits were heard."""
        return math.isfinite(self.since)


class AckWatch:
    """Observes the commits that this node passes on as acknowledged.

    Attributes:
        at_least: A position at or before the newest of them.
        at_most: A position at or after all of them.
        since: Since when the node observes them, in boot time.
        newest_at: When it passed on the newest one, in boot time; minus
            infinity before the first one.
    """

    def __init__(self, clock: _clocks.Clock) -> None:
        self._clock = clock
        self.at_least = self.at_most = NO_POSITION
        self.since = clock.boot_now()
        self.newest_at = float("-inf")

    def note_replied(self, end: decisions.Position | None) -> None:
        """Records that a primary replied to a commit.

        The caller is not told yet. Its log may hold further commits.

        Args:
            end: The end of its log, as it replied; None if unknown.
        """
        if end is not None:
            self.at_most = max(self.at_most, end)

    def note_confirmed(
        self,
        leader: _members.Leader | None,
        end_before: decisions.Position | None,
    ) -> None:
        """Records that the caller of a commit is going to be told.

        The primary does not tell the position of the commit itself.

        Args:
            leader: The primary that committed it; None if unknown.
            end_before: The end of the primary's log, as known before the
                commit was sent; None if unknown.
        """
        self.newest_at = self._clock.boot_now()
        if leader is not None and end_before is not None:
            index = end_before.index + 1
            position = decisions.Position(leader.term, index)
            self.at_least = max(self.at_least, position)
