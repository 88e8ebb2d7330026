"""A link of a pool, and what it is used for."""

import attrs

from ferry_proxy import _link_state
from ferry_proxy import _links
from ferry_proxy import _teams


@attrs.define(slots=True, eq=False)
class PooledLink:
    """A link and its use.

    Attributes:
        link: The connection.
        last_reply_at: When it last replied, in the clock's seconds.
        team: The team whose statements it runs; empty without teams.
        state: The session state on it.
        for_transaction: Whether it is held by a transaction.
        is_committing: Whether the transaction's COMMIT has been sent.
        sent_at: Since when a reply is outstanding; None if there is none.
        last_used_at: When it was last acquired for a statement or transaction.
        opened_at: When it was opened, in boot time; minus infinity if unknown.
    """

    link: _links.Link
    last_reply_at: float
    team: str = _teams.NO_TEAM
    state: _link_state.LinkState = attrs.field(factory=_link_state.LinkState)
    for_transaction: bool = False
    is_committing: bool = False
    sent_at: float | None = None
    last_used_at: float = attrs.field(
        default=attrs.Factory(lambda self: self.last_reply_at, takes_self=True)
    )
    opened_at: float = float("-inf")
