"""Futures that belong to one thread.

`Future` is a `concurrent.futures.Future` for use inside one loop, where no
other thread waits on it: it keeps the interface and the meaning, and leaves
out the lock and the condition that each one would cost. What crosses threads
uses the standard class.
"""

from collections.abc import Callable
import concurrent.futures
import typing

from ferry_decisions import _logs

T = typing.TypeVar("T")
_PENDING = "PENDING"
_FINISHED = "FINISHED"


class Future(concurrent.futures.Future[T]):
    """A future that is completed, and waited for, on one thread only."""

    def __init__(self) -> None:
        # The base class would make a condition; nothing here waits on one.
        self._is_done = False
        self._outcome: T | None = None
        self._failure: BaseException | None = None
        self._callbacks: list[Callable[[typing.Any], object]] | None = None

    def done(self) -> bool:
        """Whether there is a result or a failure."""
        return self._is_done

    def running(self) -> bool:
        """Whether it is not done yet."""
        return not self._is_done

    def cancelled(self) -> bool:
        """Always false: these futures are not cancelled."""
        return False

    def cancel(self) -> bool:
        """Refuses: these futures are not cancelled."""
        return False

    def result(self, timeout: float | None = None) -> T:
        """Returns the result, or raises the failure.

        Raises:
            InvalidStateError: It is not done; waiting would block the loop.
        """
        self._check_done()
        if self._failure is not None:
            raise self._failure
        return typing.cast(T, self._outcome)

    def exception(self, timeout: float | None = None) -> BaseException | None:
        """Returns the failure, or None for a result.

        Raises:
            InvalidStateError: It is not done; waiting would block the loop.
        """
        self._check_done()
        return self._failure

    def add_done_callback(self, fn: Callable[[typing.Any], object]) -> None:
        """Calls `fn` with the future once it is done, or at once."""
        if self._is_done:
            fn(self)
        elif self._callbacks is None:
            self._callbacks = [fn]
        else:
            self._callbacks.append(fn)

    def set_result(self, result: T) -> None:
        """Completes it with a result.

        Raises:
            InvalidStateError: It is done already.
        """
        self._finish(result, None)

    def set_exception(self, exception: BaseException | None) -> None:
        """Completes it with a failure.

        Raises:
            InvalidStateError: It is done already.
        """
        self._finish(None, exception)

    def _finish(self, result: T | None, failure: BaseException | None) -> None:
        if self._is_done:
            raise concurrent.futures.InvalidStateError(repr(self))
        self._outcome = result
        self._failure = failure
        self._is_done = True
        callbacks, self._callbacks = self._callbacks, None
        for fn in callbacks or ():
            try:
                fn(self)
            except Exception:  # noqa: BLE001 - as the standard class does
                _logs.log_exception("event=future_callback_failed")

    def _check_done(self) -> None:
        if not self._is_done:
            raise concurrent.futures.InvalidStateError("not done")

    def __repr__(self) -> str:
        state = _FINISHED if self._is_done else _PENDING
        return f"<Future {state}>"
