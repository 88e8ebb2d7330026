"""Forwarding of statements to the nodes that serve their group.

An entry node sends each statement to a serving node, preferring nearby ones. A
statement that did not run there may be sent to another node within its time
limit.
"""

import itertools

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _forward_messages
from ferry_proxy import _forwarder
from ferry_proxy import _links
from ferry_proxy import _peer_messages
from ferry_proxy import _peers
from ferry_proxy import _requests
from ferry_proxy import _statements

# This is added to a statement's time limit, so that the serving node's own
# reply on a timeout arrives first.
ANSWER_MARGIN_S = 0.05
# The interval for checking for a new stream, which takes two network trips.
STREAM_POLL_S = 0.03
# A request without a serving node waits this long after streams to all serving
# nodes were requested; one not open by then will not open. When statements were
# refused at once, 470 failed within 1.4 s of a partition because no node served
# them, and callers used up all their retries.
STREAM_OPEN_WAIT_S = 0.15
# The shortest interval between two checks for a silent peer.
MIN_SILENCE_POLL_S = 0.01

# Failures after which another serving node may succeed: this one cannot reach
# the members, is stopping or lost its own link.
RETRY_ELSEWHERE = frozenset(
    {
        decisions.NO_PRIMARY,
        decisions.NO_CONNECTION,
        decisions.NO_SERVING_NODE,
        decisions.READ_CUT,
        decisions.STOPPING,
    }
)


# Reasons reported for a lost reply when the statement has no lasting effect: a
# read is sent elsewhere, and a transaction without a COMMIT is rolled back.
SAFE_TO_ABANDON = frozenset({decisions.READ_CUT, decisions.TRANSACTION_LOST})


class RemoteRunner:
    """Runs the statements of one group at its serving nodes."""

    def __init__(self, forwarder: _forwarder.Forwarder, service: str) -> None:
        self._forwarder = forwarder
        self._service = service

    def run(self, request: _requests.Request) -> "decisions.Flow[_links.Reply]":
        """Runs a statement; a write that may have run is not sent again."""
        search = Search(self._forwarder, self._service, request)
        lost = decisions.ANSWER_LOST if request.writes else decisions.READ_CUT
        reply: _links.Reply | None = None
        while reply is None or search.may_try_another(reply):
            try:
                stream = yield from search.next()
            except decisions.RequestFailedError:
                if reply is None:
                    raise
                return reply  # The failure at the last node still holds.
            body = _forward_messages.RunRequest.of(
                request, self._forwarder.clock.now()
            )
            reply = yield from send(
                self._forwarder, stream, body, request, lost
            )
        return reply

    def begin(self, read_only: bool) -> "RemoteTransaction":
        """Returns a transaction at a serving node."""
        return RemoteTransaction(self._forwarder, self._service, read_only)


