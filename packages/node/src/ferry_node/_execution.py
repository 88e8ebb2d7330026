"""Runs batches at an endpoint, each with a slot and on one connection."""

import typing

import attrs
import ferry_decisions as decisions

from ferry_node import _endpoint
from ferry_node import _idempotency
from ferry_node import _pools
from ferry_node import _request_checks

# A replica rejected a write.
READ_ONLY_SQLSTATE = "25006"
# The connection belongs to a term that was replaced.
STALE_TERM_SQLSTATE = "57P04"
# A statement without an answer is checked first after this time, then at
# intervals that double up to the maximum.
FIRST_LIVENESS_CHECK_S = 0.5
MAX_LIVENESS_CHECK_S = 5.0
# Pause before the second check, so that an answer in transit can arrive.
LIVENESS_RECHECK_S = 0.05
SWEEP_INTERVAL_S = 0.05


@attrs.define(eq=False, slots=True)
class Channel:
    """An open transaction.

    Attributes:
        number: Its number at this node.
        customer: The customer that opened it.
        conn: The endpoint connection that is reserved for it.
        transaction_slot: Its slot in the queue for transactions; None where
            it holds none, as at a replica.
        last_used_at: When it last ran a statement, in seconds.
        busy: Whether one of its statements is running.
    """

    number: int
    customer: str
    conn: _endpoint.EndpointConn
    transaction_slot: decisions.Slot | None
    last_used_at: float
    busy: bool = False


@attrs.define(eq=False, slots=True)
class _PendingStatement:
    """A statement whose answer is awaited.

    Attributes:
        conn: The connection on which it runs.
        fut: The future of its answer.
        deadline: When it expires, in seconds of the timer service.
        next_check_at: When the endpoint is next asked whether it still runs.
        cancel_key: The number by which it can be cancelled.
        check_interval_s: The time from this check to the following one.
        is_checking: Whether a check is in progress.
    """

    conn: _endpoint.EndpointConn
    fut: "decisions.Future[_endpoint.Answer]"
    deadline: float
    next_check_at: float
    cancel_key: int
    check_interval_s: float = FIRST_LIVENESS_CHECK_S
    is_checking: bool = False

    def note_checked(self, now: float) -> None:
        """Records that a check has ended, and schedules the next one."""
        self.is_checking = False
        self.next_check_at = now + self.check_interval_s
        self.check_interval_s = min(
            2 * self.check_interval_s, MAX_LIVENESS_CHECK_S
        )


