"""Messages between nodes, encoded as msgpack arrays over a stream."""

from collections.abc import Callable
from collections.abc import Sequence
import functools
import math
import typing
import zlib

import attrs
import ferry_decisions as decisions
import ferry_runtime as runtime
import msgpack

from ferry_proxy import _catalogue
from ferry_proxy import _store

# A message has to hold a complete copy of the store's items.
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
# Values of at least this size are sent compressed. A configuration of 1,800
# routes and 83 teams is 429 KB, which takes a link of 10 Mbit/s 0.34 s, and
# 33 KB compressed.
MIN_COMPRESSED_BYTES = 4096
# Level 1 takes 2.6 ms of a core for that configuration; level 6 would save
# only 2 KB more.
COMPRESSION_LEVEL = 1
# The maximum size of a value after decompression.
MAX_VALUE_BYTES = 8 * 1024 * 1024
# Sent as the call number of `Hello`, which older builds ignore. Peers that send
# at least `LOAD_PROTOCOL` understand demands and load reports.
LOAD_PROTOCOL = 1
PROTOCOL = LOAD_PROTOCOL
MS_PER_S = 1000


class PeerProtocolError(Exception):
    """The bytes from a peer are not a valid message."""


Message = attrs.AttrsInstance
T = typing.TypeVar("T", bound=Message)


@attrs.frozen(slots=True, repr=False)
class _Format:
    """The wire format of a message type.

    Attributes:
        name: The type's name on the wire.
        cls: The class of its messages.
        fields: The names of its fields, in the order on the wire.
        defaults: The defaults of the fields, the last field's first.
    """

    name: str
    cls: type[typing.Any]
    fields: tuple[str, ...]
    defaults: tuple[object, ...]


_by_name: dict[str, _Format] = {}
_by_type: dict[type[typing.Any], _Format] = {}


def message(name: str) -> Callable[[type[T]], type[T]]:
    """Returns a decorator that registers a message type under `name`."""

    def register(cls: type[T]) -> type[T]:
        fields = tuple(f.name for f in attrs.fields(cls))
        defaults = tuple(f.default for f in reversed(attrs.fields(cls)))
        message_format = _Format(name, cls, fields, defaults)
        _by_name[name] = _by_type[cls] = message_format
        return cls

    return register


@message("hello")
@attrs.frozen(slots=True, repr=False)
class Hello:
    """The first message of each side of a stream.

    Attributes:
        node: The sender's name.
    """

    node: str


@message("ping")
@attrs.frozen(slots=True, repr=False)
class Ping:
    """A keep-alive message with the state of the sender.

    Attributes:
        era: The era of the newest change in the sender's copy of the store.
        covered: The number of that change.
        version: The version of the sender's configuration; 0 for none.
        store_age_s: Seconds since the newest moment that the sender's copy is
            complete for; negative for none.
        services: The groups whose statements the sender can run now.
        missed: The groups that other nodes serve and the sender has lost.
    """

    era: int
    covered: int
    version: int
    store_age_s: float
    services: list[str]
    missed: list[str]

    @property
    def newest(self) -> decisions.Revision:
        """The revision of the newest change in the sender's copy."""
        return decisions.Revision(self.era, self.covered)

    @property
    def state(self) -> "Ping":
        """The contents without the age of the store's data."""
        return attrs.evolve(self, store_age_s=0.0)


@message("same")
@attrs.frozen(slots=True, repr=False)
class SamePing:
    """A ping that differs from the stream's previous one only in the age.

    It takes 10 bytes. A full ping takes 40, and 90 from a node that serves ten
    groups; with full pings alone, they were two thirds of all bytes between
    data centres.

    Attributes:
        store_age_ms: Milliseconds since the newest moment that the sender's
            copy is complete for; negative for none.
    """

    store_age_ms: int

    @classmethod
    def of(cls, ping: Ping) -> "SamePing":
        """Returns the short form of a ping, with its age rounded up."""
        age_s = ping.store_age_s
        return cls(math.ceil(age_s * MS_PER_S) if age_s >= 0 else -1)

    @property
    def store_age_s(self) -> float:
        """The age in seconds; negative for none."""
        return self.store_age_ms / MS_PER_S


@message("sync")
@attrs.frozen(slots=True, repr=False)
class SyncRequest:
    """Asks for all changes after a revision.

    Attributes:
        era: The revision's era.
        number: The revision's number.
        version: The version of the sender's configuration.
    """

    era: int
    number: int
    version: int

    @classmethod
    def of(cls, known: _catalogue.Catalogue) -> "SyncRequest":
        """Returns the request for the changes that a copy lacks."""
        revision = known.revision
        return cls(revision.era, revision.number, known.version)

    @property
    def revision(self) -> decisions.Revision:
        """The revision after which changes are wanted."""
        return decisions.Revision(self.era, self.number)


