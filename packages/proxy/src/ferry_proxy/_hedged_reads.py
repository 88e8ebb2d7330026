"""Hedged reads outside of transactions.

A read may run at several members. It is sent to another member if the first
does not reply for a while, so that lost replies, dead links and slow members
do not delay it for long.
"""

import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _execution
from ferry_proxy import _jobs
from ferry_proxy import _links
from ferry_proxy import _policy
from ferry_proxy import _pooled_links
from ferry_proxy import _pools

# Additional members that a read is sent to while earlier ones do not reply.
MAX_HEDGES = 2
# A link is closed if a reply is outstanding for this long.
SILENT_LINK_TIMEOUT_S = 2.0


class HedgedRead:
    """A read at one member, and at others while that one does not reply.

    Attributes:
        outcome: The first successful reply, or the failure of the read.
    """

    def __init__(
        self,
        executor: _execution.Executor,
        clock: _clocks.Clock,
        policy: _policy.Policy,
        job: _jobs.Job,
    ) -> None:
        self._executor = executor
        self._clock = clock
        self._policy = policy
        self._job = job
        self._tried: set[str] = set()
        self._running = 0
        self._hedges = 0
        self._behind_replies = 0
        self.outcome: decisions.Future[_links.Reply] = decisions.Future()
        clock.after(job.route.timeout_s, self._time_out)
        self._start_attempt()

    def _start_attempt(self) -> None:
        self._running += 1
        fut = decisions.start(self._attempt())
        fut.add_done_callback(self._on_attempt_done)

    def _attempt(self) -> "decisions.Flow[_links.Reply]":
        job = self._job
        target = yield from self._executor.target(
            job, self._tried, may_probe=not self._tried
        )
        pool = target.pool
        self._tried.add(pool.member.id)
        pooled = yield self._executor.waits.acquire(
            job,
            pool,
            target.floor,
            _pools.Use.STATEMENT,
            self._tried,
            is_hedge=self._running > 1,
        )
        if self.outcome.done():
            pool.release(pooled)
            raise decisions.RequestFailedError(decisions.CANCELED)
        return (yield from self._send(target, pooled))

    def _send(
        self, target: _execution.Target, pooled: _pooled_links.PooledLink
    ) -> "decisions.Flow[_links.Reply]":
        """Sends the read on a link, and to another member a while later."""
        job, pool = self._job, target.pool
        hedge_s = job.route.target_s * self._policy.hedge_share
        self._clock.after(hedge_s, self._hedge)
        started_at = self._clock.now()
        fut = self._executor.send(job, pool, pooled, target.floor)
        self._close_if_silent(pool, pooled, fut)
        outcomes = self._executor.outcomes
        outcomes.watch(job.group, pool, started_at, fut)
        try:
            reply: _links.Reply = yield fut
        except _links.LinkLostError as exc:
            pool.discard(pooled)
            outcomes.failure(job.group, pool, started_at, exc)
            raise decisions.RequestFailedError(
                decisions.READ_CUT, str(exc)
            ) from exc
        pool.note_heard(pooled, self._clock.now() - started_at)
        outcomes.reply(job.group, pool, started_at, reply.reason)
        pool.give_back(pooled, reply)
        return reply

    def _close_if_silent(
        self,
        pool: _pools.Pool,
        pooled: _pooled_links.PooledLink,
        fut: "decisions.Future[_links.Reply]",
    ) -> None:
        def check() -> None:
            if not fut.done():
                pool.discard(pooled)

        limit = max(SILENT_LINK_TIMEOUT_S, self._job.route.timeout_s)
        timer = self._clock.after(limit, check)
        fut.add_done_callback(lambda _: timer.cancel())

    def _hedge(self) -> None:
        """Sends the read to one more member if no reply has arrived."""
        if self.outcome.done() or not self._running:
            return
        if self._hedges < MAX_HEDGES:
            self._hedges += 1
            self._start_attempt()

    def _on_attempt_done(self, fut: "decisions.Future[_links.Reply]") -> None:
        self._running -= 1
        if self.outcome.done():
            return
        exc = fut.exception()
        if exc is not None and not isinstance(
            exc, decisions.RequestFailedError
        ):
            decisions.reject(self.outcome, exc)
            return
        reply = None if exc is not None else fut.result()
        if reply is not None and reply.reason is None:
            decisions.resolve(self.outcome, reply)
        elif self._running:
            self._replace_hedge(exc)  # Another member may still reply.
        elif self._may_retry(reply, exc):
            self._clock.after(self._retry_delay_s(reply, exc), self._retry)
        elif reply is not None:
            decisions.resolve(self.outcome, reply)
        else:
            assert exc is not None
            failure = self._executor.waits.explained(self._job, exc)
            decisions.reject(self.outcome, failure)

    def _replace_hedge(self, exc: BaseException | None) -> None:
        """Tries one more member after an attempt that got no link."""
        if not self._executor.outcomes.is_on or not _is_overloaded(exc):
            return
        if self._executor.has_other(self._job, self._tried):
            self._hedge()

    def _may_retry(
        self, reply: _links.Reply | None, exc: BaseException | None
    ) -> bool:
        job = self._job
        if _is_overloaded(exc):
            is_early = self._clock.now() < self._executor.waits.retry_end(job)
            return is_early and self._executor.has_other(job, self._tried)
        now = self._clock.now()
        until = self._executor.waits.retry_end(job)
        if job.progress.offered_at:
            return now < max(job.retry_until, until)
        return now < until

    def _retry_delay_s(
        self, reply: _links.Reply | None, exc: BaseException | None
    ) -> float:
        """Returns the delay before a retry: none while members are untried."""
        if _is_overloaded(exc):
            return 0.0  # Another member is left; it is tried at once.
        failure = exc if isinstance(exc, decisions.RequestFailedError) else None
        if failure is not None and failure.reason is decisions.NO_PRIMARY:
            return _execution.NO_FLOOR_PAUSE_S
        if reply is not None and reply.reason is decisions.BEHIND:
            self._behind_replies += 1
            if self._behind_replies >= len(self._job.group.pools):
                self._tried.clear()
                return _execution.NO_FLOOR_PAUSE_S
        untried = self._job.group.pools.keys() - self._tried
        tells_apart = reply is not None or (
            self._executor.outcomes.is_on and _is_cut(exc)
        )
        if tells_apart and untried and not self._job.is_primary_only:
            return 0.0
        self._tried.clear()
        return _execution.RETRY_PAUSE_S

    def _retry(self) -> None:
        if not self.outcome.done():
            self._start_attempt()

    def _time_out(self) -> None:
        reason = decisions.OVERLOADED
        decisions.reject(
            self.outcome,
            decisions.RequestFailedError(reason, "no answer in time"),
        )


def _is_overloaded(exc: BaseException | None) -> bool:
    failure = exc if isinstance(exc, decisions.RequestFailedError) else None
    return failure is not None and failure.reason is decisions.OVERLOADED


def _is_cut(exc: BaseException | None) -> bool:
    failure = exc if isinstance(exc, decisions.RequestFailedError) else None
    return failure is not None and failure.reason is decisions.READ_CUT
