"""Futures for use on a single thread.

`Future` is a `concurrent.futures.Future` for use within one event loop, where
no other thread waits on it. It keeps the interface and the semantics but omits
the lock and the condition variable that each standard future allocates. Code
that passes futures between threads uses the standard class.
"""

from collections.abc import Callable
import concurrent.futures
import typing

from ferry_decisions import _logs

T = typing.TypeVar("T")
_PENDING = "PENDING"
_FINISHED = "FINISHED"


class Future(concurrent.futures.Future[T]):
    """A future that is completed and awaited on the same thread."""

    def __init__(self) -> None:
        # The base class is not initialised: it would allocate a condition
        # variable, on which nothing waits here.
        self._is_done = False
        self._value: T | None = None
        self._failure: BaseException | None = None
        self._callbacks: list[Callable[[typing.Any], object]] | None = None

    def done(self) -> bool:
        """Whether the future has a result or an exception."""
        return self._is_done

    def running(self) -> bool:
        """Whether the future is not done yet."""
        return not self._is_done

    def cancelled(self) -> bool:
        """Always false: these futures cannot be cancelled."""
        return False

    def cancel(self) -> bool:
        """Does nothing and returns false; cancellation is not supported."""
        return False

    def result(self, timeout: float | None = None) -> T:
        """Returns the result, or raises the future's exception.

        Raises:
            InvalidStateError: The future is not done; waiting for it would
                block the event loop.
        """
        self._check_done()
        if self._failure is not None:
            raise self._failure
        return typing.cast(T, self._value)

    def exception(self, timeout: float | None = None) -> BaseException | None:
        """Returns the exception, or None if there is a result.

        Raises:
            InvalidStateError: The future is not done; waiting for it would
                block the event loop.
        """
        self._check_done()
        return self._failure

    def add_done_callback(self, fn: Callable[[typing.Any], object]) -> None:
        """Calls `fn` with the future when it is done, or now if it is."""
        if self._is_done:
            fn(self)
        elif self._callbacks is None:
            self._callbacks = [fn]
        else:
            self._callbacks.append(fn)

    def set_result(self, result: T) -> None:
        """Completes the future with a result.

        Raises:
            InvalidStateError: The future is already done.
        """
        self._finish(result, None)

    def set_exception(self, exception: BaseException | None) -> None:
        """Completes the future with an exception.

        Raises:
            InvalidStateError: The future is already done.
        """
        self._finish(None, exception)

    def _finish(self, result: T | None, failure: BaseException | None) -> None:
        if self._is_done:
            raise concurrent.futures.InvalidStateError(repr(self))
        self._value = result
        self._failure = failure
        self._is_done = True
        callbacks, self._callbacks = self._callbacks, None
        for fn in callbacks or ():
            try:
                fn(self)
            except Exception:  # noqa: BLE001 - as in the standard class
                _logs.log_exception("event=future_callback_failed")

    def _check_done(self) -> None:
        if not self._is_done:
            raise concurrent.futures.InvalidStateError("the future is not done")

    def __repr__(self) -> str:
        state = _FINISHED if self._is_done else _PENDING
        return f"<Future {state}>"
