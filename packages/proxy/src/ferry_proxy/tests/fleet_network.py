"""A network between nodes in virtual time, and clocks that can be paused."""

from collections.abc import Callable
import functools

import attrs
import ferry_decisions as decisions
import ferry_runtime as runtime

LATENCY_S = 0.001
Address = tuple[str, int]


class NodeClock:
    """The clocks and the timers of one VM.

    Attributes:
        is_stopped: Whether the process has been killed; it does nothing more.
    """

    def __init__(self, timers: decisions.VirtualTimers) -> None:
        self._timers = timers
        self._paused_until = float("-inf")
        self._suspended_s = 0.0
        self.is_stopped = False

    def now(self) -> float:
        return self._timers.now() - self._suspended_s

    def boot_now(self) -> float:
        return self._timers.now()

    def after(
        self, delay: float, callback: Callable[[], object]
    ) -> decisions.Timer:
        timer = decisions.Timer(self.now() + delay, callback)
        self._timers.after(delay, lambda: self._fire(timer))
        return timer

    def freeze(self, seconds: float) -> None:
        """Stops the process for a time; both clocks go on."""
        until = self._timers.now() + seconds
        self._paused_until = max(self._paused_until, until)

    def suspend(self, seconds: float) -> None:
        """Stops the VM for a time, and its monotonic clock with it."""
        self.freeze(seconds)
        self._suspended_s += seconds

    @property
    def is_paused(self) -> bool:
        return self._timers.now() < self._paused_until

    def run_soon(self, callback: Callable[[], object]) -> None:
        """Runs a callback at once, or when the process goes on."""
        if self.is_stopped:
            return
        if self.is_paused:
            wait_s = self._paused_until - self._timers.now()
            self._timers.after(wait_s, lambda: self.run_soon(callback))
        else:
            callback()

    def _fire(self, timer: decisions.Timer) -> None:
        self.run_soon(lambda: self._run(timer))

    def _run(self, timer: decisions.Timer) -> None:
        callback, timer.callback = timer.callback, None
        if callback is not None:
            callback()


class Pipe:
    """One end of a connection between two nodes."""

    def __init__(self, network: "Network", clock: NodeClock) -> None:
        self.network = network
        self.clock = clock
        self.address: Address = ("", 0)
        self.other: Pipe | None = None
        self.closed = False
        self.is_opening = True
        self.on_data: Callable[[bytes], object] = lambda _: None
        self.on_closed: Callable[[runtime.StreamClosedError], object] = (
            lambda _: None
        )
        self._queue: list[bytes] = []

    def keep_alive(self, timeout_ms: int) -> None:
        pass

    def send(self, data: bytes) -> None:
        self._queue.append(data)
        self.network.timers.after(LATENCY_S, self.flush)

    def flush(self) -> None:
        """Delivers what was sent, unless the way there is interrupted."""
        other = self.other
        if other is None or self.network.is_cut(self.address, other.address):
            return
        queue, self._queue = self._queue, []
        for data in queue:
            other.clock.run_soon(functools.partial(other.receive, data))

    def receive(self, data: bytes) -> None:
        if not self.closed:
            self.on_data(data)

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        other = self.other
        if other is not None and not self.network.is_cut(
            self.address, other.address
        ):
            network = self.network
            network.timers.after(
                LATENCY_S, lambda: other.clock.run_soon(other.end)
            )

    def end(self) -> None:
        """Ends because the other side has closed the connection."""
        if not self.closed:
            self.closed = True
            self.on_closed(runtime.StreamClosedError("closed by the peer"))


@attrs.define(eq=False)
class _Endpoint:
    """A listening node."""

    clock: NodeClock
    accept: Callable[[Pipe], object]

    def close(self) -> None:
        pass


class Network:
    """Stands in for the functions of `ferry_runtime` that open streams.

    Attributes:
        timers: The time of the whole run.
        cuts: Pairs of addresses; what the first sends the second is held up.
    """

    def __init__(self, timers: decisions.VirtualTimers) -> None:
        self.timers = timers
        self.cuts: dict[tuple[Address, Address], int] = {}
        self._endpoints: dict[Address, _Endpoint] = {}
        self._addresses: dict[NodeClock, Address] = {}
        self._pipes: list[Pipe] = []

    def Listener(self, loop, host, port, accept):  # noqa: N802
        """Listens at an address, in place of an earlier process there."""
        endpoint = _Endpoint(loop, accept)
        self._endpoints[(host, port)] = endpoint
        self._addresses[loop] = (host, port)
        return endpoint

    def connect(self, loop, host, port):
        """Opens a connection; it stays unanswered behind a cut."""
        near = Pipe(self, loop)
        near.address = self._addresses[loop]
        self.timers.after(LATENCY_S, lambda: self._open(near, (host, port)))
        return near

    def _open(self, near: Pipe, address: Address) -> None:
        endpoint = self._endpoints.get(address)
        is_cut = self.is_cut(near.address, address)
        if near.closed or endpoint is None or is_cut:
            return
        if endpoint.clock.is_stopped:
            near.clock.run_soon(near.end)
            return
        far = Pipe(self, endpoint.clock)
        far.address, far.other, near.other = address, near, far
        near.is_opening = far.is_opening = False
        self._pipes += [near, far]
        self._pipes = [p for p in self._pipes if not p.closed]
        endpoint.clock.run_soon(lambda: endpoint.accept(far))
        near.flush()

    def is_cut(self, source: Address, target: Address) -> bool:
        return self.cuts.get((source, target), 0) > 0

    def cut(self, source: Address, target: Address, seconds: float) -> None:
        """Holds up what one node sends another for a time."""
        way = source, target
        self.cuts[way] = self.cuts.get(way, 0) + 1
        self.timers.after(seconds, lambda: self._heal(way))

    def _heal(self, way: tuple[Address, Address]) -> None:
        self.cuts[way] -= 1
        for pipe in self._pipes:
            other = pipe.other
            if other is not None and (pipe.address, other.address) == way:
                pipe.flush()

    def end_all(self, clock: NodeClock) -> None:
        """Closes the connections of a process that was killed."""
        for pipe in self._pipes:
            if pipe.clock is clock:
                pipe.close()
