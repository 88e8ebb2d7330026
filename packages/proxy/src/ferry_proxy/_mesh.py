"""The mesh of nodes: each keeps streams to a few others.

Nodes stand on a ring by name, and each connects to those 1, 2, 4, ... places
on, and to those whose service it needs. Seven nodes are all connected so, and
each of 410 keeps 18 streams on the ring.
"""

from collections.abc import Collection
import typing

import ferry_decisions as decisions
import ferry_runtime as runtime

from ferry_proxy import _peers
from ferry_proxy import _records

PING_S = 0.5
OWING_PING_S = 0.2  # To a peer that waits for an answer: it takes this node for
# gone after 0.3 s. Fleets of 8 nodes have so much traffic a stream that it
# shows life; with 195 nodes a stream carries two statements a second.
RECONNECT_S = 0.2  # A node that starts refuses at once; asking costs little.
OPEN_S = 0.4  # Many network trips. The first packet to a VM without power is
# lost, and the kernel sends the next one a second later.


class Connectivity(typing.Protocol):
    """What a node knows of which others it reaches."""

    @property
    def connected(self) -> Collection[str]:
        """The names of the peers that are connected."""

    def reached_share(self, limit_s: float) -> float:
        """Returns the share of the wanted peers that were heard lately."""


class Mesh:
    """The streams of one node."""

    def __init__(
        self,
        loop: runtime.EventLoop,
        own: _records.NodeEntry,
    ) -> None:
        """Makes a mesh without streams; `open` begins to listen.

        Args:
            loop: The event loop.
            own: This node.
        """
        self._loop = loop
        self._own = own
        self._desk: _peers.MessageHandler = _peers.NullMessageHandler()
        self._out: dict[tuple[str, int], _peers.PeerStream] = {}
        self._in: list[_peers.PeerStream] = []
        self._ring: set[tuple[str, int]] = set()
        self._wanted: set[tuple[str, int]] = set()
        self._by_name: dict[str, _peers.PeerStream] | None = None
        self._dialled: dict[tuple[str, int], float] = {}
        self._listener: runtime.Listener | None = None

    def open(
        self, desk: _peers.MessageHandler, ticker: decisions.Ticker
    ) -> None:
        """Begins to listen.

        Args:
            desk: Answers the peers' questions.
            ticker: Tells when to show the peers life.
        """
        self._desk = desk
        self._listener = runtime.Listener(
            self._loop, self._own.host, self._own.port, self._accept
        )
        ticker.subscribe(PING_S, self._tick)
        ticker.subscribe(OWING_PING_S, self._show_life)

    @property
    def streams(self) -> list[_peers.PeerStream]:
        """The open streams, one for each peer that has said who it is."""
        return list(self.by_name.values())

    @property
    def by_name(self) -> dict[str, _peers.PeerStream]:
        """The open streams by the names of the peers.

        Kept until a stream is named or ends, which each tells: each statement
        that is passed on asks for it, and a serving node has 70 streams and
        more.
        """
        if self._by_name is None:
            found = [*self._in, *self._out.values()]
            self._by_name = {
                s.peer: s for s in found if s.peer and not s.closed
            }
        return self._by_name

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

    def set_nodes(
        self,
        nodes: Collection[_records.NodeEntry],
        seeds: Collection[tuple[str, int]],
    ) -> None:
        """Sets which nodes there are; `want` connects to some of them.

        Args:
            nodes: All nodes.
            seeds: Where to connect to while no other node is known.
        """
        names = sorted(n.name for n in nodes)
        addresses = {n.name: (n.host, n.port) for n in nodes}
        chosen = neighbours(self._own.name, names)
        self._ring = {addresses[n] for n in chosen} or set(seeds)

    def want(self, extra: Collection[_records.NodeEntry]) -> None:
        """Connects to the neighbours on the ring, and to others.

        Args:
            extra: Nodes that this one wants to speak to besides.
        """
        self._wanted = self._ring | {(n.host, n.port) for n in extra}
        self._wanted.discard((self._own.host, self._own.port))
        self._dial()

    def announce(self) -> None:
        """Tells all peers at once what they should know of this node."""
        pulse = _peers.EncodedPing.of(self._desk.describe())
        for stream in self.streams:
            stream.tick(pulse)

    def close(self) -> None:
        """Closes all streams."""
        if self._listener is not None:
            self._listener.close()
        for stream in [*self._in, *self._out.values()]:
            stream.close()

    def _tick(self) -> None:
        self._in = [s for s in self._in if not s.closed]
        pulse = _peers.EncodedPing.of(self._desk.describe())
        for stream in [*self._in, *self._out.values()]:
            stream.tick(pulse)
        self._dial()

    def _show_life(self) -> None:
        """Tells those who wait for an answer that this node works on it."""
        owing = [s for s in self.streams if s.has_pending_replies]
        if owing:
            pulse = _peers.EncodedPing.of(self._desk.describe())
            for stream in owing:
                stream.tick(pulse)

    def _dial(self) -> None:
        for address in list(self._out.keys() - self._wanted):
            if not self._out[address].is_used:
                self._out.pop(address).close()
        now = self._loop.now()
        for address in self._wanted:
            stream = self._out.get(address)
            if stream is not None and not stream.closed:
                if not stream.is_opening or stream.silence_s < OPEN_S:
                    continue
                stream.close()
            if now - self._dialled.get(address, float("-inf")) < RECONNECT_S:
                continue
            self._dialled[address] = now
            raw = runtime.connect(self._loop, *address)
            self._out[address] = self._wrap(raw)

    def _accept(self, raw: runtime.Stream) -> None:
        self._in.append(self._wrap(raw))

    def _wrap(self, raw: runtime.Stream) -> _peers.PeerStream:
        return _peers.PeerStream(
            self._loop, raw, self._own.name, self._desk, self._forget_names
        )

    def _forget_names(self) -> None:
        self._by_name = None


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


def successor(own: str, names: Collection[str]) -> str:
    """Returns the next name on the ring; empty where there is no other.

    Args:
        own: The node's own name.
        names: All nodes' names; its own may be missing.
    """
    others = sorted(n for n in names if n != own)
    return next((n for n in others if n > own), others[0] if others else "")
