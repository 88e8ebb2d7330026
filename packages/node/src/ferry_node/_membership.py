"""Membership of a node: the platform's list, probes, and the blackboard."""

import random

from absl import logging
import ferry_decisions as decisions

from ferry_node import _board
from ferry_node import _loop
from ferry_node import _probes
from ferry_node import _settings
from ferry_node import _vms


class MembershipService:
    """Keeps the blackboard's live nodes and leaving VMs."""

    def __init__(
        self,
        loop: _loop.EventLoop,
        cfg: _settings.Settings,
        board: decisions.Blackboard,
        lists: _vms.VmLists,
        peer_port: int,
    ) -> None:
        self._board = board
        self._lists = lists
        self._fetching = False
        self.list_reachable = False
        self._socket = _probes.ProbeSocket(
            loop, cfg.host, cfg.probe_port, self._receive
        )
        self.node = decisions.Node(
            cfg.node, cfg.data_centre, cfg.host, peer_port, self._socket.port
        )
        self._view = decisions.Membership(
            loop,
            self._socket,
            self.node,
            decisions.MembershipSettings(),
            random.Random(),
            self._changed,
        )
        loop.on_late(self._view.note_lateness)
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
        self._board.write(_board.NODES, self._view.alive())

    def _fetch(self) -> None:
        if self._fetching:
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
        self._view.note_listed(
            [v.as_node() for v in entries if v.state != _vms.LEAVING]
        )
        leaving = [v for v in vms if v.state == _vms.LEAVING]
        names = {
            v.name if v.kind == _vms.ENTRY else f"{v.host}:{v.port}"
            for v in leaving
        }
        self._board.write(_board.LEAVING, frozenset(names))