class Executor:
    """Runs batches at one member.

    Attributes:
        in_flight: The connections on which an answer is awaited.
    """

    def __init__(
        self,
        timers: decisions.TimerService,
        watch: decisions.DatabaseWatch,
        member: decisions.Member,
        queue: decisions.AdmissionQueue,
        pool: _pools.Pool,
    ) -> None:
        self.in_flight: set[_endpoint.EndpointConn] = set()
        self._timers = timers
        self._watch = watch
        self._member = member
        self._queue = queue
        self._pool = pool
        self._pending: set[_PendingStatement] = set()
        self._sweeper = decisions.PeriodicTimer(
            timers, SWEEP_INTERVAL_S, self._sweep
        )

    def cancel(self, cancel_key: int) -> None:
        """Asks the endpoint to cancel a running batch."""
        for pending in self._pending:
            if pending.cancel_key == cancel_key:
                pending.conn.cancel()

    def close(self) -> None:
        """Stops checking the running statements."""
        self._sweeper.stop()

    def run(
        self, state: _request_checks.RequestState, channel: Channel | None
    ) -> "decisions.Flow[tuple[_endpoint.EndpointConn, _endpoint.Answer]]":
        """Runs a batch once it has a slot.

        Args:
            state: The request.
            channel: Its open transaction; None outside of one.

        Returns:
            The connection on which it ran, and the answer.
        """
        slot = yield self._queue.acquire(state.contract, state.deadline)
        try:
            if channel is not None:
                conn = channel.conn
            else:
                conn = yield from self._pool.acquire(
                    state.req.customer, state.deadline
                )
            answer = yield from self._execute(state, conn, channel is not None)
            return conn, answer
        finally:
            self._queue.release(slot)

    def _execute(
        self,
        state: _request_checks.RequestState,
        conn: _endpoint.EndpointConn,
        in_transaction: bool,
    ) -> "decisions.Flow[_endpoint.Answer]":
        remaining_s = state.deadline - self._timers.now()
        if remaining_s <= 0:
            self._pool.release(conn, clean=not in_transaction)
            raise decisions.RequestFailedError(decisions.DEADLINE_IN_QUEUE)
        if in_transaction and conn.closed:
            raise decisions.RequestFailedError(decisions.TRANSACTION_LOST)
        asked_at = self._timers.now()
        state.was_sent = True
        self.in_flight.add(conn)
        try:
            answer = yield from self._await_answer(state, conn)
        except (decisions.TimeoutExpiredError, _endpoint.EndpointLostError):
            conn.close(cancel=True)
            raise
        finally:
            self.in_flight.discard(conn)
        self._watch.note_answer(self._member.name, answer.position, asked_at)
        self._check_answer(state, conn, answer, in_transaction)
        return answer

    def _await_answer(
        self, state: _request_checks.RequestState, conn: _endpoint.EndpointConn
    ) -> "decisions.Flow[_endpoint.Answer]":
        """Waits for an answer.

        Raises:
            TimeoutExpiredError: The deadline passed first.
            EndpointLostError: The connection ended, or no answer arrives and
                the endpoint runs no statement on it.
        """
        now = self._timers.now()
        fut: decisions.Future[_endpoint.Answer] = decisions.Future()
        pending = _PendingStatement(
            conn,
            fut,
            state.deadline,
            now + FIRST_LIVENESS_CHECK_S,
            state.req.cancel_key,
        )
        self._pending.add(pending)
        decisions.forward(self._start_request(state, conn), fut)
        try:
            answer = yield fut
        finally:
            self._pending.discard(pending)
        return typing.cast(_endpoint.Answer, answer)

    def _sweep(self) -> None:
        """Expires statements at their deadline and starts due checks.

        A single timer for all running statements costs less than one each.
        """
        now = self._timers.now()
        for pending in list(self._pending):
            if now >= pending.deadline:
                decisions.reject(
                    pending.fut, decisions.TimeoutExpiredError("deadline")
                )
            elif now >= pending.next_check_at and not pending.is_checking:
                pending.is_checking = True
                decisions.start_detached(
                    "check a statement", self._check_lost(pending)
                )

    def _check_lost(
        self, pending: "_PendingStatement"
    ) -> "decisions.Flow[None]":
        """Fails a statement if the endpoint runs nothing on its connection."""
        try:
            if (yield from self._is_lost(pending)):
                exc = _endpoint.EndpointLostError("silent, and runs nothing")
                decisions.reject(pending.fut, exc)
        finally:
            pending.note_checked(self._timers.now())

    def _is_lost(self, pending: "_PendingStatement") -> "decisions.Flow[bool]":
        """Asks the endpoint twice, so that an answer in transit can arrive."""
        for _ in range(2):
            try:
                running = yield self._watch.driver.is_running(
                    self._member, pending.conn.process_id
                )
            except decisions.EndpointUnreachableError:
                running = True
            if running or pending.fut.done():
                return False
            yield decisions.sleep(self._timers, LIVENESS_RECHECK_S)
        return True

    def _start_request(
        self, state: _request_checks.RequestState, conn: _endpoint.EndpointConn
    ) -> "decisions.Future[_endpoint.Answer]":
        if state.req.idempotency_key:
            flow = _idempotency.run_once(
                conn,
                state.req.customer,
                state.req.idempotency_key,
                state.req.payload,
            )
            return decisions.start(flow)
        sink = state.sink

        def pass_on(data: bytes) -> None:
            state.streamed = True
            if sink is not None:
                sink(data)

        return conn.execute(
            state.req.payload, pass_on if sink is not None else None
        )

    def _check_answer(
        self,
        state: _request_checks.RequestState,
        conn: _endpoint.EndpointConn,
        answer: _endpoint.Answer,
        in_transaction: bool,
    ) -> None:
        """Rejects an answer of a replaced term or below the request's floor.

        So is the answer of a member that shows less than it had applied: it
        has restarted without its log.
        """
        if answer.sqlstate == STALE_TERM_SQLSTATE:
            state.was_sent = False
            conn.close()
            raise decisions.RequestFailedError(decisions.TERM_CHANGED)
        if state.req.as_primary or in_transaction or answer.streamed:
            return
        is_rejected_write = answer.sqlstate == READ_ONLY_SQLSTATE
        floor = _request_checks.required_floor(state.req)
        answer_position = answer.position or decisions.ZERO_POSITION
        has_lost_log = answer_position < state.applied
        if has_lost_log:
            self._watch.tracker.forget(self._member.name)
        if (
            is_rejected_write
            or has_lost_log
            or not decisions.satisfies(
                answer_position, floor, self._watch.tracker.history
            )
        ):
            self._pool.release(conn, clean=answer.status == "I")
            raise decisions.RequestFailedError(
                decisions.BEHIND, "write" if is_rejected_write else "floor"
            )
