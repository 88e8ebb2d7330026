"""When a node reports that its callers are better served elsewhere."""

import attrs
import pytest

from ferry_proxy import _groups
from ferry_proxy import _policy
from ferry_proxy import _reachability
from ferry_proxy.placement import _data_centres
from ferry_proxy.tests import test_forwarding

POLICY = _policy.Policy()
ORDERS = frozenset({"orders"})
NONE: frozenset[str] = frozenset()
PEERS = 10


@attrs.define
class FakeGroups:
    """The group "orders", which this node may serve itself."""

    groups: dict[str, _groups.Group]
    plans: tuple[str, ...] = ("orders",)

    def can_serve(self, service):
        group = self.groups.get(service)
        return group is not None and group.floor_age_s < POLICY.isolated_s


@attrs.define
class FakeMesh:
    """A mesh that reaches a given share of the wanted peers."""

    share: float = 1.0
    connected: tuple[str, ...] = ()

    def reached_share(self, limit_s):
        return self.share

    def contact(self, limit_s):
        heard = round(self.share * PEERS)
        own = _data_centres.Contact(nodes=PEERS + 1, peers=PEERS, heard=heard)
        return _data_centres.FleetContact(own=own)


def reach_of(lab, groups, share=1.0):
    return _reachability.Reachability(
        lab.clock, POLICY, FakeMesh(share), FakeGroups(groups), lab.forwarder
    )


@pytest.mark.parametrize(
    ("near", "far", "expected"),
    [
        ((ORDERS, NONE), (ORDERS, NONE), False),
        ((NONE, NONE), (NONE, NONE), False),  # No node may serve it.
        ((NONE, ORDERS), (NONE, NONE), True),
        ((NONE, ORDERS), (ORDERS, NONE), False),  # One peer still serves it.
    ],
)
def test_an_entry_goes_by_the_word_of_serving_nodes(near, far, expected):
    """An entry node relies on the reports of the group's serving nodes.

    Without this, such a node failed all statements on a third of its callers'
    routes for 7 s of a partition.
    """
    lab = test_forwarding.EntryLab()
    reach = reach_of(lab, {})
    lab.near.services, lab.near.missed = near
    lab.far.services, lab.far.missed = far
    reach.evaluate()
    assert reach.is_cut_off is expected
    assert reach.missed == (["orders"] if expected else [])


def test_a_word_that_is_old_counts_no_more():
    lab = test_forwarding.EntryLab()
    reach = reach_of(lab, {})
    lab.near.services, lab.near.missed = NONE, ORDERS
    lab.far.services = NONE
    reach.evaluate()
    lab.near.silence_s = POLICY.isolated_s + 0.1
    lab.run(_reachability.CUT_OFF_S + 0.1)
    reach.evaluate()
    assert not reach.is_cut_off


def test_a_serving_node_tells_what_it_has_lost():
    lab = test_forwarding.EntryLab()
    lab.near.services = lab.far.services = NONE
    reach = reach_of(lab, {"orders": lab.group}, share=0.5)
    reach.evaluate()
    assert reach.missed == []
    for name in "bc":
        lab.cluster.members[name].dark = True
    lab.run(3.0)
    reach.evaluate()
    assert reach.missed == ["orders"]


def test_a_trouble_that_all_share_sends_nobody_away():
    lab = test_forwarding.EntryLab()
    lab.near.services = lab.far.services = NONE
    reach = reach_of(lab, {"orders": lab.group})
    lab.cluster.crash("a")
    lab.run(2.0)
    reach.evaluate()
    assert not reach.is_cut_off


@pytest.mark.parametrize(("share", "expected"), [(0.4, True), (0.6, False)])
def test_a_node_that_reaches_few_of_its_peers_is_apart(share, expected):
    lab = test_forwarding.EntryLab()
    lab.near.services = lab.far.services = NONE
    reach = reach_of(lab, {}, share)
    reach.evaluate()
    assert reach.is_cut_off is expected
