"""Runners of a session's statements, at this node or at a serving node.

A session depends only on the two protocols below. `LocalRunner` runs
statements over this node's own links; `_forwarding.RemoteRunner` forwards them
to a node that has links.
"""

import typing

import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _execution
from ferry_proxy import _features
from ferry_proxy import _gates
from ferry_proxy import _groups
from ferry_proxy import _hedged_reads
from ferry_proxy import _jobs
from ferry_proxy import _links
from ferry_proxy import _policy
from ferry_proxy import _requests
from ferry_proxy import _transactions
from ferry_proxy.queueing import _refusal_advice


def no_members() -> decisions.RequestFailedError:
    """Returns the error for a group that has no runner."""
    return decisions.RequestFailedError(
        decisions.NO_PRIMARY, "no members are known"
    )


class OpenTransaction(typing.Protocol):
    """A session's transaction, local or at a serving node."""

    @property
    def failure(self) -> decisions.Reason | None:
        """Why the transaction failed; None while it has not."""

    @property
    def last_used_at(self) -> float:
        """When it last ran a statement, in the clock's seconds."""

    @property
    def wrote(self) -> bool:
        """Whether it may have written something."""

    @property
    def holds_link(self) -> bool:
        """Whether it occupies a link or a serving node's transaction."""

    def run(self, request: _requests.Request) -> "decisions.Flow[_links.Reply]":
        """Runs a statement of the transaction, COMMIT included.

        Raises:
            decisions.RequestFailedError: There is no reply. The transaction
                has failed and has no effect, unless the outcome of the reason
                is unknown.
        """

    def fail(self, reason: decisions.Reason) -> None:
        """Rolls it back at the member; the caller must still end it."""

    def roll_back(self) -> None:
        """Rolls it back at the member and releases its link."""


class Runner(typing.Protocol):
    """Runs statements on the routes of one group."""

    def run(self, request: _requests.Request) -> "decisions.Flow[_links.Reply]":
        """Runs a statement outside of transactions.

        Raises:
            decisions.RequestFailedError: There is no reply; the reason tells
                whether the statement may have run.
        """

    def begin(self, read_only: bool) -> OpenTransaction:
        """Returns a transaction that acquires a link at its first statement."""


class LocalRunner:
    """Runs statements over this node's own links."""

    def __init__(
        self,
        clock: _clocks.Clock,
        policy: _policy.Policy,
        executor: _execution.Executor,
        group: _groups.Group,
        gate: _gates.Gate = _gates.OPEN,
        features: _features.Features = _features.NONE,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._executor = executor
        self._gate = gate
        self._advice = _refusal_advice.RefusalAdvice(
            clock, policy, features, group
        )
        self.group = group

    def run(self, request: _requests.Request) -> "decisions.Flow[_links.Reply]":
        """Runs a write once, or a read at one or several members."""
        job = _jobs.Job.of(request, self.group)
        self._advice.check_change(job, job.writes or job.is_primary_only)
        try:
            reply = yield from self._admit_and_run(job)
        except decisions.RequestFailedError as exc:
            raise self._advice.refine(job, exc) from exc
        if reply.reason is None:
            self._advice.note_ran(job)
        return reply

    def _admit_and_run(self, job: _jobs.Job) -> "decisions.Flow[_links.Reply]":
        yield from self._gate.admit(job.caller.team)
        try:
            return (yield from self._run(job))
        finally:
            if not job.progress.attempts:
                self._gate.give_back(job.caller.team)

    def _run(self, job: _jobs.Job) -> "decisions.Flow[_links.Reply]":
        if job.writes:
            return (yield from self._executor.write(job))
        race = _hedged_reads.HedgedRead(
            self._executor, self._clock, self._policy, job
        )
        reply: _links.Reply = yield race.outcome
        return reply

    def begin(self, read_only: bool) -> "AdvisedTransaction":
        """Returns a transaction at a member of the group."""
        transaction = _transactions.Transaction(
            self._clock,
            self._executor,
            self._policy,
            self.group,
            read_only,
            self._gate,
        )
        return AdvisedTransaction(transaction, self._advice, read_only)


class AdvisedTransaction:
    """A local transaction whose refusals tell when to return."""

    def __init__(
        self,
        transaction: _transactions.Transaction,
        advice: _refusal_advice.RefusalAdvice,
        read_only: bool,
    ) -> None:
        self._transaction = transaction
        self._advice = advice
        self._read_only = read_only
        self._has_run = False

    @property
    def failure(self) -> decisions.Reason | None:
        """Why the transaction failed; None while it has not."""
        return self._transaction.failure

    @property
    def last_used_at(self) -> float:
        """When it last ran a statement, in the clock's seconds."""
        return self._transaction.last_used_at

    @property
    def wrote(self) -> bool:
        """Whether it may have written something."""
        return self._transaction.wrote

    @property
    def holds_link(self) -> bool:
        """Whether it occupies a link."""
        return self._transaction.holds_link

    def run(self, request: _requests.Request) -> "decisions.Flow[_links.Reply]":
        """Runs a statement; see `OpenTransaction`."""
        try:
            if not self._has_run:
                self._check_change(request)
            self._has_run = True
            return (yield from self._transaction.run(request))
        except decisions.RequestFailedError as exc:
            raise self._advice.refine(request, exc) from exc

    def _check_change(self, request: _requests.Request) -> None:
        needs_primary = request.is_primary_only or not self._read_only
        try:
            self._advice.check_change(request, needs_primary)
        except decisions.RequestFailedError as exc:
            self.fail(exc.reason)
            raise

    def fail(self, reason: decisions.Reason) -> None:
        """Rolls it back at the member; the caller must still end it."""
        self._transaction.fail(reason)

    def roll_back(self) -> None:
        """Rolls it back at the member and releases its link."""
        self._transaction.roll_back()