@message("items")
@attrs.frozen(slots=True, repr=False)
class SyncReply:
    """The changes in the sender's copy of the store after a revision.

    Attributes:
        rows: The changed items, each as its key, its value, the number of its
            revision, and whether the value is compressed.
        era: The era of all revisions in the message.
        revision: The number of the revision that a copy with these changes
            has reached.
        covered: The number of the newest change that the sender knows.
        is_whole: Whether the rows are the complete contents, so that keys
            without a row do not exist.
        kept: The row of the active configuration, if it is not among the rows;
            otherwise None.
    """

    rows: list[tuple[str, bytes | None, int, bool]]
    era: int
    revision: int
    covered: int
    is_whole: bool
    kept: tuple[str, bytes | None, int, bool] | None

    @classmethod
    def of(cls, batch: _catalogue.Batch) -> "SyncReply":
        """Returns the message that carries a batch of changes."""
        rows = [_encode_item(i) for i in batch.items]
        revision, covered = batch.revision, batch.covered
        kept = batch.kept
        if kept is not None:
            # Its own revision may belong to an earlier era, and the message
            # has only one era.
            kept = attrs.evolve(kept, revision=revision.beginning)
        return cls(
            rows,
            revision.era,
            revision.number,
            covered.number,
            batch.is_whole,
            _encode_item(kept) if kept else None,
        )

    @property
    def batch(self) -> "_catalogue.Batch":
        """The batch of changes that the message carries.

        Raises:
            PeerProtocolError: A compressed value is invalid.
        """
        era = self.era
        return _catalogue.Batch(
            tuple(_decode_item(era, *row) for row in self.rows),
            decisions.Revision(era, self.revision),
            decisions.Revision(era, self.covered),
            self.is_whole,
            _decode_item(era, *self.kept) if self.kept else None,
        )


def _encode_item(item: _store.Item) -> tuple[str, bytes | None, int, bool]:
    value = item.value
    if value is None or len(value) < MIN_COMPRESSED_BYTES:
        return item.key, value, item.revision.number, False
    return item.key, _compress(value), item.revision.number, True


@functools.lru_cache(maxsize=4)
def _compress(value: bytes) -> bytes:
    """Compresses a value; cached, as many peers ask for the same one."""
    return zlib.compress(value, COMPRESSION_LEVEL)


def _decode_item(
    era: int, key: str, value: bytes | None, number: int, is_compressed: bool
) -> _store.Item:
    revision = decisions.Revision(era, number)
    if value is None or not is_compressed:
        return _store.Item(key, value, revision)
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(value, MAX_VALUE_BYTES)
    except zlib.error as exc:
        raise PeerProtocolError(f"{key}: {exc}") from exc
    if not decompressor.eof:
        raise PeerProtocolError(f"{key}: cut short, or too large")
    return _store.Item(key, plain, revision)


@message("leader")
@attrs.frozen(slots=True, repr=False)
class LeaderNotice:
    """Announces that a member leads a group.

    Attributes:
        service: The group.
        member: The member's id.
        term: The term that began when the member became the primary.
    """

    service: str
    member: str
    term: int


@message("survey?")
@attrs.frozen(slots=True, repr=False)
class SurveyRequest:
    """Asks for the newest floor of a group.

    Attributes:
        service: The group.
        departures: The departures that are open at the sender, as instances;
            older builds send keys.
    """

    service: str
    departures: Sequence[str] = ()


@message("survey")
@attrs.frozen(slots=True, repr=False)
class SurveyReply:
    """The result of the sender's last status round of a group.

    Attributes:
        member: The primary's id; empty if none is known.
        term: The primary's term.
        floor_term: The term of the floor.
        floor_index: The index of the floor.
        age_s: Seconds, at the time of sending, since the floor covered all
            acknowledged commits; negative if there is no floor.
        heard_ago_s: Seconds since the primary last answered the sender.
        covered: Those of the requested departures that are covered, as they
            were requested.
    """

    member: str
    term: int
    floor_term: int
    floor_index: int
    age_s: float
    heard_ago_s: float
    covered: Sequence[str] = ()


NO_SURVEY = SurveyReply("", 0, 0, 0, -1.0, 0.0)


@attrs.frozen(slots=True, repr=False)
class Envelope:
    """A message with its call number.

    Attributes:
        number: Positive for a request, its negative for the reply, and 0 for
            a message without a reply. Of a ping, the echo of the peer's pings.
        body: The message.
    """

    number: int
    body: Message


def encode(number: int, body: Message) -> bytes:
    """Encodes a message.

    Args:
        number: The call number, as in `Envelope`.
        body: The message.
    """
    message_format = _by_type[type(body)]
    fields = [getattr(body, name) for name in message_format.fields]
    for default in message_format.defaults:
        if fields[-1] != default:
            break
        fields.pop()  # Older builds may not know it.
    return typing.cast(
        bytes, msgpack.packb([message_format.name, number, *fields])
    )


class Decoder:
    """Decodes a stream of bytes into messages."""

    def __init__(self) -> None:
        self._values = runtime.ValueDecoder(MAX_MESSAGE_BYTES)

    def feed(self, data: bytes) -> list[Envelope]:
        """Adds bytes and returns the messages that are complete now.

        Raises:
            PeerProtocolError: The bytes are not valid messages.
        """
        try:
            return [_decode_envelope(raw) for raw in self._values.feed(data)]
        except (ValueError, TypeError, KeyError) as exc:
            raise PeerProtocolError(repr(exc)) from exc


def _decode_envelope(raw: typing.Any) -> Envelope:
    name, number, *fields = raw
    message_format = _by_name[name]
    known = fields[: len(message_format.fields)]  # Newer builds may send more.
    return Envelope(int(number), message_format.cls(*known))
