"""Members in the proxy's own records in the store, one JSON object each."""

import typing

import attrs
import ferry_decisions as decisions

from ferry_proxy import _members
from ferry_proxy import _records

_FIELDS: dict[str, type] = {
    "id": str,
    "born": int,
    "host": str,
    "port": int,
    "data_centre": str,
    "slots": int,
    "draining": bool,
}
# Left out if unknown, as in the rows of older builds.
_REVISION_FIELD = "revision"


def encode(member: _members.Member) -> dict[str, typing.Any]:
    """Returns the row of a member, without its role."""
    row: dict[str, typing.Any] = {
        name: getattr(member, name) for name in _FIELDS
    }
    if member.revision > decisions.UNREAD_REVISION:
        row[_REVISION_FIELD] = attrs.astuple(member.revision)
    return row


def decode(service: str, row: typing.Any, where: str) -> _members.Member:
    """Decodes a row.

    Args:
        service: The member's group.
        row: The parsed JSON.
        where: A description of the record, for error messages.

    Raises:
        InvalidItemError: The row is malformed.
    """
    if not isinstance(row, dict):
        raise _records.InvalidItemError(f"{where}: no object")
    for name, kind in _FIELDS.items():
        if type(row.get(name)) is not kind:
            raise _records.InvalidItemError(f"{where}: {name} is no {kind}")
    if not row["id"] or not 0 < row["port"] <= _records.MAX_PORT:
        raise _records.InvalidItemError(f"{where}: no id or no port")
    if not all(map(_records.is_count, (row["born"], row["slots"]))):
        raise _records.InvalidItemError(f"{where}: a number out of range")
    texts = (row["id"], row["host"], row["data_centre"])
    if not all(map(_records.is_text, texts)):
        raise _records.InvalidItemError(f"{where}: a text without an encoding")
    fields = {name: row[name] for name in _FIELDS}
    revision = _decode_revision(row.get(_REVISION_FIELD, (0, 0)), where)
    return _members.Member(service=service, revision=revision, **fields)


def _decode_revision(raw: typing.Any, where: str) -> decisions.Revision:
    is_pair = isinstance(raw, list | tuple) and len(raw) == 2
    if not is_pair or not all(map(_records.is_count, raw)):
        raise _records.InvalidItemError(f"{where}: no revision")
    return decisions.Revision(*raw)
