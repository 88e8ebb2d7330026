"""A node's copy of what the store holds, from the store or from peers.

Items are merged by revision, so nothing ever goes back, whatever the source. A
store that comes back from a copy begins an era: what it says then is newer than
all that was known, and is read whole before anything else of that era counts.
"""

from collections.abc import Callable

import attrs
import ferry_decisions as decisions

from ferry_proxy import _active_configuration
from ferry_proxy import _clocks
from ferry_proxy import _configuration
from ferry_proxy import _events
from ferry_proxy import _grace
from ferry_proxy import _member_entries
from ferry_proxy import _members
from ferry_proxy import _policy
from ferry_proxy import _records
from ferry_proxy import _store
from ferry_proxy import _team_placement
from ferry_proxy import _teams


@attrs.frozen(slots=True)
class Layout:
    """Where the platform keeps its items, and how they are decoded.

    Attributes:
        configuration_key: The key of the operators' configuration.
        member_prefix: What the keys of the members' entries begin with.
        decode_configuration: Raises `InvalidItemError` for an invalid one.
        decode_member: The same, for a member's id and its entry.
    """

    configuration_key: str
    member_prefix: str
    decode_configuration: Callable[[bytes], _configuration.Configuration]
    decode_member: Callable[[str, bytes], _members.Member]


@attrs.frozen(slots=True)
class Batch:
    """What one copy of the store passes on to another.

    Attributes:
        items: Items, and deletions unless it is whole.
        revision: The revision up to which the items lead.
        covered: The revision of the newest change among all these.
        is_whole: Whether keys that are missing do not exist.
        kept: The configuration in force, where the items do not hold it.
    """

    items: tuple[_store.Item, ...]
    revision: decisions.Revision
    covered: decisions.Revision
    is_whole: bool
    kept: _store.Item | None = None


@attrs.frozen(slots=True)
class SnapshotRead:
    """A reading of all items.

    Attributes:
        revision: The store's revision then.
        read_at: The moment, in the clock's seconds.
        has_news: Whether it held a newer configuration than the one that was
            in force here before.
    """

    revision: decisions.Revision
    read_at: float
    has_news: bool = False


