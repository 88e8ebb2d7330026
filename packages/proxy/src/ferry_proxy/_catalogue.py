"""A node's local copy of the store, fed by the store itself and by peers.

Items are merged by revision, so an item never reverts to an older state,
whatever the source. A store that is restored from a backup starts a new era:
its contents supersede everything known before, and a full snapshot has to be
read before any single change of that era is applied.
"""

from collections.abc import Callable

import attrs
import ferry_decisions as decisions

from ferry_proxy import _active_configuration
from ferry_proxy import _clocks
from ferry_proxy import _configuration
from ferry_proxy import _departure_records
from ferry_proxy import _events
from ferry_proxy import _grace
from ferry_proxy import _member_entries
from ferry_proxy import _members
from ferry_proxy import _policy
from ferry_proxy import _records
from ferry_proxy import _store
from ferry_proxy import _stored_claims
from ferry_proxy import _team_placement
from ferry_proxy import _teams
from ferry_proxy import _voter_records


@attrs.frozen(slots=True)
class Layout:
    """Where the platform keeps its items, and how to decode them.

    Attributes:
        configuration_key: The key of the operators' configuration.
        member_prefix: The prefix of the keys of members' entries.
        decode_configuration: Raises `InvalidItemError` for an invalid value.
        decode_member: Likewise, for a member's id and entry.
    """

    configuration_key: str
    member_prefix: str
    decode_configuration: Callable[[bytes], _configuration.Configuration]
    decode_member: Callable[[str, bytes], _members.Member]


@attrs.frozen(slots=True)
class Batch:
    """A set of items that one copy of the store sends to another.

    Attributes:
        items: The items; includes deletions unless the batch is whole.
        revision: The revision that the items are complete up to.
        covered: The revision of the newest change among them.
        is_whole: Whether it is a full snapshot: missing keys do not exist.
        kept: The active configuration if the items do not contain it.
    """

    items: tuple[_store.Item, ...]
    revision: decisions.Revision
    covered: decisions.Revision
    is_whole: bool
    kept: _store.Item | None = None


