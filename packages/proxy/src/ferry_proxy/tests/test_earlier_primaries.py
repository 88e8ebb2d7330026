"""Primaries of an earlier term that go on after a later one has left."""

from ferry_proxy import _members
from ferry_proxy.tests import fakes

RECOVERY_S = 15.0


def test_an_earlier_primary_does_not_block_a_group_for_good():
    """The other replica follows the term whose primary has just left."""
    lab = fakes.Lab()
    lab.add_promoter()
    lab.run(0.5)
    members = lab.cluster.members
    members["c"].term = members["b"].term = 2
    members["b"].role = _members.Role.PRIMARY
    lab.run(0.5)
    lab.cluster.crash("b")
    listed = lab.cluster.entries()
    del listed["b"]
    lab.group.set_members(listed, lab.limit)
    lab.run(RECOVERY_S)
    write = fakes.statement("WRITE x 1", "after")
    assert lab.do(lab.session(), write).reason is None
