"""Messages between nodes. `_codec` defines their encoding."""

import typing

import attrs

MessageT = typing.TypeVar("MessageT")
CODES: dict[int, type] = {}
CODE_OF: dict[type, int] = {}


def _register(code: int) -> "typing.Callable[[type[MessageT]], type[MessageT]]":
    def register(cls: type[MessageT]) -> type[MessageT]:
        CODES[code] = cls
        CODE_OF[cls] = code
        return cls

    return register


@_register(1)
@attrs.frozen(slots=True)
class Hello:
    """Introduces the sender; the first message in each direction.

    Attributes:
        node: The sender's name.
        data_centre: The sender's data centre.
    """

    node: str
    data_centre: str


@_register(2)
@attrs.frozen(slots=True)
class ExecuteRequest:
    """Asks the serving node of a member to run a batch.

    Attributes:
        customer: The customer on whose behalf the batch runs.
        database: The name of the database.
        member: The name of the member that is to run the batch.
        as_primary: Whether the member has to be the primary.
        read: Whether the whole batch is classified as read-only.
        begin: Whether the batch opens a transaction.
        may_end: Whether the batch may commit. If not, a transaction lost
            during the batch certainly had no effect.
        channel: The open transaction that the batch belongs to; 0 for none.
        floor: The minimum position that a read must reflect, as text; empty
            for none.
        staleness_s: The maximum staleness that a read accepts, in seconds.
        budget_s: The time left until the caller's deadline, in seconds.
        idempotency_key: The idempotency key of a write; empty for none.
        session: The key under which the session's last write is tracked.
        cancel_key: Identifies the batch in a `CancelBatch`; 0 for none.
        payload: The bytes to send to the endpoint.
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


@_register(3)
@attrs.frozen(slots=True)
class AnswerPart:
    """A part of a long reply to an `ExecuteRequest`.

    Attributes:
        data: Complete protocol frames from the endpoint.
    """

    data: bytes


@_register(4)
@attrs.frozen(slots=True)
class ExecuteReply:
    """Ends the reply to an `ExecuteRequest`, or reports its failure.

    Attributes:
        reason: The name of the failure's reason; empty when the batch ran.
        detail: Details of the failure for logs.
        data: The last frames of the result, including `ReadyForQuery`.
        status: The transaction status after the batch.
        position: The position that the result reflects, as text.
        channel: The transaction that is open after the batch; 0 for none.
        sqlstate: The SQLSTATE of the endpoint's error; empty without one.
    """

    reason: str = ""
    detail: str = ""
    data: bytes = b""
    status: str = "I"
    position: str = ""
    channel: int = 0
    sqlstate: str = ""


@_register(5)
@attrs.frozen(slots=True)
class CloseChannel:
    """Rolls back an open transaction whose caller has disconnected.

    Attributes:
        channel: The transaction.
    """

    channel: int


@_register(6)
@attrs.frozen(slots=True)
class CancelBatch:
    """Asks the serving node to cancel a running batch.

    Attributes:
        cancel_key: The `cancel_key` of the batch's `ExecuteRequest`.
    """

    cancel_key: int


@_register(17)
@attrs.frozen(slots=True)
class CancelCaller:
    """Asks a caller's entry node to cancel the caller's running batch.

    Attributes:
        process_id: The process id of the caller's connection.
        secret: The secret that authenticates the cancellation.
    """

    process_id: int
    secret: bytes


@_register(7)
@attrs.frozen(slots=True)
class OpinionRequest:
    """Asks whether a node suspects that a primary has failed.

    Attributes:
        database: The name of the database.
        member: The name of the primary.
        term: The primary's term.
    """

    database: str
    member: str
    term: int


@_register(8)
@attrs.frozen(slots=True)
class OpinionReply:
    """Tells whether a node suspects that a primary has failed.

    Attributes:
        suspects: Whether it suspects the primary.
        data_centres: The data centres from which the primary appears to have
            failed, as far as this node can tell.
    """

    suspects: bool
    data_centres: list[str]


@_register(9)
@attrs.frozen(slots=True)
class EntriesPush:
    """Store entries that may be newer than those of the receiver.

    Attributes:
        entries: Rows of key, value, era and number.
    """

    entries: list[list[typing.Any]]


@_register(10)
@attrs.frozen(slots=True)
class SyncRequest:
    """Asks for store entries that are newer than the sender's.

    The first request carries the digest only. If the digests differ, a second
    request carries the versions too.

    Attributes:
        digest: The digest of the sender's directory. With equal digests there
            is nothing to exchange.
        versions: The versions of the sender's entries, by key, as rows of era
            and number of the revision and count and step of the rank; empty
            in the first request.
        full: Whether `versions` is filled in.
    """

    digest: bytes
    versions: dict[str, list[int]]
    full: bool


@_register(11)
@attrs.frozen(slots=True)
class SyncReply:
    """Answers a `SyncRequest`.

    Attributes:
        differs: Whether the digests differ.
        entries: The newer entries, as rows of key, value, era and number.
        versions: The versions of the responding node's entries; empty unless
            the request was a full one and the digests differ.
    """

    differs: bool
    entries: list[list[typing.Any]]
    versions: dict[str, list[int]]


@_register(12)
@attrs.frozen(slots=True)
class Ping:
    """Asks a peer to show that it is alive on this stream."""


@_register(13)
@attrs.frozen(slots=True)
class Pong:
    """Answers a `Ping`."""


@_register(14)
@attrs.frozen(slots=True)
class PositionRequest:
    """Asks for a position that covers all writes of a session so far.

    Attributes:
        database: The name of the database.
        member: The name of its primary.
        session: The key under which the session's last write is tracked.
    """

    database: str
    member: str
    session: str


@_register(15)
@attrs.frozen(slots=True)
class PositionReply:
    """Answers a `PositionRequest`.

    Attributes:
        position: The position as text; empty if it could not be confirmed.
    """

    position: str


@_register(16)
@attrs.frozen(slots=True)
class VmsPush:
    """The platform's VM list, pushed by one of the nodes that fetch it.

    Attributes:
        nodes: The live entry VMs, as rows of name, data centre, host, peer
            port and probe port.
        leaving: The names of leaving entry VMs, and leaving endpoints as
            `host:port`.
    """

    nodes: list[list[typing.Any]]
    leaving: list[str]


Message = typing.Any
