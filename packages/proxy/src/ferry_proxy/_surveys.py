"""Who asks the members for their status, and how the others learn of it.

Each question costs a member a slot for a moment, and nodes are many. So one
node asks for each group, and the others ask that node: the first by rendezvous
hashing among those that are connected. Where nodes differ about who that is,
a group is asked by two for a while, which does no harm.
"""

import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _freshness
from ferry_proxy import _groups
from ferry_proxy import _members
from ferry_proxy import _peer_messages
from ferry_proxy import _peers

SURVEY_WAIT_S = 0.2  # A peer answers in a few milliseconds.


class Surveys:
    """The rounds of one node, its own and those of its peers."""

    def __init__(
        self, clock: _clocks.Clock, node: str, mesh: _peers.Peers
    ) -> None:
        self._clock = clock
        self._node = node
        self._mesh = mesh

    def survey(self, group: _groups.Group) -> None:
        """Brings a group's floor up to date, by a round or by a peer."""
        stream = self._surveyor(group)
        if stream is None or group.is_troubled:
            # Only this node's own question can end its own trouble.
            group.refresh()
        if stream is None:
            return
        asked_at = self._clock.boot_now()
        question = _peer_messages.SurveyRequest(group.service.name)
        fut = decisions.within(
            self._clock, SURVEY_WAIT_S, stream.call(question)
        )
        fut.add_done_callback(lambda f: self._take(group, asked_at, f))

    def answer(self, group: _groups.Group) -> _peer_messages.SurveyReply:
        """Returns what this node knows of a group, for a peer."""
        leader = group.leader
        pool = group.leader_pool
        sample = group.floors.newest
        if leader is None or pool is None or sample is None:
            return _peer_messages.NO_SURVEY
        return _peer_messages.SurveyReply(
            leader.member,
            leader.term,
            sample.floor.term,
            sample.floor.index,
            self._clock.boot_now() - sample.at,
            pool.contact.silence_s,
        )

    def _surveyor(self, group: _groups.Group) -> _peers.Peer | None:
        """Returns the stream to the node that asks; None for this node."""
        streams = {s.peer: s for s in self._mesh.streams}
        first = min(
            [self._node, *streams],
            key=lambda n: decisions.rendezvous_score(group.service.name, n),
        )
        return streams.get(first)

    def _take(
        self,
        group: _groups.Group,
        asked_at: float,
        fut: "decisions.Future[_peer_messages.Message]",
    ) -> None:
        exc = fut.exception()
        reply = None if exc is not None else fut.result()
        if not isinstance(reply, _peer_messages.SurveyReply) or reply.age_s < 0:
            group.refresh()  # That peer is of no use: ask the members.
            return
        leader = _members.Leader(reply.member, reply.term)
        # The answer was sent after the question, so the floor is no older.
        sample = _freshness.Sample(
            asked_at - reply.age_s,
            decisions.Position(reply.floor_term, reply.floor_index),
        )
        heard = self._clock.now() - reply.heard_ago_s
        group.take_survey(leader, sample, heard)
