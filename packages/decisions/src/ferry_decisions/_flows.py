"""Steps of work written one after another over futures.

A flow is a generator that yields `concurrent.futures.Future` objects. It goes
on when the future it waits for is done: with the result, or with the failure
raised at the `yield`. All futures of a flow complete on the thread that owns
the flow, so no locks are needed.
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
    """A future was not done within the time that its caller allows."""


def completed(value: T) -> "Future[T]":
    """Returns a future that already holds `value`."""
    fut: Future[T] = Future()
    fut.set_result(value)
    return fut


def failed(exc: BaseException) -> "Future[typing.Any]":
    """Returns a future that already holds the failure `exc`."""
    fut: Future[typing.Any] = Future()
    fut.set_exception(exc)
    return fut


def resolve(fut: "Future[T]", value: T) -> bool:
    """Sets the result unless the future is done; returns whether it was set."""
    if fut.done():
        return False
    fut.set_result(value)
    return True


def reject(fut: "Future[typing.Any]", exc: BaseException) -> bool:
    """Sets the failure unless the future is done; returns whether it was."""
    if fut.done():
        return False
    fut.set_exception(exc)
    return True


def forward(fut: "Future[T]", out: "Future[T]") -> None:
    """Completes `out` as `fut` completes, unless it is done by then."""

    def finish(done: "Future[T]") -> None:
        exc = done.exception()
        if exc is not None:
            reject(out, exc)
        else:
            resolve(out, done.result())

    fut.add_done_callback(finish)


def start(flow: "Flow[T]") -> "Future[T]":
    """Starts a flow; returns the future of its return value."""
    out: Future[T] = Future()
    _step(flow, out, lambda: next(flow))
    return out


def _step(
    flow: "Flow[T]",
    out: "Future[T]",
    resume: Callable[[], "Future[typing.Any]"],
) -> None:
    """Runs the flow until it waits for a future that is not done."""
    while True:
        try:
            waited = resume()
        except StopIteration as exc:
            resolve(out, exc.value)
            return
        except Exception as exc:  # noqa: BLE001 - handed to the future's owner
            reject(out, exc)
            return
        if not waited.done():
            waited.add_done_callback(
                lambda fut: _step(flow, out, _resumption(flow, fut))
            )
            return
        resume = _resumption(flow, waited)


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
    """Returns a future that is done when `fut` is, whatever came of it."""
    out: Future[None] = Future()
    fut.add_done_callback(lambda _: resolve(out, None))
    return out


def first_completed(
    one: "Future[None]", other: "Future[None]"
) -> "Future[None]":
    """Returns a future that is done when one of two is."""
    out: Future[None] = Future()
    forward(one, out)
    forward(other, out)
    return out


def with_timeout(
    timers: _timers.TimerService, seconds: float, fut: "Future[T]"
) -> "Future[T]":
    """Returns a future that fails with a timeout when `fut` takes too long."""
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
    """Lets requests share rounds of one kind of work.

    A request joins the next round to begin, never one under way, so whatever
    a round finds out is newer than the request.
    """

    def __init__(self, work: Callable[[], "Flow[T]"]) -> None:
        self._work = work
        self._busy = False
        self._next: Future[T] | None = None

    def join(self) -> "Future[T]":
        """Returns the future of a round that begins from now on."""
        if self._next is None:
            self._next = Future()
        joined = self._next
        if not self._busy:
            self._begin()
        return joined

    def _begin(self) -> None:
        out, self._next = self._next, None
        if out is None:
            return
        self._busy = True
        done = start(self._work())
        done.add_done_callback(lambda fut: self._end(fut, out))

    def _end(self, fut: "Future[T]", out: "Future[T]") -> None:
        self._busy = False
        forward(fut, out)
        if not self._busy:
            self._begin()


@typing.final
class Settled(typing.Generic[T]):
    """What a future came to: a result, or a failure."""

    def __init__(self, fut: "Future[T]") -> None:
        self.failure = fut.exception()
        self._fut = fut

    @property
    def result(self) -> T:
        """The result.

        Raises:
            BaseException: The failure of the future, if it failed.
        """
        return self._fut.result()


def settle_all(
    futs: "list[Future[T]]", enough: Callable[[list[Settled[T]]], bool]
) -> "Future[list[Settled[T]]]":
    """Gathers futures until all are done or those done are `enough`."""
    out: Future[list[Settled[T]]] = Future()
    settled: list[Settled[T]] = []

    def note(fut: "Future[T]") -> None:
        settled.append(Settled(fut))
        if len(settled) == len(futs) or enough(settled):
            resolve(out, list(settled))

    if not futs:
        out.set_result([])
    for fut in futs:
        fut.add_done_callback(note)
    return out
