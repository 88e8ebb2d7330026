"""Changes of primary by nodes that have all restarted since members left."""

import pytest

from ferry_proxy.tests import departure_lab

NODES = ("n1", "n2", "n3")
WATCHED_S = 10.0


@pytest.mark.parametrize("is_draining", [True, False])
def test_restarted_nodes_promote_nobody_over_a_primary_that_left(is_draining):
    """The primary, which alone holds a commit, runs on but is listed no more.

    The nodes refused to promote the replica before they restarted.
    """
    fleet = departure_lab.Fleet(*NODES)
    members = fleet.cluster.members
    members["c"].isolated = True
    fleet.commit("held by a and b")
    fleet.cluster.crash("b")
    fleet.delist("b")
    members["a"].draining = is_draining
    fleet.enlist("a")
    fleet.run(1.0)
    fleet.delist("a")
    fleet.run(WATCHED_S)
    assert fleet.cluster.promotions == []
    fleet.restart(*NODES)
    fleet.run(WATCHED_S)
    assert fleet.cluster.lost == []
    assert fleet.cluster.promotions == []
