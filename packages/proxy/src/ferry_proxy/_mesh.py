"""The mesh of nodes, in which each node keeps streams to a few others.

Nodes are ordered on a ring by name. Each connects to those 1, 2, 4, ... places
ahead of it, and to the nodes that serve what it needs. This connects each of
seven nodes to all others, and gives each of 410 nodes 18 streams on the ring.
"""

import collections
from collections.abc import Collection
import typing

import ferry_decisions as decisions
import ferry_runtime as runtime

from ferry_proxy import _peers
from ferry_proxy import _records
from ferry_proxy.placement import _data_centres

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
        self._heard_at: dict[tuple[str, int], float] = {}
        self._refused_at: dict[tuple[str, int], float] = {}
        self._nodes: dict[str, _records.NodeEntry] = {}
        self._data_centres: dict[tuple[str, int], str] = {}
        self._sizes: collections.Counter[str] = collections.Counter()
        self._silences = _data_centres.Silences()
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
        heard = sum(self._is_heard(a, limit_s) for a in self._wanted)
        return heard / len(self._wanted)

    def contact(self, limit_s: float) -> _data_centres.FleetContact:
        """Returns the contact with all data centres that have streams.

        Args:
            limit_s: The greatest silence of a peer in contact, in seconds.
        """
        own = self._own_entry.data_centre
        self._note_silences()
        peers: collections.Counter[str] = collections.Counter()
        heard: collections.Counter[str] = collections.Counter()
        refused: collections.Counter[str] = collections.Counter()
        for address in self._wanted:
            name = self._data_centres.get(address, own)
            peers[name] += 1
            heard[name] += self._is_heard(address, limit_s)
            refused[name] += self._is_refused(address, limit_s)
        silences = {**self._silences.at(self._loop.now()), own: 0.0}
        contacts = {
            name: _data_centres.Contact(
                nodes=max(self._sizes[name], peers[name] + (name == own)),
                peers=peers[name],
                heard=heard[name],
                refused=refused[name],
                silence_s=silence_s,
            )
            for name, silence_s in silences.items()
        }
        return _data_centres.FleetContact(
            own=contacts.pop(own), others=tuple(contacts.values())
        )

    def _is_heard(self, address: tuple[str, int], limit_s: float) -> bool:
        """Whether data of a peer arrived recently, on the last stream too."""
        stream = self._outbound.get(address)
        if stream is not None and stream.peer:
            return stream.silence_s < limit_s
        heard_at = self._heard_at.get(address, float("-inf"))
        return self._loop.now() - heard_at < limit_s

    def _is_refused(self, address: tuple[str, int], limit_s: float) -> bool:
        """Whether a peer's address refused a connection recently."""
        refused_at = self._refused_at.get(address, float("-inf"))
        return self._loop.now() - refused_at < limit_s

    def _note_silences(self) -> None:
        """Records when each data centre was last heard."""
        now = self._loop.now()
        in_use = {
            self._data_centres[a]
            for a in self._wanted
            if a in self._data_centres
        }
        for name, stream in self.by_name.items():
            if name in self._nodes:
                data_centre = self._nodes[name].data_centre
                in_use.add(data_centre)
                self._silences.note(data_centre, now - stream.silence_s)
        self._silences.retain(in_use, now)

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
        self._nodes = {n.name: n for n in nodes}
        self._data_centres = {addresses[n.name]: n.data_centre for n in nodes}
        self._sizes = collections.Counter(n.data_centre for n in nodes)
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
        ping = self._handler.describe()
        for stream in self.streams:
            stream.tick(ping)

    def close(self) -> None:
        """Closes all streams."""
        if self._listener is not None:
            self._listener.close()
        for stream in [*self._inbound, *self._outbound.values()]:
            stream.close()

    def _tick(self) -> None:
        self._note_silences()
        self._inbound = [s for s in self._inbound if not s.closed]
        ping = self._handler.describe()
        for stream in [*self._inbound, *self._outbound.values()]:
            stream.tick(ping)
        self._dial()

    def _ping_waiting_peers(self) -> None:
        """Pings the peers that wait for a reply from this node."""
        waiting_peers = [s for s in self.streams if s.has_pending_replies]
        if waiting_peers:
            ping = self._handler.describe()
            for stream in waiting_peers:
                stream.tick(ping)

    def _dial(self) -> None:
        for address in list(self._outbound.keys() - self._wanted):
            if not self._outbound[address].is_used:
                self._outbound.pop(address).close()
        now = self._loop.now()
        self._heard_at = self._only_wanted(self._heard_at)
        self._refused_at = self._only_wanted(self._refused_at)
        for address in self._wanted:
            stream = self._outbound.get(address)
            if stream is not None and stream.closed:
                self._note_ended(address, stream)
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

    def _only_wanted(
        self, times: dict[tuple[str, int], float]
    ) -> dict[tuple[str, int], float]:
        return {a: at for a, at in times.items() if a in self._wanted}

    def _note_ended(
        self, address: tuple[str, int], stream: _peers.PeerStream
    ) -> None:
        """Records when the peer of an ended stream was last heard."""
        self._refused_at[address] = stream.refused_at
        if stream.peer:
            self._heard_at[address] = self._loop.now() - stream.silence_s

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
