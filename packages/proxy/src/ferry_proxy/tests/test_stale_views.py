"""Acknowledgements and reads on a view of the members that is out of date."""

import ferry_decisions as decisions

from ferry_proxy.tests import fakes


def list_members(lab, *names):
    entries = lab.cluster.entries()
    lab.group.set_members({n: entries[n] for n in names}, lab.limit)


def fence_of_another_node(lab, *names):
    for name in names:
        lab.cluster.members[name].paused_term = 2


def write(lab):
    return lab.do(lab.session(), fakes.statement("WRITE x 1"))


def test_no_commit_is_acknowledged_by_a_removed_replica_alone():
    """Another node may have fenced the listed replica, and only that one."""
    lab = fakes.Lab()
    lab.run(0.5)
    list_members(lab, "a", "b")
    fence_of_another_node(lab, "b")
    assert write(lab).reason is decisions.NOT_CONFIRMED
