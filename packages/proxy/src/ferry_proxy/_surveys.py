"""Status rounds of a group, and how the result reaches the other nodes.

A status request occupies one of a member's slots for a moment, and nodes are
many. So one node, the surveyor, asks the members of a group, and the others
ask the surveyor. It is the first of the connected nodes by rendezvous hashing.
If nodes disagree about which one that is, two of them ask the members for a
while, which does no harm.

The surveyor is asked just after its round. At arbitrary times, floors here
would be up to two intervals old, 0.8 s. A node can serve a group only with a
floor younger than 0.7 s, so a quarter of all pairs of nodes would flap.
"""

from collections.abc import Collection

import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _departed_members
from ferry_proxy import _departure_sync
from ferry_proxy import _freshness
from ferry_proxy import _groups
from ferry_proxy import _members
from ferry_proxy import _opinions
from ferry_proxy import _peer_messages
from ferry_proxy import _peers
from ferry_proxy import _serving_peers

# A peer answers in a few milliseconds.
SURVEY_TIMEOUT_S = 0.2
# This allows for the surveyor's round: idle members answer it in 5 ms, busy
# ones in 30 ms.
SURVEYOR_ROUND_S = 0.04
# How often peers are asked for departures that this node does not know.
PEERS_ASKED_INTERVAL_S = 1.0
# Requests end this long after the last call of `survey`, when the group is no
# longer served here.
MAX_TICK_AGE_S = 1.0


class Surveys:
    """Keeps the floor of one group up to date at one node."""

    def __init__(
        self,
        clock: _clocks.Clock,
        node: str,
        mesh: _peers.Peers,
        pause_s: float,
    ) -> None:
        """Creates the surveys of one group.

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
        self._next_request: decisions.Timer | None = None
        self._last_tick_at = float("-inf")
        self._peers_asked_at = float("-inf")
        self._probes = _departed_members.Probes(clock)

    def survey(self, group: _groups.Group) -> None:
        """Updates a group's floor, by a status round or from the surveyor."""
        self._last_tick_at = self._clock.now()
        stream = self._surveyor(group)
        if stream is None or group.has_failed_contact:
            # A failed contact of this node ends only with an answer to a
            # request of its own.
            group.refresh()
        if stream is None:
            self._probes.probe(group)
        elif not self._is_request_planned:
            self._ask(group, stream)

    def note_members_changed(self, group: _groups.Group) -> None:
        """Begins a status round, and asks members that were just removed.

        A process that has ended is noticed by its address, which refuses
        connections only for a moment if its machine goes as well.
        """
        self._probes.probe(group)
        group.refresh()

    @property
    def _is_request_planned(self) -> bool:
        return (
            self._next_request is not None
            and self._next_request.callback is not None
        )

    def _ask(self, group: _groups.Group, stream: _peers.Peer) -> None:
        asked_at = self._clock.boot_now()
        departures = tuple(d.instance for d in group.departures.open())
        question = _peer_messages.SurveyRequest(group.service.name, departures)
        fut = decisions.with_timeout(
            self._clock, SURVEY_TIMEOUT_S, stream.call(question)
        )
        fut.add_done_callback(lambda f: self._apply_reply(group, asked_at, f))

    def _plan_request(self, group: _groups.Group, age_s: float) -> None:
        """Plans a request for the time just after the surveyor's next round.

        Args:
            group: The group.
            age_s: The age of the floor in the surveyor's last reply.
        """
        delay_s = self._pause_s - age_s + SURVEYOR_ROUND_S
        is_late = age_s > self._pause_s
        is_abandoned = self._clock.now() - self._last_tick_at > MAX_TICK_AGE_S
        if is_late or is_abandoned or self._is_request_planned:
            return  # The next call of `survey` sends a request.
        self._next_request = self._clock.after(
            delay_s, lambda: self._ask_surveyor(group)
        )

    def _ask_surveyor(self, group: _groups.Group) -> None:
        stream = self._surveyor(group)
        if stream is not None:
            self._ask(group, stream)

    def answer(
        self, group: _groups.Group, departures: Collection[str] = ()
    ) -> _peer_messages.SurveyReply:
        """Returns the reply to a peer's request about a group.

        Args:
            group: The group.
            departures: The instances of the departures open at the peer.
        """
        self._ask_unknown(group, departures)
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
            tuple(d for d in departures if group.departures.is_covered(d)),
        )

    def _ask_unknown(
        self, group: _groups.Group, departures: Collection[str]
    ) -> None:
        """Asks the peers for departures that this node has not heard of.

        It may have started since. As the surveyor, it has them recorded.
        """
        known = group.departures
        unknown = [
            d
            for d in departures
            if not (known.is_open(d) or known.is_covered(d))
        ]
        now = self._clock.now()
        if unknown and now - self._peers_asked_at > PEERS_ASKED_INTERVAL_S:
            self._peers_asked_at = now
            asked = _opinions.ask(self._clock, self._mesh, group)
            decisions.start_detached("ask for departures", asked)

    def _surveyor(self, group: _groups.Group) -> _peers.Peer | None:
        """Returns the stream to the surveyor; None if that is this node."""
        return _serving_peers.first_connected(
            group.service.name, self._node, self._mesh
        )

    def _apply_reply(
        self,
        group: _groups.Group,
        asked_at: float,
        fut: "decisions.Future[_peer_messages.Message]",
    ) -> None:
        exc = fut.exception()
        reply = None if exc is not None else fut.result()
        if not isinstance(reply, _peer_messages.SurveyReply) or reply.age_s < 0:
            # The surveyor has no floor to offer, so the members are asked.
            group.refresh()
            return
        _departure_sync.cover(group, reply.covered, "surveyor")
        leader = _members.Leader(reply.member, reply.term)
        # The reply was sent after the request, so the floor is no older than
        # its age at sending, counted from the time of the request.
        sample = _freshness.Sample(
            asked_at - reply.age_s,
            decisions.Position(reply.floor_term, reply.floor_index),
        )
        heard = self._clock.now() - reply.heard_ago_s
        group.apply_survey(leader, sample, heard)
        self._plan_request(group, reply.age_s)
