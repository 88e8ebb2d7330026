"""Changes of a group's primary, from the evidence to the new term.

Any serving node may act. It claims the change in the store, which provides the
fencing token. It then fences the old primary and the replicas, promotes the
replica that has received the most, and notifies its peers. The holder of a
claim acts only for a limited time of the boot clock, and other nodes wait
longer than that before they claim.
"""

from collections.abc import Callable
from collections.abc import Collection
import functools

import attrs
import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _change_events
from ferry_proxy import _claims
from ferry_proxy import _clocks
from ferry_proxy import _events
from ferry_proxy import _fences
from ferry_proxy import _fencing
from ferry_proxy import _groups
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _peer_messages
from ferry_proxy import _peers
from ferry_proxy import _policy
from ferry_proxy import _pools
from ferry_proxy import _records
from ferry_proxy import _store
from ferry_proxy import _succession

# Nodes claim one after the other, this far apart. A claim reaches the next
# node in less time.
RANK_DELAY_S = 0.06
# All nodes from this rank on claim at the same time, and the store accepts one
# of the claims.
MAX_RANK = 2
OPINION_WAIT_S = 0.1  # A peer answers in a few ms, a slow one in 25 ms.
FAILURE_BACKOFF_S = 0.4
# The vetoing peer may lose contact with the primary next, and asking it again
# is cheap.
VETO_BACKOFF_S = 0.1


@attrs.frozen(slots=True)
class PromoterContext:
    """The dependencies of a promoter.

    Attributes:
        clock: The clock.
        policy: The tunable limits and intervals.
        node: This node's name.
        nodes: Returns the names of the nodes that serve the group.
        catalogue: The local copy of the store.
        store: The store.
        promotions: The platform's call that makes a member the primary.
        mesh: The connected nodes that serve the group.
        note_promoted: Called after each change that this node completed, with
            its cause and how long it took in seconds.
        is_stopping: Returns whether this node is shutting down.
    """

    clock: _clocks.Clock
    policy: _policy.Policy
    node: str
    nodes: Callable[[], Collection[str]]
    catalogue: _catalogue.Catalogue
    store: _store.Store
    promotions: _store.Promotions
    mesh: _peers.Peers
    note_promoted: Callable[[str, float], object]
    is_stopping: Callable[[], bool]


# The least time between status rounds while the primary does not answer.
RECHECK_S = 0.15


