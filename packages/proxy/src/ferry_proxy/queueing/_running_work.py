"""What a node has in progress at a member, and the service times it yields."""

import attrs
import ferry_decisions as decisions

from ferry_proxy import _contact
from ferry_proxy import _pooled_links
from ferry_proxy.queueing import _work


@attrs.define(slots=True)
class RunningStatement:
    """A statement in progress.

    Attributes:
        work: The statement.
        since: When it was sent, in the clock's seconds.
        is_crowded: Whether it may wait in the member's queue.
        charged_s: The slot time that its team was charged, in seconds.
        is_sample: Whether its time tells how long such work takes.
    """

    work: _work.Work
    since: float
    is_crowded: bool
    charged_s: float
    is_sample: bool = True


class RunningWork:
    """The statements of one node at one member."""

    def __init__(self, times: decisions.ServiceTimes) -> None:
        self._times = times
        self._statements: dict[_pooled_links.PooledLink, RunningStatement] = {}
        self._opened: dict[_pooled_links.PooledLink, float] = {}

    def __len__(self) -> int:
        """Returns the number of statements in progress."""
        return len(self._statements)

    def begin(
        self,
        pooled: _pooled_links.PooledLink,
        work: _work.Work,
        now: float,
        uncrowded: int,
    ) -> float:
        """Records that a statement is sent; returns its expected slot time.

        Args:
            pooled: The link that it runs on.
            work: The statement.
            now: The time, in the clock's seconds.
            uncrowded: The node's part of the member's slots.
        """
        others = len(self._statements.keys() - {pooled})
        is_crowded = others >= uncrowded
        expected_s = self._times.mean_s(work.key)
        self._statements[pooled] = RunningStatement(
            work, now, is_crowded, expected_s
        )
        return expected_s

    def end(
        self, pooled: _pooled_links.PooledLink, now: float, has_run: bool
    ) -> RunningStatement | None:
        """Records a reply; returns the statement, if it was in progress.

        Args:
            pooled: The link that it ran on.
            now: The time, in the clock's seconds.
            has_run: Whether it succeeded.
        """
        statement = self._statements.pop(pooled, None)
        if statement is None:
            return None
        if has_run and statement.is_sample:
            self._times.note(
                statement.work.key, now - statement.since, statement.is_crowded
            )
        return statement

    def begin_transaction(
        self, pooled: _pooled_links.PooledLink, now: float
    ) -> None:
        """Records that a transaction gets a link."""
        self._opened[pooled] = now

    def end_transaction(
        self, pooled: _pooled_links.PooledLink, work: _work.Work, now: float
    ) -> None:
        """Records that a transaction committed."""
        opened = self._opened.pop(pooled, None)
        if opened is not None:
            self._times.note_whole(work.transaction_key, now - opened)

    def forget(self, pooled: _pooled_links.PooledLink) -> None:
        """Drops a link that is back in the pool or closed."""
        self._statements.pop(pooled, None)
        self._opened.pop(pooled, None)

    def exclude_pause(self, late_s: float) -> None:
        """Excludes a pause of this process, or a silence of the member.

        What is in progress yields no samples, and its age does not grow by the
        pause.

        Args:
            late_s: The length of the pause, in seconds.
        """
        self._opened.clear()
        for statement in self._statements.values():
            statement.is_sample = False
            statement.since += late_s

    def is_stuck(self, now: float) -> bool:
        """Whether all statements take longer than a live member would.

        A member may answer status requests while its statements hang.

        Args:
            now: The time, in the clock's seconds.
        """
        statements = self._statements.values()
        return bool(statements) and all(
            now - s.since > self._max_reply_s(s.work) for s in statements
        )

    def _max_reply_s(self, work: _work.Work) -> float:
        expected_s = self._times.mean_s(work.key) * self._times.pace
        return max(
            _contact.MIN_REPLY_LIMIT_S,
            _contact.REPLY_LIMIT_FACTOR * expected_s,
        )

    def remaining_s(self, now: float) -> list[float]:
        """Returns the expected rest of each statement, in seconds."""
        return [
            self._times.remaining_s(s.work.key, max(0.0, now - s.since))
            for s in self._statements.values()
        ]

    @property
    def works(self) -> list[_work.Work]:
        """The statements in progress."""
        return [s.work for s in self._statements.values()]
