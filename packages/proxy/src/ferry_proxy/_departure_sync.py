"""Shares the open departures of a group, so that they outlive a process.

A node that restarted, or began to serve the group since, has not seen which
members left. The first of the connected serving nodes writes the departures
that stay open to a record in the store. All serving nodes read it, and take an
entry that disappears for covered. If two nodes both write, the condition on the
record's revision rejects one of them.
"""

from collections.abc import Collection

import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _change_events
from ferry_proxy import _clocks
from ferry_proxy import _departure_records
from ferry_proxy import _departures
from ferry_proxy import _events
from ferry_proxy import _groups
from ferry_proxy import _paced_writes
from ferry_proxy import _peers
from ferry_proxy import _records
from ferry_proxy import _serving_peers
from ferry_proxy import _store

PREFIX = _records.DEPARTURE_PREFIX


def adopt(
    group: _groups.Group,
    entries: Collection[_departure_records.Entry],
    now: float,
) -> None:
    """Adds departures that other nodes have observed.

    Args:
        group: The group.
        entries: The departures; those of listed members are left out.
        now: The current boot time, in seconds.
    """
    departures = group.departures
    listed = {_departures.key_of(p.member) for p in group.pools.values()}
    known = {d.key for d in departures.open()}
    for entry in entries:
        if entry.key not in listed:
            departures.adopt(entry.departure(now))
    adopted = [d.key for d in departures.open() if d.key not in known]
    if adopted:
        service = group.service.name
        _events.emit(_change_events.DeparturesAdopted(service, adopted))


def adopt_items(
    group: _groups.Group, items: Collection[_store.Item], now: float
) -> None:
    """Adds the departures of a group from items that were just read.

    Args:
        group: The group.
        items: Records of departures, also of other groups and earlier eras.
        now: The current boot time, in seconds.
    """
    for item in items:
        key = _records.parse_group_key(PREFIX, item.key)
        if key.service == group.service.name and item.value is not None:
            adopt_encoded(group, item.value, item.key, now)


def adopt_encoded(
    group: _groups.Group, value: bytes, source: str, now: float
) -> None:
    """Adds departures from an encoded record; a malformed one is ignored.

    Args:
        group: The group.
        value: The record's value.
        source: The key or the peer that it is from, for the log.
        now: The current boot time, in seconds.
    """
    try:
        entries = _departure_records.decode(group.service.name, value)
    except _records.InvalidItemError as exc:
        _events.emit(_events.DocumentRefused(source, 0, str(exc)))
    else:
        adopt(group, entries, now)


def describe(group: _groups.Group, now: float) -> bytes:
    """Returns the open departures as an encoded record; empty for none.

    Args:
        group: The group.
        now: The current boot time, in seconds.
    """
    entries = [
        _departure_records.Entry.of(d, now) for d in group.departures.open()
    ]
    return _departure_records.encode(entries) if entries else b""


def cover(group: _groups.Group, keys: Collection[str], source: str) -> None:
    """Closes departures that another node found to be covered.

    Args:
        group: The group.
        keys: The keys of the departures, or their instances.
        source: Where this is known from, for the log.
    """
    closed = [
        d.key
        for d in group.departures.open()
        if d.key in keys or d.instance in keys
    ]
    if closed:
        group.departures.cover(closed)
        service = group.service.name
        _events.emit(_change_events.DeparturesCovered(service, closed, source))


