"""Acknowledgements and reads on a view of the members that is out of date."""

import ferry_decisions as decisions
import pytest

from ferry_proxy import _configuration
from ferry_proxy import _members
from ferry_proxy.tests import fakes


def list_members(lab, *names):
    entries = lab.cluster.entries()
    lab.group.set_members({n: entries[n] for n in names}, lab.limit)


def fence_of_another_node(lab, *names, term=2):
    for name in names:
        lab.cluster.members[name].paused_term = term


def write(lab):
    return lab.do(lab.session(), fakes.statement("WRITE x 1"))


def group_of_two(**kwargs):
    """Returns a group of `a` and `b`; `c` is not listed."""
    lab = fakes.Lab(**kwargs)
    list_members(lab, "a", "b")
    lab.run(15.0)
    assert write(lab).reason is None
    return lab


def test_no_commit_is_acknowledged_by_a_removed_replica_alone():
    """Another node may have fenced the listed replica, and only that one."""
    lab = fakes.Lab()
    lab.run(0.5)
    list_members(lab, "a", "b")
    fence_of_another_node(lab, "b")
    assert write(lab).reason is decisions.NOT_CONFIRMED


def test_no_commit_in_a_group_of_two_is_acknowledged_by_a_new_replica_alone():
    lab = group_of_two()
    fence_of_another_node(lab, "b")
    list_members(lab, "a", "b", "c")
    assert write(lab).reason is decisions.NOT_CONFIRMED


@pytest.mark.parametrize("kind", list(_configuration.Consistency))
def test_no_read_in_a_group_of_two_relies_on_a_new_replica_alone(kind):
    lab = group_of_two(consistency=kind)
    fence_of_another_node(lab, "b")
    list_members(lab, "a", "b", "c")
    lab.cluster.members["b"].isolated = True
    lab.run(2.0)
    answer = lab.do(lab.session(), fakes.statement("READ x"))
    assert answer.reason is decisions.NO_PRIMARY


def test_a_group_of_two_that_grows_goes_on_serving():
    lab = group_of_two()
    list_members(lab, "a", "b", "c")
    assert write(lab).reason is None
    assert lab.do(lab.session(), fakes.statement("READ x")).reason is None


def test_a_primary_that_returns_into_a_later_term_is_not_followed():
    """Its successor has ended, and a replica of the later term is left."""
    lab = fakes.Lab()
    replica = lab.cluster.members["b"]
    replica.term = 2
    lab.cluster.members["c"].crashed = True
    lab.group.note_leader(_members.Leader("a", 1))
    lab.run(1.0)
    assert lab.group.leader is None


def test_no_commit_is_acknowledged_by_a_draining_replica_alone():
    """It may be off another node's list, whose fence leaves it out."""
    lab = fakes.Lab()
    lab.run(0.5)
    lab.cluster.members["b"].draining = True
    list_members(lab, "a", "b", "c")
    fence_of_another_node(lab, "c")
    assert write(lab).reason is decisions.NOT_CONFIRMED


def test_a_draining_replica_that_ends_leaves_reads_and_writes_provable():
    lab = fakes.Lab(_configuration.Consistency.PRIMARY)
    lab.run(0.5)
    lab.cluster.members["b"].draining = True
    list_members(lab, "a", "b", "c")
    lab.cluster.crash("b")
    lab.run(1.0)
    assert write(lab).reason is None
    assert lab.do(lab.session(), fakes.statement("READ x")).reason is None
