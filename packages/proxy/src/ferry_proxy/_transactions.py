"""A transaction: one link from its first statement to its end."""

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

QUIET_CHECK_S = 0.05  # Within a quarter of the shortest target.
STATES = _statements.TransactionState


class Transaction:
    """What a caller began; it takes a link with its first statement."""

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
        self._taken: _pooled_links.PooledLink | None = None
        self._wrote = False
        self.failure: decisions.Reason | None = None
        self.last_used_at = clock.now()

    @property
    def wrote(self) -> bool:
        """Whether it may have written something."""
        return self._wrote

    @property
    def holds_link(self) -> bool:
        """Whether a member holds it."""
        return self._taken is not None

    def run(self, request: _requests.Request) -> "decisions.Flow[_links.Reply]":
        """Runs a statement of it, its COMMIT included.

        Raises:
            decisions.RequestFailedError: No reply; the transaction has failed
                and nothing of it is kept, unless the reason is unknown.
        """
        job = _jobs.Job.of(request, self._group)
        try:
            if self._taken is None:
                yield from self._admit(job)
            elif self._taken.team != job.caller.team:
                raise decisions.RequestFailedError(
                    decisions.TRANSACTION_LOST, "its key is another team's now"
                )
            reply = yield from self._hand_over(job)
        except decisions.RequestFailedError as exc:
            self.fail(exc.reason)
            raise
        self.last_used_at = self._clock.now()
        if reply.reason is not None:
            self.fail(reply.reason)
        elif job.statement.kind is _statements.Kind.COMMIT:
            self._end(reply)
            if self._wrote:
                yield from self._executor.confirm(job)
        return reply

    def _admit(self, job: _jobs.Job) -> "decisions.Flow[None]":
        """Begins, if the team's limit lets it."""
        yield from self._gate.admit(job.caller.team)
        try:
            yield from self._open(job)
        finally:
            if self._taken is None:
                self._gate.give_back(job.caller.team)

    def fail(self, reason: decisions.Reason) -> None:
        """Ends it at the member; the caller has yet to end it."""
        if self.failure is None:
            self.failure = reason
        self.roll_back()

    def roll_back(self) -> None:
        """Rolls it back at the member and gives the link back."""
        pool, taken = self._pool, self._taken
        self._pool = self._taken = None
        if pool is None or taken is None:
            return
        if taken.link.lost:
            pool.discard(taken)
            return
        decisions.start(self._roll_back(pool, taken))

    def _roll_back(
        self, pool: _pools.Pool, taken: _pooled_links.PooledLink
    ) -> "decisions.Flow[None]":
        """A link is used again only once it is known to be idle."""
        try:
            reply = yield from pool.exchange(taken, _links.Rollback())
        except decisions.RequestFailedError:
            return  # The link is closed, and the member rolls back.
        pool.give_back(taken, reply)

    def _end(self, reply: _links.Reply) -> None:
        pool, taken = self._pool, self._taken
        self._pool = self._taken = None
        if pool is not None and taken is not None:
            pool.give_back(taken, reply)

    def _open(self, job: _jobs.Job) -> "decisions.Flow[None]":
        """Begins at a member; until a statement ran, any other may do."""
        tried: set[str] = set()
        while True:
            reason = yield from self._try_open(job, tried)
            if self._taken is not None:
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
            taken = yield target.pool.acquire(
                _pools.Use.TRANSACTION,
                job.route.priority,
                job.hold_end(self._policy),
                job.values,
                job.caller.team,
            )
        except decisions.RequestFailedError as exc:
            return exc.reason
        return (yield from self._begin(job, target, taken))

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
        taken: _pooled_links.PooledLink,
    ) -> "decisions.Flow[decisions.Reason]":
        begin = _links.Begin(self._read_only, target.floor)
        job.progress.note_offered(self._clock.now())
        try:
            reply = yield from target.pool.exchange(taken, begin)
        except decisions.RequestFailedError:
            return decisions.NO_CONNECTION
        if reply.reason is not None or reply.state is not STATES.OPEN:
            target.pool.give_back(taken, reply)
            return reply.reason or decisions.PROTOCOL_VIOLATION
        self._pool, self._taken = target.pool, taken
        return decisions.NO_CONNECTION

    def _may_retry(
        self, job: _jobs.Job, reason: decisions.Reason, tried: set[str]
    ) -> bool:
        if reason is decisions.OVERLOADED and not (
            self._read_only and self._executor.has_other(job, tried)
        ):
            return False
        return self._clock.now() < job.hold_end(self._policy)

    def _hand_over(self, job: _jobs.Job) -> "decisions.Flow[_links.Reply]":
        """Runs a statement, again while the member is too busy for it."""
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
        pool, taken = self._pool, self._taken
        if pool is None or taken is None or taken.link.lost:
            raise decisions.RequestFailedError(decisions.TRANSACTION_LOST)
        is_commit = job.statement.kind is _statements.Kind.COMMIT
        if job.writes:
            self._wrote = True
        unsure = is_commit and self._wrote
        lost = decisions.ANSWER_LOST if unsure else decisions.TRANSACTION_LOST
        taken.is_committing = is_commit
        fut = self._executor.send(job, pool, taken, None)
        limit = job.deadline - self._clock.now()
        begun = self._clock.now()
        if not unsure:
            self._close_if_quiet(pool, taken, fut)
        try:
            reply: _links.Reply = yield decisions.with_timeout(
                self._clock, limit, fut
            )
        except decisions.TimeoutExpiredError as exc:
            pool.discard(taken)
            raise decisions.RequestFailedError(lost, "no answer") from exc
        except _links.LinkLostError as exc:
            reason = lost if exc.was_sent else decisions.TRANSACTION_LOST
            raise decisions.RequestFailedError(reason, str(exc)) from exc
        pool.note_heard(taken, self._clock.now() - begun)
        return reply

    def _close_if_quiet(
        self,
        pool: _pools.Pool,
        taken: _pooled_links.PooledLink,
        fut: "decisions.Future[_links.Reply]",
    ) -> None:
        """Gives a statement up once its member answers nobody.

        Closing the link rolls the transaction back, so that the caller learns
        at once that nothing is kept, and may begin again elsewhere in time.
        """

        def check() -> None:
            if fut.done():
                return
            if pool.contact.is_unresponsive:
                pool.discard(taken)
            else:
                self._clock.after(QUIET_CHECK_S, check)

        self._clock.after(pool.contact.max_reply_s, check)