class Promoter:
    """Watches the primary of one group and replaces it when necessary."""

    def __init__(self, ctx: PromoterContext, group: _groups.Group) -> None:
        self._ctx = ctx
        self._group = group
        self._is_changing = False
        self._is_stopped = False
        self._next_attempt_at = float("-inf")
        self._stall = _fencing.StallDetector()
        self._claims = _claims.Claims(
            ctx.clock, ctx.policy, ctx.node, ctx.store, ctx.catalogue, group
        )
        self._fence = _fences.Fence(ctx.clock, ctx.store, ctx.catalogue, group)
        self._succession = _succession.Succession(
            ctx, group, self._claims, self._fence
        )
        group.on_round.append(self._on_status_round)

    @property
    def is_busy(self) -> bool:
        """Whether a change of the primary is under way here."""
        return self._is_changing

    def stop(self) -> None:
        """Begins no further changes; this node no longer serves the group."""
        self._is_stopped = True

    # -- evidence --------------------------------------------------------

    def _on_status_round(self, reports: dict[str, _members.Report]) -> None:
        self._update_stall(reports)
        self.check()

    def _update_stall(self, reports: dict[str, _members.Report]) -> None:
        """Passes a round's reports of the current term to the detector."""
        leader = self._group.leader
        primary = reports.get(leader.member) if leader else None
        replicas = [
            r
            for n, r in reports.items()
            if leader is not None
            and n != leader.member
            and r.follows(leader.term)
        ]
        self._stall.observe(primary, replicas, self._ctx.clock.boot_now())

    def evidence(self) -> _fencing.Evidence:
        """Returns what this node has observed of the primary."""
        group = self._group
        now = self._ctx.clock.now()
        pool = group.leader_pool
        successors = [
            p
            for n, p in group.pools.items()
            if p is not pool and group.is_responsive(p) and self._is_staying(p)
        ]
        return _fencing.Evidence(
            has_leader=pool is not None,
            silence_s=pool.contact.silence_s if pool else 0.0,
            unanswered_s=_unanswered_s(pool),
            refused_s=now - pool.contact.refused_since if pool else 0.0,
            stalled_s=self._stalled_s(),
            leaderless_s=now - max(group.leaderless_since, group.changed_at),
            is_draining=pool is not None and pool.member.draining,
            successors=len(successors),
        )

    def _stalled_s(self) -> float:
        if not self._group.service.sync_replicas:
            return 0.0
        return self._stall.stalled_s

    def _is_staying(self, pool: _pools.Pool) -> bool:
        return not pool.member.draining

    def check(self) -> None:
        """Begins a change of the primary if the evidence requires one."""
        if self._is_changing or self._is_stopped or self._ctx.is_stopping():
            return
        if self._ctx.clock.now() < self._next_attempt_at:
            return
        self._recheck_silent_primary()
        cause = _fencing.cause_of_change(self.evidence(), self._ctx.policy)
        if cause is None:
            return
        self._is_changing = True
        fut = decisions.start(self._change_primary(cause))
        fut.add_done_callback(self._on_change_ended)

    def _recheck_silent_primary(self) -> None:
        """Asks a primary that does not answer again, over other links.

        The loss of one link does not mean that the member is lost.
        """
        pool = self._group.leader_pool
        if pool is None or not pool.contact.is_unresponsive:
            return
        if self._ctx.clock.now() - self._group.last_round_at > RECHECK_S:
            self._group.refresh()

    def _on_change_ended(self, fut: "decisions.Future[None]") -> None:
        self._is_changing = False
        exc = fut.exception()
        if exc is None:
            return
        vetoed = isinstance(exc, _fences.VetoedError)
        backoff_s = VETO_BACKOFF_S if vetoed else FAILURE_BACKOFF_S
        self._next_attempt_at = self._ctx.clock.now() + backoff_s
        self._log("abandoned", 0, "", repr(exc))

    # -- the change ------------------------------------------------------

    def _change_primary(self, cause: _fencing.Cause) -> "decisions.Flow[None]":
        started_at = self._ctx.clock.now()
        opinions = decisions.start(self._ask_opinions())
        yield decisions.sleep(self._ctx.clock, self._rank() * RANK_DELAY_S)
        current = _fencing.cause_of_change(self.evidence(), self._ctx.policy)
        if current is not cause:
            return
        self._check_veto(cause, (yield opinions))
        if cause is _fencing.Cause.STALLED:
            yield from self._confirm_stall()
        held = yield from self._claims.take()
        self._log("claimed", held.claim.token, "", cause.value)
        self._group.expect_primary_change()
        try:
            yield from self._replace(cause, held)
        finally:
            decisions.start(self._claims.release())
        self._ctx.note_promoted(cause.value, self._ctx.clock.now() - started_at)

    def _replace(
        self, cause: _fencing.Cause, held: _records.HeldClaim
    ) -> "decisions.Flow[None]":
        """Fences the old primary and begins the next term."""
        token = held.claim.token
        self._fence.guard = functools.partial(self._claims.require_valid, held)
        self._fence.may_resume = lambda: self._claims.order is None
        reports = yield from self._fence.raise_fence(cause, token)
        yield from self._succession.promote(reports, held)

    def _rank(self) -> int:
        """Returns this node's place in the order in which nodes claim."""
        names = sorted({*self._ctx.nodes(), self._ctx.node})
        service = self._group.service.name
        ranked = sorted(
            names, key=lambda n: decisions.rendezvous_score(service, n)
        )
        return min(MAX_RANK, ranked.index(self._ctx.node))

    def _ask_opinions(
        self,
    ) -> "decisions.Flow[list[_peer_messages.OpinionReply]]":
        """Asks the peers for their contact with the primary."""
        group = self._group
        leader = group.leader
        if leader is None:
            return []
        pool = group.leader_pool
        question = _peer_messages.OpinionRequest(
            group.service.name,
            leader.member,
            pool.member.born if pool else 0,
        )
        futs = [
            decisions.with_timeout(
                self._ctx.clock, OPINION_WAIT_S, s.call(question)
            )
            for s in self._ctx.mesh.streams
        ]
        settled = yield decisions.settle_all(futs, lambda _: False)
        return [
            s.result
            for s in settled
            if s.failure is None
            and isinstance(s.result, _peer_messages.OpinionReply)
        ]

    def _check_veto(
        self,
        cause: _fencing.Cause,
        opinions: list[_peer_messages.OpinionReply],
    ) -> None:
        """Checks that no peer has recent contact with the primary.

        Raises:
            VetoedError: A peer has.
        """
        leader = self._group.leader
        if leader is None:
            return
        vetoed = _fencing.is_vetoed(cause, opinions, self._ctx.policy)
        _events.emit(
            _change_events.PrimarySuspected(
                self._group.service.name,
                leader.member,
                f"{cause.value}{' (vetoed)' if vetoed else ''}",
                round(self.evidence().silence_s, 3),
                len(opinions),
            )
        )
        if vetoed:
            raise _fences.VetoedError("a peer hears the primary")

    def _confirm_stall(self) -> "decisions.Flow[None]":
        """Asks all members again before a primary that answers is replaced."""
        futs = [
            decisions.start(self._group.ask(pool, _links.Status()))
            for pool in self._group.pools.values()
        ]
        yield decisions.settle_all(futs, lambda _: False)
        reports = {
            name: report
            for name in self._group.pools
            if (report := self._group.last_report(name)) is not None
        }
        self._update_stall(reports)
        if self._stall.stalled_s < self._ctx.policy.stall_s:
            raise _fences.ChangeAbandonedError(
                "a replica receives commits again"
            )

    def _log(self, step: str, token: int, member: str, detail: str) -> None:
        _fences.log_step(self._group, step, token, member, detail)


def _unanswered_s(pool: _pools.Pool | None) -> float:
    """Returns for how long a primary has answered neither this node nor a peer.

    It is 0 until the contact counts as unresponsive, which takes longer for a
    member that needs long for a statement.
    """
    if pool is None or not pool.contact.is_unresponsive:
        return 0.0
    return min(pool.contact.unanswered_s, pool.contact.silence_s)
