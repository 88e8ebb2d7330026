"""Ends running statements with a true answer before the process ends."""

import attrs
import ferry_decisions as decisions

from ferry_proxy import _requests
from ferry_proxy import _runners
from ferry_proxy import _statements


@attrs.define(slots=True, eq=False)
class RunningStatement:
    """A statement that a caller or an entry node waits for.

    Attributes:
        request: The statement; None before it is known to need a member.
        transaction: The transaction that it belongs to; None for none.
    """

    request: _requests.Request | None = None
    transaction: _runners.OpenTransaction | None = None

    def abandon(self) -> decisions.RequestFailedError:
        """Ends the attempts to run it; returns what can be said of it."""
        request = self.request
        if request is not None:
            request.progress.is_abandoned = True
        reason = _reason(request, self.transaction)
        return decisions.RequestFailedError(
            reason, "this node is being stopped"
        )


def _reason(
    request: _requests.Request | None,
    transaction: _runners.OpenTransaction | None,
) -> decisions.Reason:
    """Returns why a statement that is abandoned now has no reply."""
    if request is None or not request.progress.is_sent:
        return decisions.STOPPING
    if transaction is None:
        return decisions.ANSWER_LOST if request.writes else decisions.READ_CUT
    # The member rolls back an open transaction, as its connection ends.
    is_commit = request.statement.kind is _statements.Kind.COMMIT
    if is_commit and transaction.wrote:
        return decisions.ANSWER_LOST
    return decisions.TRANSACTION_LOST
