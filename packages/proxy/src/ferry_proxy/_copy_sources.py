"""Which peer a node asks for its copy of the store, and when again."""

from collections.abc import Sequence
import random
import typing

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks

PAUSE_FIRST_S = 0.2
PAUSE_MAX_S = 5.0  # A copy may be a whole document on a narrow link.


class Named(typing.Protocol):
    """A stream to a peer."""

    peer: str


P = typing.TypeVar("P", bound=Named)


@attrs.define(slots=True)
class _Attempts:
    """What came of asking one peer.

    Attributes:
        in_vain: How often in a row nothing new came of it.
        not_before: When to ask it again, in the clock's seconds.
    """

    in_vain: int = 0
    not_before: float = float("-inf")


class CopySources:
    """Chooses among the peers that know more.

    A peer that could not help is asked again after a pause that grows: what it
    lacked may reach it at any time.
    """

    def __init__(self, clock: _clocks.Clock, rng: random.Random) -> None:
        """Makes a choice without any attempts.

        Args:
            clock: The clock.
            rng: Spreads the pauses of nodes that ask alike.
        """
        self._clock = clock
        self._rng = rng
        self._attempts: dict[str, _Attempts] = {}

    def choose(self, near: Sequence[P], far: Sequence[P]) -> P | None:
        """Returns whom to ask now; None while all have to be left alone.

        Args:
            near: Peers that know more, in this node's data centre.
            far: Those elsewhere, which cost more.
        """
        now = self._clock.now()
        found = [p for p in (*near, *far) if self._of(p.peer).not_before <= now]
        return min(found, key=lambda p: self._of(p.peer).in_vain, default=None)

    def note_failure(self, peer: str) -> None:
        """Takes in that nothing new came from a peer."""
        known = self._attempts.setdefault(peer, _Attempts())
        known.in_vain += 1
        pause_s = decisions.backoff(
            known.in_vain, PAUSE_FIRST_S, PAUSE_MAX_S, self._rng
        )
        known.not_before = self._clock.now() + pause_s

    def note_success(self, peer: str) -> None:
        """Takes in that a peer's copy brought something new."""
        self._attempts.pop(peer, None)

    def forget(self) -> None:
        """Drops what is known of all peers."""
        self._attempts.clear()

    def _of(self, peer: str) -> _Attempts:
        return self._attempts.get(peer, _UNTRIED)


_UNTRIED = _Attempts()