class Catalogue:
    """The decoded items of the store.

    Attributes:
        revision: The store's revision up to which all changes are known.
        covered: The revision of the newest change that is known together with
            all changes before it.
        active_configuration: The configuration that is in use, and its origin.
        grace: The period during which entries missing from the store are kept.
        nodes: The nodes by name.
        stored_claims: The claims in the store, and the orders recorded in them.
        stored_departures: The records of open departures in the store.
        stored_voters: The records of voters in the store.
        era_seen_at: When this node first read the store in its current era, in
            boot time; minus infinity if the store does not report eras.
        complete_at: The moment that this copy is complete for, in boot time.
        first_snapshot: The first snapshot that this node read in the store's
            current era; None before that.
        refused: The number of items that were rejected as invalid.
        on_change: Callbacks to run after each change.
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
        self._complete_since = decisions.UNREAD_REVISION
        self.revision = decisions.UNREAD_REVISION
        self.covered = decisions.UNREAD_REVISION
        self.active_configuration = _active_configuration.ActiveConfiguration(
            clock
        )
        self.nodes: dict[str, _records.NodeEntry] = {}
        self.stored_claims = _stored_claims.StoredClaims()
        self.stored_departures = _departure_records.stored()
        self.stored_voters = _voter_records.stored()
        self.era_seen_at = float("-inf")
        self.complete_at = float("-inf")
        self.first_snapshot: _store.SnapshotRead | None = None
        self.refused = 0
        self.on_change: list[Callable[[], object]] = []

    @property
    def claims(self) -> dict[str, _records.HeldClaim]:
        """The claims of the store's current era, by group."""
        return self.stored_claims.claims

    @property
    def member_prefix(self) -> str:
        """The prefix of the keys of members' entries."""
        return self._layout.member_prefix

    def limit_of(self, team: str) -> _teams.Limit:
        """Returns a team's rate limit, counted over all nodes."""
        cfg = self.configuration
        return cfg.teams.limit_of(team) if cfg else _teams.NO_LIMIT

    def item(self, key: str) -> _store.Item | None:
        """Returns the item of a key; None if it does not exist."""
        found = self._items.get(key)
        return None if found is None or found.value is None else found

    @property
    def members(self) -> dict[str, _members.Member]:
        """The members by id."""
        return self._entries.members

    @property
    def is_read(self) -> bool:
        """Whether the store's items have been read."""
        return self.revision > decisions.UNREAD_REVISION

    def condition(self, key: str) -> decisions.Revision:
        """Returns a key's revision, as the condition of a write."""
        found = self.item(key)
        return found.revision if found else self.revision.beginning

    @property
    def configuration(self) -> _configuration.Configuration | None:
        """The active configuration; None before the first one."""
        return self.active_configuration.configuration

    @property
    def version(self) -> int:
        """The version of the active configuration; 0 without one."""
        return self.active_configuration.version

    @property
    def team_placement(self) -> _team_placement.TeamPlacement:
        """The assignment of teams to nodes."""
        return self.active_configuration.team_placement

    def batch_after(
        self, revision: decisions.Revision, version: int = 0
    ) -> Batch:
        """Returns the changes that another copy of the store is missing.

        The batch is a full snapshot if this copy may itself have missed
        deletions made since the given revision.

        Args:
            revision: The revision up to which the other copy is complete.
            version: The version of the other copy's configuration.
        """
        is_whole = revision < self._complete_since
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
        """Returns the active configuration's item unless items contain it.

        A restored store may hold an older configuration, and a node that is in
        a later era ignores the items of this one.
        """
        origin = self.active_configuration.origin
        if origin is None or origin.item in items:
            return None
        return origin.item

    def merge_batch(self, batch: Batch, source: str) -> None:
        """Merges a batch that another copy of the store has sent."""
        if batch.is_whole:
            snapshot = _store.Changes(batch.items, batch.revision)
            self.merge_snapshot(snapshot, source)
        else:
            changes = _store.Changes(batch.items, batch.revision)
            self.merge_changes(changes, source)
        self.covered = max(self.covered, batch.covered)
        if batch.kept is not None:
            # A node that has just started knows only the restored store, which
            # may hold an older configuration than the active one.
            self._apply(batch.kept, source)
            self._note_change()

    def merge_changes(self, changes: _store.Changes, source: str) -> None:
        """Merges all changes between `revision` and a later revision."""
        if changes.revision.era != self.revision.era:
            return  # A snapshot of a new era has been read since.
        self._advance(changes)
        self.take(changes.items, source)

    def merge_snapshot(self, snapshot: _store.Changes, source: str) -> None:
        """Merges a full snapshot; keys missing from it have been deleted."""
        present = {i.key for i in snapshot.items}
        deleted = [
            _store.Item(key, None, snapshot.revision)
            for key, item in self._items.items()
            if key not in present
            and item.value is not None
            and item.revision <= snapshot.revision
        ]
        known, is_first = self.revision, self.first_snapshot is None
        is_restored = snapshot.revision.era > known.era
        if is_restored:
            self._begin_era(snapshot.revision.era, source)
        self._complete_since = max(self._complete_since, snapshot.revision)
        self._advance(snapshot)
        # The newest change may be a deletion, which leaves no item.
        self.covered = max(self.covered, snapshot.revision)
        taken = self.take((*snapshot.items, *deleted), source)
        if is_first or is_restored:
            now = self._clock.now()
            self.first_snapshot = _store.SnapshotRead(snapshot.revision, now)
        listed = len(snapshot.items)
        _events.emit(
            _events.ItemsRead(
                source,
                snapshot.revision.era,
                snapshot.revision.number,
                known.era,
                known.number,
                listed,
                listed + len(deleted) - taken,
            )
        )

    def _begin_era(self, era: int, source: str) -> None:
        """Handles the first snapshot of an era of the store."""
        self.era_seen_at = self._clock.boot_now()
        self.stored_claims.begin_era()
        if self.is_read:
            _events.emit(_events.StoreRestored(era, source))
            self.grace.begin()

    def outdated_claims(self, service: str) -> list[_store.Item]:
        """Returns the claims of a group that belong to earlier eras."""
        prefix = _records.CLAIM_PREFIX
        current = _records.claim_key(self.revision.era, service)
        return [
            item
            for key, item in self._items.items()
            if key.startswith(prefix)
            and key != current
            and item.value is not None
            and _records.parse_group_key(prefix, key).service == service
        ]

    def _advance(self, changes: _store.Changes) -> None:
        """Moves `revision` and `covered` forward to include changes."""
        self.revision = max(self.revision, changes.revision)
        newest = max(
            (i.revision for i in changes.items),
            default=decisions.UNREAD_REVISION,
        )
        # The pages of a snapshot may hold items newer than its revision.
        self.covered = max(self.covered, min(newest, self.revision))

    def take(self, items: "tuple[_store.Item, ...]", source: str) -> int:
        """Merges single items, without advancing `revision`.

        Args:
            items: Items or deletions, in any order.
            source: Where they come from, for the log.

        Returns:
            The number of items that were newer than the known ones.
        """
        taken = 0
        for item in sorted(items, key=lambda i: i.revision):
            if item.revision.era != self.revision.era:
                continue  # Its era is an earlier one, or is not read yet.
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
        """Records that the store answers again after an outage."""
        self.grace.begin()

    def _note_change(self) -> None:
        for callback in self.on_change:
            try:
                callback()
            except Exception:  # noqa: BLE001 - the copy is complete without it
                decisions.log_exception("event=change_callback_failed")

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
                self._entries.update(member, item)
            elif item.key.startswith(_records.NODE_PREFIX):
                self._apply_node(
                    item.key.removeprefix(_records.NODE_PREFIX), item
                )
            elif item.key.startswith(_records.CLAIM_PREFIX):
                now = self._clock.boot_now()
                self.stored_claims.apply(item, self.revision.era, now)
            else:
                self.stored_departures.apply(item)
                self.stored_voters.apply(item)
        except _records.InvalidItemError as exc:
            self._refuse(item, str(exc))
        except Exception as exc:  # noqa: BLE001 - the other items are applied
            decisions.log_exception("event=item_failed key=%r", item.key)
            self._refuse(item, repr(exc))

    def _refuse(self, item: _store.Item, detail: str) -> None:
        """Counts and logs an invalid item, which is then ignored."""
        self.refused += 1
        shown = detail[: _active_configuration.MAX_DETAIL_CHARS]
        number = item.revision.number
        _events.emit(_events.DocumentRefused(item.key, number, shown))
        name = item.key.removeprefix(self._layout.member_prefix)
        if name != item.key:
            self._entries.note_invalid(name, item)

    def _apply_configuration(self, item: _store.Item, source: str) -> None:
        if item.value is not None:
            cfg = self._layout.decode_configuration(item.value)
            self.active_configuration.update(cfg, item, source)

    def _apply_node(self, name: str, item: _store.Item) -> None:
        if item.value is not None:
            self.nodes[name] = _records.NodeEntry.decode(name, item.value)
        elif self.grace.left_s > 0:
            # Removing a node that is still running would hand its groups to
            # other nodes, and back once it has registered itself again.
            self._clock.after(
                self.grace.left_s, lambda: self._drop_node(name, item)
            )
        else:
            self.nodes.pop(name, None)

    def _drop_node(self, name: str, item: _store.Item) -> None:
        if self._is_current(item):
            self.nodes.pop(name, None)
            self._note_change()
