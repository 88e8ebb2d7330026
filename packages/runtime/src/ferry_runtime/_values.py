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

    __slots__ = ("_limit", "_unpacker", "_fed", "_whole")

    def __init__(self, max_bytes: int) -> None:
        """Makes a decoder.

        Args:
            max_bytes: The largest value that is read.
        """
        self._limit = max_bytes
        self._unpacker: _Unpacker | None = None
        self._fed = 0  # The unpacker's offset after the last byte it got,
        self._whole = 0  # and after the last value that was complete.

    def feed(self, data: bytes) -> list[typing.Any]:
        """Returns the values that are complete now.

        Raises:
            InvalidMessageError: The bytes are no values, or one is too large.
        """
        unpacker = self._unpacker
        if unpacker is None:
            unpacker = _take(self._limit)
            self._fed = self._whole = unpacker.raw.tell()
        self._fed += len(data)
        unpacker.most = max(unpacker.most, self._fed - self._whole)
        try:
            values = self._complete_values(unpacker.raw, data)
        except (msgpack.UnpackException, ValueError, TypeError) as exc:
            self._unpacker = None  # What it holds is of no use to others.
            raise InvalidMessageError(repr(exc)) from exc
        # An unpacker moves on within a value, too: only the end of the last
        # complete one tells whether it holds a part of the next.
        is_empty = self._fed == self._whole
        self._unpacker = None if is_empty else unpacker
        if is_empty:
            _keep(unpacker)
        return values

    def _complete_values(
        self, raw: msgpack.Unpacker, data: bytes
    ) -> list[typing.Any]:
        raw.feed(data)
        values = []
        for value in raw:
            values.append(value)
            self._whole = raw.tell()
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
