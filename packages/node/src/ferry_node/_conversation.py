"""A caller's session after its login: settings, transaction and answers."""

from collections.abc import Callable
import itertools
import typing

import attrs
import ferry_decisions as decisions

from ferry_node import _answers
from ferry_node import _auth
from ferry_node import _batches
from ferry_node import _entry
from ferry_node import _messages
from ferry_node import _targets
from ferry_node import _tracing
from ferry_node import _wire

# SQLSTATE in_failed_sql_transaction.
IN_FAILED_TRANSACTION = "25P02"


@attrs.frozen(slots=True)
class ConversationContext:
    """Dependencies that all sessions of a node share.

    Attributes:
        timers: The timer service.
        dispatcher: Runs batches.
        metrics: Called after each batch with the customer, the elapsed time
            in seconds and the outcome.
        tracer: Creates the spans.
        cancel_keys: Yields numbers that identify batches for cancellation,
            unique among all nodes.
    """

    timers: decisions.TimerService
    dispatcher: _entry.Dispatcher
    metrics: Callable[[str, float, str], object]
    tracer: _tracing.Tracer
    cancel_keys: "itertools.count[int]"


@attrs.define(slots=True)
class _Transaction:
    """The open transaction of a caller.

    Attributes:
        target: The member and the node that run it.
        channel: Its number at that node; 0 after it was lost.
        status: The transaction status last reported to the caller: T (open)
            or E (failed).
    """

    target: _targets.Target
    channel: int
    status: str = "T"


