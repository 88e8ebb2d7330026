"""The entry side: sends a caller's batch to the node that serves the member.

What was handed over is never repeated, unless a replica ran it. What was
proved not to have run is tried elsewhere until the caller's deadline.
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

MAX_HELD = 2_000
FIRST_BACKOFF_S = 0.01
LAST_BACKOFF_S = 0.25
RETRY_SHARE = 0.1
RETRY_BURST = 20.0
FLOOR_TIMEOUT_S = 0.05
GIVE_UP_S = 0.15

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


Routed = tuple[_messages.ExecuteReply, _targets.Target | None]
"""A reply, and the member that gave it."""


class PeerCalls(typing.Protocol):
    """Reaches other nodes."""

    def call(
        self,
        node: decisions.Node,
        message: _messages.Message,
        on_part: Callable[[bytes], object] | None = None,
    ) -> "decisions.Future[typing.Any]":
        """Sends a request; fails with `PeerLostError`."""

    def check(self, node: decisions.Node) -> "decisions.Future[None]":
        """Tells whether a node shows life; fails with `PeerLostError`."""

    def tell(self, node: decisions.Node, message: _messages.Message) -> None:
        """Sends a one-way message."""


@attrs.frozen(slots=True)
class EntryContext:
    """What the entry side needs from its node.

    Attributes:
        timers: The timer service.
        cfg: The node's settings.
        peers: Streams to the other nodes.
        nodes: Returns the nodes that are live.
        database: Returns a database's description.
        record: Returns a database's record.
        leaving: Returns the endpoints, as `host:port`, that are leaving.
        execute: Runs a request at this node.
        drop: Rolls back an open transaction at this node.
        cancel: Stops a batch at this node.
        position: Proves a primary's position at this node.
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
    """Finds a member for each batch, and tries again where that is safe."""

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
        self._sent: dict[int, decisions.Node] = {}
        self._held: dict[str, set[decisions.Future[None]]] = (
            collections.defaultdict(set)
        )
        self._under_way: dict[
            str, set[decisions.Future[_messages.ExecuteReply]]
        ] = collections.defaultdict(set)
        self.reads_by_replicas = 0
        self.reads_by_primary = 0

    def run(
        self,
        req: _messages.ExecuteRequest,
        since_write_s: float,
        on_part: Callable[[bytes], object],
    ) -> "decisions.Future[Routed]":
        """Runs a batch that belongs to no open transaction.

        Args:
            req: The request; its member is chosen here. With `read` it may
                go to a replica.
            since_write_s: Seconds since its session last wrote.
            on_part: Gets the parts of a long answer.
        """
        return decisions.start(self._run(req, since_write_s, on_part))

    def send(
        self,
        node: decisions.Node,
        req: _messages.ExecuteRequest,
        on_part: Callable[[bytes], object],
    ) -> "decisions.Future[_messages.ExecuteReply]":
        """Sends a request to one node; a lost stream becomes a reply."""
        self._sent[req.cancel_key] = node
        if node.name == self._ctx.cfg.node:
            fut = self._ctx.execute(req, on_part)
        else:
            fut = decisions.start(self._send(node, req, on_part))
        fut.add_done_callback(lambda _: self._sent.pop(req.cancel_key, None))
        return fut

    def find_floor(
        self, database: str, session: str
    ) -> "decisions.Future[decisions.Position | None]":
        """Returns a floor that covers all writes of a session.

        None where the primary could not be asked within the bound.
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
        shown: decisions.Position,
        floor: decisions.Position,
    ) -> bool:
        """Whether a position shows all below a floor, as far as is known."""
        record = self._ctx.record(database)
        history = record.history if record else decisions.History()
        return decisions.satisfies(shown, floor, history)

    def note_record(self, database: str) -> None:
        """Takes in that a database's record has changed.

        What was held for the change goes on at once. What is still under way
        at the former primary's serving node is given up after a short while:
        a node that can be reached answers in that time by itself.
        """
        for held in list(self._held[database]):
            decisions.resolve(held, None)
        late = list(self._under_way[database])
        lost = _peers.PeerLostError("the primary was replaced", was_sent=True)
        self._ctx.timers.after(
            GIVE_UP_S, lambda: [decisions.reject(f, lost) for f in late]
        )

    def cancel(self, cancel_key: int) -> None:
        """Asks the node that was last sent a batch to stop it."""
        node = self._sent.get(cancel_key)
        if node is None:
            return
        if node.name == self._ctx.cfg.node:
            self._ctx.cancel(cancel_key)
        else:
            self._ctx.peers.tell(node, _messages.CancelBatch(cancel_key))

    def drop(self, target: _targets.Target, channel: int) -> None:
        """Rolls back a transaction whose caller is gone."""
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
                self._under_way[req.database].add(fut)
            reply = yield fut
        except _peers.PeerLostError as exc:
            return _messages.ExecuteReply(
                reason=_reason_of_loss(req, exc).name, detail=str(exc)
            )
        finally:
            self._under_way[req.database].discard(fut)
        return typing.cast(_messages.ExecuteReply, reply)

    def _run(
        self,
        req: _messages.ExecuteRequest,
        since_write_s: float,
        on_part: Callable[[bytes], object],
    ) -> "decisions.Flow[Routed]":
        timers = self._ctx.timers
        deadline = timers.now() + req.budget_s
        budget = self._budgets[req.database]
        budget.note_first_attempt()
        streamed = False

        def part(data: bytes) -> None:
            nonlocal streamed
            streamed = True
            on_part(data)

        tried = 0
        reply = _messages.ExecuteReply(reason=decisions.NO_SERVING_NODE.name)
        target: _targets.Target | None = None
        while True:
            for target in self._targets.order(req, since_write_s, tried):
                left = deadline - timers.now()
                if left <= 0:
                    break
                reply = yield self.send(
                    target.node, _addressed(req, target, left), part
                )
                if reply.reason not in TRY_ELSEWHERE or streamed:
                    break
                self._targets.note_behind(req.database, target, reply)
            done = not reply.reason or streamed
            if done or reply.reason not in WAIT_FOR_CHANGE:
                break
            tried += 1
            if not (
                yield from self._pause(req.database, budget, tried, deadline)
            ):
                break
        self._count(req, target, reply)
        return reply, target

    def _pause(
        self,
        database: str,
        budget: decisions.RetryBudget,
        tried: int,
        deadline: float,
    ) -> "decisions.Flow[bool]":
        """Holds a batch before its next try; returns whether it may go on.

        A new record ends the pause at once.

        Nothing of it was handed over, so trying again costs the endpoint
        nothing; the budget keeps the load between nodes in bounds.
        """
        if len(self._held[database]) >= MAX_HELD:
            return False
        pause = decisions.backoff(
            tried, FIRST_BACKOFF_S, LAST_BACKOFF_S, self._random
        )
        if not budget.take():
            pause = LAST_BACKOFF_S
        if self._ctx.timers.now() + pause >= deadline:
            return False
        changed: decisions.Future[None] = decisions.sleep(
            self._ctx.timers, pause
        )
        self._held[database].add(changed)
        yield changed
        self._held[database].discard(changed)
        return True

    def _count(
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


def _addressed(
    req: _messages.ExecuteRequest, target: _targets.Target, left: float
) -> _messages.ExecuteRequest:
    return attrs.evolve(
        req, member=target.member, as_primary=target.primary, budget_s=left
    )


def _reason_of_loss(
    req: _messages.ExecuteRequest, exc: _peers.PeerLostError
) -> decisions.Reason:
    """Returns what a lost stream to a serving node means for a request."""
    if not exc.was_sent:
        return decisions.NO_SERVING_NODE
    if (req.begin or req.channel) and not req.may_end:
        return decisions.TRANSACTION_LOST
    if req.read and not req.as_primary:
        return decisions.READ_CUT
    return decisions.ANSWER_LOST
