"""Handlers for the messages of other nodes, one for each message type."""

from collections.abc import Callable
import math
import typing

import attrs
import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _clocks
from ferry_proxy import _followers
from ferry_proxy import _forward_messages
from ferry_proxy import _members
from ferry_proxy import _opinion_messages
from ferry_proxy import _opinions
from ferry_proxy import _peer_messages
from ferry_proxy import _peers
from ferry_proxy import _rate_limiter
from ferry_proxy import _reachability
from ferry_proxy import _served_groups
from ferry_proxy import _serving
from ferry_proxy.queueing import _demand_messages

M = typing.TypeVar("M", bound=_peer_messages.Message)
Answer = "_peer_messages.Message | decisions.Future[typing.Any] | None"
Handler = Callable[
    ["PeerMessageHandler", _peers.PeerStream, typing.Any], typing.Any
]
_handlers: dict[type[typing.Any], Handler] = {}


def _handles(body: type[M]) -> Callable[[Handler], Handler]:
    """Returns a decorator that registers the handler of a message type."""

    def register(handler: Handler) -> Handler:
        _handlers[body] = handler
        return handler

    return register


class PeerMessageHandler:
    """Dispatches the messages of other nodes to their handlers."""

    def __init__(
        self,
        clock: _clocks.Clock,
        catalogue: _catalogue.Catalogue,
        follower: _followers.Follower,
        groups: _served_groups.ServedGroups,
        serving: _serving.Serving,
        reach: _reachability.Reachability,
        rate_limiter: _rate_limiter.RateLimiter,
    ) -> None:
        self.clock = clock
        self.catalogue = catalogue
        self.follower = follower
        self.groups = groups
        self.serving = serving
        self.reach = reach
        self.rate_limiter = rate_limiter

    def describe(self) -> _peer_messages.Ping:
        """Returns this node's current state for its peers."""
        servable = [n for n in self.groups.groups if self.groups.can_serve(n)]
        age_s = self.follower.copy_age.seconds
        covered = self.catalogue.covered
        return _peer_messages.Ping(
            covered.era,
            covered.number,
            self.catalogue.version,
            age_s if math.isfinite(age_s) else -1.0,
            sorted(servable),
            self.reach.missed,
        )

    def answer(
        self, stream: _peers.PeerStream, body: _peer_messages.Message
    ) -> "_peer_messages.Message | decisions.Future[typing.Any] | None":
        """Handles a message.

        Returns:
            The reply, a future of it, or None for a message without a reply.
        """
        handler = _handlers.get(type(body))
        return None if handler is None else handler(self, stream, body)

    def forget(self, stream: _peers.PeerStream) -> None:
        """Releases what is kept for a stream that has ended."""
        self.serving.forget(stream)


@_handles(_peer_messages.SyncRequest)
def _handle_sync(
    node: PeerMessageHandler,
    _: _peers.PeerStream,
    body: _peer_messages.SyncRequest,
) -> _peer_messages.SyncReply:
    batch = node.catalogue.batch_after(body.revision, body.version)
    return _peer_messages.SyncReply.of(batch)


@_handles(_peer_messages.SurveyRequest)
def _handle_survey(
    node: PeerMessageHandler,
    _: _peers.PeerStream,
    body: _peer_messages.SurveyRequest,
) -> _peer_messages.SurveyReply:
    served = node.groups.find(body.service)
    if served is None:
        return _peer_messages.NO_SURVEY
    return served.surveys.answer(served.group, body.departures)


@_handles(_opinion_messages.OpinionRequest)
def _handle_opinion(
    node: PeerMessageHandler,
    _: _peers.PeerStream,
    body: _opinion_messages.OpinionRequest,
) -> _opinion_messages.OpinionReply:
    served = node.groups.find(body.service)
    if served is None:
        return _opinion_messages.OpinionReply(-1.0)
    return _opinions.opinion_of(node.clock, served.group, body)


@_handles(_peer_messages.LeaderNotice)
def _handle_leader_notice(
    node: PeerMessageHandler,
    _: _peers.PeerStream,
    body: _peer_messages.LeaderNotice,
) -> None:
    served = node.groups.find(body.service)
    if served is not None:
        served.group.note_leader(_members.Leader(body.member, body.term))
        served.group.refresh()


@_handles(_rate_limiter.AllowanceRequest)
def _handle_allowance(
    node: PeerMessageHandler,
    _: _peers.PeerStream,
    body: _rate_limiter.AllowanceRequest,
) -> "_rate_limiter.AllowanceReply | decisions.Future[typing.Any]":
    return node.rate_limiter.answer(body)


@_handles(_forward_messages.RunRequest)
def _handle_run(
    node: PeerMessageHandler,
    stream: _peers.PeerStream,
    body: _forward_messages.RunRequest,
) -> "decisions.Future[_forward_messages.RunReply]":
    return decisions.start(_run(node, stream, body))


def _run(
    node: PeerMessageHandler,
    stream: _peers.PeerStream,
    body: _forward_messages.RunRequest,
) -> "decisions.Flow[_forward_messages.RunReply]":
    """Runs a statement; the reply tells this node's load, too."""
    fut = node.serving.run(stream, body)
    node.groups.demands.note_statement(body.service)
    reply: _forward_messages.RunReply = yield fut
    if not stream.understands_load:
        return reply
    return attrs.evolve(reply, load=node.groups.told_load(body.service))


@_handles(_demand_messages.DemandReport)
def _handle_demands(
    node: PeerMessageHandler,
    stream: _peers.PeerStream,
    body: _demand_messages.DemandReport,
) -> None:
    node.groups.demands.note(stream.peer, body)


@_handles(_forward_messages.EndTransaction)
def _handle_end_transaction(
    node: PeerMessageHandler,
    stream: _peers.PeerStream,
    body: _forward_messages.EndTransaction,
) -> None:
    node.serving.end(stream, body.transaction)
