"""Replies to forwarded statements, with the load of the serving node."""

import types
import typing

import ferry_decisions as decisions
import pytest

from ferry_proxy import _forward_messages
from ferry_proxy import _peer_handler

REQUEST = _forward_messages.RunRequest(
    "r", "orders", "session", 1, 1.0, 0.4, 1.5, 0.0,
    "id", "read", "READ x", "x", "", False, None, {}, 0, -1,
)  # fmt: skip
REPLY = _forward_messages.RunReply(
    "idle", [], "", "", "", 0, -1, "a", False, 1, 0.0
)


class FakeGroups:
    """Serves one group, whose load is 7."""

    def __init__(self) -> None:
        self.demands = self
        self.noted: list[str] = []

    def note_statement(self, service: str) -> None:
        self.noted.append(service)

    def told_load(self, service: str) -> list[int]:
        return [7]


@pytest.mark.parametrize(("understands", "load"), [(True, [7]), (False, None)])
def test_a_load_is_told_to_entry_nodes_that_understand_it(understands, load):
    groups = FakeGroups()
    serving = types.SimpleNamespace(
        run=lambda *_: decisions.completed(REPLY), forget=lambda _: None
    )
    unused = typing.cast(typing.Any, None)
    handler = _peer_handler.PeerMessageHandler(
        unused,
        unused,
        unused,
        typing.cast(typing.Any, groups),
        typing.cast(typing.Any, serving),
        unused,
        unused,
    )
    stream = typing.cast(
        typing.Any, types.SimpleNamespace(understands_load=understands)
    )
    fut = handler.answer(stream, REQUEST)
    assert isinstance(fut, decisions.Future)
    assert fut.result().load == load
    assert groups.noted == ["orders"]
