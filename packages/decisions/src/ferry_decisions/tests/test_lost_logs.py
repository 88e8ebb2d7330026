"""Promotions after a member has restarted without its log and its promises."""

import attrs
import ferry_standins as standins
import pytest

import ferry_decisions as decisions
from ferry_decisions import _promotion

REPLICATION_STOPPED_S = 60.0


class GroupOfThree:
    """A lab whose replica `behind` lacks a write that the other two hold."""

    def __init__(self) -> None:
        self.lab = standins.Lab(standins.LabPlan(), 1)
        self.lab.timers.advance(1.5)
        self.primary = self.lab.primary().name
        self.holder, self.behind = (
            n for n in self.lab.members if n != self.primary
        )
        self.cut = frozenset((self.primary, self.behind))
        self.lab.link_faults.cut.add(self.cut)
        assert self.write() is decisions.Outcome.RAN

    def write(self) -> decisions.Outcome:
        session = standins.LabSession(
            self.lab, f"s{len(self.lab.operations)}", timeout_s=3.0
        )
        fut = session.write(self.lab.node_in(self.lab.plan.centres[0]))
        self.lab.timers.advance(4.0)
        return fut.result().outcome


@pytest.fixture
def group():
    return GroupOfThree()


def test_a_member_without_its_log_counts_in_no_majority(group):
    lab = group.lab
    lab.crash(group.primary)
    lab.crash(group.holder)
    lab.restart(group.holder, keeps_log=False)
    lab.timers.advance(4.0)
    assert lab.primary().name == group.primary
    lab.restart(group.primary)
    lab.link_faults.cut.clear()
    lab.timers.advance(4.0)
    assert group.write() is decisions.Outcome.RAN
    assert lab.verdict().total == 0


def test_a_member_that_is_still_refilled_counts_in_no_majority(group):
    lab = group.lab
    lab.crash(group.holder)
    lab.link_faults.delay_s = REPLICATION_STOPPED_S
    lab.restart(group.holder, keeps_log=False)
    lab.timers.advance(1.0)
    assert lab.members[group.holder].replica.term == 1
    lab.crash(group.primary)
    lab.timers.advance(4.0)
    assert lab.primary().name == group.primary
    lab.restart(group.primary)
    lab.link_faults.cut.clear()
    lab.link_faults.delay_s = lab.plan.replication_s
    lab.timers.advance(4.0)
    assert group.write() is decisions.Outcome.RAN
    assert lab.verdict().total == 0


def test_a_refilled_member_counts_again(group):
    lab = group.lab
    lab.crash(group.holder)
    lab.restart(group.holder, keeps_log=False)
    lab.timers.advance(1.0)
    lab.crash(group.primary)
    lab.timers.advance(4.0)
    assert lab.primary().name == group.holder
    assert group.write() is decisions.Outcome.RAN
    assert lab.verdict().total == 0


def test_a_primary_without_its_log_is_replaced(group):
    lab = group.lab
    lab.link_faults.cut.clear()
    lab.timers.advance(0.5)
    lab.crash(group.primary)
    lab.restart(group.primary, keeps_log=False)
    lab.timers.advance(4.0)
    assert group.write() is decisions.Outcome.RAN
    assert lab.primary().name != group.primary
    assert lab.verdict().total == 0


def test_a_member_without_its_log_serves_no_read(group):
    """Its earlier position would still have counted as recent enough."""
    lab = group.lab
    lab.link_faults.cut.clear()
    lab.timers.advance(lab.plan.staleness_s)
    written = lab.operations[-1]
    lab.link_faults.delay_s = REPLICATION_STOPPED_S
    lab.crash(group.holder)
    lab.restart(group.holder, keeps_log=False)
    lab.timers.advance(0.5)
    centre = lab.members[group.holder].described.data_centre
    reader = standins.LabSession(lab, "reader", timeout_s=3.0)
    fut = reader.read(lab.node_in(centre), written.key)
    lab.timers.advance(4.0)
    assert fut.result().value == written.value


def promote_by(lab, centre, database, known):
    """Starts a promotion by the node of a data centre."""
    driver = standins.VirtualDriver(lab.links(centre))
    store = lab.node_in(centre).store
    attempt = _promotion.Promotion(
        lab.timers, store, driver, database, "node", "claim"
    )
    return decisions.start(attempt.run(known))


def test_a_member_without_its_promises_confirms_nothing_of_an_old_term():
    """A node that has not learned of the new term makes it follow again."""
    lab = standins.Lab(standins.LabPlan(), 1)
    lab.timers.advance(1.5)
    old, new, other = lab.members
    lab.cut_centre("hall-a")
    known = lab.node_in("hall-a").record
    fut = promote_by(lab, "hall-b", lab.database, known)
    lab.timers.advance(0.3)
    assert fut.result().primary == new
    lab.crash(other)
    lab.restart(other, keeps_log=False)
    lab.isolate(new)
    lab.net.cut.discard(frozenset(("hall-a", "hall-c")))
    lab.link_faults.cut.discard(frozenset((old, other)))
    lab.timers.advance(1.0)
    session = standins.LabSession(lab, "clerk", timeout_s=2.0)
    session.write(lab.node_in("hall-a"))
    lab.timers.advance(3.0)
    lab.heal(new)
    lab.heal_centre("hall-a")
    lab.sync_records()
    lab.timers.advance(5.0)
    assert lab.verdict().total == 0


def test_nodes_that_know_different_members_lose_no_commit(group):
    """A member is replaced while one node still knows the former list."""
    lab = group.lab
    lab.link_faults.cut.clear()
    described = decisions.Member("plates-new", "hall-b", "127.0.0.1", 9)
    lab.members["plates-new"] = standins.VirtualMember(
        lab.timers, described, lab.group
    )
    members = [m for m in lab.database.members if m.name != group.holder]
    database = attrs.evolve(lab.database, members=(*members, described))
    record = lab.node_in("hall-a").record
    order = decisions.PromoteOrder(
        record.term, database.member(record.primary), record.starts
    )
    standins.VirtualDriver(lab.links("hall-b")).follow(described, order)
    lab.timers.advance(1.0)
    assert lab.members["plates-new"].replica.complete_term == record.term
    lab.link_faults.cut |= {
        frozenset((group.primary, name))
        for name in (group.behind, "plates-new")
    }
    assert group.write() is decisions.Outcome.RAN
    lab.crash(group.primary)
    fut = promote_by(lab, "hall-b", database, record)
    lab.timers.advance(0.4)
    assert fut.exception() is not None
