"""A link of a pool, and what session state it carries at the member.

Statements of many sessions share a link. Before a statement runs, the link
gets that session's values and the prepared statement that it names, and
nothing else of another session's is left on it. Both are sent in one piece
with the statement, since they take no slot at the member.
"""

import attrs

from ferry_proxy import _links
from ferry_proxy import _statements
from ferry_proxy import _teams

MAX_PREPARED = 256  # Names kept on a link; beyond it, the link is cleared.


@attrs.define(slots=True, eq=False)
class PooledLink:
    """A link and the session state in place on it.

    Attributes:
        link: The connection.
        heard: When it last answered, in the clock's seconds.
        team: The team whose statements it runs; none where there are no teams.
        values: The session values that are in place.
        prepared: The names of the prepared statements that are in place.
        for_transaction: Whether it is taken for a transaction.
        is_committing: Whether a transaction's COMMIT was sent.
        sent_at: Since when it owes an answer; None for none.
        used: When it was last taken for a statement or a transaction.
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
    _next_name: int = 0

    def align(
        self,
        values: dict[str, str],
        prepared: _statements.Prepared | None = None,
    ) -> "list[_links.Command]":
        """Returns what puts a session's state in place, and notes it done.

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
        """Returns roughly how many commands `align` would need."""
        if self.values.keys() - values.keys():
            return 1 + len(values)
        return sum(self.values.get(n) != v for n, v in values.items())
