"""Membership of a node: the platform's list, probes, and the blackboard."""

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

REFRESH_S = 30.0
OTHERS_SILENT_S = 75.0


class MembershipService:
    """Keeps the blackboard's live nodes and leaving VMs."""

    def __init__(
        self,
        loop: runtime.EventLoop,
        cfg: _settings.Settings,
        board: decisions.Blackboard,
        lists: _vms.VmLists,
        peers: _peers.Peers,
    ) -> None:
        self._timers = loop
        self._peers = peers
        self._heard_at = float("-inf")
        self._pushed: object = None
        self._pushed_at = float("-inf")
        self._board = board
        self._lists = lists
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
            self._changed,
        )
        loop.on_process_pause(self._view.note_process_pause)
        self._changed()
        self._timer = decisions.PeriodicTimer(
            loop, cfg.policy.leaving_s, self._fetch, first=0.0
        )

    @property
    def probe_port(self) -> int:
        """The UDP port of this node's probes."""
        return self._socket.port

    @property
    def bytes_sent(self) -> int:
        """Bytes of probes sent so far."""
        return self._socket.bytes_sent

    def note_refused(self, name: str) -> None:
        """Takes in that a node's machine refused a connection."""
        self._view.note_refused(name)

    def leave(self) -> None:
        """Tells the others that this node leaves."""
        self._view.leave()

    def close(self) -> None:
        """Stops probing and reading the list."""
        self._timer.stop()
        self._view.close()
        self._socket.close()
        self._lists.close()

    def _receive(self, message: decisions.ProbeMessage) -> None:
        self._view.receive(message)

    def _changed(self) -> None:
        """Shows the nodes in use: alive, and not leaving."""
        leaving = self._board.read(_board.LEAVING)
        alive = self._view.alive()
        staying = tuple(n for n in alive if n.name not in leaving)
        self._board.write(_board.NODES, staying)

    def take(self, push: _messages.VmsPush) -> None:
        """Takes the list in from a node that reads it.

        Raises:
            MalformedProbeError: An entry has another form.
        """
        self._heard_at = self._timers.now()
        nodes = [_probes.unpack_node(raw) for raw in push.nodes]
        self._apply(nodes, frozenset(push.leaving))

    def _fetch(self) -> None:
        """Reads the list where it is this node's part, or nobody else did."""
        now = self._timers.now()
        is_reader = self._board.read(_board.STORE_READER)
        silent = now - self._heard_at > OTHERS_SILENT_S
        if self._fetching or not (is_reader or silent):
            return
        self._fetching = True
        self._lists.fetch().add_done_callback(self._fetched)

    def _fetched(self, fut: "decisions.Future[_vms.VmList]") -> None:
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
        self._changed()

    def _push(
        self, nodes: list[decisions.Node], leaving: frozenset[str]
    ) -> None:
        """Passes the list on in the own data centre, if it is new or due."""
        now = self._timers.now()
        shown = (tuple(nodes), leaving)
        if shown == self._pushed and now - self._pushed_at < REFRESH_S:
            return
        if not self._board.read(_board.STORE_READER):
            return
        self._pushed, self._pushed_at = shown, now
        push = _messages.VmsPush(
            [_probes.pack_node(n) for n in nodes], sorted(leaving)
        )
        for node in self._view.alive():
            own = node.name == self.node.name
            if not own and node.data_centre == self.node.data_centre:
                self._peers.tell(node, push)
