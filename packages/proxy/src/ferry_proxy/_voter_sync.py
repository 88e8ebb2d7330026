"""Keeps the record of a group's voters in step with its members.

The first of the connected serving nodes adds members once they are listed, and
removes those that have left once their departure is covered. A node counts a
voter only when its copy of the store has the record together with all earlier
changes. So it knows every change of primary that was claimed before the voter
was recorded, and whoever claims one later reads the voter from the record.
"""

from collections.abc import Collection

import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _change_events
from ferry_proxy import _clocks
from ferry_proxy import _departure_records
from ferry_proxy import _departure_sync
from ferry_proxy import _departures
from ferry_proxy import _events
from ferry_proxy import _groups
from ferry_proxy import _members
from ferry_proxy import _paced_writes
from ferry_proxy import _peers
from ferry_proxy import _records
from ferry_proxy import _serving_peers
from ferry_proxy import _store
from ferry_proxy import _voter_records

PREFIX = _records.VOTER_PREFIX
# How often voters that are not listed are looked for in the record. A node
# that changes the primary reads the record anyway.
ADOPTION_INTERVAL_S = 1.0
# Commits that only a member receives that is not recorded yet are not told.
MAX_WRITE_PAUSE_S = 3.0


def record_key(group: _groups.Group, era: int) -> str:
    """Returns the store's key of a group's record.

    Args:
        group: The group.
        era: The era of the store.
    """
    return _records.group_key(PREFIX, era, group.service.name)


def adopt(
    group: _groups.Group, members: Collection[_members.Member], now: float
) -> None:
    """Takes voters that are not listed for departed members.

    Args:
        group: The group.
        members: The recorded voters.
        now: The current boot time, in seconds.
    """
    entries = [_departure_records.Entry(m, has_ended=False) for m in members]
    _departure_sync.adopt(group, entries, now)


def adopt_item(group: _groups.Group, item: _store.Item, now: float) -> None:
    """Adopts the voters of a record that was just read.

    Args:
        group: The group.
        item: The record's item; a malformed one is ignored.
        now: The current boot time, in seconds.
    """
    try:
        record = _voter_records.decode_item(group.service.name, item)
    except _records.InvalidItemError as exc:
        _events.emit(_events.DocumentRefused(item.key, 0, str(exc)))
    else:
        adopt(group, record.members, now)


