"""Membership of a node, from the platform's VM list and from probes.

The result goes to the node's blackboard. Store readers fetch the list and
pass it on to the other nodes of their data centre.
"""

import random

from absl import logging
import ferry_decisions as decisions
import ferry_runtime as runtime

from ferry_node import _board
from ferry_node import _messages
from ferry_node import _peers
from ferry_node import _probes
from ferry_node import _settings
from ferry_node import _vms

# An unchanged list is pushed again after this time.
PUSH_INTERVAL_S = 30.0
# A node that is not a store reader fetches the list itself when no reader has
# pushed it for this long.
MAX_PUSH_SILENCE_S = 75.0


class MembershipService:
    """Maintains the blackboard's entries for nodes in use and leaving VMs.

    Attributes:
        list_reachable: Whether the last fetch of the VM list succeeded.
        node: This node, as other nodes reach it.
    """

    def __init__(
        self,
        loop: runtime.EventLoop,
        cfg: _settings.Settings,
        board: decisions.Blackboard,
        list_source: _vms.VmListSource,
        peers: _peers.Peers,
    ) -> None:
        self._loop = loop
        self._peers = peers
        self._push_received_at = float("-inf")
        self._pushed: object = None
        self._pushed_at = float("-inf")
        self._board = board
        self._list_source = list_source
        self._fetching = False
        self.list_reachable = False
        self._socket = _probes.ProbeSocket(
            loop, cfg.host, cfg.probe_port, self._receive
        )
        self.node = decisions.Node(
            cfg.node, cfg.data_centre, cfg.host, peers.port, self._socket.port
        )
        self._view = decisions.Membership(
            loop,
            self._socket,
            self.node,
            decisions.MembershipSettings(),
            random.Random(),
            self._update_nodes,
        )
        loop.on_process_pause(self._view.note_process_pause)
        self._update_nodes()
        self._timer = decisions.PeriodicTimer(
            loop, cfg.policy.leaving_s, self._fetch, first=0.0
        )

    @property
    def probe_port(self) -> int:
        """The UDP port on which this node receives probes."""
        return self._socket.port

    @property
    def bytes_sent(self) -> int:
        """The number of bytes of probes sent since the start."""
        return self._socket.bytes_sent

    def note_refused(self, name: str) -> None:
        """Notes that the VM of a node refused a connection."""
        self._view.note_refused(name)

    def leave(self) -> None:
        """Announces to the other nodes that this node leaves."""
        self._view.leave()

    def close(self) -> None:
        """Stops probing and fetching the list."""
        self._timer.stop()
        self._view.close()
        self._socket.close()
        self._list_source.close()

    def _receive(self, message: decisions.ProbeMessage) -> None:
        self._view.receive(message)

    def _update_nodes(self) -> None:
        """Writes the nodes in use to the blackboard: alive and not leaving."""
        leaving = self._board.read(_board.LEAVING)
        alive = self._view.alive()
        staying = tuple(n for n in alive if n.name not in leaving)
        self._board.write(_board.NODES, staying)

    def apply_push(self, push: _messages.VmsPush) -> None:
        """Applies the list that a store reader pushed.

        Raises:
            MalformedProbeError: An entry has the wrong shape.
        """
        self._push_received_at = self._loop.now()
        nodes = [_probes.unpack_node(raw) for raw in push.nodes]
        self._apply(nodes, frozenset(push.leaving))

    def _fetch(self) -> None:
        """Fetches the list if this node reads the store or pushes ceased."""
        now = self._loop.now()
        is_reader = self._board.read(_board.STORE_READER)
        pushes_ceased = now - self._push_received_at > MAX_PUSH_SILENCE_S
        if self._fetching or not (is_reader or pushes_ceased):
            return
        self._fetching = True
        self._list_source.fetch().add_done_callback(self._fetch_done)

    def _fetch_done(self, fut: "decisions.Future[_vms.VmList]") -> None:
        self._fetching = False
        exc = fut.exception()
        self.list_reachable = exc is None
        if exc is not None:
            logging.debug("event=vm_list_unavailable detail=%s", exc)
            return
        vms = fut.result().vms
        entries = [v for v in vms if v.kind == _vms.ENTRY]
        nodes = [v.as_node() for v in entries if v.state != _vms.LEAVING]
        leaving = frozenset(
            v.name if v.kind == _vms.ENTRY else f"{v.host}:{v.port}"
            for v in vms
            if v.state == _vms.LEAVING
        )
        self._apply(nodes, leaving)
        self._push(nodes, leaving)

    def _apply(
        self, nodes: list[decisions.Node], leaving: frozenset[str]
    ) -> None:
        self._board.write(_board.LEAVING, leaving)
        self._view.note_listed(nodes)
        self._update_nodes()

    def _push(
        self, nodes: list[decisions.Node], leaving: frozenset[str]
    ) -> None:
        """Pushes the list within the own data centre if it is new or due."""
        now = self._loop.now()
        content = (tuple(nodes), leaving)
        if content == self._pushed and now - self._pushed_at < PUSH_INTERVAL_S:
            return
        if not self._board.read(_board.STORE_READER):
            return
        self._pushed, self._pushed_at = content, now
        push = _messages.VmsPush(
            [_probes.pack_node(n) for n in nodes], sorted(leaving)
        )
        for node in self._view.alive():
            is_self = node.name == self.node.name
            if not is_self and node.data_centre == self.node.data_centre:
                self._peers.tell(node, push)
