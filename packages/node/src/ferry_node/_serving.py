"""Serving one member: its slots, its connections and its transactions.

All statements of the fleet for one member pass through the node that serves
it, so one queue is fair and one pool keeps the limit.
"""

import itertools
import secrets

from absl import logging
import ferry_decisions as decisions

from ferry_node import _endpoint
from ferry_node import _execution
from ferry_node import _messages
from ferry_node import _ownership
from ferry_node import _pools
from ferry_node import _request_checks
from ferry_node import _settings

NOT_OWNER_SQLSTATE = "57P05"


class MemberService:
    """Runs the statements for one member."""

    def __init__(
        self,
        timers: decisions.TimerService,
        watch: decisions.DatabaseWatch,
        member: decisions.Member,
        contracts: decisions.ContractBook,
        cfg: _settings.Settings,
        connect: _pools.Connect,
        channel_numbers: "itertools.count[int]",
    ) -> None:
        self.member = member
        self.watch = watch
        self.channels: dict[int, _execution.Channel] = {}
        self._timers = timers
        self._contracts = contracts
        self._cfg = cfg.policy
        self.owner = f"{cfg.node}/{secrets.token_hex(4)}"
        self.request_checks = _request_checks.RequestChecks(
            timers, watch, member, cfg.policy
        )
        self._numbers = channel_numbers
        database = watch.database
        order = decisions.ADMISSION_POLICIES.get(cfg.policy.admission)
        self.queue = decisions.AdmissionQueue(
            timers, database.slots, order(), limit=_statement_limit
        )
        self.seats = decisions.AdmissionQueue(
            timers,
            database.transaction_connections,
            order(),
            limit=_transaction_limit,
        )
        self.pool = _pools.Pool(
            timers,
            connect,
            cfg.endpoints,
            database.replica_connections,
            self.owner,
        )
        self.ownership = _ownership.Ownership(timers, watch, member, self.owner)
        self._proofs = decisions.SharedRounds(self._prove)
        self._executor = _execution.Executor(
            timers, watch, member, self.queue, self.pool
        )
        self.configure()
        self._sweeper = decisions.PeriodicTimer(timers, 1.0, self._sweep)

    @property
    def busy(self) -> int:
        """Statements under way and transactions open."""
        return len(self._executor.in_flight) + len(self.channels)

    @property
    def leads(self) -> bool:
        """Whether the member is the primary, by the record."""
        return self.request_checks.leads

    def configure(self) -> None:
        """Takes in the present record: the term, and the part of the limit."""
        record = self.watch.record
        database = self.watch.database
        limit = (
            database.primary_connections
            if self.leads
            else database.replica_connections
        )
        self.pool.configure(record.term if record else 0, limit)
        if record is None:
            return
        for conn in list(self._executor.in_flight):
            if conn.term != record.term:
                conn.close(cancel=True)
        for channel in list(self.channels.values()):
            if channel.conn.term != record.term:
                self.drop(channel.number)

    def execute(
        self,
        req: _messages.ExecuteRequest,
        sink: _endpoint.Sink | None,
    ) -> "decisions.Future[_messages.ExecuteReply]":
        """Runs a batch; the future's reply tells what became of it."""
        return decisions.start(self._execute(req, sink))

    def position(
        self, session: str
    ) -> "decisions.Future[decisions.Position | None]":
        """Returns a position that covers all writes of a session.

        None where this node is not proved to own the primary.
        """
        return decisions.start(self._position(session))

    def _prove(self) -> "decisions.Flow[decisions.MemberStatus | None]":
        return (yield from self.request_checks.prove(self.owner))

    def _position(
        self, session: str
    ) -> "decisions.Flow[decisions.Position | None]":
        if not self.ownership.owned:
            return None
        status = yield self._proofs.join()
        if status is None or not self.ownership.owned:
            return None
        return self.ownership.floor(session, status)

    def cancel(self, cancel_key: int) -> None:
        """Asks the endpoint to stop a batch, if it runs here."""
        self._executor.cancel(cancel_key)

    def drop(self, number: int) -> None:
        """Rolls a transaction back by ending its connection."""
        channel = self.channels.pop(number, None)
        if channel is None:
            return
        channel.conn.close(cancel=channel.busy)
        if channel.seat is not None:
            self.seats.release(channel.seat)

    def close(self) -> None:
        """Ends everything that is under way."""
        self._sweeper.stop()
        self._executor.close()
        self.ownership.close()
        for number in list(self.channels):
            self.drop(number)
        self.pool.close()

    def _execute(
        self,
        req: _messages.ExecuteRequest,
        sink: _endpoint.Sink | None,
    ) -> "decisions.Flow[_messages.ExecuteReply]":
        now = self._timers.now()
        deadline = now + req.budget_s
        work: _request_checks.Work | None = None
        try:
            contract = self._contract(req)
            work = _request_checks.Work(req, contract, deadline, sink, now)
            if req.channel:
                return (yield from self._continue(work))
            if not req.as_primary:
                yield from self.request_checks.wait_until_eligible(work)
            yield from self.request_checks.wait_until_responsive(work)
            yield from self.ownership.wait_until_owned(work.deadline)
            if req.begin:
                return (yield from self._begin(work))
            return (yield from self._run_alone(work))
        except decisions.RequestFailedError as exc:
            return _failure(exc.reason, exc.detail)
        except (
            decisions.EndpointUnreachableError,
            _endpoint.EndpointLoginError,
            _endpoint.EndpointLostError,
            decisions.TermReplacedError,
            decisions.TimeoutExpiredError,
        ) as exc:
            return _failure(self._reason(work, exc), repr(exc))
        except Exception as exc:  # noqa: BLE001 - a defect; the caller is told
            logging.exception("event=defect_in_serving")
            return _failure(decisions.ANSWER_LOST, type(exc).__name__)

    def _reason(
        self, work: _request_checks.Work | None, exc: Exception
    ) -> decisions.Reason:
        """Returns what a caller may conclude from a failure below."""
        if work is not None and work.was_sent:
            in_transaction = work.req.begin or bool(work.req.channel)
            if in_transaction and not work.req.may_end:
                return decisions.TRANSACTION_LOST
            repeatable = work.req.read and not work.req.as_primary
            if repeatable and not work.streamed:
                return decisions.READ_CUT
            return decisions.ANSWER_LOST
        login = isinstance(exc, _endpoint.EndpointLoginError)
        if login and exc.sqlstate == NOT_OWNER_SQLSTATE:  # type: ignore[attr-defined]
            self.ownership.note_lost()
            return decisions.NO_SERVING_NODE
        if login and exc.sqlstate == _execution.STALE_TERM_SQLSTATE:  # type: ignore[attr-defined]
            return decisions.TERM_CHANGED
        return decisions.NO_CONNECTION

    def _contract(self, req: _messages.ExecuteRequest) -> decisions.Contract:
        try:
            contract = self._contracts.get(req.customer)
        except decisions.UnknownCustomerError as exc:
            raise decisions.RequestFailedError(decisions.NO_CONTRACT) from exc
        if req.database not in contract.databases:
            raise decisions.RequestFailedError(
                decisions.NO_CONTRACT, f"not for {req.database}"
            )
        return contract

    def _run_alone(
        self, work: _request_checks.Work
    ) -> "decisions.Flow[_messages.ExecuteReply]":
        """Runs a batch outside a transaction."""
        conn, answer = yield from self._executor.run(work, None)
        if answer.status != "I":
            channel = self._open_channel(work, conn, None)
            return _reply(answer, channel.number)
        self.pool.release(conn, clean=True)
        yield from self._acknowledge(work, answer)
        return _reply(answer, 0)

    def _begin(
        self, work: _request_checks.Work
    ) -> "decisions.Flow[_messages.ExecuteReply]":
        """Runs a batch that opens a transaction."""
        seat = None
        if self.leads:
            seat = yield self.seats.acquire(work.contract, work.deadline)
        try:
            conn, answer = yield from self._executor.run(work, None)
        except BaseException:
            if seat is not None:
                self.seats.release(seat)
            raise
        if answer.status == "I":
            if seat is not None:
                self.seats.release(seat)
            self.pool.release(conn, clean=True)
            yield from self._acknowledge(work, answer)
            return _reply(answer, 0)
        channel = self._open_channel(work, conn, seat)
        return _reply(answer, channel.number)

    def _continue(
        self, work: _request_checks.Work
    ) -> "decisions.Flow[_messages.ExecuteReply]":
        """Runs a batch of an open transaction."""
        channel = self.channels.get(work.req.channel)
        if channel is None or channel.customer != work.req.customer:
            raise decisions.RequestFailedError(decisions.TRANSACTION_LOST)
        channel.busy = True
        try:
            _, answer = yield from self._executor.run(work, channel)
        except BaseException:
            self.drop(channel.number)
            raise
        channel.busy = False
        channel.used = self._timers.now()
        if answer.status != "I":
            return _reply(answer, channel.number)
        self.channels.pop(channel.number, None)
        if channel.seat is not None:
            self.seats.release(channel.seat)
        self.pool.release(channel.conn, clean=True)
        yield from self._acknowledge(work, answer)
        return _reply(answer, 0)

    def _acknowledge(
        self, work: _request_checks.Work, answer: _endpoint.Answer
    ) -> "decisions.Flow[None]":
        """Confirms an answer and remembers the session's write."""
        yield from self.request_checks.confirm(work, answer)
        if not work.req.read and answer.position is not None:
            self.ownership.floors.note(work.req.session, answer.position)

    def _open_channel(
        self,
        work: _request_checks.Work,
        conn: _endpoint.EndpointConn,
        seat: decisions.Slot | None,
    ) -> _execution.Channel:
        channel = _execution.Channel(
            next(self._numbers),
            work.req.customer,
            conn,
            seat,
            self._timers.now(),
        )
        self.channels[channel.number] = channel
        return channel

    def _sweep(self) -> None:
        """Rolls back transactions that were idle for too long."""
        limit = self._timers.now() - self._cfg.transaction_idle_s
        for channel in list(self.channels.values()):
            if not channel.busy and channel.used < limit:
                logging.info(
                    "event=transaction_idle customer=%s", channel.customer
                )
                self.drop(channel.number)


def answer_position(
    service: MemberService | None, req: _messages.PositionRequest
) -> "decisions.Future[_messages.PositionReply]":
    """Returns the answer to a request for a position.

    Args:
        service: The service of the member; None where this node has none.
        req: The request.
    """

    def flow() -> "decisions.Flow[_messages.PositionReply]":
        found = None
        if service is not None:
            found = yield service.position(req.session)
        return _messages.PositionReply(str(found) if found else "")

    return decisions.start(flow())


def _statement_limit(contract: decisions.Contract) -> int:
    """Returns the connections that single statements may hold at once."""
    return max(1, contract.connections // 2)


def _transaction_limit(contract: decisions.Contract) -> int:
    """Returns the connections that open transactions may hold at once."""
    return max(1, contract.connections - _statement_limit(contract))


def _failure(reason: decisions.Reason, detail: str) -> _messages.ExecuteReply:
    return _messages.ExecuteReply(reason=reason.name, detail=detail)


def _reply(answer: _endpoint.Answer, channel: int) -> _messages.ExecuteReply:
    return _messages.ExecuteReply(
        data=answer.data,
        status=answer.status,
        position=str(answer.position) if answer.position else "",
        channel=channel,
        sqlstate=answer.sqlstate,
    )
