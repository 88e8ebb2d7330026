"""The statements that a session may send, whatever the protocol."""

import enum

import attrs


class Kind(enum.Enum):
    """What a statement does."""

    BEGIN = "begin"
    BEGIN_READ = "begin_read"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    CLOSE = "close"


@attrs.frozen(slots=True)
class Prepared:
    """What a prepared statement runs.

    Attributes:
        writes: Whether it writes.
        shape: Its text, without arguments.
    """

    writes: bool
    shape: str


@attrs.frozen(slots=True)
class Statement:
    """A statement of a caller.

    Attributes:
        request_id: The caller's own id of it; passed on unchanged.
        kind: What it does.
        text: The statement as the caller wrote it.
        name: The setting or the prepared statement that it names.
        value: The value of SET, or the arguments of EXECUTE.
        prepared: What PREPARE prepares.
    """

    request_id: str
    kind: Kind
    text: str
    name: str = ""
    value: str = ""
    prepared: Prepared | None = None


class TransactionState(enum.Enum):
    """Where a session stands after a reply."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"
