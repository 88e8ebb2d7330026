"""Changes of primary, from the evidence to the new term.

Any node may act. It claims the change in the store, which also gives the
fencing token; stops the old primary and its replicas; promotes the replica
that received most; and tells its peers. A holder acts only for a bounded boot
time after its claim, and others wait longer than that before they claim.
"""

from collections.abc import Callable
from collections.abc import Collection

import attrs
import ferry_decisions as decisions

from ferry_proxy import _catalogue
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

RANK_DELAY_S = 0.06  # Longer than a claim takes to be seen by the next node.
MAX_RANK = 2  # Later ones claim together; the store takes one of them.
OPINION_WAIT_S = 0.1  # A peer answers in a few ms, a slow one in 25 ms.
PAUSE_AFTER_FAILURE_S = 0.4
MOST_PATIENCE_S = 16.0  # Half of the time for which lost members are feared.
PAUSE_AFTER_VETO_S = 0.1  # The peer may notice next; asking costs little.
POLL_S = 0.03  # How often a promoted member is asked whether it leads.


@attrs.frozen(slots=True)
class PromoterContext:
    """What a promoter works with.

    Attributes:
        clock: The clock.
        policy: The tunables.
        node: This node's name.
        nodes: Returns the names of the nodes that serve the group.
        catalogue: The copy of the store.
        store: The store.
        promotions: The platform's call.
        mesh: The peers.
        note_promoted: Called with each change that this node completed.
        is_stopping: Whether this node is about to end.
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


ASK_AGAIN_S = 0.15  # Between rounds about a primary that has gone quiet.


class Promoter:
    """Watches one group's primary and replaces it when it has to be."""

    def __init__(self, ctx: PromoterContext, group: _groups.Group) -> None:
        self._ctx = ctx
        self._group = group
        self._busy = False
        self._stopped = False
        self._not_before = float("-inf")
        self._patience_s = ctx.policy.promote_wait_s
        self._stall = _fencing.StallDetector()
        self._claims = _claims.Claims(
            ctx.clock, ctx.policy, ctx.node, ctx.store, ctx.catalogue, group
        )
        self._fence = _fences.Fence(ctx.clock, ctx.store, ctx.catalogue, group)
        group.on_round.append(self._take_round)

    @property
    def is_busy(self) -> bool:
        """Whether a change is under way."""
        return self._busy

    def stop(self) -> None:
        """Begins no more changes: this node serves the group no longer."""
        self._stopped = True

    # -- evidence --------------------------------------------------------

    def _take_round(self, reports: dict[str, _members.Report]) -> None:
        self._watch_stall(reports)
        self.check()

    def _watch_stall(self, reports: dict[str, _members.Report]) -> None:
        """Notes since when no replica has a commit of the primary's."""
        leader = self._group.leader
        own = reports.get(leader.member) if leader else None
        others = [
            r
            for n, r in reports.items()
            if leader is not None
            and n != leader.member
            and r.follows(leader.term)
        ]
        self._stall.take(own, others, self._ctx.clock.boot_now())

    def evidence(self) -> _fencing.Evidence:
        """Returns what is known of the primary now."""
        group = self._group
        now = self._ctx.clock.now()
        pool = group.leader_pool
        successors = [
            p
            for n, p in group.pools.items()
            if p is not pool and group.is_responsive(p) and self._stays(p)
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

    def _stays(self, pool: _pools.Pool) -> bool:
        return not pool.member.draining

    def check(self) -> None:
        """Begins a change if the evidence asks for one."""
        if self._busy or self._stopped or self._ctx.is_stopping():
            return
        if self._ctx.clock.now() < self._not_before:
            return
        self._ask_if_quiet()
        cause = _fencing.cause_of_change(self.evidence(), self._ctx.policy)
        if cause is None:
            return
        self._busy = True
        fut = decisions.start(self._change(cause))
        fut.add_done_callback(self._ended)

    def _ask_if_quiet(self) -> None:
        """Asks over other links at once: one lost link is no lost member."""
        pool = self._group.leader_pool
        if pool is None or not pool.contact.is_unresponsive:
            return
        if self._ctx.clock.now() - self._group.last_round_at > ASK_AGAIN_S:
            self._group.refresh()

    def _ended(self, fut: "decisions.Future[None]") -> None:
        self._busy = False
        exc = fut.exception()
        if exc is None:
            return
        vetoed = isinstance(exc, _fences.VetoedError)
        pause = PAUSE_AFTER_VETO_S if vetoed else PAUSE_AFTER_FAILURE_S
        self._not_before = self._ctx.clock.now() + pause
        self._log("abandoned", 0, "", repr(exc))

    # -- the change ------------------------------------------------------

    def _change(self, cause: _fencing.Cause) -> "decisions.Flow[None]":
        begun = self._ctx.clock.now()
        opinions = decisions.start(self._opinions())
        yield decisions.sleep(self._ctx.clock, self._rank() * RANK_DELAY_S)
        still = _fencing.cause_of_change(self.evidence(), self._ctx.policy)
        if still is not cause:
            return
        self._weigh(cause, (yield opinions))
        if cause is _fencing.Cause.STALLED:
            yield from self._confirm_stall()
        held = yield from self._claims.take()
        self._log("claimed", held.claim.token, "", cause.value)
        self._group.expect_primary_change()
        try:
            yield from self._replace(cause, held)
        finally:
            decisions.start(self._claims.finish(held))
        self._ctx.note_promoted(cause.value, self._ctx.clock.now() - begun)

    def _replace(
        self, cause: _fencing.Cause, held: _records.HeldClaim
    ) -> "decisions.Flow[None]":
        """Stops the old term and begins the next one."""
        token = held.claim.token
        reports = yield from self._fence.raise_fence(cause, token)
        successor = yield from self._promote(reports, held)
        yield from self._await_leader(successor, token)

    def _rank(self) -> int:
        """Returns this node's place in the order in which nodes act."""
        names = sorted({*self._ctx.nodes(), self._ctx.node})
        service = self._group.service.name
        ranked = sorted(
            names, key=lambda n: decisions.rendezvous_score(service, n)
        )
        return min(MAX_RANK, ranked.index(self._ctx.node))

    def _opinions(
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

    def _weigh(
        self,
        cause: _fencing.Cause,
        opinions: list[_peer_messages.OpinionReply],
    ) -> None:
        """Gives up where a peer's word shows that the primary lives.

        Raises:
            VetoedError: It does.
        """
        leader = self._group.leader
        if leader is None:
            return
        vetoed = _fencing.is_vetoed(cause, opinions, self._ctx.policy)
        _events.emit(
            _events.PrimarySuspected(
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
        """Asks all members at once, before a primary that answers goes."""
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
        self._watch_stall(reports)
        if self._stall.stalled_s < self._ctx.policy.stall_s:
            raise _fences.ChangeAbandonedError(
                "a replica receives commits again"
            )

    def _promote(
        self,
        reports: dict[str, _members.Report],
        held: _records.HeldClaim,
    ) -> "decisions.Flow[str]":
        """Orders the promotion; returns the member that is to lead."""
        ctx = self._ctx
        group = self._group
        members = {n: p.member for n, p in group.pools.items()}
        successor = _fencing.choose_successor(reports, members)
        token = held.claim.token
        if not self._claims.is_valid(held):
            yield from self._fence.resume(reports)
            raise _fences.ChangeAbandonedError("the claim is too old to act on")
        if self._fence.is_broken(reports):
            yield from self._fence.resume(reports)
            raise _fences.ChangeAbandonedError("a paused member began again")
        detail = f"received {reports[successor].received}"
        self._log("promoting", token, successor, detail)
        try:
            yield ctx.promotions.promote(
                group.service.name, successor, ctx.node, token
            )
        except _store.PromotionRefusedError as exc:
            yield from self._fence.resume(reports)
            raise _fences.ChangeAbandonedError(str(exc)) from exc
        except _store.StoreUnavailableError as exc:
            # It may have been taken, also later: the member itself tells, and
            # the replicas stay paused, so that the old primary acknowledges
            # nothing that the successor lacks.
            _fences.log_step(
                self._group, "unanswered", token, successor, str(exc)
            )
        return successor

    def _await_leader(
        self, successor: str, token: int
    ) -> "decisions.Flow[None]":
        ctx = self._ctx
        group = self._group
        begun = ctx.clock.now()
        while ctx.clock.now() - begun < self._patience_s:
            group.expect_primary_change()
            pool = group.pools.get(successor)
            if pool is None:
                break
            try:
                report = yield from group.ask(pool, _links.Status())
            except decisions.RequestFailedError as exc:
                _fences.log_step(
                    self._group, "asked", token, successor, exc.reason.name
                )
            else:
                if report.role is _members.Role.PRIMARY:
                    self._announce(successor, report.term, token)
                    return
            yield decisions.sleep(ctx.clock, POLL_S)
        # Perhaps promotions take longer here: another order would only begin
        # the wait anew.
        self._patience_s = min(MOST_PATIENCE_S, 2 * self._patience_s)
        raise _fences.ChangeAbandonedError(f"{successor} does not lead")

    def _announce(self, successor: str, term: int, token: int) -> None:
        group = self._group
        self._log("promoted", token, successor, f"term {term}")
        group.note_leader(_members.Leader(successor, term))
        notice = _peer_messages.LeaderNotice(
            group.service.name, successor, term
        )
        for stream in self._ctx.mesh.streams:
            stream.tell(notice)
        group.refresh()

    def _log(self, step: str, token: int, member: str, detail: str) -> None:
        _fences.log_step(self._group, step, token, member, detail)


def _unanswered_s(pool: _pools.Pool | None) -> float:
    """Returns for how long a primary has answered nobody, as far as known.

    Members that take long for a statement are given longer.
    """
    if pool is None or not pool.contact.is_unresponsive:
        return 0.0
    return min(pool.contact.unanswered_s, pool.contact.silence_s)
