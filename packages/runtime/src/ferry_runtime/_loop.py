"""Selector-based event loop for all sockets and timers of a node.

Blocking work runs on executors, whose results return to the loop through
`call_soon`. All other code of a node runs on the loop's thread and therefore
needs no locks.
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

MAX_SELECT_S = 1.0


class HasDescriptor(typing.Protocol):
    """Object with a file descriptor that the selector can watch."""

    def fileno(self) -> int:
        """Returns the file descriptor."""


class EventLoop:
    """Runs timers and socket callbacks on one thread."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, decisions.Timer]] = []
        self._sequence = itertools.count()
        self._calls: collections.deque[Callable[[], object]] = (
            collections.deque()
        )
        self._wake_recv, self._wake_send = socket.socketpair()
        self._wake_recv.setblocking(False)
        self._wake_send.setblocking(False)
        self._running = False
        self._thread: threading.Thread | None = None
        self._pause_callbacks: list[Callable[[float], object]] = []
        self.register(
            self._wake_recv, selectors.EVENT_READ, lambda _: self._drain_wake()
        )

    def now(self) -> float:
        """Returns the monotonic time in seconds."""
        return time.monotonic()

    def boot_now(self) -> float:
        """Returns seconds since boot, including time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def after(
        self, delay: float, callback: Callable[[], object]
    ) -> decisions.Timer:
        """Schedules `callback` to run once, in `delay` seconds."""
        timer = decisions.Timer(time.monotonic() + max(0.0, delay), callback)
        heapq.heappush(self._timers, (timer.due, next(self._sequence), timer))
        return timer

    def on_process_pause(self, callback: Callable[[float], object]) -> None:
        """Subscribes to pauses of this process, seen as timers that fire late.

        Args:
            callback: Receives the seconds by which a timer was late.
        """
        self._pause_callbacks.append(callback)

    def call_soon(self, callback: Callable[[], object]) -> None:
        """Runs `callback` on the loop's thread; callable from any thread."""
        self._calls.append(callback)
        if threading.current_thread() is self._thread:
            return
        try:
            self._wake_send.send(b"\0")
        except BlockingIOError:
            return  # The full buffer already holds unread wake-ups.
        except OSError:
            decisions.log_debug("event=loop_closed")

    def register(
        self,
        sock: HasDescriptor,
        events: int,
        callback: Callable[[int], object],
    ) -> None:
        """Watches a socket and calls `callback` with its ready events."""
        self._selector.register(sock, events, callback)

    def modify(
        self,
        sock: HasDescriptor,
        events: int,
        callback: Callable[[int], object],
    ) -> None:
        """Changes the events and the callback of a registered socket."""
        self._selector.modify(sock, events, callback)

    def unregister(self, sock: HasDescriptor) -> None:
        """Stops watching a socket."""
        self._selector.unregister(sock)

    def run(self) -> None:
        """Runs the loop on the calling thread until `stop` is called."""
        self._thread = threading.current_thread()
        self._running = True
        while self._running:
            self.step()

    def start_thread(self, name: str) -> threading.Thread:
        """Starts the loop on a new daemon thread and returns the thread."""
        thread = threading.Thread(target=self.run, name=name, daemon=True)
        self._thread = thread
        thread.start()
        return thread

    def stop(self) -> None:
        """Ends `run` after the current step; callable from any thread."""
        self.call_soon(self._mark_stopped)

    def close(self) -> None:
        """Closes the selector and wake-up sockets, once `run` has returned."""
        self._selector.close()
        self._wake_recv.close()
        self._wake_send.close()

    def step(self) -> None:
        """Waits for events once, then runs all callbacks that are ready."""
        for key, events in self._selector.select(self._wait()):
            self._run_socket_callback(key.data, events)
        self._run_timers()
        for _ in range(len(self._calls)):
            self._run_callback(self._calls.popleft())

    def _wait(self) -> float:
        if self._calls:
            return 0.0
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return MAX_SELECT_S
        left = self._timers[0][0] - time.monotonic()
        return min(MAX_SELECT_S, max(0.0, left))

    def _run_timers(self) -> None:
        now = time.monotonic()
        if self._timers and self._timers[0][2].callback is not None:
            self._report_pause(now - self._timers[0][0])
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            callback = timer.callback
            if callback is not None:
                timer.callback = None
                self._run_callback(callback)

    def _report_pause(self, late_s: float) -> None:
        if late_s > 0:
            for callback in self._pause_callbacks:
                callback(late_s)

    def _run_socket_callback(
        self, callback: Callable[[int], object], events: int
    ) -> None:
        self._run_callback(lambda: callback(events))

    def _run_callback(self, callback: Callable[[], object]) -> None:
        """Runs a callback; logs its exception so that the loop survives it."""
        try:
            callback()
        except Exception:  # noqa: BLE001 - logged with its traceback
            decisions.log_exception("event=callback_failed")

    def _drain_wake(self) -> None:
        try:
            while self._wake_recv.recv(4096):
                pass
        except BlockingIOError:
            return

    def _mark_stopped(self) -> None:
        self._running = False


T = typing.TypeVar("T")


def relay_to_loop(
    loop: EventLoop, fut: "concurrent.futures.Future[T]"
) -> "decisions.Future[T]":
    """Returns a future that completes on the loop's thread when `fut` does."""
    out: decisions.Future[T] = decisions.Future()
    fut.add_done_callback(
        lambda done: loop.call_soon(lambda: _copy_result(done, out))
    )
    return out


def submit_to_loop(
    loop: EventLoop, work: Callable[[], "decisions.Future[T]"]
) -> "concurrent.futures.Future[T]":
    """Starts `work` on the loop from another thread; returns its future."""
    out: concurrent.futures.Future[T] = concurrent.futures.Future()

    def begin() -> None:
        try:
            work().add_done_callback(lambda done: _copy_result(done, out))
        except Exception as exc:  # noqa: BLE001 - set on the future
            out.set_exception(exc)

    loop.call_soon(begin)
    return out


def _copy_result(
    done: "concurrent.futures.Future[T]", out: "concurrent.futures.Future[T]"
) -> None:
    exc = done.exception()
    if exc is not None:
        out.set_exception(exc)
    else:
        out.set_result(done.result())
