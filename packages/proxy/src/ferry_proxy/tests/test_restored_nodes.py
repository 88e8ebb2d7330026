"""Entries of nodes after the store was restored from an older backup.

The backup lacks nodes that registered in the last seconds. Guards against two
failures: such nodes were considered gone, so that other nodes took over their
groups with new links to the members and returned them once they had registered
again; and all of them wrote to the store at the same moment.
"""

from ferry_proxy import _records
from ferry_proxy.tests import test_followers

STEP_S = 0.05


def test_a_node_whose_entry_was_lost_is_kept_and_lists_itself_again():
    lab = test_followers.Lab()
    copy = lab.store.copy()
    node = test_followers.Node(lab, "n4")
    lab.clock.advance(2.0)
    assert "n4" in lab.reader.copy.nodes
    lab.store.restore(copy)
    for _ in range(160):
        lab.clock.advance(STEP_S)
        assert "n4" in lab.reader.copy.nodes
        assert "n4" in node.copy.nodes
    assert "ferry/nodes/n4" in lab.store.items


def test_a_node_that_does_not_list_itself_again_is_gone_after_a_while():
    lab = test_followers.Lab()
    copy = lab.store.copy()
    entry = _records.NodeEntry("n4", "h", 1, "hall-a")
    lab.store.put(_records.NODE_PREFIX + "n4", entry.encode())
    lab.settle()
    assert "n4" in lab.reader.copy.nodes
    lab.store.restore(copy)
    lab.clock.advance(lab.policy.watch_wait_s + lab.policy.return_grace_s + 1.0)
    assert "n4" not in lab.reader.copy.nodes


def test_a_fleet_that_was_lost_does_not_write_at_one_moment():
    lab = test_followers.StartLab()
    copy = lab.store.copy()
    copy.items.clear()
    lab.clock.advance(6.0)
    for node in lab.nodes:
        node.store.calls.clear()
    lab.store.restore(copy)
    written = 0
    for _ in range(100):
        lab.clock.advance(0.1)
        total = round(lab.calls("put_if") * lab.SIZE)
        assert total - written <= lab.SIZE / 3
        written = total
    assert written == lab.SIZE
    names = {n.own.name for n in lab.nodes}
    assert all(n.copy.nodes.keys() == names for n in lab.nodes)
