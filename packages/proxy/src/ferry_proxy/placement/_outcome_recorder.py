"""Records what became of statements at the members of this node's groups."""

import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _events
from ferry_proxy import _features
from ferry_proxy import _groups
from ferry_proxy import _links
from ferry_proxy import _policy
from ferry_proxy import _pools
from ferry_proxy.placement import _member_outcomes

# A statement is overdue after this many times the longest usual reply time:
# about eight times the mean, as some statements take seven times as long.
OVERDUE_FACTOR = 2.0


class OutcomeRecorder:
    """Notes outcomes and reports the ejection and return of members."""

    def __init__(
        self, clock: _clocks.Clock, features: _features.Features
    ) -> None:
        self._clock = clock
        self._features = features

    @property
    def is_on(self) -> bool:
        """Whether outcomes are recorded and used."""
        return self._features.is_on(_policy.Feature.MEMBER_OUTCOMES)

    def failure_share(self, pool: _pools.Pool) -> float:
        """Returns the recent share of failed statements; 0 if not recorded."""
        if not self.is_on:
            return 0.0
        return pool.contact.outcomes.failure_share(self._clock.now())

    def is_ejected(self, pool: _pools.Pool) -> bool:
        """Whether other members are preferred to this one."""
        return self.is_on and pool.contact.outcomes.is_ejected

    def claim_probe(self, pools: list[_pools.Pool]) -> _pools.Pool | None:
        """Returns an ejected member that the next read should probe, if any."""
        if not self.is_on:
            return None
        now = self._clock.now()
        for pool in pools:
            if pool.contact.outcomes.is_probe_due(now):
                pool.contact.outcomes.claim_probe(now)
                return pool
        return None

    def admit(self, pool: _pools.Pool, writes: bool) -> None:
        """Admits a statement that only the primary can run.

        Args:
            pool: The pool of links to the primary.
            writes: Whether the statement writes.

        Raises:
            decisions.RequestFailedError: The primary fails all statements.
        """
        outcomes = pool.contact.outcomes
        now = self._clock.now()
        if not self.is_on or not outcomes.loses_all:
            return
        if not outcomes.is_probe_due(now, writes):
            raise decisions.RequestFailedError(
                decisions.NO_PRIMARY, "the primary closes all links"
            )
        outcomes.claim_probe(now)

    def reply(
        self,
        group: _groups.Group,
        pool: _pools.Pool,
        sent_at: float,
        reason: decisions.Reason | None,
    ) -> None:
        """Records a reply.

        Args:
            group: The group of the member.
            pool: The pool of links to the member.
            sent_at: When the statement was sent, in the clock's seconds.
            reason: Why it failed; None for success.
        """
        verdict = _member_outcomes.verdict_of(reason)
        if verdict is not None:
            self._note(group, pool, sent_at, verdict)

    def failure(
        self,
        group: _groups.Group,
        pool: _pools.Pool,
        sent_at: float,
        cause: BaseException | None,
    ) -> None:
        """Records that there was no reply, if that is the member's failure.

        A lost link is recorded by a timer: after a pause of this process, the
        loop handles closed connections before it reports the pause.

        Args:
            group: The group of the member.
            pool: The pool of links to the member.
            sent_at: When the statement was sent, in the clock's seconds.
            cause: Why there was no reply.
        """
        if isinstance(cause, decisions.TimeoutExpiredError):
            if self._is_overdue(pool, sent_at):
                failed = _member_outcomes.Verdict.FAILED
                self._note(group, pool, sent_at, failed)
            return
        if not isinstance(cause, _links.LinkLostError):
            return
        if cause.was_sent and not cause.is_local and self.is_on:
            lost = _member_outcomes.Verdict.LOST
            self._clock.after(
                0.0, lambda: self._note(group, pool, sent_at, lost)
            )

    def watch(
        self,
        group: _groups.Group,
        pool: _pools.Pool,
        sent_at: float,
        fut: "decisions.Future[_links.Reply]",
    ) -> None:
        """Records a statement of which no reply arrives, or arrives too late.

        Args:
            group: The group of the member.
            pool: The pool of links to the member.
            sent_at: When the statement was sent, in the clock's seconds.
            fut: The reply.
        """
        if not self.is_on:
            return

        def check() -> None:
            if fut.done():
                return
            if self._is_overdue(pool, sent_at):
                failed = _member_outcomes.Verdict.FAILED
                self._note(group, pool, sent_at, failed)
            else:
                self._clock.after(_overdue_s(pool), check)

        self._clock.after(_overdue_s(pool), check)

    def _is_overdue(self, pool: _pools.Pool, sent_at: float) -> bool:
        """Whether the member left a statement unanswered but answers others.

        A member that answers nothing is `Contact`'s concern.
        """
        answers_others = pool.contact.heard > sent_at
        elapsed_s = self._clock.now() - sent_at
        return answers_others and elapsed_s >= _overdue_s(pool)

    def _note(
        self,
        group: _groups.Group,
        pool: _pools.Pool,
        sent_at: float,
        verdict: _member_outcomes.Verdict,
    ) -> None:
        if not self.is_on:
            return
        outcomes = pool.contact.outcomes
        now = self._clock.now()
        change = outcomes.note(verdict, sent_at, now)
        service, member = group.service.name, pool.member.id
        if change is _member_outcomes.Change.EJECTED:
            share = outcomes.failure_share(now)
            _events.emit(_events.MemberEjected(service, member, share))
        elif change is _member_outcomes.Change.RETURNED:
            ejected_s = now - outcomes.ejected_at
            _events.emit(_events.MemberReturned(service, member, ejected_s))


def _overdue_s(pool: _pools.Pool) -> float:
    return OVERDUE_FACTOR * pool.contact.max_reply_s
