"""Who runs a session's statements: this node, or a serving node.

A session knows only the two protocols below. `LocalRunner` runs statements
over this node's own links; `_forwarding.RemoteRunner` sends them to a node
that has links.
"""

import typing

import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _execution
from ferry_proxy import _gates
from ferry_proxy import _groups
from ferry_proxy import _hedged_reads
from ferry_proxy import _jobs
from ferry_proxy import _links
from ferry_proxy import _policy
from ferry_proxy import _requests
from ferry_proxy import _transactions


class OpenTransaction(typing.Protocol):
    """What a session needs of its transaction."""

    failure: decisions.Reason | None
    last_used_at: float

    @property
    def wrote(self) -> bool:
        """Whether it may have written something."""

    @property
    def holds_link(self) -> bool:
        """Whether a member holds it."""

    def run(self, request: _requests.Request) -> "decisions.Flow[_links.Reply]":
        """Runs a statement of it, its COMMIT included.

        Raises:
            decisions.RequestFailedError: No reply; the transaction has failed
                and nothing of it is kept, unless the reason is unknown.
        """

    def fail(self, reason: decisions.Reason) -> None:
        """Ends it at the member; the caller has yet to end it."""

    def roll_back(self) -> None:
        """Rolls it back at the member and gives the link back."""


class Runner(typing.Protocol):
    """Runs the statements of one group's routes."""

    def run(self, request: _requests.Request) -> "decisions.Flow[_links.Reply]":
        """Runs a statement outside of transactions.

        Raises:
            decisions.RequestFailedError: No reply; its reason tells whether
                the statement may have run.
        """

    def begin(self, read_only: bool) -> OpenTransaction:
        """Returns a transaction that takes a link at its first statement."""


class LocalRunner:
    """Runs statements over this node's own links."""

    def __init__(
        self,
        clock: _clocks.Clock,
        policy: _policy.Policy,
        executor: _execution.Executor,
        group: _groups.Group,
        gate: _gates.Gate = _gates.OPEN,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._executor = executor
        self._gate = gate
        self.group = group

    def run(self, request: _requests.Request) -> "decisions.Flow[_links.Reply]":
        """Runs a statement: a write once, a read wherever it may."""
        job = _jobs.Job.of(request, self.group)
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

    def begin(self, read_only: bool) -> _transactions.Transaction:
        """Returns a transaction of the group's members."""
        return _transactions.Transaction(
            self._clock,
            self._executor,
            self._policy,
            self.group,
            read_only,
            self._gate,
        )
