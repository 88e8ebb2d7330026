"""Statements of a session, independent of the client protocol."""

import enum

import attrs


class Kind(enum.Enum):
    """The kinds of statements that a session may send."""

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
    """The definition of a prepared statement.

    Attributes:
        writes: Whether executing it writes.
        shape: The text of the statement, without arguments.
    """

    writes: bool
    shape: str


@attrs.frozen(slots=True)
class Statement:
    """One statement that a caller sent.

    Attributes:
        request_id: The id that the caller gave it; passed on unchanged.
        kind: The kind of statement.
        text: The statement as the caller wrote it.
        name: The setting or prepared statement that it refers to.
        value: The value for SET, or the arguments for EXECUTE.
        prepared: The definition that PREPARE adds.
    """

    request_id: str
    kind: Kind
    text: str
    name: str = ""
    value: str = ""
    prepared: Prepared | None = None


class TransactionState(enum.Enum):
    """The transaction state of a session after a reply."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"
