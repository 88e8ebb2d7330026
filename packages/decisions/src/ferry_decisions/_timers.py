"""Timers that the parts of the system subscribe to.

Every part takes its time from a `TimerService`; nothing in this package reads
a clock. `VirtualTimers` is the service of tests and experiments: its time
moves only when the caller advances it, so a run repeats exactly.
"""

from collections.abc import Callable
import heapq
import itertools
import typing

import attrs


@attrs.define(eq=False, slots=True)
class Timer:
    """A subscription to one moment in time.

    Attributes:
        due: When the callback runs, in seconds of the service's own clock.
        callback: What runs; None once cancelled or run.
    """

    due: float
    callback: Callable[[], object] | None

    def cancel(self) -> None:
        """Drops the subscription; a later or second call does nothing."""
        self.callback = None


class TimerService(typing.Protocol):
    """A monotonic clock, in seconds, and subscriptions to it."""

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
        """Ends the subscription."""
        self._stopped = True
        self._timer.cancel()


class Ticker:
    """One timer for all periodic work of a process.

    Parts subscribe with periods of whole steps, so that the process wakes
    once for all that is due: 10 times a second for six parts, where a timer
    each took 27.
    """

    def __init__(self, timers: TimerService, step: float) -> None:
        """Begins to tick.

        Args:
            timers: The timer service.
            step: Seconds between ticks.
        """
        self._step = step
        self._ticks = 0
        self._parts: list[tuple[int, Callable[[], object]]] = []
        self._timer = PeriodicTimer(timers, step, self._tick)

    def subscribe(self, period: float, callback: Callable[[], object]) -> None:
        """Runs a callback every `period` seconds, in whole steps."""
        self._parts.append((max(1, round(period / self._step)), callback))

    def stop(self) -> None:
        """Ends all subscriptions."""
        self._timer.stop()

    def _tick(self) -> None:
        """Runs what is due; a part that fails holds up no other.

        Raises:
            ExceptionGroup: Parts have failed.
        """
        self._ticks += 1
        failures: list[Exception] = []
        for steps, callback in self._parts:
            if self._ticks % steps:
                continue
            try:
                callback()
            except Exception as exc:  # noqa: BLE001 - raised below
                failures.append(exc)
        if failures:
            raise ExceptionGroup("periodic work failed", failures)


class VirtualTimers:
    """A timer service whose time is moved by its owner."""

    def __init__(self, start: float = 0.0) -> None:
        self._now = start
        self._queue: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()

    def now(self) -> float:
        """Returns the virtual time in seconds."""
        return self._now

    def boot_now(self) -> float:
        """Returns the same: a virtual machine is never suspended."""
        return self._now

    def after(self, delay: float, callback: Callable[[], object]) -> Timer:
        """Runs `callback` once, `delay` virtual seconds from now."""
        timer = Timer(self._now + max(0.0, delay), callback)
        heapq.heappush(self._queue, (timer.due, next(self._order), timer))
        return timer

    def advance(self, seconds: float) -> None:
        """Moves time forward, running all that falls due on the way."""
        self.run_until(self._now + seconds)

    def run_until(self, end: float) -> None:
        """Moves time to `end`, running all that falls due on the way."""
        while self._queue and self._queue[0][0] <= end:
            due, _, timer = heapq.heappop(self._queue)
            callback = timer.callback
            if callback is None:
                continue
            self._now = max(self._now, due)
            timer.callback = None
            callback()
        self._now = max(self._now, end)
