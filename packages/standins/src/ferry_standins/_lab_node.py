"""One node's real decisions on virtual members."""

from collections.abc import Callable
import itertools
import typing

import ferry_decisions as decisions
from ferry_node import _entry
from ferry_node import _messages
from ferry_node import _peers
from ferry_node import _serving
from ferry_node import _settings

from ferry_standins import _virtual
from ferry_standins import _virtual_conn
from ferry_standins import _virtual_store

if typing.TYPE_CHECKING:
    from ferry_standins import _lab

PEER_CHECK_TIMEOUT_S = 0.4


class LabNode:
    """One node's decisions."""

    def __init__(
        self, lab: "_lab.Lab", centre: str, node: decisions.Node
    ) -> None:
        self.node = node
        self.centre = centre
        self.timers = _virtual.PausableTimers(lab.timers)
        self.store = _virtual_store.VirtualStore(self.timers, lab.store)
        self.record: decisions.Record | None = None
        self._lab = lab
        self._ids = itertools.count(1)
        links = lab.links(centre)
        self.watch = decisions.DatabaseWatch(
            self._context(lab),
            lab.database,
            _virtual.VirtualDriver(links),
            None,
        )
        cfg = _settings.Settings(
            node=node.name,
            data_centre=centre,
            host="127.0.0.1",
            store_url="",
            vm_list_url="",
            policy=lab.plan.policy,
        )
        self.services: dict[str, _serving.MemberService] = {}
        for member in lab.database.members:
            owner = decisions.serving_node(lab.database, member, lab.nodes)
            if owner is not None and owner.name == node.name:
                self.services[member.name] = self._service(member, cfg, links)
        self.dispatcher = _entry.Dispatcher(
            _entry.EntryContext(
                timers=self.timers,
                cfg=cfg,
                peers=_LabPeers(lab, centre),
                nodes=lambda: lab.nodes,
                database=lambda _: lab.database,
                record=lambda _: self.record,
                leaving=lambda: frozenset(lab.leaving),
                execute=self.execute,
                drop=lambda _: None,
                cancel=lambda _: None,
                position=self.position,
            )
        )
        self.timers.on_process_pause(self.watch.note_process_pause)

    def take(self, record: decisions.Record) -> None:
        """Takes in a record."""
        if record.newer_than(self.record):
            self.record = record
            self.watch.note_record(record)
            for service in self.services.values():
                service.configure()
            self.dispatcher.note_record(record.database)

    def execute(
        self,
        req: _messages.ExecuteRequest,
        sink: Callable[[bytes], object] | None,
    ) -> "decisions.Future[_messages.ExecuteReply]":
        """Runs a request for a member that this node serves."""
        service = self.services.get(req.member)
        if service is None:
            name = decisions.NO_SERVING_NODE.name
            return decisions.completed(_messages.ExecuteReply(reason=name))
        return service.execute(req, sink)

    def position(
        self, req: _messages.PositionRequest
    ) -> "decisions.Future[_messages.PositionReply]":
        """Proves the primary's position."""
        service = self.services.get(req.member)
        return _serving.answer_position(service, req)

    def _service(
        self,
        member: decisions.Member,
        cfg: _settings.Settings,
        links: dict[str, _virtual.Link],
    ) -> _serving.MemberService:
        def connect(term: int, owner: str) -> typing.Any:
            return _virtual_conn.VirtualConn(links[member.name], term, owner)

        return _serving.MemberService(
            self.timers,
            self.watch,
            member,
            self._lab.contracts,
            cfg,
            connect,
            self._ids,
        )

    def _rank(self) -> int:
        """Returns this node's turn; the primary's own node comes last."""
        if self.record is not None and self.record.primary in self.services:
            return len(self._lab.plan.centres) - 1
        return self._lab.plan.centres.index(self.centre) % 2

    def _context(self, lab: "_lab.Lab") -> decisions.WatchContext:
        policy = lab.plan.policy
        return decisions.WatchContext(
            timers=self.timers,
            node=self.node.name,
            data_centre=self.centre,
            cfg=decisions.WatchSettings(
                probe_s=policy.probe_s,
                silence_s=policy.silence_s,
                refused_s=policy.refused_s,
            ),
            store=self.store,
            ask_opinions=lambda *a: lab.ask_opinions(self, *a),
            publish=lambda record: lab.publish(self, record),
            leaving=lambda: frozenset(lab.leaving),
            rank=lambda _: self._rank(),
            new_id=lambda: f"{self.node.name}-{next(self._ids)}",
        )


class _LabPeers:
    """Requests from one node to the others."""

    def __init__(self, lab: "_lab.Lab", centre: str) -> None:
        self._lab = lab
        self._centre = centre

    def call(
        self,
        node: decisions.Node,
        message: _messages.Message,
        on_part: Callable[[bytes], object] | None = None,
    ) -> "decisions.Future[typing.Any]":
        """Sends a request; fails with `PeerLostError`."""
        target = self._lab.nodes_by_name[node.name]

        def work() -> "decisions.Future[typing.Any]":
            if isinstance(message, _messages.PositionRequest):
                return target.position(message)
            return target.execute(message, on_part)

        return self._lab.call(self._centre, target, work)

    def check(self, node: decisions.Node) -> "decisions.Future[None]":
        """Shows life unless the way is cut, as a stream that was idle."""
        lab = self._lab
        target = lab.nodes_by_name[node.name]
        alive = lab.call(
            self._centre, target, lambda: decisions.completed(None)
        )
        out: decisions.Future[None] = decisions.Future()
        decisions.forward(alive, out)
        lost = _peers.PeerLostError("shows no life", was_sent=False)
        lab.timers.after(
            PEER_CHECK_TIMEOUT_S, lambda: decisions.reject(out, lost)
        )
        return out

    def tell(self, node: decisions.Node, message: _messages.Message) -> None:
        """Sends nothing: the lab has no one-way messages."""
