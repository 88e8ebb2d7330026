"""How long requests wait in a queue for a member."""

from collections.abc import Callable

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks

# How often a request that waits beyond the usual bound looks at the member.
CHECK_INTERVAL_S = 0.1


@attrs.define(slots=True, eq=False, kw_only=True)
class Hold:
    """The wait of one request.

    Attributes:
        clock: The clock.
        until: Until when it waits in any case, in the clock's seconds.
        latest: Until when it waits at most.
        is_worthwhile: Whether to wait longer than `until`; asked once.
        may_wait: Whether to wait on.
        give_up: Called when its wait is over.
    """

    clock: _clocks.Clock
    until: float
    latest: float
    is_worthwhile: Callable[[], bool]
    may_wait: Callable[[], bool]
    give_up: Callable[[], None]
    _timer: decisions.Timer | None = None

    def start(self) -> None:
        """Starts the wait."""
        first_s = min(self.until, self.latest) - self.clock.now()
        self._timer = self.clock.after(max(0.0, first_s), self._check_worth)

    def end(self) -> None:
        """Ends the wait: the request was served or has failed."""
        if self._timer is not None:
            self._timer.cancel()

    def _check_worth(self) -> None:
        if self.is_worthwhile():
            self._check()
        else:
            self.give_up()

    def _check(self) -> None:
        left_s = self.latest - self.clock.now()
        if left_s > 0.0 and self.may_wait():
            delay_s = min(CHECK_INTERVAL_S, left_s)
            self._timer = self.clock.after(delay_s, self._check)
        else:
            self.give_up()
