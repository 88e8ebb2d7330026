"""Transactions that run over one link from first statement to last."""

import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _execution
from ferry_proxy import _gates
from ferry_proxy import _groups
from ferry_proxy import _jobs
from ferry_proxy import _links
from ferry_proxy import _policy
from ferry_proxy import _pooled_links
from ferry_proxy import _pools
from ferry_proxy import _requests
from ferry_proxy import _statements

# How often a running statement's member is checked for being unresponsive: a
# quarter of the shortest latency target at most.
CONTACT_CHECK_INTERVAL_S = 0.05
STATES = _statements.TransactionState


class Transaction:
    """A transaction at a member; acquires a link with its first statement.

    Attributes:
        failure: Why it failed; None while it has not.
        last_used_at: When its last statement ended, in the clock's seconds.
    """

    def __init__(
        self,
        clock: _clocks.Clock,
        executor: _execution.Executor,
        policy: _policy.Policy,
        group: _groups.Group,
        read_only: bool,
        gate: _gates.Gate,
    ) -> None:
        self._clock = clock
        self._executor = executor
        self._policy = policy
        self._group = group
        self._read_only = read_only
        self._gate = gate
        self._pool: _pools.Pool | None = None
        self._pooled_link: _pooled_links.PooledLink | None = None
        self._wrote = False
        self.failure: decisions.Reason | None = None
        self.last_used_at = clock.now()

    @property
    def wrote(self) -> bool:
        """Whether one of its statements may have written."""
        return self._wrote

    @property
    def holds_link(self) -> bool:
        """Whether it holds a link, so that a member has it open."""
        return self._pooled_link is not None

    def run(self, request: _requests.Request) -> "decisions.Flow[_links.Reply]":
        """Runs a statement of the transaction, COMMIT included.

        Raises:
            decisions.RequestFailedError: There is no reply. The transaction
                has failed and has no effect, unless the reason says that its
                outcome is unknown.
        """
        job = _jobs.Job.of(request, self._group)
        try:
            if self._pooled_link is None:
                yield from self._admit(job)
            elif self._pooled_link.team != job.caller.team:
                raise decisions.RequestFailedError(
                    decisions.TRANSACTION_LOST, "its key is another team's now"
                )
            reply = yield from self._run_with_retries(job)
        except decisions.RequestFailedError as exc:
            self.fail(exc.reason)
            raise
        self.last_used_at = self._clock.now()
        if reply.reason is not None:
            self.fail(reply.reason)
        elif job.statement.kind is _statements.Kind.COMMIT:
            self._end(reply)
            if self._wrote:
                yield from self._executor.confirm(job, reply)
        return reply

    def _admit(self, job: _jobs.Job) -> "decisions.Flow[None]":
        """Opens the transaction if the team's rate limit admits it."""
        yield from self._gate.admit(job.caller.team)
        try:
            yield from self._open(job)
        finally:
            if self._pooled_link is None:
                self._gate.give_back(job.caller.team)

    def fail(self, reason: decisions.Reason) -> None:
        """Rolls back at the member; the caller still has to end it."""
        if self.failure is None:
            self.failure = reason
        self.roll_back()

    def roll_back(self) -> None:
        """Rolls back at the member and returns the link to the pool."""
        pool, pooled_link = self._pool, self._pooled_link
        self._pool = self._pooled_link = None
        if pool is None or pooled_link is None:
            return
        if pooled_link.link.lost:
            pool.discard(pooled_link)
            return
        decisions.start_detached(
            "roll back", self._roll_back(pool, pooled_link)
        )

    def _roll_back(
        self, pool: _pools.Pool, pooled_link: _pooled_links.PooledLink
    ) -> "decisions.Flow[None]":
        """Returns the link to the pool only once it is known to be idle."""
        try:
            reply = yield from pool.exchange(pooled_link, _links.Rollback())
        except decisions.RequestFailedError:
            return  # The link is closed, which makes the member roll back.
        pool.give_back(pooled_link, reply)

    def _end(self, reply: _links.Reply) -> None:
        pool, pooled_link = self._pool, self._pooled_link
        self._pool = self._pooled_link = None
        if pool is not None and pooled_link is not None:
            pool.give_back(pooled_link, reply)

    def _open(self, job: _jobs.Job) -> "decisions.Flow[None]":
        """Opens at a member, or at another if that fails.

        Until a statement has run, members are interchangeable.
        """
        tried: set[str] = set()
        while True:
            reason = yield from self._try_open(job, tried)
            if self._pooled_link is not None:
                return
            if not self._may_retry(job, reason, tried):
                raise decisions.RequestFailedError(reason, "at the begin")
            if reason is decisions.NOT_PRIMARY:
                yield decisions.settled(job.group.refresh())
            if reason is decisions.NO_PRIMARY:
                yield decisions.sleep(self._clock, _execution.NO_FLOOR_PAUSE_S)
            else:
                yield decisions.sleep(self._clock, _execution.RETRY_PAUSE_S)
            if not job.group.pools.keys() - tried:
                tried.clear()

    def _try_open(
        self, job: _jobs.Job, tried: set[str]
    ) -> "decisions.Flow[decisions.Reason]":
        try:
            target = yield from self._target(job, tried)
            tried.add(target.pool.member.id)
            pooled_link = yield self._acquire(job, target, tried)
        except decisions.RequestFailedError as exc:
            return exc.reason
        return (yield from self._begin(job, target, pooled_link))

    def _acquire(
        self, job: _jobs.Job, target: _execution.Target, tried: set[str]
    ) -> "decisions.Future[_pooled_links.PooledLink]":
        use = _pools.Use.TRANSACTION
        if self._read_only:
            return self._executor.waits.acquire(
                job, target.pool, target.floor, use, tried
            )
        return target.pool.acquire(
            use,
            job.route.priority,
            job.hold_end(self._policy),
            job.values,
            job.caller.team,
            job.work,
        )

    def _target(
        self, job: _jobs.Job, tried: set[str]
    ) -> "decisions.Flow[_execution.Target]":
        if self._read_only or job.is_primary_only:
            return (yield from self._executor.target(job, tried))
        floor = yield from self._executor.floor(job)
        pool = yield from self._executor.primary(job)
        return _execution.Target(pool, floor)

    def _begin(
        self,
        job: _jobs.Job,
        target: _execution.Target,
        pooled_link: _pooled_links.PooledLink,
    ) -> "decisions.Flow[decisions.Reason]":
        begin = _links.Begin(self._read_only, target.floor)
        started_at = self._clock.now()
        job.progress.note_offered(started_at)
        outcomes = self._executor.outcomes
        try:
            reply = yield from target.pool.exchange(pooled_link, begin)
        except decisions.RequestFailedError as exc:
            cause = exc.__cause__
            outcomes.failure(self._group, target.pool, started_at, cause)
            return decisions.NO_CONNECTION
        if reply.reason is not None or reply.state is not STATES.OPEN:
            target.pool.give_back(pooled_link, reply)
            return reply.reason or decisions.PROTOCOL_VIOLATION
        self._pool, self._pooled_link = target.pool, pooled_link
        return decisions.NO_CONNECTION

    def _may_retry(
        self, job: _jobs.Job, reason: decisions.Reason, tried: set[str]
    ) -> bool:
        if reason is decisions.OVERLOADED and not (
            self._read_only and self._executor.has_other(job, tried)
        ):
            return False
        if self._read_only:
            return self._clock.now() < self._executor.waits.retry_end(job)
        return self._clock.now() < job.hold_end(self._policy)

    def _run_with_retries(
        self, job: _jobs.Job
    ) -> "decisions.Flow[_links.Reply]":
        """Runs a statement, and retries it while the member is too busy."""
        while True:
            reply = yield from self._run_once(job)
            busy = reply.reason is decisions.MEMBER_BUSY
            still_open = reply.state is STATES.OPEN
            if not (busy and still_open):
                return reply
            if self._clock.now() >= job.retry_until:
                return reply
            yield decisions.sleep(self._clock, _execution.RETRY_PAUSE_S)

    def _run_once(self, job: _jobs.Job) -> "decisions.Flow[_links.Reply]":
        pool, pooled_link = self._pool, self._pooled_link
        if pool is None or pooled_link is None or pooled_link.link.lost:
            raise decisions.RequestFailedError(decisions.TRANSACTION_LOST)
        is_commit = job.statement.kind is _statements.Kind.COMMIT
        if job.writes:
            self._wrote = True
        may_be_committed = is_commit and self._wrote
        if job.writes or may_be_committed:
            self._group.commits.require_commits(pool)
        lost = (
            decisions.ANSWER_LOST
            if may_be_committed
            else decisions.TRANSACTION_LOST
        )
        pooled_link.is_committing = is_commit
        fut = self._executor.send(job, pool, pooled_link, None)
        if may_be_committed:
            self._group.commits.watch(pool, pooled_link, fut)
        else:
            self._close_if_unresponsive(pool, pooled_link, fut)
        return (yield from self._reply(job, pool, pooled_link, fut, lost))

    def _reply(
        self,
        job: _jobs.Job,
        pool: _pools.Pool,
        pooled_link: _pooled_links.PooledLink,
        fut: "decisions.Future[_links.Reply]",
        lost: decisions.Reason,
    ) -> "decisions.Flow[_links.Reply]":
        """Waits for the reply to a statement until its time limit.

        Args:
            job: The statement.
            pool: The pool of the link.
            pooled_link: The link that it was sent on.
            fut: The reply.
            lost: The reason to report if no reply arrives.
        """
        limit = job.deadline - self._clock.now()
        started_at = self._clock.now()
        outcomes = self._executor.outcomes
        try:
            reply: _links.Reply = yield decisions.with_timeout(
                self._clock, limit, fut
            )
        except decisions.TimeoutExpiredError as exc:
            pool.discard(pooled_link)
            # A commit may wait for a replica, which is no fault of the member.
            if lost is not decisions.ANSWER_LOST:
                outcomes.failure(job.group, pool, started_at, exc)
            raise decisions.RequestFailedError(lost, "no answer") from exc
        except _links.LinkLostError as exc:
            outcomes.failure(job.group, pool, started_at, exc)
            reason = lost if exc.was_sent else decisions.TRANSACTION_LOST
            raise decisions.RequestFailedError(reason, str(exc)) from exc
        pool.note_heard(pooled_link, self._clock.now() - started_at)
        outcomes.reply(job.group, pool, started_at, reply.reason)
        return reply

    def _close_if_unresponsive(
        self,
        pool: _pools.Pool,
        pooled_link: _pooled_links.PooledLink,
        fut: "decisions.Future[_links.Reply]",
    ) -> None:
        """Closes the link once its member answers nobody.

        Closing it rolls the transaction back, so that the caller learns at
        once that it had no effect and can retry elsewhere in time.
        """

        def check() -> None:
            if fut.done():
                return
            if pool.contact.is_unresponsive:
                pool.discard(pooled_link)
            else:
                self._clock.after(CONTACT_CHECK_INTERVAL_S, check)

        self._clock.after(pool.contact.max_reply_s, check)
