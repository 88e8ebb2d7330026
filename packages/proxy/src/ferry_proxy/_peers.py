"""The mesh of nodes: each keeps streams to a few others.

Nodes stand on a ring by name, and each connects to those 1, 2, 4, ... places
on. Seven nodes are all connected so, and each of 410 keeps 18 streams.
"""

from collections.abc import Callable
from collections.abc import Sequence
import itertools
import typing

from absl import logging
import ferry_decisions as decisions
import ferry_runtime as runtime

from ferry_proxy import _catalogue
from ferry_proxy import _peer_messages

PING_S = 0.5
SILENT_S = 1.6  # Three pings: the stream is taken for dead.
RECONNECT_S = 0.5
USER_TIMEOUT_MS = 1_500


class PeerLostError(Exception):
    """The stream ended before the answer."""


Handler = Callable[[_peer_messages.Message], "_peer_messages.Message | None"]


class Peer(typing.Protocol):
    """What questions to another node need of a stream to it."""

    peer: str

    def call(
        self, body: _peer_messages.Message
    ) -> "decisions.Future[_peer_messages.Message]":
        """Sends a question; fails with `PeerLostError` without an answer."""

    def tell(self, body: _peer_messages.Message) -> None:
        """Sends a message that has no answer."""


class Peers(typing.Protocol):
    """The other nodes that are connected."""

    @property
    def streams(self) -> Sequence[Peer]:
        """One stream for each."""


class PeerStream:
    """One stream to another node."""

    def __init__(
        self,
        loop: runtime.EventLoop,
        stream: runtime.Stream,
        node: str,
        handler: Handler,
        newest: Callable[[], int],
    ) -> None:
        self._loop = loop
        self._newest = newest
        self._stream = stream
        self._handler = handler
        self._decoder = _peer_messages.Decoder()
        self._calls: dict[int, decisions.Future[_peer_messages.Message]] = {}
        self._numbers = itertools.count(1)
        self._heard = loop.now()
        self.peer = ""
        self.newest = 0
        stream.on_data = self._receive
        stream.on_closed = lambda exc: self._fail(str(exc))
        stream.keep_alive(USER_TIMEOUT_MS)
        self.tell(_peer_messages.Hello(node))

    @property
    def closed(self) -> bool:
        """Whether the stream has ended."""
        return self._stream.closed

    @property
    def silence_s(self) -> float:
        """Seconds since the peer was heard."""
        return self._loop.now() - self._heard

    def call(
        self, body: _peer_messages.Message
    ) -> "decisions.Future[_peer_messages.Message]":
        """Sends a question; fails with `PeerLostError` without an answer."""
        if self.closed:
            return decisions.failed(PeerLostError(self.peer))
        fut: decisions.Future[_peer_messages.Message] = decisions.Future()
        number = next(self._numbers)
        self._calls[number] = fut
        self._stream.send(_peer_messages.encode(number, body))
        return fut

    def tell(self, body: _peer_messages.Message) -> None:
        """Sends a message that has no answer."""
        self._stream.send(_peer_messages.encode(0, body))

    def tick(self) -> None:
        """Shows life, and ends a stream that shows none."""
        if self._loop.now() - self._heard > SILENT_S:
            self._fail("silent")
        elif not self.closed:
            self.tell(_peer_messages.Ping(self._newest()))

    def close(self) -> None:
        """Closes the stream."""
        self._fail("closed by this node")

    def _receive(self, data: bytes) -> None:
        self._heard = self._loop.now()
        try:
            for envelope in self._decoder.feed(data):
                self._take(envelope)
        except _peer_messages.PeerProtocolError as exc:
            logging.warning("peer %s sent no message: %s", self.peer, exc)
            self._fail(str(exc))

    def _take(self, envelope: _peer_messages.Envelope) -> None:
        body = envelope.body
        if isinstance(body, _peer_messages.Hello):
            self.peer = body.node
        elif isinstance(body, _peer_messages.Ping):
            self.newest = body.newest
        elif envelope.number < 0:
            fut = self._calls.pop(-envelope.number, None)
            if fut is not None:
                decisions.resolve(fut, body)
        else:
            answer = self._handler(body)
            if answer is not None and envelope.number:
                data = _peer_messages.encode(-envelope.number, answer)
                self._stream.send(data)

    def _fail(self, detail: str) -> None:
        self._stream.close()
        calls, self._calls = self._calls, {}
        for fut in calls.values():
            decisions.reject(fut, PeerLostError(f"{self.peer}: {detail}"))


