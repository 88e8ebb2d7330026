"""Recent changes of a group's members, after which a list may be outdated.

Members are replaced one after another, seconds apart. For a while after one
joins, more may have joined than are listed. One that is no longer listed may
still be running, and another node may know a list without it.
"""

from collections.abc import Iterable

from ferry_proxy import _clocks

MEMBERSHIP_CHANGE_S = 10.0


class MembershipChanges:
    """When the members of one group joined, restarted and were removed.

    Attributes:
        restarted_at: When each member last restarted, in the clock's seconds.
    """

    def __init__(self, clock: _clocks.Clock) -> None:
        self._clock = clock
        self._joined_at: dict[str, float] = {}
        self._changed_at = float("-inf")
        self.restarted_at: dict[str, float] = {}

    def note_joined(self, members: Iterable[str]) -> None:
        """Records members that are newly listed, or listed again."""
        for name in members:
            self._changed_at = self._joined_at[name] = self._clock.now()

    def note_removed(self) -> None:
        """Records that a member is no longer listed."""
        self._changed_at = self._clock.now()

    def note_restarted(self, member: str) -> None:
        """Records that a member has restarted under its id."""
        self._changed_at = self.restarted_at[member] = self._clock.now()

    @property
    def is_recent(self) -> bool:
        """Whether any change is recent."""
        return self._changed_at > self._cutoff

    @property
    def recently_joined(self) -> int:
        """How many members joined recently."""
        return sum(at > self._cutoff for at in self._joined_at.values())

    @property
    def recently_restarted(self) -> int:
        """How many members restarted recently."""
        return sum(at > self._cutoff for at in self.restarted_at.values())

    @property
    def _cutoff(self) -> float:
        return self._clock.now() - MEMBERSHIP_CHANGE_S
