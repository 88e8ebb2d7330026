"""Messages that forward statements from an entry node to a serving node.

Fields have plain types, as `msgpack` encodes them; `of` and the other methods
convert between them and the proxy's types.
"""

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _configuration
from ferry_proxy import _links
from ferry_proxy import _peer_messages
from ferry_proxy import _requests
from ferry_proxy import _statements
from ferry_proxy import _teams
from ferry_proxy.queueing import _kept_places

NOT_OFFERED = -1.0
NO_INDEX = -1


@_peer_messages.message("run?")
@attrs.frozen(slots=True, repr=False)
class RunRequest:
    """Requests that a serving node run a statement.

    Attributes:
        route: The name of the route that the entry node applies.
        service: The group that serves the route.
        consistency: The consistency of its reads.
        priority: The queue priority; 0 goes first.
        timeout_s: The time limit of the statement, in seconds.
        target_s: The target latency of the operation, in seconds.
        max_staleness_s: The maximum age of the state that a read may return.
        waited_s: How long the entry node has held the statement, in seconds.
        request_id: The caller's id of the statement.
        kind: The kind of the statement.
        text: The statement as written by the caller.
        name: The prepared statement that it names.
        value: The arguments of EXECUTE.
        prepared_writes: Whether the prepared statement writes.
        prepared_shape: The text of the prepared statement; None if there is
            none.
        values: The session's values.
        floor_term: The term of the session's last commit.
        floor_index: The index of that commit; negative if there is none.
        transaction: The entry node's number of the transaction; 0 for none.
        begins: Whether it is the first statement of the transaction.
        read_only: Whether the transaction is read-only.
        team: The team of the caller; empty if callers have none.
        key_digest: The digest of the caller's key.
        version: The version of the entry node's configuration, which assigns
            the key to the team.
        queued_for_s: For how long it had been queued when it arrived there, in
            seconds.
    """

    route: str
    service: str
    consistency: str
    priority: int
    timeout_s: float
    target_s: float
    max_staleness_s: float
    waited_s: float
    request_id: str
    kind: str
    text: str
    name: str
    value: str
    prepared_writes: bool
    prepared_shape: str | None
    values: dict[str, str]
    floor_term: int
    floor_index: int
    transaction: int = 0
    begins: bool = False
    read_only: bool = False
    team: str = _teams.NO_TEAM
    key_digest: bytes = b""
    version: int = 0
    queued_for_s: float = 0.0

    @classmethod
    def of(
        cls,
        request: _requests.Request,
        now: float,
        transaction: int = 0,
        begins: bool = False,
        read_only: bool = False,
    ) -> "RunRequest":
        """Returns the message that forwards a request.

        Args:
            request: The request.
            now: The time, in the clock's seconds.
            transaction: The number of its transaction; 0 for none.
            begins: Whether it is the first statement of the transaction.
            read_only: Whether the transaction is read-only.
        """
        route = request.route
        statement = request.statement
        prepared = request.prepared
        floor = request.session_floor
        return cls(
            route=route.name,
            service=route.service,
            consistency=route.consistency.value,
            priority=route.priority,
            timeout_s=route.timeout_s,
            target_s=route.target_s,
            max_staleness_s=route.max_staleness_s,
            waited_s=now - request.arrived,
            request_id=statement.request_id,
            kind=statement.kind.value,
            text=statement.text,
            name=statement.name,
            value=statement.value,
            prepared_writes=prepared.writes if prepared else False,
            prepared_shape=prepared.shape if prepared else None,
            values=request.values,
            floor_term=floor.term if floor else 0,
            floor_index=floor.index if floor else NO_INDEX,
            transaction=transaction,
            begins=begins,
            read_only=read_only,
            team=request.caller.team,
            key_digest=request.caller.digest,
            version=request.caller.version,
            queued_for_s=request.queued_for_s,
        )

    def request(self, clock: _clocks.Clock) -> _requests.Request:
        """Returns the request, with its times on this node's clocks.

        Raises:
            ValueError: A field has an invalid value.
        """
        shape = self.prepared_shape
        return _requests.Request(
            statement=_statements.Statement(
                self.request_id,
                _statements.Kind(self.kind),
                self.text,
                self.name,
                self.value,
            ),
            prepared=(
                None
                if shape is None
                else _statements.Prepared(self.prepared_writes, shape)
            ),
            route=self._route(),
            values=self.values,
            arrived=clock.now() - self.waited_s,
            # This is later than the arrival at the entry node, so that a read
            # is never too stale.
            arrived_boot=clock.boot_now(),
            session_floor=_position(self.floor_term, self.floor_index),
            caller=_teams.Caller(self.team, self.key_digest, self.version),
            queued_for_s=_kept_places.usable_wait_s(
                self.queued_for_s, self.timeout_s
            ),
        )

    def _route(self) -> _configuration.Route:
        return _configuration.Route(
            name=self.route,
            database="",
            service=self.service,
            consistency=_configuration.Consistency(self.consistency),
            timeout_s=self.timeout_s,
            target_s=self.target_s,
            priority=self.priority,
            max_staleness_s=self.max_staleness_s,
        )


