"""A fake of a connection for statements, in virtual time."""

import collections
from collections.abc import Callable
import typing

import ferry_decisions as decisions
from ferry_node import _endpoint
from ferry_node import _wire
import msgpack

from ferry_standins import _log
from ferry_standins import _virtual

USER_TIMEOUT_S = 1.5
RESEND_S = 0.2


class VirtualConn:
    """A connection for statements, in place of `EndpointConn`.

    A request is a msgpack array: `["w", key, value]` or `["r", key]`.
    """

    def __init__(self, link: _virtual.Link, term: int, owner: str = "") -> None:
        self._link = link
        self._pending: collections.deque[decisions.Future[_endpoint.Answer]] = (
            collections.deque()
        )
        self.term = term
        self.process_id = next(link.member.process_ids)
        self.owner = owner
        self.closed = False
        self.customer = ""
        self.idle_since = link.timers.now()
        self.position: decisions.Position | None = None
        self.ready: decisions.Future[VirtualConn] = decisions.Future()
        self.on_closed: Callable[[VirtualConn], object] | None = None
        link.timers.after(_virtual.CONNECT_S, lambda: link.carry(self._accept))
        link.timers.after(_virtual.PROBE_TIMEOUT_S, self._expire)

    def execute(
        self, payload: bytes, sink: _endpoint.Sink | None = None
    ) -> "decisions.Future[_endpoint.Answer]":
        """Hands a request over."""
        fut: decisions.Future[_endpoint.Answer] = decisions.Future()
        if self.closed:
            return decisions.failed(_endpoint.EndpointLostError("closed"))
        self._pending.append(fut)
        self._deliver(lambda: self._arrive(payload, fut))
        return fut

    def _deliver(self, work: Callable[[], object], waited: float = 0.0) -> None:
        """Carries like TCP: again and again, until the user timeout."""
        if self._link.open:
            self._link.carry(work)
        elif waited >= USER_TIMEOUT_S:
            self.end()
        else:
            self._link.timers.after(
                RESEND_S, lambda: self._deliver(work, waited + RESEND_S)
            )

    def close(self, cancel: bool = False) -> None:
        """Closes the connection."""
        self.end()

    def end(self) -> None:
        """Ends it from either side; what it owes is lost."""
        if self.closed:
            return
        self.closed = True
        self._link.member.conns.discard(self)
        lost = _endpoint.EndpointLostError("ended")
        decisions.reject(self.ready, lost)
        for fut in self._pending:
            decisions.reject(fut, lost)
        if self.on_closed is not None:
            self.on_closed(self)

    def _accept(self) -> None:
        member = self._link.member
        if member.crashed or self.term != member.replica.term:
            exc = _endpoint.EndpointLoginError("57P04", "stale or down")
            decisions.reject(self.ready, exc)
            self.end()
            return
        if self.owner and self.owner != member.owner_id:
            exc = _endpoint.EndpointLoginError("57P05", "another owner")
            decisions.reject(self.ready, exc)
            self.end()
            return
        if member.silent or self.closed:
            return
        member.conns.add(self)
        member.peak_conns = max(member.peak_conns, len(member.conns))
        self._link.carry(lambda: decisions.resolve(self.ready, self))

    def _expire(self) -> None:
        if not self.ready.done():
            exc = decisions.EndpointUnreachableError("connect")
            decisions.reject(self.ready, exc)
            self.end()

    def _arrive(
        self, payload: bytes, fut: "decisions.Future[_endpoint.Answer]"
    ) -> None:
        member = self._link.member
        if member.crashed:
            self.end()
            return
        if member.silent or self.closed:
            return
        member.running.add(self.process_id)
        self._link.timers.after(
            member.delay_s + member.statement_s,
            lambda: self._run(payload, fut),
        )

    def _run(
        self, payload: bytes, fut: "decisions.Future[_endpoint.Answer]"
    ) -> None:
        member = self._link.member
        member.running.discard(self.process_id)
        if self.closed:
            return
        request = _decoded(payload)
        answer = _endpoint.Answer(status="I")
        try:
            if request and request[0] == "w":
                member.write(request[1], request[2])
        except _log.RefusedError:
            answer.sqlstate = "57P04"
        found = member.values.get(request[1], 0) if request else 0
        data = msgpack.packb(found)
        answer.frames.append(_wire.Frame(_wire.ROW, data))
        answer.position = member.replica.shown
        self._deliver(lambda: self._finish(fut, answer))

    def _finish(
        self,
        fut: "decisions.Future[_endpoint.Answer]",
        answer: _endpoint.Answer,
    ) -> None:
        if fut in self._pending:
            self._pending.remove(fut)
        self.idle_since = self._link.timers.now()
        self.position = answer.position
        decisions.resolve(fut, answer)


def _decoded(payload: bytes) -> list[typing.Any]:
    """Returns a request; empty for a reset or a validation."""
    if payload[:1] == b"Q":
        return []
    found = msgpack.unpackb(payload)
    return found if isinstance(found, list) else []
