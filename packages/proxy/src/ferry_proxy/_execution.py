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
        hold = job.hold_end(self._policy)
        try:
            taken = yield pool.acquire(
                _pools.Use.STATEMENT,
                job.route.priority,
                hold,
                job.values,
                job.caller.team,
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
        took_s = self._clock.now() - job.progress.dispatched_at
        fresh = group.floor_age_s < self._policy.suspect_s
        if (
            fresh
            and not group.is_membership_changing
            and took_s < self._policy.doubt_s
        ):
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
            usable = pool is not None and pool.accepts_statements
            if pool is not None and usable and not pool.is_unreachable:
                return pool
            left = job.hold_end(self._policy) - self._clock.now()
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
        pool = self._choose(job, tried, floor)
        if pool is None:
            raise decisions.RequestFailedError(decisions.NO_CONNECTION)
        return Target(pool, floor)

    def has_other(self, job: _jobs.Job, tried: set[str]) -> bool:
        """Whether a member is left that is likely to run a read now."""
        if job.is_primary_only:
            return False
        floor = job.group.floors.covering(job.freshness_cutoff)
        return any(
            not p.reported.lacks(floor) for p in self._untried(job.group, tried)
        )

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
        floor = group.floors.covering(job.freshness_cutoff)
        if floor is None and self._may_ask(group):
            yield decisions.settled(group.refresh())
            floor = group.floors.covering(job.freshness_cutoff)
        if floor is None:
            raise decisions.RequestFailedError(decisions.NO_PRIMARY, "no floor")
        own = job.session_floor
        return floor if own is None else max(floor, own)

    def _may_ask(self, group: _groups.Group) -> bool:
        """Whether a round of questions now could tell more than the last."""
        recent = self._clock.now() - group.last_round_at < FLOOR_RETRY_S
        return group.leader is not None and not recent

    def _choose(
        self,
        job: _jobs.Job,
        tried: set[str],
        floor: decisions.Position,
    ) -> _pools.Pool | None:
        found = _routing.best(
            [
                self._candidate(job, p, floor)
                for p in self._untried(job.group, tried)
            ]
        )
        return job.group.pools[found.member] if found else None

    def _untried(
        self, group: _groups.Group, tried: set[str]
    ) -> list[_pools.Pool]:
        """Returns the members that a read may go to; none that leaves.

        Unless all leave: a request must not reach one that has long been
        leaving, however many others were tried before.
        """
        listed = group.pools.values()
        staying = [p for p in listed if not p.member.draining]
        return [
            p
            for p in staying or listed
            if p.member.id not in tried
            and p.accepts_statements
            and not p.is_unreachable
        ]

    def _candidate(
        self,
        job: _jobs.Job,
        pool: _pools.Pool,
        floor: decisions.Position,
    ) -> _routing.Candidate:
        group = job.group
        leader = group.leader.member if group.leader else ""
        return _routing.Candidate(
            member=pool.member.id,
            is_primary=pool.member.id == leader,
            is_near=group.is_near(pool),
            is_responsive=group.is_responsive(pool),
            is_behind=pool.reported.lacks(floor),
            in_flight=pool.in_flight,
            slots=pool.member.slots,
            latency_s=pool.contact.latency_s,
            wait_s=pool.expected_wait_s(job.route.priority),
            has_link=pool.has_link(job.caller.team),
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
            reply: _links.Reply = yield decisions.with_timeout(
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
            reason = lost if exc.was_sent else decisions.NO_CONNECTION
            raise decisions.RequestFailedError(reason, str(exc)) from exc
        pool.note_heard(taken, self._clock.now() - begun)
        pool.give_back(taken, reply)
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
        pool.note_sent(taken)
        job.note_dispatched(pool.member.id, self._clock.now())
        return taken.link.run([*commands, job.command(floor, name)])[-1]

    def _retry_in_time(self, job: _jobs.Job, reply: _links.Reply) -> bool:
        """Whether what did not run may be tried again."""
        if reply.reason is decisions.UNKNOWN_PREPARED:
            return False
        until = job.retry_until
        if job.group.is_primary_changing:
            until = job.hold_end(self._policy)
        return self._clock.now() < until
