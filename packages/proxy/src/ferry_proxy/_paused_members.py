"""Replicas that stay paused after a change of primary was given up.

A node that has paused replicas may end, lose its claim, or fail to reach them
before it resumes them. They then receive nothing from a primary that leads on,
and nothing else resumes them. A serving node therefore claims a change once
more, only to resume them.
"""

import ferry_decisions as decisions

from ferry_proxy import _change_steps
from ferry_proxy import _claims
from ferry_proxy import _clocks
from ferry_proxy import _groups
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _policy
from ferry_proxy import _resumption

Reports = dict[str, _members.Report]


def left_paused(leader: _members.Leader | None, reports: Reports) -> Reports:
    """Returns the reports of replicas that do not follow a leading primary.

    The result is empty if a later term may have begun.

    Args:
        leader: The primary as far as known.
        reports: The latest reports of the listed members, by id.
    """
    own = reports.get(leader.member) if leader else None
    if leader is None or own is None or not own.leads(leader):
        return {}
    if any(r.term > leader.term for r in reports.values()):
        return {}
    return {
        name: report
        for name, report in reports.items()
        if report.role is _members.Role.REPLICA
        and report.paused_term > leader.term
    }


def last_reports(group: _groups.Group) -> Reports:
    """Returns the latest reports of the listed members, by id."""
    found = {name: group.last_report(name) for name in group.pools}
    return {n: r for n, r in found.items() if r is not None}


def find(
    group: _groups.Group, clock: _clocks.Clock
) -> "decisions.Flow[Reports]":
    """Asks all members, and returns the reports of those left paused.

    Args:
        group: The group.
        clock: The clock.

    Raises:
        ChangeAbandonedError: A member cannot be asked. It may lead a later
            term, or take a resumed replica for its own in an earlier one.
    """
    now = clock.boot_now()
    departed = [d for d in group.departures.open() if d.may_run(now)]
    if departed:
        names = ", ".join(d.member.id for d in departed)
        raise _change_steps.ChangeAbandonedError(f"{names} may still run")
    futs = [
        decisions.start(group.ask(pool, _links.Status()))
        for pool in group.pools.values()
    ]
    settled = yield decisions.settle_all(futs, lambda _: False)
    failed = [s.failure for s in settled if s.failure is not None]
    if failed:
        raise _change_steps.ChangeAbandonedError(
            f"not all members answer: {failed}"
        )
    return left_paused(group.leader, last_reports(group))


class PauseWatch:
    """Observes for how long the same replicas have been left paused."""

    def __init__(self) -> None:
        self._paused: dict[str, int] = {}
        self._since = 0.0

    def observe(
        self, leader: _members.Leader | None, reports: Reports, now: float
    ) -> None:
        """Compares the latest reports with those before.

        Args:
            leader: The primary as far as known.
            reports: The latest reports of the listed members, by id.
            now: The current boot time, in seconds.
        """
        found = left_paused(leader, reports)
        paused = {name: r.paused_term for name, r in found.items()}
        if paused != self._paused:
            self._paused = paused
            self._since = now

    def paused_s(self, now: float) -> float:
        """Returns for how long they have been paused; 0 without any.

        Args:
            now: The current boot time, in seconds.
        """
        return now - self._since if self._paused else 0.0


class Repair:
    """Resumes replicas of one group that were left paused."""

    def __init__(
        self,
        clock: _clocks.Clock,
        policy: _policy.Policy,
        group: _groups.Group,
        claims: _claims.Claims,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._group = group
        self._claims = claims
        self._watch = PauseWatch()
        self._next_attempt_at = float("-inf")

    def observe(self) -> None:
        """Takes the latest reports into account."""
        now = self._clock.boot_now()
        reports = last_reports(self._group)
        self._watch.observe(self._group.leader, reports, now)

    @property
    def is_due(self) -> bool:
        """Whether members have been paused for longer than a change takes."""
        now = self._clock.boot_now()
        is_long = self._watch.paused_s(now) > self._policy.claim_takeover_s
        if not is_long or now < self._next_attempt_at:
            return False
        return not self._is_ordered() and self._claims.is_free()

    def _is_ordered(self) -> bool:
        """Whether a member may still be promoted that does not lead yet.

        An order to the present primary has no effect, however late.
        """
        order = self._claims.pending_order()
        leader = self._group.leader
        return order is not None and (
            leader is None or leader.member != order.member
        )

    def run(self, delay_s: float) -> "decisions.Flow[None]":
        """Resumes the members that were left paused.

        Args:
            delay_s: How long to wait for other nodes to do so.

        Raises:
            ChangeAbandonedError: A member does not answer, a later term may
                have begun, or another node may be changing the primary.
        """
        retry_s = self._policy.claim_takeover_s
        self._next_attempt_at = self._clock.boot_now() + retry_s
        yield decisions.sleep(self._clock, delay_s)
        paused_s = self._watch.paused_s(self._clock.boot_now())
        if not (yield from self._find_paused()):
            return
        held = yield from self._claims.take(may_order=False)
        try:
            paused = yield from self._find_paused()
            if self._is_ordered():
                raise _change_steps.ChangeAbandonedError(
                    f"{self._claims.order} may still be executed"
                )
            terms = {n: r.paused_term for n, r in paused.items()}
            detail = f"paused for {paused_s:.1f} s: {terms}"
            token = held.claim.token
            _change_steps.log_step(self._group, "resuming", token, "", detail)
            yield from _resumption.resume(
                self._group,
                paused,
                token,
                lambda: self._claims.require_valid(held),
            )
        finally:
            self._claims.release()

    def _find_paused(self) -> "decisions.Flow[Reports]":
        try:
            return (yield from find(self._group, self._clock))
        finally:
            self.observe()
