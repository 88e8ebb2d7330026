"""Connections to one member, never more than its part of the limit."""

import collections
from collections.abc import Callable

import ferry_decisions as decisions

from ferry_node import _endpoint
from ferry_node import _settings
from ferry_node import _wire

TOO_MANY = "53300"
RESET = _wire.encode_query("DISCARD ALL")
VALIDATE = _wire.encode_query(";")
VALIDATE_TIMEOUT_S = 0.25
SWEEP_S = 5.0

Connect = Callable[[int, str], _endpoint.EndpointConn]
"""Begins a connection under a term and an ownership."""


class Pool:
    """The connections of this node to one member.

    A connection goes back to the customer that used it last where it can, and
    is reset before another customer gets it.
    """

    def __init__(
        self,
        timers: decisions.TimerService,
        connect: Connect,
        cfg: _settings.EndpointSettings,
        limit: int,
        owner: str,
    ) -> None:
        self._owner = owner
        self._timers = timers
        self._make = connect
        self._cfg = cfg
        self._limit = limit
        self._term = 0
        self._idle: list[_endpoint.EndpointConn] = []
        self._open: set[_endpoint.EndpointConn] = set()
        self._waiters: collections.deque[decisions.Future[None]] = (
            collections.deque()
        )
        self._sweeper = decisions.PeriodicTimer(timers, SWEEP_S, self._sweep)

    @property
    def open_count(self) -> int:
        """Connections that exist now."""
        return len(self._open)

    def configure(self, term: int, limit: int) -> None:
        """Sets the term for connections to come, and their limit."""
        self._limit = limit
        if term != self._term:
            self._term = term
            for conn in list(self._idle):
                conn.close()
        while len(self._open) > limit and self._idle:
            self._idle[0].close()

    def acquire(
        self, customer: str, deadline: float
    ) -> "decisions.Flow[_endpoint.EndpointConn]":
        """Returns a clean, live connection of the present term.

        Raises:
            EndpointUnreachableError: The member cannot be reached.
            EndpointLoginError: The member refused the connection.
            TimeoutExpiredError: None became free before the deadline.
        """
        while True:
            conn = self._take_idle(customer)
            if conn is None and len(self._open) < self._limit:
                return (yield from self._connect(customer))
            if conn is None:
                yield self._wait(deadline)
                continue
            if (yield from self._made_clean(conn, customer)):
                return conn
            conn.close()

    def release(self, conn: _endpoint.EndpointConn, clean: bool) -> None:
        """Takes a connection back.

        Args:
            conn: The connection.
            clean: Whether it is idle, outside a transaction and owes nothing.
        """
        if conn.closed:
            return
        over = len(self._open) > self._limit
        if not clean or over or conn.term != self._term:
            conn.close()
            return
        self._idle.append(conn)
        self._wake()

    def close(self) -> None:
        """Closes every connection and stops."""
        self._sweeper.stop()
        self._limit = 0
        for conn in list(self._open):
            conn.close()

    def _take_idle(self, customer: str) -> _endpoint.EndpointConn | None:
        for index in range(len(self._idle) - 1, -1, -1):
            if self._idle[index].customer == customer:
                return self._idle.pop(index)
        return self._idle.pop() if self._idle else None

    def _made_clean(
        self, conn: _endpoint.EndpointConn, customer: str
    ) -> "decisions.Flow[bool]":
        """Resets or validates a connection; returns whether it is usable."""
        if conn.customer != customer:
            request = RESET
        elif self._timers.now() - conn.idle_since > self._cfg.validate_after_s:
            request = VALIDATE
        else:
            return True
        try:
            answer = yield decisions.with_timeout(
                self._timers, VALIDATE_TIMEOUT_S, conn.execute(request)
            )
        except (decisions.TimeoutExpiredError, _endpoint.EndpointLostError):
            return False
        conn.customer = customer
        return bool(answer.status == "I" and not answer.sqlstate)

    def _connect(
        self, customer: str
    ) -> "decisions.Flow[_endpoint.EndpointConn]":
        conn = self._make(self._term, self._owner)
        self._open.add(conn)
        conn.on_closed = self._forget
        conn.customer = customer
        yield conn.ready
        return conn

    def _forget(self, conn: _endpoint.EndpointConn) -> None:
        self._open.discard(conn)
        if conn in self._idle:
            self._idle.remove(conn)
        self._wake()

    def _wait(self, deadline: float) -> "decisions.Future[None]":
        fut: decisions.Future[None] = decisions.Future()
        self._waiters.append(fut)
        expired = decisions.TimeoutExpiredError("no free connection")
        self._timers.after(
            deadline - self._timers.now(),
            lambda: decisions.reject(fut, expired),
        )
        return fut

    def _wake(self) -> None:
        while self._waiters:
            fut = self._waiters.popleft()
            if decisions.resolve(fut, None):
                return

    def _sweep(self) -> None:
        limit = self._timers.now() - self._cfg.idle_keep_s
        for conn in list(self._idle):
            if conn.idle_since < limit:
                conn.close()
