"""Execution of statements that other nodes forward to this node.

A transaction belongs to the stream that it arrived on. When that stream ends,
an open transaction is rolled back.
"""

from collections.abc import Callable
import typing

import attrs
import ferry_decisions as decisions

from ferry_proxy import _access
from ferry_proxy import _clocks
from ferry_proxy import _events
from ferry_proxy import _forward_messages
from ferry_proxy import _interruptions
from ferry_proxy import _links
from ferry_proxy import _operation_gate
from ferry_proxy import _requests
from ferry_proxy import _runners
from ferry_proxy import _statements

STATES = _statements.TransactionState


class Entry(typing.Protocol):
    """The stream from an entry node.

    Attributes:
        peer: The name of the entry node.
    """

    peer: str


@attrs.define(slots=True, eq=False)
class _ServedTransaction:
    """A transaction that this node runs for an entry node.

    Attributes:
        transaction: The transaction.
        is_busy: Whether a statement of it is running.
        is_ended: Whether the entry node has ended it or is gone.
    """

    transaction: _runners.OpenTransaction
    is_busy: bool = False
    is_ended: bool = False


@attrs.define(slots=True, eq=False)
class _Running:
    """A statement that runs for an entry node.

    Attributes:
        entry: The stream from the entry node.
        body: The message that the statement arrived in.
        received: When it arrived, in the clock's seconds.
        statement: The statement.
        fut: Completed with the reply.
    """

    entry: Entry
    body: _forward_messages.RunRequest
    received: float
    statement: _interruptions.RunningStatement = attrs.field(
        factory=_interruptions.RunningStatement
    )
    fut: "decisions.Future[_forward_messages.RunReply]" = attrs.field(
        factory=decisions.Future
    )


class Serving:
    """Runs the statements that other nodes forward."""

    def __init__(
        self,
        clock: _clocks.Clock,
        runner: "Callable[[str], _runners.Runner | None]",
        access: _access.Access,
        gate: _operation_gate.OperationGate,
    ) -> None:
        """Initializes it without open transactions.

        Args:
            clock: The clock.
            runner: Returns the runner of a group's statements over this node's
                own links; None if it has no links to the group.
            access: Verifies the team of a caller's key.
            gate: Lets operations begin.
        """
        self._clock = clock
        self._runner = runner
        self._access = access
        self._gate = gate
        self._transactions: dict[Entry, dict[int, _ServedTransaction]] = {}
        self._running: set[_Running] = set()

    @property
    def is_idle(self) -> bool:
        """Whether no statement is running and no transaction is open."""
        served = [
            s for by_id in self._transactions.values() for s in by_id.values()
        ]
        is_any_open = any(s.transaction.failure is None for s in served)
        return not self._running and not is_any_open

    def run(
        self, entry: Entry, body: _forward_messages.RunRequest
    ) -> "decisions.Future[_forward_messages.RunReply]":
        """Runs a statement; a failure is returned as a reply."""
        running = _Running(entry, body, self._clock.now())
        self._running.add(running)
        running.fut = decisions.start(self._run(running))
        running.fut.add_done_callback(lambda _: self._running.discard(running))
        return running.fut

    def interrupt(self) -> int:
        """Answers the running statements at once; returns how many there were.

        Their replies cannot be waited for, as the process is about to end.
        """
        interrupted = list(self._running)
        for running in interrupted:
            exc = running.statement.abandon(
                decisions.STOPPING, _operation_gate.DETAIL
            )
            reply = _links.Reply.failed(STATES.IDLE, exc)
            request = running.statement.request
            progress = request.progress if request else _requests.Progress()
            self._record(running, progress, reply)
            answer = _forward_messages.RunReply.of(
                reply, progress, running.received
            )
            decisions.resolve(running.fut, answer)
        return len(interrupted)

    def end(self, entry: Entry, number: int) -> None:
        """Ends a transaction, rolling it back if it is still open."""
        served = self._transactions.get(entry, {}).pop(number, None)
        if served is None:
            return
        served.is_ended = True
        if not served.is_busy:
            served.transaction.roll_back()

    def forget(self, entry: Entry) -> None:
        """Ends all transactions of an entry node whose stream has ended."""
        for number in list(self._transactions.get(entry, {})):
            self.end(entry, number)
        self._transactions.pop(entry, None)

    def end_transactions(self, reason: decisions.Reason) -> None:
        """Fails all idle transactions.

        Their entry nodes learn of it from the next statement.
        """
        for by_id in self._transactions.values():
            for served in by_id.values():
                if not served.is_busy and served.transaction.failure is None:
                    served.transaction.fail(reason)

    def _run(
        self, running: _Running
    ) -> "decisions.Flow[_forward_messages.RunReply]":
        entry, body = running.entry, running.body
        progress = _requests.Progress()
        try:
            request = body.request(self._clock)
            request = attrs.evolve(
                request,
                progress=progress,
                caller=self._access.confirm(request.caller),
            )
            running.statement.request = request
            reply = yield from self._dispatch(
                entry, body, request, running.statement
            )
        except decisions.RequestFailedError as exc:
            reply = _links.Reply.failed(STATES.IDLE, exc)
        except ValueError as exc:
            reply = _failed(decisions.PROTOCOL_VIOLATION, str(exc))
        except Exception as exc:  # noqa: BLE001 - the entry node gets a reply
            decisions.log_failure(
                exc, "event=statement_failed entry=%s", entry.peer
            )
            lost = running.statement.abandon(decisions.INTERNAL_FAILURE, "")
            reply = _links.Reply.failed(STATES.IDLE, lost)
        self._record(running, progress, reply)
        return _forward_messages.RunReply.of(reply, progress, running.received)

    def _dispatch(
        self,
        entry: Entry,
        body: _forward_messages.RunRequest,
        request: _requests.Request,
        running: _interruptions.RunningStatement,
    ) -> "decisions.Flow[_links.Reply]":
        if body.transaction:
            served = self._find_or_begin(entry, body)
            running.transaction = served.transaction
            return (
                yield from self._run_in_transaction(
                    entry, body, request, served
                )
            )
        self._gate.check()
        runner = self._find_runner(body.service)
        return (yield from runner.run(request))

    def _run_in_transaction(
        self,
        entry: Entry,
        body: _forward_messages.RunRequest,
        request: _requests.Request,
        served: _ServedTransaction,
    ) -> "decisions.Flow[_links.Reply]":
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
        self._gate.check()
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
        running: _Running,
        progress: _requests.Progress,
        reply: _links.Reply,
    ) -> None:
        body = running.body
        _events.emit(
            _events.RequestServed(
                request=body.request_id,
                entry=running.entry.peer,
                team=body.team,
                service=body.service,
                outcome=reply.reason.name if reply.reason else "ran",
                detail=reply.detail,
                member=progress.member,
                elapsed_s=round(self._clock.now() - running.received, 4),
                attempts=progress.attempts,
            )
        )


def _failed(reason: decisions.Reason, detail: str) -> _links.Reply:
    return _links.Reply(STATES.IDLE, reason=reason, detail=detail)
