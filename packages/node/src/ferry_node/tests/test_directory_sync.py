"""Whether directories count as current by what they were compared with."""

import typing

import ferry_decisions as decisions
import pytest

from ferry_node import _board
from ferry_node import _directory_sync
from ferry_node import _settings

NAMES = ("n1", "n2", "n3")
LONG_S = 60.0


class Store:
    """A store without entries.

    Attributes:
        is_down: Whether reads fail.
        era: How often it has been restored.
    """

    def __init__(self):
        self.is_down = False
        self.era = 0

    def list(self, prefix):
        if self.is_down:
            return decisions.failed(ConnectionError("down"))
        return decisions.completed([])

    def watch(self, prefix, on_change, on_restored):
        return self

    def cancel(self):
        pass


class Lab:
    """Three nodes; the first reads the store and may be out of reach."""

    def __init__(self, era=0):
        self.timers = decisions.VirtualTimers()
        self.store = Store()
        self.store.era = era
        self.is_reader_cut_off = False
        self.syncs = {}
        nodes = tuple(decisions.Node(n, "hall-a", "h", 1, 2) for n in NAMES)
        for node in nodes:
            board = decisions.Blackboard()
            board.write(_board.STORE_READER, node.name == "n1")
            board.write(_board.NODES, nodes)
            cfg = _settings.Settings(
                node=node.name, data_centre="hall-a", host="127.0.0.1",
                store_url="", vm_list_url="",
            )  # fmt: skip
            store: typing.Any = self.store
            calls: typing.Any = Calls(self, node.name)
            self.syncs[node.name] = _directory_sync.DirectorySync(
                self.timers, cfg, board, decisions.Directory(), store, calls
            )
        self.timers.advance(20.0)

    def current(self):
        return [n for n, sync in self.syncs.items() if sync.is_current]


class Calls:
    """One node's calls of the others."""

    def __init__(self, lab, caller):
        self._lab = lab
        self._caller = caller

    def call(self, node, message, on_part=None):
        if self._lab.is_reader_cut_off and "n1" in (self._caller, node.name):
            return decisions.failed(ConnectionError("cut off"))
        return decisions.completed(self._lab.syncs[node.name].answer(message))

    def tell(self, node, message):
        pass


@pytest.mark.parametrize("era", [0, 1])
def test_nodes_that_reach_a_reader_are_current(era):
    lab = Lab(era)
    for _ in range(100):
        lab.timers.advance(0.6)
        assert lab.current() == list(NAMES)


def test_nodes_cut_off_from_the_store_do_not_confirm_one_another():
    lab = Lab()
    lab.is_reader_cut_off = True
    lab.timers.advance(LONG_S)
    assert lab.current() == ["n1"]


def test_no_node_is_current_long_after_the_store_went_away():
    lab = Lab()
    lab.store.is_down = True
    lab.timers.advance(LONG_S)
    assert lab.current() == []


def test_after_a_restore_the_store_alone_confirms_no_directory():
    lab = Lab(era=1)
    lab.is_reader_cut_off = True
    lab.timers.advance(LONG_S)
    assert "n1" not in lab.current()
