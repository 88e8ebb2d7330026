"""The queue of one node for one member, and who is let in.

Answers the load of a member that gets more than it can run, of routes whose
statements differ by a factor of five. Requests wait as long as they can still
be answered in time, in an order that keeps a part for each kind and each team,
and others are refused at once.
"""

import collections
from collections.abc import Callable
import enum
import math

import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _link_queue
from ferry_proxy import _links
from ferry_proxy import _pooled_links
from ferry_proxy import _queueing
from ferry_proxy import _statements
from ferry_proxy.queueing import _holds
from ferry_proxy.queueing import _kinds
from ferry_proxy.queueing import _running_work
from ferry_proxy.queueing import _waits
from ferry_proxy.queueing import _work

# Shorter waits say nothing about the estimate.
MIN_WAIT_S = 0.01

time_to_room_s = _waits.time_to_room_s
Waiter = _link_queue.Waiter


class Refusal(enum.Enum):
    """Why a request is refused."""

    TIME_LIMIT = "time_limit"
    TARGET = "target"
    WAITED = "waited"


class AdmissionQueue(_link_queue.LinkQueue):
    """The waiting requests of a pool, and what its member runs.

    Attributes:
        times: The member's service times.
        running: This node's statements at the member.
        refusals: How many requests were refused, by reason and priority.
    """

    def __init__(self, clock: _clocks.Clock) -> None:
        super().__init__(clock)
        self._kinds = _kinds.Kinds(clock.now)
        self.times = decisions.ServiceTimes(clock.now)
        self.running = _running_work.RunningWork(self.times)
        self.refusals: collections.Counter[tuple[Refusal, int]] = (
            collections.Counter()
        )

    @property
    def lengths(self) -> collections.Counter[int]:
        """The number of waiting statements by priority."""
        return collections.Counter(w.rank for w in self._statements())

    def in_order(self) -> list[Waiter]:
        """Returns the waiting requests in order and drops completed ones."""
        waiting = super().in_order()
        control = [w for w in waiting if w.rank == _link_queue.CONTROL_RANK]
        self._kinds.forget_idle(waiting)
        return [*control, *self._ordered(self._statements())]

    def estimate(
        self, waiter: Waiter, load: _link_queue.MemberLoad
    ) -> _waits.Estimate:
        """Returns what a request may expect now.

        Args:
            waiter: The request, which need not wait yet.
            load: The state of the member.
        """
        waiting = self._statements()
        if waiter not in waiting:
            waiting.append(waiter)
        ordered = self._ordered(waiting)
        ahead = ordered[: ordered.index(waiter)]
        return self._estimate(waiter, ahead, load)

    def expected_wait_s(self, rank: int, load: _link_queue.MemberLoad) -> float:
        """Returns the expected wait behind all others of a kind, in seconds.

        Args:
            rank: The queue rank; 0 goes first.
            load: The state of the member.
        """
        ahead = [w for w in self._statements() if w.rank <= rank]
        return self._start_delay_s(rank, ahead, load)

    def _problem(
        self, waiter: Waiter, estimate: _waits.Estimate, margin_s: float
    ) -> Refusal | None:
        """Returns why a request should not wait; None if it should.

        Args:
            waiter: The request.
            estimate: What it may expect.
            margin_s: By how much it has to be early, in seconds.
        """
        now = self._clock.now()
        work = waiter.work
        end = now + estimate.total_s + margin_s
        if now + estimate.least_s > work.deadline:
            return Refusal.TIME_LIMIT
        if not estimate.wait_s or end <= work.target_at:
            return None
        is_late = self._is_late(work, estimate.own_s)
        is_short = estimate.wait_s <= work.target_s
        if is_late and is_short and end <= work.deadline:
            return None
        return Refusal.TARGET

    def refusal(
        self, waiter: Waiter, until: float, load: _link_queue.MemberLoad
    ) -> decisions.RequestFailedError | None:
        """Returns the error for a request that is not let in; None if it is.

        Args:
            waiter: The request.
            until: Not used; what counts is the target.
            load: The state of the member.
        """
        estimate = self.estimate(waiter, load)
        problem = self._problem(waiter, estimate, estimate.margin_s)
        if problem is None:
            # The ratio is that to the uncorrected wait.
            ratio = self._kinds.wait_ratio(waiter.rank)
            waiter.expected_wait_s = estimate.wait_s / ratio
            return None
        self.refusals[problem, waiter.rank] += 1
        return _overloaded(waiter, estimate, load)

    def hold(
        self,
        waiter: Waiter,
        until: float,
        load: Callable[[], _link_queue.MemberLoad],
    ) -> None:
        """Limits the wait of a request that is let in.

        Args:
            waiter: The request.
            until: Until when it waits in any case, in the clock's seconds.
            load: Returns the state of the member.
        """
        if waiter.rank == _link_queue.CONTROL_RANK:
            super().hold(waiter, until, load)
            return

        def is_worthwhile() -> bool:
            estimate = self.estimate(waiter, load())
            return self._problem(waiter, estimate, 0.0) is None

        def give_up() -> None:
            self.refusals[Refusal.WAITED, waiter.rank] += 1
            estimate = self.estimate(waiter, load())
            decisions.reject(waiter.fut, _overloaded(waiter, estimate, load()))

        hold = _holds.Hold(
            clock=self._clock,
            until=until,
            latest=self._latest_start(waiter, until),
            is_worthwhile=is_worthwhile,
            may_wait=lambda: self._is_queueing(load()),
            give_up=give_up,
        )
        queued_at = self._clock.now()

        def end(_: object) -> None:
            hold.end()
            self._note_wait(waiter, queued_at)

        waiter.fut.add_done_callback(end)
        hold.start()

    def _latest_start(self, waiter: Waiter, until: float) -> float:
        """Returns until when a request waits at most, as a clock time."""
        work = waiter.work
        own_s = self._elapsed_s(waiter)
        needed_s = own_s + _waits.TRANSIT_S
        longest = max(until, work.target_at - needed_s)
        if self._is_late(work, own_s):
            longest = max(until, self._clock.now() + work.target_s)
        return min(longest, work.deadline - needed_s)

    def _note_wait(self, waiter: Waiter, queued_at: float) -> None:
        """Compares the wait of a request with what was expected."""
        if waiter.expected_wait_s < MIN_WAIT_S:
            return
        self._kinds.note_wait(
            waiter.rank, self._clock.now() - queued_at, waiter.expected_wait_s
        )

    def _is_queueing(self, load: _link_queue.MemberLoad) -> bool:
        """Whether requests wait for statements that the member works on.

        A silent member or a lack of links is not a queue: how long that lasts
        is unknown, and another member may be free.
        """
        is_stuck = load.is_silent or self.running.is_stuck(self._clock.now())
        return load.is_full and not is_stuck

    def note_assigned(
        self, waiter: Waiter, pooled: _pooled_links.PooledLink
    ) -> None:
        """Records that a request got a link."""
        if waiter.use is _link_queue.Use.TRANSACTION:
            self.running.begin_transaction(pooled, self._clock.now())

    def note_released(self, pooled: _pooled_links.PooledLink) -> None:
        """Records that a link is back in the pool or closed."""
        self.running.forget(pooled)

    def exclude_pause(self, late_s: float) -> None:
        """Excludes a pause of this process from what is known of the member.

        Args:
            late_s: The length of the pause, in seconds.
        """
        self.running.exclude_pause(late_s)

    def note_statement(
        self,
        pooled: _pooled_links.PooledLink,
        work: _work.Work,
        fut: "decisions.Future[_links.Reply]",
        load: Callable[[], _link_queue.MemberLoad],
    ) -> None:
        """Records a statement that was sent.

        Args:
            pooled: The link that it runs on.
            work: The statement.
            fut: Its reply.
            load: Returns the state of the member.
        """
        slots = load().places / _queueing.STATEMENTS_PER_SLOT
        uncrowded = max(1, math.floor(slots))
        expected_s = self.running.begin(
            pooled, work, self._clock.now(), uncrowded
        )
        self._kinds.charge(work.priority, pooled.team, expected_s)

        def end(fut: "decisions.Future[_links.Reply]") -> None:
            if load().is_silent:
                self.running.exclude_pause(0.0)
            has_run = fut.exception() is None and fut.result().reason is None
            self._end(pooled, has_run)

        fut.add_done_callback(end)

    def _end(self, pooled: _pooled_links.PooledLink, has_run: bool) -> None:
        """Records a reply, and corrects the charge to what it took."""
        now = self._clock.now()
        pace = self.times.pace
        ended = self.running.end(pooled, now, has_run)
        if ended is None or not has_run:
            return
        if ended.work.key.kind == _statements.Kind.COMMIT.value:
            self.running.end_transaction(pooled, ended.work, now)
        if ended.is_sample:
            extra_s = (now - ended.since) / pace - ended.charged_s
            self._kinds.correct(ended.work.priority, pooled.team, extra_s)

    def _statements(self) -> list[Waiter]:
        """Returns the waiting statements in order of arrival."""
        return [w for w in self if w.rank != _link_queue.CONTROL_RANK]

    def _ordered(self, waiting: list[Waiter]) -> list[Waiter]:
        if len(waiting) < 2:
            return waiting
        pace = self.times.pace
        slot_s = {
            k: self.times.mean_s(k) for k in {w.work.key for w in waiting}
        }
        return self._kinds.ordered(
            waiting,
            lambda w: self._is_late(w.work, pace * slot_s[w.work.key]),
            lambda w: slot_s[w.work.key],
        )

    def _is_late(self, work: _work.Work, own_s: float) -> bool:
        """Whether a request would miss its target even if it started now."""
        end = self._clock.now() + own_s + _waits.TRANSIT_S
        return end > work.target_at

    def _start_delay_s(
        self, rank: int, ahead: list[Waiter], load: _link_queue.MemberLoad
    ) -> float:
        """Returns the time until a request starts, in seconds.

        Requests of more urgent kinds that arrive meanwhile go first. They are
        expected to take as much as lately, up to what the kind is owed.
        """
        if not ahead and not load.is_full:
            return 0.0
        pace = self.times.pace
        places = max(1, load.places)
        running = self.running.remaining_s(self._clock.now())
        others = max(0, load.in_progress - len(running))
        running += [self.times.overall_s * pace] * others
        keys = {w.work.key for w in ahead}
        elapsed_s = {k: pace * self.times.mean_s(k) for k in keys}
        delay_s = _waits.start_delay_s(
            running, [elapsed_s[w.work.key] for w in ahead], places
        )
        taken = self._kinds.slot_rate(rank) * pace / places
        own_s = sum(elapsed_s[w.work.key] for w in ahead if w.rank == rank)
        owed_s = min(running, default=0.0) + own_s / places / _kinds.KIND_SHARE
        return _waits.with_arrivals_s(delay_s, taken, max(delay_s, owed_s))

    def _estimate(
        self, waiter: Waiter, ahead: list[Waiter], load: _link_queue.MemberLoad
    ) -> _waits.Estimate:
        pace = self.times.pace
        own_s = self._elapsed_s(waiter)
        if waiter.use is _link_queue.Use.TRANSACTION:
            whole_s = self.times.median_s(waiter.work.transaction_key)
            own_s = max(own_s, whole_s)
        # All of its kind that can still be in time go before a late one.
        rank = waiter.rank + self._is_late(waiter.work, own_s)
        wait_s = self._start_delay_s(rank, ahead, load)
        wait_s *= self._kinds.wait_ratio(waiter.rank)
        keys = [w.work.key for w in ahead]
        if wait_s:
            keys += [w.key for w in self.running.works]
        spread_s = {k: pace * self.times.spread_s(k) for k in set(keys)}
        own_spread_s = pace * self.times.spread_s(waiter.work.key)
        return _waits.Estimate(
            wait_s=wait_s,
            margin_s=_waits.margin_s(
                [spread_s[k] for k in keys], own_spread_s, load.places
            ),
            own_s=own_s,
        )

    def _elapsed_s(self, waiter: Waiter) -> float:
        """Returns the expected time of a request at the member, in seconds."""
        return self.times.mean_s(waiter.work.key) * self.times.pace


def _overloaded(
    waiter: Waiter, estimate: _waits.Estimate, load: _link_queue.MemberLoad
) -> decisions.RequestFailedError:
    back_s = time_to_room_s(estimate, waiter.work.target_s)
    return _link_queue.overloaded(load.member, back_s)
