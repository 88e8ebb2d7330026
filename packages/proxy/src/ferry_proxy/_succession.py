"""The last part of a change of primary: a paused replica becomes the primary.

The order is recorded in the claim before it is sent. The members stay paused
until its outcome is known, so that the old primary acknowledges nothing that
the successor lacks.
"""

import typing

import ferry_decisions as decisions

from ferry_proxy import _change_steps
from ferry_proxy import _claims
from ferry_proxy import _clocks
from ferry_proxy import _fences
from ferry_proxy import _groups
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _orders
from ferry_proxy import _paused_members
from ferry_proxy import _peer_messages
from ferry_proxy import _peers
from ferry_proxy import _policy
from ferry_proxy import _records
from ferry_proxy import _resumption
from ferry_proxy import _store

MAX_PROMOTE_WAIT_S = _orders.MAX_ORDER_AGE_S
LEADER_POLL_S = 0.03  # How often a promoted member is asked whether it leads.


class Context(typing.Protocol):
    """The dependencies of a succession."""

    @property
    def clock(self) -> _clocks.Clock:
        """The clock."""

    @property
    def policy(self) -> _policy.Policy:
        """The tunable limits and intervals."""

    @property
    def node(self) -> str:
        """This node's name."""

    @property
    def promotions(self) -> _store.Promotions:
        """The platform's call that makes a member the primary."""

    @property
    def mesh(self) -> _peers.Peers:
        """The connected nodes that serve the group."""


class Succession:
    """Promotes members of one group under the node's claims."""

    def __init__(
        self,
        ctx: Context,
        group: _groups.Group,
        claims: _claims.Claims,
        fence: _fences.Fence,
    ) -> None:
        self._ctx = ctx
        self._group = group
        self._claims = claims
        self._fence = fence
        self._promote_wait_s = ctx.policy.promote_wait_s

    def promote(
        self,
        reports: dict[str, _members.Report],
        held: _records.HeldClaim,
    ) -> "decisions.Flow[None]":
        """Promotes a paused replica, and waits until it leads.

        Args:
            reports: The reports of the paused members, by id.
            held: The claim.

        Raises:
            ChangeAbandonedError: The claim is too old, a paused member has
                restarted, another order may still be executed, the platform
                refused the promotion, or the member does not lead.
        """
        successor = yield from self._choose(reports, held.claim.token)
        yield from self._record(reports, successor)
        self._require_sendable(held)
        yield from self._order(reports, successor, held.claim.token)
        term = yield from self._await_leader(successor, held.claim.token)
        if any(r.paused_term > term for r in reports.values()):
            yield from self._resume_above(held.claim.token)

    def _resume_above(self, token: int) -> "decisions.Flow[None]":
        """Resumes members that are paused for a later term than the new one.

        Each fence pauses for a later term than the one before. If a change was
        given up before, that is later than the term that the platform begins.
        """
        group = self._group
        try:
            paused = yield from _paused_members.find(group, self._ctx.clock)
        except _change_steps.ChangeAbandonedError as exc:
            # The repair resumes them once all members can be asked.
            self._log("still paused", token, "", str(exc))
            return
        yield from _resumption.resume(group, paused, token, self._fence.guard)

    def _choose(
        self, reports: dict[str, _members.Report], token: int
    ) -> "decisions.Flow[str]":
        """Returns the member to promote.

        Raises:
            ChangeAbandonedError: There is none at present.
        """
        group = self._group
        if self._fence.is_broken(reports):
            yield from self._fence.resume(reports)
            raise _change_steps.ChangeAbandonedError(
                "a paused member began again"
            )
        members = {n: p.member for n, p in group.pools.items()}
        order = self._claims.order
        successor = _orders.choose_successor(reports, members, order)
        if successor is None and order is not None:
            raise _change_steps.ChangeAbandonedError(
                f"an order to {order.member}, token {order.token},"
                " may still be executed"
            )
        if successor is None:
            raise _change_steps.ChangeAbandonedError(
                "no member can be promoted"
            )
        self._log("promoting", token, successor, self._describe(reports, order))
        return successor

    def _describe(
        self,
        reports: dict[str, _members.Report],
        order: _records.PromotionOrder | None,
    ) -> str:
        """Returns what a choice is based on, for the log."""
        now = self._ctx.clock.boot_now()
        received = ", ".join(
            f"{name} {r.received} asked {now - r.asked_at:.3f} s ago"
            for name, r in sorted(reports.items())
        )
        before = f"; ordered before: {order}" if order else ""
        return f"received: {received}{before}"

    def _record(
        self, reports: dict[str, _members.Report], successor: str
    ) -> "decisions.Flow[None]":
        try:
            yield from self._claims.record_order(successor)
        except _change_steps.ChangeAbandonedError:
            yield from self._fence.resume(reports)
            raise

    def _require_sendable(self, held: _records.HeldClaim) -> None:
        """Checks that the recorded order may still be sent.

        Raises:
            ChangeAbandonedError: The claim is too old; the order is not sent.
        """
        try:
            self._claims.require_valid(held)
        except _change_steps.ChangeAbandonedError:
            self._claims.note_not_executed()
            raise

    def _order(
        self, reports: dict[str, _members.Report], successor: str, token: int
    ) -> "decisions.Flow[None]":
        """Orders the promotion of a member.

        Raises:
            ChangeAbandonedError: The platform refused it.
        """
        ctx = self._ctx
        service = self._group.service.name
        try:
            yield ctx.promotions.promote(service, successor, ctx.node, token)
            self._claims.note_answered()
        except _store.PromotionRefusedError as exc:
            self._claims.note_answered()
            self._claims.note_not_executed()
            yield from self._fence.resume(reports)
            raise _change_steps.ChangeAbandonedError(str(exc)) from exc
        except _store.StoreUnavailableError as exc:
            # The order may still be executed, even later, so only the member
            # itself can tell. The replicas stay paused meanwhile.
            self._log("unanswered", token, successor, str(exc))

    def _await_leader(
        self, successor: str, token: int
    ) -> "decisions.Flow[int]":
        """Waits until the promoted member leads; returns its term."""
        ctx = self._ctx
        group = self._group
        started_at = ctx.clock.now()
        while ctx.clock.now() - started_at < self._promote_wait_s:
            group.expect_primary_change()
            self._fence.pause_newcomers()
            pool = group.pools.get(successor)
            if pool is None:
                break
            try:
                report = yield from group.ask(pool, _links.Status())
            except decisions.RequestFailedError as exc:
                _change_steps.log_step(
                    self._group, "asked", token, successor, exc.reason.name
                )
            else:
                if report.role is _members.Role.PRIMARY:
                    self._announce(successor, report.term, token)
                    return int(report.term)
            yield decisions.sleep(ctx.clock, LEADER_POLL_S)
        # Promotions may take longer on this platform. Another order would only
        # restart the wait, so the next attempt waits longer.
        self._promote_wait_s = min(MAX_PROMOTE_WAIT_S, 2 * self._promote_wait_s)
        raise _change_steps.ChangeAbandonedError(f"{successor} does not lead")

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
        _change_steps.log_step(self._group, step, token, member, detail)
