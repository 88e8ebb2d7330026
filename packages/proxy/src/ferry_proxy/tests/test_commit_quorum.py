"""Which commits callers are told of, by what voters have received."""

import ferry_decisions as decisions
import pytest

from ferry_proxy import _commit_quorum
from ferry_proxy import _departures
from ferry_proxy import _members
from ferry_proxy.tests import fakes

LEADER = _members.Leader("a", 2)
COMMIT = _commit_quorum.Commit(LEADER, decisions.Position(2, 10))
COMPLETE_AT = 5.0
IMMEDIATE_S = 0.06


def report(term, index, linked_at):
    return _members.Report(
        _members.Role.REPLICA,
        2,
        decisions.Position(term, index),
        0,
        6.0,
        linked_at,
    )


@pytest.mark.parametrize(
    ("term", "index", "linked_at", "expected"),
    [
        (2, 10, 4.0, True),
        (2, 11, 4.0, True),
        (2, 9, 4.0, False),
        (1, 99, 4.0, False),
        (3, 10, 4.0, False),
        (2, 10, 5.5, False),
    ],
)
def test_a_commit_is_received_in_its_term_over_a_known_link(
    term, index, linked_at, expected
):
    found = report(term, index, linked_at)
    assert COMMIT.is_received(found, COMPLETE_AT) is expected


@pytest.mark.parametrize(
    ("voters", "sync_replicas", "copy_age_s", "expected"),
    [
        (2, 1, 0.0, 1),
        (4, 2, 28.0, 2),
        (2, 1, 29.5, 2),
        (0, 1, 29.5, 1),
        (3, 1, float("inf"), 3),
    ],
)
def test_an_old_copy_of_the_store_asks_for_all_voters(
    voters, sync_replicas, copy_age_s, expected
):
    found = _commit_quorum.quorum_size(voters, sync_replicas, copy_age_s)
    assert found == expected


def write(lab, name):
    return lab.do(lab.session(), fakes.statement("WRITE x 1", name))


def lab_with_voters():
    lab = fakes.Lab()
    lab.add_promoter()
    lab.run(0.5)
    assert write(lab, "first").reason is None
    return lab


@pytest.mark.parametrize("silent", ["b", "c"])
def test_one_silent_replica_hardly_delays_a_commit(silent):
    lab = lab_with_voters()
    lab.cluster.members[silent].dark = True
    for _ in range(5):
        begun = lab.clock.now()
        assert write(lab, "").reason is None
        assert lab.clock.now() - begun < IMMEDIATE_S


def test_a_commit_waits_for_a_replica_that_lags():
    lab = lab_with_voters()
    joined = fakes.FakeMember("d", lab.cluster, _members.Role.REPLICA)
    lab.cluster.members["d"] = joined
    replicas = [lab.cluster.members[n] for n in "bc"]
    for replica in replicas:
        replica.isolated = True
    fut = lab.session().run(fakes.statement("WRITE x 1"))
    lab.run(0.2)
    assert not fut.done()
    replicas[0].log = list(lab.cluster.members["a"].log)
    lab.run(0.1)
    assert fut.result().reason is None


def test_concurrent_commits_share_requests():
    lab = lab_with_voters()
    before = sum(len(lab.cluster.members[n].commands) for n in "bc")
    futs = [lab.session().run(fakes.statement("WRITE x 1")) for _ in range(20)]
    lab.run(0.2)
    asked = sum(len(lab.cluster.members[n].commands) for n in "bc") - before
    assert all(f.result().reason is None for f in futs)
    assert asked < len(futs)


def test_a_joined_replica_counts_once_it_is_recorded():
    lab = lab_with_voters()
    voters = lab.group.voters
    joined = fakes.FakeMember("d", lab.cluster, _members.Role.REPLICA)
    lab.cluster.members["d"] = joined
    lab.group.set_members(lab.cluster.entries(), lab.limit)
    for name in "bc":
        lab.cluster.members[name].isolated = True
    assert write(lab, "not yet").reason is decisions.NOT_CONFIRMED
    voters.keys = voters.keys | {"d@1000"}
    assert write(lab, "now").reason is None


def test_a_restarted_replica_confirms_nothing_beside_a_fenced_one():
    """It was paused, too, and has forgotten it."""
    lab = lab_with_voters()
    for name in "bc":
        lab.cluster.members[name].paused_term = 2
    lab.cluster.restart("b")
    assert write(lab, "after").reason is decisions.NOT_CONFIRMED


def test_a_replica_that_reopened_a_link_confirms_commits():
    lab = lab_with_voters()
    lab.cluster.restart("b")
    lab.cluster.members["c"].isolated = True
    assert write(lab, "after").reason is None


@pytest.mark.parametrize("has_ended", [True, False])
def test_a_voter_that_has_ended_is_not_waited_for_while_the_store_is_away(
    has_ended,
):
    """It cannot be removed from the record meanwhile."""
    lab = lab_with_voters()
    complete_at = lab.clock.boot_now()
    lab.group.copy_complete_at = lambda: complete_at
    lab.run(30.0)
    member = lab.cluster.members["b"].entry()
    lab.group.set_members(
        {n: e for n, e in lab.cluster.entries().items() if n != "b"}, lab.limit
    )
    lab.cluster.members["b"].dark = True
    if has_ended:
        key = _departures.key_of(member)
        lab.group.departures.note_ended(key, lab.clock.boot_now())
    expected = None if has_ended else decisions.NOT_CONFIRMED
    assert write(lab, "after").reason is expected
