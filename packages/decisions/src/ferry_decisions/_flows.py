"""Generator-based coroutines over futures.

A flow is a generator that yields `concurrent.futures.Future` objects. It is
resumed when the yielded future is done, either with the future's result or
with its exception raised at the `yield`. All futures of a flow complete on the
thread that owns the flow, so no locks are needed.
"""

from collections.abc import Callable
from collections.abc import Generator
import typing

from ferry_decisions import _futures
from ferry_decisions import _timers

T = typing.TypeVar("T")
Future = _futures.Future
Flow = Generator["Future[typing.Any]", typing.Any, T]


class TimeoutExpiredError(Exception):
    """A future was not done before its timeout."""


def completed(value: T) -> "Future[T]":
    """Returns a future that is already done with `value`."""
    fut: Future[T] = Future()
    fut.set_result(value)
    return fut


def failed(exc: BaseException) -> "Future[typing.Any]":
    """Returns a future that has already failed with `exc`."""
    fut: Future[typing.Any] = Future()
    fut.set_exception(exc)
    return fut


def resolve(fut: "Future[T]", value: T) -> bool:
    """Sets the result unless the future is done; returns whether it did."""
    if fut.done():
        return False
    fut.set_result(value)
    return True


def reject(fut: "Future[typing.Any]", exc: BaseException) -> bool:
    """Sets the exception unless the future is done; returns whether it did."""
    if fut.done():
        return False
    fut.set_exception(exc)
    return True


def forward(fut: "Future[T]", out: "Future[T]") -> None:
    """Copies the outcome of `fut` to `out`, unless `out` is already done."""

    def finish(done: "Future[T]") -> None:
        exc = done.exception()
        if exc is not None:
            reject(out, exc)
        else:
            resolve(out, done.result())

    fut.add_done_callback(finish)


def start(flow: "Flow[T]") -> "Future[T]":
    """Starts a flow; returns a future of its return value."""
    out: Future[T] = Future()
    _run_flow(flow, out, lambda: next(flow))
    return out


def _run_flow(
    flow: "Flow[T]",
    out: "Future[T]",
    resume: Callable[[], "Future[typing.Any]"],
) -> None:
    """Runs a flow until it yields a future that is not done."""
    while True:
        failure: Exception | None = None
        result: T | None = None
        try:
            yielded = resume()
        except StopIteration as exc:
            result = exc.value
        except Exception as exc:  # noqa: BLE001 - passed on by the future
            failure = exc
        else:
            if yielded.done():
                resume = _resumption(flow, yielded)
                continue
            yielded.add_done_callback(
                lambda fut: _run_flow(flow, out, _resumption(flow, fut))
            )
            return
        # The callbacks of `out` run outside of the handlers above: a traceback
        # that is logged there would quote the result of this flow.
        if failure is not None:
            reject(out, failure)
        else:
            resolve(out, typing.cast(T, result))
        return


def _resumption(
    flow: "Flow[typing.Any]", fut: "Future[typing.Any]"
) -> Callable[[], "Future[typing.Any]"]:
    exc = fut.exception()
    if exc is not None:
        return lambda: flow.throw(exc)
    return lambda: flow.send(fut.result())


def sleep(timers: _timers.TimerService, seconds: float) -> "Future[None]":
    """Returns a future that is done after `seconds`."""
    fut: Future[None] = Future()
    timers.after(seconds, lambda: resolve(fut, None))
    return fut


def settled(fut: "Future[typing.Any]") -> "Future[None]":
    """Returns a future that succeeds when `fut` is done, even if it failed."""
    out: Future[None] = Future()
    fut.add_done_callback(lambda _: resolve(out, None))
    return out


def first_completed(
    one: "Future[None]", other: "Future[None]"
) -> "Future[None]":
    """Returns a future with the outcome of whichever completes first."""
    out: Future[None] = Future()
    forward(one, out)
    forward(other, out)
    return out


def with_timeout(
    timers: _timers.TimerService, seconds: float, fut: "Future[T]"
) -> "Future[T]":
    """Returns a future with the outcome of `fut`, or with a timeout error."""
    if fut.done():
        return fut
    out: Future[T] = Future()
    timer = timers.after(
        seconds, lambda: reject(out, TimeoutExpiredError(f"{seconds:.3f} s"))
    )

    forward(fut, out)
    out.add_done_callback(lambda _: timer.cancel())
    return out


class SharedRounds(typing.Generic[T]):
    """Coalesces requests into shared runs of one flow.

    A request joins the next round to begin, never one that is in progress, so
    the result of a round is never older than the request.
    """

    def __init__(self, work: Callable[[], "Flow[T]"]) -> None:
        self._work = work
        self._is_running = False
        self._next: Future[T] | None = None

    def join(self) -> "Future[T]":
        """Returns the future of a round that has not begun before the call."""
        if self._next is None:
            self._next = Future()
        joined = self._next
        if not self._is_running:
            self._begin()
        return joined

    def _begin(self) -> None:
        out, self._next = self._next, None
        if out is None:
            return
        self._is_running = True
        done = start(self._work())
        done.add_done_callback(lambda fut: self._end(fut, out))

    def _end(self, fut: "Future[T]", out: "Future[T]") -> None:
        self._is_running = False
        forward(fut, out)
        if not self._is_running:
            self._begin()


@typing.final
class Settled(typing.Generic[T]):
    """The outcome of a future: a result or an exception."""

    def __init__(self, fut: "Future[T]") -> None:
        self.failure = fut.exception()
        self._fut = fut

    @property
    def result(self) -> T:
        """The result of the future.

        Raises:
            BaseException: The future's exception, if it failed.
        """
        return self._fut.result()


def settle_all(
    futs: "list[Future[T]]", enough: Callable[[list[Settled[T]]], bool]
) -> "Future[list[Settled[T]]]":
    """Gathers outcomes until all futures are done or `enough` returns true."""
    out: Future[list[Settled[T]]] = Future()
    settled: list[Settled[T]] = []

    def add_outcome(fut: "Future[T]") -> None:
        settled.append(Settled(fut))
        if len(settled) == len(futs) or enough(settled):
            resolve(out, list(settled))

    if not futs:
        out.set_result([])
    for fut in futs:
        fut.add_done_callback(add_outcome)
    return out
