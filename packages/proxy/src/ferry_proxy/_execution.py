"""Running single statements: reads anywhere fresh enough, writes once."""

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _groups
from ferry_proxy import _jobs
from ferry_proxy import _links
from ferry_proxy import _policy
from ferry_proxy import _pooled_links
from ferry_proxy import _pools
from ferry_proxy import _routing

RETRY_PAUSE_S = 0.015  # About one short statement at a member.
FLOOR_RETRY_S = 0.2  # Between rounds that readers cause for want of a floor.
NO_FLOOR_PAUSE_S = 0.05  # Before a reader looks again for a floor.
MAX_HEDGES = 2  # Further members that a read is asked at while one is silent.
SILENT_LINK_S = 2.0  # A link without an answer for so long is closed.


@attrs.frozen(slots=True)
class Target:
    """A member that a read may go to.

    Attributes:
        pool: The links to it.
        floor: What it has to show; None where its lead is proved.
    """

    pool: _pools.Pool
    floor: decisions.Position | None


class Executor:
    """Runs statements outside of transactions, and chooses members."""

    def __init__(self, clock: _clocks.Clock, policy: _policy.Policy) -> None:
        self._clock = clock
        self._policy = policy

    def read(self, job: _jobs.Job) -> "decisions.Future[_links.Reply]":
        """Runs a read; it may be asked at several members."""
        return _ReadRace(self, self._clock, self._policy, job).outcome

    def write(self, job: _jobs.Job) -> "decisions.Flow[_links.Reply]":
        """Runs a single write: handed over once.

        Raises:
            decisions.RequestFailedError: No answer; its reason tells whether
                the write may have run.
        """
        while True:
            reply = yield from self._write_once(job)
            if reply is not None:
                if reply.reason is None:
                    yield from self.confirm(job)
                    return reply
                if not reply.not_run or not self._retry_in_time(job, reply):
                    return reply
                if reply.reason is decisions.NOT_PRIMARY:
                    yield decisions.settled(job.group.refresh())
            yield decisions.sleep(self._clock, RETRY_PAUSE_S)

    def _write_once(
        self, job: _jobs.Job
    ) -> "decisions.Flow[_links.Reply | None]":
        """Hands a write over; returns None where no link took it.

        Raises:
            decisions.RequestFailedError: No answer, or no time is left.
        """
        pool = yield from self.primary(job)
        hold = job.hold_until(self._policy)
        try:
            taken = yield pool.acquire(
                _pools.Use.STATEMENT, job.route.priority, hold, job.values
            )
            return (yield from self.hand_over(job, pool, taken, None))
        except decisions.RequestFailedError as exc:
            retry = exc.reason is decisions.NO_CONNECTION
            if not retry or self._clock.now() >= hold:
                raise
            return None

    def confirm(self, job: _jobs.Job) -> "decisions.Flow[None]":
        """Makes sure that an acknowledged commit is of a term that goes on.

        A replica that joins a primary after the others were paused would let
        it acknowledge what its successor lacks. So a commit that took long,
        or that comes while no floor is fresh or members come and go, counts
        only with a proof.

        Raises:
            decisions.RequestFailedError: Whether it is kept is unknown.
        """
        group = job.group
        took_s = self._clock.now() - job.handed_at
        fresh = group.floor_age_s < self._policy.suspect_s
        if fresh and not group.is_in_flux and took_s < self._policy.doubt_s:
            return
        try:
            yield group.prove()
        except decisions.RequestFailedError as exc:
            raise decisions.RequestFailedError(
                decisions.NOT_CONFIRMED, exc.detail
            ) from exc

    def primary(self, job: _jobs.Job) -> "decisions.Flow[_pools.Pool]":
        """Waits for a primary that may be reached.

        Raises:
            decisions.RequestFailedError: There is none in time.
        """
        while True:
            pool = job.group.leader_pool
            if pool is not None and not pool.is_unreachable:
                return pool
            left = job.hold_until(self._policy) - self._clock.now()
            if left <= 0:
                raise decisions.RequestFailedError(decisions.NO_PRIMARY)
            wait = min(left, self._policy.connect_backoff_s)
            yield job.group.until_leader_changes(wait)

    def target(
        self, job: _jobs.Job, tried: set[str]
    ) -> "decisions.Flow[Target]":
        """Chooses the member of a read.

        Args:
            job: The read.
            tried: Members to pass over where others are left.

        Raises:
            decisions.RequestFailedError: None can show what it needs.
        """
        if job.is_primary_only:
            return (yield from self._proved_primary(job))
        floor = yield from self.floor(job)
        pool = self._choose(job.group, tried)
        if pool is None:
            raise decisions.RequestFailedError(decisions.NO_CONNECTION)
        return Target(pool, floor)

    def _proved_primary(self, job: _jobs.Job) -> "decisions.Flow[Target]":
        yield from self.primary(job)
        leader = yield job.group.prove()
        pool = job.group.pools.get(leader.member)
        if pool is None:
            raise decisions.RequestFailedError(decisions.NO_PRIMARY)
        return Target(pool, None)

    def floor(self, job: _jobs.Job) -> "decisions.Flow[decisions.Position]":
        """Returns what a read of the job has to show.

        Raises:
            decisions.RequestFailedError: Nothing recent enough is known.
        """
        group = job.group
        floor = group.floors.covering(job.moment)
        if floor is None and self._may_ask(group):
            yield decisions.settled(group.refresh())
            floor = group.floors.covering(job.moment)
        if floor is None:
            raise decisions.RequestFailedError(decisions.NO_PRIMARY, "no floor")
        own = job.session_floor
        return floor if own is None else max(floor, own)

    def _may_ask(self, group: _groups.Group) -> bool:
        """Whether a round of questions now could tell more than the last."""
        recent = self._clock.now() - group.round_at < FLOOR_RETRY_S
        return group.leader is not None and not recent

    def _choose(
        self, group: _groups.Group, tried: set[str]
    ) -> _pools.Pool | None:
        """Returns the links to the best member; never to one that leaves.

        Unless all leave: a request must not reach one that has long been
        leaving, however many others were tried before.
        """
        listed = group.pools.values()
        staying = [p for p in listed if not p.member.draining]
        pools = [
            p
            for p in staying or listed
            if p.member.id not in tried and not p.is_unreachable
        ]
        leader = group.leader.member if group.leader else ""
        found = _routing.best(
            [self._candidate(group, p, leader) for p in pools]
        )
        return group.pools[found.member] if found else None

    def _candidate(
        self, group: _groups.Group, pool: _pools.Pool, leader: str
    ) -> _routing.Candidate:
        return _routing.Candidate(
            member=pool.member.id,
            is_primary=pool.member.id == leader,
            is_near=group.is_near(pool),
            is_responsive=group.is_responsive(pool),
            in_flight=pool.in_flight,
            slots=pool.member.slots,
            latency_s=pool.latency_s,
        )

    def hand_over(
        self,
        job: _jobs.Job,
        pool: _pools.Pool,
        taken: _pooled_links.PooledLink,
        floor: decisions.Position | None,
    ) -> "decisions.Flow[_links.Reply]":
        """Runs a statement on a link of the pool and gives the link back.

        Raises:
            decisions.RequestFailedError: No answer in time, or the link was
                lost; the statement may have run unless the reason says not.
        """
        begun = self._clock.now()
        fut = self.send(job, pool, taken, floor)
        limit = job.deadline - begun
        try:
            reply: _links.Reply = yield decisions.within(
                self._clock, limit, fut
            )
        except decisions.TimeoutExpiredError as exc:
            pool.discard(taken)
            raise decisions.RequestFailedError(
                decisions.ANSWER_LOST, "no answer in time"
            ) from exc
        except _links.LinkLostError as exc:
            pool.discard(taken)
            lost = decisions.ANSWER_LOST
            reason = lost if exc.handed else decisions.NO_CONNECTION
            raise decisions.RequestFailedError(reason, str(exc)) from exc
        pool.note_heard(taken, self._clock.now() - begun)
        self.give_back(pool, taken, reply)
        return reply

    def send(
        self,
        job: _jobs.Job,
        pool: _pools.Pool,
        taken: _pooled_links.PooledLink,
        floor: decisions.Position | None,
    ) -> "decisions.Future[_links.Reply]":
        """Sends a statement with the session state that it needs."""
        commands = taken.align(job.values, job.prepared)
        name = taken.prepared[job.prepared] if job.prepared else ""
        job.note_handed(pool.member.id, self._clock.now())
        return taken.link.run([*commands, job.command(floor, name)])[-1]

    def give_back(
        self,
        pool: _pools.Pool,
        taken: _pooled_links.PooledLink,
        reply: _links.Reply,
    ) -> None:
        """Gives a link back, or closes it if its state is not idle."""
        if reply.state is _links.IDLE:
            pool.release(taken)
        else:
            pool.discard(taken)

    def _retry_in_time(self, job: _jobs.Job, reply: _links.Reply) -> bool:
        """Whether what did not run may be tried again."""
        if reply.reason is decisions.UNKNOWN_PREPARED:
            return False
        limit = min(job.route.target_s, job.route.timeout_s)
        if job.group.is_changing:
            limit = job.route.timeout_s * self._policy.failover_hold_share
        return self._clock.now() < job.arrived + limit


