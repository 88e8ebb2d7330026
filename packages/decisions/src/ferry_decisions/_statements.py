"""What kind of statement a caller sent.

This is no parser. The caller's own word comes first: a read-only transaction,
or a session setting. Without it, only the leading keyword counts, and what is
not known to be a read is treated as a write. Treating SELECT as a possible
read is safe because a replica refuses a write (SQLSTATE 25006) before it runs.
"""

import enum
import re

import attrs

SETTING_PREFIX = "rosemaryferry."

_READ = re.compile(r"\s*(?:select|values|table|show)\b", re.I)
_LOCKING = re.compile(
    r"\bfor\s+(?:no\s+key\s+)?(?:update|share|key\s+share)\b", re.I
)
_BEGIN = re.compile(
    r"\s*(?:begin|start\s+transaction)\b(?P<rest>[^;]*);?\s*$", re.I
)
_READ_ONLY = re.compile(r"\bread\s+only\b", re.I)
_END = re.compile(
    r"\s*(?:commit|end|rollback|abort)\b(?!\s+to\b|\s+prepared\b)", re.I
)
_SET = re.compile(
    r"\s*set\s+(?:session\s+)?(?P<name>rosemaryferry\.\w+)\s*(?:=|\bto\b)\s*"
    r"(?P<value>'(?:[^']|'')*'|[^;\s]+)\s*;?\s*$",
    re.I,
)
_SHOW = re.compile(r"\s*show\s+(?P<name>rosemaryferry\.\w+)\s*;?\s*$", re.I)
_SESSION_STATE = re.compile(
    r"\s*(?:set(?!\s+(?:local|transaction)\b)|listen|unlisten|notify|prepare|"
    r"deallocate|declare|discard|reset|load|copy|create\s+temp)",
    re.I,
)


class StatementKind(enum.Enum):
    """How a statement is treated."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    END = "end"
    SET = "set"
    SHOW = "show"
    SESSION_STATE = "session_state"


@attrs.frozen(slots=True)
class Statement:
    """A statement and what is known of it.

    Attributes:
        kind: How it is treated.
        name: For SET and SHOW, the setting, without its prefix.
        value: For SET, the value.
    """

    kind: StatementKind
    name: str = ""
    value: str = ""


_PLAIN_READ = Statement(StatementKind.READ)
_PLAIN_WRITE = Statement(StatementKind.WRITE)


def classify(sql: str) -> Statement:
    """Returns what is known of a statement from its text alone."""
    if _READ.match(sql):
        return _classify_read(sql)
    found = _BEGIN.match(sql)
    if found:
        read_only = _READ_ONLY.search(found["rest"])
        return Statement(
            StatementKind.BEGIN_READ_ONLY if read_only else StatementKind.BEGIN
        )
    if _END.match(sql):
        return Statement(StatementKind.END)
    found = _SET.match(sql)
    if found:
        name = found["name"].lower().removeprefix(SETTING_PREFIX)
        return Statement(StatementKind.SET, name, _unquoted(found["value"]))
    if _SESSION_STATE.match(sql):
        return Statement(StatementKind.SESSION_STATE)
    return _PLAIN_WRITE


def _classify_read(sql: str) -> Statement:
    found = _SHOW.match(sql)
    if found:
        name = found["name"].lower().removeprefix(SETTING_PREFIX)
        return Statement(StatementKind.SHOW, name)
    several = ";" in sql.rstrip().rstrip(";")
    if several or _LOCKING.search(sql):
        return _PLAIN_WRITE
    return _PLAIN_READ


def _unquoted(text: str) -> str:
    if text.startswith("'"):
        return text[1:-1].replace("''", "'")
    return text