@_peer_messages.message("ran")
@attrs.frozen(slots=True, repr=False)
class RunReply:
    """The result of a statement at a serving node.

    Attributes:
        state: The transaction state of the session.
        rows: The rows, as encoded by the member.
        proof: The member's execution token.
        reason: The name of the failure reason; empty for success.
        detail: The description of a failure.
        position_term: The term of the member's position.
        position_index: The index of that position; negative if there is none.
        member: The member that it was last sent to.
        at_replica: Whether that member was a replica.
        attempts: How often it was sent to a member.
        offered_after_s: Seconds from its arrival at the serving node until it
            was first sent to a member; negative if it was not sent.
        retry_after_s: The delay before a retry, in seconds; None if the reason
            implies it.
        keeps_place: Whether a caller that returns after it keeps its place.
    """

    state: str
    rows: list[str]
    proof: str
    reason: str
    detail: str
    position_term: int
    position_index: int
    member: str
    at_replica: bool
    attempts: int
    offered_after_s: float
    retry_after_s: float | None = None
    keeps_place: bool = False

    @classmethod
    def of(
        cls, reply: _links.Reply, progress: _requests.Progress, received: float
    ) -> "RunReply":
        """Returns the message for a reply.

        Args:
            reply: The reply.
            progress: The progress of the request at this node.
            received: When this node received it, in the clock's seconds.
        """
        position = reply.position
        offered = progress.offered_at
        return cls(
            state=reply.state.value,
            rows=list(reply.rows),
            proof=reply.proof,
            reason=reply.reason.name if reply.reason else "",
            detail=reply.detail,
            position_term=position.term if position else 0,
            position_index=position.index if position else NO_INDEX,
            member=progress.member,
            at_replica=progress.at_replica,
            attempts=progress.attempts,
            offered_after_s=offered - received if offered else NOT_OFFERED,
            retry_after_s=reply.retry_after_s,
            keeps_place=reply.keeps_place,
        )

    def reply(self) -> _links.Reply:
        """Returns the reply; for an unknown reason, the outcome is unknown."""
        reason = None
        if self.reason:
            reason = decisions.REASONS_BY_NAME.get(
                self.reason, decisions.STATEMENT_FAILED
            )
        return _links.Reply(
            state=_statements.TransactionState(self.state),
            rows=tuple(self.rows),
            proof=self.proof,
            reason=reason,
            detail=self.detail,
            position=_position(self.position_term, self.position_index),
            retry_after_s=self.retry_after_s,
            keeps_place=self.keeps_place,
        )

    def note_progress(
        self, progress: _requests.Progress, sent: float, via: str
    ) -> None:
        """Updates the entry node's progress record from this reply.

        Args:
            progress: The progress record of the request.
            sent: When it was sent to the serving node, in clock seconds.
            via: The name of the serving node.
        """
        progress.via = via
        progress.member = self.member
        progress.at_replica = self.at_replica
        progress.attempts += self.attempts
        if self.offered_after_s >= 0:
            progress.note_offered(sent + self.offered_after_s)


@_peer_messages.message("end")
@attrs.frozen(slots=True, repr=False)
class EndTransaction:
    """Ends a transaction, which is rolled back if it is still open.

    Attributes:
        transaction: The entry node's number of the transaction.
    """

    transaction: int


def _position(term: int, index: int) -> decisions.Position | None:
    return decisions.Position(term, index) if index >= 0 else None
