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

from ferry_proxy import _acknowledgements
from ferry_proxy import _catalogue
from ferry_proxy import _change_events
from ferry_proxy import _change_steps
from ferry_proxy import _claims
from ferry_proxy import _clocks
from ferry_proxy import _departed_members
from ferry_proxy import _events
from ferry_proxy import _fences
from ferry_proxy import _fencing
from ferry_proxy import _groups
from ferry_proxy import _members
from ferry_proxy import _opinion_messages
from ferry_proxy import _opinions
from ferry_proxy import _paused_members
from ferry_proxy import _peers
from ferry_proxy import _policy
from ferry_proxy import _pools
from ferry_proxy import _records
from ferry_proxy import _stalls
from ferry_proxy import _store
from ferry_proxy import _succession
from ferry_proxy import _voter_sync

# Nodes claim one after the other, this far apart. A claim reaches the next
# node in less time.
RANK_DELAY_S = 0.06
# All nodes from this rank on claim at the same time, and the store accepts one
# of the claims.
MAX_RANK = 2
FAILURE_BACKOFF_S = 0.4
# The backoff doubles with each attempt in vain, up to this often. All attempts
# may be in vain until a member returns.
MAX_DOUBLINGS = 2
# The least time between status rounds while the primary does not answer.
RECHECK_S = 0.15
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


