"""Answers statements whose replies cannot be waited for any longer.

The node's process is about to end, or running them has failed.
"""

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

    def abandon(
        self, not_run: decisions.Reason, detail: str
    ) -> decisions.RequestFailedError:
        """Ends the attempts to run it; returns what can be said of it.

        Args:
            not_run: The reason to report if nobody has received it.
            detail: Why it is abandoned.
        """
        request = self.request
        if request is None:
            return decisions.RequestFailedError(not_run, detail)
        request.progress.is_abandoned = True
        is_sent = request.progress.is_sent
        reason = self._lost_reason(request) if is_sent else not_run
        return decisions.RequestFailedError(reason, detail)

    def _lost_reason(self, request: _requests.Request) -> decisions.Reason:
        """Returns the reason to report if it may have run."""
        if self.transaction is None:
            is_write = request.writes
            return decisions.ANSWER_LOST if is_write else decisions.READ_CUT
        # The member rolls back an open transaction, as its connection ends.
        is_commit = request.statement.kind is _statements.Kind.COMMIT
        if is_commit and self.transaction.wrote:
            return decisions.ANSWER_LOST
        return decisions.TRANSACTION_LOST
