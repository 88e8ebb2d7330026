"""Refuses writes at a primary that can have no commit acknowledged.

A commit is acknowledged once a replica has received it. At a primary that is
cut off from all of its replicas, each write goes unanswered until its time
limit, and the few statements that a node may have in progress there all wait
for a replica, while reads that could still run are refused.

A lost answer on one link is not a stall: commits on other links are answered,
and replicas that can be reached yield floors.
"""

import typing

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _links
from ferry_proxy import _policy
from ferry_proxy import _pooled_links
from ferry_proxy import _pools

# Floors come every `probe_s`; one that is later than this is overdue. A status
# round takes 0.12 s at most.
FLOOR_DELAY_S = 0.15
# How often an unanswered commit is checked again.
RECHECK_S = 0.1


@attrs.frozen(slots=True)
class Primary:
    """A primary as a node sees it.

    Attributes:
        member: Its id.
        heard_at: When it last answered this node, in the clock's seconds.
    """

    member: str
    heard_at: float

    @classmethod
    def of(cls, pool: _pools.Pool) -> "Primary":
        """Returns the primary that a pool has links to."""
        return cls(pool.member.id, pool.contact.heard)


class CommitStall:
    """Whether the commits at a primary go unanswered.

    All times are in the clock's seconds.
    """

    def __init__(self, policy: _policy.Policy) -> None:
        self._limit_s = policy.doubt_s
        self._floor_overdue_s = policy.probe_s + FLOOR_DELAY_S
        self._lone_limit_s = policy.suspect_s
        self._member = ""
        self._unanswered_since: float | None = None

    def note_sent(self, member: str, now: float) -> None:
        """Records that a commit is sent to a primary.

        Args:
            member: The primary's id.
            now: The current time.
        """
        if member != self._member or self._unanswered_since is None:
            self._member = member
            self._unanswered_since = now

    def note_committed(self) -> None:
        """Records that a commit was acknowledged."""
        self._unanswered_since = None

    def note_rejected(self, sent_at: float) -> None:
        """Records that a commit was answered, but did not take place.

        Args:
            sent_at: When it was sent.
        """
        if self._unanswered_since == sent_at:
            self._unanswered_since = None

    def is_stalled(
        self, primary: Primary, now: float, floor_age_s: float, replicas: int
    ) -> bool:
        """Whether a commit sent to a primary now would go unanswered.

        A primary that answers nothing at all is not meant: it is replaced soon,
        and writes wait for that.

        Args:
            primary: The primary.
            now: The current time.
            floor_age_s: The age of the newest floor, in seconds.
            replicas: How many replicas are listed.
        """
        if not replicas and floor_age_s > self._lone_limit_s:
            return True
        if primary.member != self._member or self._unanswered_since is None:
            return False
        unanswered_s = now - self._unanswered_since
        if floor_age_s < unanswered_s:
            self._unanswered_since = None
            return False
        is_overdue = floor_age_s > self._floor_overdue_s
        is_alive = primary.heard_at > self._unanswered_since
        return is_alive and is_overdue and unanswered_s > self._limit_s


class Group(typing.Protocol):
    """The part of a group that the watch depends on."""

    @property
    def floor_age_s(self) -> float:
        """Age in seconds of the newest floor that covers all commits."""

    @property
    def replicas(self) -> int:
        """The number of listed members other than the primary."""


class CommitWatch:
    """Observes the commits that a node sends to the primary of a group."""

    def __init__(
        self, clock: _clocks.Clock, policy: _policy.Policy, group: Group
    ) -> None:
        self._clock = clock
        self._limit_s = policy.doubt_s
        self._group = group
        self._stall = CommitStall(policy)

    def is_stalled(self, pool: _pools.Pool) -> bool:
        """Whether a commit sent to a primary now would go unanswered.

        Args:
            pool: The links to the primary.
        """
        group = self._group
        return self._stall.is_stalled(
            Primary.of(pool),
            self._clock.now(),
            group.floor_age_s,
            group.replicas,
        )

    def require_commits(self, pool: _pools.Pool) -> None:
        """Rejects a write that could not be acknowledged.

        Args:
            pool: The links to the primary.

        Raises:
            decisions.RequestFailedError: Commits are stalled; the write has
                not run.
        """
        if self.is_stalled(pool):
            raise decisions.RequestFailedError(
                decisions.NO_PRIMARY, "its commits reach no replica"
            )

    def watch(
        self,
        pool: _pools.Pool,
        pooled: _pooled_links.PooledLink,
        fut: "decisions.Future[_links.Reply]",
    ) -> None:
        """Observes a commit until it is answered or given up.

        Args:
            pool: The links to the primary.
            pooled: The link that it was sent on.
            fut: The reply.
        """
        sent_at = self._clock.now()
        self._stall.note_sent(pool.member.id, sent_at)
        fut.add_done_callback(lambda done: self._note_done(sent_at, done))
        self._recheck(self._limit_s, pool, pooled, fut)

    def _note_done(
        self, sent_at: float, fut: "decisions.Future[_links.Reply]"
    ) -> None:
        if fut.exception() is not None:
            return
        if fut.result().reason is None:
            self._stall.note_committed()
        else:
            self._stall.note_rejected(sent_at)

    def _recheck(
        self,
        delay_s: float,
        pool: _pools.Pool,
        pooled: _pooled_links.PooledLink,
        fut: "decisions.Future[_links.Reply]",
    ) -> None:
        """Takes a stalled commit off the statements in progress.

        It waits for a replica and occupies no slot of the primary.
        """

        def check() -> None:
            if self.is_stalled(pool):
                pooled.sent_at = None
            else:
                self._recheck(RECHECK_S, pool, pooled, fut)

        timer = self._clock.after(delay_s, check)
        fut.add_done_callback(lambda _: timer.cancel())
