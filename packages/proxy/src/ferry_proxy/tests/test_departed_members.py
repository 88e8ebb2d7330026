"""Changes of primary after a member has left that had acknowledged commits."""

import ferry_decisions as decisions
import pytest

from ferry_proxy import _acknowledgements
from ferry_proxy import _configuration
from ferry_proxy import _departures
from ferry_proxy import _freshness
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _records
from ferry_proxy.tests import fakes

PRIMARY = _members.Role.PRIMARY
REPLICA = _members.Role.REPLICA


def write(lab, name):
    return lab.do(lab.session(), fakes.statement("WRITE x 1", name))


def apply_entries(lab):
    lab.group.set_members(lab.cluster.entries(), lab.limit)


def leave(lab, name):
    """Lets a member drain, end, and vanish from the list with its log."""
    lab.cluster.members[name].draining = True
    apply_entries(lab)
    lab.run(0.5)
    lab.cluster.crash(name)
    listed = lab.cluster.entries()
    del listed[name]
    lab.group.set_members(listed, lab.limit)
    return listed


def lab_with_a_lagging_replica():
    """Returns a group in which `c` lacks a commit that `a` and `b` hold."""
    lab = fakes.Lab()
    lab.add_promoter()
    lab.run(0.5)
    lab.cluster.members["c"].isolated = True
    assert write(lab, "held by a and b").reason is None
    return lab


def apply_listed(lab, listed):
    """Applies a list of members in which entries may have changed."""
    entries = lab.cluster.entries()
    lab.group.set_members({n: entries[n] for n in listed}, lab.limit)


def test_a_planned_change_waits_for_the_commits_of_a_departed_replica():
    lab = lab_with_a_lagging_replica()
    listed = leave(lab, "b")
    lab.cluster.members["a"].draining = True
    apply_listed(lab, listed)
    lab.run(3.0)
    assert lab.cluster.lost == []
    assert lab.cluster.members["a"].role is PRIMARY
    lab.cluster.members["c"].isolated = False
    lab.cluster.replicate(lab.cluster.members["a"])
    lab.run(3.0)
    assert [member for member, _ in lab.cluster.promotions] == ["c"]
    assert lab.cluster.lost == []


def test_a_stall_promotes_no_replica_without_a_departed_ones_commits():
    lab = lab_with_a_lagging_replica()
    leave(lab, "b")
    lab.session().run(fakes.statement("WRITE x 1", "unacknowledged"))
    lab.run(4.0)
    assert lab.cluster.lost == []
    assert lab.cluster.members["a"].role is PRIMARY


def test_a_crash_promotes_no_replica_without_a_departed_ones_commits():
    lab = lab_with_a_lagging_replica()
    leave(lab, "b")
    lab.cluster.crash("a")
    lab.run(4.0)
    assert lab.cluster.promotions == []
    lab.cluster.members["a"].crashed = False
    lab.cluster.members["c"].isolated = False
    lab.run(2.0)
    assert write(lab, "after").reason is None
    assert lab.cluster.lost == []


def test_a_demoted_primary_that_alone_holds_a_commit_leads_again():
    lab = lab_with_a_lagging_replica()
    leave(lab, "b")
    lab.cluster.members["a"].role = REPLICA
    lab.run(6.0)
    assert lab.cluster.lost == []
    assert [member for member, _ in lab.cluster.promotions] == ["a"]


def test_a_crash_after_a_replica_has_caught_up_is_followed_by_a_change():
    lab = lab_with_a_lagging_replica()
    leave(lab, "b")
    lab.cluster.members["c"].isolated = False
    lab.cluster.replicate(lab.cluster.members["a"])
    lab.run(1.5)
    lab.cluster.crash("a")
    lab.run(2.5)
    assert [member for member, _ in lab.cluster.promotions] == ["c"]
    assert lab.cluster.lost == []


@pytest.mark.parametrize("draining", [False, True])
def test_a_removed_member_that_answers_busy_is_not_taken_for_gone(draining):
    """It runs on, and may acknowledge commits that the successor lacks."""
    lab = lab_with_a_lagging_replica()
    gone = lab.cluster.members["b"]
    gone.draining = draining
    apply_entries(lab)
    listed = lab.cluster.entries()
    del listed["b"]
    lab.group.set_members(listed, lab.limit)
    gone.is_control_busy = True
    lab.cluster.crash("a")
    lab.run(3.0)
    assert lab.cluster.promotions == []


@pytest.mark.parametrize("draining", [False, True])
def test_a_removed_member_that_holds_more_is_not_passed_over(draining):
    lab = lab_with_a_lagging_replica()
    lab.cluster.members["b"].draining = draining
    apply_entries(lab)
    listed = lab.cluster.entries()
    del listed["b"]
    lab.group.set_members(listed, lab.limit)
    lab.cluster.crash("a")
    lab.run(3.0)
    assert lab.cluster.promotions == []
    apply_entries(lab)
    lab.run(3.0)
    assert [member for member, _ in lab.cluster.promotions] == ["b"]
    assert lab.cluster.lost == []


