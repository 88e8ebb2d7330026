"""Configurations, and a store that comes back from an older copy.

Until the operator has written it again, the copy holds an older configuration
than the one in force. A node that started then knew the copy alone and refused
callers of routes that all other nodes served.
"""

import attrs
import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _configuration
from ferry_proxy import _records
from ferry_proxy.tests import fakes
from ferry_proxy.tests import test_followers


def decode(value: bytes) -> _configuration.Configuration:
    """Reads a version."""
    return _configuration.Configuration(int(value), {}, {}, 3.0, 1 << 20)


def changed_after_a_copy(lab: test_followers.Lab) -> fakes.StoreBackup:
    """Writes version 4, then 9; returns a copy of the store between them."""
    lab.store.put("config", b"4")
    lab.settle()
    copy = lab.store.copy()
    lab.store.put("config", b"9")
    lab.settle()
    return copy


class Lab(test_followers.Lab):
    """Nodes that have a configuration which the store has lost."""

    layout = _catalogue.Layout(
        "config", "members/", decode, test_followers._member
    )

    def __init__(self) -> None:
        super().__init__()
        copy = changed_after_a_copy(self)
        self.store.restore(copy)
        self.clock.advance(self.policy.watch_wait_s + 1.0)

    def add(self) -> test_followers.Node:
        """Starts a node that is connected to one that was there before."""
        node = test_followers.Node(self, "n9")
        peer = self.reader
        stream = test_followers.FakeStream(peer.own.name, peer.copy)
        node.streams.append(stream)
        return node


def version(node: test_followers.Node) -> int:
    assert node.copy.configuration is not None
    return node.copy.configuration.version


def test_what_is_in_force_stays_so():
    lab = Lab()
    assert lab.reader.copy.revision.era == 1
    assert (version(lab.reader), version(lab.other)) == (9, 9)


def test_a_node_that_starts_learns_of_it_from_peers_once():
    lab = Lab()
    node = lab.add()
    lab.clock.advance(0.3)
    assert version(node) == 9
    lab.clock.advance(20.0)
    assert node.streams[0].calls <= 2


def test_what_is_written_again_is_told_once():
    """The whole document may be hundreds of kilobytes."""
    lab = Lab()
    assert (
        lab.reader.copy.batch_after(decisions.UNREAD_REVISION).kept is not None
    )
    lab.store.put("config", b"9")
    lab.settle()
    assert lab.reader.copy.batch_after(decisions.UNREAD_REVISION).kept is None


def test_what_the_operator_writes_next_counts_everywhere():
    lab = Lab()
    node = lab.add()
    lab.clock.advance(0.3)
    lab.store.put("config", b"9")
    lab.store.put("config", b"11")
    lab.clock.advance(1.0)
    nodes = (lab.reader, lab.other, node)
    assert [version(n) for n in nodes] == [11, 11, 11]


class LateLab(test_followers.Lab):
    """A node reads the new era while its only peer cannot reach the store."""

    layout = Lab.layout

    def __init__(self) -> None:
        super().__init__()
        copy = changed_after_a_copy(self)
        self.reader.store.turned_away = True
        self.clock.advance(self.policy.watch_wait_s + 1.0)
        self.store.restore(copy)
        self.started = test_followers.Node(self, "n9")
        stream = test_followers.FakeStream(
            self.reader.own.name, self.reader.copy
        )
        self.started.streams.append(stream)


def test_a_peer_of_the_era_before_tells_what_is_in_force():
    lab = LateLab()
    lab.clock.advance(0.5)
    assert lab.started.copy.revision.era == 1
    assert lab.reader.copy.revision.era == 0
    assert version(lab.started) == 9


def test_a_peer_that_could_not_help_is_asked_again():
    lab = LateLab()
    lab.started.streams[0].withholds = True
    lab.clock.advance(0.5)
    assert version(lab.started) == 4
    lab.started.streams[0].withholds = False
    lab.reader.store.turned_away = False
    lab.clock.advance(2.0)
    assert version(lab.started) == 9


def test_a_node_that_started_without_the_store_waits_for_its_peers_word():
    lab = Lab()
    lab.store.down = True
    node = test_followers.Node(lab, "n9")
    lab.clock.advance(5.0)
    lab.store.down = False
    lab.clock.advance(0.7)
    assert version(node) == 4
    assert node.registrar.awaits_peers


def test_a_version_that_can_not_be_read_is_not_asked_for_without_end():
    lab = Lab()
    lab.layout = attrs.evolve(Lab.layout, decode_configuration=_unreadable)
    node = lab.add()
    lab.clock.advance(20.0)
    assert node.copy.configuration is None
    assert node.streams[0].calls <= MOST_ASKED


MOST_ASKED = 12  # In 20 s: a whole document may travel each time.


def _unreadable(_: bytes) -> _configuration.Configuration:
    raise _records.InvalidItemError("not understood")
