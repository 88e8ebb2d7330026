"""Proofs that a group's primary still leads, by answers of its replicas.

A replica that may still receive, asked after a read came in, shows that no
later term had begun by then: every change of primary would have paused it.
"""

import typing

import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _pools

PROOF_HEDGE_S = 0.03  # A calm replica answers in about 5 ms.


class Group(typing.Protocol):
    """What proofs need of a group.

    Attributes:
        leader: Who is believed to lead.
        pools: The links to its members, by id.
    """

    leader: _members.Leader | None
    pools: dict[str, _pools.Pool]

    @property
    def proof_size(self) -> int:
        """How many replicas prove that a primary still leads."""

    def is_responsive(self, pool: _pools.Pool) -> bool:
        """Whether a member owes no answer for long."""

    def is_near(self, pool: _pools.Pool) -> bool:
        """Whether a member is in this node's data centre."""

    def ask(
        self, pool: _pools.Pool, command: _links.Command
    ) -> "decisions.Flow[_members.Report]":
        """Sends a control command to a member and returns its report."""

    def refresh(self) -> "decisions.Future[dict[str, _members.Report]]":
        """Asks all members for their status."""


class Proofs:
    """The proofs of one group, shared by the reads that wait for them."""

    def __init__(self, clock: _clocks.Clock, group: Group) -> None:
        self._clock = clock
        self._group = group
        self._rounds = decisions.SharedRounds(self._prove)

    def prove(self) -> "decisions.Future[_members.Leader]":
        """Proves that the leader still leads, by answers from now on.

        Fails with `decisions.RequestFailedError` where no proof is to be had.
        """
        return self._rounds.join()

    def _prove(self) -> "decisions.Flow[_members.Leader]":
        group = self._group
        leader = group.leader
        if leader is None:
            raise decisions.RequestFailedError(decisions.NO_PRIMARY)
        wanted = group.proof_size
        proofs: list[_members.Report] = []
        done: decisions.Future[None] = decisions.Future()
        replicas = self._proof_order(leader)
        futs = []
        for number, pool in enumerate(replicas):
            if number >= wanted:
                pause = decisions.sleep(self._clock, PROOF_HEDGE_S)
                yield decisions.first_completed(done, pause)
            if done.done():
                break
            fut = decisions.start(self._prove_by(pool, leader, proofs))
            fut.add_done_callback(
                lambda _: _resolve_if(len(proofs) >= wanted, done)
            )
            futs.append(fut)
        if not done.done():
            yield decisions.settle_all(futs, lambda _: done.done())
        if len(proofs) < wanted or group.leader != leader:
            raise decisions.RequestFailedError(
                decisions.NO_PRIMARY, "no proof that the primary still leads"
            )
        return leader

    def _proof_order(self, leader: _members.Leader) -> list[_pools.Pool]:
        """Returns the replicas, those that are likely to answer soon first."""
        pools = [p for n, p in self._group.pools.items() if n != leader.member]
        return sorted(
            pools,
            key=lambda p: (
                not self._group.is_responsive(p),
                p.member.draining,
                not self._group.is_near(p),
            ),
        )

    def _prove_by(
        self,
        pool: _pools.Pool,
        leader: _members.Leader,
        proofs: list[_members.Report],
    ) -> "decisions.Flow[None]":
        report = yield from self._group.ask(pool, _links.Status())
        if report.proves(leader.term):
            proofs.append(report)
        elif report.term > leader.term:
            self._group.refresh()


def _resolve_if(condition: bool, fut: "decisions.Future[None]") -> None:
    if condition:
        decisions.resolve(fut, None)