class Search:
    """Selects the serving nodes for one request, one after another."""

    def __init__(
        self,
        forwarder: _forwarder.Forwarder,
        service: str,
        request: _requests.Request,
        needs_primary: bool = False,
    ) -> None:
        """Creates a search.

        Args:
            forwarder: Chooses the nodes.
            service: The group.
            request: The request.
            needs_primary: Whether it belongs to a transaction that writes.
        """
        self._forwarder = forwarder
        self._service = service
        self._request = request
        self._needs_primary = needs_primary
        self._tried: set[str] = set()
        self._hold_end = request.hold_until(forwarder.policy, False)
        self._has_opened_streams = False

    def next(self) -> "decisions.Flow[_forwarder.Stream]":
        """Returns the stream to the next serving node, waiting for one.

        Raises:
            decisions.RequestFailedError: No node could be reached in time, or
                all that are told a wait that is too long.
        """
        forwarder = self._forwarder
        if not self._tried:
            self._refuse_if_late()
        while True:
            stream = self._choose()
            if stream is not None:
                self._tried.add(stream.peer)
                return stream
            if not self._has_opened_streams:
                self._open_streams()
            if forwarder.clock.now() >= self._hold_end:
                raise decisions.RequestFailedError(decisions.NO_SERVING_NODE)
            yield decisions.sleep(forwarder.clock, STREAM_POLL_S)

    def may_try_another(self, reply: _links.Reply) -> bool:
        """Whether to send the request to another node after this reply."""
        if reply.reason not in RETRY_ELSEWHERE:
            return False
        end = self._hold_end
        if reply.reason is decisions.READ_CUT:
            end = self._request.retry_until
        if self._forwarder.clock.now() >= end:
            return False
        if not self._has_opened_streams:
            return True
        return self._choose() is not None

    def _choose(self) -> _forwarder.Stream | None:
        return self._forwarder.choose(self._service, self._tried, self._need)

    @property
    def _need(self) -> _forwarder.Need:
        now = self._forwarder.clock.now()
        hold_s = self._request.hold_until(self._forwarder.policy, False) - now
        return _forwarder.Need.of(self._request, self._needs_primary, hold_s)

    def _refuse_if_late(self) -> None:
        """Refuses a request that no serving node can run in time.

        Raises:
            decisions.RequestFailedError: All of them told too long a wait.
        """
        latest = self._forwarder.admitted_until(self._request)
        allowed_s = latest - self._forwarder.clock.now()
        need = attrs.evolve(self._need, allowed_s=allowed_s)
        wait_s = self._forwarder.late_wait_s(self._service, need)
        if wait_s is not None:
            self._forwarder.loads.refusals += 1
            raise decisions.RequestFailedError(
                decisions.OVERLOADED, "at all serving nodes", wait_s
            )

    def _open_streams(self) -> None:
        """Opens streams to the wanted serving nodes, once per request."""
        self._has_opened_streams = True
        self._forwarder.open_streams()
        seek_end = self._forwarder.clock.now() + STREAM_OPEN_WAIT_S
        self._hold_end = max(
            self._hold_end, min(self._request.deadline, seek_end)
        )


def send(
    forwarder: _forwarder.Forwarder,
    stream: _forwarder.Stream,
    body: _forward_messages.RunRequest,
    request: _requests.Request,
    lost: decisions.Reason,
) -> "decisions.Flow[_links.Reply]":
    """Sends a statement to a serving node and returns its reply.

    Args:
        forwarder: The forwarder, which learns the node's load.
        stream: The stream to the serving node.
        body: The message.
        request: The request; its progress is updated.
        lost: The reason to report if the message was sent but not answered.

    Raises:
        decisions.RequestFailedError: Nobody waits for the statement any more.
    """
    if request.progress.is_abandoned:
        raise decisions.RequestFailedError(decisions.CANCELED)
    clock = forwarder.clock
    sent = clock.now()
    limit = max(0.0, request.deadline - sent) + ANSWER_MARGIN_S
    request.progress.via = stream.peer
    fut = stream.call(body)
    forwarder.loads.note_sent(stream, body.service)
    if lost in SAFE_TO_ABANDON:
        fut = decisions.start(_fail_if_silent(clock, stream, fut))
    try:
        answer: _peer_messages.Message = yield decisions.with_timeout(
            clock, limit, fut
        )
    except decisions.TimeoutExpiredError:
        return _failed(lost, f"{stream.peer} did not answer in time")
    except _peers.PeerLostError as exc:
        reason = lost if exc.sent else _unsent_reason(body)
        return _failed(reason, f"{stream.peer} is lost: {exc}")
    if not isinstance(answer, _forward_messages.RunReply):
        return _failed(lost, f"{stream.peer} sent another answer")
    answer.note_progress(request.progress, sent, stream.peer)
    reply = answer.reply()
    forwarder.loads.note(stream, body.service, answer.load)
    if reply.reason is decisions.OVERLOADED:
        held_s = request.hold_until(forwarder.policy, False) - sent
        forwarder.loads.note_refusal(
            stream, body.service, body.needs_primary, max(0.0, held_s)
        )
    return reply


