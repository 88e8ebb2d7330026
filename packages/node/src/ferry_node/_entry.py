"""Routes a caller's batch to the node that serves the chosen member.

A batch that may have reached the primary is never sent again. A read that a
replica ran may be repeated, and a batch that provably did not run is retried
on other members until the caller's deadline.
"""

import collections
from collections.abc import Callable
import random
import typing

import attrs
import ferry_decisions as decisions

from ferry_node import _messages
from ferry_node import _peers
from ferry_node import _settings
from ferry_node import _targets

# Batches per database that may wait for a retry; further ones fail at once.
MAX_PAUSED_BATCHES = 2_000
MIN_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.25
# Retry budget of a database: the retries that each first attempt earns, and
# the most that can be saved up.
RETRY_SHARE = 0.1
RETRY_BURST = 20.0
FLOOR_TIMEOUT_S = 0.05
# After a primary was replaced, requests to its former serving node fail after
# this time. A node that can be reached answers within it by itself.
REPLACED_PRIMARY_GRACE_S = 0.15

# Reasons after which the next member is tried at once.
TRY_ELSEWHERE = frozenset(
    {
        decisions.BEHIND.name,
        decisions.READ_CUT.name,
        decisions.NO_CONNECTION.name,
        decisions.NO_SERVING_NODE.name,
        decisions.STOPPING.name,
        decisions.TERM_CHANGED.name,
    }
)
# Reasons after which a batch is retried after a pause, or as soon as the
# database's record changes.
WAIT_FOR_CHANGE = frozenset(
    {
        decisions.TERM_CHANGED.name,
        decisions.NO_PRIMARY.name,
        decisions.NO_CONNECTION.name,
        decisions.NO_SERVING_NODE.name,
        decisions.STOPPING.name,
    }
)

LocalExecute = Callable[
    [_messages.ExecuteRequest, Callable[[bytes], object] | None],
    "decisions.Future[_messages.ExecuteReply]",
]


RoutedReply = tuple[_messages.ExecuteReply, _targets.Target | None]
"""A reply, and the last target that was tried; None if there was none."""


class PeerCalls(typing.Protocol):
    """Sends messages to other nodes."""

    def call(
        self,
        node: decisions.Node,
        message: _messages.Message,
        on_part: Callable[[bytes], object] | None = None,
    ) -> "decisions.Future[typing.Any]":
        """Sends a request; its future fails with `PeerLostError`."""

    def check(self, node: decisions.Node) -> "decisions.Future[None]":
        """Checks that a node responds; fails with `PeerLostError` if not."""

    def tell(self, node: decisions.Node, message: _messages.Message) -> None:
        """Sends a one-way message."""


@attrs.frozen(slots=True)
class EntryContext:
    """Dependencies that the dispatcher gets from its node.

    Attributes:
        timers: The timer service.
        cfg: The node's settings.
        peers: Streams to the other nodes.
        nodes: Returns the live nodes.
        database: Returns a database's description.
        record: Returns a database's record.
        leaving: Returns the endpoints, as `host:port`, that are about to be
            removed.
        execute: Runs a request at this node.
        drop: Rolls back an open transaction at this node.
        cancel: Cancels a batch that runs at this node.
        position: Returns the proved position of a primary that this node
            serves.
    """

    timers: decisions.TimerService
    cfg: _settings.Settings
    peers: PeerCalls
    nodes: Callable[[], tuple[decisions.Node, ...]]
    database: Callable[[str], decisions.Database | None]
    record: Callable[[str], decisions.Record | None]
    leaving: Callable[[], frozenset[str]]
    execute: LocalExecute
    drop: Callable[[int], object]
    cancel: Callable[[int], object]
    position: Callable[
        [_messages.PositionRequest],
        "decisions.Future[_messages.PositionReply]",
    ]


