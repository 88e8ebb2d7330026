"""Caller sessions: settings, prepared statements, transaction and commits.

Sessions are independent of the client protocol: the protocol front end decodes
requests to `Statement` and encodes `_links.Reply`. The requests of a session
run one at a time.
"""

from collections.abc import Callable
import itertools

import attrs
import ferry_decisions as decisions

from ferry_proxy import _access
from ferry_proxy import _clocks
from ferry_proxy import _configuration
from ferry_proxy import _features
from ferry_proxy import _interruptions
from ferry_proxy import _links
from ferry_proxy import _metrics
from ferry_proxy import _operation_gate
from ferry_proxy import _policy
from ferry_proxy import _refusals
from ferry_proxy import _request_records
from ferry_proxy import _requests
from ferry_proxy import _runners
from ferry_proxy import _session_settings
from ferry_proxy import _statements
from ferry_proxy.queueing import _kept_places
from ferry_proxy.queueing import _refusal_advice

Kind = _statements.Kind
STATES = _statements.TransactionState

_ids = itertools.count(1)


@attrs.frozen(slots=True)
class SessionContext:
    """Dependencies that all sessions of a node share.

    Attributes:
        clock: The clock that requests are timed by.
        metrics: Records the outcomes of statements.
        configuration: Returns the active configuration; None before the first.
        runner: Returns the runner of a service's statements for a team; None
            for an unknown service.
        access: Identifies the team that owns a caller's key.
        refusals: Creates the errors for what the configuration forbids.
        features: The optional features that are on.
        gate: Lets operations begin.
    """

    clock: _clocks.Clock
    metrics: _metrics.Metrics
    configuration: Callable[[], _configuration.Configuration | None]
    runner: Callable[[str, str], _runners.Runner | None]
    access: _access.Access
    refusals: _refusals.Refusals
    features: _features.Features = _features.NONE
    gate: _operation_gate.OperationGate = attrs.field(
        factory=_operation_gate.OperationGate
    )


