"""Who waits for a link of a pool: by priority, then first come first served."""

from collections.abc import Iterator
import enum
import itertools

import attrs
import ferry_decisions as decisions

from ferry_proxy import _pooled_links


class Use(enum.Enum):
    """What a link is wanted for."""

    CONTROL = "control"
    STATEMENT = "statement"
    TRANSACTION = "transaction"


CONTROL_RANK = -1  # Questions of ours go before all statements.


@attrs.define(slots=True, eq=False)
class Waiter:
    """A request that waits for a link.

    Attributes:
        rank: Its place in the queue; the lowest goes first.
        use: What the link is for.
        team: In whose name the link has to be.
        values: The session's values, to prefer a link that has them.
        fut: Done with the link.
    """

    rank: int
    use: Use
    team: str
    values: dict[str, str]
    fut: "decisions.Future[_pooled_links.PooledLink]"

    @property
    def is_done(self) -> bool:
        """Whether it waits no longer."""
        return self.fut.done()


class LinkQueue:
    """Those who wait, in order."""

    def __init__(self) -> None:
        self._entries: list[tuple[int, int, Waiter]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Returns how many wait."""
        return sum(1 for _ in self)

    def __iter__(self) -> Iterator[Waiter]:
        """Yields those who wait, in no order."""
        return (w for _, _, w in self._entries if not w.is_done)

    @property
    def teams(self) -> set[str]:
        """The teams whose links are waited for."""
        return {w.team for w in self}

    def add(self, waiter: Waiter) -> None:
        """Puts one behind all of its rank."""
        self._entries.append((waiter.rank, next(self._numbers), waiter))

    def in_order(self) -> list[Waiter]:
        """Returns those who wait, the first in front; forgets the others."""
        self._entries = sorted(e for e in self._entries if not e[2].is_done)
        return [w for _, _, w in self._entries]

    def ahead_of(self, rank: int) -> int:
        """Returns how many go before one that comes now."""
        return sum(w.rank <= rank for w in self)

    def clear(self) -> list[Waiter]:
        """Empties the queue; returns who waited."""
        waited = list(self)
        self._entries = []
        return waited


def unavailable(member: str) -> decisions.RequestFailedError:
    """Returns the failure of who waits where no link is to be had."""
    return decisions.RequestFailedError(decisions.NO_CONNECTION, member)


def overloaded(member: str) -> decisions.RequestFailedError:
    """Returns the failure of who waits where too many do."""
    return decisions.RequestFailedError(decisions.OVERLOADED, member)
