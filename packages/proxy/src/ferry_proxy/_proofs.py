"""Proofs that a group's primary still leads, from its replicas' reports.

A replica that is not paused and that was asked after a read arrived shows that
no later term had begun by then: a change of primary would have paused it.
"""

import typing

import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _freshness
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _pools

# The delay before one more replica is asked. A replica without load replies in
# about 5 ms.
PROOF_HEDGE_S = 0.03


class Group(typing.Protocol):
    """The part of a group that proofs depend on.

    Attributes:
        leader: The primary as far as known; None if unknown.
        pools: The connection pools of its members, by id.
    """

    leader: _members.Leader | None
    pools: dict[str, _pools.Pool]

    @property
    def quorum(self) -> _freshness.Quorum:
        """The replicas that prove that the primary still leads."""

    def is_responsive(self, pool: _pools.Pool) -> bool:
        """Whether a member is reachable and owes no overdue reply."""

    def is_near(self, pool: _pools.Pool) -> bool:
        """Whether a member is in this node's data centre."""

    def ask(
        self, pool: _pools.Pool, command: _links.Command
    ) -> "decisions.Flow[_members.Report]":
        """Sends a control command to a member and returns its report."""

    def refresh(self) -> "decisions.Future[dict[str, _members.Report]]":
        """Starts a status round of the members."""


class Proofs:
    """Proofs of leadership for one group, shared by concurrent reads."""

    def __init__(self, clock: _clocks.Clock, group: Group) -> None:
        self._clock = clock
        self._group = group
        self._rounds = decisions.SharedRounds(self._prove)
        self._unfenced_rounds = decisions.SharedRounds(self._prove_unfenced)

    def prove(self) -> "decisions.Future[_members.Leader]":
        """Confirms, by new status requests, that the leader still leads.

        Fails with `decisions.RequestFailedError` if too few replicas confirm.
        """
        return self._rounds.join()

    def prove_unfenced(self) -> "decisions.Future[_members.Leader]":
        """Confirms in addition that no replica that replies is fenced.

        One that restarts after a fence is no longer paused, and a node without
        the store and peers does not hear of it. The others still tell.

        Fails with `decisions.RequestFailedError` if one is, or if too few
        replicas confirm.
        """
        return self._unfenced_rounds.join()

    def _prove_unfenced(self) -> "decisions.Flow[_members.Leader]":
        leader, pools = self._group.leader, list(self._group.pools.values())
        futs = [
            decisions.start(self._group.ask(p, _links.Status()))
            for p in pools
            if self._group.is_responsive(p)
        ]
        proved: _members.Leader = yield self.prove()
        replies = decisions.settle_all(futs, lambda _: False)
        yield decisions.first_completed(
            decisions.settled(replies),
            decisions.sleep(self._clock, PROOF_HEDGE_S),
        )
        reports = [f.result() for f in futs if f.done() and not f.exception()]
        if proved != leader or any(r.is_fenced(proved.term) for r in reports):
            raise decisions.RequestFailedError(
                decisions.NO_PRIMARY, "another member may be promoted"
            )
        return proved

    def _prove(self) -> "decisions.Flow[_members.Leader]":
        group = self._group
        leader = group.leader
        if leader is None:
            raise decisions.RequestFailedError(decisions.NO_PRIMARY)
        quorum = group.quorum
        confirming: set[str] = set()
        done: decisions.Future[None] = decisions.Future()
        replicas = self._proof_order(leader, quorum)
        futs = []
        for number, pool in enumerate(replicas):
            if number >= quorum.size:
                pause = decisions.sleep(self._clock, PROOF_HEDGE_S)
                yield decisions.first_completed(done, pause)
            if done.done():
                break
            fut = decisions.start(self._prove_by(pool, leader, confirming))
            fut.add_done_callback(
                lambda _: _resolve_if(quorum.is_met_by(confirming), done)
            )
            futs.append(fut)
        if not done.done():
            yield decisions.settle_all(futs, lambda _: done.done())
        if not quorum.is_met_by(confirming) or group.leader != leader:
            raise decisions.RequestFailedError(
                decisions.NO_PRIMARY, "no proof that the primary still leads"
            )
        return leader

    def _proof_order(
        self, leader: _members.Leader, quorum: _freshness.Quorum
    ) -> list[_pools.Pool]:
        """Returns the replicas, the most likely to reply soon first."""
        pools = [p for n, p in self._group.pools.items() if n != leader.member]
        return sorted(
            pools,
            key=lambda p: (
                not self._group.is_responsive(p),
                p.member.id not in quorum.established,
                not self._group.is_near(p),
            ),
        )

    def _prove_by(
        self,
        pool: _pools.Pool,
        leader: _members.Leader,
        confirming: set[str],
    ) -> "decisions.Flow[None]":
        report = yield from self._group.ask(pool, _links.Status())
        if report.proves(leader.term):
            confirming.add(pool.member.id)
        elif report.term > leader.term:
            self._group.refresh()


def _resolve_if(condition: bool, fut: "decisions.Future[None]") -> None:
    if condition:
        decisions.resolve(fut, None)
