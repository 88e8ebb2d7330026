"""What a serving node does for the callers of other nodes.

Single statements run and are answered. A transaction belongs to the stream
that it came over: when that ends, what is open is rolled back.
"""

from collections.abc import Callable
import typing

import attrs
import ferry_decisions as decisions

from ferry_proxy import _access
from ferry_proxy import _clocks
from ferry_proxy import _events
from ferry_proxy import _forward_messages
from ferry_proxy import _links
from ferry_proxy import _requests
from ferry_proxy import _runners
from ferry_proxy import _statements

STATES = _statements.TransactionState


class Entry(typing.Protocol):
    """The stream of an entry node, as far as it is needed here."""

    peer: str


@attrs.define(slots=True, eq=False)
class _ServedTransaction:
    """A transaction that runs here for another node.

    Attributes:
        transaction: The transaction.
        is_busy: Whether a statement of it runs.
        is_ended: Whether its entry has ended it or is gone.
    """

    transaction: _runners.OpenTransaction
    is_busy: bool = False
    is_ended: bool = False


class Serving:
    """Runs statements that other nodes forward."""

    def __init__(
        self,
        clock: _clocks.Clock,
        runner: "Callable[[str], _runners.Runner | None]",
        access: _access.Access,
    ) -> None:
        """Makes one without transactions.

        Args:
            clock: The clock.
            runner: Returns what runs a group's statements over this node's
                own links; None where it has none.
            access: Tells which team holds a caller's key.
        """
        self._clock = clock
        self._runner = runner
        self._access = access
        self._transactions: dict[Entry, dict[int, _ServedTransaction]] = {}
        self._running = 0

    @property
    def is_idle(self) -> bool:
        """Whether no statement runs and no transaction is open."""
        served = [
            s for open_ in self._transactions.values() for s in open_.values()
        ]
        live = any(s.transaction.failure is None for s in served)
        return not self._running and not live

    def run(
        self, entry: Entry, body: _forward_messages.RunRequest
    ) -> "decisions.Future[_forward_messages.RunReply]":
        """Runs a statement and returns its answer; it never fails."""
        return decisions.start(self._run(entry, body))

    def end(self, entry: Entry, number: int) -> None:
        """Ends a transaction; what is open of it is rolled back."""
        served = self._transactions.get(entry, {}).pop(number, None)
        if served is None:
            return
        served.is_ended = True
        if not served.is_busy:
            served.transaction.roll_back()

    def forget(self, entry: Entry) -> None:
        """Ends all transactions of an entry whose stream has ended."""
        for number in list(self._transactions.get(entry, {})):
            self.end(entry, number)
        self._transactions.pop(entry, None)

    def end_transactions(self, reason: decisions.Reason) -> None:
        """Fails the transactions that rest; their entries learn of it next."""
        for open_ in self._transactions.values():
            for served in open_.values():
                if not served.is_busy and served.transaction.failure is None:
                    served.transaction.fail(reason)

    def _run(
        self, entry: Entry, body: _forward_messages.RunRequest
    ) -> "decisions.Flow[_forward_messages.RunReply]":
        received = self._clock.now()
        progress = _requests.Progress()
        self._running += 1
        try:
            request = body.request(self._clock)
            request = attrs.evolve(
                request,
                progress=progress,
                caller=self._access.confirm(request.caller),
            )
            reply = yield from self._dispatch(entry, body, request)
        except decisions.RequestFailedError as exc:
            reply = _links.Reply.failed(STATES.IDLE, exc)
        except ValueError as exc:
            reply = _failed(decisions.PROTOCOL_VIOLATION, str(exc))
        finally:
            self._running -= 1
        self._record(entry, body, progress, reply, received)
        return _forward_messages.RunReply.of(reply, progress, received)

    def _dispatch(
        self,
        entry: Entry,
        body: _forward_messages.RunRequest,
        request: _requests.Request,
    ) -> "decisions.Flow[_links.Reply]":
        if body.transaction:
            return (yield from self._run_in_transaction(entry, body, request))
        runner = self._find_runner(body.service)
        return (yield from runner.run(request))

    def _run_in_transaction(
        self,
        entry: Entry,
        body: _forward_messages.RunRequest,
        request: _requests.Request,
    ) -> "decisions.Flow[_links.Reply]":
        served = self._find_or_begin(entry, body)
        failure = served.transaction.failure
        if failure is not None:
            raise decisions.RequestFailedError(failure, "has failed before")
        served.is_busy = True
        try:
            reply = yield from served.transaction.run(request)
        finally:
            served.is_busy = False
            if served.is_ended:
                served.transaction.roll_back()
        is_commit = request.statement.kind is _statements.Kind.COMMIT
        if is_commit and reply.reason is None:
            self.end(entry, body.transaction)
        return reply

    def _find_or_begin(
        self, entry: Entry, body: _forward_messages.RunRequest
    ) -> _ServedTransaction:
        found = self._transactions.get(entry, {}).get(body.transaction)
        if found is not None:
            return found
        if not body.begins:
            raise decisions.RequestFailedError(
                decisions.TRANSACTION_LOST, "unknown at the serving node"
            )
        runner = self._find_runner(body.service)
        served = _ServedTransaction(runner.begin(body.read_only))
        self._transactions.setdefault(entry, {})[body.transaction] = served
        return served

    def _find_runner(self, service: str) -> _runners.Runner:
        runner = self._runner(service)
        if runner is None:
            raise decisions.RequestFailedError(
                decisions.NO_SERVING_NODE, f"{service} is not served here"
            )
        return runner

    def _record(
        self,
        entry: Entry,
        body: _forward_messages.RunRequest,
        progress: _requests.Progress,
        reply: _links.Reply,
        received: float,
    ) -> None:
        _events.emit(
            _events.RequestServed(
                request=body.request_id,
                entry=entry.peer,
                team=body.team,
                service=body.service,
                outcome=reply.reason.name if reply.reason else "ran",
                detail=reply.detail,
                member=progress.member,
                elapsed_s=round(self._clock.now() - received, 4),
                attempts=progress.attempts,
            )
        )


def _failed(reason: decisions.Reason, detail: str) -> _links.Reply:
    return _links.Reply(STATES.IDLE, reason=reason, detail=detail)
