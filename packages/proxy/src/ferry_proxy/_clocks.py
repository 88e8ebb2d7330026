"""The clocks that the proxy decides by."""

import typing

import ferry_decisions as decisions


class Clock(decisions.TimerService, typing.Protocol):
    """A timer service that also counts the time of a suspended machine."""

    def boot_now(self) -> float:
        """Returns seconds since some start, suspended time included."""
