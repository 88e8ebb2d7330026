"""Coding of the messages between nodes, by `msgpack`.

On the wire a message is an array: protocol version, type code, correlation
id, and the fields in their order. An unknown version or code, or a field of
another type, is a typed error and closes that stream only.
"""

from collections.abc import Iterator
import typing

import attrs
import ferry_decisions as decisions
import msgpack

from ferry_node import _messages

VERSION = 1
MAX_MESSAGE_BYTES = 96 << 20
FIRST_BUFFER_BYTES = 1 << 10


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
    """Decodes a stream of messages.

    The library's unpacker takes some 40 KB, so a stream holds one only while
    a message of its is incomplete.
    """

    __slots__ = ("_unpacker", "_left")

    def __init__(self) -> None:
        self._unpacker: typing.Any = None
        self._left = 0

    def feed(self, data: bytes) -> Iterator[Envelope]:
        """Yields the messages that are complete.

        Raises:
            PeerProtocolError: The bytes are no message of this protocol.
        """
        unpacker = self._unpacker
        if unpacker is None:
            unpacker = _spare_unpacker()
        begun = unpacker.tell()
        end = begun + self._left + len(data)
        try:
            unpacker.feed(data)
            for row in unpacker:
                yield _envelope(row)
        except PeerProtocolError:
            raise
        except Exception as exc:  # noqa: BLE001 - whatever the library raises
            raise PeerProtocolError(repr(exc)) from exc
        self._left = end - unpacker.tell()
        self._unpacker = unpacker if self._left else None
        if not self._left and len(_SPARE) < MAX_SPARE:
            _SPARE.append(unpacker)


MAX_SPARE = 4
_SPARE: list[typing.Any] = []


def _spare_unpacker() -> typing.Any:
    """Returns an unpacker that holds nothing; several loops may ask."""
    try:
        return _SPARE.pop()
    except IndexError:
        pass
    return msgpack.Unpacker(
        max_buffer_size=MAX_MESSAGE_BYTES, read_size=FIRST_BUFFER_BYTES
    )


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
    """Returns entries of the store as triples."""
    return [[e.key, e.value, e.revision] for e in entries]


def unpack_entries(
    triples: list[list[typing.Any]],
) -> list[decisions.StoreEntry]:
    """Returns entries of the store from triples.

    Raises:
        PeerProtocolError: One has another form.
    """
    entries = []
    for triple in triples:
        match triple:
            case [str(key), bytes(value), int(revision)]:
                entries.append(decisions.StoreEntry(key, value, revision))
            case _:
                raise PeerProtocolError("entry")
    return entries
