"""Acknowledgements and reads on a view of the members that is out of date."""

import ferry_decisions as decisions
import pytest

from ferry_proxy import _configuration
from ferry_proxy import _departures
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy.tests import fakes


def list_members(lab, *names):
    entries = lab.cluster.entries()
    lab.group.set_members({n: entries[n] for n in names}, lab.limit)


def fence_of_another_node(lab, *names, term=2):
    for name in names:
        lab.cluster.members[name].paused_term = term


def new_replica(lab, name):
    """Adds a replica that receives commits but is not listed."""
    joined = fakes.FakeMember(name, lab.cluster, _members.Role.REPLICA)
    lab.cluster.members[name] = joined


def commit_of_another_node(lab, count):
    """Commits writes of which this node sees nothing."""
    primary = lab.cluster.members["a"]
    for _ in range(count):
        request_id = f"other {len(primary.log)}"
        primary.log.append((primary.term, request_id))
        assert lab.cluster.replicate(primary)
        lab.cluster.acknowledged.append(request_id)


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


@pytest.mark.parametrize("work_s", [0.1, 0.3])
@pytest.mark.parametrize("text", ["WRITE x 2", "COMMIT"])
def test_a_commit_at_a_primary_that_was_replaced_meanwhile_is_in_doubt(
    text, work_s
):
    """Floors and proofs have to be of the primary that the commit ran at."""
    lab = fakes.Lab()
    new_replica(lab, "d")
    lab.cluster.members["d"].log = []
    list_members(lab, "a", "b", "c", "d")
    lab.run(15.0)
    session = lab.session()
    if text == "COMMIT":
        lab.do(session, fakes.statement("BEGIN"))
        lab.do(session, fakes.statement("WRITE x 1"))
    lab.cluster.work_s = lambda _: work_s
    fut = session.run(fakes.statement(text))
    for name in "bd":
        lab.cluster.members[name].term = 2
    lab.cluster.members["b"].role = _members.Role.PRIMARY
    lab.group.note_leader(_members.Leader("b", 2))
    lab.run(2.0)
    assert fut.result().reason is decisions.NOT_CONFIRMED


def test_a_restarted_node_promotes_no_replica_behind_a_departed_one():
    """Its peers know less of the acknowledged commits than there are."""
    lab = fakes.Lab()
    lab.add_promoter()
    lab.run(0.5)
    lab.stop_probing()
    assert write(lab).reason is None
    commit_of_another_node(lab, 3)
    lab.cluster.members["c"].isolated = True
    commit_of_another_node(lab, 1)
    assert write(lab).reason is None
    list_members(lab, "a", "c")
    lab.group.departures = _departures.Departures()
    lab.cluster.crash("b")
    lab.cluster.crash("a")
    lab.run(4.0)
    assert lab.cluster.lost == []


def test_a_commit_just_before_a_planned_change_is_on_the_successor(
    monkeypatch,
):
    """A new replica receives commits before it is listed."""
    lab = fakes.Lab()
    lab.add_promoter()
    lab.run(0.5)
    new_replica(lab, "d")
    ask = lab.group.ask

    def commit_before_step_down(pool, command, *guard):
        if isinstance(command, _links.StepDown) and not lab.cluster.lost:
            late = [lab.cluster.members[n] for n in "bc"]
            for member in late:
                member.isolated = True
            commit_of_another_node(lab, 1)
            for member in late:
                member.isolated = False
        return (yield from ask(pool, command, *guard))

    monkeypatch.setattr(lab.group, "ask", commit_before_step_down)
    lab.cluster.members["a"].draining = True
    list_members(lab, "a", "b", "c")
    lab.run(2.0)
    assert lab.cluster.acknowledged
    assert lab.cluster.lost == []


def test_an_outdated_claim_resumes_nobody_that_a_later_one_has_paused(
    monkeypatch,
):
    lab = fakes.Lab()
    promoter = lab.add_promoter()
    lab.run(0.5)

    replicas = [lab.cluster.members[n] for n in "bc"]

    def is_valid(_):
        if any(m.paused_term < 2 for m in replicas):
            return True
        fence_of_another_node(lab, "b", "c", term=9)
        return False

    monkeypatch.setattr(promoter._claims, "is_valid", is_valid)
    lab.cluster.crash("a")
    lab.run(2.0)
    assert [m.paused_term for m in replicas] == [9, 9]


def test_no_commit_is_told_that_only_an_unlisted_replica_has_received():
    """It joined the primary behind a cut, which this node is behind, too."""
    lab = fakes.Lab()
    lab.run(2.0)
    new_replica(lab, "d")
    for name in "bc":
        lab.cluster.members[name].dark = True
    lab.run(0.3)
    assert write(lab).reason is decisions.NOT_CONFIRMED
