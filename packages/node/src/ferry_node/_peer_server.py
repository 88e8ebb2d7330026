"""Answers to what other nodes ask."""

import typing

import ferry_decisions as decisions

from ferry_node import _codec
from ferry_node import _messages
from ferry_node import _peers

if typing.TYPE_CHECKING:
    from ferry_node import _node


class PeerServer:
    """Serves the requests of other nodes."""

    def __init__(self, node: "_node.Node") -> None:
        self._node = node
        self._channels: dict[_peers.PeerStream, set[int]] = {}

    def serve(
        self, stream: _peers.PeerStream, envelope: _codec.Envelope
    ) -> None:
        """Answers what other nodes ask."""
        correlation = envelope.correlation
        match envelope.message:
            case _messages.ExecuteRequest() as req:
                self._serve_execute(stream, correlation, req)
            case _messages.CloseChannel() as msg:
                self._node.controller.drop_channel(msg.channel)
            case _messages.CancelBatch() as msg:
                self._node.controller.cancel(msg.cancel_key)
            case _messages.CancelCaller() as msg:
                self._node.cancel_own_caller(msg.process_id, msg.secret)
            case _messages.OpinionRequest() as msg:
                stream.answer(correlation, self._opinion(msg))
            case _messages.SyncRequest() as msg:
                stream.answer(
                    correlation, self._node.directory_sync.answer(msg)
                )
            case _messages.EntriesPush() as msg:
                self._node.directory_sync.take(
                    _codec.unpack_entries(msg.entries)
                )
            case _messages.VmsPush() as msg:
                self._node.membership.take(msg)
            case _messages.PositionRequest() as msg:
                self._node.position(msg).add_done_callback(
                    lambda f: stream.answer(correlation, f.result())
                )

    def _opinion(self, msg: _messages.OpinionRequest) -> _messages.OpinionReply:
        watch = self._node.controller.watches.get(msg.database)
        votes = watch.opinion(msg.member, msg.term) if watch else set()
        return _messages.OpinionReply(bool(votes), sorted(votes))

    def _serve_execute(
        self,
        stream: _peers.PeerStream,
        correlation: int,
        req: _messages.ExecuteRequest,
    ) -> None:
        def on_part(data: bytes) -> None:
            stream.answer(correlation, _messages.AnswerPart(data))

        def reply(fut: "decisions.Future[_messages.ExecuteReply]") -> None:
            result = fut.result()
            channels = self._channels.setdefault(stream, set())
            channels.discard(req.channel)
            if result.channel and stream.closed:
                self._node.controller.drop_channel(result.channel)
                return
            if result.channel:
                channels.add(result.channel)
            stream.answer(correlation, result)

        self._node.execute(req, on_part).add_done_callback(reply)

    def closed(self, stream: _peers.PeerStream) -> None:
        """Rolls back the transactions of a node that is gone."""
        if stream.refused:
            self._node.membership.note_refused(stream.node)
        for number in self._channels.pop(stream, set()):
            self._node.controller.drop_channel(number)
