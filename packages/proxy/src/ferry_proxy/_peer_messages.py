"""What nodes tell each other, as msgpack arrays over a stream."""

from collections.abc import Callable
import functools
import typing
import zlib

import attrs
import ferry_decisions as decisions
import ferry_runtime as runtime
import msgpack

from ferry_proxy import _catalogue
from ferry_proxy import _store

MAX_MESSAGE_BYTES = 8 * 1024 * 1024  # A whole copy of the store's items.
PACKED_BYTES = 4096  # Values from this size on travel compressed: 1,800 routes
# and 83 teams are 429 KB, 0.34 s of a link of 10 Mbit/s, and 33 KB so.
PACK_LEVEL = 1  # 2.6 ms of a core for these; level 6 saves 2 KB more.
MAX_VALUE_BYTES = 8 * 1024 * 1024  # What a compressed value may hold.


class PeerProtocolError(Exception):
    """Bytes from a peer are no message."""


Message = attrs.AttrsInstance
T = typing.TypeVar("T", bound=Message)


@attrs.frozen(slots=True, repr=False)
class _Format:
    """How a type of message is written.

    Attributes:
        name: What stands for the type on the wire.
        cls: The type.
        fields: The names of its fields, in their order.
    """

    name: str
    cls: type[typing.Any]
    fields: tuple[str, ...]


_by_name: dict[str, _Format] = {}
_by_type: dict[type[typing.Any], _Format] = {}


def message(name: str) -> Callable[[type[T]], type[T]]:
    """Returns a decorator that registers a message type under `name`."""

    def register(cls: type[T]) -> type[T]:
        fields = tuple(f.name for f in attrs.fields(cls))
        found = _Format(name, cls, fields)
        _by_name[name] = _by_type[cls] = found
        return cls

    return register


@message("hello")
@attrs.frozen(slots=True, repr=False)
class Hello:
    """The first message of each side: who it is."""

    node: str


@message("ping")
@attrs.frozen(slots=True, repr=False)
class Ping:
    """Shows that the sender lives, and how new its copy of the store is.

    Attributes:
        era: The era of the newest change in its copy of the store.
        covered: The number of that change.
        version: The version of the configuration that it has; 0 for none.
        store_age_s: Seconds since the store answered it or its informants;
            negative for never.
        services: The groups whose statements it can run well now.
        missed: The groups that other nodes serve and it has lost.
    """

    era: int
    covered: int
    version: int
    store_age_s: float
    services: list[str]
    missed: list[str]

    @property
    def newest(self) -> decisions.Revision:
        """The newest change in its copy of the store."""
        return decisions.Revision(self.era, self.covered)

    @property
    def state(self) -> "Ping":
        """What it tells but for the age of the news of the store."""
        return attrs.evolve(self, store_age_s=0.0)


@message("same")
@attrs.frozen(slots=True, repr=False)
class SamePing:
    """A ping that differs from the last one of this stream in age alone.

    It takes 10 bytes, where a ping takes 40 and at a node that serves ten
    groups 90: pings were two thirds of all bytes between data centres.

    Attributes:
        store_age_ms: Milliseconds since the store answered the sender or its
            informants; negative for never.
    """

    store_age_ms: int


@message("sync")
@attrs.frozen(slots=True, repr=False)
class SyncRequest:
    """Asks for all that changed after a revision.

    Attributes:
        era: The revision's era.
        number: The revision's number.
        version: The version of the configuration that the sender has.
    """

    era: int
    number: int
    version: int

    @classmethod
    def of(cls, known: _catalogue.Catalogue) -> "SyncRequest":
        """Returns the message for what a copy of the store lacks."""
        revision = known.revision
        return cls(revision.era, revision.number, known.version)

    @property
    def revision(self) -> decisions.Revision:
        """The revision, typed."""
        return decisions.Revision(self.era, self.number)


