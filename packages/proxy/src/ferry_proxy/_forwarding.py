"""Statements of callers whose group other nodes serve.

An entry node sends each statement to a serving node, near ones first. What
did not run there may be sent to another one, while there is time.
"""

from collections.abc import Callable
from collections.abc import Mapping
import itertools
import typing

import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _forward_messages
from ferry_proxy import _links
from ferry_proxy import _peer_messages
from ferry_proxy import _peers
from ferry_proxy import _policy
from ferry_proxy import _records
from ferry_proxy import _requests
from ferry_proxy import _serving_plan
from ferry_proxy import _statements

ANSWER_MARGIN_S = 0.05  # The serving node's own verdict arrives first.
LOOK_AGAIN_S = 0.03  # A new stream is there after two network trips.

# What another serving node may do better: this one lacks the members, stops,
# or lost its own link.
ELSEWHERE = frozenset(
    {
        decisions.NO_PRIMARY,
        decisions.NO_CONNECTION,
        decisions.NO_SERVING_NODE,
        decisions.READ_CUT,
        decisions.STOPPING,
    }
)


class Stream(_peers.Peer, typing.Protocol):
    """What forwarding needs of a stream to a serving node.

    Attributes:
        services: The groups that the peer can serve well now.
        held: Transactions of this node that depend on the stream.
    """

    services: frozenset[str]
    held: int

    @property
    def closed(self) -> bool:
        """Whether the stream has ended."""

    @property
    def silence_s(self) -> float:
        """Seconds since the peer was heard."""

    @property
    def waiting(self) -> int:
        """Questions to the peer that have no answer yet."""


class Mesh(typing.Protocol):
    """The streams to other nodes."""

    @property
    def by_name(self) -> Mapping[str, Stream]:
        """The open streams by the names of the peers."""


class Forwarder:
    """Chooses the serving nodes of one entry node."""

    def __init__(
        self,
        clock: _clocks.Clock,
        policy: _policy.Policy,
        own: _records.NodeEntry,
        mesh: Mesh,
        plan: Callable[[str], _serving_plan.ServingPlan | None],
    ) -> None:
        self.clock = clock
        self.policy = policy
        self._own = own
        self._mesh = mesh
        self._plan = plan

    def is_served(self, service: str) -> bool:
        """Whether a peer that was heard lately serves a group well."""
        return any(
            service in s.services and self._is_heard(s)
            for s in self._streams(service)
        )

    def wanted(self, service: str) -> list[_records.NodeEntry]:
        """Returns the nodes to keep streams to: near ones, or all in need."""
        plan = self._plan(service)
        if plan is None or self._own.name in plan.nodes:
            return []
        near = plan.near(self._own.data_centre)
        streams = self._mesh.by_name
        for node in near:
            stream = streams.get(node.name)
            if stream is not None and service in stream.services:
                return near
        return list(plan.nodes.values())

    def choose(self, service: str, tried: set[str]) -> Stream | None:
        """Returns the stream to the best serving node.

        Args:
            service: The group.
            tried: Nodes to pass over.
        """
        streams = [s for s in self._streams(service) if s.peer not in tried]
        heard = [s for s in streams if self._is_heard(s)]
        well = [s for s in heard if service in s.services]
        plan = self._plan(service)
        if plan is None or not (well or heard):
            return None
        near = {n.name for n in plan.near(self._own.data_centre)}
        return min(
            well or heard,
            key=lambda s: (
                s.peer not in near,
                s.waiting,
                decisions.rendezvous_score(self._own.name, s.peer),
            ),
        )

    def _streams(self, service: str) -> list[Stream]:
        plan = self._plan(service)
        if plan is None:
            return []
        streams = self._mesh.by_name
        return [
            streams[n]
            for n in plan.nodes
            if n != self._own.name and n in streams
        ]

    def _is_heard(self, stream: Stream) -> bool:
        return stream.silence_s < self.policy.isolated_s


class RemoteRunner:
    """Runs one group's statements at its serving nodes."""

    def __init__(self, forwarder: Forwarder, service: str) -> None:
        self._forwarder = forwarder
        self._service = service

    def run(self, request: _requests.Request) -> "decisions.Flow[_links.Reply]":
        """Runs a statement; one that may have run is not sent twice."""
        search = Search(self._forwarder, self._service, request)
        lost = decisions.ANSWER_LOST if request.writes else decisions.READ_CUT
        while True:
            stream = yield from search.next()
            body = _forward_messages.RunRequest.of(
                request, self._forwarder.clock.now()
            )
            reply = yield from send(
                self._forwarder.clock, stream, body, request, lost
            )
            if not search.may_go_on(reply):
                return reply

    def begin(self, read_only: bool) -> "RemoteTransaction":
        """Returns a transaction at a serving node."""
        return RemoteTransaction(self._forwarder, self._service, read_only)


