"""Who asks the members for their status, and how the others learn of it.

Each question costs a member a slot for a moment, and nodes are many. So one
node asks for each group, and the others ask that node: the first by rendezvous
hashing among those that are connected. Where nodes differ about who that is,
a group is asked by two for a while, which does no harm.

A node asks that one just after its round. Were it asked at any time, floors
here would be up to two pauses old, 0.8 s, and a node counts as serving well
with floors of 0.7 s: a quarter of all pairs of nodes would flap.
"""

import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _freshness
from ferry_proxy import _groups
from ferry_proxy import _members
from ferry_proxy import _peer_messages
from ferry_proxy import _peers

SURVEY_WAIT_S = 0.2  # A peer answers in a few milliseconds.
STATUS_ROUND_S = (
    0.04  # Calm members answer a round in 5 ms, busy ones in 30 ms.
)
TICK_LIMIT_S = 1.0  # A group that is no longer surveyed is not asked about.


class Surveys:
    """The rounds of one node, its own and those of its peers."""

    def __init__(
        self,
        clock: _clocks.Clock,
        node: str,
        mesh: _peers.Peers,
        pause_s: float,
    ) -> None:
        """Makes the surveys of one group.

        Args:
            clock: The clock.
            node: This node's name.
            mesh: The streams to the other nodes that serve the group.
            pause_s: Seconds between two rounds; `survey` is called as often.
        """
        self._clock = clock
        self._node = node
        self._mesh = mesh
        self._pause_s = pause_s
        self._planned: decisions.Timer | None = None
        self._ticked_at = float("-inf")

    def survey(self, group: _groups.Group) -> None:
        """Brings a group's floor up to date, by a round or by a peer."""
        self._ticked_at = self._clock.now()
        stream = self._surveyor(group)
        if stream is None or group.has_failed_contact:
            # Only this node's own question can end its own trouble.
            group.refresh()
        if stream is not None and not self._is_planned:
            self._ask(group, stream)

    @property
    def _is_planned(self) -> bool:
        return self._planned is not None and self._planned.callback is not None

    def _ask(self, group: _groups.Group, stream: _peers.Peer) -> None:
        asked_at = self._clock.boot_now()
        question = _peer_messages.SurveyRequest(group.service.name)
        fut = decisions.with_timeout(
            self._clock, SURVEY_WAIT_S, stream.call(question)
        )
        fut.add_done_callback(lambda f: self._take(group, asked_at, f))

    def _plan(self, group: _groups.Group, age_s: float) -> None:
        """Asks again just after the peer's next round.

        Args:
            group: The group.
            age_s: The age of the floor that the peer has told just now.
        """
        left_s = self._pause_s - age_s + STATUS_ROUND_S
        is_late = age_s > self._pause_s
        is_left = self._clock.now() - self._ticked_at > TICK_LIMIT_S
        if is_late or is_left or self._is_planned:
            return  # The next call of `survey` asks.
        self._planned = self._clock.after(left_s, lambda: self._again(group))

    def _again(self, group: _groups.Group) -> None:
        stream = self._surveyor(group)
        if stream is not None:
            self._ask(group, stream)

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
        group.apply_survey(leader, sample, heard)
        self._plan(group, reply.age_s)