class Session:
    """One session of a caller.

    Attributes:
        id: A number that is unique in this process, for the log.
        busy: Whether a statement is running.
    """

    def __init__(
        self, ctx: SessionContext, database: str, key: str = ""
    ) -> None:
        """Starts a session.

        Args:
            ctx: Dependencies that all sessions of the node share.
            database: The database name that the caller sent.
            key: The key that the caller sent.
        """
        self._ctx = ctx
        self._database = database
        self._key = key
        self._gate = ctx.gate
        self._settings = _session_settings.SessionSettings()
        self._transaction: _runners.OpenTransaction | None = None
        self._route: _configuration.Route | None = None
        self._commits: dict[str, decisions.Position] = {}
        self._closed = False
        self._kept_place = _kept_places.KeptPlace()
        self._running = _interruptions.RunningStatement()
        self._answer: decisions.Future[_links.Reply] = decisions.Future()
        self.id = next(_ids)
        self.busy = False

    @property
    def state(self) -> _statements.TransactionState:
        """The transaction state of the session."""
        if self._transaction is None:
            return STATES.IDLE
        if self._transaction.failure is not None:
            return STATES.FAILED
        return STATES.OPEN

    def check(self) -> None:
        """Checks that the caller may use the database.

        Raises:
            decisions.RequestFailedError: The database has no route, or the key
                belongs to no team.
        """
        route = self._find_route()
        if route is None:
            raise self._unknown_database()
        self._ctx.access.identify(route, self._key)

    def run(
        self, statement: _statements.Statement
    ) -> "decisions.Future[_links.Reply]":
        """Runs a statement; the one before must have finished."""
        self.busy = True
        self._running = _interruptions.RunningStatement()
        answer = self._answer = decisions.start(self._run_guarded(statement))
        answer.add_done_callback(lambda _: self._on_finished())
        return answer

    def interrupt(self) -> bool:
        """Answers the running statement at once; returns whether one runs.

        Its reply cannot be waited for, as the process is about to end.
        """
        if not self.busy:
            return False
        answer = self._abandon(decisions.STOPPING, _operation_gate.DETAIL)
        decisions.resolve(self._answer, answer)
        return True

    def _abandon(self, not_run: decisions.Reason, detail: str) -> _links.Reply:
        """Returns an answer to the running statement with what is known."""
        request = self._running.request
        exc = self._running.abandon(not_run, detail)
        if request and request.statement.kind is Kind.COMMIT:
            self._transaction = None
        answer = self._refused(exc)
        if request is not None:
            self._record(request, answer)
        return answer

    def close(self) -> None:
        """Ends the session and rolls an open transaction back."""
        self._closed = True
        transaction, self._transaction = self._transaction, None
        if transaction is not None and not self.busy:
            transaction.roll_back()

    def refuse_operations(self) -> None:
        """Lets no operation begin from now on; an open one may go on."""
        self._gate = _operation_gate.OperationGate()
        self._gate.close()

    def end_transaction(self, reason: decisions.Reason) -> None:
        """Fails an open transaction if no statement of it is running."""
        if self._transaction is not None and not self.busy:
            self._transaction.fail(reason)

    def end_if_idle(self, now: float) -> None:
        """Fails a transaction that has been idle for too long."""
        cfg = self._ctx.configuration()
        transaction = self._transaction
        if cfg is None or transaction is None or self.busy:
            return
        is_idle = now - transaction.last_used_at > cfg.transaction_idle_s
        if is_idle and transaction.holds_link:
            transaction.fail(decisions.TRANSACTION_LOST)

    def _on_finished(self) -> None:
        self.busy = False

    # -- statements ------------------------------------------------------

    def _run_guarded(
        self, statement: _statements.Statement
    ) -> "decisions.Flow[_links.Reply]":
        try:
            return (yield from self._run(statement))
        except Exception as exc:  # noqa: BLE001 - the caller gets an answer
            decisions.log_failure(exc, "event=statement_failed id=%d", self.id)
            return self._abandon(decisions.INTERNAL_FAILURE, "")

    def _run(
        self, statement: _statements.Statement
    ) -> "decisions.Flow[_links.Reply]":
        kind = statement.kind
        if kind is Kind.ROLLBACK:
            return self._roll_back()
        if self.state is STATES.FAILED:
            return self._answer_failed(statement)
        if kind in (Kind.BEGIN, Kind.BEGIN_READ):
            return self._begin(kind is Kind.BEGIN_READ)
        if kind in (Kind.SET, Kind.PREPARE, Kind.CLOSE):
            return self._change_state(statement)
        return (yield from self._run_remote(statement))

    def _roll_back(self) -> _links.Reply:
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            transaction.roll_back()
        return _links.Reply(STATES.IDLE)

    def _answer_failed(self, statement: _statements.Statement) -> _links.Reply:
        if statement.kind is Kind.COMMIT:
            self._roll_back()
            return self._failed(
                decisions.TRANSACTION_LOST,
                "the transaction had failed and is rolled back",
            )
        return self._failed(
            decisions.IN_FAILED_TRANSACTION,
            "the transaction has failed; end it",
        )

    def _begin(self, read_only: bool) -> _links.Reply:
        if self._transaction is not None:
            return self._protocol_violation("a transaction is open")
        route = self._find_route()
        if route is None:
            return self._refused(self._unknown_database())
        try:
            self._gate.check()
            caller = self._ctx.access.identify(route, self._key)
        except decisions.RequestFailedError as exc:
            return self._refused(exc)
        runner = self._ctx.runner(route.service, caller.team)
        if runner is None:
            return self._refused(_runners.no_members())
        self._route = route
        self._transaction = runner.begin(read_only)
        return _links.Reply(STATES.OPEN)

    def _change_state(self, statement: _statements.Statement) -> _links.Reply:
        try:
            self._settings.change(statement)
        except decisions.RequestFailedError as exc:
            return self._failed(exc.reason, exc.detail)
        return _links.Reply(self.state)

    def _run_remote(
        self, statement: _statements.Statement
    ) -> "decisions.Flow[_links.Reply]":
        prepared = None
        if statement.kind is Kind.EXECUTE:
            prepared = self._settings.prepared.get(statement.name)
            if prepared is None:
                return self._unknown_prepared(statement.name)
        if statement.kind is Kind.COMMIT and self._transaction is None:
            return self._protocol_violation("no transaction is open")
        transaction = self._transaction
        route = self._route if transaction else self._find_route()
        if route is None:
            return self._refused(self._unknown_database())
        try:
            request = self._request(statement, prepared, route)
        except decisions.RequestFailedError as exc:
            return self._refuse_access(statement, exc)
        self._running.request = request
        self._running.transaction = transaction
        try:
            reply = yield from self._dispatch(request, transaction)
        except decisions.RequestFailedError as exc:
            if statement.kind is Kind.COMMIT:
                self._transaction = None
            answer = self._refused(self._advised(request, exc))
        else:
            answer = self._apply_reply(request, transaction, reply)
        if answer.keeps_place and answer.retry_after_s:
            return_at = self._ctx.clock.now() + answer.retry_after_s
            self._kept_place.keep_for(request, return_at)
        if not request.progress.is_abandoned:
            self._record(request, answer)
        return answer

    def _record(self, request: _requests.Request, answer: _links.Reply) -> None:
        now = self._ctx.clock.now()
        _request_records.record(
            self._ctx.metrics, now, self.id, request, answer
        )

    def _request(
        self,
        statement: _statements.Statement,
        prepared: _statements.Prepared | None,
        route: _configuration.Route,
    ) -> _requests.Request:
        reads_own = route.consistency is _configuration.Consistency.SESSION
        return _requests.Request(
            statement=statement,
            prepared=prepared,
            route=route,
            values=self._settings.values,
            arrived=self._ctx.clock.now(),
            arrived_boot=self._ctx.clock.boot_now(),
            session_floor=(
                self._commits.get(route.service) if reads_own else None
            ),
            caller=self._ctx.access.identify(route, self._key),
            queued_for_s=self._kept_place.take(
                route.name, self._ctx.clock.now()
            ),
        )

    def _dispatch(
        self,
        request: _requests.Request,
        transaction: _runners.OpenTransaction | None,
    ) -> "decisions.Flow[_links.Reply]":
        if transaction is not None:
            return (yield from transaction.run(request))
        self._gate.check()
        runner = self._ctx.runner(request.route.service, request.caller.team)
        if runner is None:
            raise _runners.no_members()
        return (yield from runner.run(request))

    def _apply_reply(
        self,
        request: _requests.Request,
        transaction: _runners.OpenTransaction | None,
        reply: _links.Reply,
    ) -> _links.Reply:
        is_commit = request.statement.kind is Kind.COMMIT
        if is_commit:
            self._transaction = None
        if reply.reason is not None:
            delay_s = decisions.usable_delay_s(reply.retry_after_s)
            return attrs.evolve(reply, state=self.state, retry_after_s=delay_s)
        wrote = transaction.wrote if transaction else request.writes
        ended = transaction is None or is_commit
        if wrote and ended and reply.position is not None:
            self._note_commit(request.route.service, reply.position)
        if self._closed and transaction is not None and not is_commit:
            transaction.roll_back()
        return attrs.evolve(reply, state=self.state)

    def _note_commit(self, service: str, position: decisions.Position) -> None:
        known = self._commits.get(service)
        if known is None or position > known:
            self._commits[service] = position

    # -- answers ---------------------------------------------------------

    def _refused(self, exc: decisions.RequestFailedError) -> _links.Reply:
        transaction = self._transaction
        if transaction is not None:
            transaction.fail(exc.reason)
        return _links.Reply.failed(self.state, exc)

    def _refuse_access(
        self,
        statement: _statements.Statement,
        exc: decisions.RequestFailedError,
    ) -> _links.Reply:
        """Refuses a statement of a caller whose key no longer has a team.

        An open transaction is rolled back, even if the statement is COMMIT.
        """
        transaction = self._transaction
        if statement.kind is Kind.COMMIT and transaction is not None:
            transaction.roll_back()
            self._transaction = None
        return self._refused(exc)

    def _advised(
        self, request: _requests.Request, exc: decisions.RequestFailedError
    ) -> decisions.RequestFailedError:
        """Spreads the returns of callers that this node itself refuses."""
        is_on = self._ctx.features.is_on(_policy.Feature.RETRY_ADVICE)
        if not is_on or exc.is_estimated or not exc.retry_after_s:
            return exc
        return _refusal_advice.spread(request, exc, self._ctx.clock.now())

    def _failed(self, reason: decisions.Reason, detail: str) -> _links.Reply:
        return _links.Reply(self.state, reason=reason, detail=detail)

    def _protocol_violation(self, detail: str) -> _links.Reply:
        return self._failed(decisions.PROTOCOL_VIOLATION, detail)

    def _unknown_prepared(self, name: str) -> _links.Reply:
        return self._failed(decisions.UNKNOWN_PREPARED, name)

    def _unknown_database(self) -> decisions.RequestFailedError:
        return self._ctx.refusals.of(decisions.UNKNOWN_DATABASE, self._database)

    def _find_route(self) -> _configuration.Route | None:
        cfg = self._ctx.configuration()
        return cfg.routes.get(self._database) if cfg else None
