"""A pooled link and the session state in place on it at the member.

Sessions share links. Before a statement runs, the values of its session and
the prepared statement that it names are put in place, and values of other
sessions are cleared. These commands are sent in one message with the
statement, as they occupy no slot of the member.
"""

import attrs

from ferry_proxy import _links
from ferry_proxy import _statements
from ferry_proxy import _teams

# Prepared statements kept on a link; when it is reached, the link is reset.
MAX_PREPARED = 256


@attrs.define(slots=True, eq=False)
class PooledLink:
    """A link and the session state in place on it.

    Attributes:
        link: The connection.
        last_reply_at: When it last replied, in the clock's seconds.
        team: The team whose statements it runs; empty without teams.
        values: The session values in place.
        prepared: The names of the prepared statements in place.
        for_transaction: Whether it is held by a transaction.
        is_committing: Whether the transaction's COMMIT has been sent.
        sent_at: Since when a reply is outstanding; None if there is none.
        last_used_at: When it was last acquired for a statement or transaction.
        opened_at: When it was opened, in boot time; minus infinity if unknown.
    """

    link: _links.Link
    last_reply_at: float
    team: str = _teams.NO_TEAM
    values: dict[str, str] = attrs.field(factory=dict)
    prepared: dict[_statements.Prepared, str] = attrs.field(factory=dict)
    for_transaction: bool = False
    is_committing: bool = False
    sent_at: float | None = None
    last_used_at: float = attrs.field(
        default=attrs.Factory(lambda self: self.last_reply_at, takes_self=True)
    )
    opened_at: float = float("-inf")
    _next_name: int = 0

    def align(
        self,
        values: dict[str, str],
        prepared: _statements.Prepared | None = None,
    ) -> "list[_links.Command]":
        """Returns the commands that put a session's state in place.

        The state is recorded as being in place; the caller sends the commands.

        Args:
            values: The session's values.
            prepared: The prepared statement that the next command executes.
        """
        commands: list[_links.Command] = []
        is_full = prepared is not None and len(self.prepared) >= MAX_PREPARED
        if self.values.keys() - values.keys() or is_full:
            commands.append(_links.Reset())
            self.values = {}
            self.prepared = {}
        for name, value in values.items():
            if self.values.get(name) != value:
                commands.append(_links.SetValue(name, value))
                self.values[name] = value
        if prepared is not None and prepared not in self.prepared:
            self._next_name += 1
            name = f"p{self._next_name}"
            commands.append(_links.Prepare(name, prepared))
            self.prepared[prepared] = name
        return commands

    def distance(self, values: dict[str, str]) -> int:
        """Estimates how many commands `align` would return."""
        if self.values.keys() - values.keys():
            return 1 + len(values)
        return sum(self.values.get(n) != v for n, v in values.items())
