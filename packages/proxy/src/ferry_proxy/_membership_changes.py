"""Changes of the list of a group's members, as one node has seen them."""

from ferry_proxy import _clocks

# Members are replaced one after another, seconds apart. For this long after
# one joins, more may have joined than are listed.
MEMBERSHIP_CHANGE_S = 10.0


class MembershipChanges:
    """When members of a group joined, left and restarted.

    All times are in the clock's seconds.

    Attributes:
        changed_at: When a member was last added or removed.
        joined_at: When a member last joined or restarted.
        restarted_at: When members last restarted, by id.
    """

    def __init__(self, clock: _clocks.Clock) -> None:
        self._clock = clock
        self.changed_at = clock.now()
        self.joined_at = float("-inf")
        self.restarted_at: dict[str, float] = {}

    def note_changed(self) -> None:
        """Records that members were added or removed."""
        self.changed_at = self._clock.now()

    def note_joined(self) -> None:
        """Records that a member joined a group that had others."""
        self.joined_at = self._clock.now()

    def note_restarted(self, member: str) -> None:
        """Records that a member restarted.

        Its new process counts as a further replica for a while, as a member
        does that joins under a new name.
        """
        self.note_joined()
        self.restarted_at[member] = self.joined_at

    @property
    def recently_restarted(self) -> int:
        """How many members restarted within `MEMBERSHIP_CHANGE_S`."""
        cutoff = self._clock.now() - MEMBERSHIP_CHANGE_S
        return sum(at > cutoff for at in self.restarted_at.values())

    @property
    def has_joined_recently(self) -> bool:
        """Whether members joined a moment ago; some may not be listed yet."""
        return self._clock.now() - self.joined_at < MEMBERSHIP_CHANGE_S
