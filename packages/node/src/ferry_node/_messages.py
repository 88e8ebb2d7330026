"""Messages between nodes. `_codec` carries them over the wire."""

import typing

import attrs

M = typing.TypeVar("M")
CODES: dict[int, type] = {}
CODE_OF: dict[type, int] = {}


def _message(code: int) -> "typing.Callable[[type[M]], type[M]]":
    def add(cls: type[M]) -> type[M]:
        CODES[code] = cls
        CODE_OF[cls] = code
        return cls

    return add


@_message(1)
@attrs.frozen(slots=True)
class Hello:
    """The first message of a stream.

    Attributes:
        node: The sender.
        data_centre: Where it runs.
    """

    node: str
    data_centre: str


@_message(2)
@attrs.frozen(slots=True)
class ExecuteRequest:
    """Asks the serving node of a member to run a batch.

    Attributes:
        customer: In whose name.
        database: The database.
        member: The member that is to run it.
        as_primary: Whether the member has to be the primary.
        read: Whether all of it is believed to read only.
        begin: Whether it opens a transaction.
        may_end: Whether it may commit; if not, a transaction that is lost in
            the middle of it did not run.
        channel: The open transaction that it belongs to; 0 for none.
        floor: The position that a read must show, as text; empty for none.
        staleness_s: Greatest age that a read accepts, in seconds.
        budget_s: Time left until the caller's deadline, in seconds.
        idempotency_key: The key of a write; empty for none.
        session: The key under which the session's writes are remembered.
        cancel_key: Names the batch in a CancelBatch; 0 for none.
        payload: What is sent to the endpoint.
        trace: The trace context; empty when tracing is off.
    """

    customer: str
    database: str
    member: str
    as_primary: bool
    read: bool
    begin: bool
    may_end: bool
    channel: int
    floor: str
    staleness_s: float
    budget_s: float
    idempotency_key: str
    session: str
    cancel_key: int
    payload: bytes
    trace: str = ""


@_message(3)
@attrs.frozen(slots=True)
class AnswerPart:
    """A part of a long answer.

    Attributes:
        data: Whole frames of the endpoint's answer.
    """

    data: bytes


@_message(4)
@attrs.frozen(slots=True)
class ExecuteReply:
    """The end of an answer, or why there is none.

    Attributes:
        reason: Name of the failure's reason; empty when the batch ran.
        detail: Words for a reader of logs.
        data: The last frames of the answer, ReadyForQuery included.
        status: The transaction status after it.
        position: The position that the answer shows, as text.
        channel: The transaction that is open after it; 0 for none.
        sqlstate: The code of the endpoint's error; empty without one.
    """

    reason: str = ""
    detail: str = ""
    data: bytes = b""
    status: str = "I"
    position: str = ""
    channel: int = 0
    sqlstate: str = ""


@_message(5)
@attrs.frozen(slots=True)
class CloseChannel:
    """Rolls an open transaction back: its caller is gone.

    Attributes:
        channel: The transaction.
    """

    channel: int


@_message(6)
@attrs.frozen(slots=True)
class CancelBatch:
    """Asks the serving node to stop a batch that is under way.

    Attributes:
        cancel_key: The key of its ExecuteRequest.
    """

    cancel_key: int


@_message(17)
@attrs.frozen(slots=True)
class CancelCaller:
    """Asks a caller's entry node to stop what the caller runs.

    Attributes:
        process_id: The number of the caller's connection.
        secret: Its secret.
    """

    process_id: int
    secret: bytes


@_message(7)
@attrs.frozen(slots=True)
class OpinionRequest:
    """Asks whether a node finds a primary gone.

    Attributes:
        database: The database.
        member: The primary.
        term: Its term.
    """

    database: str
    member: str
    term: int


@_message(8)
@attrs.frozen(slots=True)
class OpinionReply:
    """Whether a node finds a primary gone.

    Attributes:
        suspects: Its opinion.
        data_centres: The data centres for which it can speak.
    """

    suspects: bool
    data_centres: list[str]


@_message(9)
@attrs.frozen(slots=True)
class EntriesPush:
    """Entries of the store, newer than what the receiver may know.

    Attributes:
        entries: Rows of a key, a value, an era and a number.
    """

    entries: list[list[typing.Any]]


@_message(10)
@attrs.frozen(slots=True)
class SyncRequest:
    """Asks for entries that are newer than the sender's.

    Attributes:
        digest: The sender's digest; equal digests need no more.
        versions: How new the sender's entries are, by key: rows of an era, a
            number, and the two counts of a rank; empty at the first ask.
        full: Whether `versions` is filled in.
    """

    digest: bytes
    versions: dict[str, list[int]]
    full: bool


@_message(11)
@attrs.frozen(slots=True)
class SyncReply:
    """The answer to a SyncRequest.

    Attributes:
        differs: Whether the digests differ.
        entries: Rows of a key, a value, an era and a number.
        versions: How new the answering node's entries are, if they differ.
    """

    differs: bool
    entries: list[list[typing.Any]]
    versions: dict[str, list[int]]


@_message(12)
@attrs.frozen(slots=True)
class Ping:
    """Asks a peer for a sign of life on this stream."""


@_message(13)
@attrs.frozen(slots=True)
class Pong:
    """Answers a Ping."""


@_message(14)
@attrs.frozen(slots=True)
class PositionRequest:
    """Asks for a position that shows all writes of a session so far.

    Attributes:
        database: The database.
        member: Its primary.
        session: The key under which the session's writes are remembered.
    """

    database: str
    member: str
    session: str


@_message(15)
@attrs.frozen(slots=True)
class PositionReply:
    """Answers a PositionRequest.

    Attributes:
        position: The position as text; empty where it could not be proved.
    """

    position: str


@_message(16)
@attrs.frozen(slots=True)
class VmsPush:
    """The platform's list, from one of the few nodes that read it.

    Attributes:
        nodes: Live entry VMs: name, data centre, host, peer and probe port.
        leaving: Names of leaving entry VMs, and `host:port` of endpoints.
    """

    nodes: list[list[typing.Any]]
    leaving: list[str]


Message = typing.Any
