"""Changes of the list of a group's members, as one node has seen them."""

from collections.abc import Iterable
from collections.abc import Sequence

from ferry_proxy import _clocks
from ferry_proxy import _freshness
from ferry_proxy import _members

# Members are replaced one after another, seconds apart. For this long after
# one joins, more may have joined than are listed. One that was removed may
# still be running, and other nodes may know a list without it.
MEMBERSHIP_CHANGE_S = 10.0


class MembershipChanges:
    """When members of a group joined, left and restarted.

    All times are in the clock's seconds.

    Attributes:
        changed_at: When a member was last added or removed.
        restarted_at: When members last restarted, by id.
    """

    def __init__(self, clock: _clocks.Clock) -> None:
        self._clock = clock
        self._joined_at: dict[str, float] = {}
        self._removed_at = float("-inf")
        self.changed_at = clock.now()
        self.restarted_at: dict[str, float] = {}

    def note_changed(self) -> None:
        """Records that members were added or removed."""
        self.changed_at = self._clock.now()

    def note_joined(self, members: Iterable[str]) -> None:
        """Records members that joined a group that had others."""
        recent = self._joined_at.items()
        self._joined_at = {n: at for n, at in recent if self._is_recent(at)}
        for name in members:
            self._joined_at[name] = self._clock.now()

    def note_removed(self) -> None:
        """Records that a member is no longer listed."""
        self._removed_at = self._clock.now()

    def note_restarted(self, member: str) -> None:
        """Records that a member restarted.

        Its new process counts as a further replica for a while, as a member
        does that joins under a new name.
        """
        self.restarted_at[member] = self._clock.now()

    def quorum(
        self, replicas: Sequence[_members.Member], sync_replicas: int
    ) -> _freshness.Quorum:
        """Returns the replicas that prove that the primary still leads.

        Args:
            replicas: The replicas in the group.
            sync_replicas: How many replicas must receive a commit.
        """
        established = frozenset(
            r.id for r in replicas if not r.draining and not self._is_new(r.id)
        )
        return _freshness.quorum_of(
            len(replicas), self.recently_restarted, established, sync_replicas
        )

    @property
    def recently_restarted(self) -> int:
        """How many members restarted within `MEMBERSHIP_CHANGE_S`."""
        return sum(map(self._is_recent, self.restarted_at.values()))

    @property
    def may_be_incomplete(self) -> bool:
        """Whether the list may lack members that are running."""
        has_joined = any(map(self._is_recent, self._joined_at.values()))
        has_restarted = self.recently_restarted > 0
        is_removed = self._is_recent(self._removed_at)
        return has_joined or has_restarted or is_removed

    def _is_new(self, member: str) -> bool:
        times = (self._joined_at.get(member), self.restarted_at.get(member))
        return any(at is not None and self._is_recent(at) for at in times)

    def _is_recent(self, at: float) -> bool:
        return self._clock.now() - at < MEMBERSHIP_CHANGE_S
