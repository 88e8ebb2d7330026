"""Execution of statements outside of transactions.

Reads go to any member that is fresh enough. Writes are sent again only if they
cannot have run.
"""

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _commit_quorum
from ferry_proxy import _features
from ferry_proxy import _groups
from ferry_proxy import _jobs
from ferry_proxy import _link_state
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _policy
from ferry_proxy import _pooled_links
from ferry_proxy import _pools
from ferry_proxy.placement import _outcome_recorder
from ferry_proxy.placement import _read_members
from ferry_proxy.placement import _read_waits

# The pause before a retry: about the time of one short statement at a member.
RETRY_PAUSE_S = 0.015

# The shortest time between status rounds that are started for want of a floor.
FLOOR_REFRESH_INTERVAL_S = 0.2

# How often a commit looks whether a claimed change is over. Giving up a change
# takes a few ms.
CLAIM_POLL_S = 0.01

# The pause before a read without a floor looks for one again.
NO_FLOOR_PAUSE_S = 0.05


@attrs.frozen(slots=True)
class Target:
    """A member that a read may run at.

    Attributes:
        pool: The pool of links to it.
        floor: The log position that it must have reached; None for a primary
            that has proved that it still leads.
    """

    pool: _pools.Pool
    floor: decisions.Position | None


class Executor:
    """Runs single statements and selects the members that run them.

    Attributes:
        outcomes: Records what became of statements at members.
        members: Selects the members that reads run at.
        waits: Bounds the time that reads wait for members.
    """

    def __init__(
        self,
        clock: _clocks.Clock,
        policy: _policy.Policy,
        features: _features.Features = _features.NONE,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._features = features
        self.outcomes = _outcome_recorder.OutcomeRecorder(clock, features)
        self.members = _read_members.ReadMembers(self.outcomes)
        self.waits = _read_waits.ReadWaits(
            clock, policy, self.members, self.outcomes
        )

    def write(self, job: _jobs.Job) -> "decisions.Flow[_links.Reply]":
        """Runs a single write, which is retried only if it cannot have run.

        Raises:
            decisions.RequestFailedError: There is no reply; the reason tells
                whether the write may have run.
        """
        while True:
            reply = yield from self._write_once(job)
            if reply is not None:
                if reply.reason is None:
                    yield from self.confirm(job, reply)
                    return reply
                if not reply.not_run or not self._retry_in_time(job, reply):
                    return reply
                if reply.reason is decisions.NOT_PRIMARY:
                    yield decisions.settled(job.group.refresh())
            yield decisions.sleep(self._clock, RETRY_PAUSE_S)

    def _write_once(
        self, job: _jobs.Job
    ) -> "decisions.Flow[_links.Reply | None]":
        """Sends a write; returns None if it never reached a link.

        Raises:
            decisions.RequestFailedError: There is no reply, or no time left to
                retry.
        """
        pool = yield from self.primary(job)
        job.group.commits.require_commits(pool)
        hold = job.hold_end(self._policy)
        try:
            pooled_link = yield pool.acquire(
                _pools.Use.STATEMENT,
                job.route.priority,
                hold,
                job.values,
                job.caller.team,
                job.work,
            )
            return (yield from self.run_on_link(job, pool, pooled_link, None))
        except decisions.RequestFailedError as exc:
            retry = exc.reason is decisions.NO_CONNECTION
            if not retry or self._clock.now() >= hold:
                raise
            return None

    def confirm(
        self, job: _jobs.Job, reply: _links.Reply
    ) -> "decisions.Flow[None]":
        """Ensures that an acknowledged commit survives a change of primary.

        A replica that joins a primary after the other replicas were paused
        would let it acknowledge commits that its successor lacks. A commit
        that took long, or that ends while there is no fresh floor or while
        members come and go, is therefore confirmed by a proof that the primary
        still leads. A replica that was paused and has restarted would prove it
        as well, so a commit is not confirmed before a claimed change is over.
        A proof of another primary, or of another term, confirms nothing.

        Args:
            job: The statement that committed.
            reply: The primary's reply.

        Raises:
            decisions.RequestFailedError: It is unknown whether the commit is
                durable.
        """
        acks = job.group.acks
        acks.note_replied(reply.position)
        yield from self._require_durable(job, reply)
        acks.note_confirmed(job.progress.leader, job.progress.log_end)

    def _require_durable(
        self, job: _jobs.Job, reply: _links.Reply
    ) -> "decisions.Flow[None]":
        group = job.group
        took_s = self._clock.now() - job.progress.dispatched_at
        fresh = group.floor_age_s < self._policy.suspect_s
        was_claimed = yield from self._await_claimed_change(job)
        led = job.progress.leader
        may_be_restarted = yield from self._require_quorum(job, reply)
        if (
            fresh
            and not was_claimed
            and not may_be_restarted
            and group.leader == led
            and not group.is_membership_changing
            and took_s < self._policy.doubt_s
        ):
            return
        try:
            leader: _members.Leader = yield group.prove_unfenced()
        except decisions.RequestFailedError as exc:
            raise decisions.RequestFailedError(
                decisions.NOT_CONFIRMED, exc.detail
            ) from exc
        if leader != led or job.progress.at_replica:
            raise decisions.RequestFailedError(
                decisions.NOT_CONFIRMED, f"{leader.member} leads by now"
            )

    def _require_quorum(
        self, job: _jobs.Job, reply: _links.Reply
    ) -> "decisions.Flow[bool]":
        """Waits until enough voters have received a commit.

        Returns:
            Whether one of them may have restarted lately.

        Raises:
            decisions.RequestFailedError: They have not by the deadline.
        """
        group, leader = job.group, job.progress.leader
        if not group.service.sync_replicas:
            return False  # No commit waits for a replica.
        if leader is None or reply.position is None:
            raise decisions.RequestFailedError(
                decisions.NOT_CONFIRMED, "its position is unknown"
            )
        commit = _commit_quorum.Commit(leader, reply.position)
        yield from group.commit_quorum.require(commit, job.deadline)
        return group.commit_quorum.may_be_restarted(commit)

    def _await_claimed_change(self, job: _jobs.Job) -> "decisions.Flow[bool]":
        """Waits until a claimed change is over; returns whether there was one.

        Raises:
            decisions.RequestFailedError: It is not over at the deadline.
        """
        group = job.group
        was_claimed = False
        while group.claimed_change.is_under_way(
            group.leader, self._clock.boot_now()
        ):
            was_claimed = True
            if self._clock.now() >= job.deadline:
                raise decisions.RequestFailedError(
                    decisions.NOT_CONFIRMED, "the primary may be replaced"
                )
            yield decisions.sleep(self._clock, CLAIM_POLL_S)
        return was_claimed

    def primary(self, job: _jobs.Job) -> "decisions.Flow[_pools.Pool]":
        """Waits until there is a primary that can be reached.

        Raises:
            decisions.RequestFailedError: There is none before the hold time
                ends, or it fails all statements.
        """
        while True:
            pool = job.group.leader_pool
            usable = pool is not None and pool.accepts_statements
            if pool is not None and usable and not pool.is_unreachable:
                self.outcomes.admit(pool, job.writes)
                return pool
            left = job.hold_end(self._policy) - self._clock.now()
            if left <= 0:
                raise decisions.RequestFailedError(decisions.NO_PRIMARY)
            wait = min(left, self._policy.connect_backoff_s)
            yield job.group.until_leader_changes(wait)

    def target(
        self, job: _jobs.Job, tried: set[str], may_probe: bool = False
    ) -> "decisions.Flow[Target]":
        """Selects the member that a read runs at.

        Args:
            job: The read.
            tried: The ids of members that are not selected again.
            may_probe: Whether it may be the probe of an ejected member.

        Raises:
            decisions.RequestFailedError: No member is usable, or no
                floor is known.
        """
        if job.is_primary_only:
            return (yield from self._proved_primary(job))
        floor = yield from self.floor(job)
        pool = self.members.probed(job, tried, floor) if may_probe else None
        pool = pool or self.members.choose(job, tried, floor)
        if pool is None:
            raise decisions.RequestFailedError(decisions.NO_CONNECTION)
        has_link = pool.has_link(job.caller.team)
        if self.outcomes.is_on and pool.contact.is_silent and not has_link:
            raise decisions.RequestFailedError(
                decisions.NO_CONNECTION, _read_waits.NO_MEMBER_ANSWERS
            )
        return Target(pool, floor)

    def has_other(self, job: _jobs.Job, tried: set[str]) -> bool:
        """Whether an untried member is likely to be fresh enough for a read."""
        if job.is_primary_only:
            return False
        floor = job.group.floors.covering(job.freshness_cutoff)
        return any(
            not p.reported.lacks(floor)
            for p in self.members.untried(job.group, tried)
        )

    def _proved_primary(self, job: _jobs.Job) -> "decisions.Flow[Target]":
        yield from self.primary(job)
        leader = yield job.group.prove()
        pool = job.group.pools.get(leader.member)
        if pool is None:
            raise decisions.RequestFailedError(decisions.NO_PRIMARY)
        # The replicas prove the term. The primary's process may be another one
        # by now, which has lost its log.
        return Target(pool, job.group.reported_end(leader))

    def floor(self, job: _jobs.Job) -> "decisions.Flow[decisions.Position]":
        """Returns the log position that a read must reflect.

        Raises:
            decisions.RequestFailedError: No position is known that is recent
                enough.
        """
        group = job.group
        floor = _read_members.known_floor(job)
        if floor is None and self._may_refresh(group):
            yield decisions.settled(group.refresh())
            floor = _read_members.known_floor(job)
        if floor is None:
            raise decisions.RequestFailedError(decisions.NO_PRIMARY, "no floor")
        return floor

    def _may_refresh(self, group: _groups.Group) -> bool:
        """Whether a new status round could find a more recent floor."""
        recent = (
            self._clock.now() - group.last_round_at < FLOOR_REFRESH_INTERVAL_S
        )
        return group.leader is not None and not recent

    def run_on_link(
        self,
        job: _jobs.Job,
        pool: _pools.Pool,
        pooled_link: _pooled_links.PooledLink,
        floor: decisions.Position | None,
    ) -> "decisions.Flow[_links.Reply]":
        """Runs a statement on a link and returns the link to its pool.

        Raises:
            decisions.RequestFailedError: There was no reply in time, or the
                link was lost. The statement may have run unless the reason
                rules it out.
        """
        started_at = self._clock.now()
        fut = self.send(job, pool, pooled_link, floor)
        job.group.commits.watch(pool, pooled_link, fut)
        limit = job.deadline - started_at
        try:
            reply: _links.Reply = yield decisions.with_timeout(
                self._clock, limit, fut
            )
        except decisions.TimeoutExpiredError as exc:
            pool.discard(pooled_link)
            raise decisions.RequestFailedError(
                decisions.ANSWER_LOST, "no answer in time"
            ) from exc
        except _links.LinkLostError as exc:
            pool.discard(pooled_link)
            self.outcomes.failure(job.group, pool, started_at, exc)
            lost = decisions.ANSWER_LOST
            reason = lost if exc.was_sent else decisions.NO_CONNECTION
            raise decisions.RequestFailedError(reason, str(exc)) from exc
        pool.note_heard(pooled_link, self._clock.now() - started_at)
        self.outcomes.reply(job.group, pool, started_at, reply.reason)
        pool.give_back(pooled_link, reply)
        return reply

    def send(
        self,
        job: _jobs.Job,
        pool: _pools.Pool,
        pooled_link: _pooled_links.PooledLink,
        floor: decisions.Position | None,
    ) -> "decisions.Future[_links.Reply]":
        """Sends a statement, preceded by the session state that it needs.

        Raises:
            decisions.RequestFailedError: Nobody waits for it any more.
        """
        if job.progress.is_abandoned:
            pool.discard(pooled_link)
            raise decisions.RequestFailedError(decisions.CANCELED)
        state = pooled_link.state
        alignment = state.align(job.values, job.prepared)
        command = job.command(floor, alignment.prepared_as)
        pool.note_sent(pooled_link)
        job.note_dispatched(pool.member.id, self._clock.now())
        *aligned, fut = pooled_link.link.run([*alignment.commands, command])
        if aligned or job.prepared is not None:
            check = _link_state.Check(
                state,
                alignment,
                job.statement,
                job.prepared,
                pooled_link.for_transaction,
                pool.member.id,
            )
            fut = check.follow(aligned, fut)
        pool.note_statement(pooled_link, job.work, fut)
        return fut

    def _retry_in_time(self, job: _jobs.Job, reply: _links.Reply) -> bool:
        """Whether there is time to retry a statement that did not run."""
        until = job.retry_until
        if job.group.is_primary_changing:
            until = job.hold_end(self._policy)
        return self._clock.now() < until
