"""A caller's session after its login: its state, transaction and answers."""

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

IN_FAILED_TRANSACTION = "25P02"


@attrs.frozen(slots=True)
class ConversationContext:
    """What all sessions of a node share.

    Attributes:
        timers: The timer service.
        dispatcher: Runs batches.
        metrics: Called with the customer, the seconds and the outcome of each
            batch.
        tracer: Makes the spans.
        cancel_keys: Numbers that name batches, unique among all nodes.
    """

    timers: decisions.TimerService
    dispatcher: _entry.Dispatcher
    metrics: Callable[[str, float, str], object]
    tracer: _tracing.Tracer
    cancel_keys: "itertools.count[int]"


@attrs.define(slots=True)
class _Transaction:
    """The transaction that a caller has open.

    Attributes:
        target: The member and node that hold it.
        channel: Its number there; 0 once it was lost.
        status: What the caller was told of it: T or E.
    """

    target: _targets.Target
    channel: int
    status: str = "T"


class Conversation:
    """Runs one caller's batches, one after another."""

    __slots__ = (
        "_ctx",
        "_identity",
        "_send",
        "_state",
        "_transaction",
        "_token_sent",
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
            ctx: What all sessions share.
            identity: Who the caller is.
            state: What its startup message asked for.
            send: Sends bytes to the caller.
        """
        self._ctx = ctx
        self._identity = identity
        self._send = send
        self._state = state
        self._transaction: _Transaction | None = None
        self._token_sent = ""
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
        """Asks to stop the batch that is under way."""
        if self._cancel_key:
            self._ctx.dispatcher.cancel(self._cancel_key)

    def _fail(
        self, batch: _batches.Batch, reason: decisions.Reason, detail: str
    ) -> None:
        """Sends an error that ends a batch."""
        self._send(_wire.encode_error(reason, detail))
        self._end(batch, failed=True)

    def _end(self, batch: _batches.Batch, failed: bool) -> None:
        """Ends a batch; after a failure, all up to the Sync is skipped."""
        if not batch.flushed:
            self.send_ready()
        elif failed:
            self._skipping = True

    def send_ready(self) -> None:
        """Sends a ReadyForQuery."""
        transaction = self._transaction
        self._send(
            _wire.encode_ready(transaction.status if transaction else "I")
        )

    def close(self) -> None:
        """Rolls back what is open: the caller is gone."""
        transaction, self._transaction = self._transaction, None
        if transaction is not None and transaction.channel:
            self._ctx.dispatcher.drop(transaction.target, transaction.channel)

    def _run(self, batch: _batches.Batch) -> "decisions.Flow[None]":
        transaction = self._transaction
        if self._skipping:
            self._skipping = batch.flushed
            self._end(batch, failed=False)
        elif batch.is_empty:
            self.send_ready()
        elif transaction is not None and not transaction.channel:
            self._answer_lost(batch)
        elif batch.flushed and not self._may_flush(batch):
            self._fail(
                batch,
                decisions.UNSUPPORTED,
                "a Flush between writes outside of a transaction",
            )
        elif batch.is_local:
            self._run_local(batch)
        elif batch.changes_session:
            self._fail(
                batch,
                decisions.UNSUPPORTED,
                "endpoint connections are shared; session state is not kept",
            )
        else:
            yield from self._run_remote(batch)

    def _may_flush(self, batch: _batches.Batch) -> bool:
        """Whether a batch may be run before the rest up to the Sync.

        All up to a Sync is one transaction, which a Flush must not cut.
        """
        begins = batch.first_kind is decisions.StatementKind.BEGIN
        return batch.is_read or batch.is_local or begins or self.in_transaction

    def _answer_lost(self, batch: _batches.Batch) -> None:
        """Answers inside a transaction that is already rolled back."""
        ends = batch.first_kind is decisions.StatementKind.END
        if ends and len(batch.statements) == 1:
            self._transaction = None
            self._send(_answers.ended_answer(batch))
        else:
            self._send(
                _wire.encode_sqlstate(
                    IN_FAILED_TRANSACTION,
                    "the transaction was rolled back; end it",
                )
            )
        self._end(batch, failed=not ends)

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
            self._fail(batch, exc.reason, exc.detail)
            return
        self._send(_answers.local_answer(batch, values))
        self._end(batch, failed=False)

    def _run_remote(self, batch: _batches.Batch) -> "decisions.Flow[None]":
        begun = self._ctx.timers.now()
        span = self._ctx.tracer.begin("caller")
        lookup = self._floor_lookup(batch)
        filtered = _answers.AnswerFilter(batch.hidden)
        parts = _answers.Parts(lambda data: self._send(filtered.feed(data)))
        if lookup is not None:
            parts.hold()
            if self._state.floor(self._identity.database) is None:
                yield from self._take_floor(lookup)
        self._cancel_key = next(self._ctx.cancel_keys)
        req = self._request(batch, span.context)
        if req.idempotency_key and (req.begin or self._transaction):
            self._fail(
                batch,
                decisions.UNSUPPORTED,
                "an idempotency key in a transaction",
            )
            return
        reply = yield from self._dispatch(req, begun, parts.take)
        if lookup is not None:
            yield from self._take_floor(lookup)
            if not self._shows_floor(reply):
                parts.drop()
                req = self._request(batch, span.context)
                reply = yield from self._dispatch(req, begun, parts.take)
            parts.release()
        outcome = reply.reason or "ran"
        elapsed = self._ctx.timers.now() - begun
        self._ctx.metrics(self._identity.customer, elapsed, outcome)
        span.end(outcome)
        self._note_reply(batch, reply)
        self._answer(batch, reply, filtered)

    def _floor_lookup(
        self, batch: _batches.Batch
    ) -> "decisions.Future[decisions.Position | None] | None":
        """Begins to look the session's floor up, if it carries no token.

        Other connections of the same login may have written since the last
        read. The read itself goes on meanwhile, with the floor that is
        known, and its position is checked when both are there.
        """
        reads = batch.is_read and self._transaction is None
        if not reads or self._state.carries_token:
            return None
        if self._state.staleness_s <= 0:
            return None
        return self._ctx.dispatcher.find_floor(
            self._identity.database, self._session_key
        )

    def _take_floor(
        self, lookup: "decisions.Future[decisions.Position | None]"
    ) -> "decisions.Flow[None]":
        """Waits for the floor; without one, the primary has to answer."""
        found = yield lookup
        database = self._identity.database
        if found is None:
            self._state = self._state.without_floor(database)
        else:
            self._state = self._state.with_floor(database, found)

    def _shows_floor(self, reply: _messages.ExecuteReply) -> bool:
        """Whether an answer shows the floor that has been looked up."""
        if reply.reason:
            return True
        floor = self._state.floor(self._identity.database)
        if floor is None or not reply.position:
            return False
        shown = decisions.Position.from_text(reply.position)
        return self._ctx.dispatcher.satisfies(
            self._identity.database, shown, floor
        )

    @property
    def _session_key(self) -> str:
        """What a session is known by when it carries no token."""
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
        begun: float,
        on_part: Callable[[bytes], object],
    ) -> "decisions.Flow[_messages.ExecuteReply]":
        transaction = self._transaction
        if transaction is not None:
            return (yield from self._continue(transaction, req, on_part))
        since = begun - self._wrote_at
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
        """Runs a batch where the transaction is open."""
        target = transaction.target
        bound = attrs.evolve(
            req,
            member=target.member,
            as_primary=target.primary,
            channel=transaction.channel,
            begin=False,
        )
        reply = yield self._ctx.dispatcher.send(target.node, bound, on_part)
        lost = bool(reply.reason) and not reply.channel
        if lost and reply.reason == decisions.TRANSACTION_LOST.name:
            transaction.channel = 0
            transaction.status = "E"
        elif not reply.channel:
            self._transaction = None
        return typing.cast(_messages.ExecuteReply, reply)

    def _note_reply(
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
        filtered: _answers.AnswerFilter,
    ) -> None:
        if reply.reason:
            reason = decisions.REASONS_BY_NAME.get(
                reply.reason, decisions.ANSWER_LOST
            )
            self._fail(batch, reason, reply.detail)
            return
        data = filtered.feed(reply.data)
        token = self._state.token
        if batch.flushed:
            self._send(data[:-_READY_SIZE])
            self._end(batch, failed=bool(reply.sqlstate))
            return
        if token == self._token_sent:
            self._send(data)
            return
        self._token_sent = token
        body, ready = data[:-_READY_SIZE], data[-_READY_SIZE:]
        parameter = _wire.encode_parameter(_wire.SESSION_PARAMETER, token)
        self._send(body + parameter + ready)


_READY_SIZE = len(_wire.encode_ready("I"))
