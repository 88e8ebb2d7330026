"""What the serving nodes of a group know of its primary and its commits."""

from collections.abc import Collection
import math

import attrs
import ferry_decisions as decisions

from ferry_proxy import _acknowledgements
from ferry_proxy import _clocks
from ferry_proxy import _departure_sync
from ferry_proxy import _groups
from ferry_proxy import _opinion_messages
from ferry_proxy import _peers

OPINION_WAIT_S = 0.1  # A peer answers in a few ms, a slow one in 25 ms.


@attrs.frozen(slots=True)
class Opinions:
    """The replies of a group's serving nodes.

    Attributes:
        replies: The replies, by node.
        at: When they had arrived, in boot time.
    """

    replies: dict[str, _opinion_messages.OpinionReply]
    at: float

    def acknowledgements(
        self, own: _acknowledgements.AckWatch, peers: Collection[str]
    ) -> _acknowledgements.Acknowledgements:
        """Returns what is known of the commits acknowledged in the group.

        Args:
            own: The commits that this node passed on.
            peers: The names of the group's other serving nodes.
        """
        at_least, at_most = own.at_least, own.at_most
        since, newest_at = own.since, own.newest_at
        for reply in self.replies.values():
            at_least = max(at_least, decisions.Position(*reply.least_acked))
            at_most = max(at_most, decisions.Position(*reply.most_acked))
            if reply.acked_ago_s >= 0:
                newest_at = max(newest_at, self.at - reply.acked_ago_s)
        for name in peers:
            found = self.replies.get(name)
            if found is None or found.watched_s < 0:
                since = float("inf")
            else:
                since = max(since, self.at - found.watched_s)
        return _acknowledgements.Acknowledgements(
            at_least, at_most, since, newest_at
        )


def opinion_of(
    clock: _clocks.Clock,
    group: _groups.Group,
    question: _opinion_messages.OpinionRequest,
) -> _opinion_messages.OpinionReply:
    """Returns this node's reply to a peer's request."""
    acks = group.acks
    acked_ago_s = clock.boot_now() - acks.newest_at
    reply = _opinion_messages.OpinionReply(
        heard_ago_s=-1.0,
        least_acked=(acks.at_least.term, acks.at_least.index),
        most_acked=(acks.at_most.term, acks.at_most.index),
        watched_s=clock.boot_now() - acks.since,
        acked_ago_s=acked_ago_s if math.isfinite(acked_ago_s) else -1.0,
        departures=_departure_sync.describe(group, clock.boot_now()),
    )
    pool = group.pools.get(question.member)
    if pool is None or pool.member.born != question.born:
        return reply
    return attrs.evolve(
        reply,
        heard_ago_s=clock.now() - pool.contact.heard,
        unanswered_s=pool.contact.unanswered_s,
    )


def ask(
    clock: _clocks.Clock, mesh: _peers.Peers, group: _groups.Group
) -> "decisions.Flow[Opinions]":
    """Asks the peers for their contact with the primary, and for commits."""
    question = _question(group)
    streams = list(mesh.streams)
    futs = [
        decisions.with_timeout(clock, OPINION_WAIT_S, s.call(question))
        for s in streams
    ]
    yield decisions.settle_all(futs, lambda _: False)
    for stream, fut in zip(streams, futs, strict=True):
        if fut.exception() is not None:
            decisions.log_debug("opinion %s: %r", stream.peer, fut.exception())
    replies = {
        stream.peer: fut.result()
        for stream, fut in zip(streams, futs, strict=True)
        if fut.exception() is None
    }
    opinions = {
        peer: reply
        for peer, reply in replies.items()
        if isinstance(reply, _opinion_messages.OpinionReply)
    }
    now = clock.boot_now()
    _adopt_departures(group, opinions, now)
    return Opinions(opinions, now)


def _question(group: _groups.Group) -> _opinion_messages.OpinionRequest:
    leader, pool = group.leader, group.leader_pool
    return _opinion_messages.OpinionRequest(
        group.service.name,
        leader.member if leader else "",
        pool.member.born if pool else 0,
    )


def _adopt_departures(
    group: _groups.Group,
    opinions: dict[str, _opinion_messages.OpinionReply],
    now: float,
) -> None:
    """Adds the departures that peers know.

    This node may have restarted before one was recorded.

    Args:
        group: The group.
        opinions: The replies, by node.
        now: The current boot time, in seconds.
    """
    for peer, opinion in opinions.items():
        if opinion.departures:
            _departure_sync.adopt_encoded(group, opinion.departures, peer, now)
