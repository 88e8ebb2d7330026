"""How long requests wait in a queue for a member."""

from collections.abc import Callable

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks

# How often a request that waits beyond the usual bound looks at the member.
CHECK_INTERVAL_S = 0.05


@attrs.define(slots=True, eq=False, kw_only=True)
class Hold:
    """The wait of one request.

    Attributes:
        clock: The clock.
        until: Until when it waits in any case, in the clock's seconds.
        latest: Until when it waits while the member works off its queue.
        is_queueing: Whether it waits for other statements, and not for a
            silent member or for a link.
        give_up: Called when its wait is over.
    """

    clock: _clocks.Clock
    until: float
    latest: float
    is_queueing: Callable[[], bool]
    give_up: Callable[[], None]
    _timer: decisions.Timer | None = None

    def start(self) -> None:
        """Starts the wait."""
        first = min(self.until, self.latest)
        self._check_after(first - self.clock.now())

    def end(self) -> None:
        """Ends the wait: the request was served or has failed."""
        if self._timer is not None:
            self._timer.cancel()

    def _check_after(self, delay_s: float) -> None:
        self._timer = self.clock.after(max(0.0, delay_s), self._check)

    def _check(self) -> None:
        left_s = self.latest - self.clock.now()
        if left_s > 0.0 and self.is_queueing():
            self._check_after(min(CHECK_INTERVAL_S, left_s))
        else:
            self.give_up()
