"""The commits of a group that nodes passed on as acknowledged."""

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks

NO_POSITION = decisions.Position(0, 0)


@attrs.frozen(slots=True)
class Acknowledgements:
    """What is known of the commits acknowledged in a group.

    Attributes:
        position: A position at or after all commits that the nodes heard from
            have passed on as acknowledged.
        since: Since when all nodes that may have passed on acknowledgements
            have been observing them, in boot time; infinite if one of them
            was not heard from.
    """

    position: decisions.Position
    since: float


class AckWatch:
    """Observes the commits that this node passes on as acknowledged.

    Attributes:
        position: A position at or after all of them.
        since: Since when the node observes them, in boot time.
    """

    def __init__(self, clock: _clocks.Clock) -> None:
        self.position = NO_POSITION
        self.since = clock.boot_now()

    def note(self, position: decisions.Position | None) -> None:
        """Records a commit, before its caller is told.

        Args:
            position: The position that the primary replied with, if any.
        """
        if position is not None:
            self.position = max(self.position, position)
