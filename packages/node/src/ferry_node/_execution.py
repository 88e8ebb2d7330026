"""Handing a batch to an endpoint, under a slot and on one connection."""

import typing

import attrs
import ferry_decisions as decisions

from ferry_node import _endpoint
from ferry_node import _idempotency
from ferry_node import _pools
from ferry_node import _request_checks

READ_ONLY_SQLSTATE = "25006"
STALE_TERM_SQLSTATE = "57P04"
FIRST_CHECK_S = 0.5
LAST_CHECK_S = 5.0
RECHECK_S = 0.05
SWEEP_S = 0.05


@attrs.define(eq=False, slots=True)
class Channel:
    """An open transaction.

    Attributes:
        number: Its number at this node.
        customer: Whose it is.
        conn: The endpoint connection that is its own.
        seat: Its right to hold a connection at the primary, if it has one.
        used: When it last ran a statement, in seconds.
        busy: Whether a statement of it is under way.
    """

    number: int
    customer: str
    conn: _endpoint.EndpointConn
    seat: decisions.Slot | None
    used: float
    busy: bool = False


@attrs.define(eq=False, slots=True)
class _Wait:
    """A statement under way."""

    conn: _endpoint.EndpointConn
    fut: "decisions.Future[_endpoint.Answer]"
    deadline: float
    check_at: float
    cancel_key: int
    check_s: float = FIRST_CHECK_S
    checking: bool = False


class Executor:
    """Hands batches to one member.

    Attributes:
        in_flight: Connections that owe an answer.
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
        self._waits: set[_Wait] = set()
        self._sweeper = decisions.PeriodicTimer(timers, SWEEP_S, self._sweep)

    def cancel(self, cancel_key: int) -> None:
        """Asks the endpoint to stop a batch that is under way."""
        for wait in self._waits:
            if wait.cancel_key == cancel_key:
                wait.conn.cancel()

    def close(self) -> None:
        """Stops looking after what is under way."""
        self._sweeper.stop()

    def run(
        self, work: _request_checks.Work, channel: Channel | None
    ) -> "decisions.Flow[tuple[_endpoint.EndpointConn, _endpoint.Answer]]":
        """Runs a batch under a slot; returns its connection and answer."""
        slot = yield self._queue.acquire(work.contract, work.deadline)
        try:
            if channel is not None:
                conn = channel.conn
            else:
                conn = yield from self._pool.acquire(
                    work.req.customer, work.deadline
                )
            answer = yield from self._hand_over(work, conn, channel is not None)
            return conn, answer
        finally:
            self._queue.release(slot)

    def _hand_over(
        self,
        work: _request_checks.Work,
        conn: _endpoint.EndpointConn,
        in_transaction: bool,
    ) -> "decisions.Flow[_endpoint.Answer]":
        left = work.deadline - self._timers.now()
        if left <= 0:
            self._pool.release(conn, clean=not in_transaction)
            raise decisions.RequestFailedError(decisions.DEADLINE_IN_QUEUE)
        if in_transaction and conn.closed:
            raise decisions.RequestFailedError(decisions.TRANSACTION_LOST)
        asked_at = self._timers.now()
        work.was_sent = True
        self.in_flight.add(conn)
        try:
            answer = yield from self._awaited(work, conn)
        except (decisions.TimeoutExpiredError, _endpoint.EndpointLostError):
            conn.close(cancel=True)
            raise
        finally:
            self.in_flight.discard(conn)
        self._watch.note_answer(self._member.name, answer.position, asked_at)
        self._check(work, conn, answer, in_transaction)
        return answer

    def _awaited(
        self, work: _request_checks.Work, conn: _endpoint.EndpointConn
    ) -> "decisions.Flow[_endpoint.Answer]":
        """Waits for an answer.

        Raises:
            TimeoutExpiredError: The deadline came first.
            EndpointLostError: The connection ended, or it is silent and the
                endpoint runs nothing on it.
        """
        now = self._timers.now()
        fut: decisions.Future[_endpoint.Answer] = decisions.Future()
        wait = _Wait(
            conn,
            fut,
            work.deadline,
            now + FIRST_CHECK_S,
            work.req.cancel_key,
        )
        self._waits.add(wait)
        decisions.forward(self._started(work, conn), fut)
        try:
            answer = yield fut
        finally:
            self._waits.discard(wait)
        return typing.cast(_endpoint.Answer, answer)

    def _sweep(self) -> None:
        """Ends waits at their deadline, and finds connections that are lost.

        One timer for all statements under way costs less than one for each.
        """
        now = self._timers.now()
        for wait in list(self._waits):
            if now >= wait.deadline:
                decisions.reject(
                    wait.fut, decisions.TimeoutExpiredError("deadline")
                )
            elif now >= wait.check_at and not wait.checking:
                wait.checking = True
                decisions.start(self._check_lost(wait))

    def _check_lost(self, wait: "_Wait") -> "decisions.Flow[None]":
        """Ends a wait if the endpoint runs nothing for its connection.

        It is asked twice, so that an answer on its way can arrive.
        """
        lost = True
        for _ in range(2):
            try:
                running = yield self._watch.driver.is_running(
                    self._member, wait.conn.process_id
                )
            except decisions.EndpointUnreachableError:
                running = True
            if running or wait.fut.done():
                lost = False
                break
            yield decisions.sleep(self._timers, RECHECK_S)
        if lost:
            exc = _endpoint.EndpointLostError("silent, and runs nothing")
            decisions.reject(wait.fut, exc)
        wait.checking = False
        wait.check_at = self._timers.now() + wait.check_s
        wait.check_s = min(2 * wait.check_s, LAST_CHECK_S)

    def _started(
        self, work: _request_checks.Work, conn: _endpoint.EndpointConn
    ) -> "decisions.Future[_endpoint.Answer]":
        if work.req.idempotency_key:
            flow = _idempotency.run_once(
                conn,
                work.req.customer,
                work.req.idempotency_key,
                work.req.payload,
            )
            return decisions.start(flow)
        sink = work.sink

        def pass_on(data: bytes) -> None:
            work.streamed = True
            if sink is not None:
                sink(data)

        return conn.execute(
            work.req.payload, pass_on if sink is not None else None
        )

    def _check(
        self,
        work: _request_checks.Work,
        conn: _endpoint.EndpointConn,
        answer: _endpoint.Answer,
        in_transaction: bool,
    ) -> None:
        """Refuses an answer that shows less than was asked for."""
        if answer.sqlstate == STALE_TERM_SQLSTATE:
            work.was_sent = False
            conn.close()
            raise decisions.RequestFailedError(decisions.TERM_CHANGED)
        if work.req.as_primary or in_transaction or answer.streamed:
            return
        refused = answer.sqlstate == READ_ONLY_SQLSTATE
        floor = _request_checks.required_floor(work.req)
        shown = answer.position or decisions.ZERO_POSITION
        if refused or not decisions.satisfies(
            shown, floor, self._watch.tracker.history
        ):
            self._pool.release(conn, clean=answer.status == "I")
            raise decisions.RequestFailedError(
                decisions.BEHIND, "write" if refused else "floor"
            )