def test_a_change_does_not_act_on_the_primary_that_came_meanwhile(monkeypatch):
    """The cause held for the primary before; the claim took long."""
    lab = fakes.Lab()
    lab.add_promoter()
    lab.run(0.5)
    lab.cluster.members["a"].draining = True
    put_if = lab.store.put_if

    def put_after_a_change(key, value, revision):
        if lab.group.leader == _members.Leader("a", 1):
            lab.cluster._lead(lab.cluster.members["b"])
            lab.group.note_leader(_members.Leader("b", 2))
        return put_if(key, value, revision)

    monkeypatch.setattr(lab.store, "put_if", put_after_a_change)
    apply_entries(lab)
    lab.run(1.0)
    assert lab.cluster.promotions == []
    assert lab.cluster.members["b"].role is PRIMARY
    assert _links.Pause not in lab.cluster.commands_to("c")


def test_commits_that_an_unlisted_replica_receives_are_not_told_and_lost():
    """They do not keep a primary whose listed replicas receive nothing."""
    lab = fakes.Lab()
    lab.add_promoter()
    lab.run(0.5)
    assert write(lab, "told before").reason is None
    for name in "bc":
        lab.cluster.members[name].isolated = True
    joined = fakes.FakeMember("d", lab.cluster, REPLICA)
    lab.cluster.members["d"] = joined
    told = {"told before"}
    for number in range(15):
        name = f"held by a and d {number}"
        if write(lab, name).reason is None:
            told.add(name)
        lab.run(0.15)
        for replica in "bc" if lab.cluster.promotions else "":
            lab.cluster.members[replica].isolated = False
    assert write(lab, "after").reason is None
    assert len(lab.cluster.promotions) == 1
    assert told.isdisjoint(lab.cluster.lost)


def test_a_stall_is_refuted_by_commits_that_were_told_during_it():
    lab = fakes.Lab()
    lab.add_promoter()
    lab.run(0.5)
    for name in "bc":
        lab.cluster.members[name].isolated = True
    lab.cluster.members["a"].log.append((1, "stalled"))
    for _ in range(15):
        lab.group.acks.note_confirmed(lab.group.leader, None)
        lab.run(0.15)
    assert lab.cluster.promotions == []


@pytest.mark.parametrize("sync_replicas", [0, 1])
def test_known_acknowledged_commits_are_not_promoted_away(sync_replicas):
    """A node that has just started knows of no departure, its peers do."""
    lab = lab_with_a_lagging_replica()
    lab.group.service = _configuration.Service("orders", 33, sync_replicas)
    leave(lab, "b")
    lab.group.departures = _departures.Departures()
    lab.cluster.crash("a")
    lab.run(3.0)
    assert bool(lab.cluster.promotions) is not bool(sync_replicas)


@pytest.mark.parametrize(
    ("held", "departures", "floor", "expected"),
    [
        (4, 0, 4, True),
        (5, 0, None, None),
        (5, 1, 5, False),
        (7, 1, 7, None),
        (7, 1, 8, False),
        (7, 1, None, False),
        (4, 1, None, True),
    ],
)
def test_commits_that_a_successor_may_lack(held, departures, floor, expected):
    def position(index):
        return None if index is None else decisions.Position(1, index)

    acks = _acknowledgements.Acknowledgements(position(5), position(7), 0.0)
    member = fakes.Lab().cluster.members["b"].entry()
    missing = _departures.missing_commits(
        position(held),
        [_departures.Departure(member, 10.0)] * departures,
        acks,
        position(floor),
    )
    assert (missing.is_known if missing else None) is expected


def test_a_change_that_cannot_succeed_claims_and_pauses_only_once():
    lab = lab_with_a_lagging_replica()
    leave(lab, "b")
    lab.cluster.crash("a")
    lab.run(10.0)
    assert lab.catalogue.claims["orders"].claim.token == 1
    commands = [type(c) for c in lab.cluster.members["c"].commands]
    assert commands.count(_links.Pause) == 1


@pytest.mark.parametrize("floor_after_end_s", [-0.1, 0.1])
def test_a_floor_after_the_end_of_a_departed_member_covers_it(
    floor_after_end_s,
):
    member = fakes.Lab().cluster.members["b"].entry()
    departure = _departures.Departure(member, removed_at=9.0, ended_at=10.0)
    held = decisions.Position(1, 7)
    floor = _freshness.Sample(10.0 + floor_after_end_s, held)
    is_covered = floor_after_end_s > 0
    assert departure.is_covered_by(floor, held) is is_covered
    less = decisions.Position(1, 6)
    assert not departure.is_covered_by(floor, less)


def test_a_crash_is_followed_by_a_change_if_peers_are_gone():
    """Acknowledgements of a peer are unknown, the floor covers them."""
    lab = fakes.Lab()
    lab.add_promoter()
    lab.catalogue.nodes["n2"] = _records.NodeEntry("n2", "h-n2", 1)
    assert write(lab, "w").reason is None
    leave(lab, "b")
    lab.run(1.0)
    lab.group.departures = _departures.Departures()
    lab.group.departures.adopt(
        _departures.Departure(lab.cluster.members["b"].entry(), 0.1, 0.9)
    )
    lab.cluster.crash("a")
    lab.run(3.0)
    assert [member for member, _ in lab.cluster.promotions] == ["c"]


def test_a_member_that_has_long_been_off_the_list_is_still_asked():
    """It runs on, and alone holds a commit beside the lost primary."""
    lab = lab_with_a_lagging_replica()
    listed = lab.cluster.entries()
    del listed["b"]
    lab.group.set_members(listed, lab.limit)
    lab.run(1.0)
    lab.group.acks = _acknowledgements.AckWatch(lab.clock)
    lab.cluster.crash("a")
    lab.run(80.0)
    assert lab.cluster.promotions == []
