"""Changes of primary by nodes whose memory is younger than a departure."""

from ferry_proxy.tests import departure_lab


def fleet_without_b(*names: str) -> departure_lab.Fleet:
    """Returns a fleet after the departure of a member that runs on.

    It is out of reach and no longer listed, and `c` lacks a commit that it and
    the primary hold.
    """
    fleet = departure_lab.Fleet(*names)
    fleet.cluster.members["c"].isolated = True
    fleet.commit("held by a and b")
    fleet.cluster.members["b"].dark = True
    fleet.delist("b")
    fleet.run(3.0)
    return fleet


def crash_primary(fleet):
    """Crashes the primary, and checks that no other member is promoted."""
    fleet.run(1.0)
    fleet.cluster.crash("a")
    fleet.run(5.0)
    assert fleet.cluster.lost == []
    assert fleet.cluster.promotions == []


def test_a_node_that_kept_its_memory_promotes_nobody():
    fleet = fleet_without_b("n1")
    crash_primary(fleet)


def test_a_restarted_node_promotes_nobody_over_a_departed_member():
    fleet = fleet_without_b("n1", "n2")
    fleet.restart("n1")
    crash_primary(fleet)


def test_a_node_that_begins_to_serve_promotes_nobody_over_a_departed_member():
    fleet = fleet_without_b("n1")
    fleet.add("n2")
    crash_primary(fleet)


def test_nodes_that_all_restart_promote_nobody_over_a_departed_member():
    fleet = fleet_without_b("n1", "n2", "n3")
    fleet.restart("n1", "n2", "n3")
    crash_primary(fleet)
