"""One selector loop for all sockets and timers of a node.

Blocking work runs on executors; its results come back through `call_soon`.
All other code of a node runs on the loop's thread, so it needs no locks.
"""

import collections
from collections.abc import Callable
import concurrent.futures
import heapq
import itertools
import selectors
import socket
import threading
import time
import typing

import ferry_decisions as decisions

MAX_WAIT_S = 1.0


class HasDescriptor(typing.Protocol):
    """A socket, as far as waiting for it goes."""

    def fileno(self) -> int:
        """Returns its descriptor."""


class EventLoop:
    """A timer service and a selector on one thread."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, decisions.Timer]] = []
        self._order = itertools.count()
        self._calls: collections.deque[Callable[[], object]] = (
            collections.deque()
        )
        self._wake_recv, self._wake_send = socket.socketpair()
        self._wake_recv.setblocking(False)
        self._wake_send.setblocking(False)
        self._running = False
        self._thread: threading.Thread | None = None
        self._late_callbacks: list[Callable[[float], object]] = []
        self.register(
            self._wake_recv, selectors.EVENT_READ, lambda _: self._drain_wake()
        )

    def now(self) -> float:
        """Returns the monotonic time in seconds."""
        return time.monotonic()

    def boot_now(self) -> float:
        """Returns seconds that also count while this machine is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def after(
        self, delay: float, callback: Callable[[], object]
    ) -> decisions.Timer:
        """Runs `callback` once, `delay` seconds from now."""
        timer = decisions.Timer(time.monotonic() + max(0.0, delay), callback)
        heapq.heappush(self._timers, (timer.due, next(self._order), timer))
        return timer

    def on_process_pause(self, callback: Callable[[float], object]) -> None:
        """Subscribes to pauses of this process.

        Args:
            callback: Gets the seconds by which a timer was late.
        """
        self._late_callbacks.append(callback)

    def call_soon(self, callback: Callable[[], object]) -> None:
        """Runs `callback` on the loop's thread; callable from any thread."""
        self._calls.append(callback)
        if threading.current_thread() is self._thread:
            return
        try:
            self._wake_send.send(b"\0")
        except BlockingIOError:
            return  # A wake-up is already on its way.
        except OSError:
            decisions.log_debug("event=loop_closed")

    def register(
        self,
        sock: HasDescriptor,
        events: int,
        callback: Callable[[int], object],
    ) -> None:
        """Calls `callback` with the ready events of a socket."""
        self._selector.register(sock, events, callback)

    def modify(
        self,
        sock: HasDescriptor,
        events: int,
        callback: Callable[[int], object],
    ) -> None:
        """Changes the events that a registered socket waits for."""
        self._selector.modify(sock, events, callback)

    def unregister(self, sock: HasDescriptor) -> None:
        """Stops watching a socket."""
        self._selector.unregister(sock)

    def run(self) -> None:
        """Runs until `stop`."""
        self._thread = threading.current_thread()
        self._running = True
        while self._running:
            self.step()

    def start_thread(self, name: str) -> threading.Thread:
        """Runs the loop on a new daemon thread."""
        thread = threading.Thread(target=self.run, name=name, daemon=True)
        self._thread = thread
        thread.start()
        return thread

    def stop(self) -> None:
        """Ends `run` after the present step; callable from any thread."""
        self.call_soon(self._end)

    def close(self) -> None:
        """Frees the loop's own sockets, after `run` has ended."""
        self._selector.close()
        self._wake_recv.close()
        self._wake_send.close()

    def step(self) -> None:
        """Waits for events once and runs what is ready."""
        for key, events in self._selector.select(self._wait()):
            self._guard(key.data, events)
        self._run_timers()
        for _ in range(len(self._calls)):
            self._guard_call(self._calls.popleft())

    def _wait(self) -> float:
        if self._calls:
            return 0.0
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return MAX_WAIT_S
        left = self._timers[0][0] - time.monotonic()
        return min(MAX_WAIT_S, max(0.0, left))

    def _run_timers(self) -> None:
        now = time.monotonic()
        if self._timers and self._timers[0][2].callback is not None:
            self._report_late(now - self._timers[0][0])
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            callback = timer.callback
            if callback is not None:
                timer.callback = None
                self._guard_call(callback)

    def _report_late(self, late_s: float) -> None:
        if late_s > 0:
            for callback in self._late_callbacks:
                callback(late_s)

    def _guard(self, callback: Callable[[int], object], events: int) -> None:
        self._guard_call(lambda: callback(events))

    def _guard_call(self, callback: Callable[[], object]) -> None:
        """Keeps the loop alive through a defect in one callback."""
        try:
            callback()
        except Exception:  # noqa: BLE001 - logged with its trace
            decisions.log_exception("event=callback_failed")

    def _drain_wake(self) -> None:
        try:
            while self._wake_recv.recv(4096):
                pass
        except BlockingIOError:
            return

    def _end(self) -> None:
        self._running = False


T = typing.TypeVar("T")


def relay_to_loop(
    loop: EventLoop, fut: "concurrent.futures.Future[T]"
) -> "decisions.Future[T]":
    """Returns a future that completes on the loop when `fut` does elsewhere."""
    out: decisions.Future[T] = decisions.Future()
    fut.add_done_callback(lambda done: loop.call_soon(lambda: _copy(done, out)))
    return out


def submit_to_loop(
    loop: EventLoop, work: Callable[[], "decisions.Future[T]"]
) -> "concurrent.futures.Future[T]":
    """Starts work on the loop from another thread; returns its future."""
    out: concurrent.futures.Future[T] = concurrent.futures.Future()

    def begin() -> None:
        try:
            work().add_done_callback(lambda done: _copy(done, out))
        except Exception as exc:  # noqa: BLE001 - handed to the caller
            out.set_exception(exc)

    loop.call_soon(begin)
    return out


def _copy(
    done: "concurrent.futures.Future[T]", out: "concurrent.futures.Future[T]"
) -> None:
    exc = done.exception()
    if exc is not None:
        out.set_exception(exc)
    else:
        out.set_result(done.result())