class _ReadRace:
    """A read asked at one member, and at others when that one is silent."""

    def __init__(
        self,
        executor: Executor,
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
        self._behind = 0
        self.outcome: decisions.Future[_links.Reply] = decisions.Future()
        clock.after(job.route.timeout_s, self._expire)
        self._launch()

    def _launch(self) -> None:
        self._running += 1
        fut = decisions.start(self._attempt())
        fut.add_done_callback(self._take)

    def _attempt(self) -> "decisions.Flow[_links.Reply]":
        job = self._job
        target = yield from self._executor.target(job, self._tried)
        pool = target.pool
        self._tried.add(pool.member.id)
        taken = yield pool.acquire(
            _pools.Use.STATEMENT,
            job.route.priority,
            job.hold_until(self._policy),
            job.values,
        )
        if self.outcome.done():
            pool.release(taken)
            raise decisions.RequestFailedError(decisions.CANCELED)
        hedge_s = job.route.target_s * self._policy.hedge_share
        self._clock.after(hedge_s, self._hedge)
        begun = self._clock.now()
        fut = self._executor.send(job, pool, taken, target.floor)
        self._close_if_silent(pool, taken, fut)
        try:
            reply: _links.Reply = yield fut
        except _links.LinkLostError as exc:
            pool.discard(taken)
            raise decisions.RequestFailedError(
                decisions.READ_CUT, str(exc)
            ) from exc
        pool.note_heard(taken, self._clock.now() - begun)
        self._executor.give_back(pool, taken, reply)
        return reply

    def _close_if_silent(
        self,
        pool: _pools.Pool,
        taken: _pooled_links.PooledLink,
        fut: "decisions.Future[_links.Reply]",
    ) -> None:
        def check() -> None:
            if not fut.done():
                pool.discard(taken)

        limit = max(SILENT_LINK_S, self._job.route.timeout_s)
        timer = self._clock.after(limit, check)
        fut.add_done_callback(lambda _: timer.cancel())

    def _hedge(self) -> None:
        """Asks one more member while the others are silent."""
        if self.outcome.done() or not self._running:
            return
        if self._hedges < MAX_HEDGES:
            self._hedges += 1
            self._launch()

    def _take(self, fut: "decisions.Future[_links.Reply]") -> None:
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
            return  # Another member may still answer.
        elif self._may_retry(reply):
            self._clock.after(self._pause(reply, exc), self._relaunch)
        elif reply is not None:
            decisions.resolve(self.outcome, reply)
        else:
            assert exc is not None
            decisions.reject(self.outcome, exc)

    def _may_retry(self, reply: _links.Reply | None) -> bool:
        job = self._job
        now = self._clock.now()
        if reply is not None and reply.reason is decisions.UNKNOWN_PREPARED:
            return False
        if job.offered_at:
            limit = min(job.route.target_s, job.route.timeout_s)
            return now < max(job.arrived + limit, job.hold_until(self._policy))
        return now < job.hold_until(self._policy)

    def _pause(
        self, reply: _links.Reply | None, exc: BaseException | None
    ) -> float:
        """Returns how long to wait: not at all while members are untried."""
        failure = exc if isinstance(exc, decisions.RequestFailedError) else None
        if failure is not None and failure.reason is decisions.NO_PRIMARY:
            return NO_FLOOR_PAUSE_S
        if reply is not None and reply.reason is decisions.BEHIND:
            self._behind += 1
            if self._behind >= len(self._job.group.pools):
                self._tried.clear()
                return NO_FLOOR_PAUSE_S
        untried = self._job.group.pools.keys() - self._tried
        if reply is not None and untried and not self._job.is_primary_only:
            return 0.0
        self._tried.clear()
        return RETRY_PAUSE_S

    def _relaunch(self) -> None:
        if not self.outcome.done():
            self._launch()

    def _expire(self) -> None:
        reason = decisions.OVERLOADED
        decisions.reject(
            self.outcome,
            decisions.RequestFailedError(reason, "no answer in time"),
        )
