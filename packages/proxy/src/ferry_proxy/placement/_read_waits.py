"""Bounds on the time that reads wait for members.

A read does not wait in the queue of one member while another could run it, nor
past its target latency while every member is silent or behind.
"""

from collections.abc import Callable

import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _jobs
from ferry_proxy import _link_queue
from ferry_proxy import _policy
from ferry_proxy import _pooled_links
from ferry_proxy import _pools
from ferry_proxy.placement import _outcome_recorder
from ferry_proxy.placement import _read_members

# How often a waiting request looks for a better member; a quarter of the time
# after which a member counts as unresponsive.
CHECK_INTERVAL_S = 0.04

# The detail of a failure when all members that a read may run at are silent.
NO_MEMBER_ANSWERS = "no member answers"


class ReadWaits:
    """Acquires links for reads and bounds their waits."""

    def __init__(
        self,
        clock: _clocks.Clock,
        policy: _policy.Policy,
        members: _read_members.ReadMembers,
        outcomes: _outcome_recorder.OutcomeRecorder,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._members = members
        self._outcomes = outcomes

    def acquire(
        self,
        job: _jobs.Job,
        pool: _pools.Pool,
        floor: decisions.Position | None,
        use: _pools.Use,
        tried: set[str],
        is_hedge: bool = False,
    ) -> "decisions.Future[_pooled_links.PooledLink]":
        """Acquires a link for a read.

        Fails with `decisions.RequestFailedError` if none becomes available, or
        if another member could run the read sooner: since this one has stopped
        answering, or since the other one is idle.

        Args:
            job: The read.
            pool: The pool of links to the member.
            floor: The position that the member must have reached, if any.
            use: What the link is for.
            tried: The ids of members that are not selected again.
            is_hedge: Whether the read waits for another member's reply, too.
        """
        until = self._hedge_end(job, pool) if is_hedge else self._hold_end(job)
        fut = pool.acquire(
            use,
            job.route.priority,
            until,
            job.values,
            job.caller.team,
            job.work,
        )
        if floor is not None and self._outcomes.is_on:
            self._watch(
                fut, lambda: self._why_not_wait(job, pool, tried, floor)
            )
        return fut

    def _watch(
        self,
        fut: "decisions.Future[_pooled_links.PooledLink]",
        why_not: Callable[[], decisions.RequestFailedError | None],
    ) -> None:
        """Fails a request for a link as soon as it should not wait longer."""

        def check() -> None:
            if fut.done():
                return
            exc = why_not()
            if exc is None:
                self._clock.after(CHECK_INTERVAL_S, check)
            else:
                decisions.reject(fut, exc)

        if not fut.done():
            self._clock.after(CHECK_INTERVAL_S, check)

    def _why_not_wait(
        self,
        job: _jobs.Job,
        pool: _pools.Pool,
        tried: set[str],
        floor: decisions.Position,
    ) -> decisions.RequestFailedError | None:
        """Returns why a read should not wait longer; None if it should."""
        others = [
            p
            for p in self._members.capable(job, tried, floor)
            if not self._outcomes.is_ejected(p)
        ]
        is_over = (
            self._is_hopeless(job) and self._clock.now() >= job.retry_until
        )
        is_useless = others and not job.group.is_responsive(pool)
        if is_useless or (is_over and pool.contact.is_silent):
            return decisions.RequestFailedError(
                decisions.NO_CONNECTION, NO_MEMBER_ANSWERS
            )
        if is_over and pool.reported.lacks(floor):
            return decisions.RequestFailedError(
                decisions.BEHIND, pool.member.id
            )
        is_other_idle = any(
            not p.expected_wait_s(job.route.priority) for p in others
        )
        if is_over or is_other_idle:
            return _link_queue.overloaded(pool.member.id)
        return None

    def _hedge_end(self, job: _jobs.Job, pool: _pools.Pool) -> float:
        """Returns how long a hedge may wait for a link, as a clock time.

        It starts when the read's own time to wait is over, and would get no
        link that has yet to be opened. It still does not queue.
        """
        end = self._hold_end(job)
        if not self._outcomes.is_on:
            return end
        if pool.expected_wait_s(job.route.priority) > 0:
            return end
        wait_s = job.route.target_s * self._policy.hold_share
        return min(job.deadline, max(end, self._clock.now() + wait_s))

    def retry_end(self, job: _jobs.Job) -> float:
        """Returns how long a read may wait for a member, as a clock time.

        While all members that it may run at are silent or behind, it waits no
        longer than its target latency, even if the primary is being changed.
        """
        end = self._hold_end(job)
        if not self._outcomes.is_on or not self._is_hopeless(job):
            return end
        return min(end, job.retry_until)

    def explained(self, job: _jobs.Job, exc: BaseException) -> BaseException:
        """Returns the failure of a read with its true reason.

        Args:
            job: The read.
            exc: The failure of its last attempt.
        """
        if not isinstance(exc, decisions.RequestFailedError):
            return exc
        if exc.reason is not decisions.OVERLOADED or not self._outcomes.is_on:
            return exc
        floor = _read_members.known_floor(job)
        if job.is_primary_only or floor is None:
            return exc
        if self._members.capable(job, set(), floor):
            return exc
        usable = self._members.untried(job.group, set())
        if any(map(job.group.is_responsive, usable)):
            return decisions.RequestFailedError(decisions.BEHIND, exc.detail)
        return decisions.RequestFailedError(
            decisions.NO_CONNECTION, NO_MEMBER_ANSWERS
        )

    def _hold_end(self, job: _jobs.Job) -> float:
        """Returns how long a read may be held, as a clock time.

        A primary that is merely unresponsive may be saturated. Reads that need
        no primary do not wait for it as they would for a new one: they would
        all be late, and keep it saturated.
        """
        if job.is_primary_only or not self._outcomes.is_on:
            return job.hold_end(self._policy)
        group = job.group
        is_replaced = (
            group.leader is None
            or self._clock.now() < group.primary_change_until
        )
        return job.hold_until(self._policy, is_replaced, group.leader_found_at)

    def _is_hopeless(self, job: _jobs.Job) -> bool:
        """Whether all members that a read may run at are silent or behind."""
        floor = _read_members.known_floor(job)
        if job.is_primary_only or floor is None:
            return False
        return not self._members.any_promising(job, floor)
