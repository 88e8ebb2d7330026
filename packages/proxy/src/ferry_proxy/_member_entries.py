"""The members that the store lists, and entries that are not to be believed."""

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
    """What the list of members works with.

    Attributes:
        clock: The clock.
        policy: The tunables.
        decode: Reads an entry; raises `InvalidItemError` for an invalid one.
        is_current: Whether an item is still the store's newest of its key.
        note_change: Called after each change that comes later.
    """

    clock: _clocks.Clock
    policy: _policy.Policy
    decode: Callable[[str, bytes], _members.Member]
    is_current: Callable[[_store.Item], bool]
    note_change: Callable[[], object]


class MemberEntries:
    """The members by id.

    Attributes:
        members: The members that are listed.
    """

    def __init__(self, ctx: EntriesContext, grace: _grace.GracePeriod) -> None:
        self._ctx = ctx
        self._grace = grace
        self._births: dict[str, int] = {}
        self._believed: dict[str, _store.Item] = {}
        self._eras: dict[str, int] = {}
        self.members: dict[str, _members.Member] = {}

    def take(self, name: str, item: _store.Item) -> None:
        """Takes an entry in, or that it is gone.

        Args:
            name: The member's id.
            item: The entry.

        Raises:
            InvalidItemError: It names no member to use.
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
        may_be_old = is_first and _is_lower(item, self._believed.get(name))
        if may_be_old and not self._is_news(name, member):
            # A member that leaves stood there as ready: statements went to it
            # until it had written again, later than allowed.
            self._later(item, lambda: self._apply(member, item))
            return
        self._apply(member, item)

    def doubt(self, name: str, item: _store.Item) -> None:
        """Keeps a known member whose entry cannot be read, for a while.

        It stays for as long as a silent one is listed: its own next entry may
        put it right.
        """
        if name in self.members:
            lapse_s = self._ctx.policy.entry_lapse_s
            self._after(lapse_s, item, lambda: self._forget(name, item))

    def _is_first(self, name: str, item: _store.Item) -> bool:
        """Whether an entry is the first of its key that is seen in an era.

        Whatever comes after it was written since the store came back.
        """
        era = item.revision.era
        before, self._eras[name] = self._eras.get(name, era), era
        return before != era

    def _is_news(self, name: str, member: _members.Member) -> bool:
        """Whether an entry is later than what is known, by its own count."""
        known = self.members.get(name)
        return known is not None and member.sequence > known.sequence

    def _apply(self, member: _members.Member, item: _store.Item) -> None:
        name = member.id
        known = self.members.get(name)
        self._believed[name] = item
        self._births[name] = member.born
        self.members[name] = member
        if known != member:
            change = _change(known, member)
            _events.emit(_events.MemberChanged(name, member.service, change))

    def _remove(self, name: str, item: _store.Item) -> None:
        """Removes a member; entries that lapsed meanwhile may come back."""
        if self._grace.left_s > 0:
            self._later(item, lambda: self._forget(name, item))
        else:
            self._forget(name, item)

    def _forget(self, name: str, item: _store.Item) -> None:
        self._believed[name] = item
        member = self.members.pop(name, None)
        if member is not None:
            _events.emit(_events.MemberChanged(name, member.service, "gone"))

    def _later(self, item: _store.Item, change: Callable[[], object]) -> None:
        """Carries a change out when the grace ends, if nothing came since."""
        self._after(self._grace.left_s, item, change)

    def _after(
        self, delay_s: float, item: _store.Item, change: Callable[[], object]
    ) -> None:
        def look() -> None:
            if self._ctx.is_current(item):
                change()
                self._ctx.note_change()

        self._ctx.clock.after(max(0.0, delay_s), look)


def _change(known: _members.Member | None, member: _members.Member) -> str:
    """Returns what a member's new entry says, in one word for the log."""
    if known is not None and member.is_restart_of(known):
        return "born again"
    return "draining" if member.draining else "seen"


def _is_lower(item: _store.Item, believed: _store.Item | None) -> bool:
    """Whether an entry of a later era may say less than what is believed.

    A copy holds no number above those that were given out before it was made;
    what was written since the store came back may have a lower one, too.
    """
    if believed is None or item.value == believed.value:
        return False
    return item.revision.number <= believed.revision.number
