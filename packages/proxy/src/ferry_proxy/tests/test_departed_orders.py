"""Orders to promote a member that has left before they are executed."""

import itertools

from ferry_proxy.tests import two_nodes

NEVER_S = 1e9
# Callers are not served meanwhile.
MAX_WAIT_S = 8.0


def lab_with_an_order_to_a_departed_member():
    """Returns nodes whose order names a member that drains, ends and leaves."""
    lab = two_nodes.TwoNodes()
    lab.late_orders = [NEVER_S]
    lab.drain_primary()
    lab.wait_for(lambda: lab.cluster.promotions)
    (name, _), *_ = lab.cluster.promotions
    lab.cluster.members[name].draining = True
    lab.apply_entries()
    lab.cluster.members["a"].ignores_step_down = False
    lab.cluster.crash(name)
    listed = lab.cluster.entries()
    del listed[name]
    for node in lab.nodes:
        node.group.set_members(listed, lab.limit)
    return lab


def test_a_member_that_has_left_does_not_hold_up_a_further_order():
    lab = lab_with_an_order_to_a_departed_member()
    lab.run(MAX_WAIT_S)
    names = [name for name, _ in itertools.groupby(lab.ordered)]
    assert len(names) == 2
