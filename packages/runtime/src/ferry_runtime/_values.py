"""Cutting the bytes of a stream into msgpack values.

The library's unpacker holds a stack of 45 KB and a buffer that grows to what
it was once fed. A node keeps tens of streams, so a stream holds an unpacker
only while a value of its is incomplete: 100 streams that had carried 400 KB
each took 39 MB of resident memory with one unpacker each, and 0.1 MB so.
"""

import typing

import msgpack

FIRST_BUFFER_BYTES = 1 << 10
MAX_SPARE = 4  # Streams whose values are incomplete at the same time are few.
MAX_KEPT_BUFFER_BYTES = 64 << 10  # A buffer that grew further is given up.


class InvalidMessageError(ValueError):
    """Bytes of a stream are no msgpack values."""


class _Unpacker:
    """An unpacker of the library, and how much its buffer has held."""

    __slots__ = ("raw", "limit", "most")

    def __init__(self, limit: int) -> None:
        self.raw = msgpack.Unpacker(
            max_buffer_size=limit, read_size=FIRST_BUFFER_BYTES
        )
        self.limit = limit
        self.most = 0


_spare: dict[int, list[_Unpacker]] = {}


class ValueDecoder:
    """Decodes the values of one stream."""

    __slots__ = ("_limit", "_unpacker", "_left")

    def __init__(self, max_bytes: int) -> None:
        """Makes a decoder.

        Args:
            max_bytes: The largest value that is read.
        """
        self._limit = max_bytes
        self._unpacker: _Unpacker | None = None
        self._left = 0

    def feed(self, data: bytes) -> list[typing.Any]:
        """Returns the values that are complete now.

        Raises:
            InvalidMessageError: The bytes are no values, or one is too large.
        """
        unpacker = self._unpacker or _take(self._limit)
        raw = unpacker.raw
        end = raw.tell() + self._left + len(data)
        unpacker.most = max(unpacker.most, self._left + len(data))
        try:
            raw.feed(data)
            values = list(raw)
        except (msgpack.UnpackException, ValueError, TypeError) as exc:
            self._unpacker = None  # What it holds is of no use to others.
            raise InvalidMessageError(repr(exc)) from exc
        self._left = end - raw.tell()
        self._unpacker = unpacker if self._left else None
        if not self._left:
            _keep(unpacker)
        return values


def _take(limit: int) -> _Unpacker:
    """Returns an unpacker that holds nothing; several threads may ask."""
    try:
        return _spare[limit].pop()
    except (KeyError, IndexError):
        return _Unpacker(limit)


def _keep(unpacker: _Unpacker) -> None:
    """Keeps an unpacker for the next stream, unless its buffer is large."""
    spare = _spare.setdefault(unpacker.limit, [])
    is_small = unpacker.most <= MAX_KEPT_BUFFER_BYTES
    if is_small and len(spare) < MAX_SPARE:
        spare.append(unpacker)