class Catalogue:
    """The items of the store, decoded.

    Attributes:
        revision: The store's revision up to which all changes are known.
        covered: The revision of the newest change that is known with all
            before it.
        active_configuration: The configuration in force.
        grace: How long entries that are missing are still believed.
        nodes: The nodes by name.
        claims: The claims of the store's present era, by group.
        era_seen_at: When this node first read the store in its present era,
            in boot time; long ago where the store names no eras.
        first_reading: What this node first read of the store's present era;
            None before that.
        refused: Items that could not be read or named nothing to use.
        on_change: Called after each change.
    """

    def __init__(
        self,
        clock: _clocks.Clock,
        layout: Layout,
        policy: _policy.Policy,
    ) -> None:
        self._clock = clock
        self._layout = layout
        self._items: dict[str, _store.Item] = {}
        self.grace = _grace.GracePeriod(clock, policy.return_grace_s)
        self._entries = _member_entries.MemberEntries(
            _member_entries.EntriesContext(
                clock,
                policy,
                layout.decode_member,
                self._is_current,
                self._note_change,
            ),
            self.grace,
        )
        self._since = decisions.UNREAD_REVISION
        self.revision = decisions.UNREAD_REVISION
        self.covered = decisions.UNREAD_REVISION
        self.active_configuration = _active_configuration.ActiveConfiguration(
            clock
        )
        self.nodes: dict[str, _records.NodeEntry] = {}
        self.claims: dict[str, _records.HeldClaim] = {}
        self.era_seen_at = float("-inf")
        self.first_reading: SnapshotRead | None = None
        self.refused = 0
        self.on_change: list[Callable[[], object]] = []

    @property
    def member_prefix(self) -> str:
        """What the keys of the members' entries begin with."""
        return self._layout.member_prefix

    def limit_of(self, team: str) -> _teams.Limit:
        """Returns how much a team may ask for, over all nodes."""
        cfg = self.configuration
        return cfg.teams.limit_of(team) if cfg else _teams.NO_LIMIT

    def item(self, key: str) -> _store.Item | None:
        """Returns an item that is there."""
        found = self._items.get(key)
        return None if found is None or found.value is None else found

    @property
    def members(self) -> dict[str, _members.Member]:
        """The members by id."""
        return self._entries.members

    @property
    def is_read(self) -> bool:
        """Whether the store's items were read yet."""
        return self.revision > decisions.UNREAD_REVISION

    def condition(self, key: str) -> decisions.Revision:
        """Returns the revision that a key has, for a conditional write."""
        found = self.item(key)
        return found.revision if found else self.revision.beginning

    @property
    def configuration(self) -> _configuration.Configuration | None:
        """The configuration in force; None before the first one."""
        return self.active_configuration.configuration

    @property
    def version(self) -> int:
        """Its version; 0 without one."""
        return self.active_configuration.version

    @property
    def team_placement(self) -> _team_placement.TeamPlacement:
        """Which node each team is at home at."""
        return self.active_configuration.team_placement

    def batch_after(
        self, revision: decisions.Revision, version: int = 0
    ) -> Batch:
        """Returns what a copy lacks that knows all up to a revision.

        It is the whole copy where deletions since then may have been missed.

        Args:
            revision: The revision.
            version: The version of the configuration that it has.
        """
        is_whole = revision < self._since
        items = tuple(
            i
            for i in self._items.values()
            if (i.value is not None if is_whole else i.revision > revision)
        )
        kept = None
        if version < self.version:
            kept = self._missing_from(items)
        return Batch(items, self.revision, self.covered, is_whole, kept)

    def _missing_from(
        self, items: tuple[_store.Item, ...]
    ) -> _store.Item | None:
        """Returns the configuration in force unless it is among items.

        The store's copy may hold an older one, and a node of a later era takes
        no items of this one.
        """
        origin = self.active_configuration.origin
        if origin is None or origin.item in items:
            return None
        return origin.item

    def merge_batch(self, batch: Batch, source: str) -> None:
        """Merges in what another copy knows."""
        if batch.is_whole:
            snapshot = _store.Changes(batch.items, batch.revision)
            self.merge_snapshot(snapshot, source)
        else:
            changes = _store.Changes(batch.items, batch.revision)
            self.merge_changes(changes, source)
        self.covered = max(self.covered, batch.covered)
        if batch.kept is not None:
            # A node that has just started knows the store's copy, which may
            # hold an older configuration than the one in force.
            self._apply(batch.kept, source)
            self._note_change()

    def merge_changes(self, changes: _store.Changes, source: str) -> None:
        """Merges in all that changed after `revision`, up to a later one."""
        if changes.revision.era != self.revision.era:
            return  # They came too late: the store is read anew meanwhile.
        self._cover(changes)
        self.take(changes.items, source)

    def merge_snapshot(self, snapshot: _store.Changes, source: str) -> None:
        """Takes all items in; what is missing has been deleted."""
        present = {i.key for i in snapshot.items}
        gone = [
            _store.Item(key, None, snapshot.revision)
            for key, item in self._items.items()
            if key not in present
            and item.value is not None
            and item.revision <= snapshot.revision
        ]
        known = self.revision
        version = self.version
        is_first = self.first_reading is None
        is_restored = snapshot.revision.era > known.era
        if is_restored:
            self._begin_era(snapshot.revision.era, source)
        self._since = max(self._since, snapshot.revision)
        self._cover(snapshot)
        taken = self.take((*snapshot.items, *gone), source)
        if is_first or is_restored:
            has_news = 0 < version < self.version
            self.first_reading = SnapshotRead(
                snapshot.revision, self._clock.now(), has_news
            )
        listed = len(snapshot.items)
        _events.emit(
            _events.ItemsRead(
                source,
                snapshot.revision.era,
                snapshot.revision.number,
                known.era,
                known.number,
                listed,
                listed + len(gone) - taken,
            )
        )

    def _begin_era(self, era: int, source: str) -> None:
        """Takes in that the store came back from a copy, or is read first."""
        self.era_seen_at = self._clock.boot_now()
        self.claims.clear()
        if self.is_read:
            _events.emit(_events.StoreRestored(era, source))
            self.grace.begin()

    def outdated_claims(self, service: str) -> list[_store.Item]:
        """Returns the claims of a group that are of eras which are over."""
        present = _records.claim_key(self.revision.era, service)
        return [
            item
            for key, item in self._items.items()
            if key.startswith(_records.CLAIM_PREFIX)
            and key != present
            and item.value is not None
            and _records.parse_claim_key(key).service == service
        ]

    def _cover(self, changes: _store.Changes) -> None:
        self.revision = max(self.revision, changes.revision)
        newest = max(
            (i.revision for i in changes.items),
            default=decisions.UNREAD_REVISION,
        )
        # Pages of a snapshot may hold items that are newer than it.
        self.covered = max(self.covered, min(newest, self.revision))

    def take(self, items: "tuple[_store.Item, ...]", source: str) -> int:
        """Merges single items in.

        Args:
            items: Items or deletions, in any order.
            source: Where they come from, for the log.

        Returns:
            How many of them were newer than what was known.
        """
        taken = 0
        for item in sorted(items, key=lambda i: i.revision):
            if item.revision.era != self.revision.era:
                continue  # Of a history that is gone, or not read yet.
            known = self._items.get(item.key)
            if known is not None and known.revision >= item.revision:
                continue
            self._items[item.key] = item
            self._apply(item, source)
            taken += 1
        if taken:
            self._note_change()
        return taken

    def note_store_return(self) -> None:
        """Takes in that the store answers again after a while."""
        self.grace.begin()

    def _note_change(self) -> None:
        for callback in self.on_change:
            callback()

    def _is_current(self, item: _store.Item) -> bool:
        return self._items.get(item.key) == item

    # -- decoding --------------------------------------------------------

    def _apply(self, item: _store.Item, source: str) -> None:
        layout = self._layout
        try:
            if item.key == layout.configuration_key:
                self._apply_configuration(item, source)
            elif item.key.startswith(layout.member_prefix):
                member = item.key.removeprefix(layout.member_prefix)
                self._entries.take(member, item)
            elif item.key.startswith(_records.NODE_PREFIX):
                self._apply_node(
                    item.key.removeprefix(_records.NODE_PREFIX), item
                )
            elif item.key.startswith(_records.CLAIM_PREFIX):
                self._apply_claim(item)
        except _records.InvalidItemError as exc:
            self._refuse(item, str(exc))

    def _refuse(self, item: _store.Item, detail: str) -> None:
        """Passes over an item that names nothing to use."""
        self.refused += 1
        shown = detail[: _active_configuration.MAX_DETAIL]
        number = item.revision.number
        _events.emit(_events.DocumentRefused(item.key, number, shown))
        name = item.key.removeprefix(self._layout.member_prefix)
        if name != item.key:
            self._entries.doubt(name, item)

    def _apply_configuration(self, item: _store.Item, source: str) -> None:
        if item.value is not None:
            cfg = self._layout.decode_configuration(item.value)
            self.active_configuration.take(cfg, item, source)

    def _apply_node(self, name: str, item: _store.Item) -> None:
        if item.value is not None:
            self.nodes[name] = _records.NodeEntry.decode(name, item.value)
        elif self.grace.left_s > 0:
            # The groups of a node that is there would change hands, and back
            # once it has listed itself again.
            self._clock.after(
                self.grace.left_s, lambda: self._drop_node(name, item)
            )
        else:
            self.nodes.pop(name, None)

    def _drop_node(self, name: str, item: _store.Item) -> None:
        if self._is_current(item):
            self.nodes.pop(name, None)
            self._note_change()

    def _apply_claim(self, item: _store.Item) -> None:
        found = _records.parse_claim_key(item.key)
        if found.era != self.revision.era:
            return
        service = found.service
        if item.value is None:
            self.claims.pop(service, None)
            return
        claim = _records.Claim.decode(service, item.value)
        now = self._clock.boot_now()
        self.claims[service] = _records.HeldClaim(claim, item.revision, now)
