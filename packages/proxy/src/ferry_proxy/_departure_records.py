"""The record of a group's open departures, as the store holds it.

The record carries no times, since nodes have no clock in common. A reader
counts from when it first reads an entry.
"""

from collections.abc import Callable
from collections.abc import Collection
import json
import typing

import attrs
import ferry_decisions as decisions

from ferry_proxy import _departures
from ferry_proxy import _member_rows
from ferry_proxy import _members
from ferry_proxy import _records
from ferry_proxy import _store
from ferry_proxy import _stored_records

# Most departures are covered sooner, and calls of the store are priced.
RECORD_DELAY_S = 1.0
MAX_ENTRIES = 32


@attrs.frozen(slots=True)
class Entry:
    """An open departure.

    Attributes:
        member: The member's last entry, without its role.
        has_ended: Whether its process was known to have ended.
    """

    member: _members.Member
    has_ended: bool

    @classmethod
    def of(cls, departure: _departures.Departure, now: float) -> "Entry":
        """Returns the entry of a departure.

        Args:
            departure: The departure.
            now: The current boot time, in seconds.
        """
        member = attrs.evolve(departure.member, leads=False, sequence=0)
        return cls(member, departure.ended_at <= now)

    def departure(self, now: float) -> _departures.Departure:
        """Returns the departure, as known to a node that reads it.

        Args:
            now: The current boot time, in seconds.
        """
        ended_at = now if self.has_ended else float("inf")
        return _departures.Departure(self.member, now, ended_at)

    @property
    def key(self) -> str:
        """The key of the departure."""
        return _departures.key_of(self.member)


@attrs.frozen(slots=True)
class DepartureRecord:
    """The open departures of a group.

    Attributes:
        entries: The departures, the earliest first.
        revision: The store's revision of the item.
    """

    entries: tuple[Entry, ...]
    revision: decisions.Revision

    @property
    def keys(self) -> frozenset[str]:
        """The keys of the departures."""
        return frozenset(e.key for e in self.entries)


def encode(entries: Collection[Entry]) -> bytes:
    """Returns the value of a record in the store."""
    rows = [
        {**_member_rows.encode(e.member), "ended": e.has_ended} for e in entries
    ]
    return json.dumps({"departures": rows}).encode()


def decode(service: str, value: bytes) -> tuple[Entry, ...]:
    """Decodes the record of a group.

    Raises:
        InvalidItemError: The record is malformed.
    """
    where = f"departures {service}"
    rows = _records.json_object(value, where).get("departures")
    if not isinstance(rows, list) or len(rows) > MAX_ENTRIES:
        raise _records.InvalidItemError(f"{where}: no list of departures")
    entries = tuple(_decode_entry(service, row, where) for row in rows)
    if len({e.key for e in entries}) < len(entries):
        raise _records.InvalidItemError(f"{where}: a departure twice")
    return entries


def decode_item(service: str, item: _store.Item) -> DepartureRecord:
    """Decodes a group's record from its item in the store.

    Raises:
        InvalidItemError: The record is malformed.
    """
    return DepartureRecord(decode(service, item.value or b""), item.revision)


def stored() -> _stored_records.StoredRecords[DepartureRecord]:
    """Returns an empty collection of records."""
    prefix = _records.DEPARTURE_PREFIX
    return _stored_records.StoredRecords(prefix, decode_item)


def _decode_entry(service: str, row: typing.Any, where: str) -> Entry:
    member = _member_rows.decode(service, row, where)
    if type(row.get("ended")) is not bool:
        raise _records.InvalidItemError(f"{where}: ended is no bool")
    return Entry(member, row["ended"])


def next_entries(
    recorded: Collection[Entry],
    open_departures: Collection[_departures.Departure],
    is_closed: Callable[[Entry], bool],
    now: float,
) -> tuple[Entry, ...]:
    """Returns what the record should hold.

    An entry stays until it is known to be closed: other nodes take an entry
    that disappears for covered. That a process has ended since is no reason to
    write the record, as readers find this out by themselves.

    Args:
        recorded: The entries that the record holds.
        open_departures: The open departures that this node knows.
        is_closed: Whether an entry's departure is covered, or its member
            listed again.
        now: The current boot time, in seconds.
    """
    kept = tuple(e for e in recorded if not is_closed(e))
    keys = {e.key for e in recorded}
    due = tuple(
        Entry.of(d, now)
        for d in open_departures
        if d.key not in keys and now - d.removed_at > RECORD_DELAY_S
    )
    return (*kept, *due)[:MAX_ENTRIES]