class Search:
    """The serving nodes that one request is sent to, one after another."""

    def __init__(
        self, forwarder: Forwarder, service: str, request: _requests.Request
    ) -> None:
        self._forwarder = forwarder
        self._service = service
        self._request = request
        self._tried: set[str] = set()
        self._hold_end = request.hold_until(forwarder.policy, False)

    def next(self) -> "decisions.Flow[Stream]":
        """Returns the next serving node; waits for a first one.

        Raises:
            decisions.RequestFailedError: None could be reached in time.
        """
        forwarder = self._forwarder
        while True:
            stream = forwarder.choose(self._service, self._tried)
            if stream is not None:
                self._tried.add(stream.peer)
                return stream
            if forwarder.clock.now() >= self._hold_end:
                raise decisions.RequestFailedError(decisions.NO_SERVING_NODE)
            yield decisions.sleep(forwarder.clock, LOOK_AGAIN_S)

    def may_go_on(self, reply: _links.Reply) -> bool:
        """Whether what a reply says did not run is sent to another node."""
        if reply.reason not in ELSEWHERE:
            return False
        if self._forwarder.clock.now() >= self._hold_end:
            return False
        return self._forwarder.choose(self._service, self._tried) is not None


def send(
    clock: _clocks.Clock,
    stream: Stream,
    body: _forward_messages.RunRequest,
    request: _requests.Request,
    lost: decisions.Reason,
) -> "decisions.Flow[_links.Reply]":
    """Sends a statement to a serving node and returns its reply.

    Args:
        clock: The clock.
        stream: The stream to the serving node.
        body: The message.
        request: What it is for; its progress is kept up to date.
        lost: The reason where no answer comes of what was sent.
    """
    sent = clock.now()
    limit = max(0.0, request.deadline - sent) + ANSWER_MARGIN_S
    request.progress.via = stream.peer
    try:
        answer: _peer_messages.Message = yield decisions.within(
            clock, limit, stream.call(body)
        )
    except decisions.TimeoutExpiredError:
        return _failed(lost, f"{stream.peer} did not answer in time")
    except _peers.PeerLostError as exc:
        reason = lost if exc.sent else _unsent(body)
        return _failed(reason, f"the stream to {stream.peer} ended")
    if not isinstance(answer, _forward_messages.RunReply):
        return _failed(lost, f"{stream.peer} sent another answer")
    answer.note_progress(request.progress, sent, stream.peer)
    return answer.reply()


def _unsent(body: _forward_messages.RunRequest) -> decisions.Reason:
    """Returns the reason for what never left this node."""
    if body.transaction and not body.begins:
        return decisions.TRANSACTION_LOST
    return decisions.NO_CONNECTION


def _failed(reason: decisions.Reason, detail: str) -> _links.Reply:
    idle = _statements.TransactionState.IDLE
    return _links.Reply(idle, reason=reason, detail=detail)


_numbers = itertools.count(1)


class RemoteTransaction:
    """A transaction that a serving node holds for this one."""

    def __init__(
        self, forwarder: Forwarder, service: str, read_only: bool
    ) -> None:
        self._forwarder = forwarder
        self._service = service
        self._read_only = read_only
        self._stream: Stream | None = None
        self._number = 0
        self._wrote = False
        self.failure: decisions.Reason | None = None
        self.used = forwarder.clock.now()

    @property
    def wrote(self) -> bool:
        """Whether it may have written something."""
        return self._wrote

    @property
    def holds_link(self) -> bool:
        """Whether a serving node holds it."""
        return self._stream is not None

    def run(self, request: _requests.Request) -> "decisions.Flow[_links.Reply]":
        """Runs a statement of it, its COMMIT included."""
        if self._stream is None:
            reply = yield from self._open(request)
        else:
            reply = yield from self._send(request, self._stream, False)
        self.used = self._forwarder.clock.now()
        if reply.reason is not None:
            self.fail(reply.reason)
        elif request.statement.kind is _statements.Kind.COMMIT:
            self._release()
        return reply

    def fail(self, reason: decisions.Reason) -> None:
        """Ends it at the serving node; the caller has yet to end it."""
        if self.failure is None:
            self.failure = reason
        self.roll_back()

    def roll_back(self) -> None:
        """Has the serving node roll it back."""
        stream = self._release()
        if stream is not None and not stream.closed:
            stream.tell(_forward_messages.EndTransaction(self._number))

    def _release(self) -> Stream | None:
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.held -= 1
        return stream

    def _open(
        self, request: _requests.Request
    ) -> "decisions.Flow[_links.Reply]":
        """Sends the first statement; what did not run may go elsewhere."""
        search = Search(self._forwarder, self._service, request)
        while True:
            stream = yield from search.next()
            self._number = next(_numbers)
            self._stream = stream
            stream.held += 1
            reply = yield from self._send(request, stream, True)
            if not search.may_go_on(reply):
                return reply
            self.roll_back()

    def _send(
        self, request: _requests.Request, stream: Stream, begins: bool
    ) -> "decisions.Flow[_links.Reply]":
        if request.writes:
            self._wrote = True
        is_commit = request.statement.kind is _statements.Kind.COMMIT
        unsure = is_commit and self._wrote
        # A stream that ends makes the serving node roll back.
        lost = decisions.ANSWER_LOST if unsure else decisions.TRANSACTION_LOST
        body = _forward_messages.RunRequest.of(
            request,
            self._forwarder.clock.now(),
            self._number,
            begins,
            self._read_only,
        )
        return (
            yield from send(self._forwarder.clock, stream, body, request, lost)
        )
