"""The settings and the prepared statements of a session."""

import ferry_decisions as decisions

from ferry_proxy import _statements

# The most settings, and the most prepared statements, that a session may hold.
MAX_ENTRIES = 512


class SessionSettings:
    """What SET, PREPARE and CLOSE change.

    Members learn of it only with the next statement that they run.

    Attributes:
        values: The settings; replaced, not changed, by SET.
        prepared: The prepared statements by name.
    """

    def __init__(self) -> None:
        self.values: dict[str, str] = {}
        self.prepared: dict[str, _statements.Prepared] = {}

    def change(self, statement: _statements.Statement) -> None:
        """Applies SET, PREPARE or CLOSE.

        Raises:
            decisions.RequestFailedError: A prepared statement is unknown, or
                there are too many entries.
        """
        name = statement.name
        if statement.kind is _statements.Kind.CLOSE:
            if self.prepared.pop(name, None) is None:
                raise decisions.RequestFailedError(
                    decisions.UNKNOWN_PREPARED, name
                )
            return
        if max(len(self.values), len(self.prepared)) >= MAX_ENTRIES:
            raise decisions.RequestFailedError(
                decisions.PROTOCOL_VIOLATION,
                "too many values or prepared statements",
            )
        if statement.kind is _statements.Kind.SET:
            self.values = {**self.values, name: statement.value}
        elif statement.prepared is not None:
            self.prepared[name] = statement.prepared
