"""Callers of the lab: sessions that move from node to node."""

import typing

import attrs
import ferry_decisions as decisions
from ferry_node import _messages
import msgpack

from ferry_standins import _history
from ferry_standins import _lab
from ferry_standins import _lab_node


class LabSession:
    """One session: a caller that moves from node to node."""

    def __init__(
        self,
        lab: _lab.Lab,
        name: str,
        customer: str = _lab.CUSTOMER,
        timeout_s: float = 10.0,
        keeps_floors: bool = True,
    ) -> None:
        self._lab = lab
        self.name = name
        self._customer = customer
        self._timeout_s = timeout_s
        self._keeps_floors = keeps_floors
        self._has_token = False
        staleness = lab.contracts.get(customer).staleness_s
        self.state = decisions.SessionState(staleness_s=staleness)
        self._wrote_at = float("-inf")
        self.next_value = 0
        self.latencies: list[float] = []

    def forget(self) -> None:
        """Comes back as a new session that carries no token."""
        self.state = attrs.evolve(self.state, floors=())
        self._has_token = False

    def write(
        self, node: _lab_node.LabNode
    ) -> "decisions.Future[_history.Operation]":
        """Writes the session's own key, with a new value."""
        self.next_value += 1
        request = ["w", self.name, self.next_value]
        return decisions.start(self._run(node, request, self.next_value))

    def read(
        self, node: _lab_node.LabNode, key: str = ""
    ) -> "decisions.Future[_history.Operation]":
        """Reads a key, its own by default."""
        return decisions.start(self._run(node, ["r", key or self.name], None))

    def _run(
        self,
        node: _lab_node.LabNode,
        request: list[typing.Any],
        value: int | None,
    ) -> "decisions.Flow[_history.Operation]":
        lab = self._lab
        begun = lab.timers.now()
        is_read = value is None
        if not self._keeps_floors:
            self.state = attrs.evolve(
                self.state, floors=((_lab.DATABASE, decisions.ZERO_POSITION),)
            )
        elif is_read and self.state.staleness_s > 0 and not self._has_token:
            found = yield node.dispatcher.find_floor(_lab.DATABASE, self.name)
            if found is not None:
                self.state = self.state.with_floor(_lab.DATABASE, found)
                self._has_token = True
        floor = self.state.floor(_lab.DATABASE)
        req = _messages.ExecuteRequest(
            customer=self._customer,
            database=_lab.DATABASE,
            member="",
            as_primary=not is_read,
            read=is_read,
            begin=False,
            may_end=False,
            channel=0,
            floor=str(floor) if floor else "",
            staleness_s=self.state.staleness_s,
            budget_s=self._timeout_s,
            idempotency_key="",
            session=self.name,
            cancel_key=0,
            payload=msgpack.packb(request),
        )
        since = begun - self._wrote_at
        reply, _ = yield node.dispatcher.run(req, since, lambda _: None)
        ended = lab.timers.now()
        outcome = decisions.Outcome.RAN
        if reply.reason:
            outcome = decisions.REASONS_BY_NAME[reply.reason].outcome
        else:
            self.latencies.append(ended - begun)
            if not is_read:
                self._wrote_at = ended
            if reply.position:
                seen = decisions.Position.from_text(reply.position)
                self.state = self.state.with_floor(_lab.DATABASE, seen)
        if value is None:
            value = msgpack.unpackb(reply.data) if not reply.reason else 0
        operation = _history.Operation(
            self.name, request[1], value, not is_read, begun, ended, outcome
        )
        lab.operations.append(operation)
        return operation
