"""Converts between SQL texts, SQLite values and the wire protocol."""

import re
import struct
import typing

import attrs
from ferry_node import _wire

_WORD = re.compile(r"\s*(\w+)")
PARAMETER = re.compile(r"\$(\d+)")


class SqlError(Exception):
    """A statement failed.

    Attributes:
        sqlstate: The SQLSTATE that the caller receives.
    """

    def __init__(self, sqlstate: str, message: str) -> None:
        super().__init__(message)
        self.sqlstate = sqlstate


@attrs.define(slots=True)
class Result:
    """The result of one statement.

    Attributes:
        columns: Names of the columns; empty if the statement returns none.
        rows: The rows, as SQLite returns them.
        tag: The command tag of the reply.
    """

    columns: list[str]
    rows: list[tuple[typing.Any, ...]]
    tag: str


def first_word(sql: str) -> str:
    """Returns a statement's first word in upper case."""
    found = _WORD.match(sql)
    return found[1].upper() if found else ""


def command_tag(sql: str, changed: int, rows: int) -> str:
    """Returns the command tag of a completed statement.

    Args:
        sql: The text of the statement.
        changed: SQLite's number of changed rows; negative if unknown.
        rows: Number of returned rows.
    """
    word = first_word(sql)
    if word == "INSERT":
        return f"INSERT 0 {max(changed, rows, 0)}"
    if word in ("UPDATE", "DELETE"):
        return f"{word} {max(changed, rows, 0)}"
    if word in ("SELECT", "VALUES", "WITH"):
        return f"SELECT {rows}"
    return word


INT8_OID = 20
FLOAT8_OID = 701
_INTEGER_OIDS = frozenset({20, 21, 23})


def type_oid(value: typing.Any) -> int:
    """Returns the type OID of a value in a result."""
    if isinstance(value, int):
        return INT8_OID
    if isinstance(value, float):
        return FLOAT8_OID
    return _wire.TEXT_OID


def column_text(value: typing.Any) -> bytes | None:
    """Returns a value in the protocol's text format."""
    if value is None:
        return None
    if isinstance(value, bytes):
        return value
    return str(value).encode()


def parameter_value(raw: bytes | None, binary: bool, oid: int) -> typing.Any:
    """Converts a parameter to a value for SQLite.

    Args:
        raw: The parameter as it was sent; `None` for NULL.
        binary: Whether it is in the binary format.
        oid: Its declared type; 0 if unknown.
    """
    if raw is None:
        return None
    if oid in _INTEGER_OIDS:
        return int.from_bytes(raw, "big", signed=True) if binary else int(raw)
    if binary and oid == FLOAT8_OID:
        return struct.unpack("!d", raw)[0]
    return raw.decode()


def bound_values(
    msg: _wire.Bind, declared: list[int]
) -> tuple[typing.Any, ...]:
    """Converts the parameters of a Bind to values for SQLite.

    Args:
        msg: The Bind message.
        declared: Type OIDs from the Parse message; may be shorter.
    """
    count = len(msg.param_values)
    formats = msg.param_formats or [0]
    if len(formats) == 1:
        formats = formats * count
    oids = declared + [0] * (count - len(declared))
    return tuple(
        parameter_value(value, form == 1, oid)
        for value, form, oid in zip(
            msg.param_values, formats, oids, strict=True
        )
    )