def _fail_if_silent(
    clock: _clocks.Clock,
    stream: _forwarder.Stream,
    fut: "decisions.Future[_peer_messages.Message]",
) -> "decisions.Flow[_peer_messages.Message]":
    """Waits for a reply while the peer keeps sending messages.

    Raises:
        PeerLostError: The peer stopped responding; a read may be sent to
            another node.
    """
    while not fut.done():
        left_s = max(
            MIN_SILENCE_POLL_S, _forwarder.SILENT_PEER_S - stream.unresponsive_s
        )
        pause = decisions.sleep(clock, left_s)
        yield decisions.first_completed(decisions.settled(fut), pause)
        if not fut.done() and stream.unresponsive_s >= _forwarder.SILENT_PEER_S:
            raise _peers.PeerLostError(f"{stream.peer} is silent")
    return fut.result()


def _unsent_reason(body: _forward_messages.RunRequest) -> decisions.Reason:
    """Returns the failure reason for a message that was not sent."""
    if body.transaction and not body.begins:
        return decisions.TRANSACTION_LOST
    return decisions.NO_CONNECTION


def _failed(reason: decisions.Reason, detail: str) -> _links.Reply:
    idle = _statements.TransactionState.IDLE
    return _links.Reply(idle, reason=reason, detail=detail)


_numbers = itertools.count(1)


class RemoteTransaction:
    """A transaction that a serving node runs for this node.

    Attributes:
        failure: Why the transaction failed; None while it has not.
        last_used_at: When it last ran a statement, in the clock's seconds.
    """

    def __init__(
        self, forwarder: _forwarder.Forwarder, service: str, read_only: bool
    ) -> None:
        self._forwarder = forwarder
        self._service = service
        self._read_only = read_only
        self._stream: _forwarder.Stream | None = None
        self._number = 0
        self._wrote = False
        self.failure: decisions.Reason | None = None
        self.last_used_at = forwarder.clock.now()

    @property
    def wrote(self) -> bool:
        """Whether it may have written something."""
        return self._wrote

    @property
    def holds_link(self) -> bool:
        """Whether the transaction is open at a serving node."""
        return self._stream is not None

    def run(self, request: _requests.Request) -> "decisions.Flow[_links.Reply]":
        """Runs a statement of the transaction, COMMIT included."""
        if self._stream is None:
            reply = yield from self._open(request)
        else:
            reply = yield from self._send(request, self._stream, False)
        self.last_used_at = self._forwarder.clock.now()
        if reply.reason is not None:
            self.fail(reply.reason)
        elif request.statement.kind is _statements.Kind.COMMIT:
            self._release()
        return reply

    def fail(self, reason: decisions.Reason) -> None:
        """Rolls it back at the serving node; the caller must still end it."""
        if self.failure is None:
            self.failure = reason
        self.roll_back()

    def roll_back(self) -> None:
        """Tells the serving node to roll it back."""
        stream = self._release()
        if stream is not None and not stream.closed:
            stream.tell(_forward_messages.EndTransaction(self._number))

    def _release(self) -> _forwarder.Stream | None:
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.open_transactions -= 1
        return stream

    def _open(
        self, request: _requests.Request
    ) -> "decisions.Flow[_links.Reply]":
        """Sends the first statement, trying other nodes if it did not run."""
        search = Search(
            self._forwarder, self._service, request, not self._read_only
        )
        reply: _links.Reply | None = None
        while True:
            try:
                stream = yield from search.next()
            except decisions.RequestFailedError:
                if reply is None:
                    raise
                return reply  # The failure at the last node still holds.
            self._number = next(_numbers)
            self._stream = stream
            stream.open_transactions += 1
            reply = yield from self._send(request, stream, True)
            if not search.may_try_another(reply):
                return reply
            self.roll_back()

    def _send(
        self,
        request: _requests.Request,
        stream: _forwarder.Stream,
        begins: bool,
    ) -> "decisions.Flow[_links.Reply]":
        if request.writes:
            self._wrote = True
        is_commit = request.statement.kind is _statements.Kind.COMMIT
        may_have_committed = is_commit and self._wrote
        # The serving node rolls back when the stream ends.
        lost = (
            decisions.ANSWER_LOST
            if may_have_committed
            else decisions.TRANSACTION_LOST
        )
        body = _forward_messages.RunRequest.of(
            request,
            self._forwarder.clock.now(),
            self._number,
            begins,
            self._read_only,
        )
        return (yield from send(self._forwarder, stream, body, request, lost))