class DepartureSync:
    """Keeps one group's departures at this node and the record in step.

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
        self._removed: decisions.Revision | None = None
        self._writes = _paced_writes.PacedWrites(
            clock, PREFIX, group.service.name
        )

    # -- reading ---------------------------------------------------------

    def read(self) -> None:
        """Applies the record as the local copy of the store has it.

        A restored store may lack entries, so only those that disappear within
        an era of the store are covered.
        """
        now = self._clock.boot_now()
        for record in self._records.values():
            adopt(self._group, record.entries, now)
        era = self._catalogue.revision.era
        current = self._records.get(era)
        keys = current.keys if current is not None else frozenset()
        if era == self._read_era:
            cover(self._group, self._read_keys - keys, "record")
        self._read_era, self._read_keys = era, keys

    @property
    def _records(self) -> dict[int, _departure_records.DepartureRecord]:
        """The records of the group, by the era in which they were written."""
        stored = self._catalogue.stored_departures
        return stored.of_group(self._group.service.name)

    # -- writing ---------------------------------------------------------

    def update(self) -> None:
        """Writes the record if it is this node's turn, and it has changed."""
        if not self._writes.is_ready or not self._catalogue.is_read:
            return
        service = self._group.service.name
        first = _serving_peers.first_connected(service, self._node, self._mesh)
        if first is None and not self._update_current():
            self._remove_outdated()

    def _update_current(self) -> bool:
        """Writes the record of the store's era; returns whether it has to."""
        era = self._catalogue.revision.era
        key = self._key(era)
        record = self._records.get(era)
        condition = self._catalogue.condition(key)
        if condition == self._removed:
            return False
        recorded = record.entries if record is not None else ()
        entries = _departure_records.next_entries(
            recorded,
            self._relevant_departures,
            self._is_closed,
            self._clock.boot_now(),
        )
        is_stored = self._catalogue.item(key) is not None
        is_malformed = is_stored and (
            record is None or record.revision != condition
        )
        if entries == recorded and not is_malformed:
            return False
        self._start(key, entries, condition)
        return True

    @property
    def _relevant_departures(self) -> list[_departures.Departure]:
        """The departures to record, if commits wait for replicas at all."""
        if not self._group.service.sync_replicas:
            return []
        return self._group.departures.open()

    def _is_closed(self, entry: _departure_records.Entry) -> bool:
        """Whether a recorded departure is covered, or its member is back.

        An entry in the list of members that is older than the record may be
        one that has been removed since.
        """
        if entry.key in self._group.departures.covered_keys:
            return True
        name = entry.member.id
        pool = self._group.pools.get(name)
        if pool is None or _departures.key_of(pool.member) != entry.key:
            return False
        catalogue = self._catalogue
        listed = catalogue.item(catalogue.member_prefix + name)
        record = self._records.get(catalogue.revision.era)
        if listed is None or record is None:
            return False
        return listed.revision > record.revision

    def _remove_outdated(self) -> None:
        """Removes a record of an earlier era once the current one has it."""
        records = self._records
        current = records.pop(self._catalogue.revision.era, None)
        recorded = current.keys if current is not None else frozenset()
        pending = {d.key for d in self._relevant_departures} - recorded
        for era, record in records.items():
            if not record.keys & pending and record.revision != self._removed:
                self._start(self._key(era), (), record.revision)
                return

    def _key(self, era: int) -> str:
        return _records.group_key(PREFIX, era, self._group.service.name)

    def _start(
        self,
        key: str,
        entries: tuple[_departure_records.Entry, ...],
        condition: decisions.Revision,
    ) -> None:
        before = self._read_keys
        self._writes.run(
            self._write(key, entries, condition),
            lambda: self._note_written(entries, before),
        )

    def _write(
        self,
        key: str,
        entries: tuple[_departure_records.Entry, ...],
        condition: decisions.Revision,
    ) -> "decisions.Flow[bool]":
        """Writes or removes a record; returns whether the store did so."""
        if not entries:
            is_removed = yield self._store.remove_if(key, condition)
            if is_removed:
                self._removed = condition
            return bool(is_removed)
        value = _departure_records.encode(entries)
        item = yield self._store.put_if(key, value, condition)
        if item is not None:
            self._catalogue.take((item,), "own record")
        return item is not None

    def _note_written(
        self,
        entries: tuple[_departure_records.Entry, ...],
        before: frozenset[str],
    ) -> None:
        keys = [e.key for e in entries]
        closed = sorted(before.difference(keys))
        service = self._group.service.name
        _events.emit(_change_events.DeparturesRecorded(service, keys, closed))
