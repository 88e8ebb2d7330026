"""The nodes that watch a database together, and what they think."""

from collections.abc import Callable
import typing

import ferry_decisions as decisions

from ferry_node import _board
from ferry_node import _messages

if typing.TYPE_CHECKING:
    from ferry_node import _node

OPINION_TIMEOUT_S = 0.3


class Observers:
    """The nodes that serve members of the same databases."""

    def __init__(self, node: "_node.Node") -> None:
        self._node = node

    def _observers(self, database: decisions.Database) -> list[decisions.Node]:
        """Returns the nodes that serve a database's members, once each."""
        nodes = self._node.board.read(_board.NODES)
        found: dict[str, decisions.Node] = {}
        for member in database.members:
            node = decisions.serving_node(database, member, nodes)
            if node is not None:
                found.setdefault(node.name, node)
        return list(found.values())

    def rank(self, database: decisions.Database) -> int:
        """Returns this node's turn; the primary's own node comes last."""
        record = self._node.board.read(_board.RECORDS).get(database.name)
        served = self._node.board.read(_board.SERVED)
        primary = record.primary if record else ""
        if (database.name, primary) in served:
            return len(database.members) - 1
        ordered = decisions.ranked(database.name, self._observers(database))
        names = [n.name for n in ordered]
        return (
            names.index(self._node.cfg.node)
            if self._node.cfg.node in names
            else 0
        )

    def ask_opinions(
        self,
        database: decisions.Database,
        member: str,
        term: int,
        enough: Callable[[set[str]], bool],
    ) -> "decisions.Flow[set[str]]":
        """Gathers the data centres that find a primary gone."""
        request = _messages.OpinionRequest(database.name, member, term)
        futs = [
            decisions.with_timeout(
                self._node.loop,
                OPINION_TIMEOUT_S,
                self._node.peers.call(node, request),
            )
            for node in self._observers(database)
            if node.name != self._node.cfg.node
        ]
        settled = yield decisions.settle_all(
            futs, lambda done: enough(_votes(done))
        )
        return _votes(settled)


def _votes(
    settled: "list[decisions.Settled[_messages.OpinionReply]]",
) -> set[str]:
    votes: set[str] = set()
    for each in settled:
        if each.failure is None:
            votes.update(each.result.data_centres)
    return votes