class VoterSync:
    """Keeps one group's voters at this node and the record in step.

    The mesh has the streams to the other nodes that serve the group.
    """

    def __init__(
        self,
        clock: _clocks.Clock,
        node: str,
        store: _store.Store,
        catalogue: _catalogue.Catalogue,
        group: _groups.Group,
        mesh: _peers.Peers,
    ) -> None:
        self._clock = clock
        self._node = node
        self._store = store
        self._catalogue = catalogue
        self._group = group
        self._mesh = mesh
        self._read_era = -1
        self._read_keys: frozenset[str] = frozenset()
        self._next_adoption_at = clock.now() + ADOPTION_INTERVAL_S
        self._has_led = False
        self._written = decisions.UNREAD_REVISION
        self._removed = decisions.UNREAD_REVISION
        self._writes = _paced_writes.PacedWrites(
            clock, PREFIX, group.service.name, MAX_WRITE_PAUSE_S
        )
        group.voters.keys = frozenset()
        group.voters.on_missing.append(self._write_first)

    def note_round(self, reports: dict[str, _members.Report]) -> None:
        """Notes whether the primary answered a status round.

        While it does not, it may have to be replaced, and that goes first.

        Args:
            reports: The reports of the round, by member.
        """
        leader = self._group.leader
        report = reports.get(leader.member) if leader is not None else None
        self._has_led = report is not None

    def update(self) -> None:
        """Applies the record, and writes it if that is this node's turn."""
        if self._catalogue.is_read:
            self._apply_records()
        if self._has_led and self._records and self._is_first:
            self._write_if_changed()

    def _write_first(self) -> None:
        """Writes a record if there is none; any node that needs it may.

        A group needs none before its first commit.
        """
        if not self._records:
            self._write_if_changed()

    @property
    def _records(self) -> dict[int, _voter_records.VoterRecord]:
        """The records of the group, by the era in which they were written."""
        stored = self._catalogue.stored_voters
        return stored.of_group(self._group.service.name)

    @property
    def _is_first(self) -> bool:
        service = self._group.service.name
        first = _serving_peers.first_connected(service, self._node, self._mesh)
        return first is None

    @property
    def _is_unread(self) -> bool:
        """Whether this node's copy does not have its last write yet."""
        is_same_era = self._written.era == self._catalogue.revision.era
        return is_same_era and self._catalogue.revision < self._written

    # -- reading ---------------------------------------------------------

    def _apply_records(self) -> None:
        """Applies the records as the local copy of the store has them.

        Only voters of the current era count: a node that has read nothing but
        the restored store knows of no others.
        """
        era = self._catalogue.revision.era
        current = self._records.get(era)
        keys = current.keys if current is not None else frozenset()
        if era == self._read_era:
            removed = self._read_keys - keys
            _departure_sync.cover(self._group, removed, "voters")
        self._read_era, self._read_keys = era, keys
        self._group.voters.keys = keys
        now = self._clock.now()
        if now >= self._next_adoption_at:
            self._next_adoption_at = now + ADOPTION_INTERVAL_S
            self._adopt_recorded()

    def _adopt_recorded(self) -> None:
        now = self._clock.boot_now()
        for record in self._records.values():
            adopt(self._group, record.members, now)

    # -- writing ---------------------------------------------------------

    def _write_if_changed(self) -> None:
        """Writes the record of the store's era, or removes an earlier one."""
        if self._is_unread or not self._writes.is_ready:
            return
        records = self._records
        era = self._catalogue.revision.era
        current = records.pop(era, None)
        recorded = current.members if current is not None else ()
        members = _voter_records.next_voters(
            recorded, self._present, self._is_covered
        )
        if members != recorded or self._is_malformed(era, current):
            self._write(era, recorded, members)
        elif records and current is not None:
            self._remove_outdated(records)

    def _is_malformed(
        self, era: int, current: _voter_records.VoterRecord | None
    ) -> bool:
        """Whether the store's item is not the record that was decoded last."""
        item = self._catalogue.item(record_key(self._group, era))
        known = current.revision if current is not None else None
        return item is not None and item.revision != known

    @property
    def _present(self) -> list[_members.Member]:
        """The listed members, and those whose departure is open."""
        if not self._group.service.sync_replicas:
            return []  # No commit waits for a replica.
        departed = [d.member for d in self._group.departures.open()]
        return [p.member for p in self._group.pools.values()] + departed

    def _is_covered(self, member: _members.Member) -> bool:
        if not self._group.service.sync_replicas:
            return True
        key = _departures.key_of(member)
        return key in self._group.departures.covered_keys

    def _write(
        self,
        era: int,
        recorded: tuple[_members.Member, ...],
        members: tuple[_members.Member, ...],
    ) -> None:
        key = record_key(self._group, era)
        kept = set(map(_departures.key_of, members))
        removed = [m for m in recorded if _departures.key_of(m) not in kept]
        self._writes.run(
            self._replace(
                key, members, removed, self._catalogue.condition(key)
            ),
            lambda: self._note_written(members, removed),
        )

    def _replace(
        self,
        key: str,
        members: tuple[_members.Member, ...],
        removed: list[_members.Member],
        condition: decisions.Revision,
    ) -> "decisions.Flow[bool]":
        """Writes the record; returns whether the store did so."""
        for member in removed:
            if not (yield from self._is_list_known(member)):
                return False
        value = _voter_records.encode(members)
        item = yield self._store.put_if(key, value, condition)
        if item is not None:
            self._written = item.revision
        return item is not None

    def _is_list_known(self, member: _members.Member) -> "decisions.Flow[bool]":
        """Whether the store has no newer entry of a member than the copy.

        A member that is listed again must not be removed. Another process of
        it may be listed, and known to be.
        """
        key = self._catalogue.member_prefix + member.id
        found = yield self._store.list(key)
        known = self._catalogue.item(key)
        return all(i == known for i in found.items if i.key == key)

    def _note_written(
        self,
        members: tuple[_members.Member, ...],
        removed: list[_members.Member],
    ) -> None:
        voters = list(map(_departures.key_of, members))
        if not self._catalogue.is_read:
            self._group.voters.keys = frozenset(voters)
        event = _change_events.VotersRecorded(
            service=self._group.service.name,
            voters=voters,
            removed=list(map(_departures.key_of, removed)),
        )
        _events.emit(event)

    def _remove_outdated(
        self, records: dict[int, _voter_records.VoterRecord]
    ) -> None:
        """Removes a record of an earlier era, whose voters are adopted."""
        for era, record in records.items():
            if record.revision == self._removed:
                continue
            key = record_key(self._group, era)
            self._writes.run(self._remove(key, record.revision), lambda: None)
            return

    def _remove(
        self, key: str, revision: decisions.Revision
    ) -> "decisions.Flow[bool]":
        is_removed = yield self._store.remove_if(key, revision)
        if is_removed:
            self._removed = revision
        return bool(is_removed)
