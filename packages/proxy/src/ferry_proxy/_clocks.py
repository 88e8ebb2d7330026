"""The clock interface that the proxy uses."""

import typing

import ferry_decisions as decisions


class Clock(decisions.TimerService, typing.Protocol):
    """A timer service with a second clock that includes suspended time."""

    def boot_now(self) -> float:
        """Returns seconds since an arbitrary origin, suspension included."""
