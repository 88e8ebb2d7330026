"""Changes of primary over commits from before the nodes restarted."""

import pytest

from ferry_proxy.tests import departure_lab

NODES = ("n1", "n2", "n3")
WATCHED_S = 5.0


@pytest.mark.parametrize("is_draining", [True, False])
def test_a_departure_after_a_restart_may_take_earlier_commits(is_draining):
    """No node remembers their acknowledgement, and none came since."""
    fleet = departure_lab.Fleet(*NODES)
    members = fleet.cluster.members
    members["c"].isolated = True
    fleet.commit("held by a and b")
    fleet.restart(*NODES)
    fleet.run(WATCHED_S)
    members["b"].draining = is_draining
    fleet.enlist("b")
    fleet.run(1.0)
    fleet.cluster.crash("b")
    fleet.delist("b")
    fleet.run(1.0)
    fleet.cluster.crash("a")
    fleet.run(WATCHED_S)
    assert fleet.cluster.lost == []