class Mesh:
    """The streams of one node."""

    def __init__(
        self,
        loop: runtime.EventLoop,
        own: _catalogue.NodeEntry,
        handler: Handler,
        newest: Callable[[], int],
    ) -> None:
        """Begins to listen.

        Args:
            loop: The event loop.
            own: This node.
            handler: Answers the peers' questions.
            newest: Returns the highest revision that this node knows.
        """
        self._loop = loop
        self._newest = newest
        self._own = own
        self._handler = handler
        self._out: dict[tuple[str, int], PeerStream] = {}
        self._in: list[PeerStream] = []
        self._wanted: set[tuple[str, int]] = set()
        self._dialled: dict[tuple[str, int], float] = {}
        self._listener = runtime.Listener(
            loop, own.host, own.port, self._accept
        )
        self._ticker = decisions.PeriodicTimer(loop, PING_S, self._tick)

    @property
    def streams(self) -> list[PeerStream]:
        """The open streams, one for each peer that has said who it is."""
        found = {s.peer: s for s in [*self._in, *self._out.values()]}
        return [s for n, s in found.items() if n and not s.closed]

    def reached_share(self, limit_s: float) -> float:
        """Returns the share of the wanted peers that were heard lately.

        Args:
            limit_s: What is lately, in seconds.
        """
        if not self._wanted:
            return 1.0
        heard = [
            s
            for a, s in self._out.items()
            if a in self._wanted and s.peer and not s.closed
        ]
        lately = sum(s.silence_s < limit_s for s in heard)
        return lately / len(self._wanted)

    @property
    def connected(self) -> set[str]:
        """The names of the peers that are connected."""
        return {s.peer for s in self.streams}

    def want(
        self, nodes: list[_catalogue.NodeEntry], seeds: list[tuple[str, int]]
    ) -> None:
        """Sets which nodes there are; connects to some of them."""
        names = sorted(n.name for n in nodes)
        by_name = {n.name: (n.host, n.port) for n in nodes}
        chosen = neighbours(self._own.name, names)
        wanted = {by_name[n] for n in chosen} or set(seeds)
        wanted.discard((self._own.host, self._own.port))
        self._wanted = wanted
        self._dial()

    def close(self) -> None:
        """Closes all streams."""
        self._ticker.stop()
        self._listener.close()
        for stream in [*self._in, *self._out.values()]:
            stream.close()

    def _tick(self) -> None:
        self._in = [s for s in self._in if not s.closed]
        for stream in [*self._in, *self._out.values()]:
            stream.tick()
        self._dial()

    def _dial(self) -> None:
        for address in list(self._out.keys() - self._wanted):
            self._out.pop(address).close()
        now = self._loop.now()
        for address in self._wanted:
            stream = self._out.get(address)
            if stream is not None and not stream.closed:
                continue
            if now - self._dialled.get(address, float("-inf")) < RECONNECT_S:
                continue
            self._dialled[address] = now
            raw = runtime.connect(self._loop, *address)
            self._out[address] = self._wrap(raw)

    def _accept(self, raw: runtime.Stream) -> None:
        self._in.append(self._wrap(raw))

    def _wrap(self, raw: runtime.Stream) -> PeerStream:
        return PeerStream(
            self._loop, raw, self._own.name, self._handler, self._newest
        )


def neighbours(own: str, names: list[str]) -> list[str]:
    """Returns the names that a node connects to.

    Args:
        own: The node's own name.
        names: All nodes' names, sorted; its own may be missing.
    """
    ring = sorted({*names, own})
    place = ring.index(own)
    found: list[str] = []
    step = 1
    while step < len(ring):
        found.append(ring[(place + step) % len(ring)])
        step *= 2
    return [n for n in dict.fromkeys(found) if n != own]
