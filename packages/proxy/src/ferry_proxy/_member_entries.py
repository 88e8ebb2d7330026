"""Keeps the list of members, and defers entries that may be outdated."""

from collections.abc import Callable

import attrs

from ferry_proxy import _clocks
from ferry_proxy import _events
from ferry_proxy import _grace
from ferry_proxy import _members
from ferry_proxy import _policy
from ferry_proxy import _records
from ferry_proxy import _store


@attrs.frozen(slots=True)
class EntriesContext:
    """The dependencies of the list of members.

    Attributes:
        clock: The clock.
        policy: The tunables.
        decode: Decodes an entry; raises `InvalidItemError` if it is invalid.
        is_current: Whether an item is still the newest known one of its key.
        note_change: Called after each deferred change.
    """

    clock: _clocks.Clock
    policy: _policy.Policy
    decode: Callable[[str, bytes], _members.Member]
    is_current: Callable[[_store.Item], bool]
    note_change: Callable[[], object]


class MemberEntries:
    """The members that the store lists.

    Attributes:
        members: The members by id.
    """

    def __init__(self, ctx: EntriesContext, grace: _grace.GracePeriod) -> None:
        self._ctx = ctx
        self._grace = grace
        self._births: dict[str, int] = {}
        self._accepted: dict[str, _store.Item] = {}
        self._eras: dict[str, int] = {}
        self.members: dict[str, _members.Member] = {}

    def update(self, name: str, item: _store.Item) -> None:
        """Applies a new entry, or the deletion of one.

        Args:
            name: The member's id.
            item: The entry's item.

        Raises:
            InvalidItemError: The entry is malformed, or belongs to a process
                of the member that has ended.
        """
        is_first = self._is_first(name, item)
        if item.value is None:
            self._remove(name, item)
            return
        member = self._ctx.decode(name, item.value)
        if member.born < self._births.get(name, 0):
            raise _records.InvalidItemError(
                f"of a life that has ended (born {member.born})"
            )
        may_be_old = is_first and _may_be_outdated(
            item, self._accepted.get(name)
        )
        if may_be_old and not self._is_newer(name, member):
            # A restored store may list a member as ready that has started to
            # leave since. Applied at once, such an entry caused statements to
            # reach the member, until it wrote again, later than is allowed.
            self._defer(item, lambda: self._apply(member, item))
            return
        self._apply(member, item)

    def note_invalid(self, name: str, item: _store.Item) -> None:
        """Keeps a known member whose new entry is invalid for a while.

        It is kept for as long as a silent member stays listed, since its next
        entry may be valid again.
        """
        if name in self.members:
            lapse_s = self._ctx.policy.entry_lapse_s
            self._after(lapse_s, item, lambda: self._drop(name, item))

    def _is_first(self, name: str, item: _store.Item) -> bool:
        """Whether an entry is the first of its key that is seen in an era.

        All later ones were written after the store was restored.
        """
        era = item.revision.era
        before, self._eras[name] = self._eras.get(name, era), era
        return before != era

    def _is_newer(self, name: str, member: _members.Member) -> bool:
        """Whether an entry has a higher sequence number than the known one."""
        known = self.members.get(name)
        return known is not None and member.sequence > known.sequence

    def _apply(self, member: _members.Member, item: _store.Item) -> None:
        name = member.id
        known = self.members.get(name)
        self._accepted[name] = item
        self._births[name] = member.born
        self.members[name] = attrs.evolve(member, revision=item.revision)
        if known != member:
            change = _change(known, member)
            _events.emit(_events.MemberChanged(name, member.service, change))

    def _remove(self, name: str, item: _store.Item) -> None:
        """Removes a member, but not before the grace period has ended.

        Entries that lapsed during an outage of the store may be written again.
        """
        if self._grace.left_s > 0:
            self._defer(item, lambda: self._drop(name, item))
        else:
            self._drop(name, item)

    def _drop(self, name: str, item: _store.Item) -> None:
        self._accepted[name] = item
        member = self.members.pop(name, None)
        if member is not None:
            _events.emit(_events.MemberChanged(name, member.service, "gone"))

    def _defer(self, item: _store.Item, change: Callable[[], object]) -> None:
        """Applies a change after the grace period if the item is still current.

        Args:
            item: The item that the change follows from.
            change: Applies the change.
        """
        self._after(self._grace.left_s, item, change)

    def _after(
        self, delay_s: float, item: _store.Item, change: Callable[[], object]
    ) -> None:
        def apply_if_current() -> None:
            if self._ctx.is_current(item):
                change()
                self._ctx.note_change()

        self._ctx.clock.after(max(0.0, delay_s), apply_if_current)


def _change(known: _members.Member | None, member: _members.Member) -> str:
    """Returns the kind of change that a member's new entry shows."""
    if known is not None and member.is_restart_of(known):
        return "born again"
    return "draining" if member.draining else "seen"


def _may_be_outdated(item: _store.Item, accepted: _store.Item | None) -> bool:
    """Whether an entry of a later era may be older than the accepted one.

    A backup contains only revision numbers that were assigned before it was
    taken, so an entry from it never has a higher number. An entry written after
    the restore may have a lower number, too.
    """
    if accepted is None or item.value == accepted.value:
        return False
    return item.revision.number <= accepted.revision.number
