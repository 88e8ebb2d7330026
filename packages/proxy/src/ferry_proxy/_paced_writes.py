"""Paces the writes of one record in the store."""

from collections.abc import Callable

import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _events

# The shortest pause after a write; it doubles while writes are not accepted.
MIN_PAUSE_S = 1.0
MAX_PAUSE_S = 30.0
# The part of a pause by which records differ, as many may change at once.
STAGGERED_SHARE = 0.5


class PacedWrites:
    """Runs one write at a time, with pauses in between."""

    def __init__(
        self,
        clock: _clocks.Clock,
        prefix: str,
        service: str,
        max_pause_s: float = MAX_PAUSE_S,
    ) -> None:
        """Creates a pacer.

        Args:
            clock: The clock.
            prefix: The prefix of the record's key.
            service: The group that the record belongs to.
            max_pause_s: The longest pause while writes are not accepted.
        """
        self._clock = clock
        self._stagger = decisions.stagger_fraction(prefix, service)
        self._max_pause_s = max_pause_s
        self._is_writing = False
        self._pause_s = MIN_PAUSE_S
        self._next_at = float("-inf")

    @property
    def is_ready(self) -> bool:
        """Whether a write may begin now."""
        return not self._is_writing and self._clock.now() >= self._next_at

    def run(
        self, work: "decisions.Flow[bool]", on_accepted: Callable[[], object]
    ) -> None:
        """Starts a write.

        Args:
            work: The write; returns whether the store accepted it.
            on_accepted: Called once it did.
        """
        self._is_writing = True
        fut = decisions.start(work)
        fut.add_done_callback(lambda f: self._on_done(f, on_accepted))

    def _on_done(
        self,
        fut: "decisions.Future[bool]",
        on_accepted: Callable[[], object],
    ) -> None:
        self._is_writing = False
        exc = fut.exception()
        if exc is not None:
            _events.emit(_events.DependencyLost("store", str(exc)))
        is_accepted = exc is None and fut.result()
        if is_accepted:
            self._pause_s = MIN_PAUSE_S
            on_accepted()
        self._next_at = self._clock.now() + self._staggered_pause_s
        if not is_accepted:
            self._pause_s = min(self._max_pause_s, 2 * self._pause_s)

    @property
    def _staggered_pause_s(self) -> float:
        pause_s = self._pause_s * (1.0 + STAGGERED_SHARE * self._stagger)
        return min(self._max_pause_s, pause_s)
