"""Chooses the peer that a node asks for missing changes of the store."""

from collections.abc import Sequence
import random
import typing

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks

PAUSE_FIRST_S = 0.2

# The longest pause. It is long enough that repeated answers, each of which may
# contain the whole configuration, do not fill a narrow link.
PAUSE_MAX_S = 5.0


class Named(typing.Protocol):
    """A stream to a peer.

    Attributes:
        peer: The name of the peer.
    """

    peer: str


P = typing.TypeVar("P", bound=Named)


@attrs.define(slots=True)
class _Attempts:
    """The result of recent requests to one peer.

    Attributes:
        failures: The number of requests in a row that brought nothing new.
        not_before: When to ask the peer again, in the clock's seconds.
    """

    failures: int = 0
    not_before: float = float("-inf")


class CopySources:
    """Chooses among the peers that are ahead of this node.

    A peer that brought nothing new is asked again after a pause that grows with
    each failure, since it may receive the missing changes at any time.
    """

    def __init__(self, clock: _clocks.Clock, rng: random.Random) -> None:
        """Creates an instance without any attempts.

        Args:
            clock: The clock.
            rng: Randomizes the pauses, so that nodes ask at different times.
        """
        self._clock = clock
        self._rng = rng
        self._attempts: dict[str, _Attempts] = {}

    def choose(self, near: Sequence[P], far: Sequence[P]) -> P | None:
        """Returns the peer to ask now; None if none is due yet.

        Args:
            near: Peers that are ahead, in this node's data centre.
            far: Peers that are ahead, in other data centres; traffic to them
                costs more.
        """
        now = self._clock.now()
        ready = [p for p in (*near, *far) if self._of(p.peer).not_before <= now]
        return min(ready, key=lambda p: self._of(p.peer).failures, default=None)

    def note_failure(self, peer: str) -> None:
        """Records that a request to a peer brought nothing new."""
        known = self._attempts.setdefault(peer, _Attempts())
        known.failures += 1
        pause_s = decisions.backoff(
            known.failures, PAUSE_FIRST_S, PAUSE_MAX_S, self._rng
        )
        known.not_before = self._clock.now() + pause_s

    def note_success(self, peer: str) -> None:
        """Records that a request to a peer brought something new."""
        self._attempts.pop(peer, None)

    def reset(self) -> None:
        """Forgets the attempts at all peers."""
        self._attempts.clear()

    def _of(self, peer: str) -> _Attempts:
        return self._attempts.get(peer, _UNTRIED)


_UNTRIED = _Attempts()