class Promoter:
    """Watches the primary of one group and replaces it when necessary."""

    def __init__(self, ctx: PromoterContext, group: _groups.Group) -> None:
        self._ctx = ctx
        self._group = group
        self._is_changing = False
        self._is_stopped = False
        self._next_attempt_at = float("-inf")
        self._attempts_in_vain = 0
        self._nodes: set[str] = set()
        self._node_left_at = float("-inf")
        self._probes = _departed_members.Probes(ctx.clock)
        self._stalls = _stalls.Stalls(ctx.clock, ctx.policy, group)
        self._claims = _claims.Claims(
            ctx.clock, ctx.policy, ctx.node, ctx.store, ctx.catalogue, group
        )
        self._fence = _fences.Fence(ctx.clock, ctx.store, ctx.catalogue, group)
        self._succession = _succession.Succession(
            ctx, group, self._claims, self._fence
        )
        self._repair = _paused_members.Repair(
            ctx.clock, ctx.policy, group, self._claims
        )
        self._voters = _voter_sync.VoterSync(
            ctx.clock, ctx.node, ctx.store, ctx.catalogue, group, ctx.mesh
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
        self._stalls.update(reports)
        self._voters.note_round(reports)
        self._repair.observe()
        self.check()

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
            stalled_s=self._stalls.stalled_s,
            leaderless_s=now
            - max(group.leaderless_since, group.membership.changed_at),
            is_draining=pool is not None and pool.member.draining,
            successors=len(successors),
        )

    def _is_staying(self, pool: _pools.Pool) -> bool:
        return not pool.member.draining

    def check(self) -> None:
        """Begins a change of the primary if the evidence requires one."""
        self._note_nodes()
        if self._is_stopped:
            return
        # The others leave it to this node for as long as it is connected.
        self._voters.update()
        if self._is_changing or self._ctx.is_stopping():
            return
        if self._ctx.clock.now() < self._next_attempt_at:
            return
        self._recheck_silent_primary()
        cause = _fencing.cause_of_change(self.evidence(), self._ctx.policy)
        if cause is None:
            self._attempts_in_vain = 0
            self._repair_pauses()
            return
        self._is_changing = True
        fut = decisions.start(self._change_primary(cause))
        fut.add_done_callback(self._on_change_ended)

    def _repair_pauses(self) -> None:
        """Begins to resume members that were left paused, if there are any."""
        if self._repair.is_due:
            self._is_changing = True
            delay_s = self._rank() * RANK_DELAY_S
            fut = decisions.start(self._repair.run(delay_s))
            fut.add_done_callback(self._on_repair_ended)

    def _on_repair_ended(self, fut: "decisions.Future[None]") -> None:
        self._is_changing = False
        exc = fut.exception()
        if exc is not None:
            self._log("still paused", 0, "", repr(exc))

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
            self._attempts_in_vain = 0
            return
        self._next_attempt_at = self._ctx.clock.now() + self._backoff_s(exc)
        self._log("abandoned", 0, "", repr(exc))

    def _backoff_s(self, failure: BaseException) -> float:
        """Returns the time until the next attempt, in seconds.

        Args:
            failure: Why the last one failed.
        """
        if isinstance(failure, _change_steps.VetoedError):
            return VETO_BACKOFF_S
        if isinstance(failure, _change_steps.LeaseHeldError):
            return min(self._failure_backoff_s, failure.remaining_s)
        return self._failure_backoff_s

    @property
    def _failure_backoff_s(self) -> float:
        doublings = min(MAX_DOUBLINGS, max(0, self._attempts_in_vain - 1))
        return FAILURE_BACKOFF_S * (1 << doublings)

    # -- the change ------------------------------------------------------

    def _change_primary(self, cause: _fencing.Cause) -> "decisions.Flow[None]":
        # The opinions must not grow old while a claim waits for the release.
        yield self._claims.released
        self._claims.require_lease()
        started_at = self._ctx.clock.now()
        leader = self._group.leader
        asked = decisions.start(
            _opinions.ask(self._ctx.clock, self._ctx.mesh, self._group)
        )
        yield decisions.sleep(self._ctx.clock, self._claim_delay_s)
        current = _fencing.cause_of_change(self.evidence(), self._ctx.policy)
        if current is not cause:
            return
        opinions = yield asked
        self._check_veto(cause, list(opinions.replies.values()))
        if cause is _fencing.Cause.STALLED:
            yield from self._stalls.confirm(self._acknowledgements(opinions))
        yield from self._require_successor(cause, opinions)
        held = yield from self._claims.take()
        self._log("claimed", held.claim.token, "", cause.value)
        self._group.expect_primary_change()
        try:
            self._require_unchanged(leader)
            yield from self._replace(cause, held, opinions)
        finally:
            self._claims.release()
        self._ctx.note_promoted(cause.value, self._ctx.clock.now() - started_at)

    def _require_successor(
        self, cause: _fencing.Cause, opinions: _opinions.Opinions
    ) -> "decisions.Flow[None]":
        """Checks that a change may succeed, once an attempt was in vain.

        A claim costs calls of the store, and a fence holds up the replicas.

        Raises:
            ChangeAbandonedError: It would not at present.
        """
        self._claims.require_free()
        self._probes.probe(self._group)
        self._attempts_in_vain += 1
        if self._attempts_in_vain > 1:
            acks = self._acknowledgements(opinions)
            change = _fences.Change(cause, 0, acks)
            yield from self._fence.require_successor(change)

    def _acknowledgements(
        self, opinions: _opinions.Opinions
    ) -> _acknowledgements.Acknowledgements:
        peers = {*self._ctx.nodes()} - {self._ctx.node}
        acks = opinions.acknowledgements(self._group.acks, peers)
        return attrs.evolve(acks, since=max(acks.since, self._node_left_at))

    def _note_nodes(self) -> None:
        """Notes when a node left, as it may have passed on commits."""
        nodes = {*self._ctx.nodes()}
        if self._nodes - nodes:
            self._node_left_at = self._ctx.clock.boot_now()
        self._nodes = nodes

    def _require_unchanged(self, leader: _members.Leader | None) -> None:
        """Checks that the cause of the change is not of an earlier primary.

        Raises:
            ChangeAbandonedError: Another member leads by now.
        """
        if self._group.leader != leader:
            raise _change_steps.ChangeAbandonedError("the primary has changed")

    def _replace(
        self,
        cause: _fencing.Cause,
        held: _records.HeldClaim,
        opinions: _opinions.Opinions,
    ) -> "decisions.Flow[None]":
        """Fences the old primary and begins the next term."""
        token = held.claim.token
        self._fence.guard = functools.partial(self._claims.require_valid, held)
        self._fence.may_resume = lambda: self._claims.order is None
        change = _fences.Change(cause, token, self._acknowledgements(opinions))
        reports = yield from self._fence.raise_fence(change)
        if cause is _fencing.Cause.STALLED:
            yield from self._require_no_acks(reports)
        yield from self._succession.promote(reports, held)

    def _require_no_acks(
        self, reports: dict[str, _members.Report]
    ) -> "decisions.Flow[None]":
        """Checks again that no replica received commits before the fence.

        Raises:
            ChangeAbandonedError: One that is not listed yet has.
        """
        opinions = yield from _opinions.ask(
            self._ctx.clock, self._ctx.mesh, self._group
        )
        try:
            self._stalls.require_unrefuted(self._acknowledgements(opinions))
        except _change_steps.ChangeAbandonedError:
            yield from self._fence.resume(reports)
            raise

    @property
    def _claim_delay_s(self) -> float:
        """How long this node waits for others to claim, in seconds."""
        if self._claims.holds_lease:
            return 0.0
        return self._rank() * RANK_DELAY_S

    def _rank(self) -> int:
        """Returns this node's place in the order in which nodes claim."""
        names = sorted({*self._ctx.nodes(), self._ctx.node})
        service = self._group.service.name
        ranked = sorted(
            names, key=lambda n: decisions.rendezvous_score(service, n)
        )
        return min(MAX_RANK, ranked.index(self._ctx.node))

    def _check_veto(
        self,
        cause: _fencing.Cause,
        opinions: list[_opinion_messages.OpinionReply],
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
            raise _change_steps.VetoedError("a peer hears the primary")

    def _log(self, step: str, token: int, member: str, detail: str) -> None:
        _change_steps.log_step(self._group, step, token, member, detail)


def _unanswered_s(pool: _pools.Pool | None) -> float:
    """Returns for how long a primary has answered neither this node nor a peer.

    It is 0 until the contact counts as unresponsive, which takes longer for a
    member that needs long for a statement.
    """
    if pool is None or not pool.contact.is_unresponsive:
        return 0.0
    return min(pool.contact.unanswered_s, pool.contact.silence_s)
