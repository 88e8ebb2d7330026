"""Changes of primary by nodes that have restarted since a member left."""

from ferry_proxy.tests import fakes
from ferry_proxy.tests import two_nodes

SECOND_START_S = 1.0
WATCHED_S = 10.0


def test_restarted_nodes_promote_no_replica_that_is_known_to_lack_commits(
    monkeypatch,
):
    """The primary, which alone holds a commit, runs on but is listed no more.

    The nodes refused to promote the replica before they restarted.
    """
    lab = two_nodes.TwoNodes()
    members = lab.cluster.members
    members["c"].isolated = True
    write = fakes.statement("WRITE x 1", "held by a and b")
    assert lab.do(lab.session(), write).reason is None
    lab.drain_primary()
    members["b"].draining = True
    lab.cluster.crash("b")
    only_c = {"c": members["c"].entry()}
    monkeypatch.setattr(lab.cluster, "entries", lambda: only_c)
    lab.apply_entries()
    lab.run(WATCHED_S)
    assert lab.cluster.promotions == []
    for node in lab.nodes:
        node.kill()
    lab.run(SECOND_START_S)
    lab.nodes = [two_nodes.Node(lab, node.name) for node in lab.nodes]
    lab.run(WATCHED_S)
    assert lab.cluster.lost == []
