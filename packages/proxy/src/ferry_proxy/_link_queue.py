"""Queue of requests for links of a pool: by priority, then by arrival."""

import bisect
from collections.abc import Callable
from collections.abc import Iterator
import enum
import itertools

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _links
from ferry_proxy import _pooled_links
from ferry_proxy import _queueing
from ferry_proxy.queueing import _work


class Use(enum.Enum):
    """The purpose of a link request."""

    CONTROL = "control"
    STATEMENT = "statement"
    TRANSACTION = "transaction"


CONTROL_RANK = -1  # Control commands precede all statements.


@attrs.define(slots=True, eq=False)
class Waiter:
    """A request waiting for a link.

    Attributes:
        rank: The queue rank; the lowest goes first.
        use: What the link is for.
        team: The team that the link must belong to.
        values: The session's values; a link that has them is preferred.
        fut: Resolved with the link.
        work: What is to run on it.
        expected_wait_s: The wait that was expected when it was let in.
    """

    rank: int
    use: Use
    team: str
    values: dict[str, str]
    fut: "decisions.Future[_pooled_links.PooledLink]"
    work: _work.Work = attrs.field(
        default=attrs.Factory(
            lambda self: _work.unknown(self.rank, float("inf")),
            takes_self=True,
        )
    )
    expected_wait_s: float = 0.0

    @property
    def is_done(self) -> bool:
        """Whether the request got its link, failed or was canceled."""
        return self.fut.done()


@attrs.frozen(slots=True)
class MemberLoad:
    """What a queue needs to know of its member.

    Attributes:
        member: The member's id.
        in_progress: How many places are taken, those of links that are being
            opened included.
        places: How many statements may be in progress at once.
        latency_s: The recent latency of a statement there.
        is_silent: Whether it leaves messages unanswered.
    """

    member: str
    in_progress: int
    places: int
    latency_s: float
    is_silent: bool

    @property
    def is_full(self) -> bool:
        """Whether a statement has to wait for others."""
        return self.in_progress >= self.places


# Its rank, when it was first queued, a number that is unique, and the request.
_Entry = tuple[int, float, int, Waiter]


class LinkQueue:
    """The waiting requests of a pool."""

    def __init__(self, clock: _clocks.Clock) -> None:
        self._clock = clock
        self._entries: list[_Entry] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return sum(1 for _ in self)

    def __iter__(self) -> Iterator[Waiter]:
        """Yields the waiting requests by rank, then by arrival."""
        return (e[-1] for e in self._waiting())

    def _waiting(self) -> "Iterator[_Entry]":
        return (e for e in self._entries if not e[-1].is_done)

    @property
    def has_control(self) -> bool:
        """Whether a control command waits."""
        return any(w.rank == CONTROL_RANK for w in self)

    @property
    def teams(self) -> set[str]:
        """The teams with waiting requests."""
        return {w.team for w in self}

    def add(self, waiter: Waiter) -> None:
        """Adds a request behind those of its rank that were queued earlier."""
        since = self._since(waiter)
        entry = (waiter.rank, since, next(self._numbers), waiter)
        bisect.insort(self._entries, entry)

    def in_order(self) -> list[Waiter]:
        """Returns the waiting requests in order and drops completed ones."""
        self._entries = [e for e in self._entries if not e[-1].is_done]
        return [w for *_, w in self._entries]

    def _since(self, waiter: Waiter) -> float:
        since = waiter.work.queued_since
        return self._clock.now() if since is None else since

    def expected_wait_s(self, rank: int, load: MemberLoad) -> float:
        """Returns the expected wait behind all others of a rank, in seconds.

        Args:
            rank: The queue rank; 0 goes first.
            load: The state of the member.
        """
        return self._wait_behind_s(rank, float("inf"), load)

    def _wait_behind_s(
        self, rank: int, since: float, load: MemberLoad
    ) -> float:
        """Returns the expected wait of a request queued since a time."""
        if not load.is_full:
            return 0.0
        ahead = sum(e[:2] <= (rank, since) for e in self._waiting())
        return _queueing.expected_wait_s(ahead, load.places, load.latency_s)

    def refusal(
        self, waiter: Waiter, until: float, load: MemberLoad
    ) -> decisions.RequestFailedError | None:
        """Returns the error for a request that is not let in; None if it is.

        Args:
            waiter: The request.
            until: Until when it may wait, in the clock's seconds.
            load: The state of the member.
        """
        left_s = max(0.0, until - self._clock.now())
        since = self._since(waiter)
        wait_s = self._wait_behind_s(waiter.rank, since, load)
        if wait_s > left_s:
            return overloaded(load.member)
        return None

    def hold(
        self, waiter: Waiter, until: float, load: Callable[[], MemberLoad]
    ) -> None:
        """Limits the wait of a request that is let in.

        Args:
            waiter: The request.
            until: Until when it may wait, in the clock's seconds.
            load: Returns the state of the member.
        """
        member = load().member
        timer = self._clock.after(
            max(0.0, until - self._clock.now()),
            lambda: decisions.reject(waiter.fut, overloaded(member)),
        )
        waiter.fut.add_done_callback(lambda _: timer.cancel())

    def note_assigned(
        self, waiter: Waiter, pooled: _pooled_links.PooledLink
    ) -> None:
        """Records that a request got a link."""

    def note_released(self, pooled: _pooled_links.PooledLink) -> None:
        """Records that a link is back in the pool or closed."""

    def note_statement(
        self,
        pooled: _pooled_links.PooledLink,
        work: _work.Work,
        fut: "decisions.Future[_links.Reply]",
        load: Callable[[], MemberLoad],
    ) -> None:
        """Records a statement that was sent.

        Args:
            pooled: The link that it runs on.
            work: The statement.
            fut: Its reply.
            load: Returns the state of the member.
        """

    def exclude_pause(self, late_s: float) -> None:
        """Excludes a pause of this process from what is known of the member.

        Args:
            late_s: The length of the pause, in seconds.
        """

    def clear(self) -> list[Waiter]:
        """Empties the queue and returns the requests that were waiting."""
        waited = list(self)
        self._entries = []
        return waited


def unavailable(member: str) -> decisions.RequestFailedError:
    """Returns the error for a request when no link is available."""
    return decisions.RequestFailedError(decisions.NO_CONNECTION, member)


def overloaded(
    member: str, retry_after_s: float | None = None
) -> decisions.RequestFailedError:
    """Returns the error for a request when too many are waiting.

    Args:
        member: The member's id.
        retry_after_s: When the caller should return, in seconds; None if
            unknown.
    """
    return decisions.RequestFailedError(
        decisions.OVERLOADED, member, retry_after_s
    )