class Dispatcher:
    """Chooses a member for each batch and retries where that is safe."""

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx
        self._targets = _targets.Targets(
            ctx.timers,
            ctx.cfg,
            ctx.nodes,
            ctx.database,
            ctx.record,
            ctx.leaving,
        )
        self._budgets: dict[str, decisions.RetryBudget] = (
            collections.defaultdict(
                lambda: decisions.RetryBudget(RETRY_SHARE, RETRY_BURST)
            )
        )
        self._random = random.Random(ctx.cfg.node)
        self._node_by_cancel_key: dict[int, decisions.Node] = {}
        self._paused: dict[str, set[decisions.Future[None]]] = (
            collections.defaultdict(set)
        )
        self._primary_requests: dict[
            str, set[decisions.Future[_messages.ExecuteReply]]
        ] = collections.defaultdict(set)
        self.reads_by_replicas = 0
        self.reads_by_primary = 0

    def run(
        self,
        req: _messages.ExecuteRequest,
        since_write_s: float,
        on_part: Callable[[bytes], object],
    ) -> "decisions.Future[RoutedReply]":
        """Runs a batch that belongs to no open transaction.

        Args:
            req: The request without its member, which is chosen here. If
                `read` is set, it may go to a replica.
            since_write_s: Seconds since its session last wrote.
            on_part: Called with each part of a long answer.

        Returns:
            A future of the reply and the last target that was tried.
        """
        return decisions.start(self._run(req, since_write_s, on_part))

    def send(
        self,
        node: decisions.Node,
        req: _messages.ExecuteRequest,
        on_part: Callable[[bytes], object],
    ) -> "decisions.Future[_messages.ExecuteReply]":
        """Sends a request to one node; a lost stream becomes a reply."""
        self._node_by_cancel_key[req.cancel_key] = node
        if node.name == self._ctx.cfg.node:
            fut = self._ctx.execute(req, on_part)
        else:
            fut = decisions.start(self._send(node, req, on_part))
        fut.add_done_callback(
            lambda _: self._node_by_cancel_key.pop(req.cancel_key, None)
        )
        return fut

    def find_floor(
        self, database: str, session: str
    ) -> "decisions.Future[decisions.Position | None]":
        """Returns a position that covers all writes of a session.

        The result is None if the primary could not be asked within
        `FLOOR_TIMEOUT_S`.
        """
        return decisions.start(self._find_floor(database, session))

    def _find_floor(
        self, database: str, session: str
    ) -> "decisions.Flow[decisions.Position | None]":
        record = self._ctx.record(database)
        if record is None or not record.primary:
            return None
        request = _messages.PositionRequest(database, record.primary, session)
        target = self._targets.find_target(database, record, record.primary)
        if target is None:
            return None
        if target.node.name == self._ctx.cfg.node:
            fut = self._ctx.position(request)
        else:
            fut = self._ctx.peers.call(target.node, request)
        try:
            reply = yield decisions.with_timeout(
                self._ctx.timers, FLOOR_TIMEOUT_S, fut
            )
        except (decisions.TimeoutExpiredError, _peers.PeerLostError):
            return None
        if not reply.position:
            return None
        return decisions.Position.from_text(reply.position)

    def satisfies(
        self,
        database: str,
        answer_position: decisions.Position,
        floor: decisions.Position,
    ) -> bool:
        """Whether a position includes a floor, by the known term history."""
        record = self._ctx.record(database)
        history = record.history if record else decisions.History()
        return decisions.satisfies(answer_position, floor, history)

    def note_record(self, database: str) -> None:
        """Reacts to a change of a database's record.

        Paused batches are retried at once. Requests to the node that served
        the former primary fail after `REPLACED_PRIMARY_GRACE_S`: a node that
        can be reached answers within that time by itself.
        """
        for paused in list(self._paused[database]):
            decisions.resolve(paused, None)
        outstanding = list(self._primary_requests[database])
        lost = _peers.PeerLostError("the primary was replaced", was_sent=True)
        self._ctx.timers.after(
            REPLACED_PRIMARY_GRACE_S,
            lambda: [decisions.reject(f, lost) for f in outstanding],
        )

    def cancel(self, cancel_key: int) -> None:
        """Asks the node that a batch was last sent to to cancel it."""
        node = self._node_by_cancel_key.get(cancel_key)
        if node is None:
            return
        if node.name == self._ctx.cfg.node:
            self._ctx.cancel(cancel_key)
        else:
            self._ctx.peers.tell(node, _messages.CancelBatch(cancel_key))

    def drop(self, target: _targets.Target, channel: int) -> None:
        """Rolls back a transaction whose caller has disconnected."""
        if target.node.name == self._ctx.cfg.node:
            self._ctx.drop(channel)
            return
        self._ctx.peers.tell(target.node, _messages.CloseChannel(channel))

    def _send(
        self,
        node: decisions.Node,
        req: _messages.ExecuteRequest,
        on_part: Callable[[bytes], object],
    ) -> "decisions.Flow[_messages.ExecuteReply]":
        fut: decisions.Future[_messages.ExecuteReply] = decisions.Future()
        try:
            if not req.read:
                yield self._ctx.peers.check(node)
            decisions.forward(self._ctx.peers.call(node, req, on_part), fut)
            if req.as_primary:
                self._primary_requests[req.database].add(fut)
            reply = yield fut
        except _peers.PeerLostError as exc:
            return _messages.ExecuteReply(
                reason=_reason_for_lost_stream(req, exc).name, detail=str(exc)
            )
        finally:
            self._primary_requests[req.database].discard(fut)
        return typing.cast(_messages.ExecuteReply, reply)

    def _run(
        self,
        req: _messages.ExecuteRequest,
        since_write_s: float,
        on_part: Callable[[bytes], object],
    ) -> "decisions.Flow[RoutedReply]":
        timers = self._ctx.timers
        deadline = timers.now() + req.budget_s
        budget = self._budgets[req.database]
        budget.note_first_attempt()
        streamed = False

        def part(data: bytes) -> None:
            nonlocal streamed
            streamed = True
            on_part(data)

        rounds = 0
        reply = _messages.ExecuteReply(reason=decisions.NO_SERVING_NODE.name)
        target: _targets.Target | None = None
        while True:
            for target in self._targets.order(req, since_write_s, rounds):
                remaining_s = deadline - timers.now()
                if remaining_s <= 0:
                    break
                reply = yield self.send(
                    target.node,
                    _request_for_target(req, target, remaining_s),
                    part,
                )
                if reply.reason not in TRY_ELSEWHERE or streamed:
                    break
                self._targets.note_behind(req.database, target, reply)
            done = not reply.reason or streamed
            if done or reply.reason not in WAIT_FOR_CHANGE:
                break
            rounds += 1
            if not (
                yield from self._pause(req.database, budget, rounds, deadline)
            ):
                break
        self._count_read(req, target, reply)
        return reply, target

    def _pause(
        self,
        database: str,
        budget: decisions.RetryBudget,
        rounds: int,
        deadline: float,
    ) -> "decisions.Flow[bool]":
        """Waits before a retry; returns whether the batch may be retried.

        A change of the database's record ends the pause at once. The batch
        was not sent to an endpoint, so a retry adds no load there; the retry
        budget limits the load between the nodes.
        """
        if len(self._paused[database]) >= MAX_PAUSED_BATCHES:
            return False
        pause = decisions.backoff(
            rounds, MIN_BACKOFF_S, MAX_BACKOFF_S, self._random
        )
        if not budget.take():
            pause = MAX_BACKOFF_S
        if self._ctx.timers.now() + pause >= deadline:
            return False
        changed: decisions.Future[None] = decisions.sleep(
            self._ctx.timers, pause
        )
        self._paused[database].add(changed)
        yield changed
        self._paused[database].discard(changed)
        return True

    def _count_read(
        self,
        req: _messages.ExecuteRequest,
        target: _targets.Target | None,
        reply: _messages.ExecuteReply,
    ) -> None:
        if not req.read or reply.reason or target is None:
            return
        if target.primary:
            self.reads_by_primary += 1
        else:
            self.reads_by_replicas += 1


def _request_for_target(
    req: _messages.ExecuteRequest, target: _targets.Target, remaining_s: float
) -> _messages.ExecuteRequest:
    return attrs.evolve(
        req,
        member=target.member,
        as_primary=target.primary,
        budget_s=remaining_s,
    )


def _reason_for_lost_stream(
    req: _messages.ExecuteRequest, exc: _peers.PeerLostError
) -> decisions.Reason:
    """Returns the reason to report when the stream to a node was lost."""
    if not exc.was_sent:
        return decisions.NO_SERVING_NODE
    if (req.begin or req.channel) and not req.may_end:
        return decisions.TRANSACTION_LOST
    if req.read and not req.as_primary:
        return decisions.READ_CUT
    return decisions.ANSWER_LOST
