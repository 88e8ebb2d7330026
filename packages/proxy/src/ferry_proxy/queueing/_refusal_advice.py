"""The times at which callers whom one group refuses should return."""

import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _features
from ferry_proxy import _groups
from ferry_proxy import _policy
from ferry_proxy import _pools
from ferry_proxy import _requests
from ferry_proxy.queueing import _change_forecast

# Failures that end with the queue of a member or with a change of primary.
_QUEUED = frozenset(
    {decisions.OVERLOADED, decisions.NO_PRIMARY, decisions.NO_CONNECTION}
)


class _Returns:
    """The drain rate of a member's queue and the returns promised there."""

    def __init__(self) -> None:
        self.drain = decisions.DrainRate()
        self.schedule = decisions.ReturnSchedule()


class RefusalAdvice:
    """Advises the callers of one group, at one serving node."""

    def __init__(
        self,
        clock: _clocks.Clock,
        policy: _policy.Policy,
        features: _features.Features,
        group: _groups.Group,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._features = features
        self._group = group
        self._returns: dict[str, _Returns] = {}
        self._forecast = _change_forecast.ChangeForecast(policy)
        group.on_round.append(lambda _: self._update_forecast())
        group.on_step.append(self._note_step)

    @property
    def _is_on(self) -> bool:
        return self._features.is_on(_policy.Feature.RETRY_ADVICE)

    def check_change(
        self, request: _requests.Request, needs_primary: bool
    ) -> None:
        """Checks that a request can outlive a change of primary.

        Args:
            request: The request.
            needs_primary: Whether no replica can run it.

        Raises:
            decisions.RequestFailedError: Its time limit ends before the change
                is expected to.
        """
        if not self._is_on or not self._is_primary_lost:
            return
        if not (needs_primary or self._lacks_floor(request)):
            return
        self._update_forecast()
        now = self._clock.now()
        remaining_s = self._forecast.remaining_s(now)
        if now + remaining_s > request.deadline:
            advice = self._advice_after_change(request, remaining_s)
            raise _with_advice(_changing(), advice)

    def refine(
        self, request: _requests.Request, exc: decisions.RequestFailedError
    ) -> decisions.RequestFailedError:
        """Returns a failure with the time at which its caller should return.

        Args:
            request: The request.
            exc: Its failure.
        """
        is_not_run = exc.reason.outcome is decisions.Outcome.NOT_RUN
        if not self._is_on or not is_not_run or not exc.retry_after_s:
            return exc
        if exc.reason not in _QUEUED:
            return exc if exc.is_estimated else spread(request, exc, self._now)
        needs_primary = request.writes or request.is_primary_only
        if exc.reason is decisions.NO_PRIMARY or (
            needs_primary and self._is_primary_lost
        ):
            return self._refine_without_primary(request, exc)
        advice = self._queue_advice(request, exc)
        if advice is None:
            return spread(request, exc, self._now)
        return _with_advice(exc, advice)

    def note_ran(self, request: _requests.Request) -> None:
        """Records that a member has run a statement."""
        progress = request.progress
        pool = self._group.pools.get(progress.member)
        if pool is None or not self._is_on:
            return
        if len(self._returns) > len(self._group.pools) + 1:
            self._forget_removed()
        elapsed_s = self._now - progress.dispatched_at
        is_full = pool.demand.running >= pool.parallel
        self._returns_at(progress.member).drain.note(elapsed_s, is_full)

    @property
    def _now(self) -> float:
        return self._clock.now()

    # -- queues ----------------------------------------------------------

    def _queue_advice(
        self, request: _requests.Request, exc: decisions.RequestFailedError
    ) -> decisions.Advice | None:
        """Returns when a member has room; None if that is unknown."""
        self._forget_removed()
        choices = [
            (self._refusal(request, self._wait_s(p, request, exc)), p)
            for p in self._candidates(request)
        ]
        if not choices:
            return None
        refusal, pool = min(
            choices,
            key=lambda c: (
                self._returns_at(c[1].member.id).schedule.next_slot(c[0]),
                c[1].member.id,
            ),
        )
        return self._book(refusal, pool.member.id)

    def _book(
        self, refusal: decisions.Refusal, member: str
    ) -> decisions.Advice:
        pool = self._group.pools.get(member)
        returns = self._returns_at(member)
        parallel = min(pool.parallel, pool.limit) if pool is not None else 1
        rate_per_s = returns.drain.per_s(parallel)
        return returns.schedule.advise(refusal, rate_per_s)

    def _wait_s(
        self,
        pool: _pools.Pool,
        request: _requests.Request,
        exc: decisions.RequestFailedError,
    ) -> float:
        """Returns when the backlog ahead of a request will have left.

        What a request waits for may be no slot but a link, for a transaction or
        a team. It is then expected to take as long again.
        """
        if exc.is_estimated and exc.detail == pool.member.id:
            return exc.retry_after_s
        expected_s = pool.expected_wait_s(request.route.priority)
        return expected_s or self._now - request.arrived

    def _candidates(self, request: _requests.Request) -> list[_pools.Pool]:
        """Returns the pools of members that may run a request later."""
        group = self._group
        primary = group.leader_pool
        if request.writes or request.is_primary_only:
            pools = [] if primary is None else [primary]
        else:
            floor = group.floors.covering(request.freshness_cutoff)
            listed = group.pools.values()
            pools = [p for p in listed if not p.reported.lacks(floor)]
        return [
            p
            for p in pools
            if p.accepts_statements
            and group.is_responsive(p)
            and self._returns_at(p.member.id).drain.per_s(1)
        ]

    def _refusal(
        self, request: _requests.Request, wait_s: float
    ) -> decisions.Refusal:
        return decisions.Refusal(
            request=request.statement.request_id,
            priority=request.route.priority,
            at=self._now,
            wait_s=wait_s,
            remaining_s=request.deadline - self._now,
        )

    def _returns_at(self, member: str) -> _Returns:
        return self._returns.setdefault(member, _Returns())

    def _forget_removed(self) -> None:
        kept = {*self._group.pools, self._group.last_leader}
        for member in self._returns.keys() - kept:
            del self._returns[member]

    # -- changes of primary ----------------------------------------------

    @property
    def _is_primary_lost(self) -> bool:
        pool = self._group.leader_pool
        if pool is None:
            return True
        usable = pool.accepts_statements and self._group.is_responsive(pool)
        return not usable

    def _lacks_floor(self, request: _requests.Request) -> bool:
        floors = self._group.floors
        return floors.covering(request.freshness_cutoff) is None

    def _note_step(self, step: str) -> None:
        self._forecast.note_step(step, self._now)

    def _update_forecast(self) -> None:
        group = self._group
        pool = group.leader_pool
        if pool is not None:
            contact = pool.contact
            limit_s = max(self._policy.unanswered_s, contact.max_reply_s)
            lost_s = max(contact.unanswered_s, contact.link_failing_s)
            is_suspected = lost_s >= limit_s
        else:
            is_suspected = group.last_leader != ""
        self._forecast.update(
            _change_forecast.PrimaryView(
                at=self._now,
                is_suspected=is_suspected,
                is_claimed=self._now < group.primary_change_until,
                found_at=group.leader_found_at,
            )
        )

    def _refine_without_primary(
        self, request: _requests.Request, exc: decisions.RequestFailedError
    ) -> decisions.RequestFailedError:
        if exc.is_estimated and exc.reason is decisions.NO_PRIMARY:
            return exc
        self._update_forecast()
        remaining_s = self._forecast.remaining_s(self._now)
        if not remaining_s:
            return spread(request, exc, self._now)
        advice = self._advice_after_change(request, remaining_s)
        return _with_advice(exc, advice)

    def _advice_after_change(
        self, request: _requests.Request, remaining_s: float
    ) -> decisions.Advice:
        """Returns when a request should return that waits for a change.

        Its time limit starts anew when it returns, so that it may be told a
        time after its deadline.
        """
        refusal = decisions.Refusal(
            request=request.statement.request_id,
            priority=request.route.priority,
            at=self._now,
            wait_s=remaining_s,
            remaining_s=remaining_s + request.route.timeout_s,
        )
        advice = self._book(refusal, self._group.last_leader)
        if advice.is_promised:
            return advice
        late_s = decisions.spread_delay_s(
            request.route.timeout_s,
            request.route.timeout_s,
            request.statement.request_id,
        )
        return decisions.Advice(remaining_s + late_s, is_promised=False)


def spread(
    request: _requests.Request, exc: decisions.RequestFailedError, now: float
) -> decisions.RequestFailedError:
    """Returns a failure whose time to return is spread by request.

    Args:
        request: The request.
        exc: Its failure; its own time to return is the longest.
        now: The time, in the clock's seconds.
    """
    delay_s = decisions.spread_delay_s(
        exc.retry_after_s,
        request.deadline - now,
        request.statement.request_id,
    )
    return _with_advice(exc, decisions.Advice(delay_s, is_promised=False))


def _changing() -> decisions.RequestFailedError:
    return decisions.RequestFailedError(
        decisions.NO_PRIMARY, "the primary is being changed"
    )


def _with_advice(
    exc: decisions.RequestFailedError, advice: decisions.Advice
) -> decisions.RequestFailedError:
    return decisions.RequestFailedError(
        exc.reason, exc.detail, advice.delay_s, advice.is_promised
    )