class Conversation:
    """Runs the batches of one caller, one after another."""

    __slots__ = (
        "_ctx",
        "_identity",
        "_send",
        "_state",
        "_transaction",
        "_last_token_sent",
        "_wrote_at",
        "_skipping",
        "_cancel_key",
    )

    def __init__(
        self,
        ctx: ConversationContext,
        identity: _auth.Identity,
        state: decisions.SessionState,
        send: Callable[[bytes], object],
    ) -> None:
        """Starts the session.

        Args:
            ctx: Dependencies that all sessions share.
            identity: The caller's customer, login and database.
            state: The session settings from its startup message.
            send: Sends bytes to the caller.
        """
        self._ctx = ctx
        self._identity = identity
        self._send = send
        self._state = state
        self._transaction: _Transaction | None = None
        self._last_token_sent = ""
        self._wrote_at = float("-inf")
        self._skipping = False
        self._cancel_key = 0

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open at an endpoint."""
        return self._transaction is not None and self._transaction.channel > 0

    def run(self, batch: _batches.Batch) -> "decisions.Future[None]":
        """Runs a batch and sends its whole answer."""
        return decisions.start(self._run(batch))

    def cancel(self) -> None:
        """Asks the serving node to cancel the running batch."""
        if self._cancel_key:
            self._ctx.dispatcher.cancel(self._cancel_key)

    def _fail_batch(
        self, batch: _batches.Batch, reason: decisions.Reason, detail: str
    ) -> None:
        """Answers a batch with an error."""
        self._send(_wire.encode_error(reason, detail))
        self._end_batch(batch, failed=True)

    def _end_batch(self, batch: _batches.Batch, failed: bool) -> None:
        """Ends a batch; after a failure, skips all messages up to the Sync."""
        if not batch.flushed:
            self.send_ready()
        elif failed:
            self._skipping = True

    def send_ready(self) -> None:
        """Sends a ReadyForQuery with the current transaction status."""
        transaction = self._transaction
        self._send(
            _wire.encode_ready(transaction.status if transaction else "I")
        )

    def close(self) -> None:
        """Rolls back the open transaction; the caller has disconnected."""
        transaction, self._transaction = self._transaction, None
        if transaction is not None and transaction.channel:
            self._ctx.dispatcher.drop(transaction.target, transaction.channel)

    def _run(self, batch: _batches.Batch) -> "decisions.Flow[None]":
        transaction = self._transaction
        if self._skipping:
            self._skipping = batch.flushed
            self._end_batch(batch, failed=False)
        elif batch.is_empty:
            self.send_ready()
        elif transaction is not None and not transaction.channel:
            self._answer_in_failed_transaction(batch)
        elif batch.flushed and not self._may_flush(batch):
            self._fail_batch(
                batch,
                decisions.UNSUPPORTED,
                "a Flush between writes outside of a transaction",
            )
        elif batch.is_local:
            self._run_local(batch)
        elif batch.changes_session:
            self._fail_batch(
                batch,
                decisions.UNSUPPORTED,
                "endpoint connections are shared; session state is not kept",
            )
        else:
            yield from self._run_remote(batch)

    def _may_flush(self, batch: _batches.Batch) -> bool:
        """Whether a batch that a Flush ended may run before the Sync.

        All messages up to a Sync form one implicit transaction, which a Flush
        must not split.
        """
        begins = batch.first_kind is decisions.StatementKind.BEGIN
        return batch.is_read or batch.is_local or begins or self.in_transaction

    def _answer_in_failed_transaction(self, batch: _batches.Batch) -> None:
        """Answers a batch in a transaction that was already rolled back."""
        ends = batch.first_kind is decisions.StatementKind.END
        if ends and len(batch.statements) == 1:
            self._transaction = None
            self._send(_answers.rollback_answer(batch))
        else:
            self._send(
                _wire.encode_sqlstate(
                    IN_FAILED_TRANSACTION,
                    "the transaction was rolled back; end it",
                )
            )
        self._end_batch(batch, failed=not ends)

    def _run_local(self, batch: _batches.Batch) -> None:
        values = []
        try:
            for statement in batch.statements:
                if statement.kind is decisions.StatementKind.SET:
                    self._state = self._state.with_setting(
                        statement.name, statement.value
                    )
                    values.append(statement.value)
                else:
                    values.append(self._state.setting(statement.name))
        except decisions.RequestFailedError as exc:
            self._fail_batch(batch, exc.reason, exc.detail)
            return
        self._send(_answers.local_answer(batch, values))
        self._end_batch(batch, failed=False)

    def _run_remote(self, batch: _batches.Batch) -> "decisions.Flow[None]":
        started_at = self._ctx.timers.now()
        span = self._ctx.tracer.begin("caller")
        floor_lookup = self._floor_lookup(batch)
        answer_filter = _answers.AnswerFilter(batch.hidden)
        parts = _answers.PartBuffer(
            lambda data: self._send(answer_filter.feed(data))
        )
        if floor_lookup is not None:
            parts.hold()
            if self._state.floor(self._identity.database) is None:
                yield from self._apply_floor(floor_lookup)
        self._cancel_key = next(self._ctx.cancel_keys)
        req = self._request(batch, span.context)
        if req.idempotency_key and (req.begin or self._transaction):
            self._fail_batch(
                batch,
                decisions.UNSUPPORTED,
                "an idempotency key in a transaction",
            )
            return
        reply = yield from self._dispatch(req, started_at, parts.add)
        if floor_lookup is not None:
            yield from self._apply_floor(floor_lookup)
            if not self._reaches_floor(reply):
                parts.drop()
                req = self._request(batch, span.context)
                reply = yield from self._dispatch(req, started_at, parts.add)
            parts.release()
        outcome = reply.reason or "ran"
        elapsed = self._ctx.timers.now() - started_at
        self._ctx.metrics(self._identity.customer, elapsed, outcome)
        span.end(outcome)
        self._update_session(batch, reply)
        self._answer(batch, reply, answer_filter)

    def _floor_lookup(
        self, batch: _batches.Batch
    ) -> "decisions.Future[decisions.Position | None] | None":
        """Starts a lookup of the session's floor, if it carries no token.

        Other connections of the same login may have written since the last
        read. The read runs at the same time with the floor known so far, and
        its position is checked once both results have arrived.
        """
        reads = batch.is_read and self._transaction is None
        if not reads or self._state.carries_token:
            return None
        if self._state.staleness_s <= 0:
            return None
        return self._ctx.dispatcher.find_floor(
            self._identity.database, self._session_key
        )

    def _apply_floor(
        self, floor_lookup: "decisions.Future[decisions.Position | None]"
    ) -> "decisions.Flow[None]":
        """Waits for the floor; if it is unknown, the primary has to answer."""
        found = yield floor_lookup
        database = self._identity.database
        if found is None:
            self._state = self._state.without_floor(database)
        else:
            self._state = self._state.with_floor(database, found)

    def _reaches_floor(self, reply: _messages.ExecuteReply) -> bool:
        """Whether an answer includes all writes up to the session's floor."""
        if reply.reason:
            return True
        floor = self._state.floor(self._identity.database)
        if floor is None or not reply.position:
            return False
        reply_position = decisions.Position.from_text(reply.position)
        return self._ctx.dispatcher.satisfies(
            self._identity.database, reply_position, floor
        )

    @property
    def _session_key(self) -> str:
        """The key that identifies a session that carries no token."""
        name = self._state.session_id or self._identity.login
        return f"{name}@{self._identity.customer}"

    def _request(
        self, batch: _batches.Batch, trace: str
    ) -> _messages.ExecuteRequest:
        kind = batch.first_kind
        read_only = kind is decisions.StatementKind.BEGIN_READ_ONLY
        read = batch.is_read or read_only
        floor = self._state.floor(self._identity.database)
        return _messages.ExecuteRequest(
            customer=self._identity.customer,
            database=self._identity.database,
            member="",
            as_primary=not read,
            read=read,
            begin=kind is decisions.StatementKind.BEGIN or read_only,
            may_end=batch.may_end,
            channel=0,
            floor=str(floor) if floor is not None else "",
            staleness_s=self._state.staleness_s,
            budget_s=self._state.timeout_s,
            idempotency_key="" if read else self._state.idempotency_key,
            session=self._session_key,
            cancel_key=self._cancel_key,
            payload=batch.payload,
            trace=trace,
        )

    def _dispatch(
        self,
        req: _messages.ExecuteRequest,
        started_at: float,
        on_part: Callable[[bytes], object],
    ) -> "decisions.Flow[_messages.ExecuteReply]":
        transaction = self._transaction
        if transaction is not None:
            return (yield from self._continue(transaction, req, on_part))
        since = started_at - self._wrote_at
        reply, target = yield self._ctx.dispatcher.run(req, since, on_part)
        if reply.channel and target is not None:
            self._transaction = _Transaction(target, reply.channel)
        return typing.cast(_messages.ExecuteReply, reply)

    def _continue(
        self,
        transaction: _Transaction,
        req: _messages.ExecuteRequest,
        on_part: Callable[[bytes], object],
    ) -> "decisions.Flow[_messages.ExecuteReply]":
        """Runs a batch at the node that has the transaction open."""
        target = transaction.target
        channel_req = attrs.evolve(
            req,
            member=target.member,
            as_primary=target.primary,
            channel=transaction.channel,
            begin=False,
        )
        reply = yield self._ctx.dispatcher.send(
            target.node, channel_req, on_part
        )
        lost = bool(reply.reason) and not reply.channel
        if lost and reply.reason == decisions.TRANSACTION_LOST.name:
            transaction.channel = 0
            transaction.status = "E"
        elif not reply.channel:
            self._transaction = None
        return typing.cast(_messages.ExecuteReply, reply)

    def _update_session(
        self, batch: _batches.Batch, reply: _messages.ExecuteReply
    ) -> None:
        if reply.reason:
            return
        if self._transaction is not None:
            self._transaction.status = reply.status
        if not batch.is_read:
            self._wrote_at = self._ctx.timers.now()
            if self._state.idempotency_key:
                self._state = attrs.evolve(self._state, idempotency_key="")
        if reply.position and not reply.channel:
            seen = decisions.Position.from_text(reply.position)
            self._state = self._state.with_floor(self._identity.database, seen)

    def _answer(
        self,
        batch: _batches.Batch,
        reply: _messages.ExecuteReply,
        answer_filter: _answers.AnswerFilter,
    ) -> None:
        if reply.reason:
            reason = decisions.REASONS_BY_NAME.get(
                reply.reason, decisions.ANSWER_LOST
            )
            self._fail_batch(batch, reason, reply.detail)
            return
        data = answer_filter.feed(reply.data)
        token = self._state.token
        if batch.flushed:
            self._send(data[:-_READY_SIZE])
            self._end_batch(batch, failed=bool(reply.sqlstate))
            return
        if token == self._last_token_sent:
            self._send(data)
            return
        self._last_token_sent = token
        body, ready = data[:-_READY_SIZE], data[-_READY_SIZE:]
        parameter = _wire.encode_parameter(_wire.SESSION_PARAMETER, token)
        self._send(body + parameter + ready)


_READY_SIZE = len(_wire.encode_ready("I"))
