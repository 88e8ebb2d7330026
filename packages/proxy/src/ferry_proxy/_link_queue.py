"""Queue of requests for links of a pool: by priority, then by arrival."""

from collections.abc import Iterator
import enum
import itertools

import attrs
import ferry_decisions as decisions

from ferry_proxy import _pooled_links


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
        since: When the request was first queued, in the clock's seconds.
    """

    rank: int
    use: Use
    team: str
    values: dict[str, str]
    fut: "decisions.Future[_pooled_links.PooledLink]"
    since: float

    @property
    def is_done(self) -> bool:
        """Whether the request got its link, failed or was canceled."""
        return self.fut.done()


class LinkQueue:
    """The waiting requests of a pool."""

    def __init__(self) -> None:
        self._entries: list[tuple[int, float, int, Waiter]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return sum(1 for _ in self)

    def __iter__(self) -> Iterator[Waiter]:
        """Yields the waiting requests in no particular order."""
        return (w for *_, w in self._entries if not w.is_done)

    @property
    def teams(self) -> set[str]:
        """The teams with waiting requests."""
        return {w.team for w in self}

    def add(self, waiter: Waiter) -> None:
        """Adds a request behind those of its rank that were queued earlier."""
        number = next(self._numbers)
        self._entries.append((waiter.rank, waiter.since, number, waiter))

    def in_order(self) -> list[Waiter]:
        """Returns the waiting requests in order and drops completed ones."""
        self._entries = sorted(e for e in self._entries if not e[-1].is_done)
        return [w for *_, w in self._entries]

    def ahead_of(self, rank: int, since: float = float("inf")) -> int:
        """Returns how many requests precede a new one of this rank.

        Args:
            rank: The queue rank.
            since: When the new request was first queued.
        """
        return sum((w.rank, w.since) <= (rank, since) for w in self)

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