@message("items")
@attrs.frozen(slots=True, repr=False)
class SyncReply:
    """What the sender's copy of the store holds besides.

    Attributes:
        rows: Items, as rows of key, value and number of the revision, and
            whether the value is compressed.
        era: The era of all revisions.
        revision: The number of the revision up to which they lead.
        covered: The number of the newest change that the sender knows.
        is_whole: Whether keys that are missing do not exist.
        kept: None or one such row: the configuration in force, where the rows
            do not hold it.
    """

    rows: list[tuple[str, bytes | None, int, bool]]
    era: int
    revision: int
    covered: int
    is_whole: bool
    kept: tuple[str, bytes | None, int, bool] | None

    @classmethod
    def of(cls, batch: _catalogue.Batch) -> "SyncReply":
        """Returns the message for a batch."""
        rows = [_row(i) for i in batch.items]
        revision, covered = batch.revision, batch.covered
        kept = batch.kept
        if kept is not None:
            # Its own revision may be of an era that is over.
            kept = attrs.evolve(kept, revision=revision.beginning)
        return cls(
            rows,
            revision.era,
            revision.number,
            covered.number,
            batch.is_whole,
            _row(kept) if kept else None,
        )

    @property
    def batch(self) -> "_catalogue.Batch":
        """The batch, typed.

        Raises:
            PeerProtocolError: A compressed value is none.
        """
        era = self.era
        return _catalogue.Batch(
            tuple(_item(era, *row) for row in self.rows),
            decisions.Revision(era, self.revision),
            decisions.Revision(era, self.covered),
            self.is_whole,
            _item(era, *self.kept) if self.kept else None,
        )


def _row(item: _store.Item) -> tuple[str, bytes | None, int, bool]:
    value = item.value
    if value is None or len(value) < PACKED_BYTES:
        return item.key, value, item.revision.number, False
    return item.key, _packed(value), item.revision.number, True


@functools.lru_cache(maxsize=4)
def _packed(value: bytes) -> bytes:
    """Compresses a value once, however many peers ask for it."""
    return zlib.compress(value, PACK_LEVEL)


def _item(
    era: int, key: str, value: bytes | None, number: int, is_packed: bool
) -> _store.Item:
    revision = decisions.Revision(era, number)
    if value is None or not is_packed:
        return _store.Item(key, value, revision)
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(value, MAX_VALUE_BYTES)
    except zlib.error as exc:
        raise PeerProtocolError(f"{key}: {exc}") from exc
    if not unpacker.eof:
        raise PeerProtocolError(f"{key}: cut short, or too large")
    return _store.Item(key, plain, revision)


@message("opinion?")
@attrs.frozen(slots=True, repr=False)
class OpinionRequest:
    """Asks how long ago a member was heard.

    Attributes:
        service: The group.
        member: The member's id.
        born: The life of it that is meant.
    """

    service: str
    member: str
    born: int = 0


@message("opinion")
@attrs.frozen(slots=True, repr=False)
class OpinionReply:
    """What a node knows of its contact with a member.

    Attributes:
        heard_ago_s: Seconds since the member was heard; negative for never.
        unanswered_s: For how long it has left a later question unanswered.
    """

    heard_ago_s: float
    unanswered_s: float = 0.0


@message("leader")
@attrs.frozen(slots=True, repr=False)
class LeaderNotice:
    """Tells that a member leads a group since a term."""

    service: str
    member: str
    term: int


@message("survey?")
@attrs.frozen(slots=True, repr=False)
class SurveyRequest:
    """Asks for the newest floor of a group."""

    service: str


@message("survey")
@attrs.frozen(slots=True, repr=False)
class SurveyReply:
    """What the last round of questions to a group found.

    Attributes:
        member: The primary; empty where none is known.
        term: Its term.
        floor_term: The term of the floor.
        floor_index: The index of the floor.
        age_s: How long ago, when this was sent, the floor covered all
            acknowledged commits; negative where there is none.
        heard_ago_s: How long ago the primary was heard.
    """

    member: str
    term: int
    floor_term: int
    floor_index: int
    age_s: float
    heard_ago_s: float


NO_SURVEY = SurveyReply("", 0, 0, 0, -1.0, 0.0)


@attrs.frozen(slots=True, repr=False)
class Envelope:
    """A message and the number of the question that it belongs to."""

    number: int
    body: Message


def encode(number: int, body: Message) -> bytes:
    """Returns the bytes of a message."""
    found = _by_type[type(body)]
    fields = [getattr(body, name) for name in found.fields]
    return typing.cast(bytes, msgpack.packb([found.name, number, *fields]))


class Decoder:
    """Cuts a stream of bytes into messages."""

    def __init__(self) -> None:
        self._values = runtime.ValueDecoder(MAX_MESSAGE_BYTES)

    def feed(self, data: bytes) -> list[Envelope]:
        """Returns the messages that are whole now.

        Raises:
            PeerProtocolError: The bytes are no messages.
        """
        try:
            return [_envelope(raw) for raw in self._values.feed(data)]
        except (ValueError, TypeError, KeyError) as exc:
            raise PeerProtocolError(repr(exc)) from exc


def _envelope(raw: typing.Any) -> Envelope:
    name, number, *fields = raw
    return Envelope(int(number), _by_name[name].cls(*fields))
