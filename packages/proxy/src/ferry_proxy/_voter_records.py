"""The record of a group's voters, as the store holds it.

A voter counts towards the quorum of a commit once it has received the commit.
Callers are told of a commit only once enough voters have received it, so a
change of primary that takes all recorded voters into account misses none.
"""

from collections.abc import Callable
from collections.abc import Collection
import json

import attrs
import ferry_decisions as decisions

from ferry_proxy import _departures
from ferry_proxy import _member_rows
from ferry_proxy import _members
from ferry_proxy import _records
from ferry_proxy import _store
from ferry_proxy import _stored_records

# Members that were replaced stay in the record until they are covered.
MAX_VOTERS = 64


@attrs.frozen(slots=True)
class VoterRecord:
    """The voters of a group.

    Attributes:
        members: Their entries at the time when they were added.
        revision: The store's revision of the item.
    """

    members: tuple[_members.Member, ...]
    revision: decisions.Revision

    @property
    def keys(self) -> frozenset[str]:
        """The keys of the voters, which differ between their processes."""
        return frozenset(map(_departures.key_of, self.members))


def encode(members: Collection[_members.Member]) -> bytes:
    """Returns the value of a record in the store."""
    rows = [_member_rows.encode(m) for m in members]
    return json.dumps({"voters": rows}).encode()


def decode(service: str, value: bytes) -> tuple[_members.Member, ...]:
    """Decodes the record of a group.

    Raises:
        InvalidItemError: The record is malformed.
    """
    where = f"voters {service}"
    rows = _records.json_object(value, where).get("voters")
    if not isinstance(rows, list) or len(rows) > MAX_VOTERS:
        raise _records.InvalidItemError(f"{where}: no list of voters")
    members = tuple(_member_rows.decode(service, row, where) for row in rows)
    if len(set(map(_departures.key_of, members))) < len(members):
        raise _records.InvalidItemError(f"{where}: a voter twice")
    return members


def decode_item(service: str, item: _store.Item) -> VoterRecord:
    """Decodes a group's record from its item in the store.

    Raises:
        InvalidItemError: The record is malformed.
    """
    return VoterRecord(decode(service, item.value or b""), item.revision)


def stored() -> _stored_records.StoredRecords[VoterRecord]:
    """Returns an empty collection of records."""
    return _stored_records.StoredRecords(_records.VOTER_PREFIX, decode_item)


def next_voters(
    recorded: Collection[_members.Member],
    present: Collection[_members.Member],
    is_covered: Callable[[_members.Member], bool],
) -> tuple[_members.Member, ...]:
    """Returns the voters that the record should hold.

    Args:
        recorded: The voters that it holds.
        present: The listed members, and departed ones that are not covered.
        is_covered: Whether a departed member is known to be covered.
    """
    named = set(map(_departures.key_of, present))
    kept = [
        m
        for m in recorded
        if _departures.key_of(m) in named or not is_covered(m)
    ]
    known = set(map(_departures.key_of, kept))
    added = [m for m in present if _departures.key_of(m) not in known]
    return (*kept, *added)[:MAX_VOTERS]
