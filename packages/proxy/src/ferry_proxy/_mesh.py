"""The mesh of nodes, in which each node keeps streams to a few others.

Nodes are ordered on a ring by name. Each connects to those 1, 2, 4, ... places
ahead of it, and to the nodes that serve what it needs. This connects each of
seven nodes to all others, and gives each of 410 nodes 18 streams on the ring.
"""

from collections.abc import Collection
import typing

import ferry_decisions as decisions
import ferry_runtime as runtime

from ferry_proxy import _peers
from ferry_proxy import _records

PING_S = 0.5
# Peers that wait for a reply are pinged more often, as they take this node for
# lost after 0.3 s of silence. In a fleet of 8 nodes the traffic of a stream
# prevents that; with 195 nodes a stream carries two statements a second.
PENDING_REPLY_PING_S = 0.2
# A node that is starting refuses connections at once, and another attempt is
# cheap.
RECONNECT_S = 0.2
# This allows for many network round trips. The first packet to a VM without
# power is lost, and the kernel retransmits it only a second later.
CONNECT_TIMEOUT_S = 0.4


class Connectivity(typing.Protocol):
    """Which other nodes a node can reach."""

    @property
    def connected(self) -> Collection[str]:
        """The names of the connected peers."""

    def reached_share(self, limit_s: float) -> float:
        """Returns the share of the wanted peers that were heard recently.

        Args:
            limit_s: The greatest silence that counts as recent, in seconds.
        """


class Mesh:
    """The streams of one node to its peers."""

    def __init__(
        self,
        loop: runtime.EventLoop,
        own: _records.NodeEntry,
    ) -> None:
        """Creates a mesh without streams; `open` starts to listen.

        Args:
            loop: The event loop.
            own: This node's entry.
        """
        self._loop = loop
        self._own_entry = own
        self._handler: _peers.MessageHandler = _peers.NullMessageHandler()
        self._outbound: dict[tuple[str, int], _peers.PeerStream] = {}
        self._inbound: list[_peers.PeerStream] = []
        self._ring: set[tuple[str, int]] = set()
        self._wanted: set[tuple[str, int]] = set()
        self._by_name: dict[str, _peers.PeerStream] | None = None
        self._dialled_at: dict[tuple[str, int], float] = {}
        self._listener: runtime.Listener | None = None

    def open(
        self, handler: _peers.MessageHandler, ticker: decisions.Ticker
    ) -> None:
        """Starts to listen, and to ping the peers.

        Args:
            handler: Handles the peers' messages.
            ticker: Calls the periodic pings.
        """
        self._handler = handler
        self._listener = runtime.Listener(
            self._loop, self._own_entry.host, self._own_entry.port, self._accept
        )
        ticker.subscribe(PING_S, self._tick)
        ticker.subscribe(PENDING_REPLY_PING_S, self._ping_waiting_peers)

    @property
    def streams(self) -> list[_peers.PeerStream]:
        """One open stream for each peer whose name is known."""
        return list(self.by_name.values())

    @property
    def by_name(self) -> dict[str, _peers.PeerStream]:
        """The open streams, keyed by the peer's name.

        The mapping is cached, as every forwarded statement reads it and a
        serving node has 70 streams or more. A stream clears the cache when
        its peer's name arrives and when it ends.
        """
        if self._by_name is None:
            found = [*self._inbound, *self._outbound.values()]
            self._by_name = {
                s.peer: s for s in found if s.peer and not s.closed
            }
        return self._by_name

    def reached_share(self, limit_s: float) -> float:
        """Returns the share of the wanted peers that were heard recently.

        Args:
            limit_s: The greatest silence that counts as recent, in seconds.
        """
        if not self._wanted:
            return 1.0
        heard = [
            s
            for a, s in self._outbound.items()
            if a in self._wanted and s.peer and not s.closed
        ]
        heard_lately = sum(s.silence_s < limit_s for s in heard)
        return heard_lately / len(self._wanted)

    @property
    def connected(self) -> set[str]:
        """The names of the connected peers."""
        return {s.peer for s in self.streams}

    def set_nodes(
        self,
        nodes: Collection[_records.NodeEntry],
        seeds: Collection[tuple[str, int]],
    ) -> None:
        """Sets the nodes of the fleet; `want` connects to some of them.

        Args:
            nodes: All nodes.
            seeds: The addresses to connect to while no other node is known.
        """
        names = sorted(n.name for n in nodes)
        addresses = {n.name: (n.host, n.port) for n in nodes}
        chosen = neighbours(self._own_entry.name, names)
        self._ring = {addresses[n] for n in chosen} or set(seeds)

    def want(self, extra: Collection[_records.NodeEntry]) -> None:
        """Connects to the neighbours on the ring and to further nodes.

        Streams to other nodes are closed once nothing depends on them.

        Args:
            extra: The further nodes.
        """
        self._wanted = self._ring | {(n.host, n.port) for n in extra}
        self._wanted.discard((self._own_entry.host, self._own_entry.port))
        self._dial()

    def announce(self) -> None:
        """Pings all peers at once with this node's current state."""
        encoded = _peers.EncodedPing.of(self._handler.describe())
        for stream in self.streams:
            stream.tick(encoded)

    def close(self) -> None:
        """Closes all streams."""
        if self._listener is not None:
            self._listener.close()
        for stream in [*self._inbound, *self._outbound.values()]:
            stream.close()

    def _tick(self) -> None:
        self._inbound = [s for s in self._inbound if not s.closed]
        encoded = _peers.EncodedPing.of(self._handler.describe())
        for stream in [*self._inbound, *self._outbound.values()]:
            stream.tick(encoded)
        self._dial()

    def _ping_waiting_peers(self) -> None:
        """Pings the peers that wait for a reply from this node."""
        waiting_peers = [s for s in self.streams if s.has_pending_replies]
        if waiting_peers:
            encoded = _peers.EncodedPing.of(self._handler.describe())
            for stream in waiting_peers:
                stream.tick(encoded)

    def _dial(self) -> None:
        for address in list(self._outbound.keys() - self._wanted):
            if not self._outbound[address].is_used:
                self._outbound.pop(address).close()
        now = self._loop.now()
        for address in self._wanted:
            stream = self._outbound.get(address)
            if stream is not None and not stream.closed:
                if (
                    not stream.is_opening
                    or stream.silence_s < CONNECT_TIMEOUT_S
                ):
                    continue
                stream.close()
            if now - self._dialled_at.get(address, float("-inf")) < RECONNECT_S:
                continue
            self._dialled_at[address] = now
            raw = runtime.connect(self._loop, *address)
            self._outbound[address] = self._wrap(raw)

    def _accept(self, raw: runtime.Stream) -> None:
        self._inbound.append(self._wrap(raw))

    def _wrap(self, raw: runtime.Stream) -> _peers.PeerStream:
        return _peers.PeerStream(
            self._loop,
            raw,
            self._own_entry.name,
            self._handler,
            self._clear_name_cache,
        )

    def _clear_name_cache(self) -> None:
        self._by_name = None


def neighbours(own: str, names: list[str]) -> list[str]:
    """Returns the names of the nodes on the ring that a node connects to.

    Args:
        own: The node's name.
        names: The names of all nodes, sorted; `own` may be missing.
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
    """Returns the next name on the ring, or "" if there is no other node.

    Args:
        own: The node's name.
        names: The names of all nodes; `own` may be missing.
    """
    others = sorted(n for n in names if n != own)
    return next((n for n in others if n > own), others[0] if others else "")
