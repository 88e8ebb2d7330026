"""Coding of the messages between nodes, by `msgpack`.

On the wire a message is an array: protocol version, type code, correlation
id, and the fields in their order. An unknown version or code, or a field of
another type, is a typed error and closes that stream only.
"""

from collections.abc import Iterator
import typing

import attrs
import ferry_decisions as decisions
import ferry_runtime as runtime
import msgpack

from ferry_node import _messages

VERSION = 1
MAX_MESSAGE_BYTES = 96 << 20


class PeerProtocolError(Exception):
    """A peer sent what is no message of this protocol."""


@attrs.frozen(slots=True)
class Envelope:
    """A message with its correlation id.

    Attributes:
        correlation: Chosen by the asking side; the answer carries it too.
        message: The message.
    """

    correlation: int
    message: _messages.Message


def encode(correlation: int, message: _messages.Message) -> bytes:
    """Returns the bytes of a message."""
    fields = [getattr(message, a.name) for a in type(message).__attrs_attrs__]
    row = [VERSION, _messages.CODE_OF[type(message)], correlation, *fields]
    return bytes(msgpack.packb(row))


class MessageDecoder:
    """Decodes a stream of messages."""

    __slots__ = ("_values",)

    def __init__(self) -> None:
        self._values = runtime.ValueDecoder(MAX_MESSAGE_BYTES)

    def feed(self, data: bytes) -> Iterator[Envelope]:
        """Yields the messages that are complete.

        Raises:
            PeerProtocolError: The bytes are no message of this protocol.
        """
        try:
            rows = self._values.feed(data)
        except runtime.InvalidMessageError as exc:
            raise PeerProtocolError(str(exc)) from exc
        for row in rows:
            yield _envelope(row)


_FIELD_TYPES: dict[type, tuple[type, ...]] = {
    str: (str,),
    bytes: (bytes,),
    int: (int,),
    float: (float, int),
    bool: (bool,),
}


def _envelope(row: object) -> Envelope:
    if not isinstance(row, list) or len(row) < 3:
        raise PeerProtocolError("not an array of three or more")
    version, code, correlation, *fields = row
    if version != VERSION:
        raise PeerProtocolError(f"version {version!r}")
    cls = _messages.CODES.get(code) if isinstance(code, int) else None
    if cls is None or not isinstance(correlation, int):
        raise PeerProtocolError(f"type code {code!r}")
    attributes = attrs.fields(cls)
    if len(fields) != len(attributes):
        raise PeerProtocolError(f"{cls.__name__}: {len(fields)} fields")
    for attribute, value in zip(attributes, fields, strict=True):
        allowed = _FIELD_TYPES.get(attribute.type, (list, dict))
        if not isinstance(value, allowed):
            raise PeerProtocolError(f"{cls.__name__}.{attribute.name}")
    return Envelope(correlation, cls(*fields))


def pack_entries(
    entries: typing.Iterable[decisions.StoreEntry],
) -> list[list[typing.Any]]:
    """Returns entries of the store as rows."""
    return [
        [e.key, e.value, e.revision.era, e.revision.number] for e in entries
    ]


def unpack_entries(
    rows: list[list[typing.Any]],
) -> list[decisions.StoreEntry]:
    """Returns entries of the store from rows.

    Raises:
        PeerProtocolError: One has another form.
    """
    entries = []
    for row in rows:
        match row:
            case [str(key), bytes(value), int(era), int(number)]:
                revision = decisions.Revision(era, number)
                entries.append(decisions.StoreEntry(key, value, revision))
            case _:
                raise PeerProtocolError("entry")
    return entries


def pack_versions(
    versions: dict[str, decisions.Version],
) -> dict[str, list[int]]:
    """Returns how new entries are, as a row for each key."""
    return {
        key: [v.revision.era, v.revision.number, v.rank.count, v.rank.step]
        for key, v in versions.items()
    }


def unpack_versions(
    rows: dict[str, list[int]],
) -> dict[str, decisions.Version]:
    """Returns how new entries are, from rows.

    Raises:
        PeerProtocolError: One has another form.
    """
    versions = {}
    for key, row in rows.items():
        match row:
            case [int(era), int(number), int(count), int(step)]:
                versions[key] = decisions.Version(
                    decisions.Revision(era, number),
                    decisions.Rank(count, step),
                )
            case _:
                raise PeerProtocolError("version")
    return versions
