"""Encoding of the messages between nodes, with `msgpack`.

On the wire, a message is an array of the protocol version, the type code, the
correlation id, and the fields in declaration order. An unknown version or
code, or a field of the wrong type, raises `PeerProtocolError`, which closes
the affected stream only.
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
    """A peer sent bytes that violate the protocol between nodes."""


@attrs.frozen(slots=True)
class Envelope:
    """A message with its correlation id.

    Attributes:
        correlation: The id that the requesting side chose. Its reply carries
            the same id.
        message: The decoded message.
    """

    correlation: int
    message: _messages.Message


def encode(correlation: int, message: _messages.Message) -> bytes:
    """Encodes a message."""
    fields = [getattr(message, a.name) for a in type(message).__attrs_attrs__]
    row = [VERSION, _messages.CODE_OF[type(message)], correlation, *fields]
    return bytes(msgpack.packb(row))


class MessageDecoder:
    """Decodes messages from a byte stream incrementally."""

    __slots__ = ("_values",)

    def __init__(self) -> None:
        self._values = runtime.ValueDecoder(MAX_MESSAGE_BYTES)

    def feed(self, data: bytes) -> Iterator[Envelope]:
        """Adds received bytes and yields the messages that they complete.

        Raises:
            PeerProtocolError: The bytes violate the protocol.
        """
        try:
            rows = self._values.feed(data)
        except runtime.InvalidMessageError as exc:
            raise PeerProtocolError(str(exc)) from exc
        for row in rows:
            yield _parse_envelope(row)


_FIELD_TYPES: dict[type, tuple[type, ...]] = {
    str: (str,),
    bytes: (bytes,),
    int: (int,),
    float: (float, int),
    bool: (bool,),
}


def _parse_envelope(row: object) -> Envelope:
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
    """Converts store entries to rows of key, value, era and number."""
    return [
        [e.key, e.value, e.revision.era, e.revision.number] for e in entries
    ]


def unpack_entries(
    rows: list[list[typing.Any]],
) -> list[decisions.StoreEntry]:
    """Converts rows from `pack_entries` back to store entries.

    Raises:
        PeerProtocolError: A row has a different shape.
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
    """Converts versions to rows, by key.

    A row holds the era and number of the revision and the count and step of
    the rank.
    """
    return {
        key: [v.revision.era, v.revision.number, v.rank.count, v.rank.step]
        for key, v in versions.items()
    }


def unpack_versions(
    rows: dict[str, list[int]],
) -> dict[str, decisions.Version]:
    """Converts rows from `pack_versions` back to versions.

    Raises:
        PeerProtocolError: A row has a different shape.
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
