"""The timer interface, and its implementation in virtual time.

All components take the time from a `TimerService`; nothing in this package
reads a clock. `VirtualTimers` serves tests and experiments: its time advances
only when the caller moves it, so a run is exactly reproducible.
"""

from collections.abc import Callable
import heapq
import itertools
import typing

import attrs


@attrs.define(eq=False, slots=True)
class Timer:
    """A scheduled callback.

    Attributes:
        due: Time at which the callback runs, in seconds of the service's
            clock.
        callback: The function to call; None once it ran or was cancelled.
    """

    due: float
    callback: Callable[[], object] | None

    def cancel(self) -> None:
        """Cancels the callback; has no effect once it ran or was cancelled."""
        self.callback = None


class TimerService(typing.Protocol):
    """A monotonic clock, in seconds, that schedules callbacks."""

    def now(self) -> float:
        """Returns the monotonic time in seconds."""

    def after(self, delay: float, callback: Callable[[], object]) -> Timer:
        """Runs `callback` once, `delay` seconds from now."""


class PeriodicTimer:
    """Runs a callback every `period` seconds until it is stopped."""

    def __init__(
        self,
        timers: TimerService,
        period: float,
        callback: Callable[[], object],
        first: float | None = None,
    ) -> None:
        self._timers = timers
        self._period = period
        self._callback = callback
        delay = period if first is None else first
        self._timer = timers.after(delay, self._fire)
        self._stopped = False

    def _fire(self) -> None:
        if self._stopped:
            return
        self._timer = self._timers.after(self._period, self._fire)
        self._callback()

    def stop(self) -> None:
        """Stops the timer."""
        self._stopped = True
        self._timer.cancel()


class Ticker:
    """Runs all periodic work of a process from a single timer.

    Periods are multiples of one step, so that the process wakes up once for
    all callbacks that are due: 10 times per second for six callbacks, instead
    of 27 times with a timer for each.
    """

    def __init__(self, timers: TimerService, step: float) -> None:
        """Starts the ticker.

        Args:
            timers: The timer service.
            step: Seconds between ticks.
        """
        self._step = step
        self._ticks = 0
        self._subscriptions: list[tuple[int, Callable[[], object]]] = []
        self._timer = PeriodicTimer(timers, step, self._tick)

    def subscribe(self, period: float, callback: Callable[[], object]) -> None:
        """Runs a callback every `period` seconds, rounded to whole steps."""
        self._subscriptions.append(
            (max(1, round(period / self._step)), callback)
        )

    def stop(self) -> None:
        """Stops all callbacks."""
        self._timer.stop()

    def _tick(self) -> None:
        """Runs all due callbacks, even if some of them fail.

        Raises:
            ExceptionGroup: One or more callbacks failed.
        """
        self._ticks += 1
        failures: list[Exception] = []
        for steps, callback in self._subscriptions:
            if self._ticks % steps:
                continue
            try:
                callback()
            except Exception as exc:  # noqa: BLE001 - raised below
                failures.append(exc)
        if failures:
            raise ExceptionGroup("periodic work failed", failures)


class VirtualTimers:
    """A timer service whose time advances only when its owner moves it."""

    def __init__(self, start: float = 0.0) -> None:
        self._now = start
        self._queue: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()

    def now(self) -> float:
        """Returns the virtual time in seconds."""
        return self._now

    def boot_now(self) -> float:
        """Returns the same as `now`: a simulated VM is never suspended."""
        return self._now

    def after(self, delay: float, callback: Callable[[], object]) -> Timer:
        """Runs `callback` once, `delay` virtual seconds from now."""
        timer = Timer(self._now + max(0.0, delay), callback)
        heapq.heappush(self._queue, (timer.due, next(self._sequence), timer))
        return timer

    def advance(self, seconds: float) -> None:
        """Advances the time by `seconds`, running all callbacks due by then."""
        self.run_until(self._now + seconds)

    def run_until(self, end: float) -> None:
        """Advances the time to `end`, running all callbacks due by then."""
        while self._queue and self._queue[0][0] <= end:
            due, _, timer = heapq.heappop(self._queue)
            callback = timer.callback
            if callback is None:
                continue
            self._now = max(self._now, due)
            timer.callback = None
            callback()
        self._now = max(self._now, end)
